//! Checks whether a server still accepts connections after one of them broke.

use std::io;

use chicoryrail_core::Millis;
use chicoryrail_runtime::check_address;
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

/// Opens a connection to a server beside those of its pool, whose broken ones may still count.
pub(crate) async fn check_server(target: &Target) -> ServerCheck {
    let checked = check_address(target.addr);
    match timeout(CHECK_TIMEOUT.to_duration(), checked).await {
        Ok(Ok(())) => ServerCheck::Accepted,
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => ServerCheck::Refused,
        Ok(Err(_)) | Err(_) => ServerCheck::Unknown,
    }
}

/// Checks again whether a server accepts connections, after a short time.
pub(crate) async fn recheck_server(target: &Target) -> ServerCheck {
    monoio::time::sleep(RECHECK_DELAY.to_duration()).await;
    check_server(target).await
}
