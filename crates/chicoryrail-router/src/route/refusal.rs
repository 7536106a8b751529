//! Causes for which a request is refused, and the response to the caller.

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::BodyError;
use chicoryrail_runtime::full_body;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::RETRY_AFTER;
use http::header::WWW_AUTHENTICATE;

/// Authentication scheme that a caller without a valid API key is asked to use.
const CHALLENGE: &str = "ApiKey";

/// Cause for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// This host has no configuration yet.
    NoConfig,
    /// No route matches.
    NoRoute,
    /// The key of a keyed service is missing or not an integer from 0 to 65535.
    NoKey,
    /// The request carries no API key, or several.
    NoApiKey,
    /// The API key belongs to no organisation.
    UnknownApiKey,
    /// The API key may have been revoked: for too long, this host has not verified that its configuration is current.
    StaleConfig,
    /// The caller's organisation has exceeded its rate limit.
    OverQuota,
    /// An operator's rule admits only a share of such requests.
    Limited,
    /// The request body is longer than the limit.
    TooLarge,
    /// The request body was truncated, or comes in an unknown transfer coding.
    BadBody,
    /// The request body arrived too slowly.
    SlowBody,
    /// This host has no memory left for the body of another upload.
    HostMemory,
    /// The service has no server that accepts work, or none could be reached.
    NoServer,
    /// This host can't reach the servers that may run the request, and no other host could pass it on.
    NoPath,
    /// All servers that may run the request are at capacity.
    Full,
    /// The key is being moved to another server, and no server owns it at this moment.
    KeyMoving,
    /// The servers that may run the request are draining and receive no more requests from this host.
    Draining,
    /// The servers that may run the request asked this host for no more requests for a time.
    Backoff,
    /// Servers ended under the request, and it was not its turn to run again.
    Suspected,
    /// The request ends each server that runs it.
    Blocked,
    /// The caller disconnected before the request was sent.
    CallerLeft,
    /// The deadline has passed, or too little time is left, and the request was not sent.
    Late,
    /// This host's process ends before the request could be sent and served.
    Stopping,
    /// The request was sent to a server, which returned no usable response.
    Broken,
    /// The request was sent to a server, which did not respond in time.
    Silent,
    /// The body of an upload was truncated, malformed or too long after a part of it was sent to a server.
    BrokenBody,
    /// The caller of an upload stopped sending after a part of the body was sent to a server.
    StalledBody,
}

impl Cause {
    /// Returns `true` if the response promises that the request has not run and never will.
    pub(crate) const fn promises_not_run(self) -> bool {
        !matches!(
            self,
            Self::Broken | Self::Silent | Self::BrokenBody | Self::StalledBody
        )
    }

    /// Returns the name in logs, metrics and the body of the response.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::NoApiKey => "no_api_key",
            Self::UnknownApiKey => "unknown_api_key",
            Self::StaleConfig => "stale_config",
            Self::OverQuota => "over_quota",
            Self::Limited => "limited",
            Self::TooLarge => "too_large",
            Self::BadBody => "bad_body",
            Self::SlowBody => "slow_body",
            Self::HostMemory => "host_memory",
            Self::NoServer => "no_server",
            Self::NoPath => "no_path",
            Self::Full => "full",
            Self::KeyMoving => "key_moving",
            Self::Draining => "draining",
            Self::Backoff => "backoff",
            Self::Suspected => "suspected",
            Self::Blocked => "ends_servers",
            Self::CallerLeft => "caller_left",
            Self::Late => "late",
            Self::Stopping => "stopping",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::BrokenBody => "broken_body",
            Self::StalledBody => "stalled_body",
        }
    }

    /// Returns the HTTP status. 503, 429 and 408 promise that the request has not run and never will; 502 and 504 leave
    /// open whether it ran.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoApiKey | Self::UnknownApiKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota | Self::Limited => StatusCode::TOO_MANY_REQUESTS,
            Self::NoKey | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::NoConfig
            | Self::StaleConfig
            | Self::HostMemory
            | Self::NoServer
            | Self::NoPath
            | Self::Full
            | Self::KeyMoving
            | Self::Draining
            | Self::Backoff
            | Self::Suspected
            | Self::Blocked
            | Self::CallerLeft
            | Self::Late
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::Broken | Self::BrokenBody => StatusCode::BAD_GATEWAY,
            Self::Silent | Self::StalledBody => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// A refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) cause: Cause,
    /// Time after which the caller should retry, if this is known.
    pub(crate) retry_after: Option<Millis>,
}

impl Refusal {
    /// Builds the response to the caller.
    pub(crate) fn into_response(self) -> Response<Body> {
        let text = format!("{}\n", self.cause.name());
        let mut response = Response::new(full_body(Bytes::from(text)));
        *response.status_mut() = self.cause.status();
        if response.status() == StatusCode::UNAUTHORIZED {
            let headers = response.headers_mut();
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static(CHALLENGE));
        }
        let cause = self.cause;
        if matches!(
            cause,
            Cause::BadBody | Cause::BrokenBody | Cause::StalledBody
        ) {
            // The rest of the body can't be told from a next request.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.3}", retry_after.0 as f64 / 1_000.0);
            if let Ok(value) = HeaderValue::try_from(seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

impl From<BodyError> for Cause {
    /// Returns the cause with which a request is refused of whose body nothing was sent.
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::TooLarge,
            BodyError::Slow => Self::SlowBody,
            BodyError::Cut => Self::BadBody,
        }
    }
}

impl From<Cause> for Refusal {
    fn from(cause: Cause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }
}
