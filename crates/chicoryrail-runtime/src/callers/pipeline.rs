//! Pipelined requests of a caller: those sent before the responses to earlier ones.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use http::Request;
use http::Response;
use http::request::Parts;

use crate::Body;
use crate::callers::HeadScanner;
use crate::callers::ScannedHead;
use crate::empty_body;

/// Maximum number of requests of one connection that are served concurrently with the current one. Each may occupy a
/// server's slot and keep a response in memory. Eight hide a server's latency as well as a hundred would.
pub(crate) const MAX_EARLY_STARTS: usize = 8;

/// A response that is being produced.
pub(crate) type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>>>>;

/// Callbacks of a [`Pipeline`].
pub(crate) struct Callbacks {
    /// Starts a request.
    pub(crate) start: Box<dyn Fn(Request<Body>) -> ResponseFuture>,
    /// Returns `true` if a request may start before the earlier ones are answered, and later ones may start before
    /// this one is answered.
    pub(crate) can_start_early: Box<dyn Fn(&Parts) -> bool>,
}

/// Serves the pipelined requests of one connection concurrently.
///
/// Callers may send several lookups before the first response. hyper starts a request only when the previous one is
/// answered, so each would wait for all earlier ones while its deadline approaches. A pipeline starts them early.
/// Responses keep the order of the requests, since hyper reads and answers the requests one by one. A request that
/// must not run twice or has a body starts only when it is the current one, and no later request starts before it.
pub(crate) struct Pipeline {
    callbacks: Callbacks,
    scanner: Rc<RefCell<HeadScanner>>,
    queue: VecDeque<QueuedRequest>,
    /// Whether the current request allows later ones to start early.
    allows_early: bool,
    /// Whether the connection is being closed: no further request starts early.
    closing: bool,
    /// Whether the caller has ever sent a request before the response to an earlier one.
    is_pipelined: bool,
}

/// A request that hyper has not read yet.
struct QueuedRequest {
    head: ScannedHead,
    started: Option<StartedRequest>,
}

/// A request that was started early.
struct StartedRequest {
    request: Request<()>,
    response: ResponseState,
}

enum ResponseState {
    Pending(ResponseFuture),
    Ready(Response<Body>),
}

impl Pipeline {
    pub(crate) fn new(callbacks: Callbacks, scanner: Rc<RefCell<HeadScanner>>) -> Self {
        Self {
            callbacks,
            scanner,
            queue: VecDeque::new(),
            allows_early: false,
            closing: false,
            is_pipelined: false,
        }
    }

    /// Serves the request that hyper has read, now the current one. If it was started early, returns its response.
    pub(crate) fn serve_current(&mut self, request: Request<Body>) -> ResponseFuture {
        self.queue_scanned();
        let (parts, body) = request.into_parts();
        let queued = self.queue.pop_front();
        let pipelinable = queued.as_ref().is_some_and(|q| q.head.pipelinable);
        self.allows_early = pipelinable && (self.callbacks.can_start_early)(&parts);
        if let Some(started) = queued.and_then(|q| q.started) {
            if started.matches(&parts) {
                return match started.response {
                    ResponseState::Pending(response) => response,
                    ResponseState::Ready(response) => Box::pin(std::future::ready(response)),
                };
            }
            // The request started early differs from the one that hyper read, so no scanned head can be trusted.
            log::error!(begun:% = started.request.uri(), read:% = parts.uri; "pipeline_differs");
            self.closing = true;
            self.queue.clear();
        }
        (self.callbacks.start)(Request::from_parts(parts, body))
    }

    /// Starts the requests that may start early, and polls those already started.
    pub(crate) fn poll_queued(&mut self, cx: &mut Context<'_>) {
        self.queue_scanned();
        self.is_pipelined |= !self.queue.is_empty();
        if self.allows_early && !self.closing {
            self.start_early();
        }
        for started in self.queue.iter_mut().filter_map(|q| q.started.as_mut()) {
            if let ResponseState::Pending(response) = &mut started.response
                && let Poll::Ready(response) = response.as_mut().poll(cx)
            {
                started.response = ResponseState::Ready(response);
            }
        }
    }

    /// Stops starting requests early. Those already started are still answered.
    pub(crate) fn close(&mut self) {
        self.closing = true;
    }

    /// Returns `true` if the caller has ever sent a request before the response to an earlier one.
    pub(crate) const fn is_pipelined(&self) -> bool {
        self.is_pipelined
    }

    /// Returns `true` if the connection is being closed.
    pub(crate) const fn is_closing(&self) -> bool {
        self.closing
    }

    /// Returns `true` if the next request was started early.
    pub(crate) fn has_started(&self) -> bool {
        self.queue.front().is_some_and(|q| q.started.is_some())
    }

    fn queue_scanned(&mut self) {
        let mut scanner = self.scanner.borrow_mut();
        while let Some(head) = scanner.next_head() {
            self.queue.push_back(QueuedRequest {
                head,
                started: None,
            });
        }
    }

    fn start_early(&mut self) {
        for queued in self.queue.iter_mut().take(MAX_EARLY_STARTS) {
            if queued.started.is_some() {
                continue;
            }
            if !queued.head.pipelinable {
                return;
            }
            let Some(request) = queued.head.to_request() else {
                return;
            };
            let (parts, ()) = request.clone().into_parts();
            if !(self.callbacks.can_start_early)(&parts) {
                return;
            }
            let response = (self.callbacks.start)(Request::from_parts(parts, empty_body()));
            queued.started = Some(StartedRequest {
                request,
                response: ResponseState::Pending(response),
            });
        }
    }
}

impl StartedRequest {
    /// Returns `true` if a request that hyper has read is this one.
    fn matches(&self, parts: &Parts) -> bool {
        let own = &self.request;
        own.method() == parts.method && *own.uri() == parts.uri && *own.headers() == parts.headers
    }
}
