//! Three routers are stopped with SIGTERM and started again in turn, while clients send lookups behind one another and read
//! the answers slowly. With TROUBLE=0 no router is stopped.

#[path = "../common/mod.rs"]
mod common;

use std::collections::HashSet;
use std::collections::VecDeque;
use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

const HOST: &str = "desk.example";
/// Bytes of an answer, the largest of `clinic-day` in haneul-gw-grown.
const ANSWER_BYTES: usize = 30_000;
/// A client reads so many bytes at a time, and pauses between: an answer in some 0.15 s.
const PIECE_BYTES: usize = 10_000;
const PIECE_US: u64 = 50_000;
/// Lookups that a client has sent and whose answers it has not read, at most.
const DEPTH: usize = 8;
/// The clients' time budget and the route's `timeout_ms`, those of `clinic-day` in haneul-gw-grown.
const BUDGET_MS: u64 = 2_500;
const TIMEOUT_MS: u64 = 2_500;
const WORK_MS: u64 = 95;
const GRACE_MS: u64 = 6_000;
const CLIENTS: u64 = 24;
/// Time between two stops.
const STOP_EVERY_MS: u64 = 11_000;

#[derive(Clone)]
struct Front {
    addr: SocketAddr,
    name: String,
    /// When it got SIGTERM.
    stopped: Arc<Mutex<Option<Instant>>>,
    out: Arc<AtomicBool>,
}

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    lost: AtomicU64,
    /// Lookups without an answer that no server ran, or that their budget or the stop does not cover.
    unanswered_else: AtomicU64,
    wrong: AtomicU64,
    refused: AtomicU64,
}

/// Ids of the lookups that a server has answered whole.
type Ran = Arc<Mutex<HashSet<String>>>;

fn serve_server(name: String, mut http: Http, ran: &Ran) -> io::Result<()> {
    while let Some(head) = http.read_head()? {
        http.read_body(&head)?;
        if head.target == "/healthz" {
            http.respond("200 OK", &[("Chicoryrail-Instance-Id", &name)], b"")?;
            continue;
        }
        let id = head.id();
        let stamp = format!("{name}.{id}");
        let headers = [("Chicoryrail-Request-Id", id.as_str()), ("Chicoryrail-Upstream-Stamp", stamp.as_str())];
        sleep_ms(WORK_MS);
        http.respond("200 OK", &headers, &body_of(&id))?;
        ran.lock().unwrap().insert(id);
    }
    Ok(())
}

fn body_of(id: &str) -> Vec<u8> {
    id.bytes().cycle().take(ANSWER_BYTES).collect()
}

struct Sent {
    id: String,
    at: Instant,
}

/// What a client does on one connection.
struct Client<'a> {
    stream: TcpStream,
    buf: Vec<u8>,
    front: &'a Front,
    counts: &'a Counts,
    record: &'a Record,
    ran: &'a Ran,
}

