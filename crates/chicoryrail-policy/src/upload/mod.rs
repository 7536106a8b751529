//! How much of an upload is read before it takes a slot of a server.

mod upload_plan;
mod upload_reading;

pub use upload_plan::UPLOAD_WINDOW_BYTES;
pub use upload_plan::UploadPlan;
pub use upload_reading::UploadReading;
