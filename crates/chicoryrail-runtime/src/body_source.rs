//! What is known of a body that a caller sends.

use hyper::body::Body as HttpBody;

use crate::Body;
use crate::BodyError;

/// Where the bytes of a request's body come from. That the caller has sent the whole body is a state of its own: a body of
/// which nothing more can be read is not complete for that.
pub(crate) enum BodySource {
    /// The caller is still sending.
    Open(Body),
    /// The caller has sent the whole body.
    Received,
    /// The body can't be read to its end, and what the caller is still sending, if it has not been dropped.
    Failed(BodyError, Option<Body>),
}

impl BodySource {
    /// Begins to read a body of at most `max_bytes` bytes. A declared length above that fails before any byte is read.
    pub(crate) fn new(body: Body, max_bytes: u64) -> Self {
        if body.size_hint().lower() > max_bytes {
            Self::Failed(BodyError::TooLarge, Some(body))
        } else if body.is_end_stream() {
            Self::Received
        } else {
            Self::Open(body)
        }
    }

    /// Returns the declared length of what was not read yet, in bytes; `None` if it is unknown.
    pub(crate) fn declared_rest(&self) -> Option<u64> {
        match self {
            Self::Open(rest) | Self::Failed(_, Some(rest)) => rest.size_hint().exact(),
            Self::Received | Self::Failed(_, None) => Some(0),
        }
    }

    /// Returns why the body can't be read to its end, if so.
    pub(crate) const fn error(&self) -> Option<BodyError> {
        match self {
            Self::Open(_) | Self::Received => None,
            Self::Failed(error, _) => Some(*error),
        }
    }

    /// Gives up what the caller is still sending, and returns it. A body that was not received is cut then.
    pub(crate) fn abandon(&mut self) -> Option<Body> {
        match std::mem::replace(self, Self::Received) {
            Self::Open(rest) => {
                *self = Self::Failed(BodyError::Cut, None);
                Some(rest)
            }
            Self::Received => None,
            Self::Failed(error, rest) => {
                *self = Self::Failed(error, None);
                rest
            }
        }
    }
}
