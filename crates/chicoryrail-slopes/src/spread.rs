//! Time for a change to reach every peer.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_wire::Handler;
use chicoryrail_wire::Peer;
use chicoryrail_wire::PeerLimits;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use chicoryrail_wire::serve;
use h2::RecvStream;
use h2::server::SendResponse;

use crate::Line;
use crate::Plan;
use crate::calls::listen;
use crate::mesh_plan;
use crate::tree_plan;

/// Receivers of a node in the tree, and trunks of the mesh.
const FAN_OUT: usize = 4;

/// Upload of a node in bytes a second. Loopback has no such bound; a network's is what the two plans
/// differ by, so each node waits for it before it sends.
const UPLOAD: f64 = 10e6;

/// Size of the pieces in which a change travels on; a node passes a piece on before it has the next.
const PIECE: usize = 16 << 10;

/// Sizes of the changes measured, in bytes: a few assignments, and a full bundle.
const SIZES: [usize; 2] = [4 << 10, 1 << 20];

/// Longest a spread may take.
const LIMIT: Millis = Millis(30_000);

/// A plan to spread by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// Each node sends the whole to four others.
    Tree,
    /// The structured mesh with four trunks.
    Mesh,
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Tree => "tree",
            Self::Mesh => "mesh",
        })
    }
}

/// Measures, for each number of `peers`, plan and size, the time until the last peer has all.
#[must_use]
pub fn spread_time(peers: &[u32]) -> Vec<Line> {
    let names = [
        ["spread.tree.4k", "spread.tree.1m"],
        ["spread.mesh.4k", "spread.mesh.1m"],
    ];
    let mut lines = Vec::new();
    for (spread, names) in [Spread::Tree, Spread::Mesh].into_iter().zip(names) {
        for (size, name) in SIZES.into_iter().zip(names) {
            let points: Vec<(f64, f64)> = peers
                .iter()
                .map(|&n| {
                    (
                        f64::from(n).log(FAN_OUT as f64),
                        one_spread(spread, n as usize, size),
                    )
                })
                .collect();
            lines.push(Line::new(name, "ms per fourfold of the peers", &points));
        }
    }
    lines
}

/// One node: keeps what it has and passes each piece on.
struct Node {
    plan: Rc<Plan>,
    id: usize,
    peers: Rc<RefCell<Vec<Peer>>>,
    seen: RefCell<HashSet<(usize, usize)>>,
    left: Rc<Cell<usize>>,
    free_at: Cell<Option<Instant>>,
}

impl Node {
    /// Takes a piece in and sends it to the plan's receivers, within the node's upload.
    fn take(self: &Rc<Self>, part: usize, piece: usize, data: &Bytes) {
        if !self.seen.borrow_mut().insert((part, piece)) {
            return;
        }
        if self.id != 0 {
            self.left.set(self.left.get() - 1);
        }
        for to in self.plan.receivers(self.id, part) {
            let now = Instant::now();
            let from = self.free_at.get().map_or(now, |at| at.max(now));
            let at = from + std::time::Duration::from_secs_f64(data.len() as f64 / UPLOAD);
            self.free_at.set(Some(at));
            let peer = self.peers.borrow()[to].clone();
            let data = data.clone();
            monoio::spawn(async move {
                monoio::time::sleep_until(at.into()).await;
                let head = http::Request::post(format!("http://node/{part}/{piece}"))
                    .body(())
                    .expect("a request of numbers is valid");
                if let Ok(mut sent) = peer.forward(head, false).await {
                    let _ = sent.body.send_data(data, true);
                    let _ = sent.answer.await;
                }
            });
        }
    }
}

struct Receiver(Rc<Node>);

impl Handler for Receiver {
    async fn call(&self, _: Request) -> Reply {
        Reply::Done
    }

    async fn forward(&self, request: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let path = request.uri().path().to_owned();
        let mut numbers = path.split('/').skip(1).filter_map(|n| n.parse().ok());
        let (Some(part), Some(piece)) = (numbers.next(), numbers.next()) else {
            return;
        };
        let mut body = request.into_body();
        let mut data = Vec::with_capacity(PIECE);
        while let Some(Ok(bytes)) = body.data().await {
            let _ = body.flow_control().release_capacity(bytes.len());
            data.extend_from_slice(&bytes);
        }
        let _ = respond.send_response(http::Response::new(()), true);
        self.0.take(part, piece, &Bytes::from(data));
    }
}

fn one_spread(spread: Spread, peers: usize, size: usize) -> f64 {
    let plan = Rc::new(match spread {
        Spread::Tree => tree_plan(peers + 1, FAN_OUT),
        Spread::Mesh => mesh_plan(peers + 1, FAN_OUT),
    });
    // A part is a share of the data; a small change is still one piece a part.
    let part_size = size.div_ceil(plan.parts);
    let pieces = part_size.div_ceil(PIECE);
    block_on(async move {
        let left = Rc::new(Cell::new(peers * plan.parts * pieces));
        let addresses = Rc::new(RefCell::new(Vec::new()));
        let mut nodes = Vec::new();
        for id in 0..=peers {
            let (listener, addr) = listen();
            addresses.borrow_mut().push(Peer::new(addr));
            let node = Rc::new(Node {
                plan: Rc::clone(&plan),
                id,
                peers: Rc::clone(&addresses),
                seen: RefCell::default(),
                left: Rc::clone(&left),
                free_at: Cell::default(),
            });
            nodes.push(Rc::clone(&node));
            let receiver = Rc::new(Receiver(node));
            monoio::spawn(serve(
                listener,
                PeerLimits::default(),
                receiver,
                std::future::pending(),
            ));
        }
        greet(&nodes).await;
        let start = Instant::now();
        for piece in 0..pieces {
            for part in 0..plan.parts {
                let length = PIECE.min(part_size - piece * PIECE);
                nodes[0].take(part, piece, &Bytes::from(vec![0_u8; length]));
            }
        }
        while left.get() > 0 && start.elapsed() < LIMIT.duration() {
            monoio::time::sleep(Millis(1).duration()).await;
        }
        start.elapsed().as_secs_f64() * 1e3
    })
}

/// Opens every connection of the plan, so that the spread alone is timed.
async fn greet(nodes: &[Rc<Node>]) {
    for node in nodes {
        for part in 0..node.plan.parts {
            for to in node.plan.receivers(node.id, part) {
                // Peers are shared by all senders of this process, so one greeting a receiver does.
                let peer = node.peers.borrow()[to].clone();
                let _ = peer.call(&Request::Ping, LIMIT).await;
            }
        }
    }
}
