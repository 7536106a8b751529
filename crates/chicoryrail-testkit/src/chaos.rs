//! Chaos runs: real processes under random load and injected faults.

mod context;
mod cut_form;
mod fault;
mod inject;
mod options;
mod run;
mod summary;
mod worker;

pub(crate) use fault::Fault;
pub(crate) use fault::FaultRecord;
pub use options::ChaosOptions;
pub use run::run;
pub use summary::Summary;
