//! Opens TCP connections to servers and to the store.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;

/// Idle time before the first keep-alive probe and between probes. Linux counts it in whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which a connection is dead. One is too few, since links lose single packets.
const KEEPALIVE_PROBES: u32 = 2;

/// Time for which sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const ACK_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Opens a connection that detects a dead path and discards undelivered bytes when it is closed.
///
/// A peer that lost power or a path that was cut sends no reset, so a call on such a connection would wait for its
/// whole timeout. Keep-alive probes detect a dead path while the connection is idle, and the user timeout detects
/// it while bytes are unacknowledged.
///
/// Closing the connection, also by the end of the process, resets it (`SO_LINGER` of 0). After a normal close the
/// kernel would keep delivering bytes that the path had delayed: a grant of keys from a process that has ended
/// would reach its server seconds later, when another leader has already moved the keys.
///
/// Returns the connection, and a second handle of its socket. The connection is closed when both are dropped.
pub(crate) async fn connect(addr: SocketAddr) -> io::Result<(TcpStream, Socket)> {
    #[cfg(feature = "fault-injection")]
    crate::cut_paths::check_new(addr).await?;
    let socket = start_connect(addr)?;
    let second = socket.try_clone()?;
    let stream = TcpStream::from_std(socket.into())?;
    stream.writable(false).await?;
    // A refused connection is reported as writable too, but only a connected socket has a peer address.
    stream.peer_addr()?;
    Ok((stream, second))
}

/// Opens a connection and closes it at once, to find out whether something accepts connections at an address.
///
/// # Errors
///
/// Returns the system's error, `ConnectionRefused` if the address refused.
pub async fn check_address(addr: SocketAddr) -> io::Result<()> {
    #[cfg(feature = "fault-injection")]
    crate::cut_paths::check_new(addr).await?;
    let socket = start_connect(addr)?;
    let result = socket.try_clone()?;
    let stream = TcpStream::from_std(socket.into())?;
    stream.writable(false).await?;
    match (stream.peer_addr(), result.take_error()) {
        (Ok(_), _) => Ok(()),
        (Err(_), Ok(Some(reason))) => Err(reason),
        // A socket without an error of its own that is not connected was refused.
        (Err(_), _) => Err(io::ErrorKind::ConnectionRefused.into()),
    }
}

/// Begins to open a connection.
fn start_connect(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    match socket.connect(&addr.into()) {
        Err(e) if !in_progress(&e) => Err(e),
        _ => Ok(socket),
    }
}

/// Returns `true` if a test has cut the path to an address: what is sent there, or arrives from there, is lost. Always
/// `false` without the feature `fault-injection`.
#[must_use]
pub fn is_path_lost(addr: SocketAddr) -> bool {
    #[cfg(feature = "fault-injection")]
    return crate::cut_paths::is_lost(addr);
    #[cfg(not(feature = "fault-injection"))]
    {
        let _ = addr;
        false
    }
}

fn in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(nix::errno::Errno::EINPROGRESS as i32)
}
