//! Bodies of HTTP messages.

use std::io;
use std::pin::Pin;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;

/// A body that is streamed frame by frame; it stays on the thread that made it.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = io::Error>>>;

/// Wraps bytes that are at hand.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Box::pin(Full::new(bytes.into()).map_err(|e| match e {}))
}

/// Returns a body without content.
#[must_use]
pub fn empty() -> Body {
    Box::pin(Empty::new().map_err(|e| match e {}))
}

/// Collects a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns `InvalidData` for a longer body, and the transport's error for one that is cut.
pub async fn collect<B>(body: B, limit: usize) -> io::Result<Bytes>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    collect_pieces(body, limit, |_| {}).await
}

/// Collects a body as [`collect`] does, and tells `arrived` of each piece.
pub(crate) async fn collect_pieces<B>(
    body: B,
    limit: usize,
    arrived: impl Fn(&Bytes),
) -> io::Result<Bytes>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(body);
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(io::Error::other)?;
        if let Ok(data) = frame.into_data() {
            arrived(&data);
            if all.len() + data.len() > limit {
                let text = format!("body is longer than {limit} bytes");
                return Err(io::Error::new(io::ErrorKind::InvalidData, text));
            }
            all.extend_from_slice(&data);
        }
    }
    Ok(all.freeze())
}
