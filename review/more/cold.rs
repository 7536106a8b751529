//! A server that becomes cold again while the store is down gets as many requests as before.

#[path = "../common/mod.rs"]
mod common;

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

const HOST: &str = "desk.example";
const SERVICE: &str = "lessons";
const SERVERS: usize = 4;
/// `cold_per_s` x `cold_over` + `cold_slack` of updraft-hosted.
const BOUND: f64 = 5.3 * 1.5 + 5.0;
/// `slow_start_s`.
const COLD_MS: u64 = 3_000;
/// How long the store is down, `for_s` of `platform_down`.
const DOWN_MS: u64 = 4_500;
const CALLERS: u64 = 36;
const EVERY_MS: u64 = 200;

struct Server {
    name: String,
    arrivals: Mutex<Vec<Instant>>,
    cold_until: Mutex<Option<Instant>>,
}

impl Server {
    fn connection(&self, mut http: Http) -> io::Result<()> {
        while let Some(head) = http.read_head()? {
            http.read_body(&head)?;
            let left = self.cold_until.lock().unwrap().map_or(0, |until| until.saturating_duration_since(Instant::now()).as_millis());
            if head.target == "/healthz" {
                http.respond("200 OK", &[("Chicoryrail-Instance-Id", &self.name), ("Chicoryrail-Warmup-Ms", &left.to_string())], b"")?;
                continue;
            }
            self.arrivals.lock().unwrap().push(Instant::now());
            let id = head.id();
            sleep_ms(if left > 0 { 72 } else { 36 });
            let stamp = format!("{}.{id}", self.name);
            http.respond("200 OK", &[("Chicoryrail-Request-Id", &id), ("Chicoryrail-Upstream-Stamp", &stamp)], b"done\n")?;
        }
        Ok(())
    }
}

fn config() -> String {
    format!(
        "{{\"version\":\"r1\",\"services\":[{{\"name\":\"{SERVICE}\",\"health_check_path\":\"/healthz\",\"max_connections\":110,\"slow_start_s\":3,\"cold_per_s\":5.3,\"sharded\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"virtual_hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{{\"name\":\"lookup\",\"prefix\":\"/y/\",\"type\":\"safe\",\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":1,\"attempts\":2,\"service\":\"{SERVICE}\"}}]}}]}}"
    )
}

fn request(front: SocketAddr) -> u16 {
    let id = new_id("r");
    let headers = [("Host", HOST), ("Chicoryrail-Request-Id", id.as_str()), ("Chicoryrail-Deadline-Ms", "800")];
    call(front, "GET", "/y/1", &headers, b"", 1_300).map_or(0, |(head, _)| head.status)
}

fn main() {
    let dir = std::env::args().nth(1).unwrap_or_else(|| "review/more".into());
    let record = Record::create(&format!("{dir}/cold.txt"));
    let mut platform = Platform::start();
    let mut entries = vec![("op/config".to_owned(), config())];
    let mut servers = Vec::new();
    let mut addrs = Vec::new();
    let born = unix_ms();
    for n in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let server = Arc::new(Server { name: format!("s{n}"), arrivals: Mutex::default(), cold_until: Mutex::new(None) });
        entries.push((format!("servers/s{n}"), entry(SERVICE, addr, ["a", "b", "c"][n % 3], 2, "ready", 0, born)));
        let handled = Arc::clone(&server);
        serve(listener, move |http| handled.connection(http));
        servers.push(server);
        addrs.push(addr);
    }
    let entries: Vec<(&str, String)> = entries.iter().map(|(k, v)| (k.as_str(), v.clone())).collect();
    platform.put(&entries);
    for (n, zone) in ["a", "b", "c"].into_iter().enumerate() {
        platform.start_router(&format!("front-{zone}-{n}"), "127.0.0.1", zone, "");
    }
    platform.wait_ready();
    sleep_ms(3_000);
    let fronts: Vec<_> = platform.routers.iter().map(|r| r.front).collect();
    let begun = Instant::now();
    let (sent, ok) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (fronts, sent, ok) = (fronts.clone(), Arc::clone(&sent), Arc::clone(&ok));
            thread::spawn(move || {
                let mut next = Duration::from_millis(n * EVERY_MS / CALLERS);
                let mut k = n as usize;
                while begun.elapsed() < Duration::from_millis(16_000) {
                    thread::sleep(next.saturating_sub(begun.elapsed()));
                    next += Duration::from_millis(EVERY_MS);
                    sent.fetch_add(1, Ordering::Relaxed);
                    ok.fetch_add(u64::from(request(fronts[k % fronts.len()]) == 200), Ordering::Relaxed);
                    k += 1;
                }
            })
        })
        .collect();
    sleep_ms(5_000);
    if has_trouble() {
        platform.store.signal("STOP");
        record.line("the store answers nobody");
    }
    sleep_ms(1_000);
    let cold = Instant::now();
    *servers[0].cold_until.lock().unwrap() = Some(cold + Duration::from_millis(COLD_MS));
    record.line("s0 becomes cold again");
    if !has_trouble() {
        platform.put(&[("servers/s0", entry(SERVICE, addrs[0], "a", 2, "ready", COLD_MS, born))]);
        record.line("its entry says so");
    }
    sleep_ms(DOWN_MS - 1_000);
    if has_trouble() {
        platform.store.signal("CONT");
        record.line("the store answers again");
    }
    for caller in callers {
        let _ = caller.join();
    }
    let arrivals = servers[0].arrivals.lock().unwrap().clone();
    let during: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= cold && *at < cold + Duration::from_millis(COLD_MS)).collect();
    let in_second = |from: &Instant| during.iter().filter(|at| **at >= *from && at.duration_since(*from) < Duration::from_secs(1)).count();
    let most = during.iter().map(in_second).max().unwrap_or(0);
    for at in &during {
        record.line(&format!("s0 got a request {} ms after it had become cold", at.duration_since(cold).as_millis()));
    }
    let (sent, ok) = (sent.load(Ordering::Relaxed), ok.load(Ordering::Relaxed));
    let text = format!("s0 got {} requests in the {COLD_MS} ms in which it was cold, {most} of them in one second, where {BOUND} are allowed; {ok} of {sent} requests answered 200", during.len());
    if !platform.ended_routers().is_empty() || ok * 2 < sent {
        finish(&record, platform, 2, &format!("could not run: {text}"));
    }
    finish(&record, platform, i32::from(most as f64 > BOUND), &text)
}
