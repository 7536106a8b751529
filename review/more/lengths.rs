//! An answer that states two lengths reaches the caller with the wrong one: the caller gets a part of the body, or bytes
//! that are no answer.

#[path = "../common/mod.rs"]
mod common;

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

const HOST: &str = "desk.example";
const SERVICE: &str = "status";
const SERVERS: usize = 6;
/// Servers that spoil answers: `share = 0.5`.
const FAULTY: usize = 3;
/// Part of the answers of such a server that are spoiled, `x = 0.02`.
const SPOILED_MAX: f64 = 0.02;
/// How long servers spoil answers at a time, `for_s = 5`, and the pause between.
const SPELL_MS: u128 = 5_000;
const PAUSE_MS: u128 = 1_000;
const RUN_MS: u64 = 40_000;
/// Time budget of a request.
const BUDGET_MS: u64 = 1_000;

/// The body that a server sends for an id: some hundred to some thousand bytes.
fn body_of(id: &str) -> Vec<u8> {
    let length = 400 + hash(id.as_bytes()) as usize % 4_000;
    format!("answer to {id}; ").into_bytes().into_iter().cycle().take(length).collect()
}

struct Server {
    name: String,
    is_faulty: bool,
    answers: AtomicU64,
    spoiled: AtomicU64,
    started: Instant,
    record: Record,
}

impl Server {
    fn connection(&self, mut http: Http) -> io::Result<()> {
        while let Some(head) = http.read_head()? {
            http.read_body(&head)?;
            if head.target == "/healthz" {
                http.respond("200 OK", &[("Chicoryrail-Instance-Id", &self.name)], b"")?;
                continue;
            }
            let id = head.id();
            sleep_ms(30);
            let body = body_of(&id);
            let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            let in_spell = self.started.elapsed().as_millis() % (SPELL_MS + PAUSE_MS) < SPELL_MS;
            let within = (self.spoiled.load(Ordering::Relaxed) + 1) as f64 <= answers as f64 * SPOILED_MAX;
            let mut second = String::new();
            if self.is_faulty && has_trouble() && in_spell && within {
                let count = self.spoiled.fetch_add(1, Ordering::Relaxed);
                // The answer is in chunks, and also states a length, which is too small or too large.
                let length = if count % 2 == 0 { body.len() / 2 } else { body.len() * 2 };
                second = format!("Content-Length: {length}\r\n");
                self.record.line(&format!("{} answers {id} with {} bytes in chunks, and states a length of {length}", self.name, body.len()));
            } else {
                self.record.line(&format!("{} answers {id} with {} bytes in chunks", self.name, body.len()));
            }
            let text = format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{second}Chicoryrail-Request-Id: {id}\r\nChicoryrail-Upstream-Stamp: {}.{id}\r\n\r\n{:x}\r\n",
                self.name,
                body.len()
            );
            let mut bytes = text.into_bytes();
            bytes.extend_from_slice(&body);
            bytes.extend_from_slice(b"\r\n0\r\n\r\n");
            http.write(&bytes)?;
        }
        Ok(())
    }
}

