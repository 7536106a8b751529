//! Listeners of processes.

use std::io;
use std::net::SocketAddr;

use monoio::net::ListenerOpts;
use monoio::net::TcpListener;

/// Opens a listener that shares its port with no other process.
///
/// `TcpListener::bind` sets `SO_REUSEPORT`, under which a second process on the same port starts
/// without an error and takes a part of the connections: callers then meet now this, now that one.
///
/// # Errors
///
/// Returns the system's error, for example where the port is in use.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(addr, &ListenerOpts::new().reuse_port(false))
}
