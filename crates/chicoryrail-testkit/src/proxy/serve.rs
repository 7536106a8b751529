//! The accept loop of a link.

use std::io;
use std::net::TcpListener as StdListener;

use monoio::net::TcpListener;
use monoio::time::timeout;
use rand::RngCore;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Link;
use crate::proxy::connection::forward_connection;
use crate::proxy::link::POLL_INTERVAL;

/// Accepts connections of the link and forwards them. A port closed by a fault is bound again when the fault ends.
pub(crate) async fn serve(link: Link, listener: StdListener) {
    let mut rng = Pcg64Mcg::seed_from_u64(link.seed());
    let mut listener = from_std(listener).ok();
    loop {
        if link.fault().closed {
            listener = None;
            monoio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        let Some(bound) = &listener else {
            listener = StdListener::bind(link.addr()).and_then(from_std).ok();
            monoio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        if let Ok(Ok((stream, _))) = timeout(POLL_INTERVAL, bound.accept()).await {
            let (link, seed) = (link.clone(), rng.next_u64());
            monoio::spawn(forward_connection(link, stream, seed));
        }
    }
}

fn from_std(listener: StdListener) -> io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
