//! Leader election, and the leader's assignment of keys to servers.
//!
//! Only this module changes the leader's key, the key records and the servers' key leases.

mod call_log;
mod delegates;
mod elect;
mod grant_limit;
mod key_calls;
mod key_leader;
mod key_leaders;
mod leader_term;
mod pins;
mod plan_keys;
mod renewal_orders;
mod renewal_tasks;
mod renewals;
mod take_over;
mod term_queries;
mod term_store;
mod voters;

pub(crate) use elect::run_election;
pub(crate) use key_leaders::KeyLeaders;
pub(crate) use leader_term::LeaderTerm;
pub(crate) use renewal_orders::RENEWALS_PATH;
pub(crate) use renewal_orders::serve_renewals;
pub(crate) use renewal_tasks::follow_renewal_orders;
pub(crate) use renewal_tasks::run_renewals;
pub(crate) use renewals::Renewals;
pub(crate) use term_queries::apply_answer;
pub(crate) use term_queries::reply_to_query;
pub(crate) use term_store::read_last_term;
