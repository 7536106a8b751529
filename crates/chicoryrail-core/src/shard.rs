//! The unit of controllership.

use std::fmt;

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;

use crate::KeyHash;
use crate::ServiceName;

/// What one controller holds at a time: a section of a service, or a part of the order ids.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub enum ShardId {
    /// Section `part` of a service: a range of its key space and the servers dealt to it.
    Service {
        /// The service.
        service: ServiceName,
        /// Number of the section, from 0.
        part: u32,
    },
    /// Part `part` of the space of order ids, with the window of outcomes known for them.
    Orders {
        /// Number of the part, from 0.
        part: u32,
    },
}

impl ShardId {
    /// Returns the section of `service` that holds `key`, of `parts` sections.
    #[must_use]
    pub fn of_key(service: &ServiceName, key: KeyHash, parts: u32) -> Self {
        Self::Service {
            service: service.clone(),
            part: key.part(parts),
        }
    }

    /// Returns the part of the order ids that holds `order`, of `parts` parts.
    #[must_use]
    pub fn of_order(order: &str, parts: u32) -> Self {
        Self::Orders {
            part: KeyHash::of(order).part(parts),
        }
    }

    /// Returns the position that places the shard on a host by rendezvous.
    #[must_use]
    pub fn position(&self) -> KeyHash {
        KeyHash::of(&self.to_string())
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service { service, part } => write!(f, "svc.{service}.{part}"),
            Self::Orders { part } => write!(f, "orders.{part}"),
        }
    }
}
