//! The process that holds shards: places slices, grants, hands off, witnesses.

fn main() {}
