//! A limit on a server.

use chicoryrail_core::ServerName;
use serde::Deserialize;
use serde::Serialize;

use crate::traffic::Share;

/// Gives a server only a share of its slots and of its key weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerRule {
    /// The server.
    pub server: ServerName,
    /// Share of its slots and key weight.
    pub share: Share,
}
