//! A streamed response whose end is recorded.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use chicoryrail_runtime::Body;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::route::run::Run;

/// The body of a streamed response, which tells at its end whether the request ran completely or its server ended.
pub(super) struct WatchedBody {
    body: Body,
    /// The run; `None` once the body has ended.
    run: Option<Run>,
}

impl WatchedBody {
    /// Wraps the body of the response to a run.
    pub(super) fn wrap(body: Body, run: Run) -> Body {
        Box::pin(Self {
            body,
            run: Some(run),
        })
    }
}

impl HttpBody for WatchedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = ready!(self.body.as_mut().poll_frame(cx));
        match &frame {
            Some(Ok(_)) => {}
            None => {
                if let Some(run) = self.run.take() {
                    run.record_complete();
                }
            }
            Some(Err(_)) => {
                if let Some(run) = self.run.take() {
                    monoio::spawn(run.record_late_end());
                }
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
