//! A request that crashes each server that runs it is not blocked: servers that were once found alive after a false report
//! of their end are taken as alive for good.

#[path = "../common/mod.rs"]
mod common;
#[path = "../common/paths.rs"]
mod paths;

use std::collections::HashMap;
use std::io;
use std::net::Shutdown;
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
use paths::*;

const HOST: &str = "desk.example";
const SERVICE: &str = "lessons";
const SERVERS: usize = 14;
/// Servers to which one host loses its path at a time: 3 of 14, below `share = 0.22`.
const CUT_AT_ONCE: usize = 3;
const CUT_MS: u64 = 1_000;
/// How often each server is cut off from that host.
const ROUNDS: usize = 3;
/// From the last cut to the request that crashes servers.
const QUIET_MS: u64 = 20_000;
const DEADLY: &str = "/y/deadly/100";
const DEADLY_EVERY_MS: u64 = 1_000;
const DEADLY_MS: u64 = 20_000;
/// Time after which a crashed server is back.
const RESTART_MS: u64 = 8_000;
/// `stable_window_ms`.
const STABLE_MS: u64 = 3_000;

struct Server {
    name: String,
    addr: SocketAddr,
    zone: &'static str,
    store: SocketAddr,
    up: AtomicBool,
    /// Path of the host in zone a, which refuses connections while the server is down.
    path: Arc<Path>,
    streams: Mutex<Vec<TcpStream>>,
    record: Record,
    deadly: Arc<Mutex<Vec<Instant>>>,
    served: Arc<AtomicU64>,
}

impl Server {
    fn start(name: &str, zone: &'static str, store: SocketAddr, record: &Record, deadly: &Arc<Mutex<Vec<Instant>>>, served: &Arc<AtomicU64>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let path = Path::open(addr);
        let server = Arc::new(Self {
            name: name.to_owned(),
            addr,
            zone,
            store,
            up: AtomicBool::new(true),
            path,
            streams: Mutex::default(),
            record: record.clone(),
            deadly: Arc::clone(deadly),
            served: Arc::clone(served),
        });
        server.listen(listener);
        server
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let server = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !server.up.load(Ordering::SeqCst) {
                    return;
                }
                server.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let server = Arc::clone(&server);
                thread::spawn(move || server.connection(Http::new(stream)));
            }
        });
    }

    fn entry(&self) -> String {
        entry(SERVICE, self.addr, self.zone, 4, "ready", 0, unix_ms())
    }

    /// Ends as a process that is killed, and starts again some seconds later.
    fn crash(self: &Arc<Self>) {
        if !self.up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.line(&format!("{} crashes", self.name));
        // The listener ends first: a killed process closes everything at once.
        let _ = TcpStream::connect(self.addr);
        sleep_ms(2);
        self.path.cut();
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let server = Arc::clone(self);
        thread::spawn(move || {
            sleep_ms(RESTART_MS);
            let listener = (0..100).find_map(|_| {
                sleep_ms(20);
                TcpListener::bind(server.addr).ok()
            });
            let listener = listener.unwrap_or_else(|| cannot_run("the address of a server is taken"));
            server.up.store(true, Ordering::SeqCst);
            server.listen(listener);
            server.path.heal();
            put(server.store, &format!("servers/{}", server.name), &server.entry());
            server.record.line(&format!("{} is back", server.name));
        });
    }

    fn connection(self: Arc<Self>, mut http: Http) -> io::Result<()> {
        while let Some(head) = http.read_head()? {
            http.read_body(&head)?;
            let id = head.id();
            if head.target == DEADLY {
                self.deadly.lock().unwrap().push(Instant::now());
                self.record.line(&format!("{} begins to run {id}, which crashes it", self.name));
                sleep_ms(30);
                self.crash();
                return Ok(());
            }
            if head.target == "/healthz" {
                http.respond("200 OK", &[("Chicoryrail-Instance-Id", &self.name)], b"")?;
                continue;
            }
            let work: u64 = head.target.rsplit('/').next().and_then(|t| t.parse().ok()).unwrap_or(100);
            sleep_ms(work);
            self.served.fetch_add(1, Ordering::Relaxed);
            let stamp = format!("{}.{id}", self.name);
            http.respond("200 OK", &[("Chicoryrail-Request-Id", &id), ("Chicoryrail-Upstream-Stamp", &stamp)], b"done\n")?;
        }
        Ok(())
    }
}

fn put(store: SocketAddr, key: &str, value: &str) {
    let body = format!("{{\"precondition\":[],\"puts\":[{{\"key\":\"{key}\",\"value\":\"{}\",\"lease\":0}}],\"remove\":[]}}", base64(value.as_bytes()));
    let _ = call(store, "POST", "/-/kv-txn", &[("Content-Type", "application/json")], body.as_bytes(), 5_000);
}

