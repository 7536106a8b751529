//! A small stand-in of the platform's store, with the standard library only. The cases use it where the project's own
//! stand-in can't be built. It keeps no history: a watch from an older revision gets the keys that changed since, each once.

#[path = "mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use common::*;

/// An item, or the mark of a removed one (`value` is `None`).
struct Item {
    value: Option<String>,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Store {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (u64, Instant)>,
    next_lease: u64,
}

type Shared = Arc<(Mutex<Store>, Condvar)>;

fn main() {
    let addr = std::env::args().skip_while(|a| a != "--listen").nth(1).expect("--listen ADDR");
    let listener = TcpListener::bind(addr).expect("the address is free");
    let shared: Shared = Arc::new((Mutex::new(Store { revision: 1, next_lease: 1_000, ..Store::default() }), Condvar::new()));
    let for_calls = Arc::clone(&shared);
    serve(listener, move |http| serve_connection(http, &for_calls));
    loop {
        sleep_ms(20);
        let (store, changed) = &*shared;
        let mut store = store.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = store.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            store.end_lease(lease);
            changed.notify_all();
        }
    }
}

impl Store {
    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> = self.items.iter().filter(|(_, i)| i.lease == lease && i.value.is_some()).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        true
    }

    fn remove(&mut self, key: &str) {
        let rev = self.revision;
        if let Some(item) = self.items.get_mut(key).filter(|i| i.value.is_some()) {
            *item = Item { value: None, rev, created: 0, lease: 0 };
        }
    }

    fn item_json(key: &str, item: &Item, extra: &str) -> String {
        match &item.value {
            Some(value) => format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{},\"create_revision\":{},\"lease\":{}{extra}}}", item.rev, item.created, item.lease),
            None => format!("{{\"key\":\"{key}\",\"rev\":{},\"tombstone\":true}}", item.rev),
        }
    }
}

fn serve_connection(mut http: Http, shared: &Shared) -> io::Result<()> {
    while let Some(head) = http.read_head()? {
        let body = http.read_body(&head)?;
        let (status, answer) = answer(shared, &head, &String::from_utf8_lossy(&body));
        http.respond(status, &[("Content-Type", "application/json")], answer.as_bytes())?;
    }
    Ok(())
}

