//! Control calls of tests: faults, compaction, statistics and the history of writes.

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::error_response;
use chicoryrail_runtime::json_response;
use http::Method;
use http::Response;
use http::Uri;

use crate::StoreFault;
use crate::StoreServer;
use crate::query_param;

impl StoreServer {
    /// Executes a call to `/testkit/...`, to which neither faults nor rate limits apply.
    pub(super) fn control(&self, method: &Method, uri: &Uri, body: &Bytes) -> Response<Body> {
        let mut state = self.state.borrow_mut();
        match (method.clone(), uri.path()) {
            (Method::GET, "/testkit/stats") => json_response(200, &state.stats),
            (Method::GET, "/testkit/history") => {
                let prefix: String = query_param(uri, "prefix").unwrap_or_default();
                json_response(200, &state.kv.history(&prefix))
            }
            (Method::PUT, "/testkit/fault") => match serde_json::from_slice::<StoreFault>(body) {
                Ok(fault) => {
                    state.faults.add(self.clock.now(), fault);
                    json_response(200, &())
                }
                Err(e) => error_response(400, &format!("fault: {e}")),
            },
            (Method::DELETE, "/testkit/fault") => {
                state.faults.clear();
                json_response(200, &())
            }
            (Method::PUT, "/testkit/compact") => {
                state.kv.compact();
                state.wake_watches();
                json_response(200, &())
            }
            (Method::PUT, "/testkit/deafen") => {
                let for_ms = query_param(uri, "for_ms").unwrap_or(0);
                state.stalled_until = self.clock.now() + Millis(for_ms);
                state.wake_watches();
                json_response(200, &())
            }
            _ => error_response(400, "the store has no such test call"),
        }
    }
}
