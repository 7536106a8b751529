//! Talk with the store, the other hosts and the servers' control.

mod elect;
mod follow;
mod gossip;
mod keep_keys;
mod key_calls;
mod presence;
pub(crate) mod scheduling;
mod tenure;

pub(crate) use elect::elect;
pub(crate) use follow::follow_all;
pub(crate) use gossip::Gossip;
pub(crate) use presence::be_present;
pub(crate) use tenure::Tenure;
