//! Requests that end the servers that run them.

mod crash_record;
mod crash_table;
mod probe_limiter;

pub use crash_record::CrashRecord;
pub use crash_record::Standing;
pub use crash_table::CrashTable;
pub use probe_limiter::ProbeLimiter;
pub use probe_limiter::ProbeRequest;
