//! Sends a request through the gate that holds the server's slots.

use std::future::pending;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::header;
use chicoryrail_policy::PeerId;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::collect;
use chicoryrail_wire::Forward;
use chicoryrail_wire::Peer;
use futures_util::future::Either;
use futures_util::future::select;
use h2::Reason;
use h2::RecvStream;
use h2::SendStream;
use http::HeaderValue;
use http::Request;
use http::Response;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use monoio::time::Sleep;
use monoio::time::sleep;
use monoio::time::timeout;

use crate::asserts;
use crate::call::Call;
use crate::free::Free;
use crate::free::read_load;
use crate::free::write_load;
use crate::gate::Gate;
use crate::headers;
use crate::headers::inner;
use crate::refusal::Refusal;
use crate::server::UnderWay;
use crate::way::Choice;

/// Longest text of another gate's refusal.
const REFUSAL_TEXT: usize = 4 << 10;

/// Time by which the other gate's own answer at the deadline may come later.
const GRACE: Millis = Millis(20);

/// What the other gate is asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Hop<'a> {
    /// A certain server.
    Server(&'a Choice, &'a HostName),
    /// Any of its servers of a free service.
    Service(&'a Free, PeerId, &'a HostName),
    /// A free slot of one of its servers, for a second try.
    Slot(&'a Free, PeerId, &'a HostName),
}

impl Hop<'_> {
    /// Waits until the routes show that the other gate is gone. A lookup then goes another way in
    /// place of waiting for its deadline.
    async fn ends(&self, call: &Call) {
        match self {
            _ if !call.is_idempotent() => pending().await,
            Self::Server(choice, host) => {
                let name = &choice.route.server.name;
                choice.shard.leaves(name, host).await;
            }
            Self::Service(_, _, host) | Self::Slot(_, _, host) => {
                let signal = Rc::clone(&call.entry.shards[0].signal);
                loop {
                    let seen = signal.count();
                    if call.entry.shards.iter().all(|s| !s.leads_through(host)) {
                        return;
                    }
                    signal.after(seen).await;
                }
            }
        }
    }
}

/// Sends the request once.
///
/// # Errors
///
/// Returns the refusal; its code tells what is known of the run.
pub(crate) async fn to_gate(
    gate: &Rc<Gate>,
    call: &Call,
    source: &Rc<RequestBody>,
    hop: Hop<'_>,
    peer: &Peer,
) -> Result<Response<Body>, Refusal> {
    gate.counters.forwards.inc();
    let held = match hop {
        Hop::Server(choice, _) => Some(UnderWay::new(&choice.route.server)),
        Hop::Service(free, id, _) | Hop::Slot(free, id, _) => {
            free.sent(id);
            None
        }
    };
    let now = gate.now();
    if now >= call.deadline {
        return Err(ResultCode::DeadlinePassed.into());
    }
    asserts::before_send(gate, call);
    let head = head(gate, call, hop, peer, now);
    let limit = call.left(now) + GRACE;
    let opened = timeout(limit.duration(), peer.forward(head, source.is_empty())).await;
    let forward = match opened {
        Ok(Ok(forward)) => forward,
        Ok(Err(_)) => return Err(ResultCode::NoServer.into()),
        Err(_) => return Err(ResultCode::DeadlinePassed.into()),
    };
    let serial = forward.serial();
    let Forward { body, answer, .. } = forward;
    call.trace.wrote();
    if !source.is_empty() {
        monoio::spawn(pump(source.body(), body));
    }
    let limit = call.left(gate.now()) + GRACE;
    let answer = pin!(timeout(limit.duration(), answer));
    let answer = match select(answer, pin!(hop.ends(call))).await {
        Either::Left((answer, _)) => answer,
        Either::Right(_) => {
            peer.give_up(serial);
            return Err(ResultCode::OutcomeUnknown.into());
        }
    };
    let answer = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(e)) if e.is_reset() && e.reason() == Some(Reason::REFUSED_STREAM) => {
            call.trace.unran();
            return Err(ResultCode::NoServer.into());
        }
        Ok(Err(_)) => return Err(ResultCode::OutcomeUnknown.into()),
        Err(_) => {
            // A gate that is well answers at the deadline itself; this one may have gone without a
            // word, and the next order must not wait on the same connection.
            peer.give_up(serial);
            return Err(ResultCode::AnswerLate.into());
        }
    };
    let (mut head, body) = answer.into_parts();
    let load = head.headers.remove(inner::LOAD);
    if let Hop::Service(free, id, _) | Hop::Slot(free, id, _) = hop
        && let Some(load) = load.as_ref().and_then(read_load)
    {
        free.heard(gate.now(), id, load);
    }
    let left = call.left(gate.now()) + GRACE;
    let body = StreamBody::new(body, left, held);
    if let Some(code) = head.headers.get(inner::CODE) {
        let code = code.to_str().ok().and_then(|c| c.parse().ok());
        let code = code.and_then(ResultCode::from_number);
        let refusal = refusal(code, body, head.headers).await;
        if refusal.not_run() {
            call.trace.unran();
        }
        return Err(refusal);
    }
    let own = head.headers.get(header::REQUEST_ID) == Some(&call.id);
    gate.process
        .invariants
        .check(Invariant::OwnAnswer, own, || {
            format!("peer={} request={:?}", peer.addr(), call.id)
        });
    head.headers = headers::end_to_end(head.headers);
    head.version = http::Version::HTTP_11;
    head.extensions.clear();
    Ok(Response::from_parts(head, Box::pin(body)))
}

