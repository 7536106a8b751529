//! Keep-alive connections of callers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// Idle connections by host; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl Pool {
    /// Takes an idle connection or opens one.
    pub(crate) async fn take(&self, addr: SocketAddr) -> io::Result<Sender> {
        loop {
            let kept = self.idle.borrow_mut().get_mut(&addr).and_then(Vec::pop);
            match kept {
                Some(sender) if sender.is_ready() => return Ok(sender),
                Some(_) => {}
                None => return open(addr).await,
            }
        }
    }

    /// Gives a connection back, for reuse where it can be.
    pub(crate) fn give(&self, addr: SocketAddr, sender: Sender) {
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
