//! The process that holds shards: places slices, grants, hands off, witnesses.
//!
//! The decisions are the pure state machines of `chicoryrail-ownership`; this crate reads the clock,
//! makes the calls and feeds the results back.
//!
//! # Example
//!
//! ```
//! use chicoryrail_controller::Settings;
//!
//! let args: &[&str] = &["--host", "h1", "--data-centre", "a", "--host-list", "127.0.0.1:1"];
//! assert!(Settings::parser().run_inner(args).is_err());
//! ```
//!
//! Go on with [`Settings`] for what can be set, and [`run`] for the process.

mod asserts;
mod calls;
mod claims;
mod config;
mod controller;
mod copies;
mod deputy;
mod handler;
mod held;
mod keep;
mod members;
mod orders;
mod promises;
mod routes;
mod run;
mod settings;
mod shard;
mod signal;
mod store;
mod witnesses;

pub use controller::Controller;
pub use run::run;
pub use run::run_process;
pub use settings::Settings;
