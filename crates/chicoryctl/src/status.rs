//! The `status` and `owner` commands, which show the state of the installation in the store.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use chicoryrail_core::DcName;
use chicoryrail_core::Life;
use chicoryrail_core::Member;
use chicoryrail_core::MemberState;
use chicoryrail_core::ServiceName;
use chicoryrail_core::Site;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::store_key::HOSTS;
use chicoryrail_ownership::store_key::KEYS;
use chicoryrail_ownership::store_key::LEADER;
use chicoryrail_platform::Item;
use chicoryrail_platform::KvStore;
use chicoryrail_platform::Subject;
use chicoryrail_platform::read_config;
use chicoryrail_platform::read_member;
use serde::Serialize;
use serde_json::json;
use snafu::ResultExt;

use crate::CtlError;
use crate::error::StoreSnafu;
use crate::error::WriteSnafu;

/// The contents of the store, read page by page: later pages may contain newer changes than earlier ones.
#[derive(Debug, Default)]
pub(crate) struct Status {
    pub(crate) site: Option<Site>,
    /// Data centres that an operator took out of service.
    pub(crate) dcs_out: Vec<DcName>,
    pub(crate) servers: Vec<Member>,
    /// Name and address of each host.
    hosts: BTreeMap<String, String>,
    /// Name of the leader and its term; `None` if no host leads.
    leader: Option<(String, u64)>,
    /// Key record of each keyed service.
    key_records: BTreeMap<String, KeyRecord>,
    /// Entries that can't be decoded: key and reason.
    bad_entries: Vec<String>,
}

/// State of one service, printed as a table row or as JSON.
#[derive(Debug, Serialize)]
struct ServiceRow {
    service: ServiceName,
    keyed: bool,
    ready: usize,
    draining: usize,
    /// Number of servers that are warming up.
    cold: usize,
    /// Slots of the servers that are ready.
    slots: u32,
    /// Fence of its keys; 0 for a service without keys.
    fence: u64,
    /// Key ranges on which a former owner may still have a key lease.
    loose: usize,
}

impl Status {
    /// Reads the whole store.
    pub(crate) async fn read(store: &KvStore) -> Result<Self, CtlError> {
        let all = store.snapshot("").await.context(StoreSnafu)?;
        let mut status = Self::default();
        for item in &all.items {
            if let Err(e) = status.apply(item) {
                status.bad_entries.push(e);
            }
        }
        Ok(status)
    }

    fn apply(&mut self, item: &Item) -> Result<(), String> {
        match Subject::of(&item.key) {
            Subject::Config => {
                self.site = Some(read_config(&item.value).map_err(|e| e.to_string())?.site);
            }
            Subject::DrainedDc(dc) => self.dcs_out.push(dc),
            Subject::Server(name) => {
                let server = read_member(&name, &item.value).map_err(|e| e.to_string())?;
                self.servers.push(server);
            }
            Subject::Own(key) => self.apply_own(&key, item)?,
            Subject::Foreign => {}
        }
        Ok(())
    }

    /// Applies an entry that the routers wrote.
    fn apply_own(&mut self, key: &str, item: &Item) -> Result<(), String> {
        let text = || String::from_utf8_lossy(&item.value).into_owned();
        if key == LEADER {
            self.leader = Some((text(), item.revision));
        } else if let Some(host) = key.strip_prefix(HOSTS) {
            self.hosts.insert(host.to_owned(), text());
        } else if let Some(service) = key.strip_prefix(KEYS) {
            let record = serde_json::from_slice(&item.value);
            let record = record.map_err(|e| format!("{}: {e}", item.key))?;
            self.key_records.insert(service.to_owned(), record);
        }
        Ok(())
    }

