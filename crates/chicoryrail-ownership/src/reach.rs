//! Which data centres a host reaches.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;

use crate::Peers;

/// Age of a server's last answer up to which its data centre counts as reached. Hosts of a usual size get an
/// answer from each data centre several times in it.
const ANSWER_AGE_MAX: Millis = Millis(600);

/// Time for which all servers of a data centre must have been silent to the leader. It is longer than the last
/// heartbeat of another host may speak of answers from before a loss (600 ms, and 400 ms until its next one), so a
/// data centre that is gone is not taken for one that only this host can't reach.
const SILENCE_MIN: Millis = Millis(1_000);

/// Fewest silent servers that tell something of a data centre; one alone may be ill.
const SERVERS_JUDGED_MIN: usize = 2;

/// When a server of each data centre answered last.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    answered: BTreeMap<DcName, Millis>,
}

impl Reach {
    /// Takes in that a server answered.
    pub fn answered(&mut self, now: Millis, dc: &DcName) {
        match self.answered.get_mut(dc) {
            Some(last) => *last = now,
            None => {
                self.answered.insert(dc.clone(), now);
            }
        }
    }

    /// Returns the data centres with an answer lately.
    #[must_use]
    pub fn lately(&self, now: Millis) -> BTreeSet<DcName> {
        let recent = self.answered.iter();
        let recent = recent.filter(|(_, at)| now.since(**at) <= ANSWER_AGE_MAX);
        recent.map(|(dc, _)| dc.clone()).collect()
    }

    /// Returns a data centre that this leader can't reach and another host can, beside all that this one
    /// reaches: that host should lead.
    ///
    /// `servers` are those with keys, each with its data centre and how long it has been silent. Packets may
    /// pass one way only between two data centres. A leader in one of them takes the other's servers for lost
    /// and gives their keys away, although callers elsewhere reach them.
    #[must_use]
    pub fn out_of_reach<'a>(
        &self,
        now: Millis,
        servers: impl Iterator<Item = (&'a DcName, Option<Millis>)>,
        peers: &Peers,
    ) -> Option<DcName> {
        let mut silent: BTreeMap<&DcName, (usize, bool)> = BTreeMap::new();
        for (dc, since) in servers {
            let (count, all) = silent.entry(dc).or_insert((0, true));
            *count += 1;
            *all &= since.is_some_and(|at| now.since(at) >= SILENCE_MIN);
        }
        let mine = self.lately(now);
        let lost = silent
            .into_iter()
            .filter(|(_, (count, all))| *all && *count >= SERVERS_JUDGED_MIN);
        let mut lost = lost.map(|(dc, _)| dc).filter(|dc| !mine.contains(*dc));
        lost.find(|dc| peers.reaches_all(now, &mine, dc)).cloned()
    }
}
