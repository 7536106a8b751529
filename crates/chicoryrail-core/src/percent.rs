//! Percent-encoding of names and keys in request targets.

use std::fmt::Write as _;

/// Decodes the `%XX` sequences in `text`; returns `None` if a `%` is not followed by two hexadecimal digits.
///
/// A plus sign is not decoded to a space: paths don't encode spaces this way. The decoded bytes may be invalid UTF-8.
#[must_use]
pub fn percent_decode(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        rest = tail;
        if first != b'%' {
            bytes.push(first);
            continue;
        }
        let (hex, tail) = tail.split_at_checked(2)?;
        bytes.push(hex_value(hex[0])? << 4 | hex_value(hex[1])?);
        rest = tail;
    }
    Some(bytes)
}

/// Encodes each byte other than `A-Z a-z 0-9 - _ . ~` as `%XX`.
#[must_use]
pub fn percent_encode(text: &str) -> String {
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

fn hex_value(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
