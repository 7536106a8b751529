//! Uploads whose callers have left while they waited for a slot still reach servers.

#[path = "../common/mod.rs"]
mod common;

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

const HOST: &str = "desk.example";
const SERVICE: &str = "batches";
const SERVERS: usize = 3;
const SLOTS: u32 = 2;
const WORK_MS: u64 = 1_000;
const BODY: usize = 240 << 10;
const RUN_MS: u64 = 45_000;
/// Part of the callers that leave, `share = 0.3`, and after how long, `x = 1500`.
const LEAVING: f64 = 0.3;
const LEAVE_MS: u64 = 1_500;

type Seen = Arc<Mutex<HashMap<String, Instant>>>;

struct Server {
    name: String,
    record: Record,
    seen: Seen,
    busy: Mutex<u32>,
}

impl Server {
    fn connection(&self, mut http: Http) -> io::Result<()> {
        while let Some(head) = http.read_head()? {
            let id = head.id();
            if head.method == "GET" {
                http.respond("200 OK", &[("Chicoryrail-Instance-Id", &self.name)], b"")?;
                continue;
            }
            self.seen.lock().unwrap().insert(id.clone(), Instant::now());
            self.record.line(&format!("{} gets {id}", self.name));
            let body = http.read_body(&head)?;
            *self.busy.lock().unwrap() += 1;
            self.record.line(&format!("{} runs {id} of {} bytes", self.name, body.len()));
            sleep_ms(WORK_MS);
            let load = {
                let mut busy = self.busy.lock().unwrap();
                *busy -= 1;
                format!("{},0,{SLOTS}", *busy)
            };
            let stamp = format!("{}.{id}", self.name);
            http.respond("200 OK", &[("Chicoryrail-Request-Id", &id), ("Chicoryrail-Upstream-Stamp", &stamp), ("Chicoryrail-Upstream-Load", &load)], b"done\n")?;
        }
        Ok(())
    }
}

fn config() -> String {
    format!(
        "{{\"version\":\"r1\",\"services\":[{{\"name\":\"{SERVICE}\",\"health_check_path\":\"/healthz\",\"max_connections\":120,\"slow_start_s\":3,\"cold_per_s\":13,\"sharded\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"virtual_hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{{\"name\":\"batch\",\"prefix\":\"/u/\",\"type\":\"upload\",\"timeout_ms\":10000,\"target_latency_ms\":1000,\"priority\":1,\"attempts\":2,\"service\":\"{SERVICE}\"}}]}}]}}"
    )
}

/// Sends an upload in chunks; leaves after `leave` if there is no answer. Returns the status, and when the caller left.
fn upload(id: &str, front: SocketAddr, leave: Option<u64>, record: &Record) -> io::Result<(u16, Option<Instant>)> {
    let mut http = Http::connect(front)?;
    record.line(&format!("{id} POST /u/1 sent to {front}"));
    http.write(format!("POST /u/1 HTTP/1.1\r\nHost: {HOST}\r\nChicoryrail-Request-Id: {id}\r\nChicoryrail-Deadline-Ms: 10000\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes())?;
    let begun = Instant::now();
    let mut writer = http.stream.try_clone()?;
    let sending = thread::spawn(move || {
        let chunk = vec![b'x'; 8 << 10];
        for _ in 0..BODY / chunk.len() {
            let mut bytes = format!("{:x}\r\n", chunk.len()).into_bytes();
            bytes.extend_from_slice(&chunk);
            bytes.extend_from_slice(b"\r\n");
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
        let _ = writer.write_all(b"0\r\n\r\n");
    });
    let limit = leave.unwrap_or(10_500);
    http.stream.set_read_timeout(Some(Duration::from_millis(limit)))?;
    let answer = http.read_head();
    let left = match &answer {
        Err(e) if begun.elapsed() >= Duration::from_millis(limit) && e.kind() != io::ErrorKind::UnexpectedEof => {
            let _ = http.stream.shutdown(std::net::Shutdown::Both);
            Some(Instant::now())
        }
        _ => None,
    };
    let status = answer.ok().flatten().map_or(0, |a| a.status);
    record.line(&format!("{id} {}", if left.is_some() { "left".to_owned() } else { format!("answered {status}") }));
    let _ = http.stream.shutdown(std::net::Shutdown::Both);
    let _ = sending.join();
    Ok((status, left))
}

fn main() {
    let dir = std::env::args().nth(1).unwrap_or_else(|| "review/more".into());
    let record = Record::create(&format!("{dir}/gone.txt"));
    let mut platform = Platform::start();
    let seen: Seen = Arc::default();
    let mut entries = vec![("op/config".to_owned(), config())];
    for n in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let server = Server { name: format!("s{n}"), record: record.clone(), seen: Arc::clone(&seen), busy: Mutex::new(0) };
        entries.push((format!("servers/{}", server.name), entry(SERVICE, addr, ["a", "b", "c"][n % 3], SLOTS, "ready", 0, unix_ms())));
        serve(listener, move |http| server.connection(http));
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
    let callers: Vec<_> = (0..28_u64)
        .map(|n| {
            let (fronts, record) = (fronts.clone(), record.clone());
            thread::spawn(move || {
                let mut got = Vec::new();
                let mut seed = n * 7_919 + 1;
                while begun.elapsed() < Duration::from_millis(RUN_MS) {
                    seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                    let leaves = has_trouble() && ((seed >> 33) % 1_000) as f64 / 1_000.0 < LEAVING;
                    let id = new_id("u");
                    let result = upload(&id, fronts[(seed >> 20) as usize % fronts.len()], leaves.then_some(LEAVE_MS), &record);
                    got.push((id, result.unwrap_or((0, None))));
                    sleep_ms(if matches!(got.last(), Some((_, (503, _)))) { 700 } else { 50 });
                }
                got
            })
        })
        .collect();
    let got: Vec<_> = callers.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();
    sleep_ms(1_000);
    let seen = seen.lock().unwrap();
    let mut late = 0;
    for (id, (_, left)) in &got {
        if let (Some(left), Some(at)) = (left, seen.get(id)) {
            let after = at.saturating_duration_since(*left).as_millis();
            if after > 500 {
                late += 1;
                record.line(&format!("GONE: {id} reached a server {after} ms after its caller had closed the connection"));
            }
        }
    }
    let count = |status: u16| got.iter().filter(|(_, (s, l))| *s == status && l.is_none()).count();
    let left = got.iter().filter(|(_, (_, l))| l.is_some()).count();
    let text = format!("{} uploads: {} answered 200, {} 503, {left} callers left; {late} of these uploads reached a server over 500 ms later", got.len(), count(200), count(503));
    if !platform.ended_routers().is_empty() || got.len() < 50 {
        finish(&record, platform, 2, &format!("could not run: {text}"));
    }
    finish(&record, platform, i32::from(late > 5), &text)
}
