//! Servers with keys that crash right after a release, and start again under their id, while other hosts renew leases
//! for the leader: the host that renews has not read yet that the keys have gone, and the new process knows of no fence.

#[path = "../common/keyed.rs"]
mod keyed;
#[path = "../common/mod.rs"]
mod common;

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
use keyed::attempt;
use keyed::keyed_config;

const HOST: &str = "desk.example";
const SERVICE: &str = "lookups";
/// From 400 servers with keys on, other hosts renew their leases for the leader.
const SERVERS: usize = 430;
const HOSTS: usize = 5;
const RUN_MS: u64 = 95_000;
/// A spell of crashes, and the time between two.
const SPELL_MS: u64 = 5_000;
const PAUSE_MS: u64 = 2_000;
/// Servers that are added at a time, and how often.
const ADDED: usize = 8;
const ADD_EVERY_MS: u64 = 1_500;
/// How long a server that crashed is down.
const DOWN_MS: u64 = 20;
/// Time from a start until the server's entry is in the store.
const REGISTER_MS: u64 = 400;
/// Largest part of the servers that crash in a spell, 0.14 of 430.
const CRASHED_MAX: u64 = 60;

struct Keys {
    seen: Vec<u32>,
    until: Vec<u32>,
}

struct Server {
    at: usize,
    name: String,
    addr: SocketAddr,
    up: AtomicBool,
    keys: Mutex<Keys>,
    streams: Mutex<HashMap<u64, TcpStream>>,
    crashed: AtomicBool,
}

struct World {
    begun: Instant,
    servers: Mutex<Vec<Arc<Server>>>,
    /// For each key, the highest fence with which each of two different servers had it last: (fence, server).
    fences: Mutex<Vec<[(u32, u32); 2]>>,
    below: AtomicU64,
    both: AtomicU64,
    crashes: AtomicU64,
    in_spell: AtomicU64,
    releases: AtomicU64,
    armed: AtomicBool,
    store: SocketAddr,
    record: Record,
}

impl World {
    fn ms(&self) -> u32 {
        self.begun.elapsed().as_millis() as u32
    }
}

static NEXT: AtomicU64 = AtomicU64::new(0);

fn number(text: &str, name: &str) -> u64 {
    json_number(text, name).unwrap_or(0)
}

fn describe(server: &Server, state: &str) -> (String, String) {
    let zone = ["a", "b", "c"][server.at % 3];
    (format!("servers/{}", server.name), entry(SERVICE, server.addr, zone, 2, state, 0, unix_ms()))
}

fn start(world: &Arc<World>, at: usize) -> Arc<Server> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let server = Arc::new(Server {
        at,
        name: format!("s{at}"),
        addr: listener.local_addr().unwrap(),
        up: AtomicBool::new(true),
        keys: Mutex::new(Keys { seen: vec![0; 65_536], until: vec![0; 65_536] }),
        streams: Mutex::default(),
        crashed: AtomicBool::new(false),
    });
    let (world, this) = (Arc::clone(world), Arc::clone(&server));
    thread::Builder::new().stack_size(256 << 10).spawn(move || {
        for stream in listener.incoming().flatten() {
            if !this.up.load(Ordering::SeqCst) {
                continue;
            }
            let Ok(copy) = stream.try_clone() else { continue };
            let number = NEXT.fetch_add(1, Ordering::Relaxed);
            this.streams.lock().unwrap().insert(number, copy);
            let (world, this) = (Arc::clone(&world), Arc::clone(&this));
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || {
                let _ = connection(Http::new(stream), &this, &world);
                this.streams.lock().unwrap().remove(&number);
            });
        }
    }).unwrap();
    server
}

