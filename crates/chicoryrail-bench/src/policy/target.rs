//! A small fake target: it only computes when work ends.

use crate::policy::spell::Spell;
use crate::policy::spell::SpellKind;

/// Time in which a cold target warms up where it gets no more than it bears.
pub(crate) const COLD_US: u64 = 3_000_000;

/// A fake target with its bad spells laid out before the run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    pub(crate) spells: Vec<Spell>,
    pub(crate) instance: u64,
    /// Copies in flight.
    pub(crate) flight: Vec<usize>,
    /// Whether the gates had a sign of the present cold spell: an answer or a broken connection.
    pub(crate) known: bool,
    /// Requests in flight, when one was added, over what a cold target bears.
    pub(crate) over: u32,
    /// The same, counted only from the first sign on.
    pub(crate) over_known: u32,
}

impl Target {
    pub(crate) fn spell(&self, now: u64) -> Option<&Spell> {
        self.spells.iter().find(|s| s.from <= now && now < s.to)
    }

    pub(crate) fn is_cold(&self, now: u64) -> bool {
        let spell = self.spell(now);
        spell.is_some_and(|s| matches!(s.kind, SpellKind::Cold { .. }))
    }

    pub(crate) fn is_down(&self, now: u64) -> bool {
        self.spell(now).is_some_and(|s| s.kind == SpellKind::Down)
    }

    pub(crate) fn start(&mut self, now: u64, copy: usize) {
        self.flight.push(copy);
        if self.is_cold(now) {
            let n = self.flight.len() as u32;
            self.over = self.over.max(n);
            if n > 1 {
                self.fall(now);
            }
            if self.known {
                self.over_known = self.over_known.max(n);
            }
        }
    }

    /// Starts a cold spell anew, as long as it was at first.
    fn fall(&mut self, now: u64) {
        let spell = self.spells.iter_mut().find(|s| s.from <= now && now < s.to);
        if let Some(s) = spell
            && matches!(s.kind, SpellKind::Cold { falls: true, .. })
        {
            s.to = s.to.max(now + COLD_US);
        }
    }

    pub(crate) fn end(&mut self, copy: usize) {
        self.flight.retain(|c| *c != copy);
    }

    /// Takes in that a gate got an answer, or lost a connection; a cancelled request shows nothing.
    pub(crate) fn saw_end(&mut self, now: u64) {
        self.known = self.is_cold(now);
    }

    /// Returns when `work` that starts at `now` ends, at the pace of the spells on the way.
    pub(crate) fn finish(&self, now: u64, work: u64) -> u64 {
        let mut t = now;
        let mut left = work as f64;
        loop {
            let (factor, end) = match self.spell(t) {
                Some(s) => (s.kind.factor(), s.to),
                None => (1.0, self.next_spell(t)),
            };
            let span = (end - t) as f64 / factor;
            if left <= span {
                return t + (left * factor) as u64;
            }
            left -= span;
            t = end;
        }
    }

    fn next_spell(&self, now: u64) -> u64 {
        let starts = self.spells.iter().map(|s| s.from).filter(|f| *f > now);
        starts.min().unwrap_or(u64::MAX / 2)
    }
}
