//! Pure state machines: who holds which keys, and what the hosts know of each other.
//!
//! Time and the answers of others come in as arguments; what has to be done goes out as values. There is
//! no socket, no task and no clock here, so that tests can run every interleaving.
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
//! Go on with [`keys::KeyLeases`] for what a leader does about keys, [`keys::KeyRecord`] for what the store
//! keeps of them, and [`Peers`] for the other hosts.

mod core_host;
pub mod keys;
mod peers;
mod reach;
pub mod store_key;
mod watchers;

pub use core_host::CoreHost;
pub use core_host::is_strong;
pub use core_host::joins_core;
pub use peers::HostState;
pub use peers::Peers;
pub use peers::SchedulerHost;
pub use reach::Reach;
