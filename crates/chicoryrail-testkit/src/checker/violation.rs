//! Broken promises.

use std::collections::HashMap;

use chicoryrail_core::Bundle;
use chicoryrail_core::Kind;
use serde::Deserialize;
use serde::Serialize;

use crate::Evidence;
use crate::checker::answers;
use crate::checker::assigned;
use crate::checker::orders;
use crate::checker::owners;
use crate::checker::placement;
use crate::checker::stored;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Violation {
    /// Two servers ran requests for a key at the same time.
    OwnersOverlap {
        /// The key.
        key: String,
        /// The two servers.
        servers: [String; 2],
        /// Wall-clock time in microseconds.
        time: u64,
    },
    /// A key went to another server under a fence that is not above the one before.
    FenceBack {
        /// The key.
        key: String,
        /// The two servers.
        servers: [String; 2],
        /// The two fences.
        fences: [(u64, u64); 2],
        /// Wall-clock time in microseconds.
        time: u64,
    },
    /// A server ran a request for a key that no stored assignment had given it.
    OwnerNotStored {
        /// The key.
        key: String,
        /// The server.
        server: String,
        /// Wall-clock time in microseconds.
        time: u64,
    },
    /// An order ran more than once.
    OrderTwice {
        /// The order id.
        order: String,
        /// The servers that ran it.
        servers: Vec<String>,
    },
    /// A caller was told that an order is done, and it never ran.
    OrderLost {
        /// The order id.
        order: String,
        /// Id of the request.
        request: String,
    },
    /// A caller was told that a request was not run, and it ran.
    NotRunRan {
        /// Id of the request.
        request: String,
        /// The server that ran it.
        server: String,
    },
    /// A caller was given an answer that is not its own or not whole.
    AnswerWrong {
        /// Id of the request.
        request: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A caller was kept waiting past its deadline.
    Hung {
        /// Id of the request.
        request: String,
    },
    /// A planned stop of a gate cut a request.
    CutByStop {
        /// Id of the request.
        request: String,
    },
    /// A record of the store that only grows went back, changed in place or was deleted.
    StoredBack {
        /// Key of the record.
        key: String,
        /// Version of the write.
        version: u64,
    },
    /// The version of the configuration did not grow by one.
    ConfigBack {
        /// Version before.
        before: u64,
        /// Version written.
        after: u64,
    },
    /// A server got work although it was out of service.
    WorkWhileOut {
        /// The server.
        server: String,
        /// Id of the request.
        request: String,
        /// Time since it was out, in milliseconds.
        after_ms: u64,
    },
    /// A cold server was given more than it can bear.
    ColdOverrun {
        /// The server.
        server: String,
        /// Time since it turned cold, in milliseconds.
        cold_ms: u64,
        /// Requests in flight.
        busy: u32,
        /// Requests in flight that it can bear.
        bears: u32,
    },
}

/// What the checker knows of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Facts {
    pub(crate) service: String,
    pub(crate) keyed: bool,
    pub(crate) fenced: bool,
}

/// Finds broken promises in what was seen.
#[derive(Clone, Debug)]
pub struct Checker {
    pub(crate) servers: HashMap<String, Facts>,
}

impl Checker {
    /// Builds a checker for the servers of a bundle.
    #[must_use]
    pub fn new(bundle: &Bundle) -> Self {
        let facts = bundle.services.iter().flat_map(|service| {
            service.servers.iter().map(|server| {
                let facts = Facts {
                    service: service.name.to_string(),
                    keyed: service.kind == Kind::Keyed,
                    fenced: service.fenced,
                };
                (server.name.to_string(), facts)
            })
        });
        Self {
            servers: facts.collect(),
        }
    }

    /// Returns every broken promise that shows in the evidence.
    #[must_use]
    pub fn check(&self, seen: &Evidence) -> Vec<Violation> {
        let mut found = owners::check(self, seen);
        found.extend(assigned::check(self, seen));
        found.extend(orders::check(seen));
        found.extend(answers::check(seen));
        found.extend(stored::check(seen));
        found.extend(placement::check(seen));
        found
    }
}
