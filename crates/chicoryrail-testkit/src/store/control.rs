//! Calls with which a test steers the store and looks into it.

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
    pub(super) fn testkit(&self, method: &Method, uri: &Uri, body: &Bytes) -> Response<Body> {
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
                state.wake();
                json_answer(200, &())
            }
            (Method::PUT, "/testkit/deafen") => {
                let for_ms = query(uri, "for_ms").unwrap_or(0);
                state.deaf_until = self.clock.now() + Millis(for_ms);
                state.wake();
                json_answer(200, &())
            }
            _ => error_answer(400, "the store has no such test call"),
        }
    }
}
