//! Calls to the store: counted, and settled where an answer was lost.

use std::cell::Cell;

use chicoryrail_core::Millis;
use chicoryrail_platform::KvStore;
use chicoryrail_platform::Record;
use chicoryrail_platform::Store;
use chicoryrail_platform::StoreError;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::Process;
use prometheus::IntCounterVec;

/// How long an answer shows that the store is there. A planned move takes some 100 ms.
const FRESH: Millis = Millis(500);

/// The platform's store as the controller calls it.
#[derive(Debug)]
pub(crate) struct CountedStore {
    store: KvStore,
    calls: IntCounterVec,
    process: Process,
    clock: Clock,
    up: Cell<bool>,
    told: Cell<Millis>,
    answered: Cell<Millis>,
}

/// What became of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Swap {
    /// It took effect and gave this version.
    Done(u64),
    /// The record has another version; nothing was written.
    Conflict,
    /// The store does not answer, and whether the write took effect is not known.
    Unsettled,
}

impl CountedStore {
    pub(crate) fn new(store: KvStore, process: &Process) -> Self {
        let calls = process.metrics.counters(
            "store_calls_total",
            "Calls to the platform's store, a waiting watch as one",
            &["call"],
        );
        Self {
            store,
            calls,
            process: process.clone(),
            clock: process.clock,
            up: Cell::new(true),
            told: Cell::new(Millis::ZERO),
            answered: Cell::new(Millis::ZERO),
        }
    }

    /// Tells whether the store has answered within [`FRESH`].
    pub(crate) fn is_fresh(&self) -> bool {
        let silent = self.clock.now().since(self.answered.get());
        self.up.get() && silent < FRESH
    }

    /// Tells whether the last call was answered.
    pub(crate) fn is_up(&self) -> bool {
        self.up.get()
    }

    pub(crate) async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        self.count("get");
        let result = self.store.get(key).await;
        self.seen(result.as_ref().err());
        result
    }

    pub(crate) async fn list(&self, prefix: &str) -> Result<Vec<Record>, StoreError> {
        self.count("list");
        let result = self.store.list(prefix).await;
        self.seen(result.as_ref().err());
        result
    }

    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Millis,
    ) -> Result<(u64, Vec<Record>), StoreError> {
        self.count("watch");
        let result = self.store.watch(prefix, after, wait).await;
        self.seen(result.as_ref().err());
        result
    }

    /// Writes a value that carries the unique text `attempt`.
    ///
    /// A lost answer is settled by reading back: the attempt in the record shows that the write took
    /// effect. Another value does not show the opposite while the version is still the expected
    /// one, since the write may be on its way; the same write is then sent once more, which can
    /// take effect at most once because the version is expected.
    pub(crate) async fn swap(&self, key: &str, expect: u64, value: &str, attempt: &str) -> Swap {
        for _ in 0..3 {
            self.count("swap");
            let result = self.store.swap(key, expect, value).await;
            self.seen(result.as_ref().err());
            match result {
                Ok(version) => return Swap::Done(version),
                Err(e) if !e.is_outage() && !matches!(e, StoreError::Conflict { .. }) => {
                    return Swap::Conflict;
                }
                Err(_) => {}
            }
            match self.get(key).await {
                Ok(Some(record)) if holds(&record, attempt) => return Swap::Done(record.version),
                Ok(Some(record)) if record.version != expect => return Swap::Conflict,
                Ok(None) if expect != 0 => return Swap::Conflict,
                _ => {}
            }
        }
        Swap::Unsettled
    }

    fn count(&self, call: &str) {
        self.calls.with_label_values(&[call]).inc();
    }

    fn seen(&self, error: Option<&StoreError>) {
        let down = error.is_some_and(StoreError::is_outage);
        if !down {
            self.answered.set(self.clock.now());
        }
        if down == self.up.get() {
            self.up.set(!down);
            let kind = if down {
                EventKind::StoreLost
            } else {
                EventKind::StoreBack
            };
            let since = self.clock.now().since(self.told.get());
            self.told.set(self.clock.now());
            let text = error.map_or_else(String::new, ToString::to_string);
            self.process
                .events
                .record(kind, "store", format!("after_ms={} {text}", since.0));
        }
    }
}

fn holds(record: &Record, attempt: &str) -> bool {
    record.value.as_ref().is_some_and(|v| v.contains(attempt))
}
