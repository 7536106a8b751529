//! One proxied connection: two pumps and a guard.

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
use crate::proxy::link::LOOK;

/// Bytes of one piece.
const PIECE: usize = 16 << 10;

/// Pieces a second of a slow drip.
const DRIPS: u64 = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Up,
    Down,
}

/// What the two ways of a connection share.
struct Shared {
    link: Link,
    rng: RefCell<Pcg64Mcg>,
    passed: Cell<u64>,
    broken: CancellationToken,
}

/// Passes one connection on until it ends or a fault breaks it.
pub(crate) async fn connection(link: Link, caller: TcpStream, seed: u64) {
    link.count(|s| s.accepted += 1);
    let broken = CancellationToken::new();
    let shared = Rc::new(Shared {
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        passed: Cell::new(0),
        broken: broken.clone(),
        link,
    });
    let first = shared.link.resets();
    monoio::spawn(watch(Rc::clone(&shared), first));
    shared.link.count(|s| s.open += 1);
    let passed = std::pin::pin!(pass(&shared, caller));
    select(passed, std::pin::pin!(broken.cancelled())).await;
    shared.link.count(|s| s.open -= 1);
    // Ends the watch of a connection that ended by itself.
    broken.cancel();
}

/// Breaks the connection when the link is reset.
async fn watch(shared: Rc<Shared>, first: u64) {
    while !shared.broken.is_cancelled() {
        if shared.link.resets() != first {
            shared.end();
        }
        monoio::time::sleep(LOOK).await;
    }
}

async fn pass(shared: &Rc<Shared>, caller: TcpStream) {
    // A connection through a network that drops everything is not made.
    shared.hold(|f| f.cut_up || f.cut_down).await;
    let Ok(upstream) = TcpStream::connect(shared.link.upstream()).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    let up = pump(shared, Way::Up, from_caller, to_upstream);
    let down = pump(shared, Way::Down, from_upstream, to_caller);
    join(up, down).await;
}

async fn pump(
    shared: &Shared,
    way: Way,
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRent,
) {
    let mut buffer = vec![0_u8; PIECE];
    loop {
        let (read, filled) = from.read(buffer).await;
        buffer = filled;
        match read {
            Ok(0) => {
                let _ = to.shutdown().await;
                return;
            }
            Ok(n) => {
                if shared.send(way, &buffer[..n], &mut to).await.is_none() {
                    shared.end();
                    return;
                }
            }
            Err(_) => {
                shared.end();
                return;
            }
        }
    }
}

impl Shared {
    /// Ends the connection. It is counted before an end of it is dropped, so that whoever sees the
    /// connection end finds it counted.
    fn end(&self) {
        if !self.broken.is_cancelled() {
            self.link.count(|s| s.broken += 1);
            self.broken.cancel();
        }
    }

    /// Passes a piece on under the link's fault; `None` breaks the connection.
    async fn send(&self, way: Way, piece: &[u8], to: &mut impl AsyncWriteRent) -> Option<()> {
        self.hold(|f| match way {
            Way::Up => f.cut_up,
            Way::Down => f.cut_down,
        })
        .await;
        let fault = self.link.fault();
        if fault.lose_answers && way == Way::Down {
            return None;
        }
        self.delay(&fault).await;
        let left = fault
            .reset_after
            .map_or(u64::MAX, |n| n.saturating_sub(self.passed.get()));
        let size = (piece.len() as u64).min(left) as usize;
        self.write(&fault, &piece[..size], to).await?;
        self.passed.set(self.passed.get() + size as u64);
        self.link.count(|s| match way {
            Way::Up => s.up += size as u64,
            Way::Down => s.down += size as u64,
        });
        (size == piece.len()).then_some(())
    }

    async fn write(
        &self,
        fault: &LinkFault,
        piece: &[u8],
        to: &mut impl AsyncWriteRent,
    ) -> Option<()> {
        let size = match fault.drip {
            Some(rate) => (rate / DRIPS).max(1) as usize,
            None => piece.len().max(1),
        };
        for part in piece.chunks(size) {
            let (written, _) = to.write_all(part.to_vec()).await;
            written.ok()?;
            if fault.drip.is_some() {
                monoio::time::sleep(Duration::from_millis(1_000 / DRIPS)).await;
            }
        }
        Some(())
    }

    async fn delay(&self, fault: &LinkFault) {
        if fault.delay_ms == 0 && fault.jitter_ms == 0 {
            return;
        }
        let extra = self.rng.borrow_mut().random_range(0..=fault.jitter_ms);
        monoio::time::sleep(Duration::from_millis(fault.delay_ms + extra)).await;
    }

    async fn hold(&self, cut: impl Fn(&LinkFault) -> bool) {
        while cut(&self.link.fault()) {
            monoio::time::sleep(LOOK).await;
        }
    }
}
