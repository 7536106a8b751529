//! The stand-in of the platform's key-value service.

mod fault;
mod kv;
mod rate;
mod server;

pub use fault::StoreFault;
pub use kv::Change;
pub use kv::Kv;
pub use kv::TxnError;
pub use server::StoreOptions;
pub use server::StoreServer;
pub use server::StoreStats;
