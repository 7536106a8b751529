//! Controllers, servers and the platform, all on one thread.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::rc::Rc;

use chicoryrail_core::Digest;
use chicoryrail_core::Head;
use chicoryrail_core::Millis;
use chicoryrail_core::TeamName;
use chicoryrail_platform::HostEntry;
use chicoryrail_platform::ListedState;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::json_answer;
use chicoryrail_wire::Peer;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use chicoryrail_wire::StatusReply;
use monoio::net::TcpListener;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

use super::FakeGate;
use super::FakeStore;
use super::FakeTarget;
use super::bundle;

/// A small system: one controller a host, and the servers of one keyed service.
pub struct Cluster {
    pub stop: CancellationToken,
    pub store: Rc<FakeStore>,
    pub targets: Vec<Rc<FakeTarget>>,
    pub processes: Vec<Child>,
    pub inner: Vec<SocketAddr>,
    /// Each ends the gate of a host.
    pub gates: Vec<CancellationToken>,
    pub hosts: Rc<RefCell<Vec<HostEntry>>>,
    store_addr: SocketAddr,
    list_addr: SocketAddr,
    text: String,
    head: RefCell<Head>,
}

impl Cluster {
    /// Starts the platform, the servers and `hosts` controllers.
    pub fn start(hosts: usize, servers: usize) -> Self {
        let stop = CancellationToken::new();
        let (store, store_addr) = FakeStore::start(&stop);
        let mut targets = Vec::new();
        let mut addrs = Vec::new();
        for _ in 0..servers {
            let (target, addr) = FakeTarget::start(&stop);
            targets.push(target);
            addrs.push(addr);
        }
        let list: Rc<RefCell<Vec<HostEntry>>> = Rc::default();
        let shown = Rc::clone(&list);
        let list_addr = super::listen(&stop, move |_, _, _| {
            let answer = json_answer(200, &*shown.borrow());
            async move { answer }
        });
        let mut cluster = Self {
            stop,
            store,
            targets,
            processes: Vec::new(),
            inner: Vec::new(),
            gates: Vec::new(),
            hosts: list,
            store_addr,
            list_addr,
            text: bundle(&addrs, true),
            head: RefCell::default(),
        };
        cluster.roll(|_| {});
        for i in 0..hosts {
            cluster.add(i);
        }
        cluster
    }

    /// Rolls the next version of the configuration.
    pub fn roll(&self, change: impl FnOnce(&mut Head)) {
        let digest = Digest::of(self.text.as_bytes());
        let stored = serde_json::json!({ "text": self.text }).to_string();
        self.store.put(&format!("config/bundle/{digest}"), &stored);
        let mut head = self.head.borrow_mut();
        head.version += 1;
        head.bundles.insert(TeamName::new("updraft"), digest);
        change(&mut head);
        let text = serde_json::to_string(&*head).unwrap();
        self.store.put("config/head", &text);
    }

    /// Starts the controller of host `i` as a process of its own and lists it.
    pub fn add(&mut self, i: usize) {
        let name = format!("h{i}");
        let dc = ["a", "b"][i % 2];
        let inner = free_addr();
        let observe = free_addr();
        let stop = self.stop.child_token();
        let gate = FakeGate::listen(&stop, &name, dc);
        self.gates.push(stop);
        let process = Command::new(env!("CARGO_BIN_EXE_chicoryrail-controller"))
            .args(["--host", &name, "--data-centre", dc])
            .args(["--host-list", &self.list_addr.to_string()])
            .args(["--store", &self.store_addr.to_string()])
            .args(["--inner", &inner.to_string()])
            .args(["--observe", &observe.to_string()])
            .env("CHICORYRAIL_ABORT_ON_VIOLATION", "1")
            .spawn()
            .unwrap();
        self.hosts.borrow_mut().push(HostEntry {
            name: name.as_str().into(),
            data_centre: dc.into(),
            state: ListedState::Live,
            gate,
            controller: inner,
            admin: free_addr(),
            observe: vec![observe],
        });
        self.processes.push(process);
        self.inner.push(inner);
    }

    /// Sends a signal to a controller.
    pub fn signal(&self, i: usize, signal: Signal) {
        let pid = Pid::from_raw(self.processes[i].id() as i32);
        kill(pid, signal).unwrap();
    }

    /// Returns the controller that acts on the shard of the keyed service.
    pub async fn holder(&self) -> Option<usize> {
        for i in 0..self.inner.len() {
            let Some(status) = self.status(i).await else {
                continue;
            };
            if status.tables.iter().any(|t| !t.entries.is_empty()) {
                return Some(i);
            }
        }
        None
    }

    /// Asks a controller for its status.
    pub async fn status(&self, i: usize) -> Option<StatusReply> {
        let peer = Peer::new(self.inner[i]);
        match peer
            .call(&Request::Status { tables: true }, Millis(500))
            .await
        {
            Ok(Reply::Status(status)) => Some(status),
            _ => None,
        }
    }

    /// Returns how many of 64 evenly spread positions have exactly one owner.
    pub fn served(&self) -> usize {
        (0..64_u64).filter(|i| self.owners(i << 58) == 1).count()
    }

    /// Returns how many servers would work on a position now.
    pub fn owners(&self, at: u64) -> usize {
        let key = chicoryrail_core::KeyHash(at);
        self.targets.iter().filter(|t| t.owns(key)).count()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        self.stop.cancel();
    }
}

/// Waits until `done` says so, at most 20 s; returns the time it took.
pub async fn wait_until(what: &str, mut done: impl AsyncFnMut() -> bool) -> Millis {
    let clock = chicoryrail_runtime::Clock::start();
    while !done().await {
        assert!(clock.now() < Millis(20_000), "not within 20 s: {what}");
        clock.sleep(Millis(5)).await;
    }
    clock.now()
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}
