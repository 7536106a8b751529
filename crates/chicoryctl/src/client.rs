//! Calls of the administration API.

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_runtime::HttpClient;
use http::Method;
use http::Request;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::CtlError;
use crate::Settings;
use crate::error::AnswerSnafu;
use crate::error::RequestSnafu;
use crate::error::SilentSnafu;

/// Longest time a call may take. A roll whose answer the store lost is settled by the API within six
/// seconds and its calls' own limits; an operator waits for that truth.
const CALL_LIMIT: Millis = Millis(20_000);

/// The way to the administration API, with who calls.
#[derive(Clone, Debug)]
pub struct Client {
    settings: Settings,
    http: HttpClient,
}

#[derive(Deserialize)]
struct Refusal {
    code: u16,
    error: String,
}

impl Client {
    /// Builds the way from settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            settings: settings.clone(),
            http: HttpClient::default(),
        }
    }

    /// Reads `path`.
    ///
    /// # Errors
    ///
    /// Returns the API's refusal, or why there is no answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Posts `body` as JSON to `path`.
    ///
    /// # Errors
    ///
    /// Returns the API's refusal, or why there is no answer.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CtlError> {
        let body = serde_json::to_vec(body).context(AnswerSnafu)?;
        self.call(Method::POST, path, body.into()).await
    }

    /// Posts `text` as it is to `path`.
    ///
    /// # Errors
    ///
    /// Returns the API's refusal, or why there is no answer.
    pub async fn post_text<T: DeserializeOwned>(
        &self,
        path: &str,
        text: Vec<u8>,
    ) -> Result<T, CtlError> {
        self.call(Method::POST, path, text.into()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CtlError> {
        let mut request = Request::builder().method(method).uri(path);
        if let Some(token) = &self.settings.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        if let Some(operator) = &self.settings.operator {
            request = request.header("operator", operator);
        }
        let request = request.body(body).context(RequestSnafu)?;
        let answer = self
            .http
            .call(self.settings.admin, request, CALL_LIMIT)
            .await
            .context(SilentSnafu)?;
        if answer
            .headers()
            .get("chicoryrail-audit")
            .is_some_and(|v| v == "failed")
        {
            eprintln!("warning: the audit record of this call could not be written");
        }
        if answer.status().is_success() {
            return serde_json::from_slice(answer.body()).context(AnswerSnafu);
        }
        let refusal = serde_json::from_slice(answer.body()).unwrap_or_else(|_| Refusal {
            code: ResultCode::Internal.number(),
            error: format!("status {}", answer.status()),
        });
        Err(CtlError::Refused {
            code: refusal.code,
            message: refusal.error,
        })
    }
}