fn config() -> String {
    format!(
        "{{\"version\":\"r1\",\"services\":[{{\"name\":\"{SERVICE}\",\"health_check_path\":\"/healthz\",\"max_connections\":120,\"slow_start_s\":3,\"cold_per_s\":13,\"sharded\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"virtual_hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{{\"name\":\"lookup\",\"prefix\":\"/y/\",\"type\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":800,\"priority\":1,\"attempts\":1,\"service\":\"{SERVICE}\"}}]}}]}}"
    )
}

fn request(front: SocketAddr, path: &str, record: Option<&Record>) -> u16 {
    let id = new_id("r");
    let headers = [("Host", HOST), ("Chicoryrail-Request-Id", id.as_str()), ("Chicoryrail-Deadline-Ms", "1500")];
    let answer = call(front, "GET", path, &headers, b"", 2_000);
    let status = answer.as_ref().map_or(0, |(head, _)| head.status);
    if let Some(record) = record {
        let text = answer.map_or_else(|e| e.to_string(), |(_, body)| String::from_utf8_lossy(&body).trim().to_owned());
        record.line(&format!("{id} GET {path} sent to {front} answered {status} {text}"));
    }
    status
}

fn main() {
    let dir = std::env::args().nth(1).unwrap_or_else(|| "review/more".into());
    let record = Record::create(&format!("{dir}/deadly.txt"));
    let mut platform = Platform::start();
    let store = platform.store_addr;
    let (deadly, served) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicU64::new(0)));
    let servers: Vec<_> = (0..SERVERS)
        .map(|n| Server::start(&format!("s{n}"), "b", store, &record, &deadly, &served))
        .collect();
    let mut entries = vec![("op/config".to_owned(), config())];
    entries.extend(servers.iter().map(|s| (format!("servers/{}", s.name), s.entry())));
    let entries: Vec<(&str, String)> = entries.iter().map(|(k, v)| (k.as_str(), v.clone())).collect();
    platform.put(&entries);
    // The host in zone a has paths of its own to the servers. It watches the store, and those in zone b follow another.
    let paths: Vec<_> = servers.iter().map(|s| Arc::clone(&s.path)).collect();
    let own: HashMap<_, _> = servers.iter().zip(&paths).map(|(s, p)| (s.addr, p.addr)).collect();
    let relay = relay_store(store, own);
    platform.start_router_at("front-a-0", "127.0.0.1", "a", "", relay);
    for n in 1..4 {
        platform.start_router(&format!("front-b-{n}"), "127.0.0.1", "b", "");
    }
    platform.wait_ready();
    sleep_ms(3_000);
    let fronts: Vec<_> = platform.routers.iter().map(|r| r.front).collect();
    let ended = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..32_usize)
        .map(|n| {
            let (fronts, ended) = (fronts.clone(), Arc::clone(&ended));
            thread::spawn(move || {
                let (mut sent, mut ok) = (0_u32, 0_u32);
                while !ended.load(Ordering::Relaxed) {
                    // Most of them come to the host in zone a.
                    let front = if n < 24 { fronts[0] } else { fronts[1 + n % 3] };
                    sent += 1;
                    ok += u32::from(request(front, &format!("/y/{n}-{sent}/350"), None) == 200);
                    sleep_ms(15);
                }
                (sent, ok)
            })
        })
        .collect();
    sleep_ms(2_000);
    if has_trouble() {
        for group in (0..ROUNDS).flat_map(|_| paths.chunks(CUT_AT_ONCE)) {
            record.line(&format!("front-a-0 loses its path to {} servers", group.len()));
            group.iter().for_each(|p| p.cut());
            sleep_ms(CUT_MS);
            group.iter().for_each(|p| p.heal());
            record.line("these paths are back");
            sleep_ms(1_000);
        }
    }
    sleep_ms(QUIET_MS);
    record.line("a request that crashes the servers that run it comes");
    let begun = Instant::now();
    let mut n = 0;
    while begun.elapsed() < Duration::from_millis(DEADLY_MS) {
        request(fronts[n % fronts.len()], DEADLY, Some(&record));
        n += 1;
        let next = Duration::from_millis(DEADLY_EVERY_MS * n as u64);
        thread::sleep(next.saturating_sub(begun.elapsed()));
    }
    ended.store(true, Ordering::Relaxed);
    let (mut sent, mut ok) = (0, 0);
    for caller in callers {
        let (s, o) = caller.join().unwrap_or_default();
        sent += s;
        ok += o;
    }
    let deadly = deadly.lock().unwrap().clone();
    let late = deadly.get(2).map_or(0, |third| {
        let bound = *third + Duration::from_millis(STABLE_MS + 30);
        deadly.iter().filter(|at| **at > bound).count()
    });
    let text = format!("the request that crashes servers came {n} times and reached {} servers, {late} of them over {STABLE_MS} ms after the third had crashed; {ok} of {sent} other requests answered 200", deadly.len());
    if !platform.ended_routers().is_empty() || deadly.len() < 3 || ok * 2 < sent {
        finish(&record, platform, 2, &format!("could not run: {text}"));
    }
    finish(&record, platform, i32::from(late > 3), &text)
}