fn config() -> String {
    format!(
        "{{\"version\":\"r1\",\"services\":[{{\"name\":\"{SERVICE}\",\"health_check_path\":\"/healthz\",\"max_connections\":110,\"slow_start_s\":3,\"cold_per_s\":13,\"sharded\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"virtual_hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{{\"name\":\"lookup\",\"prefix\":\"/y/\",\"type\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":1,\"attempts\":2,\"service\":\"{SERVICE}\"}}]}}]}}"
    )
}

/// What a caller counted.
#[derive(Default)]
struct Count {
    sent: u32,
    ok: u32,
    refused: u32,
    /// Successes whose body is not the server's whole body.
    wrong_body: u32,
    /// Bytes where an answer was due that are none.
    no_answer: u32,
    /// Requests without a complete answer.
    incomplete: u32,
}

/// Sends lookups one after the other on kept connections.
fn caller(fronts: &[SocketAddr], mut k: usize, begun: Instant, record: &Record) -> Count {
    let mut count = Count::default();
    let mut kept: Option<Http> = None;
    while begun.elapsed() < Duration::from_millis(RUN_MS) {
        let front = fronts[k % fronts.len()];
        let Some(mut http) = kept.take().or_else(|| Http::connect(front).ok()) else {
            sleep_ms(50);
            continue;
        };
        let _ = http.stream.set_read_timeout(Some(Duration::from_millis(BUDGET_MS)));
        let id = new_id("r");
        count.sent += 1;
        let text = format!("GET /y/{id} HTTP/1.1\r\nHost: {HOST}\r\nChicoryrail-Request-Id: {id}\r\nChicoryrail-Deadline-Ms: {BUDGET_MS}\r\n\r\n");
        let head = http.write(text.as_bytes()).and_then(|()| http.read_head());
        let what = match head {
            Ok(Some(head)) if head.status == 0 => {
                count.no_answer += 1;
                "MIXED: got bytes that are no answer, left over from the answer before".to_owned()
            }
            Ok(Some(head)) => match http.read_body(&head) {
                Ok(body) if head.status == 200 && (body != body_of(&id) || head.id() != id) => {
                    count.wrong_body += 1;
                    // The caller does not know that the answer was wrong, and goes on on the connection.
                    kept = Some(http);
                    format!("MIXED: got 200 with {} bytes that are not the server's whole body of {}", body.len(), body_of(&id).len())
                }
                Ok(body) => {
                    count.ok += u32::from(head.status == 200);
                    count.refused += u32::from(head.status != 200);
                    if !head.get("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
                        kept = Some(http);
                    }
                    format!("got {} with {} bytes", head.status, body.len())
                }
                Err(e) => {
                    count.incomplete += 1;
                    format!("got {} and an incomplete body: {e}", head.status)
                }
            },
            Ok(None) => "got a closed connection".to_owned(),
            Err(e) => {
                count.incomplete += 1;
                format!("got no complete answer: {e}")
            }
        };
        record.line(&format!("{id} GET sent to {front} {what}"));
        if kept.is_none() {
            k += 1;
        }
        sleep_ms(20);
    }
    count
}

fn main() {
    let dir = std::env::args().nth(1).unwrap_or_else(|| "review/more".into());
    let record = Record::create(&format!("{dir}/lengths.txt"));
    let mut platform = Platform::start();
    let mut entries = vec![("op/config".to_owned(), config())];
    for n in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let server = Server { name: format!("s{n}"), is_faulty: n < FAULTY, answers: AtomicU64::new(0), spoiled: AtomicU64::new(0), started: Instant::now(), record: record.clone() };
        entries.push((format!("servers/{}", server.name), entry(SERVICE, addr, ["a", "b", "c"][n % 3], 8, "ready", 0, unix_ms())));
        serve(listener, move |http| server.connection(http));
    }
    let entries: Vec<(&str, String)> = entries.iter().map(|(k, v)| (k.as_str(), v.clone())).collect();
    platform.put(&entries);
    for (n, zone) in ["a", "b", "c"].into_iter().enumerate() {
        platform.start_router(&format!("front-{zone}-{n}"), "127.0.0.1", zone, "");
    }
    platform.wait_ready();
    sleep_ms(3_000);
    let fronts: Arc<[SocketAddr]> = platform.routers.iter().map(|r| r.front).collect();
    let begun = Instant::now();
    let callers: Vec<_> = (0..20_usize)
        .map(|n| {
            let (fronts, record) = (Arc::clone(&fronts), record.clone());
            thread::spawn(move || caller(&fronts, n, begun, &record))
        })
        .collect();
    let mut all = Count::default();
    for caller in callers {
        let count = caller.join().unwrap_or_default();
        all.sent += count.sent;
        all.ok += count.ok;
        all.refused += count.refused;
        all.wrong_body += count.wrong_body;
        all.no_answer += count.no_answer;
        all.incomplete += count.incomplete;
    }
    let text = format!(
        "{} requests sent, {} answered 200 with the server's body, {} other statuses, {} answered 200 with another body, {} got bytes that are no answer, {} got no complete answer",
        all.sent, all.ok, all.refused, all.wrong_body, all.no_answer, all.incomplete
    );
    if !platform.ended_routers().is_empty() || all.ok * 2 < all.sent {
        finish(&record, platform, 2, &format!("could not run: {text}"));
    }
    finish(&record, platform, i32::from(all.wrong_body + all.no_answer > 0), &text)
}
