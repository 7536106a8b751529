//! What the administration API keeps in the store.
//!
//! | key | value |
//! |---|---|
//! | `config/head` | JSON `Head` |
//! | `config/bundle/{digest}` | JSON [`StoredBundle`] |
//! | `config/sign/{digest}` | JSON [`StoredSign`] |
//! | `bundles/{digest}` | JSON `BundleInfo`, so that a list reads no texts |
//! | `audit/{time}-{run}-{number}` | JSON `AuditRecord` |

use std::cell::Cell;
use std::rc::Rc;

use chicoryrail_core::Bundle;
use chicoryrail_core::Config;
use chicoryrail_core::Digest;
use chicoryrail_core::Head;
use chicoryrail_core::OperatorName;
use chicoryrail_core::ResultCode;
use chicoryrail_core::TeamName;
use chicoryrail_platform::Record;
use chicoryrail_platform::Store;
use chicoryrail_platform::StoreError;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::EventRing;
use chicoryrail_runtime::Process;
use prometheus::IntCounterVec;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ApiError;

/// Key of the head.
pub(crate) const HEAD: &str = "config/head";

/// Largest value that is written. The store takes a megabyte; a bundle of the largest text with
/// many quotes can grow beyond it when it is written as JSON, and is refused with a clear message.
const MAX_VALUE: usize = 1_000_000;

/// A bundle as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredBundle {
    /// The text, byte by byte as its digest was made of.
    pub text: String,
    /// Team that owns it.
    pub team: TeamName,
    /// Operator who put it first; a later put of the same text doesn't change it.
    pub author: OperatorName,
}

/// A sign-off as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSign {
    /// Operator who signed.
    pub signer: OperatorName,
    /// The ed25519 signature over the digest's text, in base64.
    pub signature: String,
}

/// How often a read is tried. One lost answer must not refuse an operator's call; a store that is
/// down is told after two limits of a call, a second.
const READ_TRIES: u32 = 2;

/// What a list tells of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BundleInfo {
    pub(crate) team: TeamName,
    pub(crate) author: OperatorName,
    pub(crate) services: usize,
    pub(crate) servers: usize,
}

/// Typed access to the store; records when the store stops and starts to answer.
#[derive(Clone, Debug)]
pub struct Records<S> {
    store: S,
    calls: IntCounterVec,
    events: EventRing,
    down: Rc<Cell<bool>>,
}

impl<S: Store> Records<S> {
    /// Wraps a store.
    #[must_use]
    pub fn new(store: S, process: &Process) -> Self {
        let calls = process.metrics.counters(
            "store_calls_total",
            "Calls to the platform's store, a waiting watch as one",
            &["call"],
        );
        Self {
            store,
            calls,
            events: process.events.clone(),
            down: Rc::default(),
        }
    }

    /// Reads the head and the version of its record; 0 and an empty head where there is none yet.
    ///
    /// # Errors
    ///
    /// Refuses where the store does not answer or holds no head in that place.
    pub async fn head(&self) -> Result<(u64, Head), ApiError> {
        match self.get(HEAD).await? {
            None => Ok((0, Head::default())),
            Some(record) => Ok((record.version, parse(&record)?)),
        }
    }

    /// Reads a bundle.
    ///
    /// # Errors
    ///
    /// Refuses where the store does not answer or has no such bundle.
    pub async fn bundle(&self, digest: &Digest) -> Result<StoredBundle, ApiError> {
        match self.get(&bundle_key(digest)).await? {
            Some(record) => parse(&record),
            None => Err(ApiError::new(
                ResultCode::BundleUnknown,
                format!("digest = {digest}: no bundle has it"),
            )),
        }
    }

    /// Reads the sign-off of a bundle; `None` where there is none.
    ///
    /// # Errors
    ///
    /// Refuses where the store does not answer.
    pub async fn sign(&self, digest: &Digest) -> Result<Option<StoredSign>, ApiError> {
        let record = self.get(&sign_key(digest)).await?;
        record.as_ref().map(parse).transpose()
    }

    /// Reads the head and every bundle that it names.
    ///
    /// # Errors
    ///
    /// Refuses where the store does not answer.
    pub async fn config(&self) -> Result<Config, ApiError> {
        let (_, head) = self.head().await?;
        self.expand(head).await
    }

