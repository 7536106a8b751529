//! Cost of the control calls: processor time and bytes.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::DcName;
use chicoryrail_core::Epoch;
use chicoryrail_core::Fence;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_core::ShardId;
use chicoryrail_core::Slice;
use chicoryrail_platform::HttpTargets;
use chicoryrail_platform::SessionAnswer;
use chicoryrail_platform::SessionBody;
use chicoryrail_platform::Targets;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::json_answer;
use chicoryrail_runtime::serve_http;
use chicoryrail_wire::Confirm;
use chicoryrail_wire::Confirmed;
use chicoryrail_wire::Handler;
use chicoryrail_wire::Heartbeat;
use chicoryrail_wire::HeartbeatReply;
use chicoryrail_wire::HostState;
use chicoryrail_wire::Peer;
use chicoryrail_wire::PeerLimits;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use chicoryrail_wire::Role;
use chicoryrail_wire::RouteReply;
use chicoryrail_wire::RouteRequest;
use chicoryrail_wire::encode;
use chicoryrail_wire::serve;
use h2::RecvStream;
use h2::server::SendResponse;
use monoio::net::TcpListener;

use crate::Line;
use crate::Usage;

/// Bytes that a call's two frames in each direction and the TCP and IP headers add to its messages:
/// 2 x (9 + about 20 + 9) for HEADERS and DATA, and 4 x 52.
const CALL_OVERHEAD: f64 = 284.0;

/// Longest a call may take; never reached on loopback.
const LIMIT: Millis = Millis(10_000);

/// Shards in one message of the points measured.
const SHARDS: [u32; 4] = [1, 10, 50, 200];

/// Answers each call with a reply of the size that the real handler gives.
pub(crate) struct Echo;

impl Echo {
    /// Serves peers on this thread and returns where.
    pub(crate) fn start() -> SocketAddr {
        let (listener, addr) = listen();
        monoio::spawn(serve(
            listener,
            PeerLimits::default(),
            Rc::new(Self),
            std::future::pending(),
        ));
        addr
    }
}

/// Opens a listener on a free port of the loopback address.
pub(crate) fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let addr = listener
        .local_addr()
        .expect("a bound listener has an address");
    (listener, addr)
}

impl Handler for Echo {
    async fn call(&self, request: Request) -> Reply {
        match request {
            Request::Heartbeat(own) => Reply::Heartbeat(HeartbeatReply { own }),
            Request::Confirm(confirm) => Reply::Confirmed(Confirmed {
                shards: vec![true; confirm.shards.len()],
                version: 1,
                instance: u64::MAX / 3,
            }),
            Request::Routes(routes) => Reply::Routes(RouteReply {
                tables: Vec::new(),
                held: routes.known,
                valid: Millis(700),
                version: 1,
            }),
            _ => Reply::Done,
        }
    }

    async fn forward(&self, _: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let _ = respond.send_response(http::Response::new(()), true);
    }
}

/// Measures heartbeats, confirmations and route renewals; `calls` calls a point.
///
/// Both ends run on this thread, so a figure is what caller and peer spend together.
#[must_use]
pub fn call_costs(calls: u32) -> Vec<Line> {
    block_on(async {
        let addr = Echo::start();
        let peer = Peer::new(addr);
        let mut lines = Vec::new();
        lines.extend(
            measure(
                &peer,
                calls,
                ["call.heartbeat", "bytes.heartbeat"],
                &[1],
                |_| beat(),
            )
            .await,
        );
        lines.extend(
            measure(
                &peer,
                calls,
                ["call.confirm", "bytes.confirm"],
                &SHARDS,
                confirm,
            )
            .await,
        );
        lines.extend(
            measure(
                &peer,
                calls,
                ["call.routes", "bytes.routes"],
                &SHARDS,
                routes,
            )
            .await,
        );
        lines
    })
}

async fn measure(
    peer: &Peer,
    calls: u32,
    names: [&'static str; 2],
    sizes: &[u32],
    make: fn(u32) -> Request,
) -> [Line; 2] {
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    for &n in sizes {
        let request = make(n);
        let reply = peer
            .call(&request, LIMIT)
            .await
            .expect("the peer is in this process");
        let sent = encode(&request).map_or(0, |b| b.len()) + encode(&reply).map_or(0, |b| b.len());
        bytes.push((f64::from(n), sent as f64 + CALL_OVERHEAD));
        let before = Usage::now();
        for _ in 0..calls {
            peer.call(&request, LIMIT)
                .await
                .expect("the peer is in this process");
        }
        cpu.push((
            f64::from(n),
            Usage::now().cpu_since(before) / f64::from(calls),
        ));
    }
    [
        Line::new(names[0], "us per shard in a call", &cpu),
        Line::new(names[1], "bytes per shard in a call", &bytes),
    ]
}

/// Measures a session renewal: the real adapter against a target that answers at once.
#[must_use]
pub fn session_cost(calls: u32) -> Line {
    block_on(async {
        let (listener, addr) = listen();
        monoio::spawn(target(listener));
        let targets = HttpTargets::default();
        let mut points = Vec::new();
        for part in 1..=4_u32 {
            let n = calls * part / 4;
            let before = Usage::now();
            for _ in 0..n {
                renew(&targets, addr).await;
            }
            points.push((f64::from(n), Usage::now().cpu_since(before)));
        }
        Line::new("session.renewal", "us per renewal", &points)
    })
}

async fn target(listener: TcpListener) {
    serve_http(
        listener,
        HttpLimits::default(),
        CancellationToken::new(),
        |request, _| async move {
            let _ = chicoryrail_runtime::collect(request.into_body(), 1 << 16).await;
            let answer = SessionAnswer {
                now: Millis(1),
                instance: 1,
                fence: Fence::default(),
                slices: vec![Slice::FULL; 6],
                busy: 0,
            };
            json_answer(200, &answer)
        },
    )
    .await;
}

async fn renew(targets: &HttpTargets, addr: SocketAddr) {
    let body = SessionBody {
        fence: Fence::default(),
        asof: Millis(1),
        valid: Millis(700),
    };
    targets
        .session(addr, &body)
        .await
        .expect("the target is in this process");
}

fn beat() -> Request {
    Request::Heartbeat(Heartbeat {
        host: HostName::new("host-0001"),
        dc: DcName::new("north-1"),
        role: Role::Controller,
        instance: u64::MAX / 3,
        state: HostState::Live,
        version: 5_100,
    })
}

fn confirm(n: u32) -> Request {
    let shards = (0..n).map(|i| (shard(i), Epoch(7))).collect();
    Request::Confirm(Confirm {
        holder: HostName::new("host-0001"),
        shards,
    })
}

fn routes(n: u32) -> Request {
    Request::Routes(RouteRequest {
        gate: HostName::new("host-0001"),
        instance: u64::MAX / 3,
        leaving: false,
        known: (0..n).map(|i| (shard(i), Fence::default())).collect(),
        seen: Vec::new(),
        wait: Millis::ZERO,
    })
}

fn shard(part: u32) -> ShardId {
    ShardId::Service {
        service: ServiceName::new("kit-catalogue"),
        part,
    }
}
