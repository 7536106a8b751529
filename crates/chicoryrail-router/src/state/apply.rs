//! Applies changes of the store view to services, servers and key records.

use std::collections::BTreeSet;
use std::rc::Rc;

use chicoryrail_core::HostName;
use chicoryrail_core::ServerName;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::CoreHost;
use chicoryrail_ownership::keys::KeyChanges;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::store_key::HOSTS;
use chicoryrail_ownership::store_key::KEYS;
use chicoryrail_ownership::store_key::TRAFFIC_RULES;
use http::HeaderValue;

use crate::state::Admission;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;
use crate::state::View;
use crate::state::ViewChange;
use crate::state::drain_end;
use crate::state::view::ServerEntry;

/// Smallest number of connections that a host may open to a server, however many hosts share the server's limit.
const SERVER_CONNECTIONS_MIN: u32 = 2;

impl Router {
    /// Logs the given changes of the store view, drops the servers whose entries have expired, and updates services,
    /// servers and key records.
    pub(crate) fn apply_view_changes(&self, changes: &[ViewChange]) {
        self.log_changes(changes);
        for change in changes {
            if let ViewChange::Own(key) = change {
                self.apply_own(key);
            }
        }
        let gone = {
            let mut view = self.store_view.borrow_mut();
            view.expire(self.now(), self.store_up.get())
        };
        if !changes.is_empty() || !gone.is_empty() {
            self.sync(&self.outdated_servers(changes, gone));
        }
    }

    /// Returns the servers to update after these changes of the store view, `gone` among them.
    ///
    /// The data centres out of service and an operator's rules concern every server; a change of one entry concerns that
    /// server alone. Servers with missing entries are always included: how long they are used also depends on outages of
    /// the store. What the configuration and the number of hosts change is the same for all servers of a service, see
    /// [`Self::sync_service`].
    fn outdated_servers(
        &self,
        changes: &[ViewChange],
        gone: Vec<ServerName>,
    ) -> BTreeSet<ServerName> {
        let concerns_all = changes.iter().any(|change| match change {
            ViewChange::DrainedDc(_) | ViewChange::RestoredDc(_) => true,
            ViewChange::Own(key) => key.starts_with(TRAFFIC_RULES),
            ViewChange::Config { .. }
            | ViewChange::OldConfig { .. }
            | ViewChange::Server(_)
            | ViewChange::ServerGone(_)
            | ViewChange::Unreadable(_) => false,
        });
        let view = self.store_view.borrow();
        let mut outdated: BTreeSet<ServerName> = gone.into_iter().collect();
        if concerns_all {
            outdated.extend(view.servers().map(|e| e.member.life.name.clone()));
            return outdated;
        }
        outdated.extend(changes.iter().filter_map(|change| match change {
            ViewChange::Server(name) | ViewChange::ServerGone(name) => Some(name.clone()),
            _ => None,
        }));
        outdated.extend(view.missing_servers().cloned());
        outdated
    }

    fn apply_own(&self, key: &str) {
        if key.starts_with(HOSTS) {
            self.update_hosts();
        }
        self.apply_traffic(key);
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

    /// Applies changes of a key record from another host. Changes of a record that this host does not have are ignored;
    /// the other host sends the whole record when it is polled again.
    pub(crate) fn apply_key_changes(&self, service: &Service, changes: &KeyChanges) {
        let applied = service.keys.borrow_mut().apply_changes(self.now(), changes);
        log::info!(service:% = service.name, base = changes.base, fence = changes.fence,
            ranges = changes.owned.len() + changes.unowned.len(), applied = applied; "key_changes");
        if applied {
            service.changed.notify();
            self.feed_changed.notify();
        }
    }

    /// Updates settings and targets from the store view: the configuration's limits and organisations, and the given
    /// servers.
    fn sync(&self, outdated: &BTreeSet<ServerName>) {
        let view = self.store_view.borrow();
        if let Some(site) = view.site() {
            self.counters.config.set(site.version as i64);
            if self.organisations.apply_site(site) {
                self.quota.apply_site(site, self.process.instance_id);
            }
            let mut limits = self.limits.get();
            limits.max_head_bytes = site.limits.max_head;
            limits.max_body_bytes = site.limits.max_body;
            limits.head_timeout = site.limits.head_timeout;
            limits.idle_timeout = site.limits.idle_timeout;
            self.limits.set(limits);
        }
        for name in outdated {
            self.sync_server(&view, name);
        }
        for service in self.services() {
            self.sync_service(&view, &service);
            service.update_partitioned();
            service.update_notices(self.now());
            service.changed.notify();
        }
        self.feed_changed.notify();
    }

    /// Updates what the configuration and the number of hosts say of a service. Its servers are looked at only if that
    /// changed: there may be thousands.
    fn sync_service(&self, view: &View, service: &Service) {
        let spec = view.site().and_then(|s| s.service(&service.name));
        let connections = spec.map_or(u32::MAX, |s| s.max_connections);
        let share = connections / self.peers.borrow().sharing_hosts() as u32;
        service.set_connection_share(share.max(SERVER_CONNECTIONS_MIN));
        service.set_keyed(spec.is_some_and(|s| s.keyed));
    }

    /// Updates the target of a server, and removes the target of an incarnation that its entry no longer names.
    fn sync_server(&self, view: &View, name: &ServerName) {
        let entry = view.server(name);
        let registration = entry.map(|e| (e.member.service.clone(), e.member.life.clone()));
        let mut registrations = self.registrations.borrow_mut();
        let before = match &registration {
            Some(registration) => registrations.insert(name.clone(), registration.clone()),
            None => registrations.remove(name),
        };
        drop(registrations);
        if let Some((service, life)) = before.filter(|before| registration.as_ref() != Some(before))
        {
            self.service(&service).remove_target(self.now(), &life);
        }
        if let Some(entry) = entry {
            self.sync_target(view, &self.service(&entry.member.service), entry);
        }
    }

    fn sync_target(&self, view: &View, service: &Service, entry: &ServerEntry) {
        let member = &entry.member;
        let old = service
            .target(&member.life)
            .filter(|t| t.addr == member.addr);
        let target = match old {
            Some(target) => target,
            None => {
                let Ok(expect_header) = HeaderValue::from_str(member.life.name.as_str()) else {
                    log::warn!(server:% = member.life.name; "bad_server_name");
                    return;
                };
                let notices = service.known_notices(&member.life);
                let id = service.next_id();
                let target = Target::new(member, id, self.now(), expect_header, notices);
                let target = Rc::new(target);
                service.insert_target(&target);
                target
            }
        };
        // A server can start to warm up again at any time without a restart.
        target.extend_warmup(entry.updated, member.warmup_left);
        target.slots.set(member.slots);
        target
            .share
            .set(self.traffic.server_share(&member.life.name));
        service
            .loads
            .borrow_mut()
            .set(target.id, target.usable_slots());
        service.limit_connections(&target);
        let admission = if view.is_drained(&member.dc) || target.share.get().is_none() {
            Admission::Closed
        } else if entry.is_ready() && (entry.missing.is_none() || view.may_return(entry)) {
            Admission::Open
        } else {
            // A drain that this host has not seen begin may be over.
            entry.left_at().map_or(Admission::Closed, |since| {
                Admission::Draining(drain_end(since, self.boot().bounds.drain))
            })
        };
        if admission == Admission::Closed || !entry.is_ready() {
            target.pool.close_idle();
        }
        target.admission.set(admission);
        service.record_change(&target);
    }
}
