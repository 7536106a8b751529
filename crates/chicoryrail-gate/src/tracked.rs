//! An answer's body that counts as being served until its end.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use chicoryrail_runtime::Body;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::gate::Serving;

/// A body on its way to a caller.
pub(crate) struct Tracked {
    inner: Body,
    _serving: Serving,
}

impl Tracked {
    /// Wraps a body; one that is empty needs no count.
    pub(crate) fn wrap(inner: Body, serving: Serving) -> Body {
        if inner.is_end_stream() {
            return inner;
        }
        Box::pin(Self {
            inner,
            _serving: serving,
        })
    }
}

impl HttpBody for Tracked {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.inner.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
