//! Identifies the organisation of a request, and checks that this host's configuration is recent enough to do so.

mod api_key_index;
mod freshness;

pub use api_key_index::ApiKeyIndex;
pub use freshness::Freshness;
