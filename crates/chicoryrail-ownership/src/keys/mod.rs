//! Which server holds which keys, kept by one leader for servers that check fences themselves.
//!
//! A [`KeyRecord`] lies in the store and is changed by compare-and-swap before any grant under it goes
//! out. A [`Keeper`] is the leader's view of one service: it says which grants, releases and writes are
//! due and takes in how they ended. A [`Plan`] says which ranges of keys each server should hold.

mod claim;
mod draft;
mod due;
mod duty;
mod keeper;
mod key_load;
mod key_view;
mod line;
mod plan;
mod range_set;
mod record;
mod server_state;
mod timing;

pub use duty::Duty;
pub use duty::GrantEnd;
pub use duty::ReleaseEnd;
pub use keeper::Keeper;
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
