//! Talk with the store, the other hosts and the servers' control.

mod elect;
mod follow;
mod gossip;
mod keep_keys;
mod key_calls;
mod presence;
mod relay;
pub(crate) mod scheduling;
mod source;
mod tenure;

pub(crate) use elect::elect;
pub(crate) use follow::follow_all;
pub(crate) use gossip::Gossip;
pub(crate) use presence::be_present;
pub(crate) use relay::follow_relay;
pub(crate) use relay::relay;
pub(crate) use source::choose_source;
pub(crate) use tenure::Tenure;
