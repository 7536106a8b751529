//! An operator's rule for traffic.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::traffic::LimitRule;
use crate::traffic::PinRule;
use crate::traffic::ServerRule;

/// An operator's rule for traffic, as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum TrafficRule {
    /// Admits only a share of some requests.
    Limit(LimitRule),
    /// Gives a server only a share of its slots and key weight.
    Server(ServerRule),
    /// Keeps a range of keys with a server.
    Pin(PinRule),
}

impl TrafficRule {
    /// Returns the rule's id, which its subject determines: a new rule for the same subject replaces the former one.
    #[must_use]
    pub fn id(&self) -> String {
        match self {
            Self::Limit(LimitRule {
                service, limited, ..
            }) => format!("limit.{service}.{limited}"),
            Self::Server(ServerRule { server, .. }) => format!("server.{server}"),
            Self::Pin(PinRule {
                service,
                first,
                last,
                ..
            }) => format!("pin.{service}.{first}-{last}"),
        }
    }
}

impl fmt::Display for TrafficRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Limit(LimitRule {
                service,
                limited,
                share,
            }) => write!(f, "service {service}: admits {share} of {limited}"),
            Self::Server(ServerRule { server, share }) => {
                write!(f, "server {server}: {share} of its slots and key weight")
            }
            Self::Pin(PinRule {
                service,
                first,
                last,
                server,
            }) => write!(
                f,
                "service {service}: keys {first}-{last} stay with {server}"
            ),
        }
    }
}