/// Reads another gate's refusal.
async fn refusal(code: Option<ResultCode>, body: StreamBody, headers: http::HeaderMap) -> Refusal {
    let mut refusal = Refusal::new(code.unwrap_or(ResultCode::OutcomeUnknown));
    let text = collect(body, REFUSAL_TEXT).await.unwrap_or_default();
    let value: Option<serde_json::Value> = serde_json::from_slice(&text).ok();
    if let Some(message) = value.as_ref().and_then(|v| v["error"].as_str()) {
        refusal.message = message.to_owned();
    }
    let after = headers.get(http::header::RETRY_AFTER);
    let after = after.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    refusal.after = after.map(|s| Millis(s * 1_000));
    refusal
}

fn head(gate: &Gate, call: &Call, hop: Hop<'_>, peer: &Peer, now: Millis) -> Request<()> {
    let uri = http::Uri::builder()
        .scheme("http")
        .authority(peer.addr().to_string())
        .path_and_query(call.path.clone())
        .build()
        .expect("an address and a path are a valid URI");
    let mut head = Request::new(());
    *head.method_mut() = call.method.clone();
    *head.uri_mut() = uri;
    let mut headers = call.headers.clone();
    headers.remove(http::header::HOST);
    headers.insert(header::REQUEST_ID, call.id.clone());
    headers.insert(header::DEADLINE, HeaderValue::from(call.left(now).0));
    match hop {
        Hop::Server(choice, _) => {
            if let Ok(name) = HeaderValue::from_str(choice.route.server.name.as_str()) {
                headers.insert(inner::SERVER, name);
            }
        }
        Hop::Service(free, ..) | Hop::Slot(free, ..) => {
            if matches!(hop, Hop::Slot(..)) {
                headers.insert(inner::HEDGE, HeaderValue::from_static("1"));
            }
            if let Ok(host) = HeaderValue::from_str(gate.settings.host.host.as_str()) {
                headers.insert(inner::GATE, host);
            }
            if let Some(load) = free.lane.load() {
                headers.insert(inner::LOAD, write_load(load));
            }
        }
    }
    *head.headers_mut() = headers;
    head
}

/// Streams a body into an h2 stream, no faster than the other side reads it.
///
/// A body that fails resets the stream, so that its start is never taken for the whole.
pub(crate) async fn pump(mut body: Body, mut stream: SendStream<Bytes>) {
    loop {
        let frame = poll_fn(|cx| match body.as_mut().poll_frame(cx) {
            Poll::Ready(frame) => Poll::Ready(Some(frame)),
            // The other side gave up: dropping the body gives up the work behind it.
            Poll::Pending => match stream.poll_reset(cx) {
                Poll::Ready(_) => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            },
        });
        let Some(frame) = frame.await else {
            return;
        };
        let data = match frame {
            None => {
                let _ = stream.send_data(Bytes::new(), true);
                return;
            }
            Some(Err(_)) => {
                stream.send_reset(Reason::INTERNAL_ERROR);
                return;
            }
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => data,
                Err(_) => continue,
            },
        };
        if !send_all(&mut stream, data, body.is_end_stream()).await || body.is_end_stream() {
            return;
        }
    }
}

async fn send_all(stream: &mut SendStream<Bytes>, mut data: Bytes, end: bool) -> bool {
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let room = match poll_fn(|cx| stream.poll_capacity(cx)).await {
            Some(Ok(room)) => room,
            _ => return false,
        };
        let part = data.split_to(room.min(data.len()));
        let last = end && data.is_empty();
        if stream.send_data(part, last).is_err() {
            return false;
        }
    }
    true
}

/// A body that arrives on an h2 stream. Dropped before its end it resets the stream.
pub(crate) struct StreamBody {
    inner: RecvStream,
    left: Millis,
    since: std::time::Instant,
    sleep: Option<Pin<Box<Sleep>>>,
    held: Option<UnderWay>,
    ended: bool,
}

impl StreamBody {
    /// Wraps a stream that must end within `left`.
    pub(crate) fn new(inner: RecvStream, left: Millis, held: Option<UnderWay>) -> Self {
        Self {
            ended: inner.is_end_stream(),
            inner,
            left,
            since: std::time::Instant::now(),
            sleep: None,
            held,
        }
    }
}

impl HttpBody for StreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.inner.poll_data(cx) {
            Poll::Ready(Some(Ok(data))) => {
                let _ = self.inner.flow_control().release_capacity(data.len());
                self.ended = self.inner.is_end_stream();
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(Some(Err(e))) => {
                self.ended = true;
                self.held = None;
                Poll::Ready(Some(Err(io::Error::other(e))))
            }
            Poll::Ready(None) => {
                self.ended = true;
                self.held = None;
                Poll::Ready(None)
            }
            Poll::Pending => {
                let left = self.left.duration().saturating_sub(self.since.elapsed());
                let timer = self.sleep.get_or_insert_with(|| Box::pin(sleep(left)));
                if timer.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                self.ended = true;
                Poll::Ready(Some(Err(io::Error::from(io::ErrorKind::TimedOut))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }
}
