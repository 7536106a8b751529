//! Headers of a relay's reply. A host of an earlier version neither sends nor reads them.

use chicoryrail_core::Millis;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use crate::messages::FEED_COUNT;
use crate::state::Router;

/// Header of a reply with the time in milliseconds for which its poll waited at the relay.
const HELD_HEADER: HeaderName = HeaderName::from_static("held-ms");

/// Header of a reply with the time in milliseconds since a host that watches the store read the relay's configuration.
const CONFIG_AGE_HEADER: HeaderName = HeaderName::from_static("config-age-ms");

/// Header of a reply with the digest of each feed of the relay, separated by commas, once it has read all feeds.
const DIGESTS_HEADER: HeaderName = HeaderName::from_static("feed-digests");

/// Sets the headers of a reply to a poll that arrived at `received`.
pub(super) fn set(router: &Router, received: Millis, headers: &mut HeaderMap) {
    set_times(router, received, headers);
    set_digests(router, headers);
}

/// Returns how long the poll waited at the relay.
pub(super) fn held(headers: &HeaderMap) -> Option<Millis> {
    millis(headers, &HELD_HEADER)
}

/// Returns the age of the relay's configuration when it wrote the reply.
pub(super) fn config_age(headers: &HeaderMap) -> Option<Millis> {
    millis(headers, &CONFIG_AGE_HEADER)
}

/// Returns the digests of the relay's feeds.
pub(super) fn digests(headers: &HeaderMap) -> Option<[u64; FEED_COUNT]> {
    let value = headers.get(DIGESTS_HEADER)?.to_str().ok()?;
    let digests: Result<Vec<u64>, _> = value.split(',').map(str::parse).collect();
    digests.ok()?.try_into().ok()
}

/// Returns a time in milliseconds from a header; `None` if the relay does not send it.
fn millis(headers: &HeaderMap, name: &HeaderName) -> Option<Millis> {
    let value = headers.get(name)?.to_str().ok()?;
    value.parse().ok().map(Millis)
}

/// Sets the header by which a host finds out whether it holds the same items after this reply.
fn set_digests(router: &Router, headers: &mut HeaderMap) {
    let logs = router.feed_logs.borrow();
    if logs.iter().any(|log| log.last_revision().is_none()) {
        return;
    }
    let digests: Vec<String> = logs.iter().map(|log| log.digest().to_string()).collect();
    if let Ok(value) = HeaderValue::from_str(&digests.join(",")) {
        headers.insert(DIGESTS_HEADER, value);
    }
}

/// Sets the headers that tell how long the poll that arrived at `received` waited, and how old the configuration is.
fn set_times(router: &Router, received: Millis, headers: &mut HeaderMap) {
    let now = router.now();
    headers.insert(HELD_HEADER, HeaderValue::from(now.since(received).0));
    if let Some(read_at) = router.source.config_read_at.get() {
        headers.insert(CONFIG_AGE_HEADER, HeaderValue::from(now.since(read_at).0));
    }
}
