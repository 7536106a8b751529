//! Forms of lost paths.

use serde::Deserialize;
use serde::Serialize;

/// How connections on a lost path fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum CutForm {
    /// New ones are refused, and open ones are lost.
    Refused,
    /// New ones get no answer, and open ones are lost.
    Silent,
    /// New ones are refused, and open ones live on.
    NewRefused,
}

impl CutForm {
    /// Returns the word for the list of cut paths.
    pub(crate) const fn word(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Silent => "silent",
            Self::NewRefused => "new",
        }
    }
}
