//! Datagrams between core hosts: heartbeats with the leader's key updates, and reports to the leader of requested
//! keys and the slowness of servers.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::HostState;
use chicoryrail_ownership::keys::KeyRange;

use crate::control::crashes::apply_news;
use crate::control::key_announcements::KeyAnnouncements;
use crate::control::leader::LeaderTerm;
use crate::control::leader::apply_answer;
use crate::control::leader::reply_to_query;
use crate::control::quota;
use crate::control::quota::QuotaPools;
use crate::control::scheduling;
use crate::messages::Heartbeat;
use crate::messages::KeyDemand;
use crate::messages::KeyUpdate;
use crate::messages::Packet;
use crate::messages::SlotReply;
use crate::messages::TrafficReport;
use crate::state::Router;

/// Time between two heartbeats to each other host while nothing changes. A leader that was isolated from the store
/// learns of its successor within this time.
const HEARTBEAT_INTERVAL: Millis = Millis(400);

/// Time between two reports of requested keys, for each known host. The leader must see soon that a range of keys
/// becomes busy, and should receive a few hundred reports a second at most.
const DEMAND_REPORT_PER_HOST: Millis = Millis(2);
/// Minimum time between two reports of requested keys.
const DEMAND_REPORT_INTERVAL_MIN: Millis = Millis(100);

/// Time between two reports of a leaf host, which schedules requests only while it reaches no core host.
const DEMAND_REPORT_INTERVAL_LEAF: Millis = Millis(500);

/// Largest number of keys in one report, so that the datagram fits into one packet.
const KEYS_PER_REPORT_MAX: usize = 400;

/// Time between two messages about free slots. It is as long as a short request runs, so that the counts are still
/// valid when they are used.
const FREE_SLOTS_INTERVAL: Millis = Millis(150);

/// Part of the link that heartbeats may use while the leader's state changes without a break.
const LINK_SHARE_MAX: f64 = 0.5;

/// Sends this host's datagrams and handles those of other hosts.
pub(crate) struct Gossip {
    router: Rc<Router>,
    /// Leadership state, in use while this host leads.
    leadership: Rc<LeaderTerm>,
    /// Quota tokens that this host grants while it leads.
    pools: Rc<QuotaPools>,
    announcements: KeyAnnouncements,
}

impl Gossip {
    /// Creates the gossip of a host that has sent nothing yet.
    pub(crate) fn new(
        router: &Rc<Router>,
        leadership: &Rc<LeaderTerm>,
        pools: &Rc<QuotaPools>,
    ) -> Rc<Self> {
        Rc::new(Self {
            router: Rc::clone(router),
            leadership: Rc::clone(leadership),
            pools: Rc::clone(pools),
            announcements: KeyAnnouncements::default(),
        })
    }

    /// Handles a packet from another host.
    pub(crate) fn handle_packet(&self, packet: Packet, from: SocketAddr) {
        match packet {
            Packet::Heartbeat(heartbeat) => self.handle_heartbeat(heartbeat, from),
            Packet::KeyDemand(demands) => self.handle_key_demand(&demands),
            Packet::Paces(reports) => self.leadership.record_slowness_reports(reports),
            Packet::SlotReply { ticket, reply } => self.handle_slot_reply(ticket, reply),
            Packet::QuotaReports(reports) => {
                quota::reply_to_report(&self.router, &self.pools, &reports, from);
            }
            Packet::QuotaGrants(grants) => quota::apply_grants(&self.router, &grants),
            Packet::Traffic(report) => self.handle_traffic(report),
            Packet::TermQuery(query) => reply_to_query(&self.router, &query, from),
            Packet::TermAnswer(answer) => apply_answer(&self.router, &self.leadership, &answer),
            Packet::Crashes(news) => apply_news(&self.router, &news, Some(from)),
            packet => scheduling::handle_packet(&self.router, &packet, Some(from)),
        }
    }

