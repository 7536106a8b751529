//! An administration API over a store in memory, whose calls can be lost.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file takes it in whole and uses a part of it"
)]

pub mod hosts;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use chicoryrail_admin::Access;
use chicoryrail_admin::Admin;
use chicoryrail_admin::Operator;
use chicoryrail_admin::Token;
use chicoryrail_admin::handle;
use chicoryrail_core::Digest;
use chicoryrail_core::Head;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_platform::Record;
use chicoryrail_platform::Store;
use chicoryrail_platform::StoreError;
use chicoryrail_runtime::Process;
use chicoryrail_runtime::collect;
use ed25519_dalek::Signer as _;
use ed25519_dalek::SigningKey;
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;

/// What happens to the next writes of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The write never reaches the store.
    CallLost,
    /// The answer is lost and the write takes effect only after the next read of the key.
    Late,
}

#[derive(Debug, Default)]
struct State {
    records: BTreeMap<String, (String, u64)>,
    revision: u64,
    faults: Vec<(String, Fault)>,
    late: Vec<(String, u64, String)>,
    rivals: Vec<Head>,
    down: bool,
    /// Down for keys with one of these prefixes only.
    refuse: Vec<String>,
}

/// A store in memory; clones share it.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore(Rc<RefCell<State>>);

impl MemoryStore {
    /// Lets the next write of `key` meet a fault; several queue up.
    pub fn fault(&self, key: &str, fault: Fault) {
        self.0.borrow_mut().faults.push((key.to_owned(), fault));
    }

    /// Lets no call be answered from now on.
    pub fn down(&self, down: bool) {
        self.0.borrow_mut().down = down;
    }

    /// Lets no write of keys with this prefix be answered.
    pub fn refuse(&self, prefix: &str) {
        self.0.borrow_mut().refuse.push(prefix.to_owned());
    }

    /// Writes these heads one after another as soon as the next fault has struck.
    pub fn rivals(&self, heads: Vec<Head>) {
        self.0.borrow_mut().rivals = heads;
    }

    /// Returns all records but the audit trail.
    pub fn content(&self) -> BTreeMap<String, String> {
        let state = self.0.borrow();
        let records = state.records.iter();
        records
            .filter(|(key, _)| !key.starts_with("audit/"))
            .map(|(key, (value, _))| (key.clone(), value.clone()))
            .collect()
    }

    /// Returns the audit trail, oldest first.
    pub fn audit(&self) -> Vec<Value> {
        let state = self.0.borrow();
        let records = state.records.iter();
        records
            .filter(|(key, _)| key.starts_with("audit/"))
            .map(|(_, (value, _))| serde_json::from_str(value).unwrap())
            .collect()
    }

    /// Returns the head.
    pub fn head(&self) -> Head {
        let content = self.content();
        let text = content.get("config/head");
        text.map_or_else(Head::default, |t| serde_json::from_str(t).unwrap())
    }
}

impl State {
    fn apply(&mut self, key: &str, expect: u64, value: &str) -> Result<u64, StoreError> {
        let found = self.records.get(key).map_or(0, |r| r.1);
        if found != expect {
            return Err(StoreError::Conflict {
                key: key.to_owned(),
                found,
            });
        }
        self.revision += 1;
        self.records
            .insert(key.to_owned(), (value.to_owned(), self.revision));
        Ok(self.revision)
    }

    fn strike(&mut self, key: &str, expect: u64, value: &str) -> Option<StoreError> {
        if self.down || self.refuse.iter().any(|p| key.starts_with(p.as_str())) {
            return Some(silent());
        }
        let i = self.faults.iter().position(|(k, _)| k == key)?;
        match self.faults.remove(i).1 {
            Fault::AnswerLost => {
                let _ = self.apply(key, expect, value);
            }
            Fault::CallLost => {}
            Fault::Late => self.late.push((key.to_owned(), expect, value.to_owned())),
        }
        for head in std::mem::take(&mut self.rivals) {
            let now = self.records.get("config/head").map_or(0, |r| r.1);
            let text = serde_json::to_string(&head).unwrap();
            self.apply("config/head", now, &text).unwrap();
        }
        Some(silent())
    }
}

impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        turn().await;
        let mut state = self.0.borrow_mut();
        if state.down {
            return Err(silent());
        }
        let found = state.records.get(key).map(|(value, version)| Record {
            key: key.to_owned(),
            value: Some(value.clone()),
            version: *version,
        });
        for (key, expect, value) in std::mem::take(&mut state.late) {
            let _ = state.apply(&key, expect, &value);
        }
        Ok(found)
    }

    async fn swap(&self, key: &str, expect: u64, value: &str) -> Result<u64, StoreError> {
        turn().await;
        let mut state = self.0.borrow_mut();
        if let Some(error) = state.strike(key, expect, value) {
            return Err(error);
        }
        state.apply(key, expect, value)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Record>, StoreError> {
        turn().await;
        let state = self.0.borrow();
        if state.down {
            return Err(silent());
        }
        let records = state.records.iter().filter(|(k, _)| k.starts_with(prefix));
        let records = records.map(|(key, (value, version))| Record {
            key: key.clone(),
            value: Some(value.clone()),
            version: *version,
        });
        Ok(records.collect())
    }

    async fn watch(
        &self,
        prefix: &str,
        _after: u64,
        _wait: Millis,
    ) -> Result<(u64, Vec<Record>), StoreError> {
        let records = self.list(prefix).await?;
        Ok((self.0.borrow().revision, records))
    }
}

fn silent() -> StoreError {
    StoreError::Down {
        message: "no answer".to_owned(),
    }
}