fn connection(mut http: Http, server: &Arc<Server>, world: &Arc<World>) -> io::Result<()> {
    while let Some(head) = http.read_head()? {
        let body = http.read_body(&head)?;
        let id = head.id();
        if head.get("chicoryrail-expect-instance").is_some_and(|name| name != server.name) {
            http.respond("421 Misdirected Request", &[("Chicoryrail-Request-Id", &id), ("Chicoryrail-Not-Executed", "1")], b"")?;
            continue;
        }
        if head.target == "/healthz" {
            http.respond("200 OK", &[("Chicoryrail-Instance-Id", &server.name)], b"")?;
            continue;
        }
        if head.target.starts_with("/-/") {
            let text = String::from_utf8_lossy(&body).into_owned();
            let (from, to, fence) = (number(&text, "from") as usize, number(&text, "target") as usize, number(&text, "fence") as u32);
            let now = world.ms();
            let is_release = head.target == "/-/release";
            let status = {
                let mut keys = server.keys.lock().unwrap();
                if !server.up.load(Ordering::SeqCst) {
                    return Ok(());
                }
                if is_release {
                    for key in from..=to {
                        keys.seen[key] = keys.seen[key].max(fence);
                        keys.until[key] = 0;
                    }
                    "200 OK"
                } else if (from..=to).any(|key| keys.seen[key] > fence) {
                    "409 Conflict"
                } else {
                    let until = now + number(&text, "hold_ms") as u32;
                    let mut all = world.fences.lock().unwrap();
                    let mut below = 0;
                    let mut by = (0, 0);
                    for key in from..=to {
                        keys.seen[key] = fence;
                        keys.until[key] = until;
                        let me = server.at as u32;
                        let top = &mut all[key];
                        let other = top.iter().filter(|(_, s)| *s != me).map(|(f, s)| (*f, *s)).max().unwrap_or((0, 0));
                        if other.0 >= fence {
                            below += 1;
                            by = other;
                        }
                        if top[0].1 == me {
                            top[0].0 = top[0].0.max(fence);
                        } else if top[1].1 == me {
                            top[1].0 = top[1].0.max(fence);
                        } else if top[0].0 <= top[1].0 {
                            top[0] = (fence, me);
                        } else {
                            top[1] = (fence, me);
                        }
                    }
                    drop(all);
                    if below > 0 {
                        world.below.fetch_add(1, Ordering::Relaxed);
                        world.record.line(&format!("OWNER {} takes keys {from} to {to} with fence {fence}, {below} of which s{} had with {}", server.name, by.1, by.0));
                    }
                    "200 OK"
                }
            };
            if is_release || server.crashed.load(Ordering::Relaxed) {
                world.record.line(&format!("{} {} {text} {status}", server.name, head.target));
            }
            if is_release {
                http.respond(status, &[("Chicoryrail-Handover", "00000000000000aa")], b"{}")?;
                world.releases.fetch_add(1, Ordering::Relaxed);
                crash(server, world);
            } else {
                http.respond(status, &[], b"{}")?;
            }
            continue;
        }
        let key: usize = head.get("chicoryrail-shard-key").and_then(|k| k.parse().ok()).unwrap_or(0);
        if server.keys.lock().unwrap().until[key] <= world.ms() {
            http.respond("421 Misdirected Request", &[("Chicoryrail-Request-Id", &id), ("Chicoryrail-Not-Executed", "1")], b"")?;
            continue;
        }
        sleep_ms(10);
        http.respond("200 OK", &[("Chicoryrail-Request-Id", &id), ("Chicoryrail-Upstream-Stamp", &format!("{}.{id}", server.name))], b"done\n")?;
    }
    Ok(())
}

