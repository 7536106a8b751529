//! Checks whether a server still accepts connections after one of them broke.

use std::io;

use chicoryrail_core::Millis;
use monoio::time::timeout;

use crate::state::Target;

/// Longest time for the check. Servers are a few milliseconds away.
const CHECK_TIMEOUT: Millis = Millis(120);

/// Time after which a server that accepted a connection is checked again. A process that ends resets its connections one
/// after the other, and may accept another one meanwhile.
const RECHECK_DELAY: Millis = Millis(30);

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

/// Checks again whether a server accepts connections, after a short time.
pub(crate) async fn recheck_server(target: &Target) -> ServerCheck {
    monoio::time::sleep(RECHECK_DELAY.to_duration()).await;
    check_server(target).await
}

/// Returns `true` if the address refused a connection. A connection that is refused while it is being opened has no peer.
fn is_refusal(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused | io::ErrorKind::NotConnected
    )
}
