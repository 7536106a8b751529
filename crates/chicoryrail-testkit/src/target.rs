//! A stand-in of a target (server), served over HTTP.

mod fault;
mod holding;
mod ledger;
mod limit_check;
mod options;
mod presence;
mod response;
mod server;
mod slots;
mod state;
mod warmup;
mod work;

pub use fault::TargetFault;
pub use holding::FenceOld;
pub use holding::Holding;
pub use holding::Permit;
pub use ledger::Ledger;
pub use ledger::LimitOverrun;
pub use ledger::Overrun;
pub use ledger::Run;
pub use options::TargetOptions;
pub use response::AnswerHead;
pub use server::TargetServer;
