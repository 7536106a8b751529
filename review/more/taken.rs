//! A server's second copy of "another server has the address", which it gave to a call for the server that ran there before it,
//! answers the grant that follows on the same connection. The leader takes the server for ended, and grants its keys to others
//! at once when they move, while the server holds them.

#[path = "../common/mod.rs"]
mod common;
#[path = "../common/keyed.rs"]
#[allow(dead_code)]
mod keyed;

use std::collections::BTreeMap;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;
use keyed::attempt;
use keyed::keyed_config;

const HOST: &str = "desk.example";
const SERVICE: &str = "lookups";
/// Machines that run a server all the time.
const MACHINES: usize = 5;
/// Machines whose servers send some answers twice: `share = 0.6`.
const FAULTY: usize = 3;
/// Part of the answers of a faulty machine's servers that come twice at most, `x = 0.03`.
const EXTRA_MAX: f64 = 0.03;
/// How long the faults last at a time, `for_s = 5`, and the pause between.
const SPELL_MS: u64 = 5_000;
const PAUSE_MS: u64 = 1_000;
/// How long a server is down; `srv_crash` of the site files has up to 4.5 s.
const DOWN_MS: u64 = 1_500;
/// Check-in intervals of 870 ms: an entry is removed after three of them.
const ENTRY_MS: u64 = 2_610;
/// Time from the start of a server to that of the server that is added, and from that to its drain.
const ADD_AFTER_MS: u64 = 300;
const STAY_MS: u64 = 1_500;
/// Servers that are added at a time: `scale_out`, `share = 0.25` of five.
const ADDED: usize = 1;
const RUN_MS: u64 = 96_000;
const SLOTS: usize = 8;
/// OWNER counts keys that two servers hold for over half a second.
const BOTH_MS: u128 = 500;

/// What a server took, gave back or lost.
#[derive(Clone, Debug)]
enum Event {
    Granted { server: String, first: u16, last: u16, at: Instant, until: Instant },
    Released { server: String, first: u16, last: u16, at: Instant },
    Ended { server: String, at: Instant },
    Began { server: String, key: u16, at: Instant },
}

impl Event {
    fn at(&self) -> Instant {
        match self {
            Event::Granted { at, .. } | Event::Released { at, .. } | Event::Ended { at, .. } | Event::Began { at, .. } => *at,
        }
    }
}

type Events = Arc<Mutex<Vec<Event>>>;

/// Counts that the servers of a machine share, one after the other.
#[derive(Default)]
struct Counts {
    answers: AtomicU64,
    extras: AtomicU64,
    faulty: AtomicBool,
}

/// One life of a server.
struct Server {
    name: String,
    addr: SocketAddr,
    up: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    /// Highest fencing token seen, and the end of the hold, of each key.
    keys: Mutex<(Vec<u64>, Vec<Option<Instant>>)>,
    running: AtomicUsize,
    counts: Arc<Counts>,
    events: Events,
    record: Record,
}

