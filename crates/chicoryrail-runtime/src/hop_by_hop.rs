//! Removes hop-by-hop headers from forwarded messages.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    HeaderName::from_static("proxy-connection"),
];

/// Removes the hop-by-hop headers, including those that the sender lists in its `connection` header.
#[must_use]
pub fn strip_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    if let Some(listed) = headers.remove(header::CONNECTION) {
        for name in listed.to_str().unwrap_or("").split(',') {
            headers.remove(name.trim());
        }
    }
    // A length beside a transfer coding is not the body's.
    if headers.contains_key(header::TRANSFER_ENCODING) {
        headers.remove(header::CONTENT_LENGTH);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers
}
