//! Notices of server incarnations that have no entry at this host.

use std::collections::HashMap;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_policy::ServerNotices;

/// Time for which notices are kept after the server's entry was removed, and after the last response that repeated
/// them. A server that registers again does so within seconds of the store's return.
const RETENTION: Millis = Millis(60_000);

/// Notices by incarnation, kept while the incarnation has no entry: an entry can expire in a store outage, and the same
/// incarnation then registers again.
#[derive(Debug, Default)]
pub(super) struct FormerNotices {
    by_life: HashMap<Life, Kept>,
}

#[derive(Debug)]
struct Kept {
    notices: ServerNotices,
    kept_at: Millis,
}

impl FormerNotices {
    /// Keeps an incarnation's notices, and drops those that were kept for too long.
    pub(super) fn keep(&mut self, now: Millis, life: &Life, notices: ServerNotices) {
        let recent = |kept: &Kept| now.since(kept.kept_at) < RETENTION;
        self.by_life.retain(|_, kept| recent(kept));
        if !notices.is_any_in_force(now) {
            return;
        }
        let kept = Kept {
            notices,
            kept_at: now,
        };
        self.by_life.insert(life.clone(), kept);
    }

    /// Returns the notices of an incarnation; none if it gave none.
    pub(super) fn of(&self, life: &Life) -> ServerNotices {
        let kept = self.by_life.get(life);
        kept.map_or_else(ServerNotices::default, |kept| kept.notices)
    }
}
