//! Real processes of a whole deployment, started and stopped by a test or a chore.

mod control;
mod deployment;
mod error;
mod harness;
mod http;
mod links;
mod member;
mod operate;
mod options;
mod organisations;
mod plan;
mod platform;
mod ports;
mod process;

pub use deployment::Deployment;
pub use deployment::ServiceShape;
pub use error::ClusterError;
pub use harness::Cluster;
pub use http::call_blocking;
pub(crate) use http::is_ok;
pub use links::Links;
pub use member::HostPlan;
pub use member::Member;
pub use member::TargetPlan;
pub use operate::Operator;
pub use options::ClusterOptions;
pub use ports::free_port;
