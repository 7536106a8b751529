//! The calls of the key leader: record writes to the store, grants and releases to servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::GrantOutcome;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::KeyTiming;
use chicoryrail_ownership::keys::ReleaseOutcome;
use chicoryrail_platform::GrantReply;
use chicoryrail_platform::KeyError;
use chicoryrail_platform::KeyGrant;
use chicoryrail_platform::StoreError;
use chicoryrail_platform::Txn;
use chicoryrail_runtime::Invariant;

use crate::control::config_feed::store_calls::store_call;
use crate::control::leader::call_log::GrantCall;
use crate::control::leader::key_leader::KeyLeader;
use crate::control::leader::take_over::record_store_key;

/// Delay before a record write with an indeterminate outcome may be retried.
const COMMIT_RETRY_DELAY: Millis = Millis(150);

impl KeyLeader {
    /// Writes a record to the store and applies the outcome: after an outage error the write is due again, and any
    /// other error ends the term.
    pub(super) async fn commit(self: Rc<Self>, record: KeyRecord) {
        let key = record_store_key(&self.service);
        let written = self.write(&key, &record).await;
        let now = self.router.now();
        match written {
            Ok(revision) => {
                let before = self.stored_fence.replace(record.fence);
                let invariants = &self.router.process.invariants;
                invariants.check_increases(Invariant::FenceForward, &before, &record.fence);
                self.revision.set(revision);
                self.leases.borrow_mut().record_written(now);
                log::info!(service:% = self.service, fence = record.fence, revision = revision,
                    loose = record.loose.len(); "keys_written");
            }
            Err(e) if e.is_outage() => {
                self.leases.borrow_mut().record_unsettled();
                log::info!(service:% = self.service, error:% = e; "keys_write_unsettled");
                self.router.process.clock.sleep(COMMIT_RETRY_DELAY).await;
            }
            Err(e) => {
                log::warn!(service:% = self.service, error:% = e; "keys_not_written");
                self.end_term();
            }
        }
        self.committing.set(false);
        self.call_ended.notify();
    }

    fn end_term(&self) {
        if self.leadership.term.get() == self.term {
            self.leadership.term.set(0);
        }
    }

    /// Writes the record on condition that this host still leads and the record is unchanged; returns the revision.
    ///
    /// After a lost reply, and after a conflict that an earlier write of the same record with a lost reply may have
    /// caused, the record is read again: its `attempt` shows whether it is this write.
    async fn write(&self, key: &str, record: &KeyRecord) -> Result<u64, StoreError> {
        let value = serde_json::to_vec(record).map_err(|e| StoreError::Refused {
            message: e.to_string(),
        })?;
        let txn = Txn::default()
            .expect(&self.leader_store_key, self.term)
            .expect(key, self.revision.get())
            .put(key, &value);
        let store = &self.router.store;
        let error = match store_call(&self.router, "write_record", store.commit(&txn)).await {
            Ok(revision) => return Ok(revision),
            Err(e) => e,
        };
        if !matches!(error, StoreError::Conflict { .. } | StoreError::Down { .. }) {
            return Err(error);
        }
        let item = store_call(&self.router, "read_record", store.item(key)).await?;
        let found = item.filter(|i| i.revision != self.revision.get());
        let own_write = found.filter(|i| {
            let found = serde_json::from_slice::<KeyRecord>(&i.value);
            found.is_ok_and(|r| r.attempt == record.attempt)
        });
        own_write.map(|i| i.revision).ok_or(error)
    }

