//! Which server holds which keys, kept by one leader for servers that check fences themselves.
//!
//! A [`KeyRecord`] lies in the store and is changed by compare-and-swap before any grant under it goes
//! out. A [`KeyLeases`] is the leader's view of one service: it says which grants, releases and writes are
//! due and takes in how they ended. A [`Plan`] says which ranges of keys each server should hold.

mod assignment;
mod claim;
mod due;
mod key_action;
mod key_leases;
mod key_load;
mod key_view;
mod load_curve;
mod plan;
mod range_set;
mod record;
mod server_state;
mod timing;

pub use key_action::GrantEnd;
pub use key_action::KeyAction;
pub use key_action::ReleaseEnd;
pub use key_leases::KeyLeases;
pub use key_load::KeyLoad;
pub use key_load::Window;
pub use key_view::KeyOwner;
pub use key_view::KeyView;
pub use plan::Holder;
pub use plan::Moves;
pub use plan::Plan;
pub use plan::recut;
pub use record::KeyRange;
pub use record::KeyRecord;
pub use record::OwnedRange;
pub use timing::KeyTiming;
