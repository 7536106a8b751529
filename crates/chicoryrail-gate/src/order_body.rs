//! The answer to an order, copied aside for duplicates while it streams.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use chicoryrail_runtime::Body;
use chicoryrail_wire::OrderAnswer;
use chicoryrail_wire::OrderOutcome;
use http::Response;
use http::header::CONTENT_TYPE;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::gate::Gate;
use crate::order;
use crate::order::Claim;

/// Longest answer that is kept for duplicates, in bytes. Confirmations of orders are far shorter;
/// the window of a holder keeps many thousands of them.
const KEPT: usize = 16 << 10;

/// A body that reports the order's outcome at its end. Where the caller leaves before that, the rest
/// is read all the same.
pub(crate) struct OrderBody {
    inner: Option<Body>,
    open: Option<Open>,
}

struct Open {
    gate: Rc<Gate>,
    claim: Claim,
    answer: OrderAnswer,
}

impl OrderBody {
    /// Wraps the answer to a claimed order.
    pub(crate) fn wrap(gate: &Rc<Gate>, claim: Claim, answer: Response<Body>) -> Response<Body> {
        let kind = answer.headers().get(CONTENT_TYPE);
        let kept = OrderAnswer {
            status: answer.status().as_u16(),
            content_type: kind.and_then(|v| v.to_str().ok()).map(str::to_owned),
            body: Some(Vec::new()),
        };
        let open = Open {
            gate: Rc::clone(gate),
            claim,
            answer: kept,
        };
        answer.map(|inner| {
            let mut body = Self {
                inner: Some(inner),
                open: Some(open),
            };
            if body.is_end_stream() {
                body.done();
            }
            let boxed: Body = Box::pin(body);
            boxed
        })
    }

    fn keep(&mut self, data: &Bytes) {
        let Some(open) = &mut self.open else {
            return;
        };
        match &mut open.answer.body {
            Some(kept) if kept.len() + data.len() <= KEPT => kept.extend_from_slice(data),
            kept => *kept = None,
        }
    }

    fn done(&mut self) {
        if let Some(open) = self.open.take() {
            let outcome = OrderOutcome::Done(open.answer);
            order::close_later(&open.gate, open.claim, outcome);
        }
    }

    fn cut(&mut self) {
        if let Some(open) = self.open.take() {
            order::close_later(&open.gate, open.claim, OrderOutcome::Unknown);
        }
    }
}

impl HttpBody for OrderBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let Some(inner) = &mut self.inner else {
            return Poll::Ready(None);
        };
        let frame = match inner.as_mut().poll_frame(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(frame) => frame,
        };
        match &frame {
            None => self.done(),
            Some(Err(_)) => self.cut(),
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.keep(data);
                }
                if self.is_end_stream() {
                    self.done();
                }
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.as_ref().is_none_or(|b| b.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.inner
            .as_ref()
            .map_or_else(SizeHint::default, |b| b.size_hint())
    }
}

impl Drop for OrderBody {
    fn drop(&mut self) {
        if self.open.is_none() {
            return;
        }
        let mut rest = Self {
            inner: self.inner.take(),
            open: self.open.take(),
        };
        monoio::spawn(async move {
            while let Some(Ok(_)) = poll_fn(|cx| Pin::new(&mut rest).poll_frame(cx)).await {}
            rest.cut();
        });
    }
}
