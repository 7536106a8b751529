//! Servers that many hosts send to at the same time, without asking each other.
//!
//! A host knows exactly what it has in flight itself, and learns of the others' work from the load that
//! a server tells with each answer. [`SharedServers`] picks among the servers of a service, [`ColdPace`]
//! and [`SharedRetries`] keep a host to its part of a bound that holds over all hosts together.

mod cold_pace;
mod load_report;
mod retries;
mod return_time;
mod server_limit;
pub(crate) mod server_view;
mod servers;
mod weights;

pub use cold_pace::ColdPace;
pub use load_report::LoadReport;
pub use retries::RetryBound;
pub use retries::SharedRetries;
pub use return_time::return_time;
pub use server_limit::RateNotice;
pub use server_limit::ServerLimit;
pub use server_view::Failure;
pub use servers::SharedServers;
pub use weights::WeightedTurn;
