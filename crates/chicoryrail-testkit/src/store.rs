//! A stand-in for the platform's key-value store, served over HTTP.

mod control;
mod fault;
mod kv;
mod rate_limiter;
mod server;
mod state;
mod watch_guard;

pub use fault::StoreFault;
pub use kv::Change;
pub use kv::Kv;
pub use kv::TxnError;
pub use server::StoreServer;
pub use state::StoreOptions;
pub use state::StoreStats;
