//! The stand-in of a target (server).

mod answer;
mod cold;
mod fault;
mod holding;
mod ledger;
mod limited;
mod options;
mod presence;
mod server;
mod slots;
mod state;
mod work;

pub use answer::AnswerHead;
pub use fault::TargetFault;
pub use holding::FenceOld;
pub use holding::Holding;
pub use holding::Permit;
pub use ledger::Ledger;
pub use ledger::LimitOverrun;
pub use ledger::Overrun;
pub use ledger::Run;
pub use options::TargetOptions;
pub use server::TargetServer;
