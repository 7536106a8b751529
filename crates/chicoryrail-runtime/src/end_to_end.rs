//! Which headers go on.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Headers that concern one connection only.
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

/// Removes the headers that concern one connection only, also those that the sender names as such.
#[must_use]
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    if let Some(named) = headers.remove(header::CONNECTION) {
        for name in named.to_str().unwrap_or("").split(',') {
            headers.remove(name.trim());
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers
}
