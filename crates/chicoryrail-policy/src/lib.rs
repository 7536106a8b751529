//! Scheduling, load balancing, quotas and admission of chicoryrail, without input or output.
//!
//! A [`Scheduler`] decides for all hosts which request goes to which server of a service, which requests wait and which
//! are refused. [`LocalBalancer`] selects servers for a host that can't reach the scheduler, and allows for the
//! requests that other hosts send to the same servers. Time and random numbers are arguments: nothing here opens a
//! socket or reads a clock, so tests can simulate any load without waiting.
//!
//! # Example
//!
//! ```
//! use chicoryrail_core::Millis;
//! use chicoryrail_policy::Scheduler;
//! use chicoryrail_policy::SlotRequest;
//! use chicoryrail_policy::Placement;
//! use chicoryrail_policy::Decision;
//! use chicoryrail_policy::ServerStatus;
//! use chicoryrail_policy::ServerId;
//!
//! let now = Millis(10);
//! let mut scheduler = Scheduler::default();
//! // A server with two slots.
//! scheduler.update_server(now, ServerId(0), ServerStatus::warm(2));
//! // The most urgent priority, and 5 ms of work at a usual server.
//! let request = SlotRequest {
//!     ticket: 1, priority: 0, latency_target: now + Millis(300), deadline: now + Millis(1_000),
//!     work_us: 5_000.0, key: None, excluded: Vec::new(), dc_index: 0, large_response: false,
//!     tolerates_waiting: false, caller_deadline: now + Millis(1_000), caller: 0, head: 0, route: 0, body_bytes: 0,
//! };
//! scheduler.enqueue(now, request);
//! let decisions = scheduler.poll(now, |_| Placement::Any);
//! assert_eq!(decisions, [(1, Decision::Send(ServerId(0)))]);
//! ```
//!
//! [`ApiKeyIndex`] finds the organisation of a request, [`Freshness`] checks that the configuration behind that index
//! is recent enough, and [`QuotaPool`] and [`QuotaShare`] keep organisations within their limits over all hosts.
//!
//! [`CrashTable`] finds requests that end each server that runs them, and [`ProbeLimiter`] lets suspected ones run one at a
//! time.
//!
//! [`UploadPlan`] decides whether an upload is admitted and how much of it is read before it takes a slot.
//!
//! [`TrafficRule`] is an operator's rule that limits requests or servers or pins keys, and [`ShareCounter`] admits the
//! share of requests that such a rule allows.
//!
//! See also [`RetryBudget`] for retries, and [`retry_after`] for the time that a refused caller is told to wait before it
//! retries.

mod admission;
mod crash;
mod local;
mod quota;
mod scheduler;
mod server_id;
mod traffic;
mod upload;

pub use admission::ApiKeyIndex;
pub use admission::Freshness;
pub use crash::CrashRecord;
pub use crash::CrashTable;
pub use crash::ProbeLimiter;
pub use crash::ProbeRequest;
pub use crash::Standing;
pub use local::AdvertisedLimit;
pub use local::AdvertisedRate;
pub use local::Failure;
pub use local::ForwarderLoad;
pub use local::LoadReport;
pub use local::LocalBalancer;
pub use local::PathChoice;
pub use local::RequestBounds;
pub use local::ResponseSizes;
pub use local::ResponseTime;
pub use local::ResponseTimes;
pub use local::RetryBudget;
pub use local::RetryLimits;
pub use local::SendPermit;
pub use local::ServerNotices;
pub use local::ServerPath;
pub use local::StopTimes;
pub use local::WeightedRoundRobin;
pub use local::Withheld;
pub use local::parse_backoff_time;
pub use local::retry_after;
pub use quota::PoolParams;
pub use quota::QUOTA_LEADER_TIMEOUT;
pub use quota::QuotaGrant;
pub use quota::QuotaPool;
pub use quota::QuotaReport;
pub use quota::QuotaShare;
pub use quota::QuotaTolerance;
pub use quota::ShareParams;
pub use quota::StandaloneShare;
pub use scheduler::CallerEvents;
pub use scheduler::Decision;
pub use scheduler::EndEvidence;
pub use scheduler::HeldRequest;
pub use scheduler::Placement;
pub use scheduler::RemoteFreeSlots;
pub use scheduler::Scheduler;
pub use scheduler::ServerStatus;
pub use scheduler::SlotRelease;
pub use scheduler::SlotRequest;
pub use server_id::ServerId;
pub use traffic::BusyKey;
pub use traffic::LimitRule;
pub use traffic::Limited;
pub use traffic::PinRule;
pub use traffic::RangeError;
pub use traffic::ServerRule;
pub use traffic::Share;
pub use traffic::ShareCounter;
pub use traffic::ShareError;
pub use traffic::SlowServer;
pub use traffic::TrafficRule;
pub use traffic::TrafficState;
pub use upload::UPLOAD_WINDOW_BYTES;
pub use upload::UploadPlan;
pub use upload::UploadReading;
