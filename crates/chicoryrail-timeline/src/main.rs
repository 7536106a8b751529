//! One ordered time line of the events of all processes.

fn main() {}
