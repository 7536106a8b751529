//! The stand-in of a target (server).

mod answer;
mod cold;
mod fault;
mod ledger;
mod options;
mod ownership;
mod server;
mod slots;
mod state;
mod work;

pub use answer::AnswerHead;
pub use fault::TargetFault;
pub use ledger::Ledger;
pub use ledger::Overrun;
pub use ledger::Run;
pub use options::TargetOptions;
pub use ownership::Ownership;
pub use ownership::Permit;
pub use ownership::Refusal;
pub use server::TargetServer;
