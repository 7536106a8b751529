//! Terms of leadership: which host may act as the leader, and when its predecessor has certainly stopped.
//!
//! A leader without the store acts by the replies of a majority of its *voters*, a set of core hosts that the store
//! records with the term. A successor takes nothing from a server that it can't reach before it knows that no majority
//! of the same set supports an earlier leader. Neither counts the hosts that it happens to know.

mod claim;
mod mandate;
mod record;
mod reply;
mod support;
mod supporter;
mod timing;
mod voters;

pub use claim::Campaign;
pub use claim::LeaderClaim;
pub use mandate::Basis;
pub use mandate::Mandate;
pub use record::TermRecord;
pub use reply::TermReply;
pub use support::Support;
pub use supporter::Supporter;
pub use timing::TermTiming;
pub use voters::VoterCandidate;
pub use voters::Voters;
