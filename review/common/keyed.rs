//! Servers of a service that is divided by key, and callers, as threads of a case's own process.

use std::io;
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

use crate::common::*;

/// What a server's answer was to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Grant,
    Release,
    Refusal,
    Run,
    /// A refusal or the answer to a run.
    Any,
}

/// Sends a second copy of some answers, late: at the point where the next answer on the connection is expected.
pub struct Extra {
    /// Kind of the answers that come twice.
    pub of: Answer,
    /// Part of the answers of that kind that come twice.
    pub chance: f64,
    /// Largest part of all answers of the server; if answers of any kind come twice, of those while the server is faulty.
    pub share_max: f64,
}

impl Extra {
    fn covers(&self, answer: Answer) -> bool {
        self.of == answer || self.of == Answer::Any && matches!(answer, Answer::Refusal | Answer::Run)
    }
}

/// One server, and what it did.
pub struct Server {
    pub name: String,
    pub addr: SocketAddr,
    pub keys: HeldKeys,
    pub slots: usize,
    /// Part of the requests that are refused as not run although the server is sound otherwise.
    pub shed: f64,
    pub extra: Option<Extra>,
    /// Whether `shed` and `extra` are in force.
    pub faulty: AtomicBool,
    busy: Mutex<usize>,
    pub answers: AtomicU64,
    /// Refusals and answers to runs while `faulty`.
    faulty_answers: AtomicU64,
    pub extras: AtomicU64,
    random: AtomicU64,
    record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub at: Instant,
}

