//! Follows the store.

use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_platform::KvStore;
use chicoryrail_platform::Snapshot;
use chicoryrail_platform::StoreError;
use futures_util::future::Either;
use futures_util::future::select;
use rand::Rng;

use crate::state::Router;

/// Longest wait of one watch. A connection that goes silent is noticed sooner by probes of the system or
/// by other calls; this bounds the time where a relay answers the probes.
const WATCH: Millis = Millis(10_000);

/// Pause after a watch that told something. Changes come in groups, and each answered watch of each host
/// is a call; what a change may take is counted in seconds, and keys that move are told by the leader.
const PAUSE: Millis = Millis(150);

/// Pause after a call that failed, at first and at most.
const BACK_OFF: Millis = Millis(100);
const BACK_OFF_MOST: Millis = Millis(800);

/// Follows everything in the store: configuration, servers, and the system's own keys.
pub(crate) async fn follow(router: Rc<Router>) {
    let mut pause = BACK_OFF;
    loop {
        match follow_once(&router, &mut pause).await {
            StoreError::HistoryGone { after } => {
                log::info!(after = after; "history_gone");
            }
            error => {
                note(&router, "watch", Some(&error));
                let jitter = rand::rng().random_range(0..=pause.0 / 4);
                router.process.clock.sleep(pause + Millis(jitter)).await;
                pause = pause.times(2).min(BACK_OFF_MOST);
            }
        }
    }
}

/// Reads everything and watches from there, until a call fails.
async fn follow_once(router: &Router, pause: &mut Millis) -> StoreError {
    let store = &router.store;
    let all = match read_all(store).await {
        Ok(all) => all,
        Err(e) => return e,
    };
    note(router, "snapshot", None);
    *pause = BACK_OFF;
    let told = router.view.borrow_mut().replace(router.now(), &all);
    router.believe(&told);
    loop {
        let after = router.view.borrow().revision;
        let returns = router.store_returns.count();
        let watch = pin!(store.changes("", after, WATCH));
        let returned = pin!(router.store_returns.after(returns));
        let changes = match select(watch, returned).await {
            Either::Left((changes, _)) => changes,
            // The watch was sent before the outage: its connection may be silent for good.
            Either::Right(_) => continue,
        };
        let changes = match changes {
            Ok(changes) => changes,
            // The history is still there if the outage was short; the watch goes on from where it was.
            Err(e) if e.is_outage() => {
                note(router, "watch", Some(&e));
                router.process.clock.sleep(*pause).await;
                *pause = pause.times(2).min(BACK_OFF_MOST);
                continue;
            }
            Err(e) => return e,
        };
        note(router, "watch", None);
        *pause = BACK_OFF;
        let now = router.now();
        let told: Vec<_> = {
            let mut view = router.view.borrow_mut();
            view.revision = view.revision.max(changes.revision);
            let changes = changes.changes.iter();
            changes.filter_map(|c| view.apply(now, c)).collect()
        };
        let quiet = told.is_empty();
        router.believe(&told);
        if !quiet {
            router.process.clock.sleep(PAUSE).await;
        }
    }
}

async fn read_all(store: &KvStore) -> Result<Snapshot, StoreError> {
    store.snapshot("").await
}

/// Makes a call to the store, and notes its time and whether it was answered.
pub(crate) async fn call<T>(
    router: &Router,
    name: &str,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let started = Instant::now();
    let result = call.await;
    let seconds = started.elapsed().as_secs_f64();
    router
        .counters
        .store_took
        .with_label_values(&[name])
        .observe(seconds);
    note(router, name, result.as_ref().err());
    result
}

/// Notes whether the store answered a call, and logs when that changes.
pub(crate) fn note(router: &Router, call: &str, error: Option<&StoreError>) {
    let down = error.is_some_and(StoreError::is_outage);
    if down {
        router.store_lost.set(Some(router.now()));
    }
    let result = if down { "outage" } else { "answered" };
    router
        .counters
        .store
        .with_label_values(&[call, result])
        .inc();
    if router.store_up.get() != down {
        return;
    }
    router.store_up.set(!down);
    if let Some(e) = error.filter(|_| down) {
        log::warn!(call = call, error:% = e; "store_lost");
    } else {
        router.view.borrow_mut().store_back(router.now());
        router.store_returns.notify();
        log::info!(call = call; "store_back");
    }
}
