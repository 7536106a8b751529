//! A caller's request, parsed and matched to its route.

mod bounds;

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use chicoryrail_core::Fingerprint;
use chicoryrail_core::Idempotency;
use chicoryrail_core::Millis;
use chicoryrail_core::Organisation;
use chicoryrail_core::OrganisationName;
use chicoryrail_core::QuotaLimit;
use chicoryrail_core::Route;
use chicoryrail_core::ServiceName;
use chicoryrail_core::ServiceSpec;
use chicoryrail_platform::call_header;
use chicoryrail_policy::retry_after;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::RequestTag;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;
use http::header::CONTENT_LENGTH;
use http::request::Parts;

use crate::route::admission::authenticate;
use crate::route::admission::set_organisation_header;
use crate::route::destination::Destination;
use crate::route::destination::find_route;
use crate::route::destination::pick_service;
use crate::route::refusal::Cause;
use crate::route::refusal::Refusal;
use crate::route::request_identity::RequestIdentity;
use crate::route::request_stats::RequestStats;
use crate::state::RequestProgress;
use crate::state::Router;

/// A caller's request.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// The caller's request id, for logs; `-` if there is none.
    pub(crate) id: String,
    /// Address of the caller, or of the host that admitted the request.
    pub(crate) from: SocketAddr,
    /// Whether another host has admitted the request.
    pub(crate) is_forwarded: bool,
    /// Whether a run of the request was granted although servers have ended under it.
    pub(crate) has_probe: Cell<bool>,
    head_hash: OnceCell<u64>,
    fingerprint: OnceCell<Fingerprint>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers that are forwarded to the server.
    pub(crate) headers: HeaderMap,
    pub(crate) route: Arc<Route>,
    /// Organisation of the caller; `None` if the request needs no API key.
    pub(crate) organisation: Option<Arc<Organisation>>,
    /// Whether the request has taken one of the organisation's quota tokens.
    pub(crate) has_quota_token: Cell<bool>,
    pub(crate) service: ServiceSpec,
    /// Version of the configuration that the request was parsed with.
    pub(crate) config_version: u64,
    /// Key of the request, if the service is keyed.
    pub(crate) key: Option<u16>,
    pub(crate) arrived: Millis,
    pub(crate) stats: RefCell<RequestStats>,
    pub(crate) progress: Rc<RequestProgress>,
    /// Cancelled when the caller disconnects before its response.
    pub(crate) caller_left: CancellationToken,
    /// The caller's deadline or the end of the route's timeout, whichever is earlier. A wait takes its limit from
    /// [`Self::bounds`].
    deadline: Millis,
    /// The caller's own deadline, which may be later: a refused caller retries until then.
    pub(crate) caller_deadline: Millis,
}

impl CallerRequest {
    /// Parses a request's head and authenticates its caller.
    ///
    /// # Errors
    ///
    /// Returns the cause for which the request is refused.
    pub(crate) fn parse(router: &Router, head: Parts, from: SocketAddr) -> Result<Self, Cause> {
        let arrived = router.now();
        let site = router.site().ok_or(Cause::NoConfig)?;
        let route = find_route(&site, &head).ok_or(Cause::NoRoute)?;
        let service = pick_service(router, &site, &route);
        if !chicoryrail_runtime::has_known_coding(&head.headers) {
            return Err(Cause::BadBody);
        }
        let organisation = authenticate(router, &site, &route, &head.headers, arrived)?;
        let mut headers = chicoryrail_runtime::strip_hop_by_hop(head.headers);
        set_organisation_header(&mut headers, organisation.as_deref())?;
        let key = if service.keyed {
            let value = headers.get(call_header::KEY).ok_or(Cause::NoKey)?;
            let key = value.to_str().ok().and_then(|t| t.parse().ok());
            Some(key.ok_or(Cause::NoKey)?)
        } else {
            None
        };
        let target = Destination {
            site: &site,
            route,
            service,
        };
        let call = Self::new(arrived, from, (head.method, head.uri, headers), target);
        Ok(Self {
            organisation,
            key,
            ..call
        })
    }

    /// Builds a request that another host has admitted and that this host passes on to a server of `service`. Returns
    /// `None` if this host does not know the route or the service.
    pub(crate) fn forwarded(
        router: &Router,
        head: Parts,
        from: SocketAddr,
        service: &ServiceName,
    ) -> Option<Self> {
        let arrived = router.now();
        let site = router.site()?;
        let route = find_route(&site, &head)?;
        let service = site.service(service)?.clone();
        let headers = chicoryrail_runtime::strip_hop_by_hop(head.headers);
        let target = Destination {
            site: &site,
            route,
            service,
        };
        let call = Self::new(arrived, from, (head.method, head.uri, headers), target);
        Some(Self {
            is_forwarded: true,
            ..call
        })
    }

