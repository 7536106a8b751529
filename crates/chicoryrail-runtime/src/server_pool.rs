//! Pool of HTTP connections to one server.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use monoio::time::timeout;

use crate::RequestTag;
use crate::ServerConn;

/// Connections allowed above the number of slots. An abandoned connection counts until its task has ended, and the
/// connection that replaces it must not wait for that.
const SPARE_CONNECTIONS: u32 = 4;

/// Longest time for opening a connection. Servers are about 1 ms away, so a longer wait means that the server is
/// unreachable, and the request needs the remaining time for another server.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// Idle connections to one server, with a limit on all its open connections.
#[derive(Debug, Default)]
pub struct ServerPool {
    idle: RefCell<Vec<ServerConn>>,
    open: Rc<Cell<u32>>,
    max_connections: Cell<u32>,
}

impl ServerPool {
    /// Limits the open connections to the server's slots plus a reserve, or to `connections` if that is less. The limit
    /// is at least 1.
    pub fn set_max_connections(&self, slots: u32, connections: u32) {
        self.max_connections.set(
            connections
                .min(slots.saturating_add(SPARE_CONNECTIONS))
                .max(1),
        );
    }

    /// Returns the number of open connections, idle or in use.
    #[must_use]
    pub fn open_connections(&self) -> u32 {
        self.open.get()
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Returns an idle connection that has not carried the request, or opens one. At the limit, an idle connection that
    /// has carried it makes room for the new one.
    ///
    /// # Errors
    ///
    /// Returns the reason if no connection is available; nothing was sent.
    pub async fn acquire(&self, addr: SocketAddr, request: RequestTag) -> io::Result<ServerConn> {
        let mut conn = match self
            .take_idle(addr, |conn| !conn.has_carried(request))
            .await
        {
            Some(conn) => conn,
            None => {
                self.make_room().await;
                self.connect(addr).await?
            }
        };
        conn.set_request(request);
        Ok(conn)
    }

    /// Returns any idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Returns the reason if no connection is available; nothing was sent.
    pub(crate) async fn acquire_any(&self, addr: SocketAddr) -> io::Result<ServerConn> {
        match self.take_idle(addr, |_| true).await {
            Some(conn) => Ok(conn),
            None => self.connect(addr).await,
        }
    }

    /// Returns the connection that was idle for the shortest time, of those that `suits` and nothing is wrong with.
    async fn take_idle(
        &self,
        addr: SocketAddr,
        suits: impl Fn(&ServerConn) -> bool,
    ) -> Option<ServerConn> {
        loop {
            let at = self.idle.borrow().iter().rposition(&suits)?;
            let mut conn = self.idle.borrow_mut().remove(at);
            if conn.is_usable(addr).await {
                return Some(conn);
            }
        }
    }

    /// Closes an idle connection if the limit is reached.
    async fn make_room(&self) {
        let has_room = self.open.get() < self.max_connections.get();
        if has_room || self.idle.borrow().is_empty() {
            return;
        }
        let oldest = self.idle.borrow_mut().remove(0);
        oldest.close().await;
    }

    /// Returns a connection to the pool after a complete response, or closes it if the pool is full.
    pub fn release(&self, conn: ServerConn) {
        let has_room = (self.idle.borrow().len() as u32) < self.max_connections.get();
        if conn.is_reusable() && has_room {
            self.idle.borrow_mut().push(conn);
        }
    }

    /// Opens a connection and keeps it idle, to find out whether the server can be reached.
    ///
    /// # Errors
    ///
    /// Returns the reason if none can be opened.
    pub async fn open_idle(&self, addr: SocketAddr) -> io::Result<()> {
        let conn = self.connect(addr).await?;
        self.release(conn);
        Ok(())
    }

    /// Opens a connection if the limit allows it.
    async fn connect(&self, addr: SocketAddr) -> io::Result<ServerConn> {
        if self.open.get() >= self.max_connections.get() {
            let limit = "connection limit of the server reached";
            return Err(io::Error::new(io::ErrorKind::QuotaExceeded, limit));
        }
        let guard = OpenGuard::new(&self.open);
        timeout(CONNECT_TIMEOUT.to_duration(), ServerConn::open(addr, guard))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}

/// Guard that counts an open connection until the connection's task has ended.
#[derive(Debug)]
struct OpenGuard(Rc<Cell<u32>>);

impl OpenGuard {
    fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
