//! Reports on the traffic of services that an operator watches.

mod board;
mod report;
mod tally;

pub(crate) use board::TrafficBoard;
pub(crate) use report::report_traffic;
