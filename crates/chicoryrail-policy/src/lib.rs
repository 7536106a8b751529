//! Scheduling, load balancing, quotas and admission of chicoryrail, without input or output.
//!
//! A [`Scheduler`] decides for all hosts which request goes to which server of a service, which requests wait and which
//! are refused. [`SharedServers`] selects servers for one host that can't reach the scheduler, among servers that other
//! hosts send to as well. Time and random numbers are arguments: nothing here opens a socket or reads a clock, so a
//! test simulates any load without waiting.
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
//! let request = SlotRequest {
//!     ticket: 1, rank: 0, aim: now + Millis(300), deadline: now + Millis(1_000), work_us: 5_000.0,
//!     key: None, not: Vec::new(), near: 0, large: false,
//! };
//! scheduler.ask(now, request);
//! let decisions = scheduler.poll(now, |_| Placement::Any);
//! assert_eq!(decisions, [(1, Decision::Send(ServerId(0)))]);
//! ```
//!
//! [`KeyIndex`] finds the organisation of a request, [`Freshness`] checks that this is still up to date, and
//! [`QuotaPool`] and [`QuotaShare`] keep organisations within their limits over all hosts.
//!
//! See also [`ColdPace`] for servers that warm up, [`SharedRetries`] for retries, and [`return_time`] for the time
//! after which a refused caller retries.

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
