//! A server that keeps a session and slices on its own clock.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Fence;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_core::Slice;
use chicoryrail_platform::GrantBody;
use chicoryrail_platform::LoadReport;
use chicoryrail_platform::ReleaseBody;
use chicoryrail_platform::SessionAnswer;
use chicoryrail_platform::SessionBody;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::json_answer;
use serde_json::from_slice;

/// A fenced server that can freeze (answer nothing, its clock goes on) and restart.
pub struct FakeTarget {
    clock: Clock,
    /// Random number of the run.
    pub instance: Cell<u64>,
    /// While set, calls are kept without an answer, as by a stopped process.
    pub frozen: Cell<bool>,
    fence: Cell<Fence>,
    until: Cell<Millis>,
    slices: RefCell<Vec<Slice>>,
}

impl FakeTarget {
    pub fn start(stop: &CancellationToken) -> (Rc<Self>, SocketAddr) {
        let target = Rc::new(Self {
            clock: Clock::start(),
            instance: Cell::new(rand::random()),
            frozen: Cell::new(false),
            fence: Cell::default(),
            until: Cell::default(),
            slices: RefCell::default(),
        });
        let own = Rc::clone(&target);
        let addr = super::listen(stop, move |_, uri, body| {
            let own = Rc::clone(&own);
            async move { own.answer(&uri, &body).await }
        });
        (target, addr)
    }

    /// Forgets everything and comes back as another run.
    pub fn restart(&self) {
        self.instance.set(rand::random());
        self.fence.set(Fence::default());
        self.until.set(Millis::ZERO);
        self.slices.borrow_mut().clear();
    }

    /// Tells whether the server would run a request for the key now.
    pub fn owns(&self, key: KeyHash) -> bool {
        let held = self.slices.borrow().iter().any(|s| s.contains(key));
        held && self.clock.now() < self.until.get()
    }

    /// Returns the slices that the server would work on now.
    pub fn owned(&self) -> Vec<Slice> {
        if self.clock.now() < self.until.get() {
            return self.slices.borrow().clone();
        }
        Vec::new()
    }

    async fn answer(&self, uri: &str, body: &Bytes) -> http::Response<Body> {
        for _ in 0..6_000 {
            if !self.frozen.get() {
                break;
            }
            self.clock.sleep(Millis(5)).await;
        }
        let fence = match uri {
            "/control/session" => from_slice::<SessionBody>(body).unwrap().fence,
            "/control/grant" => from_slice::<GrantBody>(body).unwrap().fence,
            "/control/release" => from_slice::<ReleaseBody>(body).unwrap().fence,
            "/control/load" => {
                return json_answer(
                    200,
                    &LoadReport {
                        busy: 0,
                        queued: 0,
                        age: Millis(0),
                        instance: self.instance.get(),
                    },
                );
            }
            _ => return error_answer(ResultCode::UnknownService, uri),
        };
        if fence < self.fence.get() {
            return json_answer(409, &self.seen());
        }
        self.fence.set(fence);
        match uri {
            "/control/session" => {
                let session: SessionBody = from_slice(body).unwrap();
                self.extend(session.asof, session.valid);
            }
            "/control/grant" => {
                let grant: GrantBody = from_slice(body).unwrap();
                self.extend(grant.asof, grant.valid);
                *self.slices.borrow_mut() = grant.slices;
            }
            _ => {
                let release: ReleaseBody = from_slice(body).unwrap();
                let mut slices = self.slices.borrow_mut();
                slices.retain(|s| !release.slices.contains(s));
            }
        }
        json_answer(200, &self.seen())
    }

    fn extend(&self, asof: Millis, valid: Millis) {
        if asof > Millis::ZERO {
            self.until.set(self.until.get().max(asof + valid));
        }
    }

    fn seen(&self) -> SessionAnswer {
        SessionAnswer {
            now: self.clock.now() + Millis(1),
            instance: self.instance.get(),
            fence: self.fence.get(),
            slices: self.slices.borrow().clone(),
            busy: 0,
        }
    }
}
