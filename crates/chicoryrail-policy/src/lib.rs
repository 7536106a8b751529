//! The decisions of chicoryrail, pure: time and random numbers come in as arguments.
