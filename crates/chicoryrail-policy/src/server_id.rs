//! Identifiers of servers within this crate.

/// Number of a server, assigned by this process. Another process may assign another number to the same server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);
