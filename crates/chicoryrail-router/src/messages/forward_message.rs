//! Requests that a host passes on to a server for another host, and how that ended.
//!
//! They travel as HTTP requests between hosts, so that bodies are streamed with back pressure in both directions. The
//! path of the caller's request follows [`FORWARD_PREFIX`]. A host that does not know the message answers without
//! [`END`], and has not run the request.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

/// First part of the path of a request that is to be passed on.
pub(crate) const FORWARD_PREFIX: &str = "/forward";

const SERVER: HeaderName = HeaderName::from_static("chicoryrail-forward-server");
const BORN: HeaderName = HeaderName::from_static("chicoryrail-forward-born");
const SERVICE: HeaderName = HeaderName::from_static("chicoryrail-forward-service");
const END: HeaderName = HeaderName::from_static("chicoryrail-forward-end");
const ENDED: HeaderName = HeaderName::from_static("chicoryrail-forward-ended");
const BACKOFF_MS: HeaderName = HeaderName::from_static("chicoryrail-forward-backoff-ms");

/// Server for which a request is passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ForwardHead {
    pub(crate) service: ServiceName,
    pub(crate) life: Life,
}

impl ForwardHead {
    /// Adds the message's headers. Returns `false` if a name is not a valid header value.
    #[must_use]
    pub(crate) fn write(&self, headers: &mut HeaderMap) -> bool {
        let service = HeaderValue::from_str(self.service.as_str());
        let server = HeaderValue::from_str(self.life.name.as_str());
        let (Ok(service), Ok(server)) = (service, server) else {
            return false;
        };
        headers.insert(SERVICE, service);
        headers.insert(SERVER, server);
        headers.insert(BORN, HeaderValue::from(self.life.born));
        true
    }

    /// Removes the message's headers, so that no server receives them. Returns `None` if one is missing or invalid.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let [service, server, born] = [SERVICE, SERVER, BORN].map(|name| headers.remove(name));
        let (service, server, born) = (service?, server?, born?);
        let name = server.to_str().ok()?.into();
        let born = born.to_str().ok()?.parse().ok()?;
        Some(Self {
            service: ServiceName::new(service.to_str().ok()?),
            life: Life::new(name, born),
        })
    }
}

/// How a request ended at the host that was to pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwardEnd {
    /// The message contains the server's response.
    Answered,
    /// The server refused the request.
    Refused,
    /// The server does not own the key, or another server uses the address.
    Misdirected,
    /// The server said to the host that it is draining.
    Draining,
    /// The server asked the host for no requests for this time.
    Backoff(Millis),
    /// The host could not connect to the server, and does not know whether others can.
    Unreachable,
    /// The host has lost its path to the server, which others reach.
    NoPath,
    /// The host does not know the server or the request's route.
    Unknown,
    /// The host passes on as many requests as it can.
    Busy,
    /// The request may have run: the connection broke.
    Broken,
    /// The same, and the server accepts no connections any more. A host of an earlier version reads [`Self::Broken`].
    Ended,
    /// The request may have run: the response belongs to another one.
    Crossed,
    /// The request may have run: the response is truncated or changed.
    Spoiled,
    /// The request may have run: no response in time.
    Silent,
}

/// Names of the ends without a value.
const END_NAMES: [(ForwardEnd, &str); 12] = [
    (ForwardEnd::Answered, "answered"),
    (ForwardEnd::Refused, "refused"),
    (ForwardEnd::Misdirected, "misdirected"),
    (ForwardEnd::Draining, "draining"),
    (ForwardEnd::Unreachable, "unreachable"),
    (ForwardEnd::NoPath, "no_path"),
    (ForwardEnd::Unknown, "unknown"),
    (ForwardEnd::Busy, "busy"),
    (ForwardEnd::Broken, "broken"),
    (ForwardEnd::Crossed, "crossed"),
    (ForwardEnd::Spoiled, "spoiled"),
    (ForwardEnd::Silent, "silent"),
];

/// Name of [`ForwardEnd::Backoff`].
const BACKOFF_NAME: &str = "backoff";

/// Name of [`ForwardEnd::Ended`] in messages, where [`ENDED`] tells it from [`ForwardEnd::Broken`].
const BROKEN_NAME: &str = "broken";

impl ForwardEnd {
    /// Returns the name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        if self == Self::Ended {
            return "ended";
        }
        let named = END_NAMES.iter().find(|(end, _)| *end == self);
        named.map_or(BACKOFF_NAME, |(_, name)| name)
    }

    /// Adds the message's headers.
    pub(crate) fn write(self, headers: &mut HeaderMap) {
        let name = if self == Self::Ended {
            headers.insert(ENDED, HeaderValue::from_static("1"));
            BROKEN_NAME
        } else {
            self.name()
        };
        headers.insert(END, HeaderValue::from_static(name));
        if let Self::Backoff(time) = self {
            headers.insert(BACKOFF_MS, HeaderValue::from(time.0));
        }
    }

    /// Removes the message's headers, so that no caller receives them. Returns `None` without a known end.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let [end, ended, backoff] = [END, ENDED, BACKOFF_MS].map(|name| headers.remove(name));
        let end = end?;
        if end == BROKEN_NAME && ended.is_some() {
            return Some(Self::Ended);
        }
        if end == BACKOFF_NAME {
            let time = backoff?.to_str().ok()?.parse().ok()?;
            return Some(Self::Backoff(Millis(time)));
        }
        let named = END_NAMES.iter().find(|(_, name)| end == *name);
        named.map(|(end, _)| *end)
    }
}