/// The server crashes, and starts again under its id; it knows nothing of before.
fn crash(server: &Arc<Server>, world: &Arc<World>) {
    if !world.armed.load(Ordering::Relaxed) || server.crashed.load(Ordering::Relaxed) {
        return;
    }
    if world.in_spell.fetch_add(1, Ordering::Relaxed) >= CRASHED_MAX {
        return;
    }
    world.crashes.fetch_add(1, Ordering::Relaxed);
    server.crashed.store(true, Ordering::Relaxed);
    let (server, world) = (Arc::clone(server), Arc::clone(world));
    thread::spawn(move || {
        sleep_ms(3);
        {
            let mut keys = server.keys.lock().unwrap();
            server.up.store(false, Ordering::SeqCst);
            keys.seen.fill(0);
            keys.until.fill(0);
            for (_, stream) in server.streams.lock().unwrap().drain() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        world.record.line(&format!("{} crashes", server.name));
        sleep_ms(DOWN_MS);
        server.up.store(true, Ordering::SeqCst);
        world.record.line(&format!("{} has started again", server.name));
        sleep_ms(REGISTER_MS);
        put(&world, &[describe(&server, "ready")]);
        world.record.line(&format!("{} is registered again", server.name));
    });
}

fn put(world: &World, entries: &[(String, String)]) {
    let puts: Vec<String> = entries.iter().map(|(k, v)| format!("{{\"key\":\"{k}\",\"value\":\"{}\",\"lease\":0}}", base64(v.as_bytes()))).collect();
    let body = format!("{{\"precondition\":[],\"puts\":[{}],\"remove\":[]}}", puts.join(","));
    let _ = call(world.store, "POST", "/-/kv-txn", &[("Content-Type", "application/json")], body.as_bytes(), 5_000);
}

fn main() {
    let dir = std::env::args().nth(1).expect("the folder of the record");
    let record = Record::create(&format!("{dir}/reborn.txt"));
    let mut platform = Platform::start();
    let world = Arc::new(World {
        begun: Instant::now(),
        servers: Mutex::default(),
        fences: Mutex::new(vec![[(0, u32::MAX); 2]; 65_536]),
        below: AtomicU64::new(0),
        both: AtomicU64::new(0),
        crashes: AtomicU64::new(0),
        in_spell: AtomicU64::new(0),
        releases: AtomicU64::new(0),
        armed: AtomicBool::new(false),
        store: platform.store_addr,
        record: record.clone(),
    });
    platform.put(&[("op/config", keyed_config(1, SERVICE, HOST))]);
    for at in 0..SERVERS {
        let server = start(&world, at);
        world.servers.lock().unwrap().push(server);
    }
    let all = world.servers.lock().unwrap().clone();
    for some in all.chunks(20) {
        put(&world, &some.iter().map(|s| describe(s, "ready")).collect::<Vec<_>>());
    }
    for n in 0..HOSTS {
        platform.start_router(&format!("front-{n}"), "127.0.0.1", ["a", "b", "c"][n % 3], "");
    }
    platform.wait_ready();
    let fronts: Vec<_> = platform.routers.iter().map(|r| r.front).collect();
    let begun = Instant::now();
    let (ok, sent) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let quiet = record.clone();
    let callers: Vec<_> = (0..16_u64).map(|n| {
        let (fronts, ok, sent, quiet) = (fronts.clone(), Arc::clone(&ok), Arc::clone(&sent), quiet.clone());
        thread::spawn(move || {
            let mut seed = n * 7_919 + 1;
            while begun.elapsed() < Duration::from_millis(RUN_MS) {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                let got = attempt(fronts[(seed >> 20) as usize % fronts.len()], HOST, "GET", "/y/10", (seed >> 40) as u16, 1_500, &quiet);
                sent.fetch_add(1, Ordering::Relaxed);
                ok.fetch_add(u64::from(got.status == 200), Ordering::Relaxed);
                sleep_ms(30 + (seed >> 50) % 60);
            }
        })
    }).collect();
    {
        // Keys that two servers that are up hold for over half a second.
        let world = Arc::clone(&world);
        thread::spawn(move || {
            let mut since = vec![0_u32; 1_024];
            let mut told = vec![false; 1_024];
            loop {
                sleep_ms(50);
                let servers = world.servers.lock().unwrap().clone();
                let now = world.ms();
                let mut holders = vec![0_u8; 1_024];
                for server in &servers {
                    let keys = server.keys.lock().unwrap();
                    if server.up.load(Ordering::SeqCst) {
                        for n in 0..1_024 {
                            holders[n] += u8::from(keys.until[n * 64] > now);
                        }
                    }
                }
                for n in 0..1_024 {
                    if holders[n] < 2 {
                        since[n] = 0;
                        told[n] = false;
                    } else if since[n] == 0 {
                        since[n] = now;
                    } else if now - since[n] > 500 && !told[n] {
                        told[n] = true;
                        world.both.fetch_add(1, Ordering::Relaxed);
                        world.record.line(&format!("OWNER key {} is held by two servers for over half a second", n * 64));
                    }
                }
            }
        });
    }
    sleep_ms(15_000);
    if has_trouble() {
        let world = Arc::clone(&world);
        thread::spawn(move || loop {
            world.in_spell.store(0, Ordering::Relaxed);
            world.armed.store(true, Ordering::Relaxed);
            sleep_ms(SPELL_MS);
            world.armed.store(false, Ordering::Relaxed);
            sleep_ms(PAUSE_MS);
        });
    }
    // Planned work: servers are added.
    let mut next = SERVERS;
    while begun.elapsed() < Duration::from_millis(RUN_MS - 6_000) {
        let added: Vec<_> = (next..next + ADDED).map(|at| start(&world, at)).collect();
        next += ADDED;
        world.servers.lock().unwrap().extend(added.iter().cloned());
        put(&world, &added.iter().map(|s| describe(s, "ready")).collect::<Vec<_>>());
        record.line(&format!("{ADDED} servers are added, up to s{}", next - 1));
        sleep_ms(ADD_EVERY_MS);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let (below, both) = (world.below.load(Ordering::Relaxed), world.both.load(Ordering::Relaxed));
    let n = |a: &AtomicU64| a.load(Ordering::Relaxed);
    let text = format!("{} requests, {} answered 200, {} releases, {} crashes, {below} grants below the fence of another server, {both} keys of 1,024 held by two for over half a second, ended {:?}", n(&sent), n(&ok), n(&world.releases), n(&world.crashes), platform.ended_routers());
    if n(&sent) < 500 || n(&ok) * 2 < n(&sent) || n(&world.releases) == 0 || (has_trouble() && n(&world.crashes) == 0) {
        finish(&record, platform, 2, &format!("could not run: {text}"));
    }
    finish(&record, platform, i32::from(below + both > 0), &text)
}
