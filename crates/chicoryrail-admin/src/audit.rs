//! The audit trail in the store.

use chicoryrail_core::OperatorName;
use chicoryrail_platform::Store;
use serde::Deserialize;
use serde::Serialize;

use crate::ApiError;
use crate::Records;

/// Who did what, when, with which result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Operator who called.
    pub who: OperatorName,
    /// Name of the call, as in the metric `admin_calls_total`, for example `roll`.
    pub what: String,
    /// What it was about: a digest, a data centre, a host or a server.
    pub subject: String,
    /// Wall clock in milliseconds since 1970.
    pub when_ms: u64,
    /// Number of the result.
    pub code: u16,
    /// The refusal's message, or the version that carries the change.
    pub detail: String,
}

/// Writes a record under a key that no other process or run can name.
///
/// A lost answer is followed by the same write once more: the key must be absent, so it can stand
/// there once at most.
///
/// # Errors
///
/// Returns the store's refusal; the caller must be told that the trail has a gap.
pub(crate) async fn write<S: Store>(
    records: &Records<S>,
    instance: u64,
    number: u64,
    record: &AuditRecord,
) -> Result<(), ApiError> {
    let key = format!("audit/{:013}-{instance:016x}-{number}", record.when_ms);
    if records.create(&key, record).await.is_ok() {
        return Ok(());
    }
    records.create(&key, record).await.map(|_| ())
}
