//! Messages on organisations' rate limits between schedulers and the leader.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::HostName;
use chicoryrail_core::OrganisationName;
use chicoryrail_policy::QuotaGrant;
use chicoryrail_policy::QuotaReport;

/// Report of a scheduler on its quota tokens.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct QuotaReports {
    pub(crate) host: HostName,
    /// Whether the host is standalone: it spends its own share of each limit, because the leader has stopped answering
    /// it.
    pub(crate) lone: bool,
    pub(crate) reports: Vec<(OrganisationName, QuotaReport)>,
    /// Number that identifies the process of the host. A host of an earlier version reads what precedes it.
    pub(crate) instance: u64,
}

/// Quota tokens that the leader grants to a host.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct QuotaGrants {
    /// Term of the leader.
    pub(crate) term: u64,
    pub(crate) grants: Vec<(OrganisationName, QuotaGrant)>,
    /// Process to whose report this replies. A host of an earlier version reads what precedes it.
    pub(crate) instance: u64,
}
