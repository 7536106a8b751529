//! The load generator: callers that send requests and check the responses.

mod balancer;
mod call;
mod host;
mod mix;
mod paced_body;
mod pool;
mod run;
mod summary;

pub use call::CallRecord;
pub use call::CallerKind;
pub use call::Outcome;
pub use host::LoadHost;
pub use mix::LoadCaller;
pub use mix::LoadKind;
pub use mix::LoadService;
pub use run::Load;
pub use run::LoadOptions;
pub use run::Progress;
pub use summary::LoadSummary;
