//! The key-value service.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_core::percent_decode;
use chicoryrail_platform::kv::WireChanges;
use chicoryrail_platform::kv::WirePut;
use chicoryrail_platform::kv::WireRefusal;
use chicoryrail_platform::kv::WireTxn;
use chicoryrail_platform::kv::WireWritten;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::json_answer;
use chicoryrail_testkit::Kv;
use chicoryrail_testkit::TxnError;
use monoio::time::sleep;

/// A store that can go down and lose the answers of writes that took effect.
#[derive(Default)]
pub struct FakeStore {
    kv: RefCell<Kv>,
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
        let put = WirePut {
            key: key.to_owned(),
            value: STANDARD.encode(value),
            lease: 0,
        };
        let txn = WireTxn {
            precondition: Vec::new(),
            puts: vec![put],
            remove: Vec::new(),
        };
        self.kv.borrow_mut().commit(&txn).unwrap();
    }

    pub fn value(&self, key: &str) -> Option<String> {
        self.kv.borrow().get(key).map(|i| text(&i.value.unwrap()))
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
        let get = |name: &str| {
            let pair = query.split('&').find_map(|p| p.strip_prefix(name));
            let bytes = percent_decode(pair.unwrap_or("")).unwrap();
            String::from_utf8(bytes).unwrap()
        };
        match (method, path) {
            ("GET", "/-/kv-key") => match self.kv.borrow().get(&get("key=")) {
                Some(item) => json_answer(200, &item),
                None => json_answer(404, &"no such key"),
            },
            ("GET", "/-/kv-range") => {
                json_answer(200, &self.kv.borrow().page(&get("prefix="), &get("after=")))
            }
            ("POST", "/-/kv-txn") => self.commit(&serde_json::from_slice(body).unwrap()),
            _ => {
                let after = get("after=").parse().unwrap_or(0);
                let wait = Millis(get("wait_ms=").parse().unwrap_or(0));
                self.watch(&get("prefix="), after, wait).await
            }
        }
    }

    fn commit(&self, txn: &WireTxn) -> http::Response<Body> {
        let rev = match self.kv.borrow_mut().commit(txn) {
            Ok(rev) => rev,
            Err(TxnError::Conflict(items)) => return json_answer(412, &WireRefusal { items }),
            Err(e) => panic!("{e:?}"),
        };
        for put in &txn.puts {
            let write = (put.key.clone(), text(&put.value));
            self.writes.borrow_mut().push(write);
        }
        if self.lose.get() > 0 {
            self.lose.set(self.lose.get() - 1);
            return json_answer(502, &"lost");
        }
        json_answer(200, &WireWritten { rev })
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Millis) -> http::Response<Body> {
        let mut left = wait.0 / 5;
        loop {
            let events = self.kv.borrow().changed(prefix, after).unwrap();
            if left == 0 || !events.is_empty() || self.down.get() {
                let store_revision = self.kv.borrow().revision();
                let answer = WireChanges {
                    events,
                    store_revision,
                };
                return json_answer(200, &answer);
            }
            left -= 1;
            sleep(Millis(5).duration()).await;
        }
    }
}

fn text(base64: &str) -> String {
    String::from_utf8(STANDARD.decode(base64).unwrap()).unwrap()
}
