//! Assertions that stay enabled in production.

use std::fmt::Display;

use prometheus::IntCounterVec;

use crate::Invariant;
use crate::Metrics;

/// Environment variable that makes an invariant violation abort the process.
const ABORT_VAR: &str = "CHICORYRAIL_ABORT_ON_VIOLATION";

/// Counts and logs invariant violations. Clones share the counters.
///
/// In production the process continues: a violation means that the safeguard next to the assertion failed for
/// one request, and ending the process would fail all requests. If `CHICORYRAIL_ABORT_ON_VIOLATION` is `1`, as
/// in tests, the process aborts, so that no run misses a violation.
#[derive(Clone, Debug)]
pub struct Invariants {
    violations: IntCounterVec,
    abort_on_violation: bool,
}

impl Invariants {
    /// Registers one counter for each invariant, all at 0.
    #[must_use]
    pub fn new(metrics: &Metrics) -> Self {
        let violations = metrics.counter_family(
            "invariant_violations_total",
            "Invariant violations; each one is a bug in the program",
            &["invariant"],
        );
        for invariant in Invariant::ALL {
            let _ = violations.with_label_values(&[invariant.name()]);
        }
        Self {
            violations,
            abort_on_violation: std::env::var(ABORT_VAR).is_ok_and(|v| v == "1"),
        }
    }

    /// Reports a violation if `holds` is `false`, described by `detail`, which is called only then. Returns `holds`.
    pub fn check<D: Display>(
        &self,
        invariant: Invariant,
        holds: bool,
        detail: impl FnOnce() -> D,
    ) -> bool {
        if !holds {
            self.report(invariant, &detail().to_string());
        }
        holds
    }

    /// Asserts that `new` is greater than `old`. Returns whether it is.
    pub fn check_increases<T: PartialOrd + Display>(
        &self,
        invariant: Invariant,
        old: &T,
        new: &T,
    ) -> bool {
        self.check(invariant, new > old, || format!("old={old} new={new}"))
    }

    /// Returns the number of violations of `invariant`.
    #[must_use]
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.violations.with_label_values(&[invariant.name()]).get()
    }

    fn report(&self, invariant: Invariant, detail: &str) {
        self.violations.with_label_values(&[invariant.name()]).inc();
        log::error!(invariant = invariant.name(), detail = detail; "invariant_broken");
        if self.abort_on_violation {
            std::process::abort();
        }
    }
}
