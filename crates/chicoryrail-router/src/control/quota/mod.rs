//! How many requests of an organisation run over all hosts. Changes tokens alone.

mod leases;

pub(crate) use leases::QuotaPools;
pub(crate) use leases::answer_report;
pub(crate) use leases::report_use;
pub(crate) use leases::take_grants;
