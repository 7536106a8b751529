//! Requests that end the servers that run them.

mod crash_record;
mod crash_table;
mod trial_board;

pub use crash_record::CrashRecord;
pub use crash_record::Standing;
pub use crash_table::CrashTable;
pub use trial_board::TrialBoard;
pub use trial_board::TrialRequest;
