//! The HTTP interface of a target.

use std::io;
use std::rc::Rc;

use chicoryrail_core::Fence;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::GrantBody;
use chicoryrail_platform::ReleaseBody;
use chicoryrail_platform::SessionBody;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::json_answer;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::Cut;
use crate::Listener;
use crate::Ownership;
use crate::TargetFault;
use crate::TargetOptions;
use crate::target::state::State;
use crate::target::work;

/// Wait between two looks at the requests in flight.
const LOOK: Millis = Millis(2);

/// Wait between two samples for the load report.
const SAMPLE: Millis = Millis(20);

#[derive(Deserialize)]
struct CancelBody {
    request: String,
}

/// The stand-in of a target.
///
/// | call | effect |
/// |---|---|
/// | `POST /control/session`, `grant`, `release`, `cancel`, `GET /control/load` | as in `chicoryrail-platform` |
/// | `POST /control/drain` | refuses new work, answers when none is in flight |
/// | `PUT`, `DELETE /testkit/fault` | a [`TargetFault`] on; all off |
/// | `GET /testkit/ledger` | [`crate::Ledger`] |
/// | any other | work; the key is the last segment of the path |
///
/// Work takes the parameters `work_us` (service time), `body` (bytes after the first line) and
/// `chunked=1`. The answer's body starts with a line of JSON that names the request
/// ([`crate::AnswerHead`]).
#[derive(Clone, Debug)]
pub struct TargetServer {
    state: Rc<State>,
}

impl TargetServer {
    /// Serves until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns the system's error where the ledger's file can't be opened.
    pub async fn serve(
        options: TargetOptions,
        listener: Listener,
        stop: CancellationToken,
    ) -> io::Result<()> {
        let listener = listener.with_connections(options.connections);
        let state = Rc::new(State::new(options, listener.refused())?);
        let this = Self { state };
        let (sampler, ended) = (this.clone(), stop.clone());
        monoio::spawn(async move {
            while !ended.is_cancelled() {
                sampler.state.sample();
                monoio::time::sleep(SAMPLE.duration()).await;
            }
        });
        listener
            .serve(stop, move |request| {
                let this = this.clone();
                async move { this.answer(request).await }
            })
            .await;
        Ok(())
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let path = request.uri().path();
        if path.starts_with("/control/") || path.starts_with("/testkit/") {
            return Ok(self.control(request).await);
        }
        work::answer(Rc::clone(&self.state), request).await
    }

    async fn control(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let body = work::body(request).await;
        match (method, path.as_str()) {
            (Method::POST, "/control/session") => with(&body, |b| self.session(&b)),
            (Method::POST, "/control/grant") => with(&body, |b| self.grant(&b)),
            (Method::POST, "/control/release") => match serde_json::from_slice(&body) {
                Ok(body) => self.release(&body).await,
                Err(e) => error_answer(ResultCode::BadRequest, &e.to_string()),
            },
            (Method::POST, "/control/cancel") => with(&body, |b: CancelBody| {
                json_answer(200, &self.state.cancel(&b.request))
            }),
            (Method::POST, "/control/drain") => self.drain().await,
            (Method::GET, "/control/load") => json_answer(200, &self.state.report()),
            (Method::PUT, "/testkit/fault") => with(&body, |b| self.fault(b)),
            (Method::DELETE, "/testkit/fault") => {
                self.state.faults.borrow_mut().clear();
                json_answer(200, &())
            }
            (Method::GET, "/testkit/ledger") => {
                let mut recorder = self.state.recorder.borrow_mut();
                recorder.ledger.connections_refused = self.state.refused.get();
                json_answer(200, &recorder.ledger)
            }
            _ => error_answer(ResultCode::BadRequest, "the server has no such call"),
        }
    }

    fn session(&self, body: &SessionBody) -> Response<Body> {
        let now = self.state.now();
        self.obey(|ownership| ownership.session(now, body))
    }

    fn grant(&self, body: &GrantBody) -> Response<Body> {
        let now = self.state.now();
        self.obey(|ownership| ownership.grant(now, body))
    }

    async fn release(&self, body: &ReleaseBody) -> Response<Body> {
        let answer = self.obey(|ownership| ownership.release(body));
        if answer.status() != 200 {
            return answer;
        }
        while self.state.runs_on(&body.slices) {
            monoio::time::sleep(LOOK.duration()).await;
        }
        self.state.ownership.borrow_mut().released(&body.slices);
        json_answer(200, &self.state.session_answer())
    }

    async fn drain(&self) -> Response<Body> {
        self.state.draining.set(true);
        while self.state.accepted() > 0 {
            monoio::time::sleep(LOOK.duration()).await;
        }
        json_answer(200, &self.state.session_answer())
    }

    /// Applies a call; an unfenced server forgets what it has seen rather than refuse.
    fn obey(&self, apply: impl Fn(&mut Ownership) -> Result<(), Fence>) -> Response<Body> {
        let mut ownership = self.state.ownership.borrow_mut();
        let mut result = apply(&mut ownership);
        if result.is_err() && !self.state.options.fenced {
            *ownership = Ownership::default();
            result = apply(&mut ownership);
        }
        drop(ownership);
        let status = if result.is_ok() { 200 } else { 409 };
        json_answer(status, &self.state.session_answer())
    }

    fn fault(&self, fault: TargetFault) -> Response<Body> {
        if let TargetFault::Cold {
            for_ms,
            new_instance,
        } = fault
        {
            self.state.turn_cold(for_ms.map(Millis), new_instance);
        }
        let now = self.state.now();
        self.state.faults.borrow_mut().add(now, fault);
        json_answer(200, &())
    }
}

fn with<T: DeserializeOwned>(body: &[u8], act: impl FnOnce(T) -> Response<Body>) -> Response<Body> {
    match serde_json::from_slice(body) {
        Ok(value) => act(value),
        Err(e) => error_answer(ResultCode::BadRequest, &e.to_string()),
    }
}
