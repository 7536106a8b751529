//! Steps of the model.

use std::fmt;

use crate::Cut;
use crate::Disruptions;
use crate::HostSet;
use crate::Message;

/// Step of the model; at each step one thing happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A tick passes.
    Tick,
    /// A host reads the record of the last term and opens a lease.
    Campaign(usize),
    /// The host that campaigns writes the leader's key and the record.
    Elect(usize),
    /// As [`Action::Elect`], but the host never learns that it was elected.
    ElectUnheard(usize),
    /// The leader renews its store lease.
    Renew(usize),
    /// A leader that knows that its term has ended stops.
    Stop(usize),
    /// The leader queries all hosts, and those that it reaches reply at once.
    QueryAll(usize),
    /// The leader sends a query to one host.
    Query(usize, usize),
    /// A message arrives.
    Deliver(Message),
    /// A message is lost.
    Lose(Message),
    /// A host that has started reads the record of the last term.
    ReadTerm(usize),
    /// The leader reads the record of the keys.
    TakeOver(usize),
    /// The leader writes the record of the keys.
    Commit(usize),
    /// The leader plans to move the key to the other server.
    Move(usize),
    /// The leader grants the key to a server, which replies at once.
    Grant(usize),
    /// The leader sends a grant, whose reply is lost.
    SendGrant(usize),
    /// The leader releases the key at a server.
    Release(usize),
    /// The leader writes the hosts that are listed as the voters.
    WriteVoters(usize),
    /// As [`Action::WriteVoters`], but the leader does not learn that they were stored.
    WriteVotersUnheard(usize),
    /// The leader is about to write the voters, and the write is never stored.
    BeginVoters(usize),
    /// The network is cut.
    Cut(Cut),
    /// The network is whole again.
    Heal,
    /// A process stands still.
    Pause(usize),
    /// A process goes on.
    Resume(usize),
    /// A process ends and another one starts in its place, without memory.
    Restart(usize),
    /// The entries of hosts in the list of hosts end.
    Lapse(HostSet),
    /// All hosts are listed again.
    Join,
}

impl Action {
    /// Returns the number of such disruptions that may still happen; `None` if the step is no disruption.
    pub(crate) const fn disruption(self, left: &mut Disruptions) -> Option<&mut u8> {
        match self {
            Self::ElectUnheard(_) | Self::WriteVotersUnheard(_) => Some(&mut left.lost_responses),
            Self::Cut(_) => Some(&mut left.cuts),
            Self::Pause(_) => Some(&mut left.pauses),
            Self::Restart(_) => Some(&mut left.restarts),
            Self::Lapse(_) => Some(&mut left.lapses),
            _ => None,
        }
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tick => write!(f, "a tick passes"),
            Self::Campaign(h) => write!(
                f,
                "h{h} campaigns: reads the record of the last term, opens a lease"
            ),
            Self::Elect(h) => write!(f, "h{h} writes the leader's key and the record"),
            Self::ElectUnheard(h) => {
                write!(
                    f,
                    "h{h} writes the leader's key and the record, the response is lost"
                )
            }
            Self::Renew(h) => write!(f, "h{h} renews its store lease"),
            Self::Stop(h) => write!(f, "h{h} stops leading"),
            Self::QueryAll(h) => {
                write!(f, "h{h} queries all hosts, those in reach reply at once")
            }
            Self::Query(h, to) => write!(f, "h{h} sends a query to h{to}"),
            Self::Deliver(message) => write!(f, "{message} arrives"),
            Self::Lose(message) => write!(f, "{message} is lost"),
            Self::ReadTerm(h) => write!(f, "h{h} reads the record of the last term"),
            Self::TakeOver(h) => write!(f, "h{h} reads the record of the keys"),
            Self::Commit(h) => write!(f, "h{h} writes the record of the keys"),
            Self::Move(h) => write!(f, "h{h} plans to move the key to the other server"),
            Self::Grant(h) => write!(f, "h{h} grants the key"),
            Self::SendGrant(h) => write!(f, "h{h} sends a grant of the key"),
            Self::Release(h) => write!(f, "h{h} releases the key"),
            Self::WriteVoters(h) => write!(f, "h{h} writes the listed hosts as voters"),
            Self::WriteVotersUnheard(h) => write!(
                f,
                "h{h} writes the listed hosts as voters, the response is lost"
            ),
            Self::BeginVoters(h) => write!(
                f,
                "h{h} begins to write the listed hosts as voters, the request is lost"
            ),
            Self::Cut(cut) => write!(f, "{cut} are cut off from the others and the store"),
            Self::Heal => write!(f, "the network is whole again"),
            Self::Pause(h) => write!(f, "h{h} stands still"),
            Self::Resume(h) => write!(f, "h{h} goes on"),
            Self::Restart(h) => write!(f, "h{h} restarts without memory"),
            Self::Lapse(hosts) => write!(f, "{hosts} are no longer listed"),
            Self::Join => write!(f, "all hosts are listed again"),
        }
    }
}
