//! The body of a caller's request, buffered in part for retries.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use chicoryrail_core::Millis;
use hyper::body::Body as HttpBody;
use monoio::time::timeout;

use crate::Body;
use crate::BodyError;
use crate::UploadFlow;
use crate::UploadLimits;
use crate::body_send::SendState;
use crate::body_source::BodySource;
use crate::discard::discard_body;
use crate::replay_buffer::ReplayBuffer;

/// Bytes at the start of a body that are buffered for a retry. They are also read before the request takes a slot of
/// a server, so that a caller that sends slowly does not occupy one meanwhile.
const REPLAY_BYTES: usize = 16 << 10;

/// A request's body. Its start is buffered and can be sent again; the rest is streamed once.
pub struct RequestBody {
    source: RefCell<BodySource>,
    start: ReplayBuffer,
    received_bytes: Cell<u64>,
    max_bytes: u64,
    /// Whether bytes were sent that are not buffered.
    streamed: Cell<bool>,
    /// Number of sends that were begun.
    sends: Cell<u32>,
    /// The last send that was begun. Only this one reads what is not buffered.
    reader: RefCell<Option<Rc<SendState>>>,
    /// Whether the body is discarded once that send has ended.
    discards: Cell<bool>,
    /// Flow control, if this is the body of an upload.
    upload: Option<UploadFlow>,
}

impl RequestBody {
    /// Wraps a body of at most `max_bytes` bytes.
    #[must_use]
    pub fn new(body: Body, max_bytes: u64) -> Rc<Self> {
        Self::with_flow(body, max_bytes, None)
    }

    /// Wraps the body of an upload, of at most `max_bytes` bytes.
    #[must_use]
    pub fn upload(body: Body, max_bytes: u64, limits: UploadLimits) -> Rc<Self> {
        Self::with_flow(body, max_bytes, Some(UploadFlow::new(limits)))
    }

    fn with_flow(body: Body, max_bytes: u64, upload: Option<UploadFlow>) -> Rc<Self> {
        Rc::new(Self {
            source: RefCell::new(BodySource::new(body, max_bytes)),
            start: ReplayBuffer::default(),
            received_bytes: Cell::default(),
            max_bytes,
            streamed: Cell::default(),
            sends: Cell::default(),
            reader: RefCell::default(),
            discards: Cell::default(),
            upload,
        })
    }

    /// Returns the flow control, if this is the body of an upload.
    #[must_use]
    pub const fn flow(&self) -> Option<&UploadFlow> {
        self.upload.as_ref()
    }

    /// Returns the declared length of what was not read yet, in bytes; `None` if it is unknown.
    #[must_use]
    pub fn declared_rest(&self) -> Option<u64> {
        self.source.borrow().declared_rest()
    }

    /// Reads the start of the body into the buffer, for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyError`] if the body is too long, too slow or cut; nothing was sent.
    pub async fn prefetch(&self, limit: Millis) -> Result<(), BodyError> {
        self.read_ahead(REPLAY_BYTES, limit).await
    }

    /// Reads the first `bytes` of the body into the buffer, or all of it if it is shorter, for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyError`] like [`Self::prefetch`].
    pub async fn read_ahead(&self, bytes: usize, limit: Millis) -> Result<(), BodyError> {
        if let Some(error) = self.error() {
            return Err(error);
        }
        if self.is_received() {
            return Ok(());
        }
        let read_start = async {
            while self.start.len() < bytes {
                match poll_fn(|cx| self.poll_chunk(cx)).await {
                    Some(Ok(data)) => self.buffer(data),
                    Some(Err(_)) => return Err(self.error().unwrap_or(BodyError::Cut)),
                    None => break,
                }
            }
            Ok(())
        };
        let read = timeout(limit.to_duration(), read_start)
            .await
            .unwrap_or(Err(BodyError::Slow));
        self.start.end_block();
        read
    }

