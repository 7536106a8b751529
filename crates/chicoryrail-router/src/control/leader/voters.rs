//! The voters of the term: selects them among the core hosts, and keeps their record in the store.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::CoreHost;
use chicoryrail_ownership::store_key::HOSTS;
use chicoryrail_ownership::term::TermRecord;
use chicoryrail_ownership::term::VoterCandidate;
use chicoryrail_ownership::term::Voters;
use chicoryrail_platform::StoreError;
use chicoryrail_platform::Txn;

use crate::control::config_feed::store_calls::store_call;
use crate::control::leader::leader_term::LeaderTerm;
use crate::control::leader::term_store::encode_term;
use crate::control::leader::term_store::read_term;
use crate::control::leader::term_store::term_store_key;
use crate::state::Router;

/// Time between two checks of the core hosts against the voters.
const VOTERS_CHECK_INTERVAL: Millis = Millis(250);

/// Time for which a voter must be missing among the core hosts before the voters change without another one having come:
/// a host that restarts costs no write.
const VOTER_GONE_TIME: Millis = Millis(2_000);

/// Changes the voters of a term as core hosts come and go.
pub(super) async fn maintain_voters(
    router: Rc<Router>,
    leadership: Rc<LeaderTerm>,
    term: u64,
    leader_store_key: String,
    mut revision: u64,
) {
    let mut differs_since = None;
    while leadership.term.get() == term {
        router.process.clock.sleep(VOTERS_CHECK_INTERVAL).await;
        let now = router.now();
        let selected = select_voters(&router);
        let highest_term = router.peers.borrow().highest_term();
        let change = leadership.with_claim(|claim| {
            let unsettled = claim.next_voters().cloned();
            if unsettled.is_none() && *claim.voters() == selected {
                differs_since = None;
                return None;
            }
            let since = *differs_since.get_or_insert(now);
            let has_joined = selected.names().any(|name| !claim.voters().contains(name));
            let is_due = has_joined || now.since(since) >= VOTER_GONE_TIME;
            let may_change = is_due && claim.may_change_voters(now, highest_term);
            unsettled.or(may_change.then_some(selected))
        });
        // A write with an unknown outcome is repeated until it is known: it may be stored later.
        let Some(next) = change.flatten() else {
            continue;
        };
        leadership.with_claim(|claim| claim.begin_voters(next.clone()));
        match write_voters(&router, term, &leader_store_key, revision, &next).await {
            Ok(written) => {
                revision = written;
                differs_since = None;
                leadership.with_claim(|claim| claim.voters_written());
                log::info!(term = term, voters = next.len(), revision = written;
                    "voters_written");
            }
            Err(e) if e.is_outage() => {
                log::info!(term = term, error:% = e; "voters_write_unsettled");
            }
            Err(e) => {
                log::warn!(term = term, error:% = e; "voters_not_written");
                if leadership.term.get() == term {
                    leadership.term.set(0);
                }
            }
        }
    }
}

/// Writes the voters on condition that this host still leads and the record is unchanged; returns the revision. After a
/// conflict that an earlier write of these voters may have caused, the record is read again.
async fn write_voters(
    router: &Router,
    term: u64,
    leader_store_key: &str,
    revision: u64,
    voters: &Voters,
) -> Result<u64, StoreError> {
    let record = TermRecord {
        term: Some(term),
        leader: router.boot().host.clone(),
        voters: voters.clone(),
    };
    let txn = Txn::default()
        .expect(leader_store_key, term)
        .expect(&term_store_key(), revision)
        .put(&term_store_key(), &encode_term(&record)?);
    let written = store_call(router, "write_voters", router.store.commit(&txn)).await;
    let Err(conflict @ StoreError::Conflict { .. }) = written else {
        return written;
    };
    let stored = read_term(router).await?;
    if stored.record == Some(record) {
        Ok(stored.revision)
    } else {
        Err(conflict)
    }
}

/// Selects the voters among this host and the core hosts that the store lists.
pub(super) fn select_voters(router: &Router) -> Voters {
    let boot = router.boot();
    let peers = router.peers.borrow();
    let view = router.store_view.borrow();
    let listed = view.own_with_prefix(HOSTS).filter_map(|(key, item)| {
        let host = key.strip_prefix(HOSTS)?.into();
        let entry = CoreHost::from_value(&item.value)?;
        let dc = match host == boot.host {
            true => Some(boot.dc.clone()),
            false => peers.dc_of(&host).cloned(),
        };
        Some(VoterCandidate {
            host,
            addr: entry.addr,
            dc,
        })
    });
    Voters::select(listed.collect())
}
