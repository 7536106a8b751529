//! Every assumption about the platform, in one place.
//!
//! Three traits stand at the edge: the key-value store, the list of hosts, and the control of
//! targets. Each has one adapter that speaks HTTP and JSON; another protocol is one more adapter.
//!
//! # Example
//!
//! ```
//! use chicoryrail_platform::HttpStore;
//!
//! let store = HttpStore::new("127.0.0.1:7000".parse().unwrap());
//! assert_eq!(store.addr().port(), 7000);
//! ```
//!
//! Go on with [`Store`], [`HostList`] and [`Targets`], the three traits; [`StoreError`] tells what is known
//! after a call that failed.

mod host_list;
mod http_store;
mod http_target;
mod store;
mod target;

pub use host_list::HostEntry;
pub use host_list::HostList;
pub use host_list::HttpHostList;
pub use host_list::ListedState;
pub use http_store::CasBody;
pub use http_store::HttpStore;
pub use http_store::LeaseBody;
pub use http_store::WatchAnswer;
pub use http_target::HttpTargets;
pub use store::Record;
pub use store::Store;
pub use store::StoreError;
pub use target::GrantBody;
pub use target::LoadReport;
pub use target::ReleaseBody;
pub use target::SessionAnswer;
pub use target::SessionBody;
pub use target::TargetError;
pub use target::Targets;
pub use target::header;
