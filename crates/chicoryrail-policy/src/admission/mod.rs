//! Identifies the organisation of a request, and checks that this host's configuration is recent enough to do so.

mod freshness;
mod key_index;

pub use freshness::Freshness;
pub use key_index::KeyIndex;
