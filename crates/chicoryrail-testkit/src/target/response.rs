//! Response bodies that name their request, so that a caller can check that a response is complete and belongs
//! to its request.

use std::io;
use std::pin::Pin;
use std::sync::LazyLock;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::CancellationToken;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use monoio::time::Sleep;
use monoio::time::sleep;
use serde::Deserialize;
use serde::Serialize;

/// Maximum size of a body frame in bytes.
const FRAME_BYTES: u64 = 16 << 10;

/// Delay before a body fails. Without it the HTTP layer would drop the bytes before the cut that it has not yet
/// written.
const FLUSH_DELAY: Millis = Millis(20);

/// The first line of a response's body, in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// Id of the request.
    pub request: String,
    /// Path of the request.
    pub path: String,
    /// Name of the server that responds.
    pub server: String,
    /// Number of filler bytes after the line.
    pub length: u64,
}

impl ResponseHead {
    /// Parses the first line of a body and verifies the filler after it. Returns `None` if the line is invalid, or if
    /// the filler is incomplete or does not match the request that the line names.
    #[must_use]
    pub fn check(body: &[u8]) -> Option<Self> {
        let end = body.iter().position(|b| *b == b'\n')?;
        let head: Self = serde_json::from_slice(&body[..end]).ok()?;
        let filler = &body[end + 1..];
        let mut offset = head.filler_offset();
        let is_complete = filler.len() as u64 == head.length
            && filler.chunks(FRAME_BYTES as usize).all(|chunk| {
                let is_expected = *chunk == filler_at(offset, chunk.len() as u64);
                offset += chunk.len() as u64;
                is_expected
            });
        is_complete.then_some(head)
    }

    /// Returns the position in the alphabet at which the filler of this request starts.
    fn filler_offset(&self) -> u64 {
        let sum: u64 = self.request.bytes().map(u64::from).sum();
        sum % 26
    }
}

/// Returns `count` letters, at most [`FRAME_BYTES`], of the endlessly repeated alphabet from position `offset`.
fn filler_at(offset: u64, count: u64) -> Bytes {
    static ALPHABET: LazyLock<Bytes> = LazyLock::new(|| {
        (0..FRAME_BYTES + 26)
            .map(|i| b'a' + (i % 26) as u8)
            .collect()
    });
    let first = (offset % 26) as usize;
    ALPHABET.slice(first..first + count as usize)
}

/// A response body: a first line and filler, generated frame by frame.
pub(crate) struct ResponseBody {
    /// The first line; `None` once it was returned.
    head: Option<Bytes>,
    /// Position in the alphabet of the first filler byte.
    offset: u64,
    /// Number of filler bytes generated so far.
    generated: u64,
    /// Total number of filler bytes.
    length: u64,
    /// Whether the length is withheld, so that the HTTP layer uses the chunked transfer encoding.
    chunked: bool,
    /// Number of bytes left before the body fails; `None` if it does not fail.
    bytes_until_cut: Option<u64>,
    /// The [`FLUSH_DELAY`] in progress.
    flush_delay: Option<Pin<Box<Sleep>>>,
    /// Cancelled when the body fails, if that ends the server.
    crash: Option<CancellationToken>,
}

impl ResponseBody {
    pub(crate) fn new(head: &ResponseHead, chunked: bool, bytes_until_cut: Option<u64>) -> Self {
        let mut line = serde_json::to_vec(head).unwrap_or_default();
        line.push(b'\n');
        Self {
            head: Some(line.into()),
            offset: head.filler_offset(),
            generated: 0,
            length: head.length,
            chunked,
            bytes_until_cut,
            flush_delay: None,
            crash: None,
        }
    }

    /// Cancels a token when the body fails.
    pub(crate) fn with_crash(mut self, crash: CancellationToken) -> Self {
        self.crash = Some(crash);
        self
    }

    fn remaining(&self) -> u64 {
        self.head.as_ref().map_or(0, |h| h.len() as u64) + self.length - self.generated
    }

    fn next_frame(&mut self) -> Option<Bytes> {
        if let Some(head) = self.head.take() {
            return Some(head);
        }
        let size = (self.length - self.generated).min(FRAME_BYTES);
        if size == 0 {
            return None;
        }
        let chunk = filler_at(self.offset + self.generated, size);
        self.generated += size;
        Some(chunk)
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.bytes_until_cut == Some(0) {
            let flush_delay = self
                .flush_delay
                .get_or_insert_with(|| Box::pin(sleep(FLUSH_DELAY.to_duration())));
            ready!(flush_delay.as_mut().poll(context));
            if let Some(crash) = &self.crash {
                crash.cancel();
            }
            return Poll::Ready(Some(Err(io::Error::other("fault: cut"))));
        }
        let Some(mut chunk) = self.next_frame() else {
            return Poll::Ready(None);
        };
        if let Some(left) = &mut self.bytes_until_cut {
            chunk.truncate(*left as usize);
            *left -= chunk.len() as u64;
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining() == 0 && self.bytes_until_cut.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        if self.chunked {
            SizeHint::default()
        } else {
            SizeHint::with_exact(self.remaining())
        }
    }
}
