//! What hosts tell each other: who leads, who holds which keys, and to the leader the keys that were
//! asked for.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::HostState;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyRecord;

use crate::control::leader::LeaderTerm;
use crate::control::quota;
use crate::control::quota::QuotaPools;
use crate::control::scheduling;
use crate::state::Router;
use crate::talk::Heartbeat;
use crate::talk::KeyDemand;
use crate::talk::KeyRanges;
use crate::talk::KeyUpdate;
use crate::talk::Packet;
use crate::talk::SlotReply;

/// Time between two datagrams to each other host without news. It is also how soon a leader that was cut
/// off from the store hears of its successor.
const HEARTBEAT_INTERVAL: Millis = Millis(400);

/// Time between two reports of the keys that callers asked for, for each host there is, and at least: a range of keys
/// that grows busy is to be seen within a moment, and the leader should get a few hundred reports a second at most.
const DEMAND_REPORT_PER_HOST: Millis = Millis(2);
const DEMAND_REPORT_INTERVAL_MIN: Millis = Millis(100);

/// Keys of one report; a datagram should fit into one packet.
const KEYS_PER_REPORT_MAX: usize = 400;

/// Time between two looks of a leaf host whether it became a core host.
const CORE_POLL_INTERVAL: Millis = Millis(50);

/// Time between two messages on free slots: as long as short work takes, so that what they say is still true.
const FREE_SLOTS_INTERVAL: Millis = Millis(150);

/// Heartbeats after which the leader sends all ranges of keys again, should the datagram with them have been lost.
const HEARTBEATS_PER_RANGES: u32 = 3;

/// Ranges of a service as they were sent last.
#[derive(Debug, Default)]
struct SentRanges {
    fence: u64,
    /// Heartbeats since.
    heartbeats: u32,
}

/// What this host tells the others, and hears from them.
pub(crate) struct Gossip {
    router: Rc<Router>,
    /// What the leader knows, while this host leads.
    leadership: Rc<LeaderTerm>,
    /// Tokens that this host gives out, while it leads.
    pools: Rc<QuotaPools>,
    /// Ranges of each service as they were sent last.
    sent: RefCell<BTreeMap<ServiceName, SentRanges>>,
}

impl Gossip {
    /// Builds the two sides for a host.
    pub(crate) fn new(
        router: &Rc<Router>,
        leadership: &Rc<LeaderTerm>,
        pools: &Rc<QuotaPools>,
    ) -> Rc<Self> {
        Rc::new(Self {
            router: Rc::clone(router),
            leadership: Rc::clone(leadership),
            pools: Rc::clone(pools),
            sent: RefCell::default(),
        })
    }

    /// Takes in what another host sent.
    pub(crate) fn handle_packet(&self, packet: Packet, from: SocketAddr) {
        match packet {
            Packet::Heartbeat(heartbeat) => self.handle_heartbeat(heartbeat, from),
            Packet::KeyDemand(asked) => self.handle_key_demand(&asked),
            Packet::Paces(paces) => self.leadership.heard_paces(paces),
            Packet::SlotReply { ticket, reply } => self.handle_slot_reply(ticket, reply),
            Packet::QuotaReports(reports) => {
                quota::answer_report(&self.router, &self.pools, &reports, from);
            }
            Packet::QuotaGrants(grants) => quota::take_grants(&self.router, &grants),
            packet => scheduling::handle_packet(&self.router, &packet, Some(from)),
        }
    }

    fn handle_slot_reply(&self, ticket: u64, reply: SlotReply) {
        // Nobody waits any more: the reply came late. The slot that it gives is free again when the
        // request's time is over, as the scheduler sees it.
        if !self.router.asks.replied(ticket, reply) {
            log::debug!(ticket = ticket; "reply_late");
        }
    }

    /// Tells the others at intervals, and at once when the leader has news.
    pub(crate) async fn send_heartbeats(self: Rc<Self>) {
        loop {
            if !self.router.source.core.get() {
                self.router.process.clock.sleep(CORE_POLL_INTERVAL).await;
                continue;
            }
            let seen = self.leadership.news.count();
            let leads = self.router.leads.get() > 0;
            let heartbeat = Packet::Heartbeat(self.heartbeat(leads));
            let all = self.router.peers.borrow().addrs();
            self.router.talk.send_all(&heartbeat, &all).await;
            self.report_paces(leads, &all).await;
            let wait = self.leadership.news.after(seen);
            let _ = monoio::time::timeout(HEARTBEAT_INTERVAL.duration(), wait).await;
        }
    }

    /// Tells the other core hosts at short intervals how many slots are free in the parts that this one schedules.
    pub(crate) async fn send_free_slots(self: Rc<Self>) {
        loop {
            self.router.process.clock.sleep(FREE_SLOTS_INTERVAL).await;
            if !self.router.source.core.get() {
                continue;
            }
            let free = scheduling::free_slots(&self.router);
            if free.is_empty() {
                continue;
            }
            let all = self.router.peers.borrow().addrs();
            let packet = Packet::Rooms(free);
            // This host may schedule the part of another data centre as well.
            scheduling::handle_packet(&self.router, &packet, None);
            self.router.talk.send_all(&packet, &all).await;
        }
    }

