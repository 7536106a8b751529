//! Stand-ins of the platform, fault-injecting proxy, load generator, checker.
