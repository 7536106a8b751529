//! Step-driven measurements of the decisions under load, beside plain baselines.
//!
//! Nothing runs in real time: the decisions of `chicoryrail-policy` are called with the time of a
//! list of events, against small fake targets without sockets. The same seed gives the same
//! figures on every machine.
//!
//! # Example
//!
//! ```
//! let report = chicoryrail_bench::policy::run(Some("all-fail"), 1, 1).expect("a known case");
//! assert!(report.to_string().lines().last().is_some_and(|l| l.starts_with('{')));
//! ```
//!
//! Go on with [`policy`] for the cases and their limits.

pub mod policy;