fn answer(shared: &Shared, head: &Head, body: &str) -> (&'static str, String) {
    let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
    let param = |name: &str| {
        let found = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
        found.map(|(_, v)| percent_decode(v)).unwrap_or_default()
    };
    let lease_in_path = || path.rsplit('/').next().and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    let (store, changed) = &**shared;
    let mut store = store.lock().unwrap();
    match path {
        "/-/kv-key" => {
            let key = param("key");
            match store.items.get(&key).filter(|i| i.value.is_some()) {
                Some(item) => ("200 OK", Store::item_json(&key, item, &format!(",\"store_revision\":{}", store.revision))),
                None => ("404 Not Found", "{}".to_owned()),
            }
        }
        "/-/kv-range" => {
            let (prefix, after) = (param("prefix"), param("after"));
            let found = store.items.iter().filter(|(k, i)| k.starts_with(&prefix) && **k > after && i.value.is_some());
            let mut found: Vec<String> = found.take(501).map(|(k, i)| Store::item_json(k, i, "")).collect();
            let more = found.len() > 500;
            found.truncate(500);
            ("200 OK", format!("{{\"items\":[{}],\"has_more\":{more},\"store_revision\":{}}}", found.join(","), store.revision))
        }
        "/-/kv-watch" => {
            let (prefix, after) = (param("prefix"), param("after").parse::<u64>().unwrap_or(0));
            let end = Instant::now() + Duration::from_millis(param("wait_ms").parse().unwrap_or(0));
            loop {
                let mut events: Vec<(&String, &Item)> = store.items.iter().filter(|(k, i)| k.starts_with(&prefix) && i.rev > after).collect();
                events.sort_by_key(|(_, i)| i.rev);
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let events: Vec<String> = events.iter().map(|(k, i)| Store::item_json(k, i, "")).collect();
                    return ("200 OK", format!("{{\"events\":[{}],\"store_revision\":{}}}", events.join(","), store.revision));
                }
                store = changed.wait_timeout(store, left).unwrap().0;
            }
        }
        "/-/kv-txn" => {
            let Some(txn) = Json::parse(body) else {
                return ("400 Bad Request", "{}".to_owned());
            };
            let rows = |name: &str| txn.get(name).map(|v| v.list().to_vec()).unwrap_or_default();
            let conditions = rows("precondition");
            let rev_of = |store: &Store, key: &str| store.items.get(key).filter(|i| i.value.is_some()).map_or(0, |i| i.rev);
            if conditions.iter().any(|c| rev_of(&store, &c.text("key")) != c.number("rev")) {
                let items = conditions.iter().filter_map(|c| {
                    let key = c.text("key");
                    store.items.get(&key).filter(|i| i.value.is_some()).map(|i| Store::item_json(&key, i, ""))
                });
                let items: Vec<String> = items.collect();
                return ("412 Precondition Failed", format!("{{\"items\":[{}]}}", items.join(",")));
            }
            let puts = rows("puts");
            if puts.iter().any(|p| p.number("lease") != 0 && !store.leases.contains_key(&p.number("lease"))) {
                return ("404 Not Found", "{}".to_owned());
            }
            store.revision += 1;
            let rev = store.revision;
            for put in &puts {
                let key = put.text("key");
                let created = store.items.get(&key).filter(|i| i.value.is_some()).map_or(rev, |i| i.created);
                let item = Item { value: Some(put.text("value")), rev, created, lease: put.number("lease") };
                store.items.insert(key, item);
            }
            for key in rows("remove") {
                if let Json::Text(key) = key {
                    store.remove(&key);
                }
            }
            changed.notify_all();
            ("200 OK", format!("{{\"rev\":{rev}}}"))
        }
        "/-/kv-lease" => {
            let ttl = json_number(body, "ttl_ms").unwrap_or(1_000).max(1_000);
            store.next_lease += 1;
            let lease = store.next_lease;
            store.leases.insert(lease, (ttl, Instant::now() + Duration::from_millis(ttl)));
            ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
        }
        _ if path.starts_with("/-/kv-keep/") => match store.leases.get_mut(&lease_in_path()) {
            Some((ttl, end)) => {
                *end = Instant::now() + Duration::from_millis(*ttl);
                ("200 OK", format!("{{\"ttl_ms\":{ttl}}}"))
            }
            None => ("404 Not Found", "{}".to_owned()),
        },
        _ if path.starts_with("/-/kv-lease-end/") => {
            let ended = store.end_lease(lease_in_path());
            changed.notify_all();
            if ended { ("200 OK", "{}".to_owned()) } else { ("404 Not Found", "{}".to_owned()) }
        }
        _ => ("400 Bad Request", "{}".to_owned()),
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// As much of JSON as the calls use.
#[derive(Clone)]
enum Json {
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
    Other,
}

impl Json {
    fn parse(text: &str) -> Option<Self> {
        Self::value(text.as_bytes(), &mut 0)
    }

    fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Table(table) => table.get(name),
            _ => None,
        }
    }

    fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number,
            _ => 0,
        }
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        Self::skip(bytes, at);
        match bytes.get(*at)? {
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => break,
                        b'\\' => {
                            *at += 1;
                            text.push(*bytes.get(*at)?);
                        }
                        byte => text.push(byte),
                    }
                    *at += 1;
                }
                *at += 1;
                Some(Self::Text(String::from_utf8_lossy(&text).into_owned()))
            }
            b'[' => {
                let mut list = Vec::new();
                *at += 1;
                loop {
                    Self::skip(bytes, at);
                    match bytes.get(*at)? {
                        b']' => break,
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
                *at += 1;
                Some(Self::List(list))
            }
            b'{' => {
                let mut table = BTreeMap::new();
                *at += 1;
                loop {
                    Self::skip(bytes, at);
                    match bytes.get(*at)? {
                        b'}' => break,
                        b',' => *at += 1,
                        _ => {
                            let Some(Self::Text(name)) = Self::value(bytes, at) else {
                                return None;
                            };
                            Self::skip(bytes, at);
                            *at += 1;
                            table.insert(name, Self::value(bytes, at)?);
                        }
                    }
                }
                *at += 1;
                Some(Self::Table(table))
            }
            _ => {
                let begun = *at;
                while bytes.get(*at).is_some_and(|b| !b",]}".contains(b) && !b.is_ascii_whitespace()) {
                    *at += 1;
                }
                let word = std::str::from_utf8(&bytes[begun..*at]).ok()?;
                Some(word.parse().map_or(Self::Other, Self::Number))
            }
        }
    }
}
