//! Chaos runs: real processes under random load and injected faults.

mod context;
mod cut_form;
mod fault;
mod fault_record;
mod host_series;
mod inject;
mod options;
mod pause;
mod random_fault;
mod run;
mod series_task;
mod summary;
mod target_faults;
mod target_series;
mod worker;

pub(crate) use fault::Fault;
pub(crate) use fault_record::FaultRecord;
pub use options::ChaosOptions;
pub use run::run;
pub use summary::Summary;
