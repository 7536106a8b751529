//! Blocked requests in the store.

use chicoryrail_ownership::store_key::CRASHES;
use chicoryrail_policy::CrashRecord;

use crate::control::crashes::news::merge_record;
use crate::state::Router;

/// Applies a block from the store.
pub(crate) fn apply_block(router: &Router, key: &str) {
    let request = key.strip_prefix(CRASHES).map(str::parse);
    let view = router.store_view.borrow();
    let Some(item) = view.own(key) else {
        return;
    };
    let (Some(Ok(request)), Some(record)) = (request, read_record(&item.value)) else {
        log::warn!(key = key; "bad_block");
        return;
    };
    drop(view);
    merge_record(router, request, &record, "store");
}

/// Decodes the value of a key; `None` if it is not a record.
pub(crate) fn read_record(value: &[u8]) -> Option<CrashRecord> {
    serde_json::from_slice(value).ok()
}
