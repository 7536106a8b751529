//! Small stand-ins and helpers of the review's cases, with the standard library only: an HTTP/1.1 connection, a server
//! that follows the users' pages, a client, and the start and end of the project's own programs.
#![allow(dead_code)]

use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is to take place (`TROUBLE=0` switches it off).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), begun: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} {text}");
    }
}

/// Ends the run with the result that the issue asks for.
pub fn finish(record: &Record, platform: Platform, code: i32, text: &str) -> ! {
    record.line(text);
    println!("{text}");
    drop(platform);
    std::process::exit(code)
}

// ---- HTTP ----

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub method: String,
    pub target: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, v)| v.as_str())
    }

    pub fn id(&self) -> String {
        self.get("chicoryrail-request-id").unwrap_or("-").to_owned()
    }
}

pub struct Http {
    pub stream: TcpStream,
    buf: Vec<u8>,
    /// Bytes read at a time, and the pause after that, at a peer that reads slowly.
    pub pause: Option<(usize, Duration)>,
}

impl Http {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new(), pause: None }
    }

    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_millis(1_000))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = vec![0; self.pause.map_or(16 << 10, |(bytes, _)| bytes)];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        if let Some((_, pause)) = self.pause {
            thread::sleep(pause);
        }
        Ok(n)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return if self.buf.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let bytes: Vec<u8> = self.buf.drain(..end).collect();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default();
        let mut head = Head::default();
        let words: Vec<&str> = first.split(' ').collect();
        if first.starts_with("HTTP/") {
            head.status = words.get(1).and_then(|w| w.parse().ok()).unwrap_or(0);
        } else {
            head.method = words.first().copied().unwrap_or_default().to_owned();
            head.target = words.get(1).copied().unwrap_or_default().to_owned();
        }
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        Ok(Some(head))
    }

    fn read_exact_bytes(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..n).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body of a request or a response, decoded.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let chunked = head.get("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"));
        if chunked {
            let mut body = Vec::new();
            loop {
                let line = self.read_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.read_exact_bytes(size)?);
                self.read_line()?;
            }
        }
        if let Some(length) = head.get("content-length") {
            let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            return self.read_exact_bytes(length);
        }
        if head.status == 0 || head.status == 204 || head.status == 304 {
            return Ok(Vec::new());
        }
        while self.fill()? > 0 {}
        Ok(std::mem::take(&mut self.buf))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn respond(&mut self, status: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        self.stream.write_all(&response_bytes(status, headers, body))
    }
}

