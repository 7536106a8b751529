//! Probes of idle connections.

use std::io;
use std::time::Duration;

use monoio::net::TcpStream;

/// Idle time before the first probe, and between probes. The system counts in whole seconds.
const EVERY: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is dead. Two, since links lose single packets.
const PROBES: u32 = 2;

/// Has the system probe a connection while nothing is sent on it.
///
/// A peer that lost power, or a path that was cut, sends no reset: a call that waits on such a connection
/// would wait for its whole time limit. With probes it ends within three seconds.
pub(crate) fn keep_alive(stream: &TcpStream) -> io::Result<()> {
    stream.set_tcp_keepalive(Some(EVERY), Some(EVERY), Some(PROBES))
}
