//! Load balancing over servers that many hosts send to without coordination.
//!
//! A host knows its own requests in flight exactly, and learns of those of other hosts from the load that a server
//! reports with each response. [`LocalBalancer`] selects among the servers of a service; [`RetryBudget`] limits a host to
//! its share of a limit that holds over all hosts together. [`ServerNotices`] bind each host on its own, whoever selects
//! the server.

mod advertised_limit;
mod backoff_time;
mod forwarder_choice;
mod load_report;
mod local_balancer;
mod request_bounds;
mod response_sizes;
mod response_times;
mod retry_after;
mod retry_budget;
mod server_notices;
mod server_path;
pub(crate) mod server_view;
mod weights;

pub use advertised_limit::AdvertisedLimit;
pub use advertised_limit::AdvertisedRate;
pub use backoff_time::parse_backoff_time;
pub use forwarder_choice::ForwarderLoad;
pub use load_report::LoadReport;
pub use local_balancer::LocalBalancer;
pub use request_bounds::RequestBounds;
pub use request_bounds::ResponseTime;
pub use request_bounds::StopTimes;
pub use response_sizes::ResponseSizes;
pub use response_times::ResponseTimes;
pub use retry_after::retry_after;
pub use retry_budget::RetryBudget;
pub use retry_budget::RetryLimits;
pub use server_notices::SendPermit;
pub use server_notices::ServerNotices;
pub use server_notices::Withheld;
pub use server_path::PathChoice;
pub use server_path::ServerPath;
pub use server_view::Failure;
pub use weights::WeightedRoundRobin;
