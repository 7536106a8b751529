//! Answers that name their request, so that a caller can tell whether one is whole and its own.

use std::io;
use std::pin::Pin;
use std::sync::LazyLock;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use chicoryrail_core::Millis;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use monoio::time::Sleep;
use monoio::time::sleep;
use serde::Deserialize;
use serde::Serialize;

/// Bytes of one frame of a long body.
const PIECE: u64 = 16 << 10;

/// Time in which the part of a body before a cut is written.
const FLUSH: Millis = Millis(20);

/// The first line of an answer's body.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// Id of the request.
    pub request: String,
    /// Path of the request.
    pub path: String,
    /// Server that answers.
    pub server: String,
    /// Bytes that follow the line.
    pub length: u64,
}

impl AnswerHead {
    /// Checks a whole body: its first line, and that the filler is this request's, to the end.
    #[must_use]
    pub fn check(body: &[u8]) -> Option<Self> {
        let end = body.iter().position(|b| *b == b'\n')?;
        let head: Self = serde_json::from_slice(&body[..end]).ok()?;
        let filler = &body[end + 1..];
        let mut at = head.start();
        let whole = filler.len() as u64 == head.length
            && filler.chunks(PIECE as usize).all(|chunk| {
                let fits = *chunk == letters(at, chunk.len() as u64);
                at += chunk.len() as u64;
                fits
            });
        whole.then_some(head)
    }

    fn start(&self) -> u64 {
        let sum: u64 = self.request.bytes().map(u64::from).sum();
        sum % 26
    }
}

/// Returns at most [`PIECE`] letters of the endless alphabet, from position `at` on.
fn letters(at: u64, count: u64) -> Bytes {
    static ALPHABET: LazyLock<Bytes> =
        LazyLock::new(|| (0..PIECE + 26).map(|i| b'a' + (i % 26) as u8).collect());
    let first = (at % 26) as usize;
    ALPHABET.slice(first..first + count as usize)
}

/// A body that is made piece by piece.
pub(crate) struct Filler {
    head: Option<Bytes>,
    start: u64,
    at: u64,
    length: u64,
    chunked: bool,
    /// Bytes after which the body fails.
    cut: Option<u64>,
    /// Wait before the failure. The HTTP layer drops what it has not yet written when a body fails.
    flush: Option<Pin<Box<Sleep>>>,
}

impl Filler {
    pub(crate) fn new(head: &AnswerHead, chunked: bool, cut: Option<u64>) -> Self {
        let mut line = serde_json::to_vec(head).unwrap_or_default();
        line.push(b'\n');
        Self {
            head: Some(line.into()),
            start: head.start(),
            at: 0,
            length: head.length,
            chunked,
            cut,
            flush: None,
        }
    }

    fn left(&self) -> u64 {
        self.head.as_ref().map_or(0, |h| h.len() as u64) + self.length - self.at
    }

    fn piece(&mut self) -> Option<Bytes> {
        if let Some(head) = self.head.take() {
            return Some(head);
        }
        let size = (self.length - self.at).min(PIECE);
        if size == 0 {
            return None;
        }
        let piece = letters(self.start + self.at, size);
        self.at += size;
        Some(piece)
    }
}

impl Body for Filler {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.cut == Some(0) {
            let flush = self
                .flush
                .get_or_insert_with(|| Box::pin(sleep(FLUSH.duration())));
            ready!(flush.as_mut().poll(context));
            return Poll::Ready(Some(Err(io::Error::other("fault: cut"))));
        }
        let Some(mut piece) = self.piece() else {
            return Poll::Ready(None);
        };
        if let Some(cut) = &mut self.cut {
            piece.truncate(*cut as usize);
            *cut -= piece.len() as u64;
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left() == 0 && self.cut.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        if self.chunked {
            SizeHint::default()
        } else {
            SizeHint::with_exact(self.left())
        }
    }
}
