//! Keeps blocked requests in the store, past the hosts that blocked them.

use std::rc::Rc;

use chicoryrail_core::Fingerprint;
use chicoryrail_core::Millis;
use chicoryrail_ownership::store_key::CRASHES;
use chicoryrail_ownership::store_key::crash_key;
use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::StoreError;
use chicoryrail_platform::Txn;
use chicoryrail_policy::CrashRecord;
use chicoryrail_policy::Standing;
use monoio::time::timeout;

use crate::control::config_feed::store_call;
use crate::control::crashes::read_record;
use crate::state::Router;

/// Longest time until a block that could not be written is written again.
const WRITE_INTERVAL: Millis = Millis(1_000);

/// Largest number of blocked requests in the store.
const STORED_MAX: usize = 256;

/// Writes blocks, and their dismissals, while this host leads.
pub(crate) async fn store_blocks(router: Rc<Router>) {
    loop {
        let seen = router.crashes.changed.version();
        if router.leading_term.get() > 0 && router.store_up.get() {
            for (request, record) in unstored(&router) {
                if let Err(e) = write(&router, request, &record).await {
                    log::info!(fingerprint:% = request, error:% = e; "block_unwritten");
                    break;
                }
            }
        }
        let changed = router.crashes.changed.wait_past(seen);
        let _ = timeout(WRITE_INTERVAL.to_duration(), changed).await;
    }
}

/// Returns the blocked requests that the store does not have, and the stored ones that were dismissed.
fn unstored(router: &Router) -> Vec<(Fingerprint, CrashRecord)> {
    let table = router.crashes.table.borrow();
    let view = router.store_view.borrow();
    let records = table.records().filter(|(request, record)| {
        let stored = view.own(&crash_key(*request));
        let stored = stored.and_then(|item| read_record(&item.value));
        match stored {
            None => record.standing() == Standing::Blocked,
            Some(stored) => {
                record.epoch > stored.epoch
                    || record.epoch == stored.epoch && record.standing() != stored.standing()
            }
        }
    });
    records
        .map(|(request, record)| (request, record.clone()))
        .collect()
}

async fn write(
    router: &Router,
    request: Fingerprint,
    record: &CrashRecord,
) -> Result<(), StoreError> {
    let value = serde_json::to_vec(record).unwrap_or_default();
    let key = crash_key(request);
    let stored = router
        .store_view
        .borrow()
        .own(&key)
        .map(|item| item.revision);
    let key = format!("{OWN_PREFIX}{key}");
    // An operator may have dismissed the block meanwhile.
    let mut txn = Txn::default()
        .expect(&key, stored.unwrap_or(0))
        .put(&key, &value);
    if let Some(oldest) = surplus(router) {
        txn = txn.remove(&format!("{OWN_PREFIX}{oldest}"));
    }
    store_call(router, "block", router.store.commit(&txn)).await?;
    log::info!(fingerprint:% = request, service:% = record.service, standing:? = record.standing();
        "block_written");
    Ok(())
}

/// Returns the stored block that changed longest ago if there are as many as the store may have.
fn surplus(router: &Router) -> Option<String> {
    let view = router.store_view.borrow();
    let stored: Vec<_> = view.own_with_prefix(CRASHES).collect();
    if stored.len() < STORED_MAX {
        return None;
    }
    let oldest = stored.into_iter().min_by_key(|(_, item)| item.revision);
    oldest.map(|(key, _)| key.to_owned())
}
