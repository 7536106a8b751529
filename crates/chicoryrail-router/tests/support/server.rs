//! A server of the platform in the test's own process.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::HttpClient;
use chicoryrail_testkit::Ledger;
use chicoryrail_testkit::Listener;
use chicoryrail_testkit::TargetFault;
use chicoryrail_testkit::TargetOptions;
use chicoryrail_testkit::TargetServer;
use http::Request;

/// Length of a fault that lasts as long as the test.
const ALWAYS: u64 = 600_000;

/// Longest time for a call past the router.
const LIMIT: Millis = Millis(10_000);

/// Service time of a server that is not slow.
const WORK: Millis = Millis(1);

/// What a server does with a request that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Runs it and answers.
    Answer,
    /// Refuses it without running it.
    Refuse,
    /// Runs it and answers that it failed.
    Fail,
    /// Runs it and closes the connection without an answer.
    LoseAnswer,
    /// Runs it and answers with the id of another request.
    Cross,
    /// Runs it and answers without its mark.
    Unmarked,
}

/// A server that remembers what it ran.
pub struct Server {
    pub name: String,
    pub addr: SocketAddr,
    target: TargetServer,
}

impl Server {
    /// Starts a server that registers itself in the store.
    pub fn start(options: TargetOptions) -> Rc<Self> {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let addr = listener.addr().unwrap();
        let name = options.name.to_string();
        let options = TargetOptions {
            service_us: WORK.0 * 1_000,
            ..options
        };
        let target = TargetServer::start(options, listener, CancellationToken::new());
        Rc::new(Self {
            name,
            addr,
            target: target.unwrap(),
        })
    }

    pub fn fault(&self, fault: TargetFault) {
        self.target.fault(fault);
    }

    /// Does so with every request from now on.
    pub fn does(&self, mode: Mode) {
        let (for_ms, share) = (ALWAYS, 1.0);
        self.target.fault(match mode {
            Mode::Answer => return,
            Mode::Refuse => TargetFault::Refuse { for_ms, share },
            Mode::Fail => TargetFault::Fail { for_ms, share },
            Mode::LoseAnswer => TargetFault::LoseAnswers { for_ms, share },
            Mode::Cross => TargetFault::Crossed { for_ms, share },
            Mode::Unmarked => TargetFault::Unmarked { for_ms },
        });
    }

    /// Takes that long for every request from now on.
    pub fn takes(&self, work: Millis) {
        self.target.fault(TargetFault::Slow {
            for_ms: ALWAYS,
            factor: work.0 as f64 / WORK.0 as f64,
        });
    }

    /// Neither hears nor answers calls about keys from now on.
    pub fn is_deaf(&self) {
        self.target.fault(TargetFault::Deaf { for_ms: ALWAYS });
    }

    /// Sends a request past the router.
    pub async fn ask_directly(&self) {
        let request = Request::get("/read/0")
            .header(call_header::REQUEST_ID, "directly")
            .body(Bytes::new())
            .unwrap();
        let client = HttpClient::default();
        client.call(self.addr, request, LIMIT).await.unwrap();
    }

    /// Tells whether the server holds a key now.
    pub fn holds(&self, key: u16) -> bool {
        self.target.holds(key)
    }

    pub fn ledger(&self) -> Ledger {
        self.target.ledger()
    }

    /// Ids of the requests that it ran, in order.
    pub fn ran(&self) -> Vec<String> {
        let runs = self.target.ledger().runs;
        runs.into_iter().map(|r| r.request).collect()
    }

    /// Number of the requests that it ran.
    pub fn runs(&self) -> usize {
        self.target.ledger().runs.len()
    }
}
