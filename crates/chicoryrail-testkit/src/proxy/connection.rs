//! One proxied connection: a copy loop for each direction and a task that closes it when the link is reset.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use chicoryrail_runtime::CancellationToken;
use futures_util::future::join;
use futures_util::future::select;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRent;
use monoio::io::AsyncWriteRentExt;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Link;
use crate::LinkFault;
use crate::proxy::link::POLL_INTERVAL;

/// Largest number of bytes read and forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Number of writes a second under a rate limit ([`LinkFault::drip`]).
const DRIP_WRITES_PER_S: u64 = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

/// The state that the tasks of a connection share.
struct Shared {
    link: Link,
    rng: RefCell<Pcg64Mcg>,
    /// Bytes forwarded in both directions.
    forwarded: Cell<u64>,
    /// Cancelled when the connection ends, whatever the cause.
    ended: CancellationToken,
}

/// Forwards one connection until it ends or a fault breaks it.
pub(crate) async fn forward_connection(link: Link, caller: TcpStream, seed: u64) {
    link.update_stats(|s| s.accepted += 1);
    let ended = CancellationToken::new();
    let shared = Rc::new(Shared {
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        forwarded: Cell::new(0),
        ended: ended.clone(),
        link,
    });
    let resets_before = shared.link.resets();
    monoio::spawn(break_on_reset(Rc::clone(&shared), resets_before));
    shared.link.update_stats(|s| s.open += 1);
    let forwarded = std::pin::pin!(forward(&shared, caller));
    select(forwarded, std::pin::pin!(ended.cancelled())).await;
    shared.link.update_stats(|s| s.open -= 1);
    // Ends the task that waits for a reset if the connection ended by itself.
    ended.cancel();
}

/// Breaks the connection when the link is reset.
async fn break_on_reset(shared: Rc<Shared>, resets_before: u64) {
    while !shared.ended.is_cancelled() {
        if shared.link.resets() != resets_before {
            shared.break_connection();
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Connects to the upstream process and copies both directions until both have ended.
async fn forward(shared: &Rc<Shared>, caller: TcpStream) {
    // No connection is established over a cut network, so the upstream one waits for the cut to end.
    shared.wait_while(|f| f.cut_up || f.cut_down).await;
    let Ok(upstream) = TcpStream::connect(shared.link.upstream()).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    let up = copy(shared, Direction::Up, from_caller, to_upstream);
    let down = copy(shared, Direction::Down, from_upstream, to_caller);
    join(up, down).await;
}

/// Copies one direction until its end, which is passed on as a shutdown, or until a fault or error breaks the
/// connection.
async fn copy(
    shared: &Shared,
    direction: Direction,
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRent,
) {
    let mut buffer = vec![0_u8; CHUNK_BYTES];
    loop {
        let (read, filled) = from.read(buffer).await;
        buffer = filled;
        match read {
            Ok(0) => {
                let _ = to.shutdown().await;
                return;
            }
            Ok(n) => {
                if shared
                    .send(direction, &buffer[..n], &mut to)
                    .await
                    .is_none()
                {
                    shared.break_connection();
                    return;
                }
            }
            Err(_) => {
                shared.break_connection();
                return;
            }
        }
    }
}

impl Shared {
    /// Breaks the connection. The break is counted before either socket is closed, so that the statistics contain it
    /// when the caller or the upstream process sees the connection end.
    fn break_connection(&self) {
        if !self.ended.is_cancelled() {
            self.link.update_stats(|s| s.broken += 1);
            self.ended.cancel();
        }
    }

    /// Forwards a chunk under the link's fault; `None` if the connection must be broken.
    async fn send(
        &self,
        direction: Direction,
        chunk: &[u8],
        to: &mut impl AsyncWriteRent,
    ) -> Option<()> {
        self.wait_while(|f| match direction {
            Direction::Up => f.cut_up,
            Direction::Down => f.cut_down,
        })
        .await;
        let fault = self.link.fault();
        if fault.lose_answers && direction == Direction::Down {
            return None;
        }
        self.delay(&fault).await;
        let left = fault
            .reset_after
            .map_or(u64::MAX, |n| n.saturating_sub(self.forwarded.get()));
        let size = (chunk.len() as u64).min(left) as usize;
        self.write(&fault, &chunk[..size], to).await?;
        self.forwarded.set(self.forwarded.get() + size as u64);
        self.link.update_stats(|s| match direction {
            Direction::Up => s.up += size as u64,
            Direction::Down => s.down += size as u64,
        });
        (size == chunk.len()).then_some(())
    }

    /// Writes a chunk, in small parts at intervals if the fault limits the rate.
    async fn write(
        &self,
        fault: &LinkFault,
        chunk: &[u8],
        to: &mut impl AsyncWriteRent,
    ) -> Option<()> {
        let size = match fault.drip {
            Some(rate) => (rate / DRIP_WRITES_PER_S).max(1) as usize,
            None => chunk.len().max(1),
        };
        for part in chunk.chunks(size) {
            let (written, _) = to.write_all(part.to_vec()).await;
            written.ok()?;
            if fault.drip.is_some() {
                monoio::time::sleep(Duration::from_millis(1_000 / DRIP_WRITES_PER_S)).await;
            }
        }
        Some(())
    }

    /// Waits for the fault's delay and a random jitter.
    async fn delay(&self, fault: &LinkFault) {
        if fault.delay_ms == 0 && fault.jitter_ms == 0 {
            return;
        }
        let extra = self.rng.borrow_mut().random_range(0..=fault.jitter_ms);
        monoio::time::sleep(Duration::from_millis(fault.delay_ms + extra)).await;
    }

    /// Waits while `is_blocked` is true of the link's fault.
    async fn wait_while(&self, is_blocked: impl Fn(&LinkFault) -> bool) {
        while is_blocked(&self.link.fault()) {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
