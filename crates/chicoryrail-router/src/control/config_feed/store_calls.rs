//! Measured calls to the store, and whether it replies.

use std::time::Instant;

use chicoryrail_platform::StoreError;

use crate::state::Router;

/// Awaits a call to the store, and records its duration and whether the store replied.
///
/// # Errors
///
/// Returns the error of the call.
pub(crate) async fn store_call<T>(
    router: &Router,
    name: &str,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let started = Instant::now();
    let result = call.await;
    let seconds = started.elapsed().as_secs_f64();
    router
        .counters
        .store_time
        .with_label_values(&[name])
        .observe(seconds);
    record_store_call(router, name, result.as_ref().err());
    result
}

/// Records whether the store replied to a call, and logs when the store is down or has recovered.
pub(crate) fn record_store_call(router: &Router, call: &str, error: Option<&StoreError>) {
    let down = error.is_some_and(StoreError::is_outage);
    if down {
        router.store_lost.set(Some(router.now()));
    }
    let result = if down { "outage" } else { "answered" };
    router
        .counters
        .store_calls
        .with_label_values(&[call, result])
        .inc();
    if router.store_up.get() != down {
        return;
    }
    router.store_up.set(!down);
    router.feed_changed.notify();
    if let Some(e) = error.filter(|_| down) {
        log::warn!(call = call, error:% = e; "store_lost");
    } else {
        router.store_view.borrow_mut().record_recovery(router.now());
        router.store_recovered.notify();
        log::info!(call = call; "store_back");
    }
}
