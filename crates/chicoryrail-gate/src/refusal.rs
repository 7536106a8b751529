//! Answers that are not a server's.

use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::error_answer;
use http::HeaderValue;
use http::Response;
use http::header::RETRY_AFTER;

/// When to come back in milliseconds; the standard header has whole seconds only, which is long for a
/// burst that is over in a tenth of one.
pub(crate) const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Why a request has no server's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) code: ResultCode,
    pub(crate) message: String,
    pub(crate) after: Option<Millis>,
}

impl Refusal {
    /// Builds a refusal; one for want of capacity tells when to come back.
    pub(crate) fn new(code: ResultCode) -> Self {
        Self::with(code, String::new())
    }

    /// Builds a refusal that names what is wrong.
    pub(crate) fn with(code: ResultCode, message: String) -> Self {
        let after = matches!(
            code,
            ResultCode::Overloaded
                | ResultCode::DeadlinePassed
                | ResultCode::NoServer
                | ResultCode::OwnerMoving
                | ResultCode::Leaving
                | ResultCode::NotReady
                | ResultCode::Shed
                | ResultCode::NotHolder
        );
        Self {
            code,
            message,
            after: after.then_some(Millis(1_000)),
        }
    }

    /// Tells whether it is certain that no server ran the request.
    pub(crate) fn not_run(&self) -> bool {
        self.code.run() == "not run"
    }

    /// Returns the refusal of a request that an earlier or another send of it may have run; when to
    /// come back stays as it is.
    #[must_use]
    pub(crate) fn after_a_run(self) -> Self {
        if !self.not_run() {
            return self;
        }
        let code = match self.code {
            ResultCode::DeadlinePassed => ResultCode::AnswerLate,
            _ => ResultCode::OutcomeUnknown,
        };
        Self {
            code,
            message: format!("one send may have run, the last ended with {}", self.code),
            after: self.after,
        }
    }

    /// Tells whether new routes may change the result.
    pub(crate) fn is_rerouted(&self) -> bool {
        matches!(
            self.code,
            ResultCode::OwnerMoving
                | ResultCode::NoServer
                | ResultCode::NotReady
                | ResultCode::Leaving
                | ResultCode::FenceOld
        )
    }

    /// Builds the answer.
    pub(crate) fn answer(&self) -> Response<Body> {
        let mut answer = error_answer(self.code, &self.message);
        if let Some(after) = self.after {
            let seconds = after.0.div_ceil(1_000).max(1);
            let headers = answer.headers_mut();
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
            headers.insert(RETRY_AFTER_MS, HeaderValue::from(after.0));
        }
        answer
    }
}

impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Self {
        Self::new(code)
    }
}

impl From<chicoryrail_policy::Refusal> for Refusal {
    fn from(refusal: chicoryrail_policy::Refusal) -> Self {
        Self {
            code: refusal.code,
            message: String::new(),
            after: Some(refusal.retry),
        }
    }
}
