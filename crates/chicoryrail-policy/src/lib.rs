//! The decisions of chicoryrail under load, pure: time and random numbers come in as arguments.
//!
//! A [`Scheduler`] decides for all hosts which request goes to which server of a service, who waits and who is
//! refused. [`SharedServers`] picks for one host that can't ask it, among servers that others send to as
//! well. Nothing here opens a socket or reads a clock, so a test steps through any load in no time.
//!
//! # Example
//!
//! ```
//! use chicoryrail_core::Millis;
//! use chicoryrail_policy::Scheduler;
//! use chicoryrail_policy::SlotRequest;
//! use chicoryrail_policy::Placement;
//! use chicoryrail_policy::Decision;
//! use chicoryrail_policy::SlotState;
//! use chicoryrail_policy::ServerId;
//!
//! let now = Millis(10);
//! let mut scheduler = Scheduler::default();
//! scheduler.set(now, ServerId(0), SlotState::open(2));
//! let ask = SlotRequest {
//!     ticket: 1, rank: 0, aim: now + Millis(300), deadline: now + Millis(1_000), work_us: 5_000.0,
//!     key: None, not: Vec::new(), near: 0, large: false,
//! };
//! scheduler.ask(now, ask);
//! let verdicts = scheduler.poll(now, |_| Placement::Any);
//! assert_eq!(verdicts, [(1, Decision::Send(ServerId(0)))]);
//! ```
//!
//! [`KeyIndex`] and [`Freshness`] tell whose request it is and whether that still holds; [`QuotaPool`] and
//! [`QuotaShare`] keep organisations within their limits over all hosts.
//!
//! Go on with [`ColdPace`] for cold servers, [`SharedRetries`] for repeats, and [`return_time`] for when a
//! refused caller comes back.

mod admission;
mod quota;
mod scheduler;
mod server_id;
mod shared;

pub use admission::Freshness;
pub use admission::KeyIndex;
pub use quota::Allowance;
pub use quota::LONE_AFTER;
pub use quota::LoneShare;
pub use quota::PoolBound;
pub use quota::QuotaGrant;
pub use quota::QuotaPool;
pub use quota::QuotaReport;
pub use quota::QuotaShare;
pub use quota::ShareBound;
pub use scheduler::Decision;
pub use scheduler::PartRooms;
pub use scheduler::Placement;
pub use scheduler::Scheduler;
pub use scheduler::SlotRelease;
pub use scheduler::SlotRequest;
pub use scheduler::SlotState;
pub use server_id::ServerId;
pub use shared::ColdPace;
pub use shared::Failure;
pub use shared::LoadReport;
pub use shared::RateNotice;
pub use shared::RetryBound;
pub use shared::ServerLimit;
pub use shared::SharedRetries;
pub use shared::SharedServers;
pub use shared::WeightedTurn;
pub use shared::return_time;
