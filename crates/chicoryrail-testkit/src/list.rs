//! The stand-in of the platform's list of hosts.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::HostEntry;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::collect;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::json_answer;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;

use crate::Listener;

/// Largest list taken, in bytes.
const MOST: usize = 8 << 20;

type Listed = (Millis, Vec<HostEntry>);

/// A host list that answers what was true some time ago.
///
/// `PUT /v1/hosts` sets what is true; `GET /v1/hosts` shows it after the lag. The first list shows
/// at once, so that a start needs no wait.
#[derive(Clone, Debug)]
pub struct ListServer {
    clock: Clock,
    lag: Millis,
    /// Lists, each with the time from which it shows.
    known: Rc<RefCell<VecDeque<Listed>>>,
}

impl ListServer {
    /// Builds an empty list that lags by `lag`.
    #[must_use]
    pub fn new(lag: Millis) -> Self {
        Self {
            clock: Clock::start(),
            lag,
            known: Rc::default(),
        }
    }

    /// Serves until `stop` is cancelled.
    pub async fn serve(self, listener: Listener, stop: CancellationToken) {
        listener
            .serve(stop, move |request| {
                let this = self.clone();
                async move { Ok(this.answer(request).await) }
            })
            .await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/v1/hosts") => json_answer(200, &self.shown()),
            (Method::PUT, "/v1/hosts") => match collect(request.into_body(), MOST).await {
                Ok(body) => self.put(&body),
                Err(e) => error_answer(ResultCode::BadRequest, &e.to_string()),
            },
            _ => error_answer(ResultCode::BadRequest, "the list has only /v1/hosts"),
        }
    }

    fn put(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice::<Vec<HostEntry>>(body) {
            Ok(hosts) => {
                let mut known = self.known.borrow_mut();
                let lag = if known.is_empty() {
                    Millis::ZERO
                } else {
                    self.lag
                };
                known.push_back((self.clock.now() + lag, hosts));
                json_answer(200, &())
            }
            Err(e) => error_answer(ResultCode::BadRequest, &format!("hosts: {e}")),
        }
    }

    fn shown(&self) -> Vec<HostEntry> {
        let now = self.clock.now();
        let mut known = self.known.borrow_mut();
        while known.get(1).is_some_and(|(shows, _)| *shows <= now) {
            known.pop_front();
        }
        known
            .front()
            .map_or_else(Vec::new, |(_, hosts)| hosts.clone())
    }
}