    /// Reads every bundle that `head` names.
    pub(crate) async fn expand(&self, head: Head) -> Result<Config, ApiError> {
        let mut config = Config {
            head,
            ..Config::default()
        };
        for (team, digest) in &config.head.bundles {
            let stored = self.bundle(digest).await?;
            let bundle = Bundle::parse(&stored.text)?;
            config.bundles.insert(team.clone(), bundle);
        }
        Ok(config)
    }

    /// Reads the infos of all bundles, with their digests.
    pub(crate) async fn infos(&self) -> Result<Vec<(Digest, BundleInfo)>, ApiError> {
        self.all("bundles/").await
    }

    /// Reads all sign-offs, with the digests that they are for.
    pub(crate) async fn signs(&self) -> Result<Vec<(Digest, StoredSign)>, ApiError> {
        self.all("config/sign/").await
    }

    /// Writes a key that must be absent; `false` where it is there already.
    ///
    /// Used only for keys whose value follows from the key, or that one attempt alone can name, so
    /// writing again after a lost answer can't change anything.
    pub(crate) async fn create<T: Serialize>(
        &self,
        key: &str,
        value: &T,
    ) -> Result<bool, ApiError> {
        let text = to_text(key, value)?;
        match self.swap(key, 0, &text).await {
            Ok(_) => Ok(true),
            Err(StoreError::Conflict { .. }) => Ok(false),
            Err(e) => Err(e.into()),
        }
    }

    /// Writes a key under compare-and-swap.
    pub(crate) async fn swap(
        &self,
        key: &str,
        expect: u64,
        value: &str,
    ) -> Result<u64, StoreError> {
        self.calls.with_label_values(&["swap"]).inc();
        let result = self.store.swap(key, expect, value).await;
        self.note(result)
    }

    pub(crate) async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        self.read("get", || self.store.get(key)).await
    }

    /// Repeats a read whose answer was lost: reads change nothing.
    async fn read<T, F>(&self, call: &str, read: impl Fn() -> F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let mut tries = 1;
        loop {
            self.calls.with_label_values(&[call]).inc();
            let result = self.note(read().await);
            if tries == READ_TRIES || !result.as_ref().is_err_and(StoreError::is_outage) {
                return result;
            }
            tries += 1;
        }
    }

    async fn all<T: DeserializeOwned>(&self, prefix: &str) -> Result<Vec<(Digest, T)>, ApiError> {
        let mut found = Vec::new();
        for record in self.read("list", || self.store.list(prefix)).await? {
            let digest = record.key.strip_prefix(prefix).and_then(Digest::parse);
            if let Some(digest) = digest {
                found.push((digest, parse(&record)?));
            }
        }
        Ok(found)
    }

    fn note<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let down = result.as_ref().is_err_and(StoreError::is_outage);
        if self.down.replace(down) != down {
            let kind = if down {
                EventKind::StoreLost
            } else {
                EventKind::StoreBack
            };
            self.events.record(kind, "store", "");
        }
        result
    }
}

pub(crate) fn bundle_key(digest: &Digest) -> String {
    format!("config/bundle/{digest}")
}

pub(crate) fn sign_key(digest: &Digest) -> String {
    format!("config/sign/{digest}")
}

pub(crate) fn info_key(digest: &Digest) -> String {
    format!("bundles/{digest}")
}

pub(crate) fn to_text<T: Serialize>(key: &str, value: &T) -> Result<String, ApiError> {
    let text = serde_json::to_string(value)
        .map_err(|e| ApiError::new(ResultCode::Internal, format!("{key}: {e}")))?;
    if text.len() > MAX_VALUE {
        let reason = format!(
            "{key} = {} bytes as JSON: is longer than {MAX_VALUE} bytes",
            text.len()
        );
        return Err(ApiError::new(ResultCode::BundleInvalid, reason));
    }
    Ok(text)
}

fn parse<T: DeserializeOwned>(record: &Record) -> Result<T, ApiError> {
    let text = record.value.as_deref().unwrap_or_default();
    serde_json::from_str(text).map_err(|e| {
        let reason = format!("the store's {} is not as expected: {e}", record.key);
        ApiError::new(ResultCode::Internal, reason)
    })
}
