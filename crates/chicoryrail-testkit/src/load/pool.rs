//! Pool of keep-alive connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_runtime::Body;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

pub(crate) type Sender = SendRequest<Body>;

/// Idle connections by host. Clones share the connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl Pool {
    /// Returns an idle connection to the host, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if a new connection cannot be opened.
    pub(crate) async fn acquire(&self, addr: SocketAddr) -> io::Result<Sender> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&addr).and_then(Vec::pop);
            match idle {
                Some(sender) if sender.is_ready() => return Ok(sender),
                Some(_) => {}
                None => return open(addr).await,
            }
        }
    }

    /// Returns `true` if there is an idle connection to the host.
    pub(crate) fn has_idle(&self, addr: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        idle.get(&addr)
            .is_some_and(|all| all.iter().any(Sender::is_ready))
    }

    /// Returns a connection to the pool; drops it if it cannot be reused.
    pub(crate) fn release(&self, addr: SocketAddr, sender: Sender) {
        if sender.is_ready() {
            let mut idle = self.idle.borrow_mut();
            idle.entry(addr).or_default().push(sender);
        }
    }
}

async fn open(addr: SocketAddr) -> io::Result<Sender> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let io = stream.try_into_poll_io().map_err(|(e, _)| e)?;
    let (sender, connection) = http1::handshake(MonoioIo::new(io))
        .await
        .map_err(io::Error::other)?;
    monoio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}
