//! The organisations of the deployments.

use std::collections::BTreeMap;

use chicoryrail_core::ApiKey;
use chicoryrail_core::Organisation;
use chicoryrail_core::QuotaLimit;

use crate::Deployment;
use crate::LoadCaller;
use crate::QuotaWindow;

/// Organisations, the second with a limit.
const UNLIMITED: &str = "schools";
const LIMITED: &str = "clubs";
const CLUB_LIMIT: QuotaLimit = QuotaLimit {
    rate: 40.0,
    burst: 20.0,
};

/// Window over which an organisation's requests are counted, as the boot file says.
const QUOTA_WINDOW_MS: u64 = 5_000;

fn api_key(organisation: &str) -> String {
    format!("key-of-{organisation}")
}

fn caller(organisation: &str) -> LoadCaller {
    LoadCaller {
        key: ApiKey::new(&api_key(organisation)),
        organisation: Some(organisation.to_owned()),
    }
}

impl Deployment {
    /// Returns the organisations; none where requests need no key.
    #[must_use]
    pub fn organisations(self) -> Option<Vec<Organisation>> {
        let build = |name: &str, limit| Organisation {
            name: name.into(),
            keys: vec![ApiKey::new(&api_key(name))],
            limit,
            rank: None,
        };
        match self {
            Self::Updraft => Some(vec![
                build(UNLIMITED, None),
                build(LIMITED, Some(CLUB_LIMIT)),
            ]),
            Self::Tanduay => None,
        }
    }

    /// Returns the requests of each organisation that may run in any window, as the boot file allows.
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

    /// Returns callers of which one in ten has a limit that it exceeds, and one in ten a key that opens nothing; none
    /// where requests need no key.
    #[must_use]
    pub fn mixed_callers(self) -> Vec<LoadCaller> {
        if self.organisations().is_none() {
            return Vec::new();
        }
        let unknown = LoadCaller {
            key: ApiKey::new("opens-nothing"),
            organisation: None,
        };
        let mut callers = vec![caller(UNLIMITED); 8];
        callers.extend([caller(LIMITED), unknown]);
        callers
    }

    /// Returns callers within their limits; none where requests need no key.
    pub(super) fn usual_callers(self) -> Vec<LoadCaller> {
        match self.organisations() {
            Some(_) => vec![caller(UNLIMITED)],
            None => Vec::new(),
        }
    }
}
