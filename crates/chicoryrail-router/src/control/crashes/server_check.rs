//! Checks whether a server still accepts connections after one of them broke.

use std::io;

use chicoryrail_core::Millis;
use monoio::time::timeout;

use crate::state::Target;

/// Longest time for the check. Servers are a few milliseconds away.
const CHECK_TIMEOUT: Millis = Millis(120);

/// Result of the check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerCheck {
    /// The server accepted a connection.
    Accepted,
    /// The address refused the connection: the process has ended, or something on the way refuses for it.
    Refused,
    /// No answer, or another error. It says nothing of the server.
    Unknown,
}

impl ServerCheck {
    /// Returns the name in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// Opens a connection to a server, and keeps it in the pool.
pub(crate) async fn check_server(target: &Target) -> ServerCheck {
    let connected = target.pool.connect(target.addr);
    match timeout(CHECK_TIMEOUT.to_duration(), connected).await {
        Ok(Ok(conn)) => {
            target.pool.release(conn);
            ServerCheck::Accepted
        }
        Ok(Err(e)) if is_refusal(&e) => ServerCheck::Refused,
        Ok(Err(_)) | Err(_) => ServerCheck::Unknown,
    }
}

/// Returns `true` if the address refused a connection. A connection that is refused while it is being opened has no peer.
fn is_refusal(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused | io::ErrorKind::NotConnected
    )
}