impl Server {
    pub fn start(
        name: &str,
        slots: usize,
        shed: f64,
        extra: Option<Extra>,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
        events: &Arc<Mutex<Vec<KeyEvent>>>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            name: name.to_owned(),
            addr: listener.local_addr().unwrap(),
            keys: HeldKeys::new(name, events),
            slots,
            shed,
            extra,
            faulty: AtomicBool::new(false),
            busy: Mutex::new(0),
            answers: AtomicU64::new(0),
            faulty_answers: AtomicU64::new(0),
            extras: AtomicU64::new(0),
            random: AtomicU64::new(hash(format!("{name} {}", unix_ms()).as_bytes()) | 1),
            record: record.clone(),
            runs: Arc::clone(runs),
        });
        let handled = Arc::clone(&server);
        serve(listener, move |http| handled.connection(http));
        server
    }

    fn random(&self) -> f64 {
        let next = |x: u64| {
            let x = x ^ (x << 13);
            let x = x ^ (x >> 7);
            x ^ (x << 17)
        };
        let x = self.random.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |x| Some(next(x))).unwrap();
        (next(x) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Whether an answer comes twice.
    fn doubles(&self, answer: Answer) -> bool {
        let Some(extra) = self.extra.as_ref().filter(|e| e.covers(answer) && self.faulty.load(Ordering::Relaxed)) else {
            return false;
        };
        let answers = match extra.of {
            Answer::Any => self.faulty_answers.fetch_add(1, Ordering::Relaxed) + 1,
            _ => self.answers.load(Ordering::Relaxed),
        };
        let within = (self.extras.load(Ordering::Relaxed) + 1) as f64 <= answers as f64 * extra.share_max;
        within && self.random() < extra.chance
    }

    fn connection(&self, mut http: Http) -> io::Result<()> {
        // The copy of the last answer, which comes where the next one is expected.
        let mut late: Option<Vec<u8>> = None;
        while let Some(head) = http.read_head()? {
            let body = http.read_body(&head)?;
            if let Some(copy) = late.take() {
                self.extras.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!("{} sends a second copy of its last answer on the connection of {} {} {}", self.name, head.method, head.target, head.id()));
                http.write(&copy)?;
            }
            let (answer, status, mut headers, text) = self.answer(&head, &body);
            if head.id() != "-" {
                headers.push(("Chicoryrail-Request-Id", head.id()));
            }
            let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
            let bytes = response_bytes(status, &headers, text.as_bytes());
            self.answers.fetch_add(1, Ordering::Relaxed);
            if self.doubles(answer) {
                late = Some(bytes.clone());
            }
            http.write(&bytes)?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (Answer, &'static str, Vec<(&'static str, String)>, String) {
        let not_run = |status| (Answer::Refusal, status, vec![("Chicoryrail-Not-Executed", "1".to_owned())], "not run\n".to_owned());
        if head.get("chicoryrail-expect-instance").is_some_and(|name| name != self.name) {
            return not_run("421 Misdirected Request");
        }
        if head.target == "/-/grant" || head.target == "/-/release" {
            let text = String::from_utf8_lossy(body).into_owned();
            self.record.line(&format!("{} {} {text}", self.name, head.target));
            let (status, headers) = self.keys.call(&head.target, body);
            if head.target == "/-/grant" {
                return (Answer::Grant, status, headers, "{}".to_owned());
            }
            self.record.line(&format!("{} has ended its work and answers the release {text}", self.name));
            return (Answer::Release, status, headers, "{}".to_owned());
        }
        if head.target == "/healthz" {
            return (Answer::Run, "200 OK", vec![("Chicoryrail-Instance-Id", self.name.clone())], String::new());
        }
        let id = head.id();
        let key: u16 = head.get("chicoryrail-shard-key").and_then(|k| k.parse().ok()).unwrap_or(0);
        if self.faulty.load(Ordering::Relaxed) && self.random() < self.shed {
            self.record.line(&format!("{} refuses {id} as not run", self.name));
            return not_run("503 Service Unavailable");
        }
        {
            let mut busy = self.busy.lock().unwrap();
            if *busy >= self.slots {
                self.record.line(&format!("{} is full and refuses {id}", self.name));
                return not_run("503 Service Unavailable");
            }
            *busy += 1;
        }
        let begun = Instant::now();
        let Some(hold) = self.keys.begin(key) else {
            *self.busy.lock().unwrap() -= 1;
            return not_run("421 Misdirected Request");
        };
        self.record.line(&format!("{} runs {id} of key {key}", self.name));
        self.runs.lock().unwrap().push(Run { id: id.clone(), server: self.name.clone(), at: begun });
        // The path names how long the work takes: /x/MS.
        let work: u64 = head.target.rsplit('/').next().and_then(|t| t.parse().ok()).unwrap_or(100);
        sleep_ms(work);
        self.keys.end(&id, key, begun, hold);
        *self.busy.lock().unwrap() -= 1;
        self.record.line(&format!("{} ends {id} of key {key}", self.name));
        let load = format!("{},0,{}", self.busy.lock().unwrap(), self.slots);
        let stamp = format!("{}.{id}", self.name);
        let headers = vec![("Chicoryrail-Upstream-Stamp", stamp), ("Chicoryrail-Upstream-Load", load)];
        (Answer::Run, "200 OK", headers, format!("done {id}\n"))
    }
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Got {
    pub id: String,
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub at: Instant,
}

/// Sends one attempt to a front address, on a connection of its own.
pub fn attempt(front: SocketAddr, host: &str, method: &str, path: &str, key: u16, budget_ms: u64, record: &Record) -> Got {
    let id = new_id("r");
    let (key, budget) = (key.to_string(), budget_ms.to_string());
    let headers = [
        ("Host", host),
        ("Chicoryrail-Request-Id", id.as_str()),
        ("Chicoryrail-Deadline-Ms", budget.as_str()),
        ("Chicoryrail-Shard-Key", key.as_str()),
    ];
    record.line(&format!("{id} {method} {path} key {key} sent to {front}"));
    let answer = call(front, method, path, &headers, b"", budget_ms + 500);
    let status = answer.as_ref().map_or(0, |(head, _)| head.status);
    let text = answer.map_or_else(|e| e.to_string(), |(_, body)| String::from_utf8_lossy(&body).trim().to_owned());
    record.line(&format!("{id} answered {status} {text}"));
    Got { id, status, at: Instant::now() }
}

/// A configuration with one keyed service and its routes `/x/` (may run once) and `/y/` (may be repeated).
pub fn keyed_config(version: u64, service: &str, host: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"prefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":1,\"attempts\":3,\"service\":\"{service}\"}}"
        )
    };
    format!(
        "{{\"version\":\"r{version}\",\"services\":[{{\"name\":\"{service}\",\"health_check_path\":\"/healthz\",\"max_connections\":120,\"slow_start_s\":3,\"cold_per_s\":13,\"sharded\":true}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"virtual_hosts\":[{{\"host\":\"{host}\",\"paths\":[{},{}]}}]}}",
        route("order", "/x/", "unsafe"),
        route("lookup", "/y/", "safe")
    )
}
