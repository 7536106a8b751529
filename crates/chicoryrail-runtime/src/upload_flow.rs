//! Flow control of an upload: how long its caller may be silent, and what it holds in memory.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use chicoryrail_core::Millis;
use monoio::time::Sleep;
use monoio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::HeldBytes;
use crate::SendWindow;

/// Limits on an upload.
#[derive(Debug)]
pub struct UploadLimits {
    /// Longest time for which the caller may send nothing while its body is awaited.
    pub silence_max: Millis,
    /// Bytes in flight between the caller and the server at most, once the upload streams.
    pub window_bytes: u64,
    /// Cancelled when the caller disconnects.
    pub caller_left: CancellationToken,
    /// Whether the caller sends its body only after a `100 Continue`. The HTTP layer sends one when the body is first
    /// read.
    pub expects_continue: bool,
}

/// State of an upload's body.
#[derive(Debug)]
pub struct UploadFlow {
    limits: UploadLimits,
    pub(crate) window: SendWindow,
    /// Whether any byte was asked for.
    started: Cell<bool>,
    held: RefCell<Option<HeldBytes>>,
    silence: RefCell<Option<Silence>>,
    /// Time for which the caller was waited for, and the longest single wait.
    waited: Cell<(Duration, Duration)>,
    /// Since when the window is closed.
    closed_since: Cell<Option<Instant>>,
    server_waited: Cell<Duration>,
}

/// A wait for the caller's next bytes.
#[derive(Debug)]
struct Silence {
    since: Instant,
    timer: Pin<Box<Sleep>>,
}

impl UploadFlow {
    pub(crate) fn new(limits: UploadLimits) -> Self {
        Self {
            window: SendWindow::new(limits.window_bytes),
            limits,
            started: Cell::default(),
            held: RefCell::default(),
            silence: RefCell::default(),
            waited: Cell::default(),
            closed_since: Cell::default(),
            server_waited: Cell::default(),
        }
    }

    /// Keeps the bytes that the upload may hold until the body is dropped.
    pub fn hold(&self, held: HeldBytes) {
        *self.held.borrow_mut() = Some(held);
    }

    /// Returns the number of bytes that the upload holds of the budget.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.held.borrow().as_ref().map_or(0, HeldBytes::bytes)
    }

    /// Returns the total time for which the caller's bytes were waited for.
    #[must_use]
    pub fn caller_wait(&self) -> Duration {
        let current = self.silence.borrow().as_ref().map(|s| s.since.elapsed());
        self.waited.get().0 + current.unwrap_or_default()
    }

    /// Returns the longest time for which the caller sent nothing.
    #[must_use]
    pub fn longest_silence(&self) -> Duration {
        let current = self.silence.borrow().as_ref().map(|s| s.since.elapsed());
        self.waited.get().1.max(current.unwrap_or_default())
    }

    /// Returns the most streamed bytes that were in flight to the server at a time.
    #[must_use]
    pub fn window_peak(&self) -> u64 {
        self.window.peak()
    }

    /// Returns the total time for which the window was closed, since the server took nothing.
    #[must_use]
    pub fn server_wait(&self) -> Duration {
        let current = self.closed_since.get().map(|since| since.elapsed());
        self.server_waited.get() + current.unwrap_or_default()
    }

    /// Ready when more may be sent to the server.
    pub(crate) fn poll_window(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.window.poll_open(cx).is_pending() {
            let since = self.closed_since.get().unwrap_or_else(Instant::now);
            self.closed_since.set(Some(since));
            return Poll::Pending;
        }
        if let Some(since) = self.closed_since.take() {
            self.server_waited
                .set(self.server_waited.get() + since.elapsed());
        }
        Poll::Ready(())
    }

    /// Returns `true` while the caller's next bytes are waited for.
    #[must_use]
    pub fn awaits_caller(&self) -> bool {
        self.silence.borrow().is_some()
    }

    /// Returns `true` if the caller sends no body because it was not asked for it.
    pub(crate) fn was_never_asked(&self) -> bool {
        self.limits.expects_continue && !self.started.get()
    }

    pub(crate) const fn caller_left(&self) -> &CancellationToken {
        &self.limits.caller_left
    }

    pub(crate) fn record_start(&self) {
        self.started.set(true);
    }

    /// Records that bytes, or the end of the body, were received.
    pub(crate) fn record_received(&self) {
        if let Some(silence) = self.silence.borrow_mut().take() {
            let wait = silence.since.elapsed();
            let (total, longest) = self.waited.get();
            self.waited.set((total + wait, longest.max(wait)));
        }
    }

    /// Records that nothing is there to read, and returns `true` if the caller has been silent for too long.
    pub(crate) fn is_silent(&self, cx: &mut Context<'_>) -> bool {
        let mut silence = self.silence.borrow_mut();
        let silence = silence.get_or_insert_with(|| Silence {
            since: Instant::now(),
            timer: Box::pin(sleep(self.limits.silence_max.to_duration())),
        });
        silence.timer.as_mut().poll(cx).is_ready()
    }
}