    /// Records a report on a watched service. After the watch has ended, a late report would begin a new collection.
    fn handle_traffic(&self, report: TrafficReport) {
        let watch = self.router.traffic.watch_revision(&report.service);
        if let Some(watch) = watch.filter(|_| self.router.leading_term.get() > 0) {
            let now = self.router.now();
            self.leadership.traffic.record(now, watch, report);
        }
    }

    fn handle_slot_reply(&self, ticket: u64, reply: SlotReply) {
        // The request no longer waits. The scheduler frees the assigned slot when the request's deadline has passed.
        if !self.router.pending_queries.deliver(ticket, reply) {
            log::debug!(ticket = ticket; "reply_late");
        }
    }

    /// Sends heartbeats at intervals, and at once when the leader's state changes.
    pub(crate) async fn send_heartbeats(self: Rc<Self>) {
        self.router.source.wait_until_core().await;
        loop {
            let seen = self.leadership.changed.version();
            let leads = self.router.leading_term.get() > 0;
            let heartbeat = Packet::Heartbeat(self.heartbeat(leads));
            let addrs = self.router.peers.borrow().addrs();
            let sent_bytes = self.router.peer_socket.send_all(&heartbeat, &addrs).await;
            self.report_slowness(leads, &addrs).await;
            self.router
                .process
                .clock
                .sleep(self.link_pause(sent_bytes))
                .await;
            let change = self.leadership.changed.wait_past(seen);
            let _ = monoio::time::timeout(HEARTBEAT_INTERVAL.to_duration(), change).await;
        }
    }

    /// Returns the pause after sending this many bytes that leaves the rest of the link to others.
    fn link_pause(&self, sent_bytes: usize) -> Millis {
        let bits_per_ms = self.router.boot().limits.link_mbps * 1_000.0;
        let pause_ms = sent_bytes as f64 * 8.0 / (bits_per_ms * LINK_SHARE_MAX);
        Millis(pause_ms as u64).min(HEARTBEAT_INTERVAL)
    }

    /// Sends the free slots of the parts that this host schedules to the other core hosts, at short intervals.
    pub(crate) async fn send_free_slots(self: Rc<Self>) {
        self.router.source.wait_until_core().await;
        loop {
            self.router.process.clock.sleep(FREE_SLOTS_INTERVAL).await;
            let free = scheduling::free_slots(&self.router);
            if free.is_empty() {
                continue;
            }
            let addrs = self.router.peers.borrow().addrs();
            let packet = Packet::Rooms(free);
            // This host may schedule the parts of several data centres, so it applies its own counts too.
            scheduling::handle_packet(&self.router, &packet, None);
            self.router.peer_socket.send_all(&packet, &addrs).await;
        }
    }

    /// Reports the keys that callers requested to the leader, at intervals.
    pub(crate) async fn report_key_demand(self: Rc<Self>) {
        loop {
            let hosts = self.router.peers.borrow().addrs().len() as u64;
            let mut pause = DEMAND_REPORT_PER_HOST
                .saturating_mul(hosts)
                .max(DEMAND_REPORT_INTERVAL_MIN);
            if !self.router.source.is_core_host.get() {
                pause = pause.max(DEMAND_REPORT_INTERVAL_LEAF);
            }
            self.router.process.clock.sleep(pause).await;
            let demands = self.take_key_demand();
            if self.router.leading_term.get() > 0 {
                self.handle_key_demand(&demands);
                continue;
            }
            let leader = self.router.peers.borrow().leader_addr();
            if let Some(leader) = leader.filter(|_| !demands.is_empty()) {
                self.router
                    .peer_socket
                    .send(&Packet::KeyDemand(demands), leader)
                    .await;
            }
        }
    }

    fn handle_key_demand(&self, demands: &[KeyDemand]) {
        for demand in demands {
            self.leadership
                .record_key_demand(&demand.service, &demand.keys);
        }
    }

