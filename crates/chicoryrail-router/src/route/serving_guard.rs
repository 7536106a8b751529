//! Counts the requests that this host is serving.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use chicoryrail_runtime::Body;
use http::Response;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::route::response_body::Streamed;
use crate::state::Router;

/// Counts a request as being served until the guard is dropped.
pub(super) struct ServingGuard(Rc<Router>);

impl ServingGuard {
    pub(super) fn new(router: &Rc<Router>) -> Self {
        router.serving.set(router.serving.get() + 1);
        router.counters.serving.inc();
        Self(Rc::clone(router))
    }

    /// Counts the request to the end of its response, if that is streamed: a stop waits for it.
    pub(super) fn hold_until_end(self, response: Response<Body>) -> Response<Body> {
        if response.extensions().get::<Streamed>().is_none() {
            return response;
        }
        response.map(|body| -> Body {
            Box::pin(ServedBody {
                body,
                _serving: self,
            })
        })
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.serving.set(self.0.serving.get() - 1);
        self.0.counters.serving.dec();
    }
}

/// The body of a streamed response, whose request is being served until the body is dropped.
struct ServedBody {
    body: Body,
    _serving: ServingGuard,
}

impl HttpBody for ServedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
