//! Hash of the program's state relative to the current time.

use std::hash::Hasher;

use chicoryrail_core::Millis;
use siphasher::sip::SipHasher13;

use crate::model::EPOCH;

/// Greatest age that is told apart from greater ones.
const AGE_MAX: u64 = 1_000;

/// Hasher for which points in time count relative to the current time, and terms, tokens and durations count as they are.
#[derive(Debug)]
pub(crate) struct RelativeHasher {
    now: Millis,
    /// Age from which points in time are not told apart.
    age_max: Millis,
    hasher: SipHasher13,
}

impl RelativeHasher {
    pub(crate) fn new(now: Millis, age_max: Millis) -> Self {
        Self {
            now,
            age_max,
            hasher: SipHasher13::new(),
        }
    }
}

impl Hasher for RelativeHasher {
    fn finish(&self) -> u64 {
        self.hasher.finish()
    }

    fn write(&mut self, bytes: &[u8]) {
        self.hasher.write(bytes);
    }

    fn write_u64(&mut self, value: u64) {
        let value = match value < EPOCH.0 {
            true => value,
            false => relative(self.now, Millis(value), self.age_max),
        };
        self.hasher.write_u64(value);
    }
}

/// Returns a point in time relative to the current time, at least [`EPOCH`]; from `age_max` on, ages are the same.
pub(crate) fn relative(now: Millis, at: Millis, age_max: Millis) -> u64 {
    let base = EPOCH.0 + AGE_MAX;
    base + at.since(now).0 - now.since(at).min(age_max).0.min(AGE_MAX)
}
