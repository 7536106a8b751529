//! What the store says, as far as this host has heard.

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

/// Time after the store's return in which the entries that lapsed while it was away come back. One that
/// is missing after that is gone.
const LAPSED_RETURN_TIME: Millis = Millis(2_000);

/// A change of what is believed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Belief {
    /// Another configuration is in force.
    Config {
        from: u64,
        to: u64,
        /// Words in it that this program does not know.
        unknown: Vec<DecodeError>,
    },
    /// A configuration is not above the one in force.
    OldConfig { version: u64, kept: u64 },
    /// A data centre is taken out.
    TakenOut(DcName),
    /// A data centre is taken back.
    TakenBack(DcName),
    /// A server registered, or changed its entry.
    Server(ServerName),
    /// A server's entry is gone.
    ServerGone(ServerName),
    /// An entry can't be read; it names nothing, and the others hold.
    Unreadable(DecodeError),
    /// A key of the system itself was written, or deleted.
    Own(String),
}

/// A server's entry, and since when.
#[derive(Clone, Debug)]
pub(crate) struct Registered {
    pub(crate) member: Member,
    /// Revision of the entry.
    pub(crate) revision: u64,
    /// When this host heard of this revision.
    pub(crate) heard: Millis,
    /// When this host heard of the server's present state.
    pub(crate) since: Millis,
    /// When the entry went away; it still counts until the store has been back long enough.
    pub(crate) missing: Option<Millis>,
}

/// A value of the system's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OwnItem {
    pub(crate) value: Vec<u8>,
    pub(crate) revision: u64,
}

/// What the store says, as far as this host has heard.
#[derive(Debug, Default)]
pub(crate) struct View {
    site: Option<Rc<Site>>,
    out: BTreeSet<DcName>,
    servers: BTreeMap<ServerName, Registered>,
    own: BTreeMap<String, OwnItem>,
    unreadable: BTreeMap<String, u64>,
    /// Revisions up to which the parts of the store were heard.
    heard: BTreeMap<Feed, u64>,
    /// When the store answered again after an outage.
    back: Option<Millis>,
}

impl View {
    /// Returns the configuration in force.
    pub(crate) fn site(&self) -> Option<&Rc<Site>> {
        self.site.as_ref()
    }

    /// Tells whether a data centre is taken out.
    pub(crate) fn is_out(&self, dc: &DcName) -> bool {
        self.out.contains(dc)
    }

