//! The store over HTTP and JSON.

use std::net::SocketAddr;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::HttpClient;
use http::Method;
use http::Request;
use http::Response;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Record;
use crate::Store;
use crate::StoreError;

/// Longest time a call may take. The store answers in milliseconds; a process that waited longer on
/// a store that is down would hold its own work up.
const CALL_LIMIT: Millis = Millis(500);

/// Body of `PUT /v1/kv/{key}`: compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CasBody {
    /// New value.
    pub value: String,
    /// Version that the key must have; 0 where it must be absent.
    pub expect: u64,
    /// Lease that the key ends with; `None` for a lasting key.
    #[serde(default)]
    pub lease: Option<u64>,
}

/// Body of `POST /v1/lease`, and answer of all lease calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// Number of the lease; 0 in a request for a new one.
    #[serde(default)]
    pub id: u64,
    /// Time to live in milliseconds.
    pub ttl_ms: Millis,
}

/// Answer of `PUT` (status 200: the new version; 409: the version found) and of watches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Revision of the store.
    pub revision: u64,
    /// Records that changed after the asked revision.
    pub records: Vec<Record>,
}

#[derive(Deserialize)]
struct VersionAnswer {
    version: u64,
}

/// The adapter for a store that speaks HTTP and JSON:
///
/// | call | answer |
/// |---|---|
/// | `GET /v1/kv/{key}` | 200 [`Record`], 404 |
/// | `PUT /v1/kv/{key}` [`CasBody`] | 200 `{"version"}`, 409 `{"version"}`, 413 |
/// | `GET /v1/list?prefix=P` | 200 [`WatchAnswer`] with every record |
/// | `GET /v1/watch?prefix=P&after=N&wait_ms=N` | 200 [`WatchAnswer`] |
///
/// Keys are of `a-z 0-9 - _ . /`, so they need no escaping in a path.
#[derive(Clone, Debug)]
pub struct HttpStore {
    addr: SocketAddr,
    client: HttpClient,
}

impl HttpStore {
    /// Builds the adapter for the store at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            client: HttpClient::default(),
        }
    }

    /// Returns the address of the store.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Millis,
    ) -> Result<Response<Bytes>, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .body(body)
            .map_err(|e| StoreError::Refused {
                message: format!("path {path}: {e}"),
            })?;
        let answer = self
            .client
            .call(self.addr, request, limit)
            .await
            .map_err(|e| StoreError::Down {
                message: e.to_string(),
            })?;
        match answer.status().as_u16() {
            200 | 404 | 409 => Ok(answer),
            500.. | 429 => Err(StoreError::Down {
                message: format!("status {}", answer.status()),
            }),
            _ => Err(StoreError::Refused {
                message: format!(
                    "{}: {}",
                    answer.status(),
                    String::from_utf8_lossy(answer.body())
                ),
            }),
        }
    }
}

impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        let path = format!("/v1/kv/{key}");
        let answer = self
            .call(Method::GET, &path, Bytes::new(), CALL_LIMIT)
            .await?;
        if answer.status() == 404 {
            return Ok(None);
        }
        parse(&answer).map(Some)
    }

    async fn swap(&self, key: &str, expect: u64, value: &str) -> Result<u64, StoreError> {
        let body = CasBody {
            value: value.to_owned(),
            expect,
            lease: None,
        };
        let body = serde_json::to_vec(&body).map_err(|e| StoreError::Refused {
            message: e.to_string(),
        })?;
        let path = format!("/v1/kv/{key}");
        let answer = self
            .call(Method::PUT, &path, body.into(), CALL_LIMIT)
            .await?;
        let VersionAnswer { version } = parse(&answer)?;
        if answer.status() == 409 {
            return Err(StoreError::Conflict {
                key: key.to_owned(),
                found: version,
            });
        }
        Ok(version)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Record>, StoreError> {
        let path = format!("/v1/list?prefix={prefix}");
        let answer = self
            .call(Method::GET, &path, Bytes::new(), CALL_LIMIT)
            .await?;
        parse::<WatchAnswer>(&answer).map(|a| a.records)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Millis,
    ) -> Result<(u64, Vec<Record>), StoreError> {
        let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={}", wait.0);
        let answer = self
            .call(Method::GET, &path, Bytes::new(), wait + CALL_LIMIT)
            .await?;
        parse::<WatchAnswer>(&answer).map(|a| (a.revision, a.records))
    }
}

fn parse<T: DeserializeOwned>(answer: &Response<Bytes>) -> Result<T, StoreError> {
    serde_json::from_slice(answer.body()).map_err(|e| StoreError::Down {
        message: format!("answer is not as expected: {e}"),
    })
}