pub fn response_bytes(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One call on a connection of its own.
pub fn call(addr: SocketAddr, method: &str, target: &str, headers: &[(&str, &str)], body: &[u8], limit_ms: u64) -> io::Result<(Head, Vec<u8>)> {
    let mut http = Http::connect(addr)?;
    http.stream.set_read_timeout(Some(Duration::from_millis(limit_ms)))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("Host: {addr}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    http.write(text.as_bytes())?;
    http.write(body)?;
    let head = http.read_head()?.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let body = http.read_body(&head)?;
    Ok((head, body))
}

// ---- small encodings ----

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let word = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= group.len() {
                out.push(SET[(word >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// The number that follows `"name":` in a JSON text.
pub fn json_number(text: &str, name: &str) -> Option<u64> {
    let at = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = text[at..].trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

pub fn json_text(text: &str, name: &str) -> Option<String> {
    let at = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = text[at..].trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An id of a client attempt that no other one has.
pub fn new_id(prefix: &str) -> String {
    format!("{prefix}{:08x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

// ---- processes ----

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// A port that is free for TCP and UDP on the address, and that this run has not handed out before. It lies below the
/// ports that the system gives to outgoing connections: one of those may be taken before the router binds it.
pub fn free_port(ip: &str) -> u16 {
    let seed = hash(format!("{} {}", std::process::id(), unix_ms()).as_bytes());
    let _ = NEXT_PORT.compare_exchange(0, 1 + seed % 15_000, Ordering::Relaxed, Ordering::Relaxed);
    loop {
        let port = 16_000 + (NEXT_PORT.fetch_add(1, Ordering::Relaxed) % 16_000) as u16;
        if TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

pub struct Process {
    pub name: String,
    pub child: Child,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal("CONT");
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Router {
    pub process: Process,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: u16,
    pub log: PathBuf,
}

/// The store and the routers of a run, which end with it.
pub struct Platform {
    pub routers: Vec<Router>,
    pub store: Process,
    pub store_addr: SocketAddr,
    pub dir: PathBuf,
    pub keeps_logs: bool,
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.routers.clear();
        self.store.signal("KILL");
        if !self.keeps_logs {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Platform {
    /// Starts the project's stand-in of the store; the review's own, if that one could not be built.
    pub fn start() -> Self {
        let dir = std::env::temp_dir().join(format!("chicoryrail-review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let store_addr = SocketAddr::from(([127, 0, 0, 1], free_port("127.0.0.1")));
        let log = File::create(dir.join("store.log")).unwrap();
        let own = "target/review/store";
        let program = ["target/release/testkit-store", own].into_iter().find(|p| fs::exists(p).unwrap_or(false));
        let program = program.filter(|_| std::env::var("OWN_STORE").is_err()).unwrap_or(own);
        let child = Command::new(program)
            .arg("--listen")
            .arg(store_addr.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("{program}: {e}")));
        STARTED.lock().unwrap().push(child.id());
        let store = Process { name: "store".into(), child };
        let this = Self { routers: Vec::new(), store, store_addr, dir, keeps_logs: std::env::var("KEEP_LOGS").is_ok() };
        for _ in 0..200 {
            if TcpStream::connect(store_addr).is_ok() {
                return this;
            }
            sleep_ms(20);
        }
        cannot_run("the store does not listen")
    }

    /// Writes keys in one transaction and returns the revision; the store's response is the acknowledgement.
    pub fn put(&self, entries: &[(&str, String)]) -> u64 {
        let puts: Vec<String> = entries
            .iter()
            .map(|(key, value)| format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"lease\":0}}", base64(value.as_bytes())))
            .collect();
        let body = format!("{{\"precondition\":[],\"puts\":[{}],\"remove\":[]}}", puts.join(","));
        let headers = [("Content-Type", "application/json")];
        match call(self.store_addr, "POST", "/-/kv-txn", &headers, body.as_bytes(), 5_000) {
            Ok((head, body)) if head.status == 200 => json_number(&String::from_utf8_lossy(&body), "rev").unwrap_or(0),
            other => cannot_run(&format!("the store refused a write: {other:?}")),
        }
    }

    /// Starts a router with the command of the deploy file.
    pub fn start_router(&mut self, name: &str, ip: &str, zone: &str, extra_bounds: &str) {
        self.start_router_at(name, ip, zone, extra_bounds, self.store_addr);
    }

    pub fn start_router_at(&mut self, name: &str, ip: &str, zone: &str, extra_bounds: &str, store: SocketAddr) {
        let (front, readiness) = (free_port(ip), free_port(ip));
        let (talk, metrics) = (free_port(ip), free_port("127.0.0.1"));
        let boot = format!(
            r#"node_name = "{name}"
role = "router"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_port_range = [{talk}, {talk}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_interval_ms = 870
grants = "request"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
[limits]
cpu_share = 0.5
cores = 1
memory_mb = 260
max_fds = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_delay_s = 2
stable_window_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_timeout_ms = 2000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 60
cold_over = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 15
hold_max_ms = 10000
thaw_ms = 300
{extra_bounds}
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        );
        let path = self.dir.join(format!("{name}.toml"));
        fs::write(&path, boot).unwrap();
        let log = self.dir.join(format!("{name}.log"));
        let out = File::create(&log).unwrap();
        let child = Command::new("target/release/chicoryrail-router")
            .args(["--metrics-port", &metrics.to_string()])
            .env("CHICORYRAIL_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("chicoryrail-router: {e}")));
        STARTED.lock().unwrap().push(child.id());
        self.routers.push(Router {
            process: Process { name: name.to_owned(), child },
            front: format!("{ip}:{front}").parse().unwrap(),
            readiness: format!("{ip}:{readiness}").parse().unwrap(),
            metrics,
            log,
        });
    }

    /// Waits until each router answers its readiness question with 200.
    pub fn wait_ready(&self) {
        for router in &self.routers {
            let begun = Instant::now();
            loop {
                let answer = call(router.readiness, "GET", "/-/readyz", &[], b"", 500);
                if answer.is_ok_and(|(head, _)| head.status == 200) {
                    break;
                }
                if begun.elapsed() > Duration::from_secs(15) {
                    cannot_run(&format!("{} is not ready", router.process.name));
                }
                sleep_ms(50);
            }
        }
    }

    /// Returns the names of routers whose process has ended by itself.
    pub fn ended_routers(&mut self) -> Vec<String> {
        let routers = self.routers.iter_mut();
        routers.filter_map(|r| r.process.child.try_wait().ok().flatten().map(|_| r.process.name.clone())).collect()
    }
}

/// Processes that this run has started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn cannot_run(why: &str) -> ! {
    for id in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
    println!("the case could not run: {why}");
    std::process::exit(2)
}

/// The entry of a server in the store.
pub fn entry(service: &str, addr: SocketAddr, zone: &str, slots: u32, state: &str, warmup_left_ms: u64, born: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"max_concurrency\":{slots},\"state\":\"{state}\",\"warmup_left_ms\":{warmup_left_ms},\"sequence\":1,\"born\":{born}}}"
    )
}

/// Starts a thread for each connection to a listener.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Http) -> io::Result<()> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = handle(Http::new(stream));
            });
        }
    });
}

// ---- a server of a service that is divided by key ----

/// What a server of a keyed service did, for the judgement after the run.
#[derive(Clone, Debug)]
pub enum KeyEvent {
    Granted { server: String, from: u16, to: u16, fence: u64, at: Instant },
    Worked { server: String, id: String, key: u16, begun: Instant, ended: Instant, hold_until: Instant },
}

/// The keys that a server holds: a grant that would go below a fencing token that it has seen is refused, a release is
/// never refused and is answered when the work on its keys has ended.
pub struct HeldKeys {
    server: String,
    state: Mutex<HeldState>,
    changed: std::sync::Condvar,
    events: Arc<Mutex<Vec<KeyEvent>>>,
}

struct HeldState {
    seen: Vec<u64>,
    until: Vec<Option<Instant>>,
    running: Vec<u16>,
}

impl HeldKeys {
    pub fn new(server: &str, events: &Arc<Mutex<Vec<KeyEvent>>>) -> Self {
        let state = HeldState { seen: vec![0; 65_536], until: vec![None; 65_536], running: Vec::new() };
        Self { server: server.to_owned(), state: Mutex::new(state), changed: std::sync::Condvar::new(), events: Arc::clone(events) }
    }

    /// Handles a grant or a release, and returns the status and the headers of the answer.
    pub fn call(&self, path: &str, body: &[u8]) -> (&'static str, Vec<(&'static str, String)>) {
        let text = String::from_utf8_lossy(body).into_owned();
        let n = |name: &str| json_number(&text, name).unwrap_or(0);
        let (from, to, fence) = (n("from") as u16, n("target") as u16, n("fence"));
        let keys = usize::from(from)..=usize::from(to);
        let mut state = self.state.lock().unwrap();
        if path == "/-/release" {
            for key in keys {
                state.seen[key] = state.seen[key].max(fence);
                state.until[key] = None;
            }
            while state.running.iter().any(|key| (from..=to).contains(key)) {
                state = self.changed.wait(state).unwrap();
            }
            return ("200 OK", vec![("Chicoryrail-Handover", format!("{:016x}", fence))]);
        }
        if keys.clone().any(|key| state.seen[key] > fence) {
            return ("409 Conflict", Vec::new());
        }
        let at = Instant::now();
        let until = at + Duration::from_millis(n("hold_ms"));
        for key in keys {
            state.seen[key] = fence;
            state.until[key] = Some(until);
        }
        self.events.lock().unwrap().push(KeyEvent::Granted { server: self.server.clone(), from, to, fence, at });
        ("200 OK", Vec::new())
    }

    /// Begins work on a key; returns `None` if the server does not hold it.
    pub fn begin(&self, key: u16) -> Option<Instant> {
        let mut state = self.state.lock().unwrap();
        let until = state.until[usize::from(key)].filter(|until| Instant::now() < *until)?;
        state.running.push(key);
        Some(until)
    }

    pub fn end(&self, id: &str, key: u16, begun: Instant, hold_until: Instant) {
        let ended = Instant::now();
        let mut state = self.state.lock().unwrap();
        if let Some(at) = state.running.iter().position(|k| *k == key) {
            state.running.swap_remove(at);
        }
        // A renewal while the work ran prolonged the hold.
        let hold_until = state.until[usize::from(key)].map_or(hold_until, |until| until.max(hold_until));
        drop(state);
        self.changed.notify_all();
        let event = KeyEvent::Worked { server: self.server.clone(), id: id.to_owned(), key, begun, ended, hold_until };
        self.events.lock().unwrap().push(event);
    }
}
