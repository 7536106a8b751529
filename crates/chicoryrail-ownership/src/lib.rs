//! Pure state machines for key ownership and for what the hosts know of each other.
//!
//! Time and the replies of other processes are arguments; the actions to perform are return values. There
//! are no sockets, tasks or clocks, so tests can run every interleaving.
//!
//! # Example
//!
//! ```
//! use chicoryrail_ownership::keys::KeyRange;
//!
//! let low = KeyRange { first: 0, last: 99 };
//! assert_eq!(KeyRange::ALL.without(low), [KeyRange { first: 100, last: 65_535 }]);
//! ```
//!
//! See [`keys::KeyLeases`] for how a leader manages keys, [`keys::KeyRecord`] for what is kept in the
//! store, [`term::LeaderClaim`] for which host may act as the leader, and [`Peers`] for the state of the other hosts.

mod core_host;
mod host_state;
pub mod keys;
mod peers;
mod reach;
mod scheduler_choice;
pub mod store_key;
pub mod term;
mod watchers;

pub use core_host::CoreHost;
pub use core_host::is_strong;
pub use core_host::should_join_core;
pub use host_state::HostState;
pub use peers::Peers;
pub use reach::DcReachability;
pub use scheduler_choice::SchedulerHost;
pub use scheduler_choice::select_renewer;
