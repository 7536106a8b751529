//! Starts a whole deployment as real processes, for tests, the demo and chaos runs, and stops it afterwards.

mod control;
mod deployment;
mod error;
mod harness;
mod http;
mod leader;
mod links;
mod member;
mod operator;
mod options;
mod organisations;
mod plan;
mod ports;
mod process;
mod stand_ins;

pub use deployment::Deployment;
pub(crate) use deployment::LONG_WAIT_TIMEOUT;
pub use deployment::ServicePlan;
pub use error::ClusterError;
pub use harness::Cluster;
pub use http::call_blocking;
pub(crate) use http::responds_ok;
pub(crate) use leader::leader_name;
pub use links::Links;
pub use member::HostPlan;
pub use member::Member;
pub use member::TargetPlan;
pub use operator::Operator;
pub use options::ClusterOptions;
pub use ports::free_addr;
pub use ports::spawn_process;
