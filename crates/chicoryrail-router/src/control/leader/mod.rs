//! Leader election, and the leader's assignment of keys to servers.
//!
//! Only this module changes the leader's key, the key records and the servers' key leases.

mod elect;
mod key_calls;
mod key_leader;
mod leader_term;
mod plan_keys;

pub(crate) use elect::run_election;
pub(crate) use leader_term::LeaderTerm;
