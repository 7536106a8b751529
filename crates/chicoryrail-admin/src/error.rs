//! Refusals of the administration API.

use chicoryrail_core::BundleError;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::StoreError;
use snafu::Snafu;

/// A numbered refusal, with what was found where.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{message}"))]
pub struct ApiError {
    /// The numbered result.
    pub code: ResultCode,
    /// What is wrong, with the field and the value.
    pub message: String,
}

impl ApiError {
    /// Builds a refusal.
    #[must_use]
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    /// Builds the refusal of an unusable field.
    #[must_use]
    pub fn field(field: &str, value: &str, reason: &str) -> Self {
        Self::new(
            ResultCode::BadRequest,
            format!("{field} = {value:?}: {reason}"),
        )
    }

    /// Builds the refusal of a name that nothing has.
    #[must_use]
    pub fn unknown(field: &str, value: &str) -> Self {
        Self::new(
            ResultCode::NameUnknown,
            format!("{field} = {value:?}: nothing in force has this name"),
        )
    }
}

impl From<StoreError> for ApiError {
    fn from(e: StoreError) -> Self {
        Self::new(e.code(), e.to_string())
    }
}

impl From<BundleError> for ApiError {
    fn from(e: BundleError) -> Self {
        Self::new(e.code(), e.to_string())
    }
}
