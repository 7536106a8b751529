//! Log lines of changes of the store view.

use chicoryrail_core::Millis;
use chicoryrail_runtime::Invariant;

use crate::state::Router;
use crate::state::ViewChange;
use crate::state::view::ServerEntry;

/// Largest number of servers changed at once for which each is logged. A host's first snapshot has all of them, and the
/// log would drop most of so many lines.
const SERVER_LINES_MAX: usize = 100;

impl Router {
    /// Logs the changes; a large number of changed servers, as in the first snapshot, in one line.
    pub(super) fn log_changes(&self, changes: &[ViewChange]) {
        let is_server =
            |c: &&ViewChange| matches!(c, ViewChange::Server(_) | ViewChange::ServerGone(_));
        let servers = changes.iter().filter(is_server).count();
        if servers <= SERVER_LINES_MAX {
            changes.iter().for_each(|change| self.log(change));
            return;
        }
        let gone = |c: &&ViewChange| matches!(c, ViewChange::ServerGone(_));
        let gone = changes.iter().filter(gone).count();
        let view = self.store_view.borrow();
        let warming_up = |e: &&ServerEntry| e.member.warmup_left > Millis::ZERO;
        let warming_up = view.servers().filter(warming_up).count();
        log::info!(changed = servers - gone, gone = gone, known = view.servers().count(),
            warming_up = warming_up, revision = view.revision(); "servers");
        drop(view);
        let others = changes.iter().filter(|c| !is_server(c));
        others.for_each(|change| self.log(change));
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
                if let Some(ServerEntry { member, .. }) = view.server(name) {
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
