//! The content of the store, as far as this host has read it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use chicoryrail_core::DcName;
use chicoryrail_core::Member;
use chicoryrail_core::MemberState;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::Site;
use chicoryrail_platform::Change;
use chicoryrail_platform::ConfigEntry;
use chicoryrail_platform::DecodeError;
use chicoryrail_platform::Feed;
use chicoryrail_platform::Item;
use chicoryrail_platform::Snapshot;
use chicoryrail_platform::Subject;
use chicoryrail_platform::read_config;
use chicoryrail_platform::read_member;

/// Time after the store recovers from an outage in which servers can register again whose entries expired during the
/// outage. An entry that is missing after that is removed.
const REREGISTER_GRACE_TIME: Millis = Millis(2_000);

/// A change of the view.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ViewChange {
    /// Another configuration came into force.
    Config {
        /// Version before; 0 if there was none.
        from: u64,
        /// Version in force.
        to: u64,
        /// Values in the configuration that were ignored or replaced by a default, with the reason.
        invalid: Vec<DecodeError>,
    },
    /// A configuration is rejected because its version is below the one in force.
    OldConfig { version: u64, kept: u64 },
    /// A data centre was taken out of service.
    DrainedDc(DcName),
    /// A data centre was returned to service.
    RestoredDc(DcName),
    /// A server registered, or changed its entry.
    Server(ServerName),
    /// A server's entry is gone: deleted, or overwritten with a value that can't be decoded.
    ServerGone(ServerName),
    /// An entry can't be decoded. It is ignored; all other entries stay in force.
    Unreadable(DecodeError),
    /// One of the router's own keys was written or deleted.
    Own(String),
}

/// A server's entry, and when it changed.
#[derive(Clone, Debug)]
pub(crate) struct ServerEntry {
    pub(crate) member: Member,
    /// Revision of the entry in the store.
    pub(crate) revision: u64,
    /// When this host read this revision.
    pub(crate) updated: Millis,
    /// When this host last read the entry, changed or not.
    pub(crate) seen: Millis,
    /// When this host read that the server entered its current state; `None` if the server was in it already when this
    /// host first read its entry.
    pub(crate) since: Option<Millis>,
    /// When the entry disappeared. It still counts until [`View::expire`] removes it.
    pub(crate) missing: Option<Millis>,
}

/// A value that routers write themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OwnItem {
    pub(crate) value: Vec<u8>,
    pub(crate) revision: u64,
}

/// The content of the store, as far as this host has read it: the configuration, servers, drained data centres and the
/// router's own keys.
#[derive(Debug, Default)]
pub(crate) struct View {
    site: Option<Rc<Site>>,
    drained_dcs: BTreeSet<DcName>,
    servers: BTreeMap<ServerName, ServerEntry>,
    /// Servers whose entries are missing.
    missing: BTreeSet<ServerName>,
    own: BTreeMap<String, OwnItem>,
    /// Last revision of each entry that could not be decoded, by key.
    unreadable: BTreeMap<String, u64>,
    /// Revision up to which each feed was read.
    revisions: BTreeMap<Feed, u64>,
    /// When the store last recovered from an outage.
    recovered_at: Option<Millis>,
}

impl View {
    /// Returns the configuration in force.
    pub(crate) fn site(&self) -> Option<&Rc<Site>> {
        self.site.as_ref()
    }

    /// Returns `true` if a data centre is taken out of service.
    pub(crate) fn is_drained(&self, dc: &DcName) -> bool {
        self.drained_dcs.contains(dc)
    }

