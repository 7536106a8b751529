//! Organisations in a configuration file.

use serde::Deserialize;
use serde::Serialize;

use crate::ApiKey;
use crate::Organisation;
use crate::OrganisationName;
use crate::QuotaLimit;
use crate::SiteError;
use crate::site::file::invalid;

/// Text that errors show in place of an API key.
const REDACTED: &str = "(hidden)";

/// Section of a configuration file that describes an organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSection {
    /// Name, sent to servers in a request header.
    pub name: OrganisationName,
    /// API keys that identify it.
    #[serde(default)]
    pub api_keys: Vec<ApiKey>,
    /// Requests per second, over all hosts together; 0 for no limit.
    #[serde(default)]
    pub rate: f64,
    /// Requests that may arrive at once in addition to the rate.
    #[serde(default)]
    pub burst: f64,
    /// Priority of its requests in place of the route's, 0 first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
}

impl OrganisationSection {
    /// Returns the section that describes `organisation`.
    #[must_use]
    pub fn from_organisation(organisation: &Organisation) -> Self {
        let limit = organisation.limit;
        Self {
            name: organisation.name.clone(),
            api_keys: organisation.api_keys.clone(),
            rate: limit.map_or(0.0, |l| l.rate),
            burst: limit.map_or(0.0, |l| l.burst),
            rank: organisation.priority,
        }
    }

    /// Checks the section. Its name and keys must differ from those of the `earlier` organisations in the file.
    pub(crate) fn check(&self, earlier: &[Self]) -> Result<(), SiteError> {
        let field = |name: &str| format!("organisation.{}.{name}", self.name);
        if !self.name.is_valid() {
            let reason = "must be 1 to 64 characters of a-z 0-9 - _ .";
            return Err(invalid(field("name"), &self.name, reason));
        }
        if earlier.iter().any(|o| o.name == self.name) {
            return Err(invalid(field("name"), &self.name, "is used twice"));
        }
        for (name, value) in [("rate", self.rate), ("burst", self.burst)] {
            if !(value.is_finite() && value >= 0.0) {
                return Err(invalid(field(name), &value, "must be 0 or more"));
            }
        }
        self.check_keys(earlier)
    }

    fn check_keys(&self, earlier: &[Self]) -> Result<(), SiteError> {
        for (i, key) in self.api_keys.iter().enumerate() {
            let field = format!("organisation.{}.api_keys.{i}", self.name);
            if !key.is_valid() {
                let reason = "must be 1 to 128 visible ASCII characters";
                return Err(invalid(field, &REDACTED, reason));
            }
            if self.api_keys[..i].contains(key) {
                return Err(invalid(field, &REDACTED, "is used twice"));
            }
            if earlier.iter().any(|o| o.api_keys.contains(key)) {
                return Err(invalid(
                    field,
                    &REDACTED,
                    "is an API key of another organisation",
                ));
            }
        }
        Ok(())
    }

    pub(crate) fn build(&self) -> Organisation {
        let limit = QuotaLimit {
            rate: self.rate,
            burst: self.burst,
        };
        Organisation {
            name: self.name.clone(),
            api_keys: self.api_keys.clone(),
            limit: (self.rate > 0.0).then_some(limit),
            priority: self.rank,
        }
    }
}
