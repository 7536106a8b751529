//! Applies changes of the store view to services, servers and key records.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use chicoryrail_core::HostName;
use chicoryrail_core::Life;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::CoreHost;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::store_key::HOSTS;
use chicoryrail_ownership::store_key::KEYS;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::ServerPool;
use http::HeaderValue;

use crate::state::Admission;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;
use crate::state::View;
use crate::state::ViewChange;
use crate::state::drain_end;
use crate::state::view::ServerEntry;

impl Router {
    /// Logs the given changes of the store view, drops the servers whose entries have expired, and updates services,
    /// servers and key records.
    pub(crate) fn apply_view_changes(&self, changes: &[ViewChange]) {
        for change in changes {
            self.log(change);
            if let ViewChange::Own(key) = change {
                self.apply_own(key);
            }
        }
        let gone = {
            let mut view = self.store_view.borrow_mut();
            view.expire(self.now(), self.store_up.get())
        };
        if !changes.is_empty() || !gone.is_empty() {
            self.sync();
        }
    }

    fn apply_own(&self, key: &str) {
        if key.starts_with(HOSTS) {
            self.update_hosts();
        }
        let Some(service) = key.strip_prefix(KEYS) else {
            return;
        };
        let view = self.store_view.borrow();
        let Some(item) = view.own(key) else {
            return;
        };
        match serde_json::from_slice::<KeyRecord>(&item.value) {
            Ok(record) => {
                let service = self.service(&ServiceName::new(service));
                self.apply_key_record(&service, record);
            }
            Err(e) => log::error!(key = key, error:% = e; "bad_record"),
        }
    }

    /// Updates the list of core hosts, without this one, from the host entries of the store.
    fn update_hosts(&self) {
        let own = self.boot().host.clone();
        let view = self.store_view.borrow();
        let hosts = view.own_with_prefix(HOSTS).filter_map(|(key, item)| {
            let name = HostName::new(key.strip_prefix(HOSTS)?);
            let host = CoreHost::from_value(&item.value)?;
            (name != own).then_some((name, host.addr))
        });
        let hosts = hosts.collect();
        self.peers.borrow_mut().set_listed(self.now(), hosts);
    }

    /// Applies a key record from the store or the leader.
    pub(crate) fn apply_key_record(&self, service: &Service, record: KeyRecord) {
        let (fence, spans) = (record.fence, record.spans.len());
        if service.keys.borrow_mut().apply_record(self.now(), record) {
            log::info!(service:% = service.name, fence = fence, spans = spans; "key_record");
            service.changed.notify();
            self.feed_changed.notify();
        }
    }

    /// Updates settings and targets from the store view: the configuration's limits and organisations, and the
    /// servers of each service.
    fn sync(&self) {
        let view = self.store_view.borrow();
        if let Some(site) = view.site() {
            self.counters.config.set(site.version as i64);
            if self.organisations.apply_site(site) {
                self.quota.apply_site(site);
            }
            let mut limits = self.limits.get();
            limits.max_head_bytes = site.limits.max_head;
            limits.head_timeout = site.limits.head_timeout;
            limits.idle_timeout = site.limits.idle_timeout;
            self.limits.set(limits);
        }
        let mut present: HashMap<ServiceName, Vec<Life>> = HashMap::new();
        for entry in view.servers() {
            let name = &entry.member.service;
            let lives = present.entry(name.clone()).or_default();
            lives.push(entry.member.life.clone());
            self.sync_target(&view, &self.service(name), entry);
        }
        for service in self.services() {
            let lives = present.remove(&service.name).unwrap_or_default();
            let mut targets = service.targets.borrow_mut();
            targets.retain(|life, target| {
                let keep = lives.contains(life);
                if !keep {
                    target.admission.set(Admission::Closed);
                    target.pool.close_idle();
                    service.loads.borrow_mut().remove(target.id);
                }
                keep
            });
            drop(targets);
            service.update_partitioned();
            service.update_notices(self.now());
            service.changed.notify();
            self.feed_changed.notify();
        }
    }

