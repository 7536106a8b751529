//! Limits the number of requests of each organisation, summed over all hosts.
//!
//! One host, the leader, holds a [`QuotaPool`] for each organisation with a limit. Schedulers lease tokens from it
//! ahead of demand, each in a [`QuotaShare`], so that requests within the limit need not wait for a token. A host that
//! reaches no scheduler spends a small fraction of the limit on its own, a [`StandaloneShare`].

mod quota_pool;
mod quota_share;
mod quota_tolerance;
mod standalone_share;

mod sliding_window;
mod token_bucket;

pub use quota_pool::PoolParams;
pub use quota_pool::QuotaPool;
pub use quota_share::QUOTA_LEADER_TIMEOUT;
pub use quota_share::QuotaGrant;
pub use quota_share::QuotaReport;
pub use quota_share::QuotaShare;
pub use quota_share::ShareParams;
pub use quota_tolerance::QuotaTolerance;
pub use standalone_share::StandaloneShare;
