//! Percent-encoding of names and keys in request targets.

use std::fmt::Write as _;

use crate::ApiError;

/// Decodes `%XX`; a plus sign stands for itself, as in paths.
///
/// # Errors
///
/// Refuses a cut escape and text that is not UTF-8.
pub fn decode(text: &str) -> Result<String, ApiError> {
    let bad = |reason| ApiError::field("request target", text, reason);
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        rest = tail;
        if first != b'%' {
            bytes.push(first);
            continue;
        }
        let hex = tail.get(..2).and_then(|h| std::str::from_utf8(h).ok());
        let byte = hex
            .filter(|h| h.bytes().all(|b| b.is_ascii_hexdigit()))
            .and_then(|h| u8::from_str_radix(h, 16).ok())
            .ok_or_else(|| bad("holds a % without two hexadecimal digits"))?;
        bytes.push(byte);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).map_err(|_| bad("is not UTF-8"))
}

/// Encodes everything but `A-Z a-z 0-9 - _ . ~`.
#[must_use]
pub fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for b in text.bytes() {
        if b.is_ascii_alphanumeric() || b"-_.~".contains(&b) {
            out.push(char::from(b));
        } else {
            let _ = write!(out, "%{b:02X}");
        }
    }
    out
}

/// Returns the decoded value of a query's field.
pub(crate) fn field(query: Option<&str>, name: &str) -> Result<Option<String>, ApiError> {
    let pairs = query.unwrap_or_default().split('&');
    for (key, value) in pairs.filter_map(|pair| pair.split_once('=')) {
        if key == name {
            return decode(value).map(Some);
        }
    }
    Ok(None)
}
