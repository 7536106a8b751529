//! The leadership of a host, decided by the program's own code.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyLeases;
use chicoryrail_ownership::term::LeaderClaim;
use chicoryrail_ownership::term::Mandate;
use chicoryrail_ownership::term::TermReply;

use crate::HostSet;

/// Maximum number of hosts in a model.
pub const HOSTS_MAX: usize = 5;

/// Leadership of one term: the claim and the key leases of the program, and what the model must know to tell states apart.
#[derive(Clone, Debug)]
pub struct Leader {
    /// Number of the term.
    pub term: u64,
    /// When the host learnt that it was elected.
    pub elected_at: Millis,
    /// Recorded voters of the predecessor.
    pub former: Option<HostSet>,
    /// Voters that count.
    pub voters: HostSet,
    /// Voters that are being written.
    pub next_voters: Option<HostSet>,
    /// Revision of the record of the term that it wrote last.
    pub revision: u64,
    /// Last reply of each host.
    pub replies: [Option<TermReply>; HOSTS_MAX],
    /// When it was found that the predecessor has stopped.
    pub stopped_at: Option<Millis>,
    pub(crate) claim: Rc<LeaderClaim>,
    pub(crate) keys: Option<Rc<KeyLeases>>,
}

impl Leader {
    /// Returns what its right to act rests on.
    #[must_use]
    pub fn mandate(&self, now: Millis, highest_term: u64) -> Mandate {
        self.claim.mandate(now, highest_term)
    }

    /// Returns the key leases for a change.
    pub(crate) fn keys_mut(&mut self) -> Option<&mut KeyLeases> {
        self.keys.as_mut().map(Rc::make_mut)
    }

    /// Returns the claim for a change.
    pub(crate) fn claim_mut(&mut self) -> &mut LeaderClaim {
        Rc::make_mut(&mut self.claim)
    }

    /// Returns `true` if a server has refused its fencing token.
    pub(crate) fn is_deposed(&self) -> bool {
        self.keys.as_ref().is_some_and(|keys| keys.is_deposed())
    }

    /// Records a reply as the claim does.
    pub(crate) fn note_reply(&mut self, host: usize, reply: TermReply) {
        let known = self.replies[host].get_or_insert(reply);
        if known.asked_at <= reply.asked_at {
            *known = reply;
        }
    }

    /// Returns the number of voters of the predecessor that know this term; the leader itself is one.
    pub(crate) fn knowing(&self, own: usize, former: HostSet) -> usize {
        let knows = |h: &usize| {
            let reply = self.replies[*h];
            *h == own || reply.is_some_and(|r| r.term >= self.term)
        };
        former.iter().filter(knows).count()
    }

    /// Tells the key leases that the predecessor has stopped, if that is so.
    pub(crate) fn apply_stop(&mut self, at: Option<Millis>) {
        self.stopped_at = at;
        if let Some((at, keys)) = at.zip(self.keys_mut()) {
            keys.predecessor_stopped(at);
        }
    }
}
