//! Parameters in the query of a request.

use std::str::FromStr;

use http::Uri;

/// Returns the value of the parameter `name`; `None` where it is absent or can't be read.
#[must_use]
pub fn query<T: FromStr>(uri: &Uri, name: &str) -> Option<T> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .and_then(|(_, value)| value.parse().ok())
}
