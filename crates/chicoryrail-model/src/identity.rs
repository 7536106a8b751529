//! Which states are the same.

use std::hash::Hash;
use std::hash::Hasher;

use chicoryrail_core::Millis;
use chicoryrail_ownership::term::Basis;
use chicoryrail_ownership::term::TermReply;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher13;

use crate::Ages;
use crate::Host;
use crate::HostSet;
use crate::Leader;
use crate::Message;
use crate::Role;
use crate::State;
use crate::relative_hasher::RelativeHasher;
use crate::relative_hasher::relative;

/// Byte for a term that a host does not know.
const NONE: u8 = u8::MAX;

impl State {
    /// Returns the identity of the state: equal for states that differ only in the time, or in the order of the hosts.
    #[must_use]
    pub fn identity(&self, ages: &Ages) -> u128 {
        let mut orders = vec![Vec::with_capacity(self.hosts.len())];
        let mut ranked: Vec<_> = (0..self.hosts.len())
            .map(|h| (self.rank(h, ages), h))
            .collect();
        ranked.sort_unstable();
        for group in ranked.chunk_by(|a, b| a.0 == b.0) {
            let group: Vec<usize> = group.iter().map(|(_, h)| *h).collect();
            orders = extend_orders(&orders, &group);
        }
        let codes = orders.iter().map(|order| self.encode(order, ages));
        let code = codes.min().unwrap_or_default();
        let mut hasher = SipHasher13::new();
        hasher.write(&code);
        hasher.finish128().as_u128()
    }

    /// Returns a number that does not depend on the order of the hosts, by which they are put in order.
    fn rank(&self, h: usize, ages: &Ages) -> u64 {
        let host = &self.hosts[h];
        let mut code = vec![
            u8::from(self.cut.host_reaches_store(h)),
            u8::from(self.store.listed.contains(h)),
            u8::from(self.store.voters.contains(h)),
            u8::from(self.store.leader.is_some_and(|l| l.host == h)),
        ];
        self.encode_host(host, &[], ages, &mut code);
        let mut hasher = siphasher::sip::SipHasher13::new();
        hasher.write(&code);
        hasher.finish()
    }

    fn encode(&self, order: &[usize], ages: &Ages) -> Vec<u8> {
        let mut code = Vec::with_capacity(128);
        let store = &self.store;
        let left = self.disruptions;
        code.extend([left.cuts, left.pauses, left.restarts]);
        code.extend([left.lapses, left.lost_responses]);
        code.extend([self.moves, self.cut.servers]);
        code.push(permute(HostSet(self.cut.hosts), order));
        code.push(permute(store.listed, order));
        code.push(permute(store.voters, order));
        self.encode_term(store.term, &mut code);
        if let Some(key) = &store.leader {
            code.push(position(key.host, order));
            self.encode_term(key.term, &mut code);
            self.encode_time(key.until, ages.store_lease, &mut code);
        }
        let mut hasher = siphasher::sip::SipHasher13::new();
        store.keys.hash(&mut hasher);
        code.extend(hasher.finish().to_le_bytes());
        for server in &self.servers {
            code.push(server.fence as u8);
            self.encode_time(server.held_until.max(self.now), Millis::ZERO, &mut code);
        }
        for h in order {
            self.encode_host(&self.hosts[*h], order, ages, &mut code);
        }
        let messages = self
            .messages
            .iter()
            .map(|m| self.encode_message(m, order, ages));
        let mut messages: Vec<_> = messages.collect();
        messages.sort_unstable();
        code.extend(messages.concat());
        code
    }

    /// Encodes a host; without `order`, what does not depend on the order of the hosts.
    fn encode_host(&self, host: &Host, order: &[usize], ages: &Ages, code: &mut Vec<u8>) {
        let flags = u8::from(host.paused)
            | u8::from(host.has_read) << 1
            | u8::from(host.supporter.may_reply()) << 2;
        code.push(flags);
        self.encode_term(host.highest_term, code);
        code.push(permute(host.listed, order));
        match &host.role {
            Role::Follower => code.push(0),
            Role::Candidate {
                sent_at,
                revision,
                voters,
            } => {
                code.push(1);
                self.encode_time(*sent_at, ages.store_lease, code);
                self.encode_term(*revision, code);
                code.push(permute(*voters, order));
            }
            Role::Leader(leader) => {
                code.push(2);
                self.encode_leader(leader, order, ages, code);
            }
        }
    }