    /// Iterates over the servers' entries.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &Registered> {
        self.servers.values()
    }

    /// Returns a value of the system's own.
    pub(crate) fn own(&self, key: &str) -> Option<&OwnItem> {
        self.own.get(key)
    }

    /// Iterates over the values of the system's own whose keys start with the prefix.
    pub(crate) fn own_below<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a OwnItem)> {
        let all = self.own.range(prefix.to_owned()..);
        all.take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, item)| (key.as_str(), item))
    }

    /// Returns the revision up to which a part of the store was heard; `None` where it was not read yet.
    pub(crate) fn heard(&self, feed: Feed) -> Option<u64> {
        self.heard.get(&feed).copied()
    }

    /// Takes in that a part was heard up to a revision.
    pub(crate) fn hear(&mut self, feed: Feed, revision: u64) {
        let heard = self.heard.entry(feed).or_default();
        *heard = revision.max(*heard);
    }

    /// Returns the highest revision heard of, for the log.
    pub(crate) fn revision(&self) -> u64 {
        self.heard.values().copied().max().unwrap_or_default()
    }

    /// Takes in that the store answered again at `at` after an outage.
    pub(crate) fn store_back(&mut self, at: Millis) {
        self.back = self.back.max(Some(at));
    }

    /// Returns when the store answered again after an outage.
    pub(crate) const fn back(&self) -> Option<Millis> {
        self.back
    }

    /// Takes in everything that the store has of a part.
    pub(crate) fn replace(&mut self, now: Millis, feed: Feed, all: &Snapshot) -> Vec<Belief> {
        let mut told = Vec::new();
        let keys = all.items.iter().map(|i| i.key.as_str());
        let present: BTreeSet<Subject> = keys.map(Subject::of).collect();
        for subject in self.subjects() {
            if feed.holds(&subject) && !present.contains(&subject) {
                told.extend(self.gone(now, subject));
            }
        }
        for item in &all.items {
            told.extend(self.put(now, item));
        }
        self.hear(feed, all.revision);
        told
    }

    /// Returns what is known to be in the store, but for the configuration, which stays.
    fn subjects(&self) -> Vec<Subject> {
        let servers = self.servers.iter().filter(|(_, r)| r.missing.is_none());
        let servers = servers.map(|(name, _)| Subject::Server(name.clone()));
        let out = self.out.iter().cloned().map(Subject::TakenOut);
        let own = self.own.keys().cloned().map(Subject::Own);
        servers.chain(out).chain(own).collect()
    }

    /// Takes in a change.
    pub(crate) fn apply(&mut self, now: Millis, change: &Change) -> Option<Belief> {
        match change {
            Change::Put(item) => self.put(now, item),
            Change::Gone { key, .. } => self.gone(now, Subject::of(key)),
        }
    }

    fn gone(&mut self, now: Millis, subject: Subject) -> Option<Belief> {
        match subject {
            Subject::Server(name) => self.server_missing(now, name),
            Subject::TakenOut(dc) => {
                let was = self.out.remove(&dc);
                was.then_some(Belief::TakenBack(dc))
            }
            Subject::Own(key) => {
                let was = self.own.remove(&key);
                was.map(|_| Belief::Own(key))
            }
            Subject::Config | Subject::Foreign => None,
        }
    }

    /// Takes the entries off that went missing and have had their time to come back; returns their names.
    pub(crate) fn expire(&mut self, now: Millis) -> Vec<ServerName> {
        let back = self.back;
        let is_gone = |r: &Registered| {
            let Some(missing) = r.missing else {
                return false;
            };
            // Entries lapse while the store is away: in the time around an outage a missing entry says
            // nothing yet. At any other time it says that the server has left.
            match back {
                Some(back) if missing < back + LAPSED_RETURN_TIME => {
                    now >= back + LAPSED_RETURN_TIME
                }
                _ => true,
            }
        };
        let gone = self.servers.iter().filter(|(_, r)| is_gone(r));
        let gone: Vec<_> = gone.map(|(name, _)| name.clone()).collect();
        for name in &gone {
            self.servers.remove(name);
        }
        gone
    }

    fn server_missing(&mut self, now: Millis, name: ServerName) -> Option<Belief> {
        let entry = self.servers.get_mut(&name)?;
        entry.missing.get_or_insert(now);
        Some(Belief::ServerGone(name))
    }

    fn put(&mut self, now: Millis, item: &Item) -> Option<Belief> {
        match Subject::of(&item.key) {
            Subject::Config => self.put_config(item),
            Subject::TakenOut(dc) => {
                let new = self.out.insert(dc.clone());
                new.then_some(Belief::TakenOut(dc))
            }
            Subject::Server(name) => self.put_server(now, name, item),
            Subject::Own(key) => self.put_own(key, item),
            Subject::Foreign => None,
        }
    }

    fn put_config(&mut self, item: &Item) -> Option<Belief> {
        let ConfigEntry { site, unknown } = match read_config(&item.value) {
            Ok(entry) => entry,
            Err(e) => return self.unreadable(item, e),
        };
        let from = self.site.as_ref().map_or(0, |s| s.version);
        if site.version < from {
            let version = site.version;
            return Some(Belief::OldConfig {
                version,
                kept: from,
            });
        }
        if site.version == from {
            return None;
        }
        let to = site.version;
        self.site = Some(Rc::new(site));
        Some(Belief::Config { from, to, unknown })
    }

    fn put_server(&mut self, now: Millis, name: ServerName, item: &Item) -> Option<Belief> {
        let old = self.servers.get(&name);
        if old.is_some_and(|o| o.revision >= item.revision && o.missing.is_none()) {
            return None;
        }
        let member = match read_member(&name, &item.value) {
            Ok(member) => member,
            Err(e) => {
                // What another writer left in place of the entry names no server to use.
                let missing = self.server_missing(now, name);
                return self.unreadable(item, e).or(missing);
            }
        };
        let same = |o: &&Registered| {
            o.member.life == member.life && o.member.state == member.state && o.missing.is_none()
        };
        let since = old.filter(same).map_or(now, |o| o.since);
        let entry = Registered {
            member,
            revision: item.revision,
            heard: now,
            since,
            missing: None,
        };
        self.servers.insert(name.clone(), entry);
        Some(Belief::Server(name))
    }

    fn put_own(&mut self, key: String, item: &Item) -> Option<Belief> {
        let old = self.own.get(&key);
        if old.is_some_and(|o| o.revision >= item.revision) {
            return None;
        }
        let entry = OwnItem {
            value: item.value.clone(),
            revision: item.revision,
        };
        self.own.insert(key.clone(), entry);
        Some(Belief::Own(key))
    }

    /// Tells of an entry that can't be read, once for each revision of it.
    fn unreadable(&mut self, item: &Item, error: DecodeError) -> Option<Belief> {
        let last = self.unreadable.insert(item.key.clone(), item.revision);
        (last != Some(item.revision)).then_some(Belief::Unreadable(error))
    }
}

impl Registered {
    /// Tells whether the server takes new work.
    pub(crate) fn is_ready(&self) -> bool {
        self.member.state == MemberState::Ready
    }
}
