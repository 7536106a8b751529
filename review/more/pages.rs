//! What the pages allow and the router does not take: settings with a fraction among the `bounds`, a route with a rank of 300, a
//! server's entry of another writer with a field missing, and a request with 70 header fields. TROUBLE=0 has a whole number,
//! a rank of 3, an entry with a state that the pages don't name, and 40 header fields in their place.

#[path = "../common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use common::*;

const HOST: &str = "shop.example";
const WORK_MS: u64 = 20;

type Runs = Arc<Mutex<Vec<(String, String)>>>;

/// A server that runs only what expects it by its id, and notes the service that it belongs to.
fn serve_server(name: &str, service: &str, mut http: Http, runs: &Runs) -> io::Result<()> {
    while let Some(head) = http.read_head()? {
        http.read_body(&head)?;
        if head.target == "/healthz" {
            http.respond("200 OK", &[("Chicoryrail-Instance-Id", name)], b"")?;
            continue;
        }
        let id = head.id();
        if head.get("chicoryrail-expect-instance") != Some(name) {
            let headers = [("Chicoryrail-Request-Id", id.as_str()), ("Chicoryrail-Not-Executed", "1"), ("Chicoryrail-Instance-Id", name)];
            http.respond("421 Misdirected Request", &headers, b"")?;
            continue;
        }
        runs.lock().unwrap().push((id.clone(), service.to_owned()));
        sleep_ms(WORK_MS);
        let stamp = format!("{name}.{id}");
        http.respond("200 OK", &[("Chicoryrail-Request-Id", &id), ("Chicoryrail-Upstream-Stamp", &stamp)], b"ok")?;
    }
    Ok(())
}

