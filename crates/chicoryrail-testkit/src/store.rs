//! The stand-in of the platform's key-value service.

mod control;
mod fault;
mod kv;
mod rate;
mod server;
mod state;
mod waiting;

pub use fault::StoreFault;
pub use kv::Change;
pub use kv::Kv;
pub use kv::TxnError;
pub use server::StoreServer;
pub use state::StoreOptions;
pub use state::StoreStats;
