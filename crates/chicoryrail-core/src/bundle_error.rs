//! Validation of bundles.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt::Display;

use snafu::Snafu;

use crate::Bundle;
use crate::Kind;
use crate::ResultCode;
use crate::Service;
use crate::Slice;

/// Why a bundle is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum BundleError {
    /// The text is no TOML, or a field is missing, unknown or of the wrong type.
    #[snafu(display("bundle syntax: {message}"))]
    Syntax {
        /// What the parser says, with line and column.
        message: String,
    },
    /// A field holds a value that can't be used.
    #[snafu(display("{field} = {value}: {reason}"))]
    Invalid {
        /// Path of the field, for example `service[kits].slots`.
        field: String,
        /// The value found.
        value: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl BundleError {
    /// Builds the error for one field.
    pub(crate) fn invalid(field: impl Into<String>, value: impl Display, reason: &str) -> Self {
        Self::Invalid {
            field: field.into(),
            value: value.to_string(),
            reason: reason.to_owned(),
        }
    }

    /// Returns the numbered result code.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Syntax { .. } => ResultCode::BundleSyntax,
            Self::Invalid { .. } => ResultCode::BundleInvalid,
        }
    }
}

pub(crate) fn validate(bundle: &Bundle) -> Result<(), BundleError> {
    name("team", bundle.team.as_str(), bundle.team.is_valid())?;
    within("order_parts", u64::from(bundle.order_parts), 1, 4096)?;
    let mut dcs = HashSet::new();
    for dc in &bundle.data_centres {
        name("data_centre.name", dc.name.as_str(), dc.name.is_valid())?;
        unique(&mut dcs, dc.name.as_str(), "data_centre.name")?;
    }
    let mut names = HashSet::new();
    let mut paths = HashSet::new();
    let mut servers = HashSet::new();
    let mut addrs = HashMap::new();
    for service in &bundle.services {
        name(
            "service.name",
            service.name.as_str(),
            service.name.is_valid(),
        )?;
        unique(&mut names, service.name.as_str(), "service.name")?;
        unique(&mut paths, service.path.as_str(), "service.path")?;
        check_service(service)?;
        for server in &service.servers {
            let at =
                |field: &str| format!("service[{}].server[{}].{field}", service.name, server.name);
            name("server.name", server.name.as_str(), server.name.is_valid())?;
            unique(&mut servers, server.name.as_str(), "server.name")?;
            if !dcs.contains(server.data_centre.as_str()) {
                return Err(BundleError::invalid(
                    at("data_centre"),
                    &server.data_centre,
                    "is not declared",
                ));
            }
            if server.addr.port() == 0 {
                return Err(BundleError::invalid(at("addr"), server.addr, "has port 0"));
            }
            if let Some(other) = addrs.insert(server.addr, &server.name) {
                let reason = format!("is the address of server {other} too");
                return Err(BundleError::invalid(at("addr"), server.addr, &reason));
            }
            if !(server.weight.is_finite() && server.weight > 0.0 && server.weight <= 1000.0) {
                return Err(BundleError::invalid(
                    at("weight"),
                    server.weight,
                    "is not above 0 and at most 1000",
                ));
            }
        }
        for range in &service.key_ranges {
            if !dcs.contains(range.data_centre.as_str()) {
                let field = format!("service[{}].key_range.data_centre", service.name);
                return Err(BundleError::invalid(
                    field,
                    &range.data_centre,
                    "is not declared",
                ));
            }
        }
    }
    Ok(())
}

fn check_service(service: &Service) -> Result<(), BundleError> {
    let at = |field: &str| format!("service[{}].{field}", service.name);
    let path = &service.path;
    if !(path.starts_with("/v1/") && path.ends_with('/') && path.len() > 4) {
        return Err(BundleError::invalid(
            at("path"),
            path,
            "does not start with /v1/ and end with /",
        ));
    }
    if path == "/v1/orders/" {
        return Err(BundleError::invalid(
            at("path"),
            path,
            "is reserved for order outcomes",
        ));
    }
    within(&at("deadline_ms"), service.deadline_ms.0, 1, 600_000)?;
    within(&at("slots"), u64::from(service.slots), 1, 10_000)?;
    within(
        &at("connections"),
        u64::from(service.connections),
        1,
        100_000,
    )?;
    within(&at("parts"), u64::from(service.parts), 1, 4096)?;
    within(&at("slices"), u64::from(service.slices), 1, 1 << 20)?;
    within(&at("max_body"), service.max_body, 1, 1 << 30)?;
    if service.connections < service.slots {
        return Err(BundleError::invalid(
            at("connections"),
            service.connections,
            "is below slots",
        ));
    }
    if service.servers.len() < service.parts as usize {
        return Err(BundleError::invalid(
            at("parts"),
            service.parts,
            "is above the number of servers",
        ));
    }
    if service.kind == Kind::Free && !(service.hot_keys.is_empty() && service.key_ranges.is_empty())
    {
        return Err(BundleError::invalid(
            at("kind"),
            "free",
            "takes no hot_key and no key_range",
        ));
    }
    let mut keys = HashSet::new();
    for hot in &service.hot_keys {
        unique(&mut keys, hot.key.as_str(), &at("hot_key.key"))?;
    }
    let mut seen: Vec<Slice> = Vec::new();
    for range in &service.key_ranges {
        let text = format!("{}-{}", range.first, range.last);
        let Some(slice) = range.slice() else {
            return Err(BundleError::invalid(
                at("key_range"),
                text,
                "is no range of hexadecimal positions",
            ));
        };
        if let Some(other) = seen.iter().find(|s| s.overlaps(slice)) {
            return Err(BundleError::invalid(
                at("key_range"),
                text,
                &format!("overlaps key_range {other}"),
            ));
        }
        seen.push(slice);
    }
    Ok(())
}

fn name(field: &str, value: &str, valid: bool) -> Result<(), BundleError> {
    if valid {
        return Ok(());
    }
    Err(BundleError::invalid(
        field,
        format!("{value:?}"),
        "is not 1 to 64 characters of a-z 0-9 - _ .",
    ))
}

fn unique<'a>(seen: &mut HashSet<&'a str>, value: &'a str, field: &str) -> Result<(), BundleError> {
    if seen.insert(value) {
        return Ok(());
    }
    Err(BundleError::invalid(field, value, "stands twice"))
}

fn within(field: &str, value: u64, low: u64, high: u64) -> Result<(), BundleError> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(BundleError::invalid(
        field,
        value,
        &format!("is not within {low} to {high}"),
    ))
}
