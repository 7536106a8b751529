//! Three routers are stopped with SIGTERM and started again in turn, while clients read downloads slowly and send a lookup
//! behind each of them before it has been read. With TROUBLE=0 no router is stopped.

#[path = "../common/mod.rs"]
mod common;

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
/// Bytes of a download, the largest of `manual-download` in wadi-gateway.
const DOWNLOAD_BYTES: usize = 540_000;
/// A client reads so many bytes at a time, and pauses between: some 0.6 s for a download.
const PIECE_BYTES: usize = 10_000;
const PIECE_US: u64 = 11_000;
/// Time between two lookups that a client sends behind a download.
const LOOKUP_EVERY_MS: u64 = 150;
/// The clients' time budget and the routes' `timeout_ms`, those of `manual-download` in wadi-gateway.
const BUDGET_MS: u64 = 800;
const TIMEOUT_MS: u64 = 800;
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
    whole: AtomicU64,
    lost: AtomicU64,
    broken_else: AtomicU64,
    lookups: AtomicU64,
    lookups_answered: AtomicU64,
    refused: AtomicU64,
}

fn serve_server(name: String, mut http: Http, record: &Record) -> io::Result<()> {
    let body: Vec<u8> = (0..DOWNLOAD_BYTES).map(|i| (i % 251) as u8).collect();
    while let Some(head) = http.read_head()? {
        http.read_body(&head)?;
        if head.target == "/healthz" {
            http.respond("200 OK", &[("Chicoryrail-Instance-Id", &name)], b"")?;
            continue;
        }
        let id = head.id();
        let stamp = format!("{name}.{id}");
        let headers = [("Chicoryrail-Request-Id", id.as_str()), ("Chicoryrail-Upstream-Stamp", stamp.as_str())];
        if head.target.starts_with("/manual/") {
            sleep_ms(72);
            http.respond("200 OK", &headers, &body)?;
            record.line(&format!("{id} run by {name}, which has written its whole answer"));
        } else {
            sleep_ms(90);
            http.respond("200 OK", &headers, &[b's'; 400])?;
        }
    }
    Ok(())
}

/// What a client does on one connection.
struct Client<'a> {
    stream: TcpStream,
    buf: Vec<u8>,
    front: &'a Front,
    counts: &'a Counts,
    record: &'a Record,
}

impl Client<'_> {
    fn send(&mut self, path: &str, prefix: &str) -> io::Result<String> {
        let id = new_id(prefix);
        let text = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nChicoryrail-Request-Id: {id}\r\nChicoryrail-Deadline-Ms: {BUDGET_MS}\r\n\r\n");
        io::Write::write_all(&mut self.stream, text.as_bytes())?;
        Ok(id)
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

    /// Reads a head; returns it in lower case, and the length of the body.
    fn head(&mut self) -> io::Result<(String, usize)> {
        loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let bytes: Vec<u8> = self.buf.drain(..at + 4).collect();
                let head = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
                let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")).and_then(|v| v.trim().parse().ok());
                return Ok((head, length.unwrap_or(0)));
            }
            self.fill()?;
        }
    }

    /// One download, with lookups sent behind it while it is read. Returns whether the connection can be used again.
    fn download(&mut self) -> io::Result<bool> {
        let sent = Instant::now();
        let id = self.send("/manual/1", "d")?;
        self.record.line(&format!("{id} sent to {}", self.front.name));
        self.stream.set_read_timeout(Some(Duration::from_millis(2 * BUDGET_MS)))?;
        let (head, length) = self.head()?;
        let closes = head.contains("connection: close");
        if !head.starts_with("http/1.1 200") {
            self.counts.refused.fetch_add(1, Ordering::Relaxed);
            self.record.line(&format!("{id} at {}: {}", self.front.name, head.lines().next().unwrap_or("")));
            sleep_ms(300);
            return Ok(false);
        }
        let mut lookups: Vec<String> = Vec::new();
        let mut next = LOOKUP_EVERY_MS;
        while self.buf.len() < length {
            if !closes && sent.elapsed() >= Duration::from_millis(next) {
                next += LOOKUP_EVERY_MS;
                if let Ok(id) = self.send("/status/1", "l") {
                    self.counts.lookups.fetch_add(1, Ordering::Relaxed);
                    lookups.push(id);
                }
            }
            if let Err(e) = self.fill() {
                self.cut_off(&id, sent, length, lookups.len(), &e);
                return Ok(false);
            }
        }
        self.record.line(&format!("{id} answered whole after {} ms, {} lookups behind it", sent.elapsed().as_millis(), lookups.len()));
        self.buf.drain(..length);
        self.counts.whole.fetch_add(1, Ordering::Relaxed);
        let mut closes = closes;
        for id in &lookups {
            if closes {
                break;
            }
            let (head, length) = self.head()?;
            while self.buf.len() < length {
                self.fill()?;
            }
            self.buf.drain(..length);
            self.counts.lookups_answered.fetch_add(u64::from(head.contains(id.as_str())), Ordering::Relaxed);
            closes = head.contains("connection: close");
        }
        Ok(!closes)
    }

    /// Counts a download whose connection ended before it was complete.
    fn cut_off(&self, id: &str, sent: Instant, length: usize, lookups: usize, error: &io::Error) {
        let ended = Instant::now();
        let took = ended.duration_since(sent).as_millis() as u64;
        let stopped = *self.front.stopped.lock().unwrap();
        // "a SIGTERM of the machine that took the request from the client, until 1 s after grace_period_s"
        let planned = stopped.is_some_and(|at| ended >= at && ended.duration_since(at) <= Duration::from_millis(GRACE_MS + 1_000));
        let is_lost = planned && took < BUDGET_MS;
        let count = if is_lost { &self.counts.lost } else { &self.counts.broken_else };
        count.fetch_add(1, Ordering::Relaxed);
        let after = |at: Instant| stopped.map_or("-".to_owned(), |stop| if at < stop { format!("-{}", stop.duration_since(at).as_millis()) } else { at.duration_since(stop).as_millis().to_string() });
        self.record.line(&format!(
            "{id} at {}: {} of {length} bytes, then {error}; sent {} ms and ended {} ms after SIGTERM, {lookups} lookups behind it; {took} ms of {BUDGET_MS}; counted: {is_lost}",
            self.front.name, self.buf.len(), after(sent), after(ended)
        ));
    }
}

