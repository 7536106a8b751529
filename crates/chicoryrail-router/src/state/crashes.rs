//! Requests under which servers ended, as this host knows them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use chicoryrail_core::Fingerprint;
use chicoryrail_core::Millis;
use chicoryrail_policy::CrashTable;
use chicoryrail_policy::ProbeLimiter;
use chicoryrail_runtime::ChangeSignal;
use chicoryrail_runtime::HttpClient;

use crate::messages::CrashNews;
use crate::messages::RequestRecord;

/// Largest number of hosts of which this one remembers what it has told them.
const TOLD_HOSTS_MAX: usize = 4_096;

/// State of the containment of requests that end servers.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    pub(crate) table: RefCell<CrashTable>,
    /// Runs of suspected requests that this host has granted.
    pub(crate) probes: RefCell<ProbeLimiter>,
    /// Notified when the table has changed.
    pub(crate) changed: ChangeSignal,
    /// Client for calls to the hosts that grant runs.
    pub(crate) client: HttpClient,
    /// Version of the table up to which a scheduler has told each host that queries it.
    told: RefCell<HashMap<SocketAddr, u64>>,
    next_ticket: Cell<u32>,
}

impl Crashes {
    /// Returns a ticket that no other run of any host has; `instance` identifies this process.
    pub(crate) fn next_ticket(&self, instance: u64) -> u64 {
        let ticket = self.next_ticket.get().wrapping_add(1);
        self.next_ticket.set(ticket);
        instance ^ u64::from(ticket)
    }

    /// Returns what this host has learned since a version of its table; all that it knows since version 0.
    pub(crate) fn news_since(&self, version: u64) -> CrashNews {
        let table = self.table.borrow();
        let records = table.records_since(version).map(to_message);
        CrashNews {
            records: records.collect(),
            alive: table.alive().cloned().collect(),
            is_new: false,
        }
    }

    /// Returns what this host learned in the last `age`; `None` if nothing.
    pub(crate) fn recent_news(&self, now: Millis, age: Millis) -> Option<CrashNews> {
        let table = self.table.borrow();
        let records: Vec<_> = table.recent_records(now, age).map(to_message).collect();
        if records.is_empty() {
            return None;
        }
        Some(CrashNews {
            records,
            alive: table.alive().cloned().collect(),
            is_new: false,
        })
    }

    /// Returns what a querying host has not been told yet, and counts it as told. A host that was told nothing before gets
    /// what this one learned in the last `age`.
    pub(crate) fn take_untold(
        &self,
        now: Millis,
        host: SocketAddr,
        age: Millis,
    ) -> Option<CrashNews> {
        let mut told = self.told.borrow_mut();
        let table = self.table.borrow();
        if !table.has_evidence() {
            return None;
        }
        if told.len() >= TOLD_HOSTS_MAX {
            told.clear();
        }
        let version = table.version();
        match told.insert(host, version) {
            Some(known) if known == version => None,
            Some(known) => Some(self.news_since(known)),
            None => self.recent_news(now, age),
        }
    }

    /// Returns what this host knows of a request.
    pub(crate) fn news_of(&self, request: Fingerprint) -> CrashNews {
        let table = self.table.borrow();
        let record = table.record(request);
        let records = record.map(|record| to_message((request, record)));
        CrashNews {
            records: records.into_iter().collect(),
            ..CrashNews::default()
        }
    }
}

fn to_message((request, record): (Fingerprint, &chicoryrail_policy::CrashRecord)) -> RequestRecord {
    RequestRecord {
        request,
        record: record.clone(),
    }
}
