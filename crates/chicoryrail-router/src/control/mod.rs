//! Coordination between hosts: membership, distribution of store data, leader election, request scheduling and
//! organisations' quotas.

mod config_feed;
mod crashes;
mod gossip;
mod key_announcements;
mod leader;
mod membership;
mod quota;
pub(crate) mod scheduling;
mod store_blocks;
mod traffic;

pub(crate) use config_feed::follow_feeds;
pub(crate) use config_feed::follow_leader_keys;
pub(crate) use config_feed::follow_relay;
pub(crate) use config_feed::serve_relay;
pub(crate) use config_feed::verify_config;
pub(crate) use crashes::PROBE_PATH;
pub(crate) use crashes::Probe;
pub(crate) use crashes::ServerCheck;
pub(crate) use crashes::begin_probe;
pub(crate) use crashes::check_server;
pub(crate) use crashes::recheck_server;
pub(crate) use crashes::record_complete;
pub(crate) use crashes::record_end;
pub(crate) use crashes::serve_probe;
pub(crate) use crashes::spread_news;
pub(crate) use gossip::Gossip;
pub(crate) use leader::KeyLeaders;
pub(crate) use leader::LeaderTerm;
pub(crate) use leader::RENEWALS_PATH;
pub(crate) use leader::Renewals;
pub(crate) use leader::follow_renewal_orders;
pub(crate) use leader::run_election;
pub(crate) use leader::run_renewals;
pub(crate) use leader::serve_renewals;
pub(crate) use membership::register_core_host;
pub(crate) use membership::select_source;
pub(crate) use quota::QuotaPools;
pub(crate) use quota::report_quota_use;
pub(crate) use store_blocks::store_blocks;
pub(crate) use traffic::report_traffic;
