//! A body that keeps a guard until it is dropped.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::Body;

/// Wraps a body, so that `guard` is dropped with it: after its last frame, or when it is abandoned.
#[must_use]
pub fn guard_body<G: Unpin + 'static>(body: Body, guard: G) -> Body {
    Box::pin(GuardedBody {
        body,
        _guard: guard,
    })
}

struct GuardedBody<G> {
    body: Body,
    _guard: G,
}

impl<G: Unpin> HttpBody for GuardedBody<G> {
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
