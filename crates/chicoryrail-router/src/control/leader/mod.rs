//! Leader election, and the leader's assignment of keys to servers.
//!
//! Only this module changes the leader's key, the key records and the servers' key leases.

mod delegates;
mod elect;
mod grant_limit;
mod key_calls;
mod key_leader;
mod leader_term;
mod plan_keys;
mod renewals;

pub(crate) use delegates::RENEWALS_PATH;
pub(crate) use delegates::serve_renewals;
pub(crate) use elect::run_election;
pub(crate) use leader_term::LeaderTerm;
pub(crate) use renewals::Renewals;
pub(crate) use renewals::follow_renewal_orders;
pub(crate) use renewals::run_renewals;
