//! How messages state the ends of their bodies (RFC 9112, section 6).

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::Version;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use hyper::body::Body as HttpBody;

use crate::Body;

/// Returns `true` if the body of a message comes in a transfer coding that is undone when it is read: in none, or in
/// chunks alone. The bytes of any other would be taken for the body.
#[must_use]
pub fn has_known_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    }
}

/// Returns `true` if a message states the end of its body in two ways. The other side may have meant either.
#[must_use]
pub fn has_two_framings(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH)
}

/// Frames a request that is forwarded: by the length that its sender has stated, or in chunks. Without a statement the
/// HTTP layer would send no body with methods that usually have none.
pub fn frame_request(request: &mut Request<Body>) {
    if !request.body().is_end_stream() && !request.headers().contains_key(CONTENT_LENGTH) {
        let chunked = HeaderValue::from_static("chunked");
        request.headers_mut().insert(TRANSFER_ENCODING, chunked);
    }
}

/// Frames the response to a request with `method` that is forwarded: by what its body is, whatever its sender has stated.
/// The length in a response to `HEAD` remains, which has no body.
pub fn frame_response<B>(response: &mut Response<B>, method: &Method) {
    let headers = response.headers_mut();
    headers.remove(TRANSFER_ENCODING);
    let length = headers.remove(CONTENT_LENGTH);
    let is_number = |v: &HeaderValue| !v.is_empty() && v.as_bytes().iter().all(u8::is_ascii_digit);
    if let Some(length) = length.filter(|v| method == Method::HEAD && is_number(v)) {
        headers.insert(CONTENT_LENGTH, length);
    }
}

/// Returns `true` if the end of a response to a request of `version` is the end of its connection: the length of the body
/// is not known, and the caller does not know chunks.
pub(crate) fn is_close_delimited(version: Version, response: &Response<Body>) -> bool {
    let body = response.body();
    version < Version::HTTP_11 && !body.is_end_stream() && body.size_hint().exact().is_none()
}
