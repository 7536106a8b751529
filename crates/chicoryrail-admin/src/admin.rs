//! The process's state, and what is read from it.

use std::cell::Cell;

use chicoryrail_core::Config;
use chicoryrail_core::OperatorName;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::ListedState;
use chicoryrail_platform::Store;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::Process;
use prometheus::IntCounter;
use prometheus::IntCounterVec;

use crate::Access;
use crate::ApiError;
use crate::AuditRecord;
use crate::Change;
use crate::HostView;
use crate::PendingView;
use crate::ProgramView;
use crate::Records;
use crate::Source;
use crate::StatusView;
use crate::audit;
use crate::fleet::Fleet;
use crate::fleet::Snapshot;

/// The administration API of one host.
#[derive(Debug)]
pub struct Admin<S> {
    pub(crate) records: Records<S>,
    pub(crate) access: Access,
    pub(crate) fleet: Fleet,
    pub(crate) process: Process,
    pub(crate) calls: IntCounterVec,
    audits: Cell<u64>,
    gaps: IntCounter,
}

impl<S: Store> Admin<S> {
    /// Builds the API over a store.
    #[must_use]
    pub fn new(
        process: Process,
        store: S,
        access: Access,
        own: chicoryrail_core::HostName,
        list: std::net::SocketAddr,
    ) -> Self {
        let metrics = &process.metrics;
        let calls = metrics.counters(
            "admin_calls_total",
            "Calls of the administration API by call and result code",
            &["call", "code"],
        );
        let gaps = metrics.counter(
            "admin_audit_failed_total",
            "Audit records that could not be written to the store",
        );
        Self {
            records: Records::new(store, &process),
            access,
            fleet: Fleet::new(own, list, process.clock),
            calls,
            gaps,
            audits: Cell::new(0),
            process,
        }
    }

    /// Reads the configuration from the store or, while that is down, from controllers.
    pub(crate) async fn config(&self) -> Result<(Config, Source), ApiError> {
        let error = match self.records.config().await {
            Ok(config) => return Ok((config, Source::Store)),
            Err(e) if e.code != ResultCode::StoreDown => return Err(e),
            Err(e) => e,
        };
        let config = self.fleet.config().await.ok_or(error)?;
        Ok((config, Source::Controllers))
    }

    /// Tells who keeps a version, or the newest one, from being in force everywhere.
    pub(crate) async fn pending(&self, version: Option<u64>) -> Result<PendingView, ApiError> {
        let version = match version {
            Some(version) => version,
            None => self.config().await?.0.version(),
        };
        Ok(self.fleet.pending(version).await)
    }

    /// Builds the answer to a change that is stored as `version`.
    pub(crate) async fn change(
        &self,
        version: u64,
        unchanged: bool,
        warnings: Vec<String>,
    ) -> Change {
        Change {
            version,
            unchanged,
            warnings,
            pending: self.fleet.pending(version).await,
        }
    }

    /// Reads the state of all hosts.
    pub(crate) async fn status(&self) -> Result<StatusView, ApiError> {
        let (config, source) = self.config().await?;
        let fleet = self.fleet.look(false).await;
        Ok(StatusView {
            version: config.version(),
            source,
            listed: fleet.listed,
            hosts: hosts(&fleet, &config),
            bundles: config.head.bundles,
            outs: config.head.outs,
        })
    }

    /// Writes the audit record of a call, given what it was about and its detail or refusal; `false`
    /// where the store did not take it.
    pub(crate) async fn audit(
        &self,
        who: &OperatorName,
        call: &str,
        outcome: Result<(&str, &str), (&str, &ApiError)>,
    ) -> bool {
        let number = self.audits.replace(self.audits.get() + 1);
        let (code, subject, detail) = match outcome {
            Ok((subject, detail)) => (ResultCode::Ok, subject, detail),
            Err((subject, e)) => (e.code, subject, e.message.as_str()),
        };
        let events = &self.process.events;
        let mut words = format!("who={who} call={call} code={}", code.number());
        if code == ResultCode::Ok && !detail.is_empty() {
            words = format!("{words} {detail}");
        }
        events.record(EventKind::Operator, subject, words);
        let record = AuditRecord {
            who: who.clone(),
            what: call.to_owned(),
            subject: subject.to_owned(),
            when_ms: events.stamp().wall,
            code: code.number(),
            detail: detail.to_owned(),
        };
        let written = audit::write(&self.records, self.process.instance, number, &record).await;
        if written.is_err() {
            self.gaps.inc();
        }
        written.is_ok()
    }
}

fn hosts(fleet: &Snapshot, config: &Config) -> Vec<HostView> {
    let seen = fleet.programs();
    let names = fleet.names();
    let views = names.into_iter().map(|name| {
        let entry = fleet.hosts.iter().find(|h| h.name == name);
        let reply = fleet.replies.iter().find(|r| r.own.host == name);
        let programs = seen.iter().filter(|((host, _), _)| *host == name);
        let dc = entry.map(|e| &e.data_centre);
        let heard = programs.clone().map(|(_, (beat, _))| &beat.dc).next();
        let leaves = entry.is_some_and(|e| e.state == ListedState::Leaving);
        HostView {
            data_centre: dc.or(heard).cloned().unwrap_or_else(|| "unknown".into()),
            listed: entry.is_some(),
            leaving: leaves || config.head.outs.hosts.contains(&name),
            shards: reply.map(|r| r.held.len()),
            programs: programs
                .map(|((_, program), (beat, silent))| ProgramView {
                    program: *program,
                    instance: beat.instance,
                    state: beat.state,
                    version: beat.version,
                    silent_ms: *silent,
                })
                .collect(),
            name,
        }
    });
    views.collect()
}
