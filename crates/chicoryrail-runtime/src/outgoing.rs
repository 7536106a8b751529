//! Connections to servers and to the store.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;

/// Idle time before the first probe, and between probes. The system counts in whole seconds.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is dead. Two, since links lose single packets.
const PROBES: u32 = 2;

/// Time for which sent bytes may stay without the other side's receipt.
const UNRECEIVED: Duration = Duration::from_millis(2_500);

/// Opens a connection that ends when its path does, and leaves nothing behind when it is closed.
///
/// A peer that lost power, or a path that was cut, sends no reset: a call on such a connection would wait
/// for its whole time limit. So the system probes it while it is idle and gives it up when bytes stay
/// without receipt.
///
/// A connection that is closed, also by the end of the process, is reset. Closed the usual way, the system
/// would go on delivering what the path had held up: a grant of keys from a process that is long gone would
/// reach its server seconds later, when another leader has moved the keys.
pub(crate) async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(UNRECEIVED))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    match socket.connect(&addr.into()) {
        Err(e) if !in_progress(&e) => return Err(e),
        _ => {}
    }
    let stream = TcpStream::from_std(socket.into())?;
    stream.writable(false).await?;
    // Writable also means refused; only a connected socket has a peer.
    stream.peer_addr()?;
    Ok(stream)
}

fn in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(nix::errno::Errno::EINPROGRESS as i32)
}
