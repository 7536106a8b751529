//! Pure state machines: who holds a shard, who owns a slice, what is in force.
