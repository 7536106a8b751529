//! The configuration in force: a versioned head and the bundles it names.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;

use crate::Bundle;
use crate::DcName;
use crate::Digest;
use crate::HostName;
use crate::OperatorName;
use crate::ServerName;
use crate::Service;
use crate::ServiceName;
use crate::TeamName;

/// What operators have taken out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields, default)]
pub struct Outs {
    /// Data centres whose servers get no new work.
    pub data_centres: BTreeSet<DcName>,
    /// Entry hosts that leave.
    pub hosts: BTreeSet<HostName>,
    /// Single servers that get no new work.
    pub servers: BTreeSet<ServerName>,
}

/// The record that the store changes by compare-and-swap at every roll and every move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Version of the configuration; each change raises it by one.
    pub version: u64,
    /// Digest of the bundle in force for each team.
    pub bundles: BTreeMap<TeamName, Digest>,
    /// What is out of service.
    pub outs: Outs,
    /// Unique id of the attempt that wrote this version; settles a lost answer by reading back.
    pub attempt: String,
    /// Operator who asked for the change.
    pub author: Option<OperatorName>,
}

/// A head with the text of every bundle parsed: all that a process needs to apply a version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Config {
    /// The record of the version.
    pub head: Head,
    /// The bundle of each team.
    pub bundles: BTreeMap<TeamName, Bundle>,
}

impl Config {
    /// Returns the version of the configuration.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.head.version
    }

    /// Iterates over the services of all teams.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.bundles.values().flat_map(|b| b.services.iter())
    }

    /// Returns the service of that name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services().find(|s| s.name == *name)
    }

    /// Returns the number of parts of the order id space, at least 1.
    #[must_use]
    pub fn order_parts(&self) -> u32 {
        self.bundles
            .values()
            .map(|b| b.order_parts)
            .max()
            .unwrap_or(1)
            .max(1)
    }

    /// Tells whether operators have taken the server, or its data centre, out of service.
    #[must_use]
    pub fn is_out(&self, server: &ServerName, dc: &DcName) -> bool {
        self.head.outs.servers.contains(server) || self.head.outs.data_centres.contains(dc)
    }
}
