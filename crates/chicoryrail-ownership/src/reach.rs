//! Data centres that a host can reach.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;

use crate::Peers;

/// Maximum age of a server's last response for its data centre to count as reachable. Hosts of a usual size get a
/// response from each data centre several times within this time.
const RESPONSE_AGE_MAX: Millis = Millis(600);

/// Time for which all servers of a data centre must have left the leader's calls unanswered for the data centre
/// to count as unreachable. When a data centre is lost, another host's last heartbeat may still report responses
/// from before the loss (up to 600 ms old, with 400 ms until its next heartbeat). So with a shorter time, the
/// data centre would look like one that only this host can't reach.
const UNANSWERED_TIME_MIN: Millis = Millis(1_000);

/// Minimum number of servers in a data centre, none of which responds, for it to count as unreachable; a single
/// server may be faulty itself.
const UNANSWERED_SERVERS_MIN: usize = 2;

/// Time of the last response from each data centre.
#[derive(Clone, Debug, Default)]
pub struct DcReachability {
    last_responses: BTreeMap<DcName, Millis>,
    misses_servers: bool,
}

impl DcReachability {
    /// Records a response from a server in `dc`.
    pub fn record_response(&mut self, now: Millis, dc: &DcName) {
        match self.last_responses.get_mut(dc) {
            Some(last) => *last = now,
            None => {
                self.last_responses.insert(dc.clone(), now);
            }
        }
    }

    /// Sets whether this host can't reach servers with keys that others are likely to reach. It then counts as reaching
    /// no data centre, so that another host leads.
    pub const fn set_misses_servers(&mut self, misses: bool) {
        self.misses_servers = misses;
    }

    /// Returns the data centres that responded within the last 600 ms; none while this host can't reach servers with
    /// keys.
    #[must_use]
    pub fn reachable_dcs(&self, now: Millis) -> BTreeSet<DcName> {
        if self.misses_servers {
            return BTreeSet::new();
        }
        let recent = self.last_responses.iter();
        let recent = recent.filter(|(_, at)| now.since(**at) <= RESPONSE_AGE_MAX);
        recent.map(|(dc, _)| dc.clone()).collect()
    }

    /// Returns a data centre that this leader can't reach, if another host reaches it and also all those that
    /// this leader reaches; that host should lead instead.
    ///
    /// `servers` are the servers with keys: the data centre of each, and since when the server has not responded.
    /// Packets between two data centres may pass in one direction only. A leader in one of them would consider
    /// the other's servers lost and reassign their keys, although callers elsewhere can reach them.
    #[must_use]
    pub fn find_unreachable_dc<'a>(
        &self,
        now: Millis,
        servers: impl Iterator<Item = (&'a DcName, Option<Millis>)>,
        peers: &Peers,
    ) -> Option<DcName> {
        let mut by_dc: BTreeMap<&DcName, (usize, bool)> = BTreeMap::new();
        for (dc, since) in servers {
            let (count, all_unanswered) = by_dc.entry(dc).or_insert((0, true));
            *count += 1;
            *all_unanswered &= since.is_some_and(|at| now.since(at) >= UNANSWERED_TIME_MIN);
        }
        let reached = self.reachable_dcs(now);
        let lost = by_dc.into_iter().filter(|(_, (count, all_unanswered))| {
            *all_unanswered && *count >= UNANSWERED_SERVERS_MIN
        });
        let mut lost = lost.map(|(dc, _)| dc).filter(|dc| !reached.contains(*dc));
        lost.find(|dc| peers.any_reaches_all(now, &reached, dc))
            .cloned()
    }
}
