//! How the send of a request's body ended.

/// Called with the report of a send when it has ended.
pub type SendObserver = Box<dyn FnOnce(SendReport)>;

/// How the send of a request's body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendReport {
    /// Number of the send among those of the body, from 1.
    pub number: u32,
    /// Bytes that were handed to the connection.
    pub sent_bytes: u64,
    /// Bytes that the caller had sent.
    pub received_bytes: u64,
    /// Whether the caller had sent the whole body.
    pub is_received: bool,
    /// Whether the head of a response arrived before all bytes were handed to the connection.
    pub is_early: bool,
    /// How the send ended.
    pub end: SendEnd,
}

/// How far the send of a body came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// All bytes were handed to the connection, and the end of the body.
    Whole,
    /// The send was given up, or the body or the connection broke; the connection got no end of the body.
    Broken,
    /// A part of the body was missing where it was to end; the connection got no end of it. A fault of the program.
    Short,
}

impl SendEnd {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Broken => "broken",
            Self::Short => "short",
        }
    }
}