    /// Returns the status as text or as a line of JSON.
    pub(crate) fn render(&self, json: bool) -> Result<String, CtlError> {
        let rows = self.rows();
        let version = self.site.as_ref().map_or(0, |s| s.version);
        if json {
            let (leader, term) = self.leader.clone().unwrap_or_default();
            let value = json!({
                "version": version, "out": self.dcs_out, "leader": leader, "term": term,
                "hosts": self.hosts, "services": rows, "bad_entries": self.bad_entries,
            });
            return json_line(&value);
        }
        let mut text = format!("configuration  version {version}\n");
        let leader = match &self.leader {
            Some((name, term)) => format!("{name}, term {term}"),
            None => "none".to_owned(),
        };
        let _ = writeln!(text, "leader         {leader}");
        let dcs_out: Vec<_> = self.dcs_out.iter().map(DcName::as_str).collect();
        let dcs_out = if dcs_out.is_empty() {
            "none".to_owned()
        } else {
            dcs_out.join(", ")
        };
        let _ = writeln!(text, "out of service {dcs_out}");
        let _ = writeln!(text, "\nhost                      address");
        for (host, addr) in &self.hosts {
            let _ = writeln!(text, "{host:<25} {addr}");
        }
        let _ = writeln!(
            text,
            "\nservice                   ready  draining  warming  slots  fence  old leases"
        );
        for r in rows {
            let _ = writeln!(
                text,
                "{:<25} {:>5}  {:>8}  {:>7}  {:>5}  {:>5}  {:>10}",
                r.service.as_str(),
                r.ready,
                r.draining,
                r.cold,
                r.slots,
                r.fence,
                r.loose
            );
        }
        self.render_organisations(&mut text);
        for bad in &self.bad_entries {
            let _ = writeln!(text, "can't be read: {bad}");
        }
        Ok(escape_controls(&text))
    }

    fn render_organisations(&self, text: &mut String) {
        let organisations = self.site.as_ref().and_then(|s| s.organisations());
        let Some(organisations) = organisations else {
            return;
        };
        let _ = writeln!(text, "\norganisation              rate   burst  keys");
        for o in organisations {
            let (rate, burst) = o.limit.map_or((0.0, 0.0), |l| (l.rate, l.burst));
            let name = o.name.as_str();
            let _ = writeln!(
                text,
                "{name:<22} {rate:>7} {burst:>7} {:>5}",
                o.api_keys.len()
            );
        }
    }

    fn rows(&self) -> Vec<ServiceRow> {
        let services = self.site.iter().flat_map(|s| &s.services);
        let row = |spec: &chicoryrail_core::ServiceSpec| {
            let members = || self.servers.iter().filter(|s| s.service == spec.name);
            let ready = |s: &&Member| s.state == MemberState::Ready;
            let record = self.key_records.get(spec.name.as_str());
            ServiceRow {
                service: spec.name.clone(),
                keyed: spec.keyed,
                ready: members().filter(ready).count(),
                draining: members().filter(|s| !ready(s)).count(),
                cold: members().filter(|s| s.warmup_left.0 > 0).count(),
                slots: members().filter(ready).map(|s| s.slots).sum(),
                fence: record.map_or(0, |r| r.fence),
                loose: record.map_or(0, |r| r.loose.len()),
            }
        };
        services.map(row).collect()
    }
}

/// Returns which server owns a key, the fence of the key record, and former owners that may still have a key lease.
pub(crate) async fn owner(
    store: &KvStore,
    service: &ServiceName,
    key: u16,
    json: bool,
) -> Result<String, CtlError> {
    let status = Status::read(store).await?;
    let Some(record) = status.key_records.get(service.as_str()) else {
        return Err(CtlError::NoRecord {
            service: service.clone(),
        });
    };
    let owner = record.owner(key);
    let loose = record.loose.iter().filter(|s| s.span.contains(key));
    let former: Vec<_> = loose.map(|s| s.owner.to_string()).collect();
    if json {
        return json_line(&json!({
            "service": service, "key": key, "fence": record.fence,
            "owner": owner.map(Life::to_string), "may_still_hold": former,
        }));
    }
    let owner = owner.map_or_else(|| "no owner".to_owned(), Life::to_string);
    let mut text = format!("{owner}, fence {}\n", record.fence);
    for former in former {
        let _ = writeln!(text, "{former} may still have a key lease");
    }
    Ok(text)
}

/// Returns a value as one line of JSON.
pub(crate) fn json_line(value: &serde_json::Value) -> Result<String, CtlError> {
    let mut text = serde_json::to_string(value).context(WriteSnafu)?;
    text.push('\n');
    Ok(text)
}

/// Escapes control characters other than line ends. Keys and texts of other writers could control the operator's terminal.
fn escape_controls(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() && c != '\n' {
            escaped.extend(c.escape_default());
        } else {
            escaped.push(c);
        }
    }
    escaped
}
