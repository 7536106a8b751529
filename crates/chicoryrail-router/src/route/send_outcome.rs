//! Outcomes of a send.

use chicoryrail_policy::Failure;
use chicoryrail_policy::Withheld;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::BodyError;
use http::Response;

use crate::route::refusal::Cause;

/// Outcome of a send.
pub(crate) enum SendOutcome {
    /// The server's response, complete or still being streamed.
    Answered(Response<Body>),
    /// The server ran the request and responded with a server error.
    ServerError(Response<Body>),
    /// The response is far longer than all others of the route, and may have no end. It is still being streamed.
    Unusual(Response<Body>),
    /// The request has certainly not run and never will.
    NotRun(NotRun),
    /// Indeterminate: the request may have run, or may still run.
    Indeterminate(Indeterminate),
}

/// Reason for which a request has certainly not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// No connection was available, at other hosts neither; nothing was sent.
    Unreachable,
    /// This host can't reach the server, and no other host was there to pass the request on; nothing was sent. It says
    /// nothing of the server.
    NoPath,
    /// All connections that this host may open to the server are in use, and no other host could be asked; nothing was
    /// sent.
    NoConnection,
    /// The server refused the request.
    Refused,
    /// The server does not own the key, or another server uses the address.
    Misdirected,
    /// The caller disconnected while the connection was opened; nothing was sent.
    CallerLeft,
    /// This host's process ends before the request could be sent and served; nothing was sent.
    Stopping,
    /// Evidence that the request ends servers arrived while the connection was opened; nothing was sent.
    Suspected,
    /// An earlier send, which did not run either, has taken a part of the body that is no longer in memory; nothing was
    /// sent.
    BodySpent,
    /// The server asked this host for no more requests while the connection was opened; nothing was sent.
    Withheld(Withheld),
}

/// Reason for which it is indeterminate whether a request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Indeterminate {
    /// The connection broke before the head of the response arrived.
    Broken,
    /// The same, and the server accepts no connections any more.
    Ended,
    /// The response belongs to another request.
    Crossed,
    /// Something on the way changed the response.
    Spoiled,
    /// The response broke off after its head.
    Truncated,
    /// No response arrived in time.
    Silent,
    /// No response arrived before the end of this host's process. It says nothing of the server.
    Stopping,
    /// The caller's body broke off or stalled while it was being sent. It says nothing of the server.
    BodyFailed(BodyError),
}

impl NotRun {
    /// Returns the cause with which the request is refused if it is not sent again.
    pub(crate) const fn cause(self) -> Cause {
        match self {
            Self::Unreachable => Cause::NoServer,
            Self::NoPath => Cause::NoPath,
            Self::Refused | Self::NoConnection | Self::BodySpent | Self::Withheld(_) => Cause::Full,
            Self::Misdirected => Cause::KeyMoving,
            Self::Suspected => Cause::Suspected,
            Self::Stopping => Cause::Stopping,
            Self::CallerLeft => Cause::CallerLeft,
        }
    }

    /// Returns `true` if the request reached a server.
    pub(crate) const fn reached_server(self) -> bool {
        match self {
            Self::Refused | Self::Misdirected => true,
            Self::Unreachable
            | Self::NoPath
            | Self::NoConnection
            | Self::Stopping
            | Self::Suspected
            | Self::CallerLeft
            | Self::BodySpent
            | Self::Withheld(_) => false,
        }
    }
}

impl Indeterminate {
    /// Returns the cause with which the request ends if it is not sent again.
    pub(crate) const fn cause(self) -> Cause {
        match self {
            Self::Silent | Self::Stopping => Cause::Silent,
            Self::BodyFailed(BodyError::Slow) => Cause::StalledBody,
            Self::BodyFailed(BodyError::Cut | BodyError::TooLarge) => Cause::BrokenBody,
            Self::Broken | Self::Ended | Self::Crossed | Self::Spoiled | Self::Truncated => {
                Cause::Broken
            }
        }
    }
}

impl SendOutcome {
    /// Returns the name in logs and metrics.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::ServerError(_) => "server_error",
            Self::Unusual(_) => "unusual",
            Self::NotRun(NotRun::Unreachable) => "unreachable",
            Self::NotRun(NotRun::NoPath) => "no_path",
            Self::NotRun(NotRun::NoConnection) => "no_connection",
            Self::NotRun(NotRun::Refused) => "refused",
            Self::NotRun(NotRun::Misdirected) => "misdirected",
            Self::NotRun(NotRun::Suspected) => "suspected",
            Self::NotRun(NotRun::CallerLeft) => "caller_left",
            Self::NotRun(NotRun::Stopping) => "not_sent",
            Self::NotRun(NotRun::BodySpent) => "body_spent",
            Self::NotRun(NotRun::Withheld(_)) => "withheld",
            Self::Indeterminate(Indeterminate::Broken) => "broken",
            Self::Indeterminate(Indeterminate::Ended) => "ended",
            Self::Indeterminate(Indeterminate::Crossed) => "crossed",
            Self::Indeterminate(Indeterminate::Spoiled) => "spoiled",
            Self::Indeterminate(Indeterminate::Truncated) => "truncated",
            Self::Indeterminate(Indeterminate::Silent) => "silent",
            Self::Indeterminate(Indeterminate::Stopping) => "stopping",
            Self::Indeterminate(Indeterminate::BodyFailed(_)) => "body_failed",
        }
    }

    /// Returns how the send counts against the server, or `None` if it does not.
    pub(super) const fn failure(&self) -> Option<Failure> {
        match self {
            Self::Answered(_)
            | Self::NotRun(
                NotRun::NoPath
                | NotRun::NoConnection
                | NotRun::Misdirected
                | NotRun::Stopping
                | NotRun::Suspected
                | NotRun::CallerLeft
                | NotRun::BodySpent
                | NotRun::Withheld(_),
            )
            | Self::Indeterminate(Indeterminate::Stopping | Indeterminate::BodyFailed(_)) => None,
            Self::ServerError(_) => Some(Failure::Error),
            Self::NotRun(NotRun::Refused) => Some(Failure::Full),
            Self::Unusual(_)
            | Self::NotRun(NotRun::Unreachable)
            | Self::Indeterminate(
                Indeterminate::Broken
                | Indeterminate::Ended
                | Indeterminate::Crossed
                | Indeterminate::Spoiled
                | Indeterminate::Truncated,
            ) => Some(Failure::Broken),
            Self::Indeterminate(Indeterminate::Silent) => Some(Failure::Silent),
        }
    }
}
