//! Pure state machines: who holds a shard, who owns a slice, what is in force.
//!
//! Time, random numbers and the answers of others come in as arguments; what has to be done goes out
//! as values. There is no socket, no task and no clock here, so that tests can run every
//! interleaving.
//!
//! # Example
//!
//! ```
//! use chicoryrail_core::Epoch;
//! use chicoryrail_core::Millis;
//! use chicoryrail_ownership::Holder;
//! use chicoryrail_ownership::Timing;
//!
//! let timing = Timing::STANDARD;
//! let holder = Holder::new(Epoch(1), vec!["h1".into()], Millis(0), Millis(0), &timing);
//! assert!(holder.may_act(Millis(500)));
//! assert!(!holder.may_act(Millis(600)));
//! ```
//!
//! Go on with [`Holder`] and [`Witness`] for who holds a shard, [`Section`] for who owns a slice,
//! [`OrderWindow`] for orders, and [`RollOut`] for what is in force.

mod assignment;
mod balance;
mod gate_routes;
mod holder;
pub mod keys;
mod members;
mod order_window;
mod peers;
mod placement;
mod ramp;
mod record;
mod roll_out;
mod section;
mod sessions;
pub mod store_key;
mod takeover;
mod timing;
mod witness;

pub use assignment::Assignment;
pub use assignment::Owned;
pub use balance::Balance;
pub use gate_routes::GateRoutes;
pub use holder::Confirmation;
pub use holder::Holder;
pub use holder::majority;
pub use members::Liveness;
pub use members::Members;
pub use order_window::Claim;
pub use order_window::OrderWindow;
pub use order_window::Outcome;
pub use peers::Peers;
pub use placement::Candidate;
pub use placement::Placement;
pub use placement::Shift;
pub use ramp::Ramp;
pub use ramp::Seen;
pub use record::AssignRecord;
pub use record::ShardRecord;
pub use roll_out::RollOut;
pub use roll_out::RollState;
pub use section::Act;
pub use section::GateSeat;
pub use section::Handoff;
pub use section::Routes;
pub use section::Section;
pub use section::ServerView;
pub use section::SliceView;
pub use section::Work;
pub use sessions::Answer;
pub use sessions::Health;
pub use sessions::Session;
pub use takeover::Takeover;
pub use timing::Timing;
pub use witness::Vote;
pub use witness::Witness;
