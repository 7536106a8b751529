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
use crate::discard::discard_body;
use crate::replay_buffer::ReplayBuffer;

/// Bytes at the start of a body that are buffered for a retry. They are also read before the request takes a slot of
/// a server, so that a caller that sends slowly does not occupy one meanwhile.
const REPLAY_BYTES: usize = 16 << 10;

/// A request's body. Its start is buffered and can be sent again; the rest is streamed once.
pub struct RequestBody {
    inner: RefCell<Option<Body>>,
    start: ReplayBuffer,
    received_bytes: Cell<u64>,
    max_bytes: u64,
    /// Whether bytes were sent that are not buffered.
    streamed: Cell<bool>,
    error: Cell<Option<BodyError>>,
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
        let ended = body.is_end_stream();
        // A declared length above the limit is refused before any byte is read.
        let too_large = body.size_hint().lower() > max_bytes;
        Rc::new(Self {
            inner: RefCell::new((!ended).then_some(body)),
            start: ReplayBuffer::default(),
            received_bytes: Cell::default(),
            max_bytes,
            streamed: Cell::default(),
            error: Cell::new(too_large.then_some(BodyError::TooLarge)),
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
        let inner = self.inner.borrow();
        inner.as_ref().map_or(Some(0), |b| b.size_hint().exact())
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
        if let Some(error) = self.error.get() {
            return Err(error);
        }
        if self.inner.borrow().is_none() {
            return Ok(());
        }
        let read_start = async {
            while self.start.len() < bytes {
                match poll_fn(|cx| self.poll_chunk(cx)).await {
                    Some(Ok(data)) => self.buffer(data),
                    Some(Err(_)) => return Err(self.error.get().unwrap_or(BodyError::Cut)),
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
        self.inner.borrow().is_none() && self.error.get().is_none()
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
        let Some(body) = self.inner.borrow_mut().take() else {
            return;
        };
        // A later send must not take this for the end of the body.
        self.error.set(self.error.get().or(Some(BodyError::Cut)));
        if self
            .upload
            .as_ref()
            .is_some_and(UploadFlow::was_never_asked)
        {
            return;
        }
        discard_body(body);
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
        self.error.get()
    }

    /// Returns why the body of an upload could not be read completely, if so.
    #[must_use]
    pub fn upload_error(&self) -> Option<BodyError> {
        self.error.get().filter(|_| self.upload.is_some())
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

    /// Reads the next chunk of the body that is not buffered.
    pub(crate) fn poll_chunk(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let mut inner = self.inner.borrow_mut();
        loop {
            let Some(body) = inner.as_mut() else {
                return Poll::Ready(self.error.get().map(|_| Err(io::Error::other("cut"))));
            };
            if let Some(upload) = &self.upload {
                upload.record_start();
            }
            let frame = match body.as_mut().poll_frame(cx) {
                Poll::Pending => {
                    if !self.upload.as_ref().is_some_and(|u| u.is_silent(cx)) {
                        return Poll::Pending;
                    }
                    self.error.set(Some(BodyError::Slow));
                    *inner = None;
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
                Poll::Ready(frame) => frame,
            };
            if let Some(upload) = &self.upload {
                upload.record_received();
            }
            match frame {
                None => *inner = None,
                Some(Err(e)) => {
                    self.error.set(Some(BodyError::Cut));
                    *inner = None;
                    return Poll::Ready(Some(Err(e)));
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.received_bytes
                        .set(self.received_bytes.get() + data.len() as u64);
                    if self.received_bytes.get() > self.max_bytes {
                        self.error.set(Some(BodyError::TooLarge));
                        *inner = None;
                        return Poll::Ready(Some(Err(io::Error::other("body exceeds the limit"))));
                    }
                    // The declared length tells the end before a further read would, which the connection to the server
                    // does not ask for.
                    if body.is_end_stream() {
                        *inner = None;
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}
