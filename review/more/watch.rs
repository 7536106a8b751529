//! A watch of the store whose connection goes silent: a host keeps an old configuration for many seconds.

#[path = "../common/mod.rs"]
mod common;

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

const HOST: &str = "desk.example";
/// `stable_window_ms`, and some more.
const AFTER_SILENCE_MS: u64 = 4_000;
/// `config_apply_ms`.
const APPLY_MS: u64 = 2_000;
const ASKED_MS: u64 = 14_000;

/// A connection of a router to the store.
struct Link {
    /// The last call that the router sent on it.
    call: Mutex<String>,
    silent: AtomicBool,
}

/// Passes the connections of one router on to the store.
struct Way {
    addr: SocketAddr,
    links: Mutex<Vec<Arc<Link>>>,
}

impl Way {
    fn open(store: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let way = Arc::new(Self { addr: listener.local_addr().unwrap(), links: Mutex::default() });
        let accepting = Arc::clone(&way);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(upstream) = TcpStream::connect(store) else { continue };
                let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
                let link = Arc::new(Link { call: Mutex::default(), silent: AtomicBool::new(false) });
                accepting.links.lock().unwrap().push(Arc::clone(&link));
                pass(stream.try_clone().unwrap(), upstream.try_clone().unwrap(), Arc::clone(&link), true);
                pass(upstream, stream, link, false);
            }
        });
        way
    }

    /// Silences the connection on which the router watches the operator's keys; returns how many there are and were.
    fn silence_watch(&self) -> Option<usize> {
        let links = self.links.lock().unwrap();
        let watch = links.iter().rev().find(|l| {
            let call = l.call.lock().unwrap();
            call.contains("/-/kv-watch") && call.contains("prefix=op")
        })?;
        watch.silent.store(true, Ordering::SeqCst);
        Some(links.len())
    }
}

/// Copies one direction. What comes on a silent connection is read and dropped.
fn pass(mut from: TcpStream, mut to: TcpStream, link: Arc<Link>, is_call: bool) {
    thread::spawn(move || {
        let mut buf = vec![0; 16 << 10];
        while let Ok(n) = from.read(&mut buf) {
            if link.silent.load(Ordering::SeqCst) {
                if n == 0 {
                    break;
                }
                continue;
            }
            if n == 0 || to.write_all(&buf[..n]).is_err() {
                break;
            }
            if is_call {
                let text = String::from_utf8_lossy(&buf[..n]).into_owned();
                *link.call.lock().unwrap() = text.lines().next().unwrap_or_default().to_owned();
            }
        }
        if !link.silent.load(Ordering::SeqCst) {
            *link.call.lock().unwrap() = String::new();
            let _ = from.shutdown(Shutdown::Both);
            let _ = to.shutdown(Shutdown::Both);
        }
    });
}

fn server(name: String, mut http: Http) -> io::Result<()> {
    while let Some(head) = http.read_head()? {
        http.read_body(&head)?;
        let id = head.id();
        let stamp = format!("{name}.{id}");
        http.respond("200 OK", &[("Chicoryrail-Request-Id", &id), ("Chicoryrail-Upstream-Stamp", &stamp)], name.as_bytes())?;
    }
    Ok(())
}

fn config(version: u64, service: &str) -> String {
    let spec = |name: &str| format!("{{\"name\":\"{name}\",\"health_check_path\":\"/healthz\",\"max_connections\":120,\"slow_start_s\":3,\"cold_per_s\":13,\"sharded\":false}}");
    format!(
        "{{\"version\":\"r{version}\",\"services\":[{},{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"virtual_hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{{\"name\":\"lookup\",\"prefix\":\"/y/\",\"type\":\"safe\",\"timeout_ms\":1000,\"target_latency_ms\":300,\"priority\":1,\"attempts\":2,\"service\":\"{service}\"}}]}}]}}",
        spec("old"),
        spec("new")
    )
}

fn ask(front: SocketAddr) -> (String, u16, String) {
    let id = new_id("r");
    let headers = [("Host", HOST), ("Chicoryrail-Request-Id", id.as_str()), ("Chicoryrail-Deadline-Ms", "1000")];
    match call(front, "GET", "/y/1", &headers, b"", 1_500) {
        Ok((head, body)) => (id, head.status, String::from_utf8_lossy(&body).trim().to_owned()),
        Err(e) => (id, 0, e.to_string()),
    }
}

fn main() {
    let dir = std::env::args().nth(1).unwrap_or_else(|| "review/more".into());
    let record = Record::create(&format!("{dir}/watch.txt"));
    let mut platform = Platform::start();
    let store = platform.store_addr;
    let mut entries = vec![("op/config".to_owned(), config(1, "old"))];
    for (n, service) in ["old", "old", "new", "new"].into_iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let name = format!("{service}-{n}");
        entries.push((format!("servers/{name}"), entry(service, addr, ["a", "b"][n % 2], 4, "ready", 0, unix_ms())));
        serve(listener, move |http| server(name.clone(), http));
    }
    let entries: Vec<(&str, String)> = entries.iter().map(|(k, v)| (k.as_str(), v.clone())).collect();
    platform.put(&entries);
    let mut ways = Vec::new();
    for (n, zone) in ["a", "b", "c"].into_iter().enumerate() {
        let way = Way::open(store);
        platform.start_router_at(&format!("front-{zone}-{n}"), "127.0.0.1", zone, "", way.addr);
        ways.push(way);
    }
    platform.wait_ready();
    sleep_ms(5_000);
    let fronts: Vec<_> = platform.routers.iter().map(|r| r.front).collect();
    if has_trouble() {
        let silenced = ways.iter().enumerate().find_map(|(n, way)| Some((n, way.silence_watch()?)));
        let Some((n, links)) = silenced else {
            finish(&record, platform, 2, "no host watches the operator's keys");
        };
        record.line(&format!("the connection on which host {n} watches the operator's keys goes silent, one of {links} that it opened so far"));
    }
    sleep_ms(AFTER_SILENCE_MS);
    platform.put(&[("op/config", config(2, "new"))]);
    let acknowledged = Instant::now();
    record.line("version r2, in which the route goes to the service new, is acknowledged");
    let (mut late, mut asked) = (0, 0);
    while acknowledged.elapsed() < Duration::from_millis(ASKED_MS) {
        for (n, front) in fronts.iter().enumerate() {
            let sent = acknowledged.elapsed().as_millis() as u64;
            let (id, status, text) = ask(*front);
            record.line(&format!("{id} sent to host {n} {sent} ms after the acknowledgement, answered {status} {text}"));
            asked += 1;
            if sent > APPLY_MS && text.starts_with("old") {
                late += 1;
                record.line(&format!("CONFIG: {id} was run by the old service"));
            }
        }
        sleep_ms(200);
    }
    let text = format!("{asked} requests sent, {late} run by the old service although sent over {APPLY_MS} ms after the acknowledgement");
    if !platform.ended_routers().is_empty() {
        finish(&record, platform, 2, &format!("could not run: {text}"));
    }
    finish(&record, platform, i32::from(late > 0), &text)
}
