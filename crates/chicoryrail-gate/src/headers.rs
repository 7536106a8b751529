//! Which headers go on.

use http::HeaderMap;
use http::HeaderName;

/// Names of the headers between gates.
pub(crate) mod inner {
    /// Server that the request is for.
    pub(crate) const SERVER: &str = "chicoryrail-server";
    /// Host of the gate that sends the request on.
    pub(crate) const GATE: &str = "chicoryrail-gate";
    /// Marks a second try, which is sent only where a slot is free.
    pub(crate) const HEDGE: &str = "chicoryrail-hedge";
    /// Result code of a gate's own answer.
    pub(crate) const CODE: &str = "chicoryrail-code";
    /// Load in front of the servers of the service that the sending gate holds.
    pub(crate) const LOAD: &str = "chicoryrail-load";
    /// Start of the names that only chicoryrail sets.
    pub(crate) const PREFIX: &str = "chicoryrail-";
}

/// Leaves what a caller may send on to a server. A fence of a caller's own would make a server that
/// checks fences refuse the owner's requests after it.
pub(crate) fn for_server(headers: HeaderMap) -> HeaderMap {
    let mut headers = end_to_end(headers);
    headers.remove(chicoryrail_platform::header::FENCE);
    headers
}

/// Removes the headers that concern one connection only, and those that only chicoryrail sets: a
/// caller or a server that sent them could pass for a gate.
pub(crate) fn end_to_end(headers: HeaderMap) -> HeaderMap {
    let mut headers = chicoryrail_runtime::end_to_end(headers);
    let ours: Vec<HeaderName> = headers
        .keys()
        .filter(|n| n.as_str().starts_with(inner::PREFIX))
        .cloned()
        .collect();
    for name in ours {
        headers.remove(name);
    }
    headers
}
