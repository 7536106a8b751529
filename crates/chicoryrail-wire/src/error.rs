//! Errors of the inner protocol.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Why a call between two processes has no reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The connection could not be made; nothing was sent.
    #[snafu(display("connect to {addr}: {source}"))]
    Connect {
        /// Address of the peer.
        addr: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The HTTP/2 layer failed.
    #[snafu(display("stream to {addr}: {source}"))]
    Stream {
        /// Address of the peer.
        addr: SocketAddr,
        /// What the layer says.
        source: h2::Error,
    },
    /// No reply came in time.
    #[snafu(display("no reply from {addr} in time"))]
    Timeout {
        /// Address of the peer.
        addr: SocketAddr,
    },
    /// A message can't be encoded.
    #[snafu(display("encode: {source}"))]
    Encode {
        /// What the codec says.
        source: bincode::error::EncodeError,
    },
    /// Bytes are no message.
    #[snafu(display("decode: {source}"))]
    Decode {
        /// What the codec says.
        source: bincode::error::DecodeError,
    },
    /// A message is followed by more bytes.
    #[snafu(display("{extra} bytes after a message"))]
    Trailing {
        /// Number of bytes left over.
        extra: usize,
    },
    /// A message is larger than the limit.
    #[snafu(display("message above {} bytes", crate::MAX_MESSAGE))]
    TooLarge,
    /// The peer answered with a status other than 200.
    #[snafu(display("peer {addr} answered {status}"))]
    Refused {
        /// Address of the peer.
        addr: SocketAddr,
        /// HTTP/2 status.
        status: u16,
    },
}

impl WireError {
    /// Tells whether it is certain that the peer did not act on the call.
    ///
    /// Only a failed connect, an unencodable message and a refused stream prove it; everything
    /// else may have reached the peer.
    #[must_use]
    pub fn not_run(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::Encode { .. } => true,
            Self::Stream { source, .. } => source.reason() == Some(h2::Reason::REFUSED_STREAM),
            _ => false,
        }
    }
}
