//! The start of a term: reads the key records and takes over the keys.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::KeyLeases;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::KeyTiming;
use chicoryrail_ownership::store_key;
use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::StoreError;
use chicoryrail_runtime::ChangeSignal;

use crate::control::config_feed::store_calls::store_call;
use crate::control::leader::key_leader::IDLE_CHECK_INTERVAL;
use crate::control::leader::key_leader::KeyLeader;
use crate::control::leader::key_leaders::KeyLeaders;
use crate::control::leader::leader_term::LeaderTerm;
use crate::state::Router;

/// Time after a store outage until the last grant made during it has expired: the duration of such a grant
/// ([`KeyTiming::outage_lease`], 10 s), and the time of a renewal that was in flight.
const OUTAGE_GRANT_EXPIRY: Millis = Millis(12_500);

/// Starts a [`KeyLeader`] for each keyed service, until the term ends.
pub(crate) async fn lead_keys(
    router: Rc<Router>,
    leadership: Rc<LeaderTerm>,
    leaders: Rc<KeyLeaders>,
    term: u64,
    leader_store_key: String,
) {
    let mut started: BTreeMap<ServiceName, ()> = BTreeMap::new();
    while leadership.term.get() == term {
        let keyed: Vec<_> = router.site().map_or_else(Vec::new, |site| {
            let keyed = site.services.iter().filter(|s| s.keyed);
            keyed.map(|s| s.name.clone()).collect()
        });
        for service in keyed {
            if started.contains_key(&service) {
                continue;
            }
            match take_over(&router, &leadership, term, &leader_store_key, &service).await {
                Ok(leader) => {
                    started.insert(service, ());
                    let leader = Rc::new(leader);
                    if leadership.term.get() == term {
                        leaders.add(Rc::clone(&leader));
                    }
                    monoio::spawn(leader.run());
                }
                Err(e) => log::warn!(service:% = service, error:% = e; "keys_not_read"),
            }
        }
        router.process.clock.sleep(IDLE_CHECK_INTERVAL).await;
    }
}

pub(super) fn record_store_key(service: &ServiceName) -> String {
    format!("{OWN_PREFIX}{}", store_key::record_key(service))
}

/// Reads the record of a service from the store and takes over its keys.
///
/// # Errors
///
/// Returns an error if the store does not reply or the record can't be parsed.
async fn take_over(
    router: &Rc<Router>,
    leadership: &Rc<LeaderTerm>,
    term: u64,
    leader_store_key: &str,
    service: &ServiceName,
) -> Result<KeyLeader, StoreError> {
    let item = store_call(
        router,
        "read_record",
        router.store.item(&record_store_key(service)),
    )
    .await?;
    let revision = item.as_ref().map_or(0, |i| i.revision);
    let record = match &item {
        None => KeyRecord::default(),
        Some(item) => serde_json::from_slice(&item.value).map_err(|e| StoreError::Refused {
            message: format!("{}: {e}", item.key),
        })?,
    };
    log::info!(service:% = service, term = term, fence = record.fence,
        spans = record.spans.len(), loose = record.loose.len(); "keys_taken_over");
    let now = router.now();
    let stored_fence = record.fence;
    // An earlier leader may take the store for lost although a host that does not vote reaches it.
    let votes = leadership.with_claim(|claim| claim.voted_before());
    let after_outage = votes != Some(true) || router.store_was_down(now, OUTAGE_GRANT_EXPIRY);
    let timing = KeyTiming::default();
    let leases = KeyLeases::take_over(record, timing, now, rand::random(), after_outage);
    Ok(KeyLeader {
        router: Rc::clone(router),
        leadership: Rc::clone(leadership),
        term,
        leader_store_key: leader_store_key.to_owned(),
        service: service.clone(),
        leases: RefCell::new(leases),
        history: RefCell::default(),
        revision: Cell::new(revision),
        last_grants: RefCell::default(),
        stored_fence: Cell::new(stored_fence),
        last_change_at: Cell::new(now),
        unmoved_at: Cell::default(),
        committing: Cell::new(false),
        doubts: Cell::new(false),
        delegates: RefCell::default(),
        grants_in_flight: Cell::new(0),
        call_ended: ChangeSignal::default(),
    })
}
