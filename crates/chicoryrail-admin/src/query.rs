//! Names and keys in request targets.

use chicoryrail_core::percent_decode;

use crate::ApiError;

/// Decodes a segment of a path or a value of a query.
///
/// # Errors
///
/// Refuses a broken escape and text that is not UTF-8.
pub(crate) fn decode(text: &str) -> Result<String, ApiError> {
    let bad = |reason| ApiError::field("request target", text, reason);
    let bytes =
        percent_decode(text).ok_or_else(|| bad("holds a % without two hexadecimal digits"))?;
    String::from_utf8(bytes).map_err(|_| bad("is not UTF-8"))
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