    /// Reports the keys that callers asked for to the leader.
    pub(crate) async fn report_key_demand(self: Rc<Self>) {
        loop {
            let hosts = self.router.peers.borrow().addrs().len() as u64;
            let pause = DEMAND_REPORT_PER_HOST
                .times(hosts)
                .max(DEMAND_REPORT_INTERVAL_MIN);
            self.router.process.clock.sleep(pause).await;
            let asked = self.asked();
            if self.router.leads.get() > 0 {
                self.handle_key_demand(&asked);
                continue;
            }
            let leader = self.router.peers.borrow().leader_addr();
            if let Some(leader) = leader.filter(|_| !asked.is_empty()) {
                self.router
                    .talk
                    .send(&Packet::KeyDemand(asked), leader)
                    .await;
            }
        }
    }

    fn handle_key_demand(&self, asked: &[KeyDemand]) {
        for asked in asked {
            self.leadership.asked(&asked.service, &asked.keys);
        }
    }

    fn heartbeat(&self, leads: bool) -> Heartbeat {
        let keys = if leads {
            self.key_updates()
        } else {
            Vec::new()
        };
        let said = self.router.host_state();
        Heartbeat {
            host: self.router.boot().host.clone(),
            dc: self.router.boot().dc.clone(),
            term: self.router.peers.borrow().highest_term(),
            leads,
            store: said.store,
            reaches: said.reaches,
            power: said.power,
            schedules: said.schedules,
            watches: said.watches,
            leaves: said.leaves,
            keys,
        }
    }

    fn key_updates(&self) -> Vec<KeyUpdate> {
        let updates = self.leadership.updates.borrow();
        let pair = |s: &KeyRange| (s.first, s.last);
        let update = |(service, known): (&ServiceName, &(KeyRecord, Vec<KeyRange>))| KeyUpdate {
            service: service.clone(),
            fence: known.0.fence,
            ranges: self.ranges(service, &known.0),
            blocked: known.1.iter().map(pair).collect(),
        };
        updates.iter().map(update).collect()
    }

    /// Returns the ranges of a service where they are to be sent: with a new fence, and now and then again.
    fn ranges(&self, service: &ServiceName, record: &KeyRecord) -> Option<KeyRanges> {
        let mut sent = self.sent.borrow_mut();
        let sent = sent.entry(service.clone()).or_default();
        sent.heartbeats += 1;
        if sent.fence == record.fence && sent.heartbeats < HEARTBEATS_PER_RANGES {
            return None;
        }
        *sent = SentRanges {
            fence: record.fence,
            heartbeats: 0,
        };
        Some(KeyRanges::pack(&record.spans))
    }

    /// Takes the keys that were asked for since the last report.
    fn asked(&self) -> Vec<KeyDemand> {
        let mut all = Vec::new();
        for service in self.router.services() {
            let keys = std::mem::take(&mut *service.asked.borrow_mut());
            if keys.is_empty() {
                continue;
            }
            let keys = keys.into_iter().take(KEYS_PER_REPORT_MAX).collect();
            let service = service.name.clone();
            all.push(KeyDemand { service, keys });
        }
        all
    }

    /// Tells the leader how much servers do, or all where nobody is known to lead: one of them will.
    async fn report_paces(&self, leads: bool, all: &[SocketAddr]) {
        let paces = scheduling::paces(&self.router);
        if leads {
            self.leadership.heard_paces(paces);
            return;
        }
        let leader = self.router.peers.borrow().leader_addr();
        let to = leader.as_ref().map_or(all, std::slice::from_ref);
        if !paces.is_empty() {
            self.router.talk.send_all(&Packet::Paces(paces), to).await;
        }
    }

    fn handle_heartbeat(&self, heartbeat: Heartbeat, from: SocketAddr) {
        let now = self.router.now();
        let known = self.router.peers.borrow().highest_term();
        {
            let mut peers = self.router.peers.borrow_mut();
            let said = HostState {
                store: heartbeat.store,
                reaches: heartbeat.reaches,
                power: heartbeat.power,
                schedules: heartbeat.schedules,
                dc: Some(heartbeat.dc),
                watches: heartbeat.watches,
                leaves: heartbeat.leaves,
            };
            peers.heard(now, &heartbeat.host, from, said);
            let all = peers.all_hosts(now, self.router.leaves());
            peers.count(all);
            let leader = heartbeat.leads.then_some(&heartbeat.host);
            if heartbeat.leads && heartbeat.term >= known {
                peers.heard_leader(now);
            }
            if peers.term(heartbeat.term, leader) {
                log::info!(term = heartbeat.term, from:% = heartbeat.host, known = known; "term_heard");
            }
        }
        // A leader that was replaced may not know it yet; its key update is old.
        if heartbeat.leads && heartbeat.term >= known {
            for key in heartbeat.keys {
                self.handle_key_update(now, key);
            }
        }
    }

    fn handle_key_update(&self, now: Millis, heartbeat: KeyUpdate) {
        let service = self.router.service(&heartbeat.service);
        if let Some(ranges) = &heartbeat.ranges {
            let record = ranges.to_record(heartbeat.fence);
            service.keys.borrow_mut().record(now, record);
        }
        let blocked = heartbeat.blocked.into_iter();
        let blocked = blocked.map(|(first, last)| KeyRange { first, last });
        service
            .keys
            .borrow_mut()
            .blocked(heartbeat.fence, blocked.collect());
        scheduling::keys_moved(&self.router, &service);
        service.changed.notify();
    }
}
