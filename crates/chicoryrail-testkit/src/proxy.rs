//! A TCP proxy that injects network faults.

mod connection;
mod fault;
mod link;
mod net;
mod serve;

pub use fault::LinkFault;
pub use link::Link;
pub use link::LinkStats;
pub use net::ProxyNet;