    /// Sends a grant to a server and records its outcome.
    pub(super) async fn grant(self: Rc<Self>, life: Life, addr: SocketAddr, grant: KeyGrant) {
        let timeout = KeyTiming::default().grant_timeout;
        let (stored, invariants) = (self.stored_fence.get(), &self.router.process.invariants);
        invariants.check(Invariant::StoredFirst, grant.fence <= stored, || {
            format!("fence={} stored={stored}", grant.fence)
        });
        let control = &self.router.control;
        let (started, sent_at) = (Instant::now(), self.router.now());
        // This task may run some time after it was spawned. If the process was suspended meanwhile, another host may
        // lead by now, and that leader does not account for a grant that is sent this late.
        let mandate = self.leadership.mandate(&self.router);
        let result = if mandate.holds() {
            let (server, term) = (&life.name, self.term);
            control.grant(addr, server, term, &grant, timeout).await
        } else {
            // Reported like a grant without an answer: the other outcomes make a statement about the server.
            let reason = "not sent: leadership is no longer confirmed".to_owned();
            Err(KeyError::NoResponse { reason })
        };
        let (outcome, name) = grant_outcome(&result);
        let name = if mandate.holds() { name } else { "not_sent" };
        self.grants_in_flight.set(self.grants_in_flight.get() - 1);
        self.record_call_metrics("grant", name, started);
        let call = GrantCall {
            life: &life,
            addr,
            grant: &grant,
            mandate,
            sent_at,
        };
        self.log_grant(&call, name, &result);
        let now = self.router.now();
        if let Ok(reply) = result {
            self.record_grant(now, &life);
            if reply.draining {
                self.record_drain(now, &life);
            }
        }
        let span = KeyRange {
            first: grant.first,
            last: grant.last,
        };
        let mut leases = self.leases.borrow_mut();
        if outcome == GrantOutcome::OtherServer {
            self.log_server_ended(&leases, &life, name, addr);
        }
        leases.grant_finished(now, &life, span, grant.fence, outcome);
        // The leader also calls a server whose delegate is late; it keeps no connections to such servers.
        if leases.is_delegated(&life) {
            control.close_idle(addr);
        }
        self.call_ended.notify();
    }

    /// Records the time of a confirmed grant, and logs one that is late: more than half of a key lease after the
    /// previous one.
    fn record_grant(&self, now: Millis, life: &Life) {
        let before = self.last_grants.borrow_mut().insert(life.clone(), now);
        let gap = before.map_or(Millis::ZERO, |at| now.since(at));
        if gap > Millis(KeyTiming::default().lease.0 / 2) {
            log::info!(server:% = life, service:% = self.service, after_ms = gap.0; "renewed_late");
        }
    }

    /// Records that a server said in a response to a grant that it is draining. Its keys then go to other servers, also
    /// if the server can't reach the store to announce it there.
    pub(super) fn record_drain(&self, now: Millis, life: &Life) {
        let service = self.router.service(&self.service);
        if let Some(target) = service.target(life) {
            service.record_drain(now, &target, "grant");
        }
    }

    /// Sends a release to a server and records its outcome.
    pub(super) async fn release(self: Rc<Self>, life: Life, addr: SocketAddr, release: KeyGrant) {
        let timeout = KeyTiming::default().release_timeout;
        let control = &self.router.control;
        let started = Instant::now();
        let result = control.release(addr, &life.name, &release, timeout).await;
        let (outcome, name) = match &result {
            Ok(token) => (ReleaseOutcome::Released(token.clone()), "free"),
            Err(KeyError::OtherServer) => (ReleaseOutcome::OtherServer, "other_server"),
            Err(_) => (ReleaseOutcome::NoResponse, "silent"),
        };
        self.record_call_metrics("release", name, started);
        log::info!(server:% = life, service:% = self.service, addr:% = addr, term = self.term,
            fence = release.fence, first = release.first, last = release.last,
            took_ms = Millis::from(started.elapsed()).0; "release_{name}");
        let now = self.router.now();
        let span = KeyRange {
            first: release.first,
            last: release.last,
        };
        let mut leases = self.leases.borrow_mut();
        if matches!(outcome, ReleaseOutcome::OtherServer) {
            self.log_server_ended(&leases, &life, name, addr);
        }
        leases.release_finished(now, &life, span, outcome);
        self.call_ended.notify();
    }

    fn record_call_metrics(&self, call: &str, result: &str, started: Instant) {
        let counters = &self.router.counters;
        counters.key_calls.with_label_values(&[call, result]).inc();
        let seconds = started.elapsed().as_secs_f64();
        counters
            .key_time
            .with_label_values(&[call])
            .observe(seconds);
    }
}

/// Returns the outcome of a grant, and its name in logs and metrics. A refusal for a reason of its own counts as no
/// answer.
pub(super) const fn grant_outcome(
    result: &Result<GrantReply, KeyError>,
) -> (GrantOutcome, &'static str) {
    match result {
        Ok(_) => (GrantOutcome::Granted, "held"),
        Err(KeyError::StaleFence) => (GrantOutcome::StaleFence, "fence_old"),
        Err(KeyError::OtherServer) => (GrantOutcome::OtherServer, "other_server"),
        Err(KeyError::NoResponse { .. } | KeyError::Refused { .. }) => {
            (GrantOutcome::NoResponse, "silent")
        }
    }
}
