//! Connections to one server.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use futures_util::future::select;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use monoio::time::timeout;
use monoio_compat::hyper::MonoioIo;
use tokio_util::sync::CancellationToken;

use crate::Body;
use crate::outgoing::connect;

/// Connections kept above the slots. A connection that was given up still counts until its end, and
/// its successor must not wait for that.
const SPARE: u32 = 4;

/// Bytes of an answer that are read ahead of its caller. The HTTP layer's own bound is 400 KB: with 200 callers that
/// read nothing of 540 KB the process grew by 20.1 MB under it, and by 12.9 MB under this one.
const READ_AHEAD: usize = 64 << 10;

/// Longest time a connect may take. Servers are about 1 ms away; a longer wait means that nobody is
/// there, and the request must have time left for another server.
const CONNECT_LIMIT: Millis = Millis(300);

/// Idle and open connections of one server.
#[derive(Debug, Default)]
pub struct ServerPool {
    idle: RefCell<Vec<ServerConn>>,
    open: Rc<Cell<u32>>,
    cap: Cell<u32>,
}

/// A connection that carries at most one request at a time; dropping it closes it.
#[derive(Debug)]
pub struct ServerConn {
    /// Sends one request at a time.
    pub send: SendRequest<Body>,
    closed: CancellationToken,
}

impl ServerPool {
    /// Sets the limit from the server's slots and the service's connections.
    pub fn set_cap(&self, slots: u32, connections: u32) {
        self.cap.set(connections.min(slots + SPARE).max(1));
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.open.get()
    }

    /// Closes the idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Takes an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Returns the reason where none can be had; nothing was sent.
    pub async fn take(&self, addr: SocketAddr) -> io::Result<ServerConn> {
        loop {
            let Some(mut conn) = self.idle.borrow_mut().pop() else {
                break;
            };
            if !conn.send.is_closed() && conn.send.ready().await.is_ok() {
                return Ok(conn);
            }
        }
        self.connect(addr).await
    }

    /// Gives a connection back after a whole answer.
    pub fn put(&self, conn: ServerConn) {
        if !conn.send.is_closed() && (self.idle.borrow().len() as u32) < self.cap.get() {
            self.idle.borrow_mut().push(conn);
        }
    }

    /// Opens a connection where the limit allows it.
    ///
    /// # Errors
    ///
    /// Returns why there is none; nothing was sent.
    pub async fn connect(&self, addr: SocketAddr) -> io::Result<ServerConn> {
        if self.open.get() >= self.cap.get() {
            return Err(io::Error::other("the server's connections are in use"));
        }
        let open = Open::new(&self.open);
        timeout(CONNECT_LIMIT.duration(), ServerConn::open(addr, open))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}

impl ServerConn {
    /// Opens a connection; `held` is dropped when it has ended.
    pub(crate) async fn open<T: 'static>(addr: SocketAddr, held: T) -> io::Result<Self> {
        let stream = connect(addr).await?;
        let io = stream.try_into_poll_io().map_err(|(e, _)| e)?;
        let (send, connection) = http1::Builder::new()
            .max_buf_size(READ_AHEAD)
            .handshake(MonoioIo::new(io))
            .await
            .map_err(io::Error::other)?;
        let closed = CancellationToken::new();
        let stop = closed.clone();
        monoio::spawn(async move {
            let stopped = std::pin::pin!(stop.cancelled());
            // Dropped here, the connection is reset. Left to itself it would first write to its end a
            // request that was given up.
            select(connection, stopped).await;
            drop(held);
        });
        Ok(Self { send, closed })
    }
}

impl Drop for ServerConn {
    fn drop(&mut self) {
        self.closed.cancel();
    }
}

/// Counts an open connection until its task has ended.
#[derive(Debug)]
struct Open(Rc<Cell<u32>>);

impl Open {
    fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
