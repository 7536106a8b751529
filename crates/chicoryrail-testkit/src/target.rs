//! A stand-in for a target (server), served over HTTP.

mod execution;
mod fault;
mod held_body;
mod leased_keys;
mod ledger;
mod limit_check;
mod options;
mod presence;
mod refusal;
mod request_end;
mod respond;
mod response;
mod response_headers;
mod server;
mod slots;
mod state;
mod warmup;
mod work;

pub use fault::TargetFault;
pub use leased_keys::LeasedKeys;
pub use leased_keys::Permit;
pub use leased_keys::StaleFence;
pub use ledger::Arrival;
pub use ledger::CancelledRun;
pub use ledger::Ledger;
pub use ledger::LimitOverrun;
pub use ledger::Notice;
pub use ledger::NoticeKind;
pub use ledger::Overrun;
pub use ledger::Run;
pub use options::TargetOptions;
pub use response::ResponseHead;
pub use server::TargetServer;
