//! Rate limits of organisations over all hosts. Of the shared state, this module changes only quota tokens.

mod leases;

pub(crate) use leases::QuotaPools;
pub(crate) use leases::apply_grants;
pub(crate) use leases::reply_to_report;
pub(crate) use leases::report_quota_use;
