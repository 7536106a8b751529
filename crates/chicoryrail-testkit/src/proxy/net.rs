//! A thread that runs the proxies of many links.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::TryRecvError;
use std::sync::mpsc::channel;
use std::thread::JoinHandle;

use chicoryrail_runtime::block_on;

use crate::Link;
use crate::free_addr;
use crate::proxy::link::POLL_INTERVAL;
use crate::proxy::serve;

/// A thread that runs a proxy for each link; dropping it ends the thread and all links.
#[derive(Debug)]
pub struct ProxyNet {
    seed: u64,
    link_count: u64,
    new_links: Option<Sender<(Link, TcpListener)>>,
    thread: Option<JoinHandle<()>>,
}

impl ProxyNet {
    /// Starts the thread. Each link gets a seed derived from `seed`.
    #[must_use]
    pub fn start(seed: u64) -> Self {
        let (sender, new_links) = channel();
        let thread = std::thread::spawn(move || block_on(serve(new_links)));
        Self {
            seed,
            link_count: 0,
            new_links: Some(sender),
            thread: Some(thread),
        }
    }

    /// Adds a link to `upstream` on an address that [`free_addr`] returns.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn link(&mut self, name: &str, upstream: SocketAddr) -> io::Result<Link> {
        let addr = free_addr()?;
        self.link_at(name, addr, upstream)
    }

    /// Adds a link to `upstream` on `addr`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address can't be bound.
    pub fn link_at(
        &mut self,
        name: &str,
        addr: SocketAddr,
        upstream: SocketAddr,
    ) -> io::Result<Link> {
        let listener = TcpListener::bind(addr)?;
        self.link_count += 1;
        let seed = self.seed.wrapping_add(self.link_count);
        let link = Link::new(name, listener.local_addr()?, upstream, seed);
        let ended = || io::Error::other("the proxy's thread has ended");
        let new_links = self.new_links.as_ref().ok_or_else(ended)?;
        new_links
            .send((link.clone(), listener))
            .map_err(|_| ended())?;
        Ok(link)
    }

    /// Adds a link to `upstream` on a port of 127.0.0.1 that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn link_any_port(&mut self, name: &str, upstream: SocketAddr) -> io::Result<Link> {
        self.link_at(name, (Ipv4Addr::LOCALHOST, 0).into(), upstream)
    }
}

impl Drop for ProxyNet {
    fn drop(&mut self) {
        // Closes the channel, which ends the thread.
        self.new_links = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Spawns a proxy for each new link until the channel is closed.
async fn serve(new_links: Receiver<(Link, TcpListener)>) {
    loop {
        match new_links.try_recv() {
            Ok((link, listener)) => {
                monoio::spawn(serve::serve(link, listener));
            }
            Err(TryRecvError::Empty) => monoio::time::sleep(POLL_INTERVAL).await,
            Err(TryRecvError::Disconnected) => return,
        }
    }
}
