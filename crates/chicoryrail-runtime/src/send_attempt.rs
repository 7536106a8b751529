//! The body of one attempt to send a request.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;

use crate::Body;
use crate::RequestBody;
use crate::empty_body;

/// Size below which a chunk of a streamed upload is copied. Each chunk of a caller that sends a few bytes at a time
/// occupies a read buffer of 8 KiB of its own.
const COPIED_CHUNK_BYTES: usize = 4 << 10;

impl RequestBody {
    /// Returns the body for one attempt to send the request.
    pub fn body(self: &Rc<Self>) -> Body {
        if self.is_empty() {
            return empty_body();
        }
        Box::pin(SendAttempt {
            source: Rc::clone(self),
            next_chunk: 0,
        })
    }
}

/// The body of one send attempt: the buffered start, then the stream.
struct SendAttempt {
    source: Rc<RequestBody>,
    next_chunk: usize,
}

impl SendAttempt {
    /// Records the end of an upload once there is nothing more to send.
    fn record_sent(&self) {
        if let Some(upload) = self.source.flow().filter(|_| self.is_end_stream()) {
            upload.sent.set(true);
        }
    }

    /// Counts a chunk of an upload in its window.
    fn send_in_window(&self, data: Bytes) -> Bytes {
        let Some(upload) = self.source.flow() else {
            return data;
        };
        if data.len() < COPIED_CHUNK_BYTES {
            return upload.window.send(Bytes::copy_from_slice(&data));
        }
        upload.window.send(data)
    }
}

impl HttpBody for SendAttempt {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let chunk = self.source.start().chunk(self.next_chunk);
        if let Some(data) = chunk {
            self.next_chunk += 1;
            self.record_sent();
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if let Some(upload) = self.source.flow() {
            ready!(upload.poll_window(cx));
        }
        match self.source.poll_chunk(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                self.record_sent();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(e))) => Poll::Ready(Some(Err(e))),
            Poll::Ready(Some(Ok(data))) => {
                self.source.record_streamed();
                self.record_sent();
                Poll::Ready(Some(Ok(Frame::data(self.send_in_window(data)))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.next_chunk >= self.source.start().chunk_count() && self.source.is_received()
    }
}
