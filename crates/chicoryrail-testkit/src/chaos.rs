//! Long randomised runs of real processes under faults.

mod act;
mod fault;
mod lane;
mod operator;
mod options;
mod run;
mod scene;
mod summary;
mod timeline;

pub(crate) use fault::Fault;
pub(crate) use fault::Ways;
pub(crate) use lane::FaultRecord;
pub use options::ChaosOptions;
pub use run::run;
pub use summary::Summary;