fn client(n: u64, fronts: &Mutex<Vec<Front>>, end: Instant, counts: &Counts, record: &Record) {
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
        let mut client = Client { stream, buf: Vec::new(), front: &front, counts, record };
        while Instant::now() < end {
            if !client.download().unwrap_or(false) {
                break;
            }
            sleep_ms(40 + n * 13 % 100);
        }
    }
}

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"prefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeout_ms\":{TIMEOUT_MS},\"target_latency_ms\":300,\"priority\":1,\"attempts\":2,\"service\":\"manual-library\"}}"
        )
    };
    format!(
        "{{\"version\":\"r1\",\"services\":[{{\"name\":\"manual-library\",\"health_check_path\":\"/healthz\",\"max_connections\":110,\"slow_start_s\":3,\"cold_per_s\":13.0,\"sharded\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"virtual_hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{},{}]}}]}}",
        route("manual-download", "/manual/", "download"),
        route("status-lookup", "/status/", "safe"),
    )
}

fn main() {
    let dir = std::env::args().nth(1).unwrap_or_else(|| "review/5".into());
    let record = Record::create(&format!("{dir}/downloads.txt"));
    let mut platform = Platform::start();
    let born = unix_ms();
    let mut entries = vec![("op/config".to_owned(), config())];
    let zone = |n: usize| ["a", "b", "c"][n % 3];
    for n in 0..6 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        entries.push((format!("servers/s{n}"), entry("manual-library", addr, zone(n), 4, "ready", 0, born)));
        let seen = record.clone();
        serve(listener, move |http| serve_server(format!("s{n}"), http, &seen));
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
            let (fronts, counts, record) = (Arc::clone(&fronts), Arc::clone(&counts), record.clone());
            thread::spawn(move || client(n, &fronts, end, &counts, &record))
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
        "{} downloads whole, {} cut off at planned stops within their time budget, {} broken off otherwise, {} with another status; {} of {} lookups behind them answered; routers that ended by themselves: {ended_early:?}",
        n(&counts.whole), n(&counts.lost), n(&counts.broken_else), n(&counts.refused), n(&counts.lookups_answered), n(&counts.lookups)
    );
    if !ended_early.is_empty() || n(&counts.whole) < 20 {
        finish(&record, platform, 2, &format!("could not run: {text}"));
    }
    finish(&record, platform, i32::from(n(&counts.lost) > 0), &text)
}
