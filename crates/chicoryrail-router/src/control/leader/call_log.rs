//! Log lines of the leader's calls to servers.

use std::fmt::Display;
use std::net::SocketAddr;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyLeases;
use chicoryrail_ownership::term::Mandate;
use chicoryrail_platform::GrantReply;
use chicoryrail_platform::KeyError;
use chicoryrail_platform::KeyGrant;

use crate::control::leader::key_leader::KeyLeader;

/// Duration of a confirmed grant call from which the call is logged: half of its timeout.
pub(super) const GRANT_LATE_MIN: Millis = Millis(150);

/// A grant call and what the leader's right to make it rested on.
#[derive(Debug)]
pub(super) struct GrantCall<'a> {
    pub(super) life: &'a Life,
    pub(super) addr: SocketAddr,
    pub(super) grant: &'a KeyGrant,
    pub(super) mandate: Mandate,
    pub(super) sent_at: Millis,
}

impl KeyLeader {
    /// Logs a grant call with the result `name`, unless the server confirmed it in time.
    pub(super) fn log_grant(
        &self,
        call: &GrantCall<'_>,
        name: &str,
        result: &Result<GrantReply, KeyError>,
    ) {
        let took = self.router.now().since(call.sent_at);
        let (name, error) = match result {
            Ok(_) if took < GRANT_LATE_MIN => return,
            Ok(_) => ("late", "-".to_owned()),
            Err(e) => (name, e.to_string()),
        };
        let (grant, mandate) = (call.grant, &call.mandate);
        log::info!(server:% = call.life, service:% = self.service, addr:% = call.addr, term = self.term,
            fence = grant.fence, first = grant.first, last = grant.last, lease_ms = grant.lease.0,
            took_ms = took.0, basis = mandate.basis.name(), lease_age_ms = mandate.lease_age.0,
            hosts = mandate.support.hosts, voters = mandate.support.voters, oldest_ms = mandate.support.oldest.0, error = error;
            "grant_{name}");
    }

    /// Logs that a server that may hold keys is about to be taken as ended: `by` is the address, or the delegate, that got
    /// the answer of another server.
    pub(super) fn log_server_ended(
        &self,
        leases: &KeyLeases,
        life: &Life,
        why: &str,
        by: impl Display,
    ) {
        let now = self.router.now();
        let end = leases.last_lease_end(life);
        if let Some(end) = end.filter(|_| leases.is_end_proven(now, life)) {
            log::info!(server:% = life, service:% = self.service, term = self.term,
                fence = leases.record().fence, why = why, by:% = by,
                may_hold_ms = end.since(now).0; "server_taken_as_ended");
        }
    }
}
