//! Query parameters of a request.

use std::str::FromStr;

use http::Uri;

/// Returns the parsed value of the query parameter `name`; `None` if it is absent or can't be parsed. The value is not
/// percent-decoded.
#[must_use]
pub fn query_param<T: FromStr>(uri: &Uri, name: &str) -> Option<T> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .and_then(|(_, value)| value.parse().ok())
}
