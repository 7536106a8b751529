//! Load balancing over servers that many hosts send to without coordination.
//!
//! A host knows its own requests in flight exactly, and learns of those of other hosts from the load that a server
//! reports with each answer. [`SharedServers`] selects among the servers of a service; [`ColdPace`] and
//! [`SharedRetries`] limit a host to its share of a bound that holds over all hosts together.

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
