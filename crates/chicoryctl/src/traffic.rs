//! The `traffic` commands: rules that limit requests or servers, or keep keys with a server.

use std::net::IpAddr;
use std::net::Ipv4Addr;

use chicoryrail_core::Member;
use chicoryrail_core::ServerName;
use chicoryrail_core::ServiceName;
use chicoryrail_core::ServiceSpec;
use chicoryrail_core::Site;
use chicoryrail_ownership::store_key::traffic_rule_key;
use chicoryrail_platform::KvStore;
use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::Txn;
use chicoryrail_policy::LimitRule;
use chicoryrail_policy::Limited;
use chicoryrail_policy::PinRule;
use chicoryrail_policy::ServerRule;
use chicoryrail_policy::TrafficRule;
use serde::Serialize;
use snafu::ResultExt;

use crate::CtlError;
use crate::TrafficCommand;
use crate::error::StoreSnafu;
use crate::error::WriteSnafu;
use crate::status::Status;
use crate::traffic_show;

/// Largest number of rules in the store. Every host checks each request against all limits.
const RULES_MAX: usize = 256;

/// Runs a command and returns the text for standard output.
pub(crate) async fn execute(
    store: &KvStore,
    command: &TrafficCommand,
    json: bool,
) -> Result<String, CtlError> {
    match command {
        TrafficCommand::Show { service } => {
            find_service(&Status::read(store).await?, service)?;
            traffic_show::show(store, service, json).await
        }
        TrafficCommand::Limit {
            share,
            service,
            limited,
        } => {
            let status = Status::read(store).await?;
            check_limited(&status, service, limited)?;
            let rule = LimitRule {
                service: service.clone(),
                limited: limited.clone(),
                share: *share,
            };
            set(store, TrafficRule::Limit(rule)).await
        }
        TrafficCommand::Server { share, server } => {
            let status = Status::read(store).await?;
            find_server(&status, server)?;
            let rule = ServerRule {
                server: server.clone(),
                share: *share,
            };
            set(store, TrafficRule::Server(rule)).await
        }
        TrafficCommand::Pin {
            server,
            service,
            span,
        } => {
            let status = Status::read(store).await?;
            check_pin(&status, service, server)?;
            let rule = PinRule {
                service: service.clone(),
                first: span.first,
                last: span.last,
                server: server.clone(),
            };
            set(store, TrafficRule::Pin(rule)).await
        }
        TrafficCommand::List => list(store, json).await,
        TrafficCommand::Release { id } => release(store, id).await,
    }
}

/// Returns an error if the service is unknown, or the kind is neither a route to it nor the kind of one.
fn check_limited(
    status: &Status,
    service: &ServiceName,
    limited: &Limited,
) -> Result<(), CtlError> {
    let (site, _) = find_service(status, service)?;
    let Limited::Kind(kind) = limited else {
        return Ok(());
    };
    let caller = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
    let mut routes = site
        .routes()
        .iter()
        .filter(|r| r.services.iter().any(|s| s.service == *service));
    if routes.any(|route| limited.matches(route, caller)) {
        return Ok(());
    }
    Err(CtlError::NoKind {
        kind: kind.clone(),
        service: service.clone(),
    })
}

/// Returns an error if the service is unknown or has no keys, or the server is unknown or serves another service.
fn check_pin(status: &Status, service: &ServiceName, server: &ServerName) -> Result<(), CtlError> {
    let (_, spec) = find_service(status, service)?;
    if !spec.keyed {
        return Err(CtlError::NotKeyed {
            service: service.clone(),
        });
    }
    let member = find_server(status, server)?;
    if member.service != *service {
        return Err(CtlError::OtherService {
            server: server.clone(),
            service: service.clone(),
            found: member.service.clone(),
        });
    }
    Ok(())
}

fn find_service<'a>(
    status: &'a Status,
    service: &ServiceName,
) -> Result<(&'a Site, &'a ServiceSpec), CtlError> {
    let site = status.site.as_ref().ok_or(CtlError::NoConfig)?;
    let spec = site.service(service);
    let spec = spec.ok_or_else(|| CtlError::NoService {
        service: service.clone(),
    })?;
    Ok((site, spec))
}

fn find_server<'a>(status: &'a Status, server: &ServerName) -> Result<&'a Member, CtlError> {
    let found = status.servers.iter().find(|s| s.life.name == *server);
    found.ok_or_else(|| CtlError::NoServer {
        server: server.clone(),
    })
}

/// Stores a rule, in place of one for the same subject.
async fn set(store: &KvStore, rule: TrafficRule) -> Result<String, CtlError> {
    let id = rule.id();
    let others: Vec<Row> = rows(store).await?;
    let others = others.iter().filter(|row| row.id != id);
    if others.clone().count() >= RULES_MAX {
        return Err(CtlError::TooManyRules { max: RULES_MAX });
    }
    if let TrafficRule::Pin(pin) = &rule {
        let mut overlapping = others.filter(
            |row| matches!(&row.rule, Some(TrafficRule::Pin(other)) if other.overlaps(pin)),
        );
        if let Some(row) = overlapping.next() {
            return Err(CtlError::PinOverlaps {
                id,
                other: row.id.clone(),
            });
        }
    }
    let value = serde_json::to_vec(&rule).context(WriteSnafu)?;
    let txn = Txn::default().put(&entry_key(&id), &value);
    store.commit(&txn).await.context(StoreSnafu)?;
    Ok(format!("rule {id} is set: {rule}\n"))
}

async fn release(store: &KvStore, id: &str) -> Result<String, CtlError> {
    let key = entry_key(id);
    if store.item(&key).await.context(StoreSnafu)?.is_none() {
        return Err(CtlError::NoRule { id: id.to_owned() });
    }
    let txn = Txn::default().remove(&key);
    store.commit(&txn).await.context(StoreSnafu)?;
    Ok(format!("rule {id} is released\n"))
}

/// A rule in the output.
#[derive(Debug, Serialize)]
struct Row {
    id: String,
    /// The rule; `None` if the entry can't be decoded, so that hosts ignore it.
    rule: Option<TrafficRule>,
    /// Why the entry can't be decoded.
    error: Option<String>,
}

async fn rows(store: &KvStore) -> Result<Vec<Row>, CtlError> {
    let prefix = entry_key("");
    let all = store.snapshot(&prefix).await.context(StoreSnafu)?;
    let rows = all.items.iter().map(|item| {
        let id = item.key.strip_prefix(&prefix).unwrap_or(&item.key);
        let decoded = serde_json::from_slice(&item.value);
        Row {
            id: id.to_owned(),
            error: decoded.as_ref().err().map(ToString::to_string),
            rule: decoded.ok(),
        }
    });
    Ok(rows.collect())
}

async fn list(store: &KvStore, json: bool) -> Result<String, CtlError> {
    let rows = rows(store).await?;
    if json {
        let text = serde_json::to_string_pretty(&rows).context(WriteSnafu)?;
        return Ok(format!("{text}\n"));
    }
    Ok(rows.iter().map(render).collect())
}

fn render(row: &Row) -> String {
    let id = &row.id;
    match (&row.rule, &row.error) {
        (Some(rule), _) => format!("{id:<32}  {rule}\n"),
        (None, error) => {
            let reason = error.as_deref().unwrap_or_default();
            format!("{id:<32}  ignored, can't be read: {reason}\n")
        }
    }
}

fn entry_key(id: &str) -> String {
    format!("{OWN_PREFIX}{}", traffic_rule_key(id))
}
