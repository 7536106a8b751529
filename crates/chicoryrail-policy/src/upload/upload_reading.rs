//! Variants of the order in which an upload is read and takes a slot.

use std::str::FromStr;

/// How much of an upload's body is read before the upload takes a slot of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UploadReading {
    /// Nothing: the slot is taken first.
    SlotFirst,
    /// The start of the body.
    Start,
    /// The whole body if it is short enough and there is memory for it, else the start.
    #[default]
    Whole,
}

impl UploadReading {
    /// Returns the name in settings.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::SlotFirst => "slot-first",
            Self::Start => "start",
            Self::Whole => "whole",
        }
    }
}

impl FromStr for UploadReading {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let all = [Self::SlotFirst, Self::Start, Self::Whole];
        let found = all.into_iter().find(|r| r.name() == text);
        found.ok_or_else(|| "must be slot-first, start or whole".to_owned())
    }
}
