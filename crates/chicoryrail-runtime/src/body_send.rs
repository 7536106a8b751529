//! The right of one send to the body of a request.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use tokio_util::sync::CancellationToken;

use crate::Body;
use crate::RequestBody;
use crate::SendEnd;
use crate::SendObserver;
use crate::SendReport;
use crate::empty_body;
use crate::send_attempt::SendAttempt;

/// A body can't be sent again: bytes of it were sent that are no longer in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodySpent;

/// One send of a request's body. At most one send at a time reads what is not buffered; dropping it ends the send, which
/// takes nothing more from the caller. The connection that carries the rest then breaks.
pub struct BodySend {
    source: Rc<RequestBody>,
    state: Rc<SendState>,
    number: u32,
    observer: Option<SendObserver>,
}

/// How far a send has come. The connection that carries the body shares it.
#[derive(Debug, Default)]
pub(crate) struct SendState {
    /// How the send ended; `None` while there is more to send.
    end: Cell<Option<SendEnd>>,
    ended: CancellationToken,
    sent_bytes: Cell<u64>,
    is_early: Cell<bool>,
}

impl RequestBody {
    /// Begins to send the body from its start, and returns the bytes to send. An earlier send that has not read the whole
    /// body ends.
    ///
    /// # Errors
    ///
    /// Returns [`BodySpent`] if the start does not lead to the rest any more.
    pub fn begin_send(self: &Rc<Self>) -> Result<(BodySend, Body), BodySpent> {
        if !self.is_replayable() {
            return Err(BodySpent);
        }
        let state = Rc::new(SendState::default());
        let number = self.set_reader(&state);
        let body = if self.is_empty() {
            state.finish(SendEnd::Whole);
            empty_body()
        } else {
            Box::pin(SendAttempt::new(Rc::clone(self), Rc::clone(&state)))
        };
        let source = Rc::clone(self);
        let send = BodySend {
            source,
            state,
            number,
            observer: None,
        };
        Ok((send, body))
    }
}

impl BodySend {
    /// Reports the end of the send to `observer`.
    pub fn observe(&mut self, observer: SendObserver) {
        self.observer = Some(observer);
    }

    /// Records the head of a response.
    pub(crate) fn record_response(&self) {
        self.state.is_early.set(self.state.is_open());
    }

    /// Returns `true` if all bytes were handed to the connection.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        self.state.end.get() == Some(SendEnd::Whole)
    }

    /// Waits until all bytes were handed to the connection, or the send has failed; returns `true` in the first case.
    pub async fn wait_sent(&self) -> bool {
        self.state.ended.cancelled().await;
        self.is_sent()
    }

    fn report(&self) -> SendReport {
        SendReport {
            number: self.number,
            sent_bytes: self.state.sent_bytes.get(),
            received_bytes: self.source.received_bytes(),
            is_received: self.source.is_received(),
            is_early: self.state.is_early.get(),
            end: self.state.end.get().unwrap_or(SendEnd::Broken),
        }
    }
}

impl Drop for BodySend {
    fn drop(&mut self) {
        self.state.record_broken();
        let report = self.report();
        self.source.end_send();
        if let Some(observer) = self.observer.take() {
            observer(report);
        }
    }
}

impl SendState {
    pub(crate) fn is_open(&self) -> bool {
        self.end.get().is_none()
    }

    /// Returns `true` if the send has ended before the body did.
    pub(crate) fn is_broken(&self) -> bool {
        self.end.get().is_some_and(|end| end != SendEnd::Whole)
    }

    /// Returns the bytes that were handed to the connection.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }

    /// Counts bytes that are handed to the connection.
    pub(crate) fn add_sent(&self, bytes: usize) {
        self.sent_bytes.set(self.sent_bytes.get() + bytes as u64);
    }

    /// Ends the send unless all bytes were handed to the connection.
    pub(crate) fn record_broken(&self) {
        self.finish(SendEnd::Broken);
    }

    pub(crate) fn finish(&self, end: SendEnd) {
        if self.is_open() {
            self.end.set(Some(end));
            self.ended.cancel();
        }
    }
}

impl fmt::Debug for BodySend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodySend")
            .field("source", &self.source)
            .field("state", &self.state)
            .field("number", &self.number)
            .finish_non_exhaustive()
    }
}

impl fmt::Debug for RequestBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestBody")
            .field("received_bytes", &self.received_bytes())
            .field("is_replayable", &self.is_replayable())
            .field("error", &self.error())
            .finish_non_exhaustive()
    }
}
