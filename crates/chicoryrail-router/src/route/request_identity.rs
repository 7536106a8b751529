//! What makes two requests the same: method, host name, path, key, organisation and body.
//!
//! An address identifies no caller: one may come from several, and several from one.

use std::hash::Hasher;

use chicoryrail_core::Fingerprint;
use chicoryrail_core::OrganisationName;
use chicoryrail_runtime::RequestBody;
use http::HeaderMap;
use http::Method;
use http::Uri;
use http::header::HOST;
use sha2::Digest;
use sha2::Sha256;
use siphasher::sip::SipHasher13;

/// The head of a request, without what differs between two attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestIdentity<'a> {
    pub(super) method: &'a Method,
    pub(super) uri: &'a Uri,
    pub(super) headers: &'a HeaderMap,
    pub(super) key: Option<u16>,
    /// Organisation of the caller, if the route needs one.
    pub(super) organisation: Option<&'a OrganisationName>,
}

impl RequestIdentity<'_> {
    /// Returns a hash of the head, which is the same at all hosts.
    pub(super) fn head_hash(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        self.visit_head(|field| {
            hasher.write_u64(field.len() as u64);
            hasher.write(field);
        });
        hasher.finish()
    }

    /// Returns the fingerprint. Of a body, the first 16 KiB count: the rest is streamed to the server once and is no longer at
    /// hand when the server has ended. Its declared length does not: the same body may also be sent in chunks.
    pub(super) fn fingerprint(&self, body: &RequestBody) -> Fingerprint {
        let mut hasher = Sha256::new();
        self.visit_head(|field| {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        });
        body.visit_start(|bytes| hasher.update(bytes));
        let hash = hasher.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash[..16]);
        Fingerprint::from(bytes)
    }

    fn visit_head(&self, mut visit: impl FnMut(&[u8])) {
        let host = self.headers.get(HOST);
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        visit(self.method.as_str().as_bytes());
        visit(host.map_or(&b""[..], |host| host.as_bytes()));
        visit(path.as_bytes());
        visit(&self.key.map_or([0, 0, 0], |key| {
            let [high, low] = key.to_be_bytes();
            [1, high, low]
        }));
        visit(
            self.organisation
                .map_or(&b""[..], |name| name.as_str().as_bytes()),
        );
    }
}