impl Server {
    fn start(name: &str, addr: SocketAddr, counts: &Arc<Counts>, events: &Events, record: &Record) -> Arc<Self> {
        let listener = (0..100).find_map(|_| TcpListener::bind(addr).map_err(|_| sleep_ms(10)).ok());
        let listener = listener.unwrap_or_else(|| cannot_run("an address is taken"));
        let server = Arc::new(Self {
            name: name.to_owned(),
            addr: listener.local_addr().unwrap(),
            up: AtomicBool::new(true),
            streams: Mutex::default(),
            keys: Mutex::new((vec![0; 65_536], vec![None; 65_536])),
            running: AtomicUsize::new(0),
            counts: Arc::clone(counts),
            events: Arc::clone(events),
            record: record.clone(),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !accepting.up.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(clone) = stream.try_clone() {
                    accepting.streams.lock().unwrap().push(clone);
                }
                let server = Arc::clone(&accepting);
                thread::spawn(move || server.connection(Http::new(stream)));
            }
        });
        server
    }

    /// Ends the server and its connections.
    fn end(&self) {
        self.up.store(false, Ordering::Relaxed);
        self.events.lock().unwrap().push(Event::Ended { server: self.name.clone(), at: Instant::now() });
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.addr);
    }

    fn connection(&self, mut http: Http) -> io::Result<()> {
        // The copy of the last answer, which comes where the next one is expected.
        let mut late: Option<Vec<u8>> = None;
        while let Some(head) = http.read_head()? {
            let body = http.read_body(&head)?;
            if !self.up.load(Ordering::Relaxed) {
                break;
            }
            if let Some(copy) = late.take() {
                self.counts.extras.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!("{} sends a second copy of its last answer on the connection of {} {}", self.name, head.method, head.target));
                http.write(&copy)?;
            }
            let expected = head.get("chicoryrail-expect-instance").unwrap_or(&self.name);
            let is_other = expected != self.name;
            let is_control = head.target.starts_with("/-/");
            let bytes = if is_other {
                self.record.line(&format!("{} answers 421 to {} {} for {expected}", self.name, head.method, head.target));
                self.not_run(&head, "421 Misdirected Request")
            } else if is_control {
                self.control(&head, &body)
            } else {
                self.request(&head)
            };
            let answers = self.counts.answers.fetch_add(1, Ordering::Relaxed) + 1;
            let extras = self.counts.extras.load(Ordering::Relaxed) + 1;
            let may_copy = self.counts.faulty.load(Ordering::Relaxed) && extras as f64 <= answers as f64 * EXTRA_MAX;
            if is_other && is_control && may_copy {
                late = Some(bytes.clone());
            }
            http.write(&bytes)?;
        }
        Ok(())
    }

    fn not_run(&self, head: &Head, status: &str) -> Vec<u8> {
        let id = head.id();
        let mut headers = vec![("Chicoryrail-Not-Executed", "1"), ("Chicoryrail-Instance-Id", self.name.as_str())];
        if id != "-" {
            headers.push(("Chicoryrail-Request-Id", id.as_str()));
        }
        response_bytes(status, &headers, b"not run\n")
    }

    fn control(&self, head: &Head, body: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(body).into_owned();
        let n = |name: &str| json_number(&text, name).unwrap_or(0);
        let (first, last, fence) = (n("from") as u16, n("target") as u16, n("fence"));
        let range = usize::from(first)..=usize::from(last);
        let mut keys = self.keys.lock().unwrap();
        let at = Instant::now();
        if head.target == "/-/release" {
            for key in range {
                keys.0[key] = keys.0[key].max(fence);
                keys.1[key] = None;
            }
            drop(keys);
            self.record.line(&format!("{} releases {first} to {last}, fence {fence}", self.name));
            self.events.lock().unwrap().push(Event::Released { server: self.name.clone(), first, last, at });
            return response_bytes("200 OK", &[("Chicoryrail-Handover", "5c0e7a21d94b36f8")], b"{}");
        }
        if range.clone().any(|key| keys.0[key] > fence) {
            return response_bytes("409 Conflict", &[], b"{}");
        }
        let until = at + Duration::from_millis(n("hold_ms"));
        for key in range {
            keys.0[key] = fence;
            keys.1[key] = Some(until);
        }
        drop(keys);
        self.record.line(&format!("{} is granted {first} to {last} for {} ms, fence {fence}", self.name, n("hold_ms")));
        self.events.lock().unwrap().push(Event::Granted { server: self.name.clone(), first, last, at, until });
        response_bytes("200 OK", &[], b"{}")
    }

    fn request(&self, head: &Head) -> Vec<u8> {
        if head.target == "/healthz" {
            return response_bytes("200 OK", &[("Chicoryrail-Instance-Id", self.name.as_str())], b"");
        }
        let id = head.id();
        let key: u16 = head.get("chicoryrail-shard-key").and_then(|k| k.parse().ok()).unwrap_or(0);
        let holds = self.keys.lock().unwrap().1[usize::from(key)].is_some_and(|until| Instant::now() < until);
        if !holds {
            return self.not_run(head, "421 Misdirected Request");
        }
        if self.running.fetch_add(1, Ordering::Relaxed) >= SLOTS {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return self.not_run(head, "503 Service Unavailable");
        }
        self.events.lock().unwrap().push(Event::Began { server: self.name.clone(), key, at: Instant::now() });
        self.record.line(&format!("{} runs {id} of key {key}", self.name));
        sleep_ms(20);
        let load = format!("{},0,{SLOTS}", self.running.fetch_sub(1, Ordering::Relaxed) - 1);
        let stamp = format!("{}.{id}", self.name);
        let headers = [("Chicoryrail-Request-Id", id.as_str()), ("Chicoryrail-Upstream-Stamp", &stamp), ("Chicoryrail-Upstream-Load", &load)];
        response_bytes("200 OK", &headers, format!("done {id}\n").as_bytes())
    }
}

