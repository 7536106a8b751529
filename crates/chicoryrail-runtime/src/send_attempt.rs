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

use crate::RequestBody;
use crate::SendEnd;
use crate::body_send::SendState;

/// Size below which a chunk of a streamed upload is copied. Each chunk of a caller that sends a few bytes at a time
/// occupies a read buffer of 8 KiB of its own.
const COPIED_CHUNK_BYTES: usize = 4 << 10;

/// The body of one send attempt: the buffered start, then the stream.
pub(crate) struct SendAttempt {
    source: Rc<RequestBody>,
    state: Rc<SendState>,
    next_chunk: usize,
}

impl SendAttempt {
    pub(crate) const fn new(source: Rc<RequestBody>, state: Rc<SendState>) -> Self {
        Self {
            source,
            state,
            next_chunk: 0,
        }
    }

    /// Returns `true` if the caller has sent the whole body, and all of its bytes were handed to the connection.
    fn is_whole(&self) -> bool {
        self.source.is_received() && self.state.sent_bytes() == self.source.received_bytes()
    }

    /// Hands a chunk to the connection.
    fn hand_over(&self, data: Bytes) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.state.add_sent(data.len());
        if self.is_whole() {
            self.state.finish(SendEnd::Whole);
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    /// Ends the body. The connection gets an error in place of the end if a part of the body is missing.
    fn end(&self) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.is_whole() {
            self.state.finish(SendEnd::Whole);
            return Poll::Ready(None);
        }
        self.state.finish(SendEnd::Short);
        Poll::Ready(Some(Err(io::Error::other("a part of the body is missing"))))
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
        // Neither another byte nor an end may follow what a send has sent that is given up.
        if self.state.is_broken() {
            return Poll::Ready(Some(Err(io::Error::other("the send has ended"))));
        }
        let chunk = self.source.start().chunk(self.next_chunk);
        if let Some(data) = chunk {
            self.next_chunk += 1;
            return self.hand_over(data);
        }
        if let Some(upload) = self.source.flow() {
            ready!(upload.poll_window(cx));
        }
        match self.source.poll_chunk(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => self.end(),
            Poll::Ready(Some(Err(e))) => {
                self.state.record_broken();
                Poll::Ready(Some(Err(e)))
            }
            Poll::Ready(Some(Ok(data))) => {
                self.source.record_streamed();
                self.hand_over(self.send_in_window(data))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_whole()
    }
}

impl Drop for SendAttempt {
    fn drop(&mut self) {
        self.state.record_broken();
    }
}
