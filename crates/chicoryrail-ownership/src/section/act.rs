//! What a section's holder has to do.

use std::net::SocketAddr;

use chicoryrail_core::Fence;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::Slice;

/// A call that the driver makes and whose result it feeds back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Renew the session of a server, or open it without validity.
    Session {
        /// The server.
        server: ServerName,
        /// Its address.
        addr: SocketAddr,
        /// Fence of the call.
        fence: Fence,
        /// The server's own time to count from; `None` opens without validity.
        asof: Option<Millis>,
    },
    /// Replace the slices that a server holds.
    Grant {
        /// The server.
        server: ServerName,
        /// Its address.
        addr: SocketAddr,
        /// Fence of the grant.
        fence: Fence,
        /// The server's own time to count from.
        asof: Millis,
        /// The whole set.
        slices: Vec<Slice>,
    },
    /// Take slices from a server.
    Release {
        /// The server.
        server: ServerName,
        /// Its address.
        addr: SocketAddr,
        /// Fence of the release.
        fence: Fence,
        /// The slices.
        slices: Vec<Slice>,
    },
    /// Read the load report of a free service's server.
    Load {
        /// The server.
        server: ServerName,
        /// Its address.
        addr: SocketAddr,
    },
    /// Write the assignment that [`crate::Section::pending`] returns.
    Store,
}
