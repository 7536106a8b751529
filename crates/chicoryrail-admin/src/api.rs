//! Messages of the API, shared with `chicoryctl`.

use std::collections::BTreeMap;

use chicoryrail_core::DcName;
use chicoryrail_core::Digest;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::OperatorName;
use chicoryrail_core::Outs;
use chicoryrail_core::ServerName;
use chicoryrail_core::TeamName;
use chicoryrail_wire::HostState;
use chicoryrail_wire::Role as ProgramRole;
use serde::Deserialize;
use serde::Serialize;

/// What is known of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleView {
    /// Digest of its text.
    pub digest: Digest,
    /// Team that owns it.
    pub team: TeamName,
    /// Operator who put it.
    pub author: OperatorName,
    /// Operator who signed it off.
    pub signer: Option<OperatorName>,
    /// Number of services.
    pub services: usize,
    /// Number of servers over all services.
    pub servers: usize,
    /// Whether the head names it for its team.
    pub in_force: bool,
}

/// Answers `GET /v1/bundles`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleList {
    /// The bundles, by team and digest.
    pub bundles: Vec<BundleView>,
}

/// Body of `POST /v1/bundles/{digest}/signatures`; the signer is the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignBody {
    /// The ed25519 signature over the digest's 64 characters, in base64.
    pub signature: String,
}

/// Body of `POST /v1/rolls`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollBody {
    /// The bundle to bring into force for its team.
    pub digest: String,
    /// Version that must be in force; where it is not, another change was faster.
    #[serde(default)]
    pub expect: Option<u64>,
}

/// Body of `POST /v1/{data-centres,hosts,servers}/{name}/{out,in}`; may be empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveBody {
    /// Goes on where the rest could not bear the load.
    #[serde(default)]
    pub force: bool,
}

/// Answers a roll or a move: the change is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that carries the change.
    pub version: u64,
    /// Whether nothing changed because it was already so.
    pub unchanged: bool,
    /// What the operator should know: which load the rest takes over.
    pub warnings: Vec<String>,
    /// Whether it is in force everywhere.
    pub pending: PendingView,
}

/// Answers `GET /v1/pending`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingView {
    /// Version asked about.
    pub version: u64,
    /// Whether every live host has it in force, a majority reported it twice, and every silent host
    /// was silent since for longer than anything that it holds can be valid; never reverts.
    pub accepted: bool,
    /// Who keeps it from being accepted.
    pub missing: Vec<Missing>,
}

/// A process that does not have a version in force yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// Host of the process.
    pub host: HostName,
    /// Which process; `None` where it is the whole host.
    pub program: Option<ProgramRole>,
    /// Version that it has in force; `None` where that is not known.
    pub version: Option<u64>,
    /// For how long it has been silent; 0 where no controller that answers has heard it.
    pub silent_ms: Millis,
}

/// Answers `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// Version in force.
    pub version: u64,
    /// Where the answer was read from.
    pub source: Source,
    /// Bundle in force for each team.
    pub bundles: BTreeMap<TeamName, Digest>,
    /// What is out of service.
    pub outs: Outs,
    /// Whether the platform's host list answered.
    pub listed: bool,
    /// The hosts.
    pub hosts: Vec<HostView>,
}

/// Where a configuration was read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The platform's store.
    Store,
    /// Controllers, since the store does not answer.
    Controllers,
}

/// A host as the host list and the controllers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostView {
    /// Name of the host.
    pub name: HostName,
    /// Its data centre.
    pub data_centre: DcName,
    /// Whether the host list has it.
    pub listed: bool,
    /// Whether the list or the head says that it leaves.
    pub leaving: bool,
    /// Shards that its controller holds; `None` where the controller did not answer.
    pub shards: Option<usize>,
    /// Its processes, as far as anybody heard from them.
    pub programs: Vec<ProgramView>,
}

/// A process as the controllers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramView {
    /// Which process.
    pub program: ProgramRole,
    /// Random number of its run.
    pub instance: u64,
    /// Whether it takes new work.
    pub state: HostState,
    /// Version that it has in force.
    pub version: u64,
    /// Shortest time since a controller heard from it.
    pub silent_ms: Millis,
}

/// Answers `GET /v1/owner`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerView {
    /// The shard that controls the key.
    pub shard: String,
    /// Host whose controller holds the shard.
    pub holder: HostName,
    /// Fence of the table, epoch and version.
    pub fence: String,
    /// Position of the key, 16 hexadecimal characters.
    pub position: String,
    /// Slice of the key.
    pub slice: String,
    /// Whether the slice moves now.
    pub moving: bool,
    /// Server that owns the key.
    pub server: ServerName,
    /// Data centre of the server.
    pub data_centre: DcName,
    /// State of the server.
    pub state: String,
    /// Host of the gate that speaks to the server; `None` while no gate may.
    pub gate: Option<HostName>,
}

/// Answers `GET /v1/bundles/{a}/diff/{b}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiffView {
    /// Digest of the older bundle.
    pub before: Digest,
    /// Digest of the newer bundle.
    pub after: Digest,
    /// Fields that differ, sorted.
    pub changes: Vec<FieldChange>,
}

/// A field that differs between two bundles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldChange {
    /// Path of the field, for example `service[kits].server[kits-1].weight`.
    pub field: String,
    /// Value before; `None` where the field is new.
    pub before: Option<String>,
    /// Value after; `None` where the field is gone.
    pub after: Option<String>,
}
