//! Invariants asserted next to the safeguards that carry them.

use std::collections::BTreeMap;

use chicoryrail_core::Config;
use chicoryrail_core::Fence;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::Slice;
use chicoryrail_ownership::Act;
use chicoryrail_ownership::AssignRecord;
use chicoryrail_ownership::Section;
use chicoryrail_ownership::ServerView;
use chicoryrail_ownership::Work;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::Invariants;

use crate::held::Held;

/// What this holder has granted and not got back, kept apart from the section that decides.
///
/// A grant counts from the call, whether it is answered or not, until the server has answered the
/// release or the bound of its last session call has passed.
#[derive(Debug, Default)]
pub(crate) struct Grants {
    servers: BTreeMap<ServerName, Granted>,
    /// The assignment that the store has.
    pub(crate) stored: Option<AssignRecord>,
}

#[derive(Debug, Default)]
struct Granted {
    slices: Vec<Slice>,
    until: Millis,
}

impl Grants {
    /// Takes in that a session or grant call goes out, after which the server's session may last
    /// until `until`.
    fn called(&mut self, now: Millis, server: &ServerName, until: Millis, slices: &[Slice]) {
        let granted = self.servers.entry(server.clone()).or_default();
        if now >= granted.until {
            granted.slices.clear();
        }
        granted.until = granted.until.max(until);
        granted.slices.extend(slices);
    }

    /// Takes in that a server has answered a grant: what it held before is gone.
    pub(crate) fn granted(&mut self, server: &ServerName, slices: &[Slice]) {
        if let Some(granted) = self.servers.get_mut(server) {
            granted.slices = slices.to_vec();
        }
    }

    /// Takes in that a server has answered a release.
    pub(crate) fn released(&mut self, server: &ServerName, slices: &[Slice]) {
        if let Some(granted) = self.servers.get_mut(server) {
            for gone in slices {
                let rest = granted.slices.iter().flat_map(|s| without(*s, *gone));
                granted.slices = rest.flatten().collect();
            }
        }
    }

    /// Finds another server that may still hold a part of the slice.
    fn other(&self, now: Millis, server: &ServerName, slice: Slice) -> Option<&ServerName> {
        let overlaps = |s: &Slice| s.first <= slice.last && slice.first <= s.last;
        let mut others = self.servers.iter().filter(|(n, _)| *n != server);
        let found = others.find(|(_, g)| now < g.until && g.slices.iter().any(overlaps));
        found.map(|(name, _)| name)
    }

    /// Returns the stored owner of the slice.
    fn owner(&self, slice: Slice) -> Option<&ServerName> {
        let stored = self.stored.as_ref()?;
        let after = stored.starts.partition_point(|s| *s <= slice.first);
        let owner = stored.owners.get(after.checked_sub(1)?)?;
        stored.servers.get(*owner as usize)
    }
}

/// Returns what is left of a slice on both sides of another one.
fn without(slice: Slice, gone: Slice) -> [Option<Slice>; 2] {
    if gone.last < slice.first || slice.last < gone.first {
        return [Some(slice), None];
    }
    let before = (slice.first < gone.first).then(|| Slice {
        first: slice.first,
        last: gone.first - 1,
    });
    let after = (gone.last < slice.last).then(|| Slice {
        first: gone.last + 1,
        last: slice.last,
    });
    [before, after]
}

/// Asserts right before a call to a server.
pub(crate) fn before_call(all: &Invariants, held: &Held, act: &Act, now: Millis) {
    let left = held.holder.borrow().left(now);
    let valid = left > Millis::ZERO && !held.given.get();
    all.check(Invariant::ValidHolder, valid, || {
        format!("shard={} left_ms={}", held.shard, left.0)
    });
    let mut grants = held.grants.borrow_mut();
    let (server, slices): (_, &[Slice]) = match act {
        Act::Session {
            server,
            asof: Some(_),
            ..
        } => (server, &[]),
        Act::Grant { server, slices, .. } => (server, slices),
        _ => return,
    };
    for slice in slices {
        let other = grants.other(now, server, *slice);
        all.check(Invariant::OneOwner, other.is_none(), || {
            format!("shard={} server={server} held_by={other:?}", held.shard)
        });
        let owner = grants.owner(*slice);
        all.check(Invariant::StoredFirst, owner == Some(server), || {
            format!("shard={} server={server} stored={owner:?}", held.shard)
        });
    }
    let until = held.section().and_then(|cell| {
        let cell = cell.borrow();
        cell.as_ref()?.session(server).map(|s| s.bound())
    });
    grants.called(now, server, until.unwrap_or_default(), slices);
}

/// Asserts on a section's published table: its fence only rises, and it sends no work to servers
/// that are out, or no longer in the bundle.
pub(crate) fn published(
    all: &Invariants,
    config: &Config,
    service: &chicoryrail_core::Service,
    section: &Section,
    before: Fence,
) {
    let fence = section.fence();
    all.check(Invariant::FenceForward, fence >= before, || {
        format!("old={before} new={fence}")
    });
    let works = |s: &&ServerView| matches!(s.work, Work::Up | Work::Cold);
    for server in section.routes().servers.iter().filter(works) {
        let out = config.is_out(&server.name, &server.dc);
        all.check(Invariant::OutIdle, !out, || {
            format!("server={} fence={fence}", server.name)
        });
        let listed = service.servers.iter().any(|s| s.name == server.name);
        all.check(Invariant::LeavingIdle, listed, || {
            format!("server={} fence={fence}", server.name)
        });
    }
}
