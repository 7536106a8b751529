//! The one process of an entry host on a platform with a store.
//!
//! It takes callers' requests, finds the service by host and path, picks the server and sends the
//! request there itself. What it believes of the configuration, the servers and the owners of keys comes
//! from a watch of the store and from the other hosts. One host at a time leads: it keeps the keys of
//! keyed services and tells the others who holds them.
//!
//! # Example
//!
//! ```
//! let options = chicoryrail_router::options().run_inner(&["--metrics-port", "9464"][..]).unwrap();
//! assert_eq!(options.metrics_port, Some(9464));
//! ```
//!
//! Go on with [`run`] for the process. Modules below `route/` serve a request, those below `state/` hold
//! what is believed, those below `control/` talk to the store, the other hosts and the servers' control.

mod control;
mod log_line;
mod options;
mod route;
mod run;
mod state;
mod talk;

pub use options::Options;
pub use options::options;
pub use run::RunError;
pub use run::run;
pub use run::run_from_args;