/// Returns the times in which each server held the key.
fn holds(events: &[Event], key: u16) -> BTreeMap<&str, Vec<(Instant, Instant)>> {
    let mut holds: BTreeMap<&str, Vec<(Instant, Instant)>> = BTreeMap::new();
    let close = |times: &mut Vec<(Instant, Instant)>, at: Instant| {
        if let Some(last) = times.last_mut().filter(|(_, end)| *end > at) {
            last.1 = at;
        }
    };
    for event in events {
        match event {
            Event::Granted { server, first, last, at, until } if (*first..=*last).contains(&key) => {
                let times = holds.entry(server).or_default();
                match times.last_mut().filter(|(_, end)| *end >= *at) {
                    Some(current) => current.1 = *until,
                    None => times.push((*at, *until)),
                }
            }
            Event::Released { server, first, last, at } if (*first..=*last).contains(&key) => close(holds.entry(server).or_default(), *at),
            Event::Ended { server, at } => close(holds.entry(server).or_default(), *at),
            _ => {}
        }
    }
    holds
}

fn remove(store: SocketAddr, server: &str) {
    let body = format!("{{\"precondition\":[],\"puts\":[],\"remove\":[\"servers/{server}\"]}}");
    let _ = call(store, "POST", "/-/kv-txn", &[("Content-Type", "application/json")], body.as_bytes(), 5_000);
}

