//! Gate processes.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use chicoryrail_platform::HostEntry;
use chicoryrail_platform::ListedState;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::json_answer;
use chicoryrail_runtime::serve_http;
use chicoryrail_wire::PeerLimits;
use chicoryrail_wire::serve;
use monoio::net::TcpListener;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

use super::Control;
use super::control::Answers;
use super::free_addr;
use super::get;
use super::until;

/// A gate process, killed when dropped.
pub struct Gate {
    pub callers: SocketAddr,
    pub inner: SocketAddr,
    pub observe: SocketAddr,
    pub child: Child,
}

/// The controller and the host list of the test, and the gates that follow them.
pub struct World {
    pub control: Rc<Control>,
    pub gates: Vec<Gate>,
}

impl World {
    /// Starts gates `g0`, `g1`, … with further flags; they are not ready yet.
    pub fn start(gates: usize, flags: &[&str]) -> Self {
        Self::start_beside(gates, flags, &[])
    }

    /// Starts gates beside others that the test plays, which are listed by name and address.
    pub fn start_beside(gates: usize, flags: &[&str], played: &[(&str, SocketAddr)]) -> Self {
        let control = Rc::new(Control::default());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let controller = listener.local_addr().unwrap();
        monoio::spawn(serve(
            listener,
            PeerLimits::default(),
            Rc::new(Answers(Rc::clone(&control))),
            std::future::pending(),
        ));
        let list = TcpListener::bind("127.0.0.1:0").unwrap();
        let listed = list.local_addr().unwrap();
        let gates: Vec<_> = (0..gates).map(|i| Gate::start(i, listed, flags)).collect();
        let entry = |name: &str, gate, controller, observe| HostEntry {
            name: name.into(),
            data_centre: "north".into(),
            state: ListedState::Live,
            gate,
            controller,
            admin: observe,
            observe: vec![observe],
        };
        let own = gates.iter().enumerate().map(|(i, g)| {
            let controller = if i == 0 { controller } else { free_addr() };
            entry(&format!("g{i}"), g.inner, controller, g.observe)
        });
        let played = played.iter();
        let played = played.map(|(name, gate)| entry(name, *gate, free_addr(), free_addr()));
        let hosts: Vec<_> = own.chain(played).collect();
        let stop = CancellationToken::new();
        monoio::spawn(serve_http(
            list,
            HttpLimits::default(),
            stop,
            move |_, _| {
                let answer = json_answer(200, &hosts);
                async move { answer }
            },
        ));
        Self { control, gates }
    }

    /// Waits until every gate says that it is ready.
    pub async fn ready(&self) {
        for gate in &self.gates {
            gate.ready().await;
        }
    }

    /// Returns the callers' address of a gate.
    pub fn callers(&self, i: usize) -> SocketAddr {
        self.gates[i].callers
    }
}

impl Gate {
    fn start(i: usize, list: SocketAddr, flags: &[&str]) -> Self {
        // Another test on the machine may take a port between the choice and the gate's start; the
        // gate ends then, and gets other ports.
        for _ in 0..20 {
            let mut gate = Self::spawn(i, list, flags);
            if gate.has_listeners() {
                return gate;
            }
        }
        panic!("the gate found no free ports");
    }

    fn has_listeners(&mut self) -> bool {
        for _ in 0..4_000 {
            if self.child.try_wait().unwrap().is_some() {
                return false;
            }
            // The observing listener is opened last.
            if TcpStream::connect(self.observe).is_ok() {
                std::thread::sleep(Duration::from_millis(10));
                return self.child.try_wait().unwrap().is_none();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    fn spawn(i: usize, list: SocketAddr, flags: &[&str]) -> Self {
        let (callers, inner, observe) = (free_addr(), free_addr(), free_addr());
        let child = Command::new(env!("CARGO_BIN_EXE_chicoryrail-gate"))
            .args(["--host", &format!("g{i}"), "--data-centre", "north"])
            .args(["--host-list", &list.to_string()])
            .args(["--callers", &callers.to_string()])
            .args(["--inner", &inner.to_string()])
            .args(["--observe", &observe.to_string()])
            .args(flags)
            .env("CHICORYRAIL_ABORT_ON_VIOLATION", "1")
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            callers,
            inner,
            observe,
            child,
        }
    }

    /// Waits until the gate says that it is ready.
    pub async fn ready(&self) {
        for _ in 0..4_000 {
            if self.is_ready().await {
                return;
            }
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the gate did not become ready");
    }

    /// Asks whether the gate is ready.
    pub async fn is_ready(&self) -> bool {
        let answer = get(self.observe, "/readyz").await;
        answer.is_ok_and(|a| a.status() == 200)
    }

    /// Returns the sum of the metrics whose line starts with `name`.
    pub async fn metric(&self, name: &str) -> f64 {
        let answer = get(self.observe, "/metrics").await.unwrap();
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        let lines = text.lines().filter(|l| l.starts_with(name));
        lines
            .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Waits for the process's end and returns its exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let mut status = None;
        until("the gate ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        })
        .await;
        status.and_then(|s| s.code())
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