    fn sync_target(&self, view: &View, service: &Service, entry: &ServerEntry) {
        let member = &entry.member;
        let mut targets = service.targets.borrow_mut();
        let old = targets.get(&member.life).filter(|t| t.addr == member.addr);
        let target = match old {
            Some(target) => Rc::clone(target),
            None => {
                let Ok(expect_header) = HeaderValue::from_str(member.life.name.as_str()) else {
                    log::warn!(server:% = member.life.name; "bad_server_name");
                    return;
                };
                let target = Rc::new(Target {
                    life: member.life.clone(),
                    id: service.next_id(),
                    addr: member.addr,
                    dc: member.dc.clone(),
                    first_seen: self.now(),
                    expect_header,
                    pool: ServerPool::default(),
                    warmup: RefCell::default(),
                    warmup_until: Cell::default(),
                    limit: Cell::default(),
                    notices: Cell::default(),
                    slots: Cell::new(member.slots),
                    admission: Cell::new(Admission::Closed),
                    scheduled_here: Cell::new(None),
                });
                targets.insert(member.life.clone(), Rc::clone(&target));
                target
            }
        };
        // A server can start to warm up again at any time without a restart.
        target.extend_warmup(entry.updated, member.warmup_left);
        target.slots.set(member.slots);
        service.loads.borrow_mut().set(target.id, member.slots);
        let spec = view.site().and_then(|s| s.service(&service.name));
        service.keyed.set(spec.is_some_and(|s| s.keyed));
        let connections = spec.map_or(u32::MAX, |s| s.max_connections);
        let share = connections / self.peers.borrow().sharing_hosts() as u32;
        target.pool.set_max_connections(member.slots, share.max(2));
        let admission = if view.is_drained(&member.dc) {
            Admission::Closed
        } else if entry.is_ready() && (entry.missing.is_none() || view.may_return(entry)) {
            Admission::Open
        } else {
            let since = entry.missing.unwrap_or(entry.since);
            Admission::Draining(drain_end(since, self.boot().bounds.drain))
        };
        if admission == Admission::Closed || !entry.is_ready() {
            target.pool.close_idle();
        }
        target.admission.set(admission);
    }

    fn log(&self, change: &ViewChange) {
        let revision = self.store_view.borrow().revision();
        match change {
            ViewChange::Config { from, to, invalid } => {
                let invariants = &self.process.invariants;
                invariants.check_increases(Invariant::ConfigForward, from, to);
                log::info!(from = from, version = to, revision = revision; "config_in_force");
                self.counters.invalid_values.inc_by(invalid.len() as u64);
                for e in invalid {
                    log::warn!(version = to, entry = e.entry, field = e.field, reason = e.reason;
                        "config_unknown_word");
                }
            }
            ViewChange::OldConfig { version, kept } => {
                log::warn!(version = version, kept = kept; "config_not_newer");
            }
            ViewChange::DrainedDc(dc) => log::info!(dc:% = dc, revision = revision; "dc_out"),
            ViewChange::RestoredDc(dc) => log::info!(dc:% = dc, revision = revision; "dc_back"),
            ViewChange::Server(name) => {
                let view = self.store_view.borrow();
                let entry = view.servers().find(|e| e.member.life.name == *name);
                if let Some(ServerEntry { member, .. }) = entry {
                    log::info!(server:% = member.life, service:% = member.service, dc:% = member.dc,
                        state:? = member.state, cold_ms = member.warmup_left.0, revision = revision;
                        "server");
                }
            }
            ViewChange::ServerGone(name) => {
                log::info!(server:% = name, revision = revision; "server_entry_gone");
            }
            ViewChange::Unreadable(e) => {
                self.counters.bad_entries.inc();
                log::warn!(entry = e.entry, field = e.field, reason = e.reason; "bad_entry");
            }
            ViewChange::Own(_) => {}
        }
    }
}