impl Client<'_> {
    fn send(&mut self) -> io::Result<Sent> {
        let id = new_id("l");
        let at = Instant::now();
        let text = format!("GET /day/1 HTTP/1.1\r\nHost: {HOST}\r\nChicoryrail-Request-Id: {id}\r\nChicoryrail-Deadline-Ms: {BUDGET_MS}\r\n\r\n");
        io::Write::write_all(&mut self.stream, text.as_bytes())?;
        Ok(Sent { id, at })
    }

    /// Reads some more bytes, at the pace of the client.
    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; PIECE_BYTES];
        let n = self.stream.read(&mut chunk)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&chunk[..n]);
        thread::sleep(Duration::from_micros(PIECE_US * n as u64 / PIECE_BYTES as u64));
        Ok(())
    }

    /// Takes the next answer if it has been read whole: its status, id, body, and whether it is the last one.
    fn take_answer(&mut self) -> Option<(bool, String, Vec<u8>, bool)> {
        let at = self.buf.windows(4).position(|w| w == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.buf[..at]).to_ascii_lowercase();
        let field = |name: &str| head.lines().find_map(|l| l.strip_prefix(name)).map(|v| v.trim().to_owned());
        let length: usize = field("content-length:").and_then(|v| v.parse().ok()).unwrap_or(0);
        if self.buf.len() < at + 4 + length {
            return None;
        }
        let bytes: Vec<u8> = self.buf.drain(..at + 4 + length).collect();
        let is_ok = head.starts_with("http/1.1 200");
        Some((is_ok, field("chicoryrail-request-id:").unwrap_or_default(), bytes[at + 4..].to_vec(), head.contains("connection: close")))
    }

    /// Sends lookups behind one another while it reads the answers, up to `end`.
    fn lookups(&mut self, end: Instant) -> io::Result<()> {
        self.stream.set_read_timeout(Some(Duration::from_millis(2 * BUDGET_MS)))?;
        let mut waiting: VecDeque<Sent> = VecDeque::new();
        let mut closes = false;
        while !closes && (Instant::now() < end || !waiting.is_empty()) {
            if waiting.len() < DEPTH && Instant::now() < end && let Ok(lookup) = self.send() {
                waiting.push_back(lookup);
            }
            if let Some((is_ok, id, body, is_last)) = self.take_answer() {
                closes = is_last;
                let Some(asked) = waiting.pop_front() else { break };
                let is_own = id == asked.id && (!is_ok || body == body_of(&id));
                let count = match (is_own, is_ok) {
                    (false, _) => &self.counts.wrong,
                    (true, false) => &self.counts.refused,
                    (true, true) => &self.counts.answered,
                };
                count.fetch_add(1, Ordering::Relaxed);
                if !is_own || !is_ok {
                    self.record.line(&format!("{} at {}: answer to {id:?}, success {is_ok}", asked.id, self.front.name));
                }
                continue;
            }
            if let Err(e) = self.fill() {
                self.cut_off(&waiting, &e);
                return Ok(());
            }
        }
        // Lookups that were sent behind the answer that closes the connection count as not read.
        Ok(())
    }

    /// Counts the lookups whose connection ended before they were answered.
    fn cut_off(&self, waiting: &VecDeque<Sent>, error: &io::Error) {
        let ended = Instant::now();
        let stopped = *self.front.stopped.lock().unwrap();
        // "a SIGTERM of the machine that took the request from the client, until 1 s after grace_period_s"
        let planned = stopped.is_some_and(|at| ended >= at && ended.duration_since(at) <= Duration::from_millis(GRACE_MS + 1_000));
        for lookup in waiting {
            let ran = self.ran.lock().unwrap().contains(&lookup.id);
            let took = ended.duration_since(lookup.at).as_millis() as u64;
            let is_lost = planned && ran && took < BUDGET_MS;
            let count = if is_lost { &self.counts.lost } else { &self.counts.unanswered_else };
            count.fetch_add(1, Ordering::Relaxed);
            let after = |at: Instant| stopped.map_or("-".to_owned(), |stop| if at < stop { format!("-{}", stop.duration_since(at).as_millis()) } else { at.duration_since(stop).as_millis().to_string() });
            self.record.line(&format!(
                "{} at {}: no complete answer, {error}; answered by a server: {ran}; sent {} ms and ended {} ms after SIGTERM; {took} ms of {BUDGET_MS}; counted: {is_lost}",
                lookup.id, self.front.name, after(lookup.at), after(ended)
            ));
        }
    }
}

