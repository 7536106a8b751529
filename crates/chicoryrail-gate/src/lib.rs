//! The entry process: admits, queues, routes and retries callers' requests.
//!
//! Callers speak HTTP/1.1 to it. It finds the server that owns the request's key, sends the request
//! there under valid routes only, or through the gate that holds the server's slots, and streams the
//! answer back. Orders are claimed before they are sent, so that each runs at most once.
//!
//! # Example
//!
//! ```
//! let args = ["--host", "h1", "--data-centre", "north", "--host-list", "127.0.0.1:7001",
//!     "--callers", "127.0.0.1:0", "--inner", "127.0.0.1:0", "--observe", "127.0.0.1:0"];
//! let settings = chicoryrail_gate::settings().run_inner(&args[..]).unwrap();
//! assert_eq!(settings.host.host.as_str(), "h1");
//! ```
//!
//! Go on with [`settings`] and [`Limits`] for what can be set, and [`run`] for the process.

mod answer_body;
mod asserts;
mod call;
mod caller;
mod config_task;
mod counters;
mod dispatch;
mod forward;
mod free;
mod gate;
mod headers;
mod hedge;
mod hosts;
mod inner;
mod lane;
mod order;
mod order_body;
mod placement;
mod refusal;
mod route_task;
mod run;
mod send;
mod server;
mod service;
mod settings;
mod shard;
mod tables;
mod trace;
mod tracked;
mod way;

pub use placement::Placement;
pub use placement::PlacementError;
pub use run::run;
pub use run::run_from_args;
pub use settings::Limits;
pub use settings::Settings;
pub use settings::settings;
