//! What other processes ask of this gate.

use std::future::poll_fn;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_core::ServerName;
use chicoryrail_policy::Ask;
use chicoryrail_policy::Load;
use chicoryrail_policy::Ticket;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::RequestBody;
use chicoryrail_wire::Handler;
use chicoryrail_wire::HeartbeatReply;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use futures_util::future::Either;
use futures_util::future::select;
use h2::RecvStream;
use h2::server::SendResponse;
use http::HeaderMap;
use http::Response;
use http::request::Parts;

use crate::asserts;
use crate::call;
use crate::call::Call;
use crate::forward;
use crate::forward::StreamBody;
use crate::free::read_load;
use crate::gate::Gate;
use crate::gate::Serving;
use crate::headers::inner;
use crate::lane::Lane;
use crate::refusal::Refusal;
use crate::send;
use crate::shard::Via;
use crate::way;

/// Answers other processes.
pub(crate) struct Inner(pub(crate) Rc<Gate>);

impl Handler for Inner {
    async fn call(&self, request: Request) -> Reply {
        match request {
            Request::Ping => Reply::Done,
            Request::Heartbeat(_) => Reply::Heartbeat(HeartbeatReply {
                own: self.0.heartbeat(),
            }),
            _ => Reply::refused(ResultCode::BadRequest),
        }
    }

    async fn forward(&self, request: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let _serving = Serving::new(&self.0);
        let (head, body) = request.into_parts();
        let answer = {
            let work = std::pin::pin!(serve(&self.0, head, body));
            // The other gate gives up when its caller leaves; dropping the work cancels it here.
            let left = poll_fn(|cx| respond.poll_reset(cx));
            match select(work, left).await {
                Either::Left((answer, _)) => answer,
                Either::Right(_) => return,
            }
        };
        let (mut head, body) = answer.into_parts();
        head.version = http::Version::HTTP_2;
        head.headers = without_connection(head.headers);
        let end = hyper::body::Body::is_end_stream(&body);
        if let Ok(stream) = respond.send_response(Response::from_parts(head, ()), end)
            && !end
        {
            forward::pump(body, stream).await;
        }
    }
}

async fn serve(gate: &Rc<Gate>, head: Parts, body: RecvStream) -> Response<Body> {
    match send(gate, head, body).await {
        Ok(answer) => answer,
        Err(refusal) => refusal.answer(),
    }
}

async fn send(gate: &Rc<Gate>, head: Parts, body: RecvStream) -> Result<Response<Body>, Refusal> {
    let sent = Sent::read(&head.headers);
    let id = call::request_id(gate, &head.headers);
    let call = Call::read(gate, head, id).map_err(rerouted)?;
    // The gate at which the caller is asked for the claim.
    call.trace.claim();
    let result = send_on(gate, &call, &sent, body).await;
    result.inspect_err(|refusal| asserts::before_refusal(gate, &call, refusal))
}

async fn send_on(
    gate: &Rc<Gate>,
    call: &Call,
    sent: &Sent,
    body: RecvStream,
) -> Result<Response<Body>, Refusal> {
    let now = gate.now();
    if let (Some(free), Some((host, load))) = (&call.entry.free, &sent.load) {
        free.heard_from(now, host, *load);
    }
    let lane = lane(call, sent.server.as_ref(), now)?;
    let body: Body = Box::pin(StreamBody::new(body, call.left(now), None));
    let source = RequestBody::new(body, call.entry.service.max_body);
    if !sent.hedge {
        return send::to_server(gate, call, &source, &lane).await;
    }
    let ask = Ask::new(Ticket(gate.serial()), call.class, call.deadline);
    let permit = lane.enter_now(ask).ok_or(ResultCode::Overloaded)?;
    gate.counters.hedges.inc();
    send::with_permit(gate, call, &source, permit).await
}

/// What the other gate says with a request.
struct Sent {
    server: Option<ServerName>,
    hedge: bool,
    load: Option<(HostName, Load)>,
}

impl Sent {
    fn read(headers: &HeaderMap) -> Self {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        let load = headers.get(inner::LOAD).and_then(read_load);
        let host = text(inner::GATE).map(HostName::new);
        Self {
            server: text(inner::SERVER).map(ServerName::new),
            hedge: headers.contains_key(inner::HEDGE),
            load: host.zip(load),
        }
    }
}

/// Finds the queue of the server that the other gate chose, or of the free service. This gate's own
/// routes decide: the other's may be older.
fn lane(call: &Call, server: Option<&ServerName>, now: Millis) -> Result<Rc<Lane>, ResultCode> {
    let choice = match (call.key, &call.entry.free, server) {
        (Some(key), _, _) => way::owner(call, key, now)?,
        (None, Some(free), _) => return Ok(Rc::clone(&free.lane)),
        (None, None, Some(name)) => way::named(call, name, now)?,
        (None, None, None) => return Err(ResultCode::NoServer),
    };
    if choice.route.via != Via::Own {
        return Err(ResultCode::OwnerMoving);
    }
    Ok(Rc::clone(&choice.route.server.lane))
}

/// A service that this gate does not know may be in a configuration that it does not have yet.
fn rerouted(refusal: Refusal) -> Refusal {
    match refusal.code {
        ResultCode::UnknownService => Refusal::new(ResultCode::NotReady),
        _ => refusal,
    }
}

/// Removes what HTTP/2 does not allow.
fn without_connection(mut headers: HeaderMap) -> HeaderMap {
    headers.remove(http::header::CONNECTION);
    headers.remove(http::header::TRANSFER_ENCODING);
    headers
}
