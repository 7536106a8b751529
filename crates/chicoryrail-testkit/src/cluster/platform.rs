//! Calls to the stand-ins, and what they have seen.

use std::net::SocketAddr;

use chicoryrail_core::Millis;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::CallRecord;
use crate::Change;
use crate::Cluster;
use crate::ClusterError;
use crate::Evidence;
use crate::Ledger;
use crate::TargetPlan;
use crate::call_blocking;
use crate::cluster::error::FileSnafu;

/// Limit of a call to a stand-in.
const CALL_LIMIT: Millis = Millis(5_000);

impl Cluster {
    /// Reads the ledgers of all targets from their files.
    ///
    /// # Errors
    ///
    /// Returns the file that can't be read.
    pub fn ledgers(&self) -> Result<Vec<Ledger>, ClusterError> {
        let read = |t: &TargetPlan| Ledger::read(&t.ledger).context(FileSnafu { path: &t.ledger });
        self.targets.iter().map(read).collect()
    }

    /// Reads every write of the store that took effect.
    ///
    /// # Errors
    ///
    /// Returns why the store did not answer.
    pub fn history(&self) -> Result<Vec<Change>, ClusterError> {
        self.get(self.store, "/testkit/history?prefix=")
    }

    /// Gathers what callers, targets and the store saw.
    ///
    /// # Errors
    ///
    /// Returns a ledger that can't be read, or why the store did not answer.
    pub fn evidence(&self, records: Vec<CallRecord>) -> Result<Evidence, ClusterError> {
        let seen = Evidence {
            records,
            history: self.history()?,
            quotas: self.options().deployment.quotas(),
            ..Evidence::default()
        };
        Ok(seen.with_ledgers(self.ledgers()?))
    }

    /// Reads JSON from a stand-in.
    ///
    /// # Errors
    ///
    /// Returns why it did not answer.
    pub fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, ClusterError> {
        let (_, body) = call_blocking(&Method::GET, addr, path, "", CALL_LIMIT)?;
        serde_json::from_slice(&body).map_err(|e| ClusterError::Call {
            what: format!("GET {addr}{path}"),
            message: e.to_string(),
        })
    }

    /// Switches a fault of a stand-in on.
    ///
    /// # Errors
    ///
    /// Returns why the stand-in did not take it.
    pub fn put_fault(&self, addr: SocketAddr, fault: &impl Serialize) -> Result<(), ClusterError> {
        self.put(addr, "/testkit/fault", fault)
    }

    fn put(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &(impl Serialize + ?Sized),
    ) -> Result<(), ClusterError> {
        let fail = |message: String| ClusterError::Call {
            what: format!("PUT {addr}{path}"),
            message,
        };
        let body = serde_json::to_vec(value).map_err(|e| fail(e.to_string()))?;
        match call_blocking(&Method::PUT, addr, path, body, CALL_LIMIT)? {
            (200, _) => Ok(()),
            (status, body) => {
                let text = String::from_utf8_lossy(&body);
                Err(fail(format!("status {status}: {text}")))
            }
        }
    }
}
