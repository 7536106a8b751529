//! Statistics of a request at this host.

use std::net::SocketAddr;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

/// Statistics of a request at this host, logged when the request ends.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestStats {
    /// Server to which the request was last assigned.
    pub(crate) server: Option<Life>,
    /// When the request was last assigned to a server.
    pub(crate) assigned_at: Millis,
    /// Remaining warm-up of that server by this host's view; zero for a server that it took as warm.
    pub(crate) warmup_left: Millis,
    /// Number of times that the request was assigned to a server, including servers that could not be reached.
    pub(crate) sends: u32,
    /// Total time for which the request waited for a server.
    pub(crate) waited: Millis,
    /// Whether the scheduler made the last decision. If not, this host selected the server by its own view of the load.
    pub(crate) decided_by_scheduler: bool,
    /// Number of sends that the server may have executed.
    pub(crate) possible_runs: u32,
    /// Whether a server's response to the request was far longer than all others of the route.
    pub(crate) had_unusual_response: bool,
    /// Host that was last asked to pass the request on; `None` if it was only sent directly.
    pub(crate) via: Option<SocketAddr>,
}