    /// Iterates over the servers' entries.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values()
    }

    /// Returns the entry of a server.
    pub(crate) fn server(&self, name: &ServerName) -> Option<&ServerEntry> {
        self.servers.get(name)
    }

    /// Iterates over the names of the servers whose entries are missing.
    pub(crate) fn missing_servers(&self) -> impl Iterator<Item = &ServerName> {
        self.missing.iter()
    }

    /// Returns the value of one of the router's own keys.
    pub(crate) fn own(&self, key: &str) -> Option<&OwnItem> {
        self.own.get(key)
    }

    /// Iterates over the router's own keys with the given prefix, and their values.
    pub(crate) fn own_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a OwnItem)> {
        let all = self.own.range(prefix.to_owned()..);
        all.take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, item)| (key.as_str(), item))
    }

    /// Returns the revision up to which a feed was read; `None` if it was not read yet.
    pub(crate) fn read_revision(&self, feed: Feed) -> Option<u64> {
        self.revisions.get(&feed).copied()
    }

    /// Records that a feed was read up to a revision; the recorded revision never decreases.
    pub(crate) fn advance(&mut self, feed: Feed, revision: u64) {
        let last = self.revisions.entry(feed).or_default();
        *last = revision.max(*last);
    }

    /// Returns the highest revision read from any feed, for the log.
    pub(crate) fn revision(&self) -> u64 {
        self.revisions.values().copied().max().unwrap_or_default()
    }

    /// Records that the store recovered from an outage at `at`.
    pub(crate) fn record_recovery(&mut self, at: Millis) {
        self.recovered_at = self.recovered_at.max(Some(at));
    }

    /// Returns when the store last recovered from an outage.
    pub(crate) const fn recovered_at(&self) -> Option<Millis> {
        self.recovered_at
    }

    /// Replaces the content of a feed by a snapshot and returns the changes.
    pub(crate) fn replace(&mut self, now: Millis, feed: Feed, all: &Snapshot) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        let keys = all.items.iter().map(|i| i.key.as_str());
        let present: BTreeSet<Subject> = keys.map(Subject::of).collect();
        for subject in self.subjects() {
            if feed.contains(&subject) && !present.contains(&subject) {
                changes.extend(self.remove(now, subject));
            }
        }
        for item in &all.items {
            changes.extend(self.put(now, item));
        }
        self.advance(feed, all.revision);
        changes
    }

    /// Returns the subjects of all known entries except the configuration, which stays in force if its key is deleted.
    fn subjects(&self) -> Vec<Subject> {
        let servers = self.servers.iter().filter(|(_, r)| r.missing.is_none());
        let servers = servers.map(|(name, _)| Subject::Server(name.clone()));
        let drained_dcs = self.drained_dcs.iter().cloned().map(Subject::DrainedDc);
        let own = self.own.keys().cloned().map(Subject::Own);
        servers.chain(drained_dcs).chain(own).collect()
    }

    /// Applies a change of a feed.
    pub(crate) fn apply(&mut self, now: Millis, change: &Change) -> Option<ViewChange> {
        match change {
            Change::Put(item) => self.put(now, item),
            Change::Gone { key, .. } => self.remove(now, Subject::of(key)),
        }
    }

    fn remove(&mut self, now: Millis, subject: Subject) -> Option<ViewChange> {
        match subject {
            Subject::Server(name) => self.mark_missing(now, name),
            Subject::DrainedDc(dc) => {
                let was = self.drained_dcs.remove(&dc);
                was.then_some(ViewChange::RestoredDc(dc))
            }
            Subject::Own(key) => {
                let was = self.own.remove(&key);
                was.map(|_| ViewChange::Own(key))
            }
            Subject::Config | Subject::Foreign => None,
        }
    }

    /// Returns `true` if an entry is missing, but its server may register again: the entry may have expired while the
    /// store was down, as it has not been read since. At any other time a missing entry means that the server has left.
    pub(crate) fn may_return(&self, entry: &ServerEntry) -> bool {
        let (Some(missing), Some(back)) = (entry.missing, self.recovered_at) else {
            return false;
        };
        entry.seen < back && missing < back + REREGISTER_GRACE_TIME
    }

    /// Removes the servers whose entries are missing and whose grace time is over, and returns their names. While the
    /// store is down again, servers can't register, and their grace time does not end.
    pub(crate) fn expire(&mut self, now: Millis, store_up: bool) -> Vec<ServerName> {
        let grace_end = self.recovered_at.unwrap_or_default() + REREGISTER_GRACE_TIME;
        let grace_over = store_up && now >= grace_end;
        let is_gone = |name: &&ServerName| {
            let entry = self.servers.get(*name);
            entry.is_none_or(|e| grace_over || !self.may_return(e))
        };
        let gone: Vec<_> = self.missing.iter().filter(is_gone).cloned().collect();
        for name in &gone {
            self.servers.remove(name);
            self.missing.remove(name);
        }
        gone
    }

    fn mark_missing(&mut self, now: Millis, name: ServerName) -> Option<ViewChange> {
        let entry = self.servers.get_mut(&name)?;
        entry.missing.get_or_insert(now);
        self.missing.insert(name.clone());
        Some(ViewChange::ServerGone(name))
    }

    fn put(&mut self, now: Millis, item: &Item) -> Option<ViewChange> {
        match Subject::of(&item.key) {
            Subject::Config => self.put_config(item),
            Subject::DrainedDc(dc) => {
                let new = self.drained_dcs.insert(dc.clone());
                new.then_some(ViewChange::DrainedDc(dc))
            }
            Subject::Server(name) => self.put_server(now, name, item),
            Subject::Own(key) => self.put_own(key, item),
            Subject::Foreign => None,
        }
    }

    fn put_config(&mut self, item: &Item) -> Option<ViewChange> {
        let ConfigEntry { site, invalid } = match read_config(&item.value) {
            Ok(entry) => entry,
            Err(e) => return self.unreadable(item, e),
        };
        let from = self.site.as_ref().map_or(0, |s| s.version);
        if site.version < from {
            let version = site.version;
            return Some(ViewChange::OldConfig {
                version,
                kept: from,
            });
        }
        if site.version == from {
            return None;
        }
        let to = site.version;
        self.site = Some(Rc::new(site));
        Some(ViewChange::Config { from, to, invalid })
    }

    fn put_server(&mut self, now: Millis, name: ServerName, item: &Item) -> Option<ViewChange> {
        let old = self.servers.get_mut(&name);
        if let Some(old) = old.filter(|o| o.revision >= item.revision && o.missing.is_none()) {
            old.seen = now;
            return None;
        }
        let old = self.servers.get(&name);
        let member = match read_member(&name, &item.value) {
            Ok(member) => member,
            Err(e) => {
                // The entry was overwritten with a value that can't be decoded: the old entry is no longer valid.
                let missing = self.mark_missing(now, name);
                return self.unreadable(item, e).or(missing);
            }
        };
        let known = old.filter(|o| o.member.life == member.life);
        let since = known.and_then(|o| match o.member.state == member.state {
            true => o.since,
            false => Some(now),
        });
        let entry = ServerEntry {
            member,
            revision: item.revision,
            updated: now,
            seen: now,
            since,
            missing: None,
        };
        self.missing.remove(&name);
        self.servers.insert(name.clone(), entry);
        Some(ViewChange::Server(name))
    }

    fn put_own(&mut self, key: String, item: &Item) -> Option<ViewChange> {
        let old = self.own.get(&key);
        if old.is_some_and(|o| o.revision >= item.revision) {
            return None;
        }
        let entry = OwnItem {
            value: item.value.clone(),
            revision: item.revision,
        };
        self.own.insert(key.clone(), entry);
        Some(ViewChange::Own(key))
    }

    /// Reports an entry that can't be decoded, once per revision of the entry.
    fn unreadable(&mut self, item: &Item, error: DecodeError) -> Option<ViewChange> {
        let last = self.unreadable.insert(item.key.clone(), item.revision);
        (last != Some(item.revision)).then_some(ViewChange::Unreadable(error))
    }
}

impl ServerEntry {
    /// Returns `true` if the server is registered as ready for new requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.member.state == MemberState::Ready
    }

    /// Returns when the server began to leave: to drain, or else to be missing. `None` if that is not known.
    pub(crate) fn left_at(&self) -> Option<Millis> {
        if self.is_ready() {
            self.missing
        } else {
            self.since
        }
    }
}
