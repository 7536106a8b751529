//! Many links in one thread.

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
use crate::free_port;
use crate::proxy::link::LOOK;
use crate::proxy::serve;

/// A thread that carries links; dropping it ends them all.
#[derive(Debug)]
pub struct Net {
    seed: u64,
    count: u64,
    links: Option<Sender<(Link, TcpListener)>>,
    thread: Option<JoinHandle<()>>,
}

impl Net {
    /// Starts the thread.
    #[must_use]
    pub fn start(seed: u64) -> Self {
        let (links, added) = channel();
        let thread = std::thread::spawn(move || block_on(serve(added)));
        Self {
            seed,
            count: 0,
            links: Some(links),
            thread: Some(thread),
        }
    }

    /// Adds a link to `upstream` on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns the system's error where no port can be bound.
    pub fn link(&mut self, name: &str, upstream: SocketAddr) -> io::Result<Link> {
        let addr = free_port()?;
        self.link_at(name, addr, upstream)
    }

    /// Adds a link to `upstream` on `addr`.
    ///
    /// # Errors
    ///
    /// Returns the system's error where the address can't be bound.
    pub fn link_at(
        &mut self,
        name: &str,
        addr: SocketAddr,
        upstream: SocketAddr,
    ) -> io::Result<Link> {
        let listener = TcpListener::bind(addr)?;
        self.count += 1;
        let seed = self.seed.wrapping_add(self.count);
        let link = Link::new(name, listener.local_addr()?, upstream, seed);
        let ended = || io::Error::other("the proxy's thread has ended");
        let links = self.links.as_ref().ok_or_else(ended)?;
        links.send((link.clone(), listener)).map_err(|_| ended())?;
        Ok(link)
    }

    /// Adds a link on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns the system's error where no port can be bound.
    pub fn link_anywhere(&mut self, name: &str, upstream: SocketAddr) -> io::Result<Link> {
        self.link_at(name, (Ipv4Addr::LOCALHOST, 0).into(), upstream)
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        // The thread ends when it finds that nobody can add a link any more.
        self.links = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn serve(added: Receiver<(Link, TcpListener)>) {
    loop {
        match added.try_recv() {
            Ok((link, listener)) => {
                monoio::spawn(serve::serve(link, listener));
            }
            Err(TryRecvError::Empty) => monoio::time::sleep(LOOK).await,
            Err(TryRecvError::Disconnected) => return,
        }
    }
}
