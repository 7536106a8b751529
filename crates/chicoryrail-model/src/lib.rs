//! Model checker of the protocol of leadership terms.
//!
//! Hosts, two servers, the store and the network between them are one [`State`]; at each [`Action`] one thing happens. The
//! decisions of a leader are those of the program: [`chicoryrail_ownership::term::LeaderClaim`],
//! [`chicoryrail_ownership::term::Supporter`] and [`chicoryrail_ownership::keys::KeyLeases`] run in each state. The
//! invariant is that two servers never own the key at the same time.
//!
//! The model has one clock, so clocks of different rates are not explored; nor are delegates that renew leases for the
//! leader, leases of the longer duration for outages, and services with more than one range of keys.
//!
//! # Example
//!
//! ```
//! use chicoryrail_model::Config;
//! use chicoryrail_model::Model;
//! use chicoryrail_model::Rule;
//! use chicoryrail_model::explore;
//!
//! let model = Model::new(Config::new(Rule::Recorded, 3));
//! let outcome = explore(&model, 3, 10_000, |_, _| {});
//! assert!(outcome.breach.is_none());
//! ```

mod action;
mod ages;
mod apply;
mod config;
mod cut;
mod disruptions;
mod explorer;
mod host;
mod host_set;
mod identity;
mod key_steps;
mod leader;
mod message;
mod message_steps;
mod model;
mod recovery;
mod relative_hasher;
mod rule;
mod server;
mod state;
mod steps;
mod store;
mod term_steps;
mod trace;

pub use action::Action;
pub use ages::Ages;
pub use config::Config;
pub use cut::Cut;
pub use disruptions::Disruptions;
pub use explorer::Outcome;
pub use explorer::Progress;
pub use explorer::explore;
pub use explorer::explore_from;
pub use host::Host;
pub use host::Role;
pub use host_set::HostSet;
pub use leader::HOSTS_MAX;
pub use leader::Leader;
pub use message::Message;
pub use model::Model;
pub use rule::Rule;
pub use server::Server;
pub use state::State;
pub use store::LeaderKey;
pub use store::Store;
