//! Downloads while one of seven servers goes silent within some of its answers.

#[path = "../common/mod.rs"]
mod common;

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

const HOSTS: usize = 3;
const SERVERS: usize = 7;
const CLIENTS: usize = 12;
const BODY: usize = 90_000;
/// Bytes of an answer after which the server says nothing more.
const SENT: usize = 40_000;
/// The silent server leaves two of five requests without an end: a share of 0.4.
const SILENT_OF_FIVE: u64 = 2;
const SPELL_MS: u64 = 6_500;
const SPELLS: usize = 2;
const TIMEOUT_MS: u128 = 1_000;
const DEADLINE_MS: u64 = 6_000;

fn main() {
    let record = Record::create(&format!("{}/silent.txt", std::env::args().nth(1).expect("the folder of the record")));
    let mut platform = Platform::start();
    let config = r#"{"version":"r7","services":[{"name":"library","health_check_path":"/healthz","max_connections":120,"protocol":"h1","tls":false,"slow_start_s":3.0,"cold_per_s":13.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"virtual_hosts":[{"host":"manuals.example","paths":[{"name":"r-manuals","prefix":"/manuals/","type":"download","timeout_ms":1000,"target_latency_ms":400,"priority":1,"service":"library","attempts":2}]}]}"#;
    let mut entries = vec![("op/config".to_owned(), config.to_owned())];
    let in_spell = Arc::new(AtomicBool::new(false));
    for i in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let name = format!("i-000{i}");
        entries.push((format!("servers/{name}"), entry("library", addr, "z-a", 4, "ready", 0, unix_ms())));
        let (record, in_spell, count) = (record.clone(), Arc::clone(&in_spell), AtomicU64::new(0));
        serve(listener, move |http| serve_connection(http, &name, i == 0, &in_spell, &count, &record));
    }
    let entries: Vec<(&str, String)> = entries.iter().map(|(k, v)| (k.as_str(), v.clone())).collect();
    platform.put(&entries);
    for i in 0..HOSTS {
        platform.start_router(&format!("front-{i}"), "127.0.0.1", "z-a", "");
    }
    platform.wait_ready();
    sleep_ms(4_500);
    let stop = Arc::new(AtomicBool::new(false));
    let taken: Arc<Mutex<Vec<u128>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let (front, stop, taken, record) = (platform.routers[i % HOSTS].front, Arc::clone(&stop), Arc::clone(&taken), record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = new_id("d0");
                    let begun = Instant::now();
                    let end = download(front, &id);
                    let ms = begun.elapsed().as_millis();
                    record.line(&format!("client got {end:?} for {id} after {ms} ms"));
                    taken.lock().unwrap().push(ms);
                }
            })
        })
        .collect();
    for _ in 0..SPELLS {
        sleep_ms(3_000);
        in_spell.store(has_trouble(), Ordering::Relaxed);
        sleep_ms(SPELL_MS);
        in_spell.store(false, Ordering::Relaxed);
        sleep_ms(3_000);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let taken = taken.lock().unwrap();
    let long = taken.iter().filter(|ms| **ms > TIMEOUT_MS).count();
    let unanswered = taken.iter().filter(|ms| **ms > TIMEOUT_MS + 500).count();
    let ended = platform.ended_routers();
    let text = format!("requests={} longer_than_timeout={long} without_final_answer_half_a_second_later={unanswered} longest_ms={:?} routers_ended={ended:?}", taken.len(), taken.iter().max());
    if taken.len() < 500 {
        finish(&record, platform, 2, &format!("could not run: {text}"));
    }
    finish(&record, platform, i32::from(unanswered >= 8 && unanswered * 4 > long), &text)
}

fn serve_connection(mut http: Http, name: &str, may_fall_silent: bool, in_spell: &AtomicBool, count: &AtomicU64, record: &Record) -> io::Result<()> {
    while let Some(head) = http.read_head()? {
        let id = head.id();
        if head.target == "/healthz" {
            http.respond("200 OK", &[("Chicoryrail-Instance-Id", name)], b"")?;
            continue;
        }
        sleep_ms(40);
        let body: Vec<u8> = id.bytes().cycle().take(BODY).collect();
        let bytes = response_bytes("200 OK", &[("Chicoryrail-Request-Id", &id), ("Chicoryrail-Upstream-Stamp", &format!("{name}.{id}"))], &body);
        let is_counted = may_fall_silent && in_spell.load(Ordering::Relaxed);
        if is_counted && count.fetch_add(1, Ordering::Relaxed) % 5 < SILENT_OF_FIVE {
            record.line(&format!("server={name} says nothing more within its answer to {id}"));
            http.write(&bytes[..SENT])?;
            let begun = Instant::now();
            let end = http.stream.read(&mut [0; 16]);
            record.line(&format!("server={name} sees {end:?} on the connection of {id} after {} ms", begun.elapsed().as_millis()));
            return Ok(());
        }
        http.write(&bytes)?;
    }
    Ok(())
}

/// Downloads, and leaves at the end of the client's own time.
fn download(front: SocketAddr, id: &str) -> io::Result<usize> {
    let begun = Instant::now();
    let mut http = Http::connect(front)?;
    http.write(format!("GET /manuals/x HTTP/1.1\r\nHost: manuals.example\r\nChicoryrail-Request-Id: {id}\r\nChicoryrail-Deadline-Ms: {DEADLINE_MS}\r\n\r\n").as_bytes())?;
    let left = |begun: Instant| Duration::from_millis(DEADLINE_MS).saturating_sub(begun.elapsed()).max(Duration::from_millis(1));
    http.stream.set_read_timeout(Some(left(begun)))?;
    let head = http.read_head()?.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    http.stream.set_read_timeout(Some(left(begun)))?;
    let body = http.read_body(&head)?;
    if head.status == 200 { Ok(body.len()) } else { Err(io::Error::other(head.status.to_string())) }
}
