//! Why a command did not succeed.

use std::io;
use std::path::PathBuf;

use chicoryrail_core::ResultCode;
use chicoryrail_runtime::HttpError;
use snafu::Snafu;

/// Why a command did not succeed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// The administration API refused the call.
    #[snafu(display("{message}"))]
    Refused {
        /// Number of the result.
        code: u16,
        /// What the API says.
        message: String,
    },
    /// The administration API did not answer; a change may or may not have been made.
    #[snafu(display("the administration API gives no answer: {source}"))]
    Silent {
        /// What the call says.
        source: HttpError,
    },
    /// The administration API's answer can't be read.
    #[snafu(display("the administration API's answer is not as expected: {source}"))]
    Answer {
        /// What the parser says.
        source: serde_json::Error,
    },
    /// A file can't be read or written.
    #[snafu(display("file {}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A file holds no private key.
    #[snafu(display("file {}: holds no ed25519 key of 32 bytes in base64", path.display()))]
    Key {
        /// The file.
        path: PathBuf,
    },
    /// A change is stored but was not in force everywhere in time.
    #[snafu(display("version {version} is stored and was not in force everywhere in time"))]
    Late {
        /// Version that carries the change.
        version: u64,
    },
    /// A value can't stand in a request.
    #[snafu(display("request: {source}"))]
    Request {
        /// What the HTTP layer says.
        source: http::Error,
    },
}

impl CtlError {
    /// Returns the number of the result.
    #[must_use]
    pub const fn code(&self) -> u16 {
        match self {
            Self::Refused { code, .. } => *code,
            Self::Silent { .. } => ResultCode::OutcomeUnknown.number(),
            Self::Late { .. } => ResultCode::RollPending.number(),
            Self::Answer { .. } => ResultCode::Internal.number(),
            Self::File { .. } | Self::Key { .. } | Self::Request { .. } => {
                ResultCode::SettingInvalid.number()
            }
        }
    }
}
