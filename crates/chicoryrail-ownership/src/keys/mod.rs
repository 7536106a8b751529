//! Assignment of keys to servers by one leader. Servers refuse grants with an outdated fencing token, so a former
//! leader can't undo the grants of its successor.
//!
//! A [`KeyRecord`] is kept in the store. It is changed by compare-and-swap before any grant under it is sent.
//! [`KeyLeases`] is the leader's state machine for one service: it returns the grants, releases and writes that
//! are due, and the caller reports their outcomes to it. A [`Plan`] determines which key ranges each server
//! should own.

mod assignment;
mod busiest_keys;
mod call_outcome;
mod dedicated_servers;
mod delegation;
mod due;
mod hot_key;
mod incarnations;
mod key_action;
mod key_changes;
mod key_history;
mod key_leases;
mod key_load;
mod key_view;
mod lease;
mod lease_end;
mod load_curve;
mod merges;
mod move_reason;
mod pieces;
mod pin;
mod placement;
mod plan;
mod plan_policy;
mod range_set;
mod record;
mod record_change;
mod renewal;
mod renewed_server;
mod renewer;
mod server_state;
mod significant_moves;
mod smoothed_slowness;
mod take_over;
mod timing;

pub use delegation::DELEGATION_SERVERS_MIN;
pub use delegation::RenewalTask;
pub use key_action::GrantOutcome;
pub use key_action::KeyAction;
pub use key_action::ReleaseOutcome;
pub use key_changes::KeyChanges;
pub use key_history::KeyHistory;
pub use key_leases::KeyLeases;
pub use key_load::KeyLoad;
pub use key_load::LoadWindow;
pub use key_view::KeyOwner;
pub use key_view::KeyView;
pub use move_reason::MoveReason;
pub use pin::Pin;
pub use plan::KeyCandidate;
pub use plan::Moves;
pub use plan::Plan;
pub use plan::split_key_space;
pub use plan_policy::PlanPolicy;
pub use record::KeyRange;
pub use record::KeyRecord;
pub use record::OwnedRange;
pub use renewal::ConfirmedRenewal;
pub use renewal::FailedRenewal;
pub use renewal::Renewal;
pub use renewal::RenewalOrder;
pub use renewer::Renewer;
pub use timing::KeyTiming;