/// Lets other calls run, so that two that are joined take turns at each store call.
async fn turn() {
    let mut turned = false;
    std::future::poll_fn(|cx| {
        if turned {
            return std::task::Poll::Ready(());
        }
        turned = true;
        cx.waker().wake_by_ref();
        std::task::Poll::Pending
    })
    .await;
}

/// Operators of the tests, whose keys follow from their names.
pub const OPERATORS: [(&str, &str); 5] = [
    ("alice", "operate:updraft"),
    ("bob", "operate:updraft"),
    ("carol", "operate:tanduay"),
    ("olga", "operate:*"),
    ("vera", "view:updraft"),
];

pub fn key_of(name: &str) -> SigningKey {
    let mut seed = [0; 32];
    seed[..name.len()].copy_from_slice(name.as_bytes());
    SigningKey::from_bytes(&seed)
}

pub fn operators() -> Vec<Operator> {
    let operators = OPERATORS.iter().map(|(name, rights)| {
        let key = STANDARD.encode(key_of(name).verifying_key().as_bytes());
        format!("{name}={rights}:{key}").parse().unwrap()
    });
    operators.collect()
}

/// An API over a store.
pub struct Bench {
    pub store: MemoryStore,
    pub admin: Admin<MemoryStore>,
}

/// What a caller sees.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub code: u16,
    pub audit: Option<String>,
    pub body: Value,
}

impl Answer {
    /// Returns status and result code.
    pub fn result(&self) -> (u16, u16) {
        (self.status, self.code)
    }

    /// Returns the refusal's message.
    pub fn error(&self) -> &str {
        self.body["error"].as_str().unwrap_or_default()
    }
}

impl Bench {
    /// Starts an API over a new store, with the operators of the tests and no tokens.
    pub fn start() -> Self {
        Self::over(MemoryStore::default(), Vec::new())
    }

    /// Starts an API over a store.
    pub fn over(store: MemoryStore, tokens: Vec<Token>) -> Self {
        // Nothing listens on port 1: the host list does not answer.
        Self::among(store, tokens, SocketAddr::from(([127, 0, 0, 1], 1)))
    }

    /// Starts an API over a store and a host list.
    pub fn among(store: MemoryStore, tokens: Vec<Token>, list: SocketAddr) -> Self {
        let host = HostName::new("entry-1");
        let process = Process::new(&host, "chicoryrail-admin");
        let access = Access::new(operators(), tokens);
        let admin = Admin::new(process, store.clone(), access, host, list);
        Self { store, admin }
    }

    /// Calls the API with these headers.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Answer {
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        let answer = handle(&self.admin, request).await;
        let (head, body) = answer.into_parts();
        let body = collect(body, 8 << 20).await.unwrap();
        let text = |name: &str| Some(head.headers.get(name)?.to_str().unwrap().to_owned());
        Answer {
            status: head.status.as_u16(),
            code: text("chicoryrail-code").map_or(0, |c| c.parse().unwrap()),
            audit: text("chicoryrail-audit"),
            body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        }
    }

    pub async fn get(&self, path: &str) -> Answer {
        self.send("GET", path, &[], "").await
    }

    pub async fn post(&self, who: &str, path: &str, body: impl Into<Bytes>) -> Answer {
        self.send("POST", path, &[("operator", who)], body).await
    }

    pub async fn sign(&self, who: &str, key: &str, digest: &str) -> Answer {
        let signature = key_of(key).sign(digest.as_bytes());
        let body = json!({ "signature": STANDARD.encode(signature.to_bytes()) });
        let path = format!("/v1/bundles/{digest}/signatures");
        self.post(who, &path, body.to_string()).await
    }

    pub async fn roll(&self, who: &str, digest: &str) -> Answer {
        let body = json!({ "digest": digest }).to_string();
        self.post(who, "/v1/rolls", body).await
    }

    /// Puts a bundle as `author`, signs it as `signer` and returns its digest.
    pub async fn signed(&self, author: &str, signer: &str, text: &str) -> String {
        let put = self.post(author, "/v1/bundles", text.to_owned()).await;
        assert_eq!(put.result(), (200, 0), "{put:?}");
        let digest = put.body["digest"].as_str().unwrap().to_owned();
        assert_eq!(digest, Digest::of(text.as_bytes()).as_str());
        let sign = self.sign(signer, signer, &digest).await;
        assert_eq!(sign.result(), (200, 0), "{sign:?}");
        digest
    }

    /// Puts, signs and rolls a bundle.
    pub async fn rolled(&self, author: &str, signer: &str, text: &str) -> String {
        let digest = self.signed(author, signer, text).await;
        let roll = self.roll(author, &digest).await;
        assert_eq!(roll.result(), (202, 2007), "{roll:?}");
        digest
    }
}

/// A bundle of `team` with one service of `servers` servers, dealt over data centres a, b and c.
pub fn bundle(team: &str, service: &str, servers: u16, port: u16) -> String {
    let mut text = format!("team = \"{team}\"\n");
    for dc in ["a", "b", "c"] {
        text += &format!("[[data_centre]]\nname = \"{dc}\"\n");
    }
    text += &format!(
        "[[service]]\nname = \"{service}\"\npath = \"/v1/{service}/\"\nkind = \"keyed\"\n\
         class = \"interactive\"\n"
    );
    for i in 0..servers {
        let dc = ["a", "b", "c"][usize::from(i) % 3];
        text += &format!(
            "[[service.server]]\nname = \"{service}-{i}\"\ndata_centre = \"{dc}\"\n\
             addr = \"127.0.0.1:{}\"\n",
            port + i
        );
    }
    text
}
