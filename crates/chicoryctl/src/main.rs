//! The operator's command line over the administration API.

fn main() {}
