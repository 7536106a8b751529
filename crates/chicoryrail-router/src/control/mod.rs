//! Coordination between hosts: membership, distribution of store data, leader election, request scheduling and
//! organisations' quotas.

mod config_feed;
mod gossip;
mod leader;
mod membership;
mod quota;
pub(crate) mod scheduling;

pub(crate) use config_feed::follow_all;
pub(crate) use config_feed::follow_relay;
pub(crate) use config_feed::prove_config;
pub(crate) use config_feed::relay;
pub(crate) use gossip::Gossip;
pub(crate) use leader::LeaderTerm;
pub(crate) use leader::elect;
pub(crate) use membership::be_present;
pub(crate) use membership::choose_source;
pub(crate) use quota::QuotaPools;
pub(crate) use quota::report_use;
