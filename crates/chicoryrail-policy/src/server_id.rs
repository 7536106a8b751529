//! Identifiers of servers within this crate.

/// Identifies a server within one process. The process assigns the numbers; other processes use other ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);
