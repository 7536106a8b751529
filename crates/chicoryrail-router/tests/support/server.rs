//! A simulated server that runs in the test process.

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

/// Duration of a fault that lasts until the end of the test.
const FAULT_MS: u64 = 600_000;

/// Timeout of a call that bypasses the router.
const CALL_TIMEOUT: Millis = Millis(10_000);

/// Default service time.
const SERVICE_TIME: Millis = Millis(1);

/// How a server handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Runs the request and responds.
    Respond,
    /// Refuses the request without running it.
    Refuse,
    /// Runs the request and responds that it failed.
    Fail,
    /// Runs the request and closes the connection without a response.
    LoseResponse,
    /// Runs the request and responds with the id of another request.
    WrongRequestId,
    /// Runs the request and responds without the stamp that identifies the server.
    NoStamp,
}

/// A server that records the requests that it ran.
pub struct Server {
    pub name: String,
    pub addr: SocketAddr,
    target: TargetServer,
}

impl Server {
    /// Starts a server that registers itself in the store.
    pub fn start(options: TargetOptions) -> Rc<Self> {
        Self::serve(
            options,
            Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap(),
        )
    }

    /// Starts a server at the address of one that has crashed.
    pub async fn start_at(addr: SocketAddr, options: TargetOptions) -> Rc<Self> {
        loop {
            if let Ok(listener) = Listener::bind(addr) {
                return Self::serve(options, listener);
            }
            monoio::time::sleep(Millis(1).to_duration()).await;
        }
    }

    fn serve(options: TargetOptions, listener: Listener) -> Rc<Self> {
        let addr = listener.addr().unwrap();
        let name = options.name.to_string();
        let options = TargetOptions {
            service_us: SERVICE_TIME.0 * 1_000,
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
        self.target.inject_fault(fault);
    }

    /// Handles all further requests in this mode.
    pub fn set_mode(&self, mode: Mode) {
        let (for_ms, share) = (FAULT_MS, 1.0);
        self.target.inject_fault(match mode {
            Mode::Respond => return,
            Mode::Refuse => TargetFault::Refuse {
                for_ms,
                share,
                backoff_ms: None,
            },
            Mode::Fail => TargetFault::Fail { for_ms, share },
            Mode::LoseResponse => TargetFault::LoseAnswers { for_ms, share },
            Mode::WrongRequestId => TargetFault::Crossed { for_ms, share },
            Mode::NoStamp => TargetFault::Unmarked { for_ms },
        });
    }

    /// Sets the service time of all further requests.
    pub fn set_work(&self, work: Millis) {
        self.target.inject_fault(TargetFault::Slow {
            for_ms: FAULT_MS,
            factor: work.0 as f64 / SERVICE_TIME.0 as f64,
        });
    }

    /// Ignores all further calls that grant or release keys.
    pub fn ignore_key_calls(&self) {
        self.target
            .inject_fault(TargetFault::Deaf { for_ms: FAULT_MS });
    }

    /// Sends a request to the server directly, without the router.
    pub async fn call_directly(&self) {
        let request = Request::get("/read/0")
            .header(call_header::REQUEST_ID, "directly")
            .body(Bytes::new())
            .unwrap();
        let client = HttpClient::default();
        client.call(self.addr, request, CALL_TIMEOUT).await.unwrap();
    }

    /// Returns `true` if the server has ended.
    pub fn has_crashed(&self) -> bool {
        self.target.has_crashed()
    }

    /// Ends the server as a kill of its process would.
    pub fn crash(&self) {
        self.target.crash();
    }

    /// Returns `true` if the server currently holds the lease of a key.
    pub fn owns(&self, key: u16) -> bool {
        self.target.owns_key(key)
    }

    pub fn ledger(&self) -> Ledger {
        self.target.ledger()
    }

    /// Returns the ids of the requests that the server ran, in order.
    pub fn executed_ids(&self) -> Vec<String> {
        let runs = self.target.ledger().runs;
        runs.into_iter().map(|r| r.request).collect()
    }

    /// Returns the number of requests that the server ran.
    pub fn executed(&self) -> usize {
        self.target.ledger().runs.len()
    }
}