fn config(version: u64, service: &str, rank: u64) -> String {
    let spec = |name: &str| format!("{{\"name\":\"{name}\",\"health_check_path\":\"/healthz\",\"max_connections\":120,\"slow_start_s\":0,\"cold_per_s\":13.0,\"sharded\":false}}");
    format!(
        "{{\"version\":\"r{version}\",\"services\":[{},{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"virtual_hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{{\"name\":\"order-place\",\"prefix\":\"/order/\",\"type\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":400,\"priority\":{rank},\"attempts\":2,\"service\":\"{service}\"}}]}}]}}",
        spec("orderdesk"),
        spec("lessonhub"),
    )
}

/// Sends orders for a time, with so many extra header fields; returns the statuses.
fn load(fronts: &[SocketAddr], for_ms: u64, fields: usize, record: &Record) -> Vec<(String, u16)> {
    let got: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let sent = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..8)
        .map(|n| {
            let (got, sent, record, front) = (Arc::clone(&got), Arc::clone(&sent), record.clone(), fronts[n % fronts.len()]);
            thread::spawn(move || {
                let begun = std::time::Instant::now();
                while begun.elapsed().as_millis() < u128::from(for_ms) {
                    sent.fetch_add(1, Ordering::Relaxed);
                    let id = new_id("o");
                    let names: Vec<String> = (0..fields).map(|i| format!("X-Field-{i}")).collect();
                    let mut headers = vec![("Host", HOST), ("Chicoryrail-Request-Id", id.as_str()), ("Chicoryrail-Deadline-Ms", "1000")];
                    headers.extend(names.iter().map(|name| (name.as_str(), "v")));
                    let status = call(front, "POST", "/order/1", &headers, b"one", 1_500).map_or(0, |(head, _)| head.status);
                    record.line(&format!("{id} answered {status}"));
                    got.lock().unwrap().push((id, status));
                    sleep_ms(30);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    Arc::try_unwrap(got).unwrap().into_inner().unwrap()
}

fn main() {
    let dir = std::env::args().nth(1).unwrap_or_else(|| "review/more".into());
    let record = Record::create(&format!("{dir}/pages.txt"));
    let mut platform = Platform::start();
    let runs: Runs = Arc::default();
    let mut addrs: BTreeMap<String, SocketAddr> = BTreeMap::new();
    let mut entries = vec![("op/config".to_owned(), config(3, "orderdesk", 1))];
    for n in 0..4 {
        let service = if n < 2 { "orderdesk" } else { "lessonhub" };
        let name = format!("s{n}");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        entries.push((format!("servers/{name}"), entry(service, addr, "z0", 2, "ready", 0, unix_ms())));
        addrs.insert(name.clone(), addr);
        let runs = Arc::clone(&runs);
        serve(listener, move |http| serve_server(&name, service, http, &runs));
    }
    let puts: Vec<(&str, String)> = entries.iter().map(|(k, v)| (k.as_str(), v.clone())).collect();
    platform.put(&puts);
    for n in 0..3 {
        platform.start_router(&format!("h{n}"), &format!("127.0.0.{}", 11 + n), "z0", "");
    }
    platform.wait_ready();
    sleep_ms(2_000);
    let fronts: Vec<SocketAddr> = platform.routers.iter().map(|r| r.front).collect();
    let mut broken = Vec::new();
    let ran_by = |service: &str| runs.lock().unwrap().iter().filter(|(_, s)| s == service).count();

    // DENIED: proper requests are answered with a 4xx.
    let got = load(&fronts, 1_000, if has_trouble() { 70 } else { 40 }, &record);
    let denied = got.iter().filter(|(_, status)| (400..500).contains(status) && !matches!(status, 408 | 421 | 429)).count();
    if denied > 5 + got.len() / 500 {
        broken.push(format!("DENIED: {denied} of {} requests with many header fields", got.len()));
    }

    // ROUTE: an entry that names no server to use.
    let sound = entry("lessonhub", addrs["s2"], "z0", 2, "ready", 0, unix_ms());
    let full = entry("orderdesk", addrs["s2"], "z0", 2, "ready", 0, 1);
    let other = if has_trouble() { full.replace(",\"sequence\":1", "") } else { full.replace("\"ready\"", "\"resting\"") };
    runs.lock().unwrap().clear();
    let mut sent = 0;
    for _ in 0..3 {
        platform.put(&[("servers/s2", other.clone())]);
        sent += load(&fronts, 870, 0, &record).len();
        // The server's own next write.
        platform.put(&[("servers/s2", sound.clone())]);
        sent += load(&fronts, 1_500, 0, &record).len();
    }
    if ran_by("lessonhub") > 0 {
        broken.push(format!("ROUTE: {} of {sent} orders ran at a server of another service", ran_by("lessonhub")));
    }

    // CONFIG: requests later than `config_apply_ms` after the acknowledgement of a version are run by the old service.
    platform.put(&[("op/config", config(8, "lessonhub", if has_trouble() { 300 } else { 3 }))]);
    sleep_ms(3_000);
    runs.lock().unwrap().clear();
    let got = load(&fronts, 2_000, 0, &record);
    if ran_by("orderdesk") > 0 {
        broken.push(format!("CONFIG: {} of {} orders sent over 3 s after the acknowledgement ran by the old service", ran_by("orderdesk"), got.len()));
    }

    // Fault: a program doesn't start.
    let settings = fs::read_to_string(platform.dir.join("h0.toml")).unwrap();
    let value = if has_trouble() { "2000.5" } else { "2001" };
    let settings = settings.replace("drain_timeout_ms = 2000", &format!("drain_timeout_ms = {value}")).replace("127.0.0.11", "127.0.0.21");
    let path = platform.dir.join("fraction.toml");
    fs::write(&path, settings).unwrap();
    let mut child = Command::new("target/release/chicoryrail-router")
        .args(["--metrics-port", &free_port("127.0.0.21").to_string()])
        .env("CHICORYRAIL_BOOT", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    sleep_ms(2_000);
    if let Ok(Some(status)) = child.try_wait() {
        broken.push(format!("Fault: a router whose settings have drain_timeout_ms = {value} doesn't start ({status})"));
    }
    let _ = child.kill();
    let _ = child.wait();

    let ended = platform.ended_routers();
    let text = if broken.is_empty() { format!("nothing broken; ended {ended:?}") } else { broken.join("; ") };
    finish(&record, platform, i32::from(!broken.is_empty()), &text)
}