    /// Returns `true` if the body can still be sent from its start.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        !self.streamed.get()
    }

    /// Returns `true` if the caller has sent the whole body.
    #[must_use]
    pub fn is_received(&self) -> bool {
        matches!(&*self.source.borrow(), BodySource::Received)
    }

    /// Returns the number of bytes that the caller has sent so far.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    /// Waits until the caller of an upload disconnects before it has sent the whole body. Never returns otherwise.
    pub async fn cut_off(&self) {
        if let Some(upload) = &self.upload {
            upload.caller_left().cancelled().await;
            if !self.is_received() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Ends the body once the send in progress has ended, if there is one: a server may respond before it has read the
    /// body. What the caller is still sending then is read for a short time and dropped, so that it receives its response.
    pub fn discard(&self) {
        let is_sending = self.reader.borrow().as_ref().is_some_and(|r| r.is_open());
        self.discards.set(is_sending);
        if is_sending {
            return;
        }
        let Some(rest) = self.source.borrow_mut().abandon() else {
            return;
        };
        if self
            .upload
            .as_ref()
            .is_some_and(UploadFlow::was_never_asked)
        {
            return;
        }
        discard_body(rest, self.max_bytes);
    }

    /// Returns `true` if there is no body.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.is_received() && self.start.len() == 0
    }

    /// Passes the bytes of the buffered start to `visit`, in order and 16 KiB at most.
    pub fn visit_start(&self, visit: impl FnMut(&[u8])) {
        self.start.visit(REPLAY_BYTES, visit);
    }

    /// Returns the number of bytes at the start of the body that are buffered.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.start.len()
    }

    /// Returns why the body could not be read completely, if so.
    #[must_use]
    pub fn error(&self) -> Option<BodyError> {
        self.source.borrow().error()
    }

    /// Returns why the body of an upload could not be read completely, if so.
    #[must_use]
    pub fn upload_error(&self) -> Option<BodyError> {
        self.error().filter(|_| self.upload.is_some())
    }

    fn buffer(&self, data: Bytes) {
        if self.upload.is_some() {
            let rest = self.declared_rest().unwrap_or(u64::MAX);
            self.start.push_copy(&data, rest);
        } else {
            self.start.push(data);
        }
    }

    /// Makes a send the only one that reads what is not buffered, and returns its number, from 1. One that has the whole
    /// body in the buffer goes on.
    pub(crate) fn set_reader(&self, state: &Rc<SendState>) -> u32 {
        let former = self.reader.replace(Some(Rc::clone(state)));
        if let Some(former) = former.filter(|_| !self.is_received()) {
            former.record_broken();
        }
        let number = self.sends.get() + 1;
        self.sends.set(number);
        number
    }

    /// Discards the body after the end of a send, if that was put off until then.
    pub(crate) fn end_send(&self) {
        if self.discards.get() {
            self.discard();
        }
    }

    /// Records that bytes were sent that are not buffered.
    pub(crate) fn record_streamed(&self) {
        self.streamed.set(true);
    }

    /// Returns the chunks that are buffered for a retry.
    pub(crate) const fn start(&self) -> &ReplayBuffer {
        &self.start
    }

    /// Reads the next chunk of the body that is not buffered; `None` after the whole body.
    pub(crate) fn poll_chunk(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let mut source = self.source.borrow_mut();
        loop {
            let body = match &mut *source {
                BodySource::Open(body) => body,
                BodySource::Received => return Poll::Ready(None),
                BodySource::Failed(..) => return Poll::Ready(Some(Err(io::Error::other("cut")))),
            };
            if let Some(upload) = &self.upload {
                upload.record_start();
            }
            let frame = match body.as_mut().poll_frame(cx) {
                Poll::Pending => {
                    if !self.upload.as_ref().is_some_and(|u| u.is_silent(cx)) {
                        return Poll::Pending;
                    }
                    *source = BodySource::Failed(BodyError::Slow, None);
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
                Poll::Ready(frame) => frame,
            };
            if let Some(upload) = &self.upload {
                upload.record_received();
            }
            match frame {
                None => *source = BodySource::Received,
                Some(Err(e)) => {
                    *source = BodySource::Failed(BodyError::Cut, None);
                    return Poll::Ready(Some(Err(e)));
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let received = self.received_bytes.get() + data.len() as u64;
                    self.received_bytes.set(received);
                    if received > self.max_bytes {
                        *source = BodySource::Failed(BodyError::TooLarge, None);
                        return Poll::Ready(Some(Err(io::Error::other("body exceeds the limit"))));
                    }
                    // The declared length tells the end before a further read would, which the connection to the server
                    // does not ask for.
                    if body.is_end_stream() {
                        *source = BodySource::Received;
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}
