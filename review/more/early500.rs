//! Lookups with a body of 24,000 bytes in chunks, on a `safe` route. For 5.5 s at a time, half of the servers answer 2 of 100 requests
//! with a failure before the body is in, keep the connection and read the rest. A server must not run a request whose body
//! differs from what the client sent, nor get other bytes where the rest of a body is due.

#[path = "../common/mod.rs"]
mod common;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use common::*;

const ROUTERS: usize = 3;
const SERVERS: usize = 8;
const SLOTS: u32 = 2;
const CLIENTS: usize = 26;
const CHUNKS: usize = 12;
const CHUNK_BYTES: usize = 2_000;
/// Pause of a client between two chunks: about 2 Mbit/s.
const CHUNK_PAUSE_MS: u64 = 8;
/// Pause of a client between two orders.
const ORDER_PAUSE_MS: u64 = 50;
const WORK_MS: u64 = 120;
/// Half of the servers are faulty, and refuse at most this part of the requests that they have answered in all.
const FAULTY_SERVERS: usize = SERVERS / 2;
const FAULTY_PERCENT: u64 = 2;
/// Rounds of the disruption, its length and the pause after it.
const ROUNDS: usize = 6;
const FAULT_MS: u64 = 5_500;
const CALM_MS: u64 = 3_000;

struct Run {
    server: String,
    id: String,
    bytes: usize,
    hash: u64,
}

struct Server {
    name: String,
    /// Whether the disruption is in force at this server.
    faulty: AtomicBool,
    /// Requests during the disruption.
    requests: AtomicU64,
    refused: AtomicU64,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Bodies of refused requests that have come to their end.
    rests: Arc<Mutex<Vec<Run>>>,
}

impl Server {
    /// Whether the next request is refused early: each fiftieth during the disruption.
    fn refuses(&self) -> bool {
        if !self.faulty.load(Ordering::Relaxed) {
            return false;
        }
        let number = self.requests.fetch_add(1, Ordering::Relaxed) + 1;
        let refuses = number % (100 / FAULTY_PERCENT) == 0;
        self.refused.fetch_add(u64::from(refuses), Ordering::Relaxed);
        refuses
    }

    fn connection(&self, mut http: Http) -> io::Result<()> {
        while let Some(head) = http.read_head()? {
            let id = head.id();
            let echo = [("Chicoryrail-Request-Id", id.as_str()), ("Chicoryrail-Not-Executed", "1")];
            if head.target == "/healthz" {
                http.respond("200 OK", &[("Chicoryrail-Instance-Id", &self.name)], b"")?;
                continue;
            }
            if head.get("chicoryrail-expect-instance").is_some_and(|name| name != self.name) {
                http.read_body(&head)?;
                http.respond("421 Misdirected Request", &echo, b"other server\n")?;
                continue;
            }
            if self.refuses() {
                self.record.line(&format!("{id} failed by {} before the body is in", self.name));
                let stamp = format!("{}.{id}", self.name);
                let headers = [("Chicoryrail-Request-Id", id.as_str()), ("Chicoryrail-Upstream-Stamp", stamp.as_str())];
                http.respond("500 Internal Server Error", &headers, b"failed\n")?;
                let read = http.read_body(&head);
                let length = read.as_ref().map_or_else(|e| e.to_string(), |body| body.len().to_string());
                self.record.line(&format!("{id} rest read by {}, whole body: {length}", self.name));
                if let Ok(body) = &read {
                    self.rests.lock().unwrap().push(Run { server: self.name.clone(), id: id.clone(), bytes: body.len(), hash: hash(body) });
                }
                read?;
                continue;
            }
            let body = match http.read_body(&head) {
                Ok(body) => body,
                Err(e) => {
                    self.record.line(&format!("{} got no whole body of {id}: {e}", self.name));
                    return Err(e);
                }
            };
            self.record.line(&format!("{id} run by {} {}", self.name, body.len()));
            self.runs.lock().unwrap().push(Run { server: self.name.clone(), id: id.clone(), bytes: body.len(), hash: hash(&body) });
            sleep_ms(WORK_MS);
            let stamp = format!("{}.{id}", self.name);
            let headers = [("Chicoryrail-Request-Id", id.as_str()), ("Chicoryrail-Upstream-Stamp", stamp.as_str())];
            http.respond("200 OK", &headers, b"done\n")?;
        }
        Ok(())
    }
}

fn config() -> String {
    let route = "{\"name\":\"order\",\"prefix\":\"/x/\",\"type\":\"safe\",\"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":1,\"attempts\":3,\"service\":\"orderdesk\"}";
    format!(
        "{{\"version\":\"r3\",\"services\":[{{\"name\":\"orderdesk\",\"health_check_path\":\"/healthz\",\"max_connections\":120,\"slow_start_s\":3,\"cold_per_s\":13}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"virtual_hosts\":[{{\"host\":\"shop.example\",\"paths\":[{route}]}}]}}"
    )
}

