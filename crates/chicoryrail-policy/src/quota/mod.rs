//! How many requests of an organisation run, summed over all hosts.
//!
//! One host, the leader, holds a [`QuotaPool`] for each organisation with a limit. The hosts that schedule lease tokens
//! from it ahead of need, in a [`QuotaShare`], so no request waits for a token. A host that can't reach them spends a
//! small part of its own, a [`LoneShare`].

mod allowance;
mod lone_share;
mod quota_pool;
mod quota_share;
mod refill;
mod sliding_window;

pub use allowance::Allowance;
pub use lone_share::LoneShare;
pub use quota_pool::PoolBound;
pub use quota_pool::QuotaPool;
pub use quota_share::LONE_AFTER;
pub use quota_share::QuotaGrant;
pub use quota_share::QuotaReport;
pub use quota_share::QuotaShare;
pub use quota_share::ShareBound;