    fn heartbeat(&self, leads: bool) -> Heartbeat {
        let keys = if leads {
            let updates = self.leadership.key_updates.borrow();
            self.announcements.next_updates(&updates)
        } else {
            Vec::new()
        };
        let state = self.router.host_state();
        Heartbeat {
            host: self.router.boot().host.clone(),
            dc: self.router.boot().dc.clone(),
            term: self.router.peers.borrow().highest_term(),
            leads,
            store: state.store_reachable,
            reaches: state.reachable_dcs,
            power: state.power,
            schedules: state.schedules,
            watches: state.watches,
            leaves: state.leaf_hosts,
            keys,
        }
    }

    /// Removes and returns the keys that were requested since the last report.
    fn take_key_demand(&self) -> Vec<KeyDemand> {
        let mut demands = Vec::new();
        for service in self.router.services() {
            let keys = std::mem::take(&mut *service.requested_keys.borrow_mut());
            if keys.is_empty() {
                continue;
            }
            let keys = keys.into_iter().take(KEYS_PER_REPORT_MAX).collect();
            let service = service.name.clone();
            demands.push(KeyDemand { service, keys });
        }
        demands
    }

    /// Reports the slowness of servers to the leader. While no leader is known, all hosts receive the report, since
    /// one of them will lead.
    async fn report_slowness(&self, leads: bool, addrs: &[SocketAddr]) {
        let reports = scheduling::slowness_reports(&self.router);
        if leads {
            self.leadership.record_slowness_reports(reports);
            return;
        }
        let leader = self.router.peers.borrow().leader_addr();
        let to = leader.as_ref().map_or(addrs, std::slice::from_ref);
        if !reports.is_empty() {
            let packet = Packet::Paces(reports);
            self.router.peer_socket.send_all(&packet, to).await;
        }
    }

    fn handle_heartbeat(&self, heartbeat: Heartbeat, from: SocketAddr) {
        let now = self.router.now();
        let known_term = self.router.peers.borrow().highest_term();
        {
            let mut peers = self.router.peers.borrow_mut();
            let state = HostState {
                store_reachable: heartbeat.store,
                reachable_dcs: heartbeat.reaches,
                power: heartbeat.power,
                schedules: heartbeat.schedules,
                dc: Some(heartbeat.dc),
                watches: heartbeat.watches,
                leaf_hosts: heartbeat.leaves,
            };
            peers.record_heartbeat(now, &heartbeat.host, from, state);
            let host_count = peers.host_count(now, self.router.leaf_count());
            peers.update_max_hosts(host_count);
            let leader = heartbeat.leads.then_some(&heartbeat.host);
            if heartbeat.leads && heartbeat.term >= known_term {
                peers.record_leader_seen(now);
            }
            if peers.observe_term(heartbeat.term, leader) {
                log::info!(term = heartbeat.term, from:% = heartbeat.host,
                    known = known_term; "term_heard");
            }
        }
        // A leader that was replaced may not know it yet; its key updates are outdated.
        if heartbeat.leads && heartbeat.term >= known_term {
            for update in heartbeat.keys {
                self.handle_key_update(now, update, from);
            }
        }
    }

    fn handle_key_update(&self, now: Millis, update: KeyUpdate, leader: SocketAddr) {
        let service = self.router.service(&update.service);
        if let Some(ranges) = &update.ranges {
            let record = ranges.to_record(update.fence);
            service.keys.borrow_mut().apply_record(now, record);
        }
        if service.keys.borrow().fence() < update.fence {
            self.router.newer_keys.record(leader);
        }
        let blocked = update.blocked.into_iter();
        let blocked = blocked.map(|(first, last)| KeyRange { first, last });
        let (keys, blocked) = (&service.keys, blocked.collect());
        keys.borrow_mut().apply_blocked(update.fence, blocked);
        scheduling::redirect_moved_keys(&self.router, &service);
        service.changed.notify();
    }
}
