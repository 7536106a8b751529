//! Control calls of tests: faults, compaction, statistics and the history of writes.

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::json_answer;
use http::Method;
use http::Response;
use http::Uri;

use crate::StoreFault;
use crate::StoreServer;
use crate::query;

impl StoreServer {
    /// Executes a call to `/testkit/...`, to which neither faults nor rate limits apply.
    pub(super) fn control(&self, method: &Method, uri: &Uri, body: &Bytes) -> Response<Body> {
        let mut state = self.state.borrow_mut();
        match (method.clone(), uri.path()) {
            (Method::GET, "/testkit/stats") => json_answer(200, &state.stats),
            (Method::GET, "/testkit/history") => {
                let prefix: String = query(uri, "prefix").unwrap_or_default();
                json_answer(200, &state.kv.history(&prefix))
            }
            (Method::PUT, "/testkit/fault") => match serde_json::from_slice::<StoreFault>(body) {
                Ok(fault) => {
                    state.faults.add(self.clock.now(), fault);
                    json_answer(200, &())
                }
                Err(e) => error_answer(400, &format!("fault: {e}")),
            },
            (Method::DELETE, "/testkit/fault") => {
                state.faults.clear();
                json_answer(200, &())
            }
            (Method::PUT, "/testkit/compact") => {
                state.kv.compact();
                state.wake_watches();
                json_answer(200, &())
            }
            (Method::PUT, "/testkit/deafen") => {
                let for_ms = query(uri, "for_ms").unwrap_or(0);
                state.stalled_until = self.clock.now() + Millis(for_ms);
                state.wake_watches();
                json_answer(200, &())
            }
            _ => error_answer(400, "the store has no such test call"),
        }
    }
}
