//! Requests to the stand-ins, which return the evidence of a run and switch faults on.

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
use crate::unix_micros;

/// Timeout of a request to a stand-in.
const CALL_TIMEOUT: Millis = Millis(5_000);

impl Cluster {
    /// Reads the ledgers of all targets from their files.
    ///
    /// # Errors
    ///
    /// Returns an error if a ledger can't be read.
    pub fn ledgers(&self) -> Result<Vec<Ledger>, ClusterError> {
        let read = |t: &TargetPlan| Ledger::read(&t.ledger).context(FileSnafu { path: &t.ledger });
        self.targets.iter().map(read).collect()
    }

    /// Reads the history of the store: every write that took effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond.
    pub fn history(&self) -> Result<Vec<Change>, ClusterError> {
        self.get_json(self.store, "/testkit/history?prefix=")
    }

    /// Collects what callers, targets and the store recorded.
    ///
    /// # Errors
    ///
    /// Returns an error if a ledger can't be read or the store does not respond.
    pub fn evidence(&self, records: Vec<CallRecord>) -> Result<Evidence, ClusterError> {
        let evidence = Evidence {
            records,
            history: self.history()?,
            quotas: self.options().deployment.quotas(),
            ended: self.ended.clone(),
            complete_until: Some(unix_micros()),
            ..Evidence::default()
        };
        Ok(evidence.with_ledgers(self.ledgers()?))
    }

    /// Sends a `GET` request to a stand-in and decodes the JSON of its response.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond or the body can't be decoded.
    pub fn get_json<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, ClusterError> {
        let (_, body) = call_blocking(&Method::GET, addr, path, "", CALL_TIMEOUT)?;
        serde_json::from_slice(&body).map_err(|e| ClusterError::Call {
            operation: format!("GET {addr}{path}"),
            message: e.to_string(),
        })
    }

    /// Switches on a fault of the stand-in at `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond or rejects the fault.
    pub fn put_fault(&self, addr: SocketAddr, fault: &impl Serialize) -> Result<(), ClusterError> {
        self.put_json(addr, "/testkit/fault", fault)
    }

    fn put_json(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &(impl Serialize + ?Sized),
    ) -> Result<(), ClusterError> {
        let call_error = |message: String| ClusterError::Call {
            operation: format!("PUT {addr}{path}"),
            message,
        };
        let body = serde_json::to_vec(value).map_err(|e| call_error(e.to_string()))?;
        match call_blocking(&Method::PUT, addr, path, body, CALL_TIMEOUT)? {
            (200, _) => Ok(()),
            (status, body) => {
                let text = String::from_utf8_lossy(&body);
                Err(call_error(format!("status {status}: {text}")))
            }
        }
    }
}
