//! Simulated hosts that renew leases for the leaders.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::GrantOutcome;
use chicoryrail_ownership::keys::KeyTiming;
use chicoryrail_ownership::keys::Renewal;
use chicoryrail_ownership::keys::RenewalOrder;
use chicoryrail_ownership::keys::Renewer;
use rand::Rng;

use crate::calls::Caller;
use crate::server::CallKind;
use crate::world::World;
use crate::world::faults_active;

/// Number of hosts that renew leases.
pub(crate) const RENEWER_COUNT: usize = 2;

/// Age of a host's last poll up to which a leader delegates servers to it.
const POLL_AGE_MAX_MS: u64 = 600;

/// Simulated host that renews leases.
pub(crate) struct RenewingHost {
    pub(crate) renewer: Renewer,
    /// Time until which the process is paused.
    pub(crate) paused_until: u64,
    poll: Option<Poll>,
    next_poll_at: u64,
    /// Leader that the host polls whoever leads; `None` for the latest one.
    pub(crate) polls_only: Option<usize>,
    /// Renewals in flight.
    pub(crate) sent: Vec<Renewal>,
}

/// A poll in flight.
struct Poll {
    leader: usize,
    asked_at: u64,
    /// Time at which the leader handles the poll; `u64::MAX` if it is lost.
    arrives_at: u64,
    handled: bool,
    /// The leader's reply, and the time at which it arrives; `u64::MAX` if it is lost.
    reply: Option<(RenewalOrder, u64)>,
    times_out_at: u64,
}

impl RenewingHost {
    pub(crate) const fn new(timing: KeyTiming) -> Self {
        Self {
            renewer: Renewer::new(timing),
            paused_until: 0,
            poll: None,
            next_poll_at: 0,
            polls_only: None,
            sent: Vec::new(),
        }
    }
}

/// Returns the host to which the leaders delegate a server; `None` for servers that each leader renews itself.
pub(crate) fn delegate_of(life: &Life) -> Option<usize> {
    (life.born as usize % (RENEWER_COUNT + 1)).checked_sub(1)
}

impl World {
    /// Lets a leader delegate the servers to the hosts that polled it recently.
    pub(crate) fn delegate(&mut self, leader: usize, lives: &[Life]) {
        let now = self.now;
        let leader = &mut self.leaders[leader];
        for life in lives {
            let polled_at = delegate_of(life).map(|host| leader.polled_at[host]);
            let is_recent = polled_at.is_some_and(|at| at > 0 && now - at <= POLL_AGE_MAX_MS);
            let delegated = is_recent && leader.leases.is_delegable(life);
            leader.leases.set_delegated(life, delegated);
        }
    }

    /// Lets each host poll a leader, apply the reply, and send the renewals that are due.
    pub(crate) fn renew(&mut self) {
        for host in 0..self.renewing.len() {
            if self.now < self.renewing[host].paused_until {
                continue;
            }
            if faults_active(self.now) && self.rng.random_bool(0.0005) {
                self.renewing[host].paused_until = self.now + self.rng.random_range(100..5_000);
            }
            self.poll_leader(host);
            self.send_renewals(host);
        }
    }

    fn poll_leader(&mut self, host: usize) {
        let now = self.now;
        let Some(mut poll) = self.renewing[host].poll.take() else {
            if now >= self.renewing[host].next_poll_at {
                self.renewing[host].poll = Some(self.new_poll(host));
            }
            return;
        };
        if !poll.handled && poll.arrives_at <= now {
            poll.handled = true;
            poll.reply = self.handle_poll(host, poll.leader);
        }
        let asked_at = Millis(poll.asked_at);
        let arrived = poll.reply.take_if(|(_, arrives_at)| *arrives_at <= now);
        if let Some((order, _)) = arrived {
            self.renewing[host].renewer.apply_order(asked_at, order);
        } else if now < poll.times_out_at {
            self.renewing[host].poll = Some(poll);
            return;
        }
        self.renewing[host].next_poll_at = now + self.rng.random_range(20..200);
    }

    /// Starts a poll of the latest leader, or sometimes of the one before it.
    fn new_poll(&mut self, host: usize) -> Poll {
        let latest = self.leaders.len() - 1;
        let stale = faults_active(self.now) && self.rng.random_bool(0.2);
        let lost = faults_active(self.now) && self.rng.random_bool(0.1);
        let delay = self.rng.random_range(0..250);
        let leader = if stale {
            latest.saturating_sub(1)
        } else {
            latest
        };
        Poll {
            leader: self.renewing[host].polls_only.unwrap_or(leader),
            asked_at: self.now,
            arrives_at: if lost { u64::MAX } else { self.now + delay },
            handled: false,
            reply: None,
            times_out_at: self.now + 300,
        }
    }

    /// Lets a leader that acts now handle a host's poll; returns its reply and the time of its arrival.
    fn handle_poll(&mut self, host: usize, leader: usize) -> Option<(RenewalOrder, u64)> {
        let now = Millis(self.now);
        let (term, lost) = (leader as u64 + 1, self.rng.random_bool(0.1));
        let delay = self.rng.random_range(0..250);
        let acts = &self.leaders[leader];
        if self.now > acts.acts_until || self.now < acts.paused_until {
            return None;
        }
        let leader = &mut self.leaders[leader];
        if leader.leases.is_deposed() {
            return None;
        }
        let renewer = &mut self.renewing[host].renewer;
        if renewer.term() == term {
            for confirmed in renewer.take_confirmed() {
                let age = now.since(confirmed.sent_at);
                let (life, span) = (&confirmed.life, confirmed.span);
                leader
                    .leases
                    .delegate_confirmed(now, life, span, confirmed.fence, age);
            }
            for failed in renewer.failed() {
                leader
                    .leases
                    .delegate_failed(now, &failed.life, failed.fence, failed.outcome);
            }
        }
        leader.polled_at[host] = self.now;
        let owners = leader.leases.lease_owners().into_iter();
        let mut lives: Vec<Life> = owners.filter(|l| delegate_of(l) == Some(host)).collect();
        lives.sort();
        lives.dedup();
        let order = RenewalOrder {
            term,
            tasks: leader.leases.permit_renewals(now, &lives),
            fence: leader.leases.record().fence,
            lease: leader.leases.lease_duration(),
        };
        Some((order, if lost { u64::MAX } else { self.now + delay }))
    }

    fn send_renewals(&mut self, host: usize) {
        let due = self.renewing[host].renewer.take_due(Millis(self.now), 8);
        for renewal in due {
            let kind = CallKind::Grant {
                span: renewal.span,
                fence: renewal.fence,
                lease: renewal.lease,
            };
            self.renewing[host].sent.push(renewal.clone());
            let timeout_ms = self.actual_timing.grant_timeout.0;
            self.send(Caller::Renewer(host), renewal.life, kind, timeout_ms);
        }
    }

    /// Reports the outcome of a renewal to its host.
    pub(crate) fn report_renewal(&mut self, host: usize, life: &Life, outcome: GrantOutcome) {
        let host = &mut self.renewing[host];
        if let Some(at) = host.sent.iter().position(|r| r.life == *life) {
            let renewal = host.sent.swap_remove(at);
            host.renewer.finished(&renewal, outcome);
        }
    }
}
