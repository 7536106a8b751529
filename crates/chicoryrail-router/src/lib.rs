//! The router process of an entry host.
//!
//! The router receives callers' HTTP requests, finds the service by host and path, selects a server and forwards
//! the request to it. It learns the configuration, the servers and the owners of keys from watches of the store and
//! from the other hosts. One host at a time is the leader: it assigns the keys of keyed services to servers and sends
//! the assignment to the other hosts.
//!
//! # Example
//!
//! ```
//! let options = chicoryrail_router::options().run_inner(&["--metrics-port", "9464"][..]).unwrap();
//! assert_eq!(options.metrics_port, Some(9464));
//! ```
//!
//! [`run`] is the entry point of the process. The modules of `route/` serve requests, those of `state/` hold the shared
//! state, those of `messages/` define the messages between hosts, and those of `control/` communicate with the store,
//! the other hosts and the servers' control endpoints.

mod control;
mod listeners;
mod log_line;
mod maintenance;
mod messages;
mod options;
mod route;
mod run;
mod state;

pub use options::Options;
pub use options::options;
pub use run::RunError;
pub use run::run;
pub use run::run_from_args;