    /// Builds a request without organisation and key.
    fn new(
        arrived: Millis,
        from: SocketAddr,
        (method, uri, headers): (Method, Uri, HeaderMap),
        to: Destination<'_>,
    ) -> Self {
        let id = request_id(&headers);
        Self {
            progress: Rc::new(RequestProgress::new(&id, arrived)),
            id,
            from,
            is_forwarded: false,
            has_probe: Cell::default(),
            head_hash: OnceCell::new(),
            fingerprint: OnceCell::new(),
            method,
            uri,
            config_version: to.site.version,
            key: None,
            arrived,
            stats: RefCell::default(),
            caller_left: CancellationToken::new(),
            deadline: arrived + time_limit(&headers, &to.route),
            caller_deadline: arrived + caller_time(&headers, &to.route),
            service: to.service,
            headers,
            route: to.route,
            organisation: None,
            has_quota_token: Cell::default(),
        }
    }

    /// Returns a hash of the request's head by which the same request is found at all hosts.
    pub(crate) fn head_hash(&self) -> u64 {
        *self.head_hash.get_or_init(|| self.identity().head_hash())
    }

    /// Returns the fingerprint of the request. The start of the body must have been read.
    pub(crate) fn fingerprint(&self, body: &RequestBody) -> Fingerprint {
        let identity = || self.identity().fingerprint(body);
        *self.fingerprint.get_or_init(identity)
    }

    fn identity(&self) -> RequestIdentity<'_> {
        RequestIdentity {
            method: &self.method,
            uri: &self.uri,
            headers: &self.headers,
            key: self.key,
            organisation: self.organisation.as_ref().map(|o| &o.name),
        }
    }

    /// Returns the priority under overload; 0 is served first. The organisation's priority overrides the route's.
    pub(crate) fn priority(&self) -> u8 {
        let priority = self.organisation.as_ref().and_then(|o| o.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Returns the organisation and its limit if the request still needs a quota token; `None` otherwise.
    pub(crate) fn needed_quota(&self) -> Option<(&OrganisationName, QuotaLimit)> {
        let organisation = self.organisation.as_ref()?;
        let limit = organisation.limit.filter(|_| !self.has_quota_token.get())?;
        Some((&organisation.name, limit))
    }

    /// Returns the declared length of the body; 0 without one.
    pub(crate) fn body_bytes(&self) -> u64 {
        let length = self.headers.get(CONTENT_LENGTH);
        let length = length.and_then(|v| v.to_str().ok()?.parse().ok());
        length.unwrap_or(0)
    }

    /// Returns `true` if a request that succeeded in time is in the logged sample, one in `--log-ordinary`, selected by a
    /// hash of the request's id; an interval of 0 logs none.
    pub(crate) fn is_sampled(&self, router: &Router) -> bool {
        let sample_interval = router.options.log_ordinary;
        let hash = self
            .id
            .bytes()
            .fold(0_u32, |h, b| h.wrapping_mul(31).wrapping_add(b.into()));
        sample_interval > 0 && hash % sample_interval == 0
    }

    /// Returns the time from the arrival to the caller's deadline or the end of the route's timeout.
    pub(crate) const fn time_limit(&self) -> Millis {
        self.deadline.since(self.arrived)
    }

    /// Returns the time from `now` to the caller's deadline or the end of the route's timeout, also while this host stops.
    pub(crate) const fn time_left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// Builds the refusal of the request, of which nothing was sent; capacity is expected after `capacity_in`.
    pub(crate) fn refuse(&self, now: Millis, cause: Cause, capacity_in: Millis) -> Refusal {
        let time_left = self.deadline.since(now);
        Refusal {
            cause,
            retry_after: Some(retry_after(&mut rand::rng(), capacity_in, time_left)),
        }
    }

    /// Returns `true` if the request may run more than once.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.kind.idempotency() == Idempotency::Idempotent
    }

    /// Returns what identifies this request on the connections that carry it.
    pub(crate) fn tag(&self) -> RequestTag {
        let id = self.headers.get(call_header::REQUEST_ID);
        RequestTag::new(id.map(HeaderValue::as_bytes))
    }

    /// Returns the name of the service selected for this request.
    pub(crate) fn service_name(&self) -> &ServiceName {
        &self.service.name
    }
}

fn request_id(headers: &HeaderMap) -> String {
    let id = call_header::text(headers, &call_header::REQUEST_ID);
    id.unwrap_or("-").to_owned()
}

/// Returns the time that the sender allows, at most the timeout of the route.
fn time_limit(headers: &HeaderMap, route: &Route) -> Millis {
    caller_time(headers, route).min(route.timeout)
}

/// Returns the time that the sender allows; the timeout of the route if it names none.
fn caller_time(headers: &HeaderMap, route: &Route) -> Millis {
    let time_left = call_header::text(headers, &call_header::TIME_LEFT);
    let time_left = time_left.and_then(|t| t.parse::<f64>().ok());
    time_left.map_or(route.timeout, |ms| Millis(ms.max(0.0) as u64))
}
