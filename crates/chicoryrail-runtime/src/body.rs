//! Bodies of HTTP requests and responses.

use std::io;
use std::pin::Pin;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;

/// A body that is streamed frame by frame. It is not `Send`.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = io::Error>>>;

/// Returns a body of bytes that are already in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Box::pin(Full::new(bytes.into()).map_err(|e| match e {}))
}

/// Returns an empty body.
#[must_use]
pub fn empty_body() -> Body {
    Box::pin(Empty::new().map_err(|e| match e {}))
}

/// Reads a whole body of at most `limit` bytes into memory.
///
/// # Errors
///
/// Returns `InvalidData` if the body is longer than `limit`, and the transport's error if it ends early.
pub async fn collect_body<B>(body: B, limit: usize) -> io::Result<Bytes>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    collect_with_progress(body, limit, |_| {}).await
}

/// Reads a body like [`collect_body`] and calls `on_data` with each data frame.
pub(crate) async fn collect_with_progress<B>(
    body: B,
    limit: usize,
    on_data: impl Fn(&Bytes),
) -> io::Result<Bytes>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(body);
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(io::Error::other)?;
        if let Ok(data) = frame.into_data() {
            on_data(&data);
            if collected.len() + data.len() > limit {
                let text = format!("body exceeds {limit} bytes");
                return Err(io::Error::new(io::ErrorKind::InvalidData, text));
            }
            collected.extend_from_slice(&data);
        }
    }
    Ok(collected.freeze())
}
