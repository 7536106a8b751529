//! Authenticates callers by API key.

use std::sync::Arc;

use chicoryrail_core::Millis;
use chicoryrail_core::Organisation;
use chicoryrail_core::Route;
use chicoryrail_core::Site;
use chicoryrail_platform::call_header;
use http::HeaderMap;
use http::HeaderValue;

use crate::route::refusal::Cause;
use crate::state::Router;

/// Returns the organisation that a request belongs to, or `None` if the request needs no API key.
///
/// `now` must have been read after the request's head, as [`chicoryrail_policy::Freshness`] requires.
///
/// # Errors
///
/// Returns the cause for which the request is refused.
pub(crate) fn authenticate(
    router: &Router,
    site: &Site,
    route: &Route,
    headers: &HeaderMap,
    now: Millis,
) -> Result<Option<Arc<Organisation>>, Cause> {
    if site.organisations().is_none() || route.public {
        return Ok(None);
    }
    // A host whose keys may be out of date neither accepts a key nor refuses one as unknown.
    if !router.is_config_fresh(now) {
        return Err(Cause::StaleConfig);
    }
    let mut keys = headers.get_all(call_header::API_KEY).iter();
    let (Some(key), None) = (keys.next(), keys.next()) else {
        return Err(Cause::NoApiKey);
    };
    let organisation = router.organisations.organisation_of(key.as_bytes());
    organisation.map(Some).ok_or(Cause::UnknownApiKey)
}

/// Replaces the caller's API key and any organisation header by the name of the authenticated organisation, so that a
/// server never receives a key or a forged name.
///
/// # Errors
///
/// Returns [`Cause::UnknownApiKey`] if the name is not a valid header value; the configuration decoder accepts no
/// such name.
pub(crate) fn set_organisation_header(
    headers: &mut HeaderMap,
    organisation: Option<&Organisation>,
) -> Result<(), Cause> {
    headers.remove(call_header::API_KEY);
    headers.remove(call_header::ORGANISATION);
    if let Some(organisation) = organisation {
        let name = HeaderValue::from_str(organisation.name.as_str());
        let name = name.map_err(|_| Cause::UnknownApiKey)?;
        headers.insert(call_header::ORGANISATION, name);
    }
    Ok(())
}
