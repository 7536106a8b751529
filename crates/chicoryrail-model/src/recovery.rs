//! Whether the key is granted again once disruptions have ended.

use chicoryrail_core::Millis;

use crate::Action;
use crate::Cut;
use crate::HostSet;
use crate::Model;
use crate::Role;
use crate::State;

impl Model {
    /// Ends all disruptions and lets every process do what is due at each tick; returns the number of ticks after which a
    /// server owns the key by a grant of the last term, or `None` if none does within `ticks_max`.
    #[must_use]
    pub fn ticks_to_grant(&self, state: &State, ticks_max: u64) -> Option<u64> {
        let mut state = state.clone();
        state.cut = Cut::default();
        state.store.listed = HostSet::first(self.config.hosts);
        for message in state.messages.clone() {
            self.apply(&mut state, Action::Lose(message));
        }
        for host in &mut state.hosts {
            host.paused = false;
        }
        let start = state.now;
        while state.now.since(start) <= Millis(ticks_max) {
            for h in 0..state.hosts.len() {
                self.work(&mut state, h);
                let granted = state.servers.iter().any(|s| {
                    s.holds(state.now)
                        && s.fence == state.store.keys.fence
                        && self.is_led_by_last_term(&state)
                });
                if granted {
                    return Some(state.now.since(start).0);
                }
            }
            self.apply(&mut state, Action::Tick);
        }
        None
    }

    /// Returns `true` if a host leads in the last term and has read the record of the keys.
    fn is_led_by_last_term(&self, state: &State) -> bool {
        let mut leaders = state.hosts.iter().filter_map(|host| host.leader());
        leaders.any(|l| {
            let written = l.keys.as_ref().is_some_and(|k| !k.is_write_pending());
            state.store.is_led(l.term) && written
        })
    }

    /// Lets a host do all that is due.
    fn work(&self, state: &mut State, h: usize) {
        // A host has few kinds of work, so this ends; the limit guards against a fault of the model.
        for _ in 0..16 {
            let steps = self.steps(state);
            let renewed = state.hosts[h]
                .leader()
                .is_some_and(|l| l.mandate(state.now, l.term).lease_age == Millis::ZERO);
            let due = steps.into_iter().find(|action| match action {
                Action::ReadTerm(own)
                | Action::Campaign(own)
                | Action::Elect(own)
                | Action::Stop(own)
                | Action::TakeOver(own)
                | Action::Commit(own)
                | Action::Release(own)
                | Action::Grant(own) => *own == h,
                Action::Renew(own) => *own == h && !renewed,
                _ => false,
            });
            let Some(action) = due else {
                break;
            };
            self.apply(state, action);
        }
        if matches!(state.hosts[h].role, Role::Leader(_)) {
            self.apply(state, Action::QueryAll(h));
        }
    }
}
