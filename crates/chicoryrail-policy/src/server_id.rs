//! Names of servers within the decisions.

/// Names a server within one process, which deals the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);
