//! The administration API: bundles, sign-off, roll, moves, status.

fn main() {}
