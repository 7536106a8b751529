//! Who leads, and who holds which keys. Changes the leader's key, key records and the servers' leases.

mod elect;
mod keep_keys;
mod key_calls;
mod leader_term;
mod plan_keys;

pub(crate) use elect::elect;
pub(crate) use leader_term::LeaderTerm;