/// Sends one order in chunks and returns its status; 0 if there was no whole answer.
fn order(front: SocketAddr, id: &str, body: &[u8]) -> u16 {
    let send = || -> io::Result<u16> {
        let mut http = Http::connect(front)?;
        http.stream.set_read_timeout(Some(Duration::from_millis(3_500)))?;
        let head = format!(
            "POST /x/order HTTP/1.1\r\nHost: shop.example\r\nChicoryrail-Request-Id: {id}\r\nChicoryrail-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        http.write(head.as_bytes())?;
        for chunk in body.chunks(CHUNK_BYTES) {
            let mut bytes = format!("{:x}\r\n", chunk.len()).into_bytes();
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
            if http.write(&bytes).is_err() {
                break;
            }
            sleep_ms(CHUNK_PAUSE_MS);
        }
        let _ = http.write(b"0\r\n\r\n");
        let head = http.read_head()?.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        http.read_body(&head)?;
        Ok(head.status)
    };
    send().unwrap_or(0)
}

fn main() {
    let dir = std::env::args().nth(1).unwrap_or_else(|| "review/more".to_owned());
    let record = Record::create(&format!("{dir}/early500.txt"));
    let mut platform = Platform::start();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let rests = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    let mut entries = vec![("op/config".to_owned(), config())];
    for i in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let server = Arc::new(Server {
            name: format!("s{i}"),
            faulty: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            record: record.clone(),
            runs: Arc::clone(&runs),
            rests: Arc::clone(&rests),
        });
        let handled = Arc::clone(&server);
        serve(listener, move |http| handled.connection(http));
        entries.push((format!("servers/s{i}"), entry("orderdesk", addr, "z0", SLOTS, "ready", 0, unix_ms() - 60_000)));
        servers.push(server);
    }
    let entries: Vec<(&str, String)> = entries.iter().map(|(k, v)| (k.as_str(), v.clone())).collect();
    platform.put(&entries);
    for i in 0..ROUTERS {
        platform.start_router(&format!("h{i}"), &format!("127.0.0.{}", 11 + i), "z0", "");
    }
    platform.wait_ready();
    sleep_ms(2_000);
    let sent: Arc<Mutex<HashMap<String, (u64, u16)>>> = Arc::default();
    let fronts: Vec<SocketAddr> = platform.routers.iter().map(|r| r.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (sent, record, front) = (Arc::clone(&sent), record.clone(), fronts[client % fronts.len()]);
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                let mut n = 0;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    let id = new_id("r");
                    let body: Vec<u8> = (0..CHUNKS * CHUNK_BYTES).map(|at| (at / 64 + n * 7 + client) as u8).collect();
                    record.line(&format!("{id} sent {}", body.len()));
                    let status = order(front, &id, &body);
                    record.line(&format!("{id} answered {status}"));
                    sent.lock().unwrap().insert(id, (hash(&body), status));
                    sleep_ms(ORDER_PAUSE_MS);
                }
            })
        })
        .collect();
    for _ in 0..ROUNDS {
        sleep_ms(CALM_MS);
        for server in servers.iter().take(FAULTY_SERVERS) {
            server.faulty.store(has_trouble(), Ordering::Relaxed);
        }
        sleep_ms(FAULT_MS);
        for server in &servers {
            server.faulty.store(false, Ordering::Relaxed);
        }
    }
    sleep_ms(1_000);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(1_000);
    let ended = platform.ended_routers();
    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    let is_whole = |run: &&Run| sent.get(&run.id).is_some_and(|(whole, _)| *whole == run.hash);
    let mut changed = 0;
    for run in runs.iter().filter(|run| !is_whole(run)) {
        changed += 1;
        let status = sent.get(&run.id).map_or(0, |(_, status)| *status);
        record.line(&format!(
            "UNASKED: {} ran {} with {} bytes of {}; its client was answered {status}",
            run.server,
            run.id,
            run.bytes,
            CHUNKS * CHUNK_BYTES
        ));
    }
    let mut other = 0;
    for rest in rests.lock().unwrap().iter().filter(|rest| !is_whole(rest)) {
        other += 1;
        record.line(&format!(
            "UNASKED: {} got {} bytes and the end of the body of {}, which has {}",
            rest.server,
            rest.bytes,
            rest.id,
            CHUNKS * CHUNK_BYTES
        ));
    }
    let refused: u64 = servers.iter().map(|s| s.refused.load(Ordering::Relaxed)).sum();
    let answered = sent.values().filter(|(_, status)| *status == 200).count();
    let text = format!(
        "{} orders sent, {answered} answered 200, {} runs, {refused} failed early by servers, {changed} runs with another body, {other} rests of bodies with other bytes, ended routers {ended:?}",
        sent.len(),
        runs.len()
    );
    if answered < sent.len() / 4 {
        finish(&record, platform, 2, &format!("too few orders were served: {text}"));
    }
    finish(&record, platform, i32::from(changed + other > 0), &text)
}
