//! A server of the platform.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::collect;
use chicoryrail_runtime::full;
use chicoryrail_testkit::Cut;
use chicoryrail_testkit::Listener;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use serde_json::Value;

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

/// A server of the platform that remembers what it ran.
pub struct FakeServer {
    pub name: String,
    pub addr: SocketAddr,
    pub mode: Cell<Mode>,
    pub work: Cell<Millis>,
    /// Ids of the requests that it ran, in order.
    pub ran: RefCell<Vec<String>>,
    /// When each request arrived, on the server's clock.
    pub arrived: RefCell<Vec<Millis>>,
    /// Keys held: first key, last key, fence, end on the server's clock.
    pub held: RefCell<Vec<(u16, u16, u64, Millis)>>,
    pub keyed: bool,
    /// While set, grants and releases neither arrive nor get an answer.
    pub deaf: Cell<bool>,
    /// Grants and releases so far.
    pub calls: RefCell<Vec<String>>,
    seen: RefCell<BTreeMap<u16, u64>>,
    clock: Clock,
}

impl FakeServer {
    pub fn start(name: &str, keyed: bool) -> Rc<Self> {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let server = Rc::new(Self {
            name: name.to_owned(),
            addr: listener.addr().unwrap(),
            mode: Cell::new(Mode::Answer),
            work: Cell::new(Millis(1)),
            ran: RefCell::default(),
            arrived: RefCell::default(),
            held: RefCell::default(),
            keyed,
            deaf: Cell::new(false),
            calls: RefCell::default(),
            seen: RefCell::default(),
            clock: Clock::start(),
        });
        let own = Rc::clone(&server);
        monoio::spawn(listener.serve(CancellationToken::new(), move |request| {
            let own = Rc::clone(&own);
            async move { own.answer(request).await }
        }));
        server
    }

    /// Tells whether the server holds a key now.
    pub fn holds(&self, key: u16) -> bool {
        let now = self.clock.now();
        let held = self.held.borrow();
        held.iter().any(|h| h.0 <= key && key <= h.1 && now < h.3)
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (head, body) = request.into_parts();
        let body = collect(body, 1 << 20).await.map_err(|_| Cut)?;
        let text =
            |name: http::HeaderName| call_header::text(&head.headers, &name).map(str::to_owned);
        let expected = text(call_header::EXPECTED_SERVER);
        if expected.is_some_and(|e| e != self.name) {
            return Ok(self.respond(421, None, true));
        }
        if self.deaf.get() && head.uri.path().starts_with("/-/") {
            std::future::pending::<()>().await;
        }
        match head.uri.path() {
            "/-/grant" => return Ok(self.grant(&body)),
            "/-/release" => return Ok(self.release(&body)),
            _ => {}
        }
        let id = text(call_header::REQUEST_ID);
        self.arrived.borrow_mut().push(self.clock.now());
        let key = text(call_header::KEY).and_then(|k| k.parse().ok());
        if self.keyed && !key.is_some_and(|k| self.holds(k)) {
            return Ok(self.respond(421, id, true));
        }
        if self.mode.get() == Mode::Refuse {
            return Ok(self.respond(503, id, true));
        }
        self.ran.borrow_mut().push(id.clone().unwrap_or_default());
        self.clock.sleep(self.work.get()).await;
        match self.mode.get() {
            Mode::Answer | Mode::Refuse => Ok(self.respond(200, id, false)),
            Mode::Fail => Ok(self.respond(500, id, false)),
            Mode::LoseAnswer => Err(Cut),
            Mode::Cross => Ok(self.respond(200, Some("another".to_owned()), false)),
            Mode::Unmarked => {
                let mut answer = self.respond(200, id, false);
                answer.headers_mut().remove(call_header::STAMP);
                Ok(answer)
            }
        }
    }

    fn respond(&self, status: u16, id: Option<String>, not_run: bool) -> Response<Body> {
        let mut answer = Response::builder()
            .status(status)
            .header(call_header::SERVER, &self.name);
        if let Some(id) = id {
            answer = answer.header(call_header::REQUEST_ID, id);
        }
        if not_run {
            answer = answer.header(call_header::NOT_RUN, "1");
        } else {
            answer = answer.header(call_header::STAMP, "mark");
        }
        answer.body(full(format!("from {}", self.name))).unwrap()
    }

    fn grant(&self, body: &Bytes) -> Response<Body> {
        let call: Value = serde_json::from_slice(body).unwrap();
        let number = |name: &str| call[name].as_u64().unwrap();
        let (first, last) = (number("from") as u16, number("target") as u16);
        let fence = number("fence");
        self.calls
            .borrow_mut()
            .push(format!("grant {first}-{last} {fence}"));
        let mut seen = self.seen.borrow_mut();
        if seen.range(first..=last).any(|(_, f)| *f > fence) {
            return self.respond(409, None, true);
        }
        // A coarse memory of fences is enough: one for each 256 keys.
        for key in (first..=last).step_by(256) {
            seen.insert(key, fence);
        }
        let end = self.clock.now() + Millis(number("hold_ms"));
        let mut held = self.held.borrow_mut();
        held.retain(|h| h.1 < first || last < h.0 || h.0 < first || last < h.1);
        held.push((first, last, fence, end));
        self.respond(200, None, false)
    }

    fn release(&self, body: &Bytes) -> Response<Body> {
        let call: Value = serde_json::from_slice(body).unwrap();
        let number = |name: &str| call[name].as_u64().unwrap();
        let (first, last) = (number("from") as u16, number("target") as u16);
        self.calls
            .borrow_mut()
            .push(format!("release {first}-{last} {}", number("fence")));
        let fence = number("fence");
        let mut seen = self.seen.borrow_mut();
        for key in (first..=last).step_by(256) {
            let old = seen.get(&key).copied().unwrap_or(0);
            seen.insert(key, old.max(fence));
        }
        let mut held = self.held.borrow_mut();
        let before = std::mem::take(&mut *held);
        for (a, b, fence, end) in before {
            if a < first {
                held.push((a, b.min(first - 1), fence, end));
            }
            if b > last {
                held.push((a.max(last + 1), b, fence, end));
            }
        }
        let mut answer = self.respond(200, None, false);
        let token = http::HeaderValue::from_static("token");
        answer.headers_mut().insert(call_header::HANDOVER, token);
        answer
    }
}
