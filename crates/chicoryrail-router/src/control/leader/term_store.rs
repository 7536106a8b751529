//! The record of the last term in the store.

use chicoryrail_ownership::store_key::TERM;
use chicoryrail_ownership::term::TermRecord;
use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::StoreError;

use crate::control::config_feed::store_calls::store_call;
use crate::state::Router;

/// Record of the last term, as it was read.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredTerm {
    /// Revision of the record; 0 if there is none.
    pub(super) revision: u64,
    pub(super) record: Option<TermRecord>,
}

pub(super) fn term_store_key() -> String {
    format!("{OWN_PREFIX}{TERM}")
}

/// Reads the record of the last term.
///
/// # Errors
///
/// Returns an error if the store does not reply or the record can't be parsed.
pub(super) async fn read_term(router: &Router) -> Result<StoredTerm, StoreError> {
    let key = term_store_key();
    let Some(item) = store_call(router, "read_term", router.store.item(&key)).await? else {
        return Ok(StoredTerm::default());
    };
    let record = serde_json::from_slice(&item.value).map_err(|e| StoreError::Refused {
        message: format!("{key}: {e}"),
    })?;
    Ok(StoredTerm {
        revision: item.revision,
        record: Some(record),
    })
}

/// Reads the record of the last term at the start of this process, so that the host may reply to queries of leaders.
///
/// # Errors
///
/// Returns an error if the store does not reply or the record can't be parsed.
pub(crate) async fn read_last_term(router: &Router) -> Result<(), StoreError> {
    let stored = read_term(router).await?;
    if let Some(record) = &stored.record {
        let term = record.term_at(stored.revision);
        let known = router.peers.borrow().highest_term();
        if router
            .peers
            .borrow_mut()
            .observe_term(term, Some(&record.leader))
        {
            log::info!(term = term, from = "store", known = known; "term_heard");
        }
    }
    let mut supporter = router.supporter.get();
    supporter.record_read();
    router.supporter.set(supporter);
    Ok(())
}

/// Encodes a record as it is stored.
pub(super) fn encode_term(record: &TermRecord) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(record).map_err(|e| StoreError::Refused {
        message: e.to_string(),
    })
}
