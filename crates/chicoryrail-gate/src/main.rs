//! The entry process: admits, queues, routes and retries callers' requests.

fn main() {}
