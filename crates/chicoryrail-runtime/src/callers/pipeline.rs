//! Requests that a caller sent behind one that is being served.

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
use crate::empty;

/// Most requests of one connection that are served beside the one whose turn it is. Each may hold a server's
/// slot and an answer in memory. A caller with more has eight answers at a time, which hides the wait for a
/// server as well as a hundred would.
pub(crate) const MOST_AHEAD: usize = 8;

/// An answer in the making.
pub(crate) type Answering = Pin<Box<dyn Future<Output = Response<Body>>>>;

/// How requests are served.
pub(crate) struct Serve {
    /// Begins a request.
    pub(crate) begin: Box<dyn Fn(Request<Body>) -> Answering>,
    /// Tells whether a request may begin before those in front of it are answered, and let those behind it
    /// begin.
    pub(crate) early: Box<dyn Fn(&Parts) -> bool>,
}

/// Requests of one connection that are known beyond the one whose turn it is.
///
/// Load: callers that send several lookups before the first answer. The HTTP layer takes a request when the one
/// in front of it is answered, so each waits for all in front of it, and its time passes. Here they are
/// served side by side; answers leave in the order of the requests, since the HTTP layer still asks for them
/// one by one. A request that may run once, or has a body, begins when its turn comes, and nothing behind it
/// begins before that.
pub(crate) struct Pipeline {
    serve: Serve,
    scanner: Rc<RefCell<HeadScanner>>,
    behind: VecDeque<Behind>,
    /// Whether the request whose turn it is lets those behind it begin.
    open: bool,
    /// Whether the connection is to end: nothing more begins early.
    closing: bool,
}

/// A request behind the one whose turn it is.
struct Behind {
    head: ScannedHead,
    begun: Option<Begun>,
}

/// A request that was begun early.
struct Begun {
    request: Request<()>,
    answer: Answer,
}

enum Answer {
    Coming(Answering),
    Ready(Response<Body>),
}

impl Pipeline {
    pub(crate) fn new(serve: Serve, scanner: Rc<RefCell<HeadScanner>>) -> Self {
        Self {
            serve,
            scanner,
            behind: VecDeque::new(),
            open: false,
            closing: false,
        }
    }

    /// Serves the request whose turn has come; one that was begun early goes on.
    pub(crate) fn turn(&mut self, request: Request<Body>) -> Answering {
        self.find();
        let (parts, body) = request.into_parts();
        let behind = self.behind.pop_front();
        let plain = behind.as_ref().is_some_and(|b| b.head.plain);
        self.open = plain && (self.serve.early)(&parts);
        if let Some(begun) = behind.and_then(|b| b.begun) {
            if begun.is(&parts) {
                return match begun.answer {
                    Answer::Coming(answer) => answer,
                    Answer::Ready(answer) => Box::pin(std::future::ready(answer)),
                };
            }
            // What was begun is none of what the HTTP layer reads. Nothing found here can be trusted.
            log::error!(begun:% = begun.request.uri(), read:% = parts.uri; "pipeline_differs");
            self.closing = true;
            self.behind.clear();
        }
        (self.serve.begin)(Request::from_parts(parts, body))
    }

    /// Begins what may begin, and lets what was begun go on.
    pub(crate) fn go_on(&mut self, cx: &mut Context<'_>) {
        self.find();
        if self.open && !self.closing {
            self.begin_early();
        }
        for begun in self.behind.iter_mut().filter_map(|b| b.begun.as_mut()) {
            if let Answer::Coming(answer) = &mut begun.answer
                && let Poll::Ready(answer) = answer.as_mut().poll(cx)
            {
                begun.answer = Answer::Ready(answer);
            }
        }
    }

    /// Lets nothing more begin early; those that were begun are still answered.
    pub(crate) fn close(&mut self) {
        self.closing = true;
    }

    /// Tells whether the connection is to end.
    pub(crate) const fn is_closing(&self) -> bool {
        self.closing
    }

    /// Tells whether requests were begun whose turn has not come.
    pub(crate) fn has_begun(&self) -> bool {
        self.behind.front().is_some_and(|b| b.begun.is_some())
    }

    fn find(&mut self) {
        let mut scanner = self.scanner.borrow_mut();
        while let Some(head) = scanner.next_head() {
            self.behind.push_back(Behind { head, begun: None });
        }
    }

    fn begin_early(&mut self) {
        for behind in self.behind.iter_mut().take(MOST_AHEAD) {
            if behind.begun.is_some() {
                continue;
            }
            if !behind.head.plain {
                return;
            }
            let Some(request) = behind.head.request() else {
                return;
            };
            let (parts, ()) = request.clone().into_parts();
            if !(self.serve.early)(&parts) {
                return;
            }
            let answer = (self.serve.begin)(Request::from_parts(parts, empty()));
            behind.begun = Some(Begun {
                request,
                answer: Answer::Coming(answer),
            });
        }
    }
}

impl Begun {
    /// Tells whether a request that the HTTP layer has read is this one.
    fn is(&self, parts: &Parts) -> bool {
        let own = &self.request;
        own.method() == parts.method && *own.uri() == parts.uri && *own.headers() == parts.headers
    }
}
