//! A range of keys as an operator writes it.

use std::fmt;
use std::str::FromStr;

use chicoryrail_policy::PinRule;

/// A range of keys, `FIRST-LAST`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySpan {
    /// First key.
    pub first: u16,
    /// Last key, included.
    pub last: u16,
}

impl FromStr for KeySpan {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (first, last) = text
            .split_once('-')
            .ok_or_else(|| format!("range {text}: two keys with a hyphen between them expected"))?;
        let (first, last) = (key(first)?, key(last)?);
        PinRule::check_range(first, last).map_err(|e| e.to_string())?;
        Ok(Self { first, last })
    }
}

impl fmt::Display for KeySpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

fn key(text: &str) -> Result<u16, String> {
    text.parse()
        .map_err(|_| format!("key {text} is not a number from 0 to {}", u16::MAX))
}