fn main() {
    let dir = std::env::args().nth(1).unwrap_or_else(|| "review/more".into());
    let record = Record::create(&format!("{dir}/taken.txt"));
    let mut platform = Platform::start();
    let events: Events = Arc::default();
    let counts: Vec<Arc<Counts>> = (0..MACHINES + ADDED).map(|_| Arc::default()).collect();
    let mut lives = 0;
    let mut start = |addr: SocketAddr, counts: &Arc<Counts>| {
        lives += 1;
        Server::start(&format!("s{lives}"), addr, counts, &events, &record)
    };
    let new_addr = || SocketAddr::from(([127, 0, 0, 1], free_port("127.0.0.1")));
    let mut servers: Vec<Arc<Server>> = (0..MACHINES).map(|n| start(new_addr(), &counts[n])).collect();
    let describe = |n: usize, server: &Server, state: &str, born: u64| {
        let value = entry(SERVICE, server.addr, ["a", "b", "c"][n % 3], SLOTS as u32, state, 0, born);
        (format!("servers/{}", server.name), value)
    };
    let mut entries = vec![("op/config".to_owned(), keyed_config(1, SERVICE, HOST))];
    entries.extend(servers.iter().enumerate().map(|(n, s)| describe(n, s, "ready", unix_ms())));
    let entries: Vec<(&str, String)> = entries.iter().map(|(k, v)| (k.as_str(), v.clone())).collect();
    platform.put(&entries);
    for (n, zone) in ["a", "b", "c"].into_iter().enumerate() {
        platform.start_router(&format!("front-{zone}-{n}"), "127.0.0.1", zone, "");
    }
    platform.wait_ready();
    sleep_ms(3_000);
    let fronts: Vec<_> = platform.routers.iter().map(|r| r.front).collect();
    let (begun, got) = (Instant::now(), Arc::new(Mutex::new(Vec::new())));
    let callers: Vec<_> = (0..40_u64)
        .map(|n| {
            let (record, got, fronts) = (record.clone(), Arc::clone(&got), fronts.clone());
            thread::spawn(move || {
                let mut seed = n * 104_729 + 3;
                while begun.elapsed() < Duration::from_millis(RUN_MS) {
                    seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                    let front = fronts[(seed >> 20) as usize % fronts.len()];
                    let answer = attempt(front, HOST, "GET", "/y/10", (seed >> 40) as u16, 1_500, &record);
                    got.lock().unwrap().push(answer);
                    sleep_ms(20 + (seed >> 50) % 60);
                }
            })
        })
        .collect();
    // In each spell a server of a faulty machine crashes, and its machine starts it again under another id. Beside that a
    // server is added and emptied again, which is planned work.
    let mut turn = 0;
    while begun.elapsed() < Duration::from_millis(RUN_MS - SPELL_MS - PAUSE_MS) {
        let spell = Instant::now();
        let until = |ms: u64| sleep_ms(ms.saturating_sub(spell.elapsed().as_millis() as u64));
        if has_trouble() {
            record.line("some answers of the servers of three machines come twice");
            counts[..FAULTY].iter().for_each(|c| c.faulty.store(true, Ordering::Relaxed));
        }
        let n = turn % FAULTY;
        turn += 1;
        let old = Arc::clone(&servers[n]);
        record.line(&format!("{} crashes", old.name));
        old.end();
        until(DOWN_MS);
        let server = start(old.addr, &counts[n]);
        record.line(&format!("{} starts at the address of {}", server.name, old.name));
        let (key, value) = describe(n, &server, "ready", unix_ms());
        platform.put(&[(key.as_str(), value)]);
        servers[n] = server;
        until(DOWN_MS + ADD_AFTER_MS);
        let added: Vec<_> = (0..ADDED).map(|k| (start(new_addr(), &counts[MACHINES + k]), unix_ms())).collect();
        let set = |state: &str| {
            for (k, (server, born)) in added.iter().enumerate() {
                let (key, value) = describe(k, server, state, *born);
                record.line(&format!("{} is {state}", server.name));
                platform.put(&[(key.as_str(), value)]);
            }
        };
        set("ready");
        until(ENTRY_MS);
        remove(platform.store_addr, &old.name);
        until(DOWN_MS + ADD_AFTER_MS + STAY_MS);
        set("draining");
        until(SPELL_MS);
        counts.iter().for_each(|c| c.faulty.store(false, Ordering::Relaxed));
        until(SPELL_MS + PAUSE_MS);
        for (server, _) in &added {
            server.end();
            remove(platform.store_addr, &server.name);
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    let mut events = events.lock().unwrap().clone();
    events.sort_by_key(Event::at);
    let taken: Vec<Event> = events.iter().filter(|e| !matches!(e, Event::Began { .. })).cloned().collect();
    // Keys at which ranges begin, and some between.
    let mut keys: Vec<u16> = (0..=65_535).step_by(512).collect();
    keys.extend(taken.iter().filter_map(|e| match e {
        Event::Granted { first, .. } => Some(*first),
        _ => None,
    }));
    keys.sort_unstable();
    keys.dedup();
    let mut broken: BTreeMap<(String, String, u128), (u16, u16, u128)> = BTreeMap::new();
    let mut both_began = 0;
    for key in keys {
        let holds = holds(&taken, key);
        let all: Vec<_> = holds.iter().flat_map(|(server, times)| times.iter().map(move |t| (*server, *t))).collect();
        for (i, (a, times)) in all.iter().enumerate() {
            for (b, others) in &all[i + 1..] {
                let (from, to) = (times.0.max(others.0), times.1.min(others.1));
                if a == b || to <= from || to.duration_since(from).as_millis() <= BOTH_MS {
                    continue;
                }
                let ms = to.duration_since(from).as_millis();
                let pair = ((*a).to_owned(), (*b).to_owned(), from.duration_since(begun).as_millis());
                let seen = broken.entry(pair).or_insert((key, key, ms));
                *seen = (seen.0, key, seen.2.max(ms));
                let began = |name: &str| events.iter().any(|e| matches!(e, Event::Began { server, key: k, at } if server == name && *k >= key && *k < key.saturating_add(512) && *at > from && *at < to));
                both_began += u32::from(began(a) && began(b));
            }
        }
    }
    for ((a, b, since), (first, last, ms)) in &broken {
        record.line(&format!("OWNER: {a} and {b} are up and hold keys from {first} to {last} (sampled) at the same time, from {since} ms on for {ms} ms"));
    }
    for (n, c) in counts.iter().enumerate() {
        record.line(&format!("machine {n}: {} answers, {} of them twice", c.answers.load(Ordering::Relaxed), c.extras.load(Ordering::Relaxed)));
    }
    let got = got.lock().unwrap();
    let ok = got.iter().filter(|g| g.status == 200).count();
    let copies: u64 = counts.iter().map(|c| c.extras.load(Ordering::Relaxed)).sum();
    let longest = broken.values().map(|v| v.2).max().unwrap_or(0);
    let text = format!(
        "{} requests, {ok} answered 200, {turn} restarts, {copies} second copies; {} pairs of servers held the same keys for over {BOTH_MS} ms, the longest {longest} ms; both began requests in ranges of 512 such keys {both_began} times",
        got.len(), broken.len()
    );
    if !platform.ended_routers().is_empty() || got.len() < 500 || ok * 2 < got.len() {
        finish(&record, platform, 2, &format!("could not run: {text}"));
    }
    finish(&record, platform, i32::from(!broken.is_empty()), &text)
}
