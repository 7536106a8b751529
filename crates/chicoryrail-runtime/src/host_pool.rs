//! Pool of HTTP connections to another host of this system.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::ServerConn;
use crate::ServerPool;

/// Connections to a host of this system. Hosts send each response once, so any idle connection may carry any request.
#[derive(Clone, Debug)]
pub struct HostPool(Rc<ServerPool>);

impl HostPool {
    /// Creates a pool of at most `connections`.
    #[must_use]
    pub fn new(connections: u32) -> Self {
        let pool = ServerPool::default();
        pool.set_max_connections(connections, connections);
        Self(Rc::new(pool))
    }

    /// Returns an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Returns the reason if no connection is available; nothing was sent.
    pub async fn acquire(&self, addr: SocketAddr) -> io::Result<ServerConn> {
        self.0.acquire_any(addr).await
    }

    /// Returns a connection to the pool after a complete response, or closes it if the pool is full.
    pub fn release(&self, conn: ServerConn) {
        self.0.release(conn);
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.0.close_idle();
    }

    /// Returns the pool to which a connection returns after a complete response.
    #[must_use]
    pub fn connections(&self) -> &Rc<ServerPool> {
        &self.0
    }
}
