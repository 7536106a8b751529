//! The body of a server's answer, and what is held until its end.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_policy::Outcome;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::ServerConn;
use http::HeaderValue;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use monoio::time::Sleep;
use monoio::time::sleep;

use crate::gate::Gate;
use crate::lane::Permit;
use crate::send;
use crate::server::Server;
use crate::server::UnderWay;
use crate::shard::InFlight;
use crate::shard::Shard;

/// A request under way on a connection. Dropped before its end it closes the connection and tells
/// the server to give up.
#[derive(Debug)]
pub(crate) struct Exchange {
    server: Rc<Server>,
    conn: Option<ServerConn>,
    closes: bool,
    cancel: Option<(Rc<Gate>, HeaderValue)>,
    _under_way: UnderWay,
    permit: Permit,
    flight: Option<InFlight>,
    linger: Option<(Clock, Millis)>,
}

impl Exchange {
    /// Binds a connection, a slot and the count in flight together.
    pub(crate) fn new(
        conn: ServerConn,
        permit: Permit,
        flight: InFlight,
        server: &Rc<Server>,
    ) -> Self {
        Self {
            server: Rc::clone(server),
            conn: Some(conn),
            closes: false,
            cancel: None,
            _under_way: UnderWay::new(server),
            permit,
            flight: Some(flight),
            linger: None,
        }
    }

    /// Cancels the request at the server where it does not come to its end. Orders are left to run:
    /// their outcome is wanted by the caller's next try.
    #[must_use]
    pub(crate) fn with_cancel(mut self, gate: &Rc<Gate>, attempt: &HeaderValue) -> Self {
        self.cancel = Some((Rc::clone(gate), attempt.clone()));
        self
    }

    /// Counts the request as in flight until `deadline` where it does not come to its end: an
    /// unfenced server that froze with the request in its buffers runs it when it wakes up, unless
    /// its deadline has passed. The move to another owner waits for that.
    #[must_use]
    pub(crate) fn with_linger(mut self, clock: Clock, deadline: Millis) -> Self {
        self.linger = Some((clock, deadline));
        self
    }

    /// Returns the shard that the server belongs to.
    pub(crate) fn shard(&self) -> &Rc<Shard> {
        &self.permit.shard
    }

    /// Returns the connection.
    pub(crate) fn conn(&mut self) -> &mut ServerConn {
        self.conn
            .as_mut()
            .expect("the connection is held until the end")
    }

    /// Notes the time to the answer's head. It stands for the service time: the time to the body's
    /// end is the caller's as much as the server's, and a caller that reads slowly must not make the
    /// server look slow.
    pub(crate) fn answered(&mut self, us: u64) {
        let us = u32::try_from(us).unwrap_or(u32::MAX);
        self.permit.note(Outcome::Answered { us });
    }

    /// Notes that the server closes the connection after the answer.
    pub(crate) fn closes_after(&mut self) {
        self.closes = true;
    }

    /// Notes how the request ends.
    pub(crate) fn note(&mut self, outcome: Outcome) {
        self.permit.note(outcome);
    }

    /// Ends without an answer; `cancel` tells whether the server may still be at work.
    pub(crate) fn abandon(mut self, outcome: Outcome, cancel: bool) {
        self.permit.note(outcome);
        if !cancel {
            self.cancel = None;
        }
    }

    /// Ends before a byte was written.
    pub(crate) fn abandon_unsent(mut self) {
        self.linger = None;
        self.abandon(Outcome::Failed, false);
    }

    /// Ends after the whole answer: the connection may carry the next request.
    fn complete(mut self) {
        self.cancel = None;
        self.linger = None;
        let conn = self.conn.take().filter(|_| !self.closes);
        if let Some(conn) = conn {
            self.server.pool.put(conn);
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some((gate, attempt)) = self.cancel.take() {
            send::cancel(&gate, &self.server, &attempt);
        }
        if let Some((clock, deadline)) = self.linger {
            let flight = self.flight.take();
            monoio::spawn(async move {
                clock.sleep_until(deadline).await;
                drop(flight);
            });
        }
    }
}

/// An answer's body on its way to the caller, bounded by the deadline.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    inner: Incoming,
    exchange: Option<Exchange>,
    left: Millis,
    since: std::time::Instant,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl AnswerBody {
    /// Wraps a body that must end within `left`.
    pub(crate) fn new(inner: Incoming, exchange: Exchange, left: Millis) -> Self {
        let mut body = Self {
            inner,
            exchange: Some(exchange),
            left,
            since: std::time::Instant::now(),
            sleep: None,
        };
        body.end_if_whole();
        body
    }

    /// Reads an unwanted body to its end, so that the connection can be used again.
    pub(crate) fn drain(mut self) {
        if self.exchange.is_none() {
            return;
        }
        self.left = Millis(100);
        monoio::spawn(async move {
            while let Some(Ok(_)) = poll_fn(|cx| Pin::new(&mut self).poll_frame(cx)).await {}
        });
    }

    fn end_if_whole(&mut self) {
        if self.inner.is_end_stream() {
            self.end();
        }
    }

    fn end(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            exchange.complete();
        }
    }

    fn fail(&mut self, error: io::Error) -> io::Error {
        if let Some(mut exchange) = self.exchange.take() {
            exchange.server.failed();
            exchange.note(Outcome::Failed);
        }
        error
    }

    fn is_late(&mut self, cx: &mut Context<'_>) -> bool {
        let left = self.left.duration();
        let since = self.since;
        let timer = self
            .sleep
            .get_or_insert_with(|| Box::pin(sleep(left.saturating_sub(since.elapsed()))));
        timer.as_mut().poll(cx).is_ready()
    }
}

impl HttpBody for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        loop {
            match Pin::new(&mut self.inner).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    if !frame.is_data() {
                        continue;
                    }
                    self.end_if_whole();
                    return Poll::Ready(Some(Ok(frame)));
                }
                Poll::Ready(Some(Err(e))) => {
                    return Poll::Ready(Some(Err(self.fail(io::Error::other(e)))));
                }
                Poll::Ready(None) => {
                    self.end();
                    return Poll::Ready(None);
                }
                Poll::Pending if self.exchange.is_some() && self.is_late(cx) => {
                    let late = io::Error::from(io::ErrorKind::TimedOut);
                    return Poll::Ready(Some(Err(self.fail(late))));
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
