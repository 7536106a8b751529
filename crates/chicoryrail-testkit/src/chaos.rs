//! Long randomised runs of real processes under faults.

mod act;
mod fault;
mod lane;
mod options;
mod run;
mod scene;
mod summary;

pub(crate) use fault::Fault;
pub(crate) use fault::FaultRecord;
pub use options::ChaosOptions;
pub use run::run;
pub use summary::Summary;
