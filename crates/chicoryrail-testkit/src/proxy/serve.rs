//! The listener of a link.

use std::io;
use std::net::TcpListener as StdListener;

use monoio::net::TcpListener;
use monoio::time::timeout;
use rand::RngCore;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Link;
use crate::proxy::connection::connection;
use crate::proxy::link::LOOK;

/// Serves the link; a closed port is opened again when the fault ends.
pub(crate) async fn serve(link: Link, listener: StdListener) {
    let mut rng = Pcg64Mcg::seed_from_u64(link.seed());
    let mut listener = listen(listener).ok();
    loop {
        if link.fault().closed {
            listener = None;
            monoio::time::sleep(LOOK).await;
            continue;
        }
        let Some(open) = &listener else {
            listener = StdListener::bind(link.addr()).and_then(listen).ok();
            monoio::time::sleep(LOOK).await;
            continue;
        };
        if let Ok(Ok((stream, _))) = timeout(LOOK, open.accept()).await {
            let (link, seed) = (link.clone(), rng.next_u64());
            monoio::spawn(connection(link, stream, seed));
        }
    }
}

fn listen(listener: StdListener) -> io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
