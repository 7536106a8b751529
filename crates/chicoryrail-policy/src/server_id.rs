//! Identifiers of servers within this crate.

/// Identifies a server within one process. The caller assigns the numbers; they mean nothing to other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);