fn client(n: u64, fronts: &Mutex<Vec<Front>>, end: Instant, counts: &Counts, record: &Record, ran: &Ran) {
    sleep_ms(n * 37);
    while Instant::now() < end {
        let front = {
            let fronts = fronts.lock().unwrap();
            let open: Vec<&Front> = fronts.iter().filter(|f| !f.out.load(Ordering::SeqCst)).collect();
            open[(n as usize) % open.len()].clone()
        };
        let Ok(stream) = TcpStream::connect_timeout(&front.addr, Duration::from_millis(1_000)) else {
            sleep_ms(100);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut client = Client { stream, buf: Vec::new(), front: &front, counts, record, ran };
        let _ = client.lookups(end);
    }
}

fn config() -> String {
    format!(
        "{{\"version\":\"r1\",\"services\":[{{\"name\":\"records-svc\",\"health_check_path\":\"/healthz\",\"max_connections\":560,\"slow_start_s\":3,\"cold_per_s\":13.0,\"sharded\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"virtual_hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{{\"name\":\"clinic-day\",\"prefix\":\"/day/\",\"type\":\"safe\",\"timeout_ms\":{TIMEOUT_MS},\"target_latency_ms\":400,\"priority\":0,\"attempts\":2,\"service\":\"records-svc\"}}]}}]}}"
    )
}

fn main() {
    let dir = std::env::args().nth(1).unwrap_or_else(|| "review/5".into());
    let record = Record::create(&format!("{dir}/record.txt"));
    let mut platform = Platform::start();
    let born = unix_ms();
    let ran: Ran = Arc::default();
    let mut entries = vec![("op/config".to_owned(), config())];
    let zone = |n: usize| ["a", "b", "c"][n % 3];
    for n in 0..6 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        entries.push((format!("servers/s{n}"), entry("records-svc", addr, zone(n), 6, "ready", 0, born)));
        let ran = Arc::clone(&ran);
        serve(listener, move |http| serve_server(format!("s{n}"), http, &ran));
    }
    let entries: Vec<(&str, String)> = entries.iter().map(|(k, v)| (k.as_str(), v.clone())).collect();
    platform.put(&entries);
    for n in 0..3 {
        platform.start_router(&format!("front-{}-{n}", zone(n)), "127.0.0.1", zone(n), "");
    }
    platform.wait_ready();
    let front_of = |router: &Router| Front { addr: router.front, name: router.process.name.clone(), stopped: Arc::default(), out: Arc::default() };
    let fronts: Arc<Mutex<Vec<Front>>> = Arc::new(Mutex::new(platform.routers.iter().map(front_of).collect()));
    sleep_ms(2_000);
    let counts = Arc::new(Counts::default());
    let end = Instant::now() + Duration::from_millis(4_000 + 3 * STOP_EVERY_MS);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (fronts, counts, record, ran) = (Arc::clone(&fronts), Arc::clone(&counts), record.clone(), Arc::clone(&ran));
            thread::spawn(move || client(n, &fronts, end, &counts, &record, &ran))
        })
        .collect();
    sleep_ms(4_000);
    let mut ended_early = Vec::new();
    for n in 0..3 {
        let begun = Instant::now();
        if has_trouble() {
            let front = fronts.lock().unwrap()[n].clone();
            *front.stopped.lock().unwrap() = Some(Instant::now());
            record.line(&format!("SIGTERM to {}", front.name));
            platform.routers[n].process.signal("TERM");
            // The balancer asks once per second and takes a machine out after two misses.
            sleep_ms(2_000);
            front.out.store(true, Ordering::SeqCst);
            let exit = loop {
                if let Ok(Some(_)) = platform.routers[n].process.child.try_wait() {
                    break begun.elapsed();
                }
                if begun.elapsed() > Duration::from_millis(GRACE_MS) {
                    platform.routers[n].process.signal("KILL");
                }
                sleep_ms(10);
            };
            record.line(&format!("{} has ended after {} ms", front.name, exit.as_millis()));
            platform.start_router(&format!("front-{}-{n}", zone(n)), "127.0.0.1", zone(n), "");
            let started = platform.routers.pop().unwrap();
            let started_front = front_of(&started);
            // A process that has ended is not signalled again.
            std::mem::forget(std::mem::replace(&mut platform.routers[n], started));
            platform.wait_ready();
            fronts.lock().unwrap()[n] = started_front;
        }
        ended_early.extend(platform.ended_routers());
        thread::sleep(Duration::from_millis(STOP_EVERY_MS).saturating_sub(begun.elapsed()));
    }
    for client in clients {
        let _ = client.join();
    }
    let n = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let text = format!(
        "{} lookups answered, {} that servers had answered cut off at planned stops within their time budget, {} others without an answer, {} wrong, {} refused; routers that ended by themselves: {ended_early:?}",
        n(&counts.answered), n(&counts.lost), n(&counts.unanswered_else), n(&counts.wrong), n(&counts.refused)
    );
    if !ended_early.is_empty() || n(&counts.answered) < 500 {
        finish(&record, platform, 2, &format!("could not run: {text}"));
    }
    finish(&record, platform, i32::from(n(&counts.lost) > 0), &text)
}