    fn encode_leader(&self, leader: &Leader, order: &[usize], ages: &Ages, code: &mut Vec<u8>) {
        let mandate = leader.claim.mandate(self.now, leader.term);
        let trusted = mandate.basis == Basis::StoreLease;
        let stopped = leader.stopped_at.is_some();
        self.encode_term(leader.term, code);
        code.push(u8::from(stopped));
        if trusted {
            self.encode_time(self.now - mandate.lease_age, ages.store_lease, code);
        }
        let complete_at = self.now - mandate.complete_age;
        self.encode_time(complete_at, ages.support, code);
        // The predecessor matters until it has stopped, and the key leases have been told when.
        if !stopped {
            self.encode_time(leader.elected_at, ages.support, code);
            code.push(leader.former.map_or(NONE, |set| permute(set, order)));
        } else if let (None, Some(at)) = (&leader.keys, leader.stopped_at) {
            self.encode_time(at, ages.support, code);
        }
        code.push(permute(leader.voters, order));
        code.push(leader.next_voters.map_or(NONE, |set| permute(set, order)));
        for h in order {
            let reply = leader.replies[*h].as_ref();
            let knows = reply.is_some_and(|r| r.term >= leader.term);
            // A reply that is older than the last complete round can't complete another one.
            let counts = |r: &&TermReply| {
                r.asked_at > complete_at || self.now.since(r.asked_at) <= ages.reply
            };
            match reply.filter(counts) {
                None => code.push(u8::from(knows && !stopped)),
                Some(reply) => {
                    code.push(2 + u8::from(knows));
                    self.encode_time(reply.asked_at, ages.support, code);
                }
            }
        }
        let mut hasher = RelativeHasher::new(self.now, ages.key);
        leader.keys.hash(&mut hasher);
        code.extend(hasher.finish().to_le_bytes());
    }

    fn encode_message(&self, message: &Message, order: &[usize], ages: &Ages) -> Vec<u8> {
        let mut code = Vec::with_capacity(16);
        match *message {
            Message::Query {
                from,
                to,
                term,
                asked_at,
            } => {
                code.extend([3, position(from, order), position(to, order)]);
                self.encode_term(term, &mut code);
                self.encode_time(asked_at, ages.support, &mut code);
            }
            Message::Reply {
                from,
                to,
                term,
                asked_at,
                ..
            } => {
                code.extend([4, position(from, order), position(to, order)]);
                self.encode_term(term, &mut code);
                self.encode_time(asked_at, ages.support, &mut code);
            }
            Message::Grant {
                from,
                term,
                server,
                fence,
                until,
            } => {
                code.extend([5, position(from, order), server as u8, fence as u8]);
                self.encode_term(term, &mut code);
                self.encode_time(until, Millis::ZERO, &mut code);
            }
        }
        code
    }

    /// Encodes a term, or a revision, by its distance from the last one.
    fn encode_term(&self, term: u64, code: &mut Vec<u8>) {
        let distance = (self.store.revision - term) as u8;
        code.push(if term == 0 { NONE } else { distance });
    }

    /// Encodes a point in time; from `age_max` on, ages are the same.
    fn encode_time(&self, at: Millis, age_max: Millis, code: &mut Vec<u8>) {
        code.extend((relative(self.now, at, age_max) as u16).to_le_bytes());
    }
}

/// Returns each order followed by each order of the group.
fn extend_orders(orders: &[Vec<usize>], group: &[usize]) -> Vec<Vec<usize>> {
    let mut all = orders.to_vec();
    for _ in group {
        let longer = all.iter().flat_map(|order| {
            let left = group.iter().filter(|h| !order.contains(h));
            left.map(|h| [order.as_slice(), &[*h]].concat())
        });
        all = longer.collect();
    }
    all
}

/// Returns the place of a host in the order.
fn position(host: usize, order: &[usize]) -> u8 {
    let at = order.iter().position(|h| *h == host);
    at.map_or(NONE, |at| at as u8)
}

/// Returns a set of hosts by their places in the order; without an order, its size.
fn permute(set: HostSet, order: &[usize]) -> u8 {
    if order.is_empty() {
        return set.len() as u8;
    }
    let places = order.iter().enumerate();
    let bits = places.map(|(at, h)| u8::from(set.contains(*h)) << at);
    bits.sum()
}
