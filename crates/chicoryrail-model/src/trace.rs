//! Steps in words.

use std::fmt::Write;

use crate::Action;
use crate::Model;
use crate::State;
use crate::model::EPOCH;

impl Model {
    /// Describes steps from the first state, one a line, with the tick and what a step led to.
    #[must_use]
    pub fn describe(&self, steps: &[Action]) -> String {
        let mut state = self.initial();
        let mut text = String::new();
        let hosts = self.config.hosts;
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{hosts} hosts, rule {}; h0 leads in term 1, s0 owns the key until tick {}",
            self.config.rule.name(),
            state.servers[0].held_until.since(EPOCH).0,
        );
        for (i, action) in steps.iter().enumerate() {
            let before = state.clone();
            self.apply(&mut state, *action);
            let effect = self.effect(&before, &state, *action);
            let tick = before.now.since(EPOCH).0;
            let _ = writeln!(text, "{:>3}  tick {tick:>2}  {action}{effect}", i + 1);
        }
        if state.is_breach() {
            let ends = state.servers.map(|s| s.held_until.since(EPOCH).0);
            let _ = writeln!(
                text,
                "OWNER broken at tick {}: s0 owns the key until tick {}, s1 until tick {}",
                state.now.since(EPOCH).0,
                ends[0],
                ends[1],
            );
        }
        text
    }

    fn effect(&self, before: &State, after: &State, action: Action) -> String {
        let mut text = String::new();
        for (s, (old, new)) in before.servers.iter().zip(&after.servers).enumerate() {
            if old.held_until != new.held_until {
                let until = new.held_until.since(EPOCH).0;
                let _ = write!(text, "; s{s} owns the key until tick {until}");
            }
        }
        if let Action::Grant(h) | Action::SendGrant(h) = action {
            let mandate = self.mandate(before, h);
            let term = before.hosts[h].leader().map_or(0, |l| l.term);
            let _ = write!(text, "; term {term}, basis {}", mandate.basis.name());
            if mandate.support.voters > 0 {
                let support = mandate.support;
                let _ = write!(text, ", {} of {} voters", support.hosts, support.voters);
            }
        }
        for (h, (old, new)) in before.hosts.iter().zip(&after.hosts).enumerate() {
            match (old.leader(), new.leader()) {
                (None, Some(leader)) => {
                    let _ = write!(text, "; h{h} leads in term {}", leader.term);
                }
                (Some(old), Some(new)) if old.stopped_at.is_none() && new.stopped_at.is_some() => {
                    let _ = write!(text, "; h{h} takes its predecessor for stopped");
                }
                _ => {}
            }
        }
        if before.store.leader.is_some() && after.store.leader.is_none() {
            text += "; the store lease of the leader ends";
        }
        text
    }
}
