//! How a request ended at its server.

/// How a request ended at its server, as its gate saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came `us` microseconds after the request was sent.
    Answered {
        /// Time from sending to the end of the answer, in microseconds.
        us: u32,
    },
    /// The server answered without running it (shed), or refused the connection.
    Shed,
    /// The connection or the answer was lost.
    Failed,
    /// The gate cancelled it: a hedge's loser, or its caller left.
    Cancelled,
}
