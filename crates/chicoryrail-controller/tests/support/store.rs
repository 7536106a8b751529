//! The key-value service.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::CasBody;
use chicoryrail_platform::Record;
use chicoryrail_platform::WatchAnswer;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::json_answer;
use monoio::time::sleep;

/// A store that can go down and lose the answers of writes that took effect.
#[derive(Default)]
pub struct FakeStore {
    records: RefCell<BTreeMap<String, (String, u64)>>,
    revision: Cell<u64>,
    /// While set, no call is answered with success.
    pub down: Cell<bool>,
    /// Number of writes whose answer is lost after they took effect.
    pub lose: Cell<u32>,
    /// Calls so far.
    pub calls: Cell<u64>,
    /// Writes that took effect, with key and value.
    pub writes: RefCell<Vec<(String, String)>>,
}

impl FakeStore {
    pub fn start(stop: &CancellationToken) -> (Rc<Self>, SocketAddr) {
        let store = Rc::new(Self::default());
        let own = Rc::clone(&store);
        let addr = super::listen(stop, move |method, uri, body| {
            let own = Rc::clone(&own);
            async move { own.answer(&method, &uri, &body).await }
        });
        (store, addr)
    }

    pub fn put(&self, key: &str, value: &str) {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        self.records
            .borrow_mut()
            .insert(key.to_owned(), (value.to_owned(), revision));
    }

    pub fn value(&self, key: &str) -> Option<String> {
        self.records.borrow().get(key).map(|r| r.0.clone())
    }

    async fn answer(&self, method: &str, uri: &str, body: &Bytes) -> http::Response<Body> {
        self.calls.set(self.calls.get() + 1);
        let answer = self.act(method, uri, body).await;
        if self.down.get() {
            return error_answer(ResultCode::StoreDown, "");
        }
        answer
    }

    async fn act(&self, method: &str, uri: &str, body: &Bytes) -> http::Response<Body> {
        if self.down.get() {
            return error_answer(ResultCode::StoreDown, "");
        }
        let (path, query) = uri.split_once('?').unwrap_or((uri, ""));
        match (method, path.strip_prefix("/v1/kv/")) {
            ("GET", Some(key)) => match self.records.borrow().get(key) {
                Some((value, version)) => json_answer(200, &record(key, value, *version)),
                None => error_answer(ResultCode::NameUnknown, ""),
            },
            ("PUT", Some(key)) => self.swap(key, &serde_json::from_slice(body).unwrap()),
            _ => self.read(path, query).await,
        }
    }

    fn swap(&self, key: &str, body: &CasBody) -> http::Response<Body> {
        let found = self.records.borrow().get(key).map_or(0, |r| r.1);
        if found != body.expect {
            return json_answer(409, &serde_json::json!({ "version": found }));
        }
        self.put(key, &body.value);
        self.writes
            .borrow_mut()
            .push((key.to_owned(), body.value.clone()));
        if self.lose.get() > 0 {
            self.lose.set(self.lose.get() - 1);
            return error_answer(ResultCode::StoreDown, "");
        }
        json_answer(200, &serde_json::json!({ "version": self.revision.get() }))
    }

    async fn read(&self, path: &str, query: &str) -> http::Response<Body> {
        let get = |name: &str| {
            let pair = query.split('&').find_map(|p| p.strip_prefix(name));
            pair.unwrap_or("").to_owned()
        };
        let prefix = get("prefix=");
        let after: u64 = get("after=").parse().unwrap_or(0);
        let wait = Millis(get("wait_ms=").parse().unwrap_or(0));
        let mut left = if path == "/v1/watch" { wait.0 / 5 } else { 0 };
        loop {
            let records = self.matching(&prefix, after);
            if left == 0 || !records.is_empty() || self.down.get() {
                let revision = self.revision.get();
                return json_answer(200, &WatchAnswer { revision, records });
            }
            left -= 1;
            sleep(Millis(5).duration()).await;
        }
    }
}

impl FakeStore {
    fn matching(&self, prefix: &str, after: u64) -> Vec<Record> {
        let all = self.records.borrow();
        all.iter()
            .filter(|(k, r)| k.starts_with(prefix) && r.1 > after)
            .map(|(k, r)| record(k, &r.0, r.1))
            .collect()
    }
}

fn record(key: &str, value: &str, version: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: Some(value.to_owned()),
        version,
    }
}
