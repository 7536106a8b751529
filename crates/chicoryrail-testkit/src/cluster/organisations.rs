//! Organisations of the deployments, with their API keys and rate limits.

use std::collections::BTreeMap;

use chicoryrail_core::ApiKey;
use chicoryrail_core::Organisation;
use chicoryrail_core::QuotaLimit;

use crate::Deployment;
use crate::LoadCaller;
use crate::QuotaWindow;

/// Name of the organisation without a rate limit.
const UNLIMITED_ORGANISATION: &str = "schools";

/// Name of the organisation with a rate limit.
const LIMITED_ORGANISATION: &str = "clubs";

/// Rate limit of [`LIMITED_ORGANISATION`].
const LIMITED_QUOTA: QuotaLimit = QuotaLimit {
    rate: 40.0,
    burst: 20.0,
};

/// Window over which requests of an organisation are counted; `quota_window_s` in the boot file.
const QUOTA_WINDOW_MS: u64 = 5_000;

fn api_key(organisation: &str) -> String {
    format!("key-of-{organisation}")
}

fn caller_of(organisation: &str) -> LoadCaller {
    LoadCaller {
        key: ApiKey::new(&api_key(organisation)),
        organisation: Some(organisation.to_owned()),
    }
}

impl Deployment {
    /// Returns the organisations; `None` if requests need no API key.
    #[must_use]
    pub fn organisations(self) -> Option<Vec<Organisation>> {
        let build = |name: &str, limit| Organisation {
            name: name.into(),
            api_keys: vec![ApiKey::new(&api_key(name))],
            limit,
            priority: None,
        };
        match self {
            Self::Updraft => Some(vec![
                build(UNLIMITED_ORGANISATION, None),
                build(LIMITED_ORGANISATION, Some(LIMITED_QUOTA)),
            ]),
            Self::Tanduay => None,
        }
    }

    /// Returns, for each organisation with a rate limit, how many of its requests may run in any window.
    ///
    /// The boot file allows 10 % (`quota_over`) plus 20 requests (`quota_slack`) beyond rate and burst.
    #[must_use]
    pub fn quotas(self) -> BTreeMap<String, QuotaWindow> {
        let all = self.organisations().unwrap_or_default();
        let limited = all.into_iter().filter_map(|o| Some((o.name, o.limit?)));
        let window = |limit: QuotaLimit| QuotaWindow {
            length_ms: QUOTA_WINDOW_MS,
            requests: ((limit.rate * QUOTA_WINDOW_MS as f64 / 1_000.0 + limit.burst) * 1.1) as u64
                + 20,
        };
        limited
            .map(|(name, limit)| (name.to_string(), window(limit)))
            .collect()
    }

    /// Returns ten callers: one belongs to an organisation with a rate limit, which it exceeds, and one has an API key
    /// of no organisation. Returns none if requests need no API key.
    #[must_use]
    pub fn mixed_callers(self) -> Vec<LoadCaller> {
        if self.organisations().is_none() {
            return Vec::new();
        }
        let unknown = LoadCaller {
            key: ApiKey::new("opens-nothing"),
            organisation: None,
        };
        let mut callers = vec![caller_of(UNLIMITED_ORGANISATION); 8];
        callers.extend([caller_of(LIMITED_ORGANISATION), unknown]);
        callers
    }

    /// Returns callers that exceed no rate limit; none if requests need no API key.
    pub(super) fn callers_within_limits(self) -> Vec<LoadCaller> {
        match self.organisations() {
            Some(_) => vec![caller_of(UNLIMITED_ORGANISATION)],
            None => Vec::new(),
        }
    }
}
