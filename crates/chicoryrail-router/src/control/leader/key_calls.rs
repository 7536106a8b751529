//! The calls that keeping keys takes: to the store, and to the servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::GrantEnd;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::KeyTiming;
use chicoryrail_ownership::keys::ReleaseEnd;
use chicoryrail_platform::KeyError;
use chicoryrail_platform::KeyGrant;
use chicoryrail_platform::StoreError;
use chicoryrail_platform::Txn;
use chicoryrail_runtime::Invariant;

use crate::control::config_feed::follow::call;
use crate::control::leader::keep_keys::KeyLeader;
use crate::control::leader::keep_keys::record_key;

/// Pause after a call to the store that failed.
const CALL_RETRY_INTERVAL: Millis = Millis(150);

impl KeyLeader {
    pub(super) async fn commit(self: Rc<Self>, record: KeyRecord) {
        let key = record_key(&self.service);
        let done = self.write(&key, &record).await;
        let now = self.router.now();
        match done {
            Ok(revision) => {
                let before = self.stored.replace(record.fence);
                let invariants = &self.router.process.invariants;
                invariants.rises(Invariant::FenceForward, &before, &record.fence);
                self.revision.set(revision);
                self.leases.borrow_mut().committed(now);
                log::info!(service:% = self.service, fence = record.fence, revision = revision,
                    loose = record.loose.len(); "keys_written");
            }
            Err(e) if e.is_outage() => {
                log::info!(service:% = self.service, error:% = e; "keys_write_unsettled");
                self.router.process.clock.sleep(CALL_RETRY_INTERVAL).await;
            }
            Err(e) => {
                log::warn!(service:% = self.service, error:% = e; "keys_not_written");
                self.end_term();
            }
        }
        self.committing.set(false);
        self.ended.notify();
    }

    fn end_term(&self) {
        if self.leadership.term.get() == self.term {
            self.leadership.term.set(0);
        }
    }

    /// Writes the record, while this host is the leader and nobody else changed it. A write whose answer
    /// was lost is found by its attempt.
    async fn write(&self, key: &str, record: &KeyRecord) -> Result<u64, StoreError> {
        let value = serde_json::to_vec(record).map_err(|e| StoreError::Refused {
            message: e.to_string(),
        })?;
        let txn = Txn::default()
            .expect(&self.leader_key, self.term)
            .expect(key, self.revision.get())
            .put(key, &value);
        let store = &self.router.store;
        let error = match call(&self.router, "write_record", store.commit(&txn)).await {
            Ok(revision) => return Ok(revision),
            Err(e) => e,
        };
        if !matches!(error, StoreError::Conflict { .. } | StoreError::Down { .. }) {
            return Err(error);
        }
        let item = call(&self.router, "read_record", store.item(key)).await?;
        let found = item.filter(|i| i.revision != self.revision.get());
        let ours = found.filter(|i| {
            let found = serde_json::from_slice::<KeyRecord>(&i.value);
            found.is_ok_and(|r| r.attempt == record.attempt)
        });
        ours.map(|i| i.revision).ok_or(error)
    }

    pub(super) async fn grant(self: Rc<Self>, life: Life, addr: SocketAddr, grant: KeyGrant) {
        let limit = KeyTiming::default().grant_limit;
        let (stored, invariants) = (self.stored.get(), &self.router.process.invariants);
        invariants.check(Invariant::StoredFirst, grant.fence <= stored, || {
            format!("fence={} stored={stored}", grant.fence)
        });
        let control = &self.router.control;
        let started = Instant::now();
        // This task runs after the one that started it; a process that was stopped in between may have
        // been replaced, and its order would be one that nobody reckons with.
        let result = if self.leadership.may_act(&self.router) {
            control.grant(addr, &life.name, &grant, limit).await
        } else {
            let reason = "not sent: the right to lead is no longer confirmed".to_owned();
            Err(KeyError::Silent { reason })
        };
        let (end, name) = match &result {
            Ok(()) => (GrantEnd::Held, "held"),
            Err(KeyError::FenceOld) => (GrantEnd::FenceOld, "fence_old"),
            Err(KeyError::OtherServer) => (GrantEnd::OtherServer, "other_server"),
            Err(KeyError::Silent { .. } | KeyError::Refused { .. }) => (GrantEnd::Silent, "silent"),
        };
        self.count("grant", name, started);
        if let Err(e) = &result {
            log::info!(server:% = life, service:% = self.service, fence = grant.fence,
                error:% = e; "grant_{name}");
        }
        let now = self.router.now();
        if result.is_ok() {
            self.note_confirmed(now, &life);
        }
        let span = KeyRange {
            first: grant.first,
            last: grant.last,
        };
        let mut leases = self.leases.borrow_mut();
        leases.granted(now, &life, span, grant.fence, end);
        self.ended.notify();
    }

    /// Notes a confirmed grant, and logs one that came late: half of a hold after the one before.
    fn note_confirmed(&self, now: Millis, life: &Life) {
        let before = self.confirmed.borrow_mut().insert(life.clone(), now);
        let late = before.map_or(Millis::ZERO, |at| now.since(at));
        if late > Millis(KeyTiming::default().hold.0 / 2) {
            log::info!(server:% = life, service:% = self.service, after_ms = late.0; "renewed_late");
        }
    }

    pub(super) async fn release(self: Rc<Self>, life: Life, addr: SocketAddr, grant: KeyGrant) {
        let limit = KeyTiming::default().release_limit;
        let control = &self.router.control;
        let started = Instant::now();
        let result = control.release(addr, &life.name, &grant, limit).await;
        let (end, name) = match &result {
            Ok(token) => (ReleaseEnd::Free(token.clone()), "free"),
            Err(KeyError::OtherServer) => (ReleaseEnd::OtherServer, "other_server"),
            Err(_) => (ReleaseEnd::Silent, "silent"),
        };
        self.count("release", name, started);
        log::info!(server:% = life, service:% = self.service, fence = grant.fence,
            first = grant.first, last = grant.last; "release_{name}");
        let now = self.router.now();
        let span = KeyRange {
            first: grant.first,
            last: grant.last,
        };
        self.leases.borrow_mut().released(now, &life, span, end);
        self.ended.notify();
    }

    fn count(&self, call: &str, result: &str, started: Instant) {
        let counters = &self.router.counters;
        counters.key_calls.with_label_values(&[call, result]).inc();
        let seconds = started.elapsed().as_secs_f64();
        counters
            .key_took
            .with_label_values(&[call])
            .observe(seconds);
    }
}
