//! What hosts that schedule and the leader exchange on organisations' limits.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::HostName;
use chicoryrail_core::OrganisationName;
use chicoryrail_policy::QuotaGrant;
use chicoryrail_policy::QuotaReport;

/// What a host that schedules says of its tokens.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct QuotaReports {
    pub(crate) host: HostName,
    /// Whether it spends its own part of each limit, since the leader did not answer it for a while.
    pub(crate) lone: bool,
    pub(crate) reports: Vec<(OrganisationName, QuotaReport)>,
}

/// Tokens that the leader gives to a host.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct QuotaGrants {
    /// Term of the leader.
    pub(crate) term: u64,
    pub(crate) grants: Vec<(OrganisationName, QuotaGrant)>,
}
