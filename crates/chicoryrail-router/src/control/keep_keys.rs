//! Keeps the keys of keyed services while this host leads.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::Duty;
use chicoryrail_ownership::keys::GrantEnd;
use chicoryrail_ownership::keys::Holder;
use chicoryrail_ownership::keys::Keeper;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::KeySpan;
use chicoryrail_ownership::keys::KeyTiming;
use chicoryrail_ownership::keys::Plan;
use chicoryrail_ownership::keys::ReleaseEnd;
use chicoryrail_platform::KeyError;
use chicoryrail_platform::KeyGrant;
use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::StoreError;
use chicoryrail_platform::Txn;

use crate::control::follow::call;
use crate::control::tenure::Tenure;
use crate::state::Router;
use crate::state::router::KEYS;

/// Time between two looks at what is due, while something changes and while nothing does.
const BUSY_LOOK: Millis = Millis(10);
const CALM_LOOK: Millis = Millis(50);

/// Time between two cuts of the key line for balance. The load that a cut follows is that of the last few
/// seconds, and each cut holds the moved keys' requests for as long as work on them is running.
const BALANCE_EVERY: Millis = Millis(2_500);

/// Time for which a server must have been known before it gets keys. Servers come in groups, at the start
/// and with each release, and every change of the record is told to every host.
const SETTLED: Millis = Millis(400);

/// Time after an outage in which grants for its time may still be held: such a grant and a renewal in flight.
const OUTAGE_MEMORY: Millis = Millis(12_500);

/// Pause after a call to the store that failed.
const AGAIN: Millis = Millis(150);

struct Post {
    router: Rc<Router>,
    tenure: Rc<Tenure>,
    term: u64,
    leader_key: String,
    service: ServiceName,
    keeper: RefCell<Keeper>,
    revision: std::cell::Cell<u64>,
    balanced: std::cell::Cell<Millis>,
    committing: std::cell::Cell<bool>,
}

/// Keeps the keys of each keyed service, until the term ends.
pub(crate) async fn keep(router: Rc<Router>, tenure: Rc<Tenure>, term: u64, leader_key: String) {
    let mut posts: BTreeMap<ServiceName, ()> = BTreeMap::new();
    while tenure.term.get() == term {
        let keyed: Vec<_> = router.site().map_or_else(Vec::new, |site| {
            let keyed = site.services.iter().filter(|s| s.keyed);
            keyed.map(|s| s.name.clone()).collect()
        });
        for service in keyed {
            if posts.contains_key(&service) {
                continue;
            }
            match take_over(&router, &tenure, term, &leader_key, &service).await {
                Ok(post) => {
                    posts.insert(service, ());
                    monoio::spawn(Rc::new(post).run());
                }
                Err(e) => log::warn!(service:% = service, error:% = e; "keys_not_read"),
            }
        }
        router.process.clock.sleep(CALM_LOOK).await;
    }
}

fn record_key(service: &ServiceName) -> String {
    format!("{OWN_PREFIX}{KEYS}{service}")
}

async fn take_over(
    router: &Rc<Router>,
    tenure: &Rc<Tenure>,
    term: u64,
    leader_key: &str,
    service: &ServiceName,
) -> Result<Post, StoreError> {
    let item = call(
        router,
        "read_record",
        router.store.item(&record_key(service)),
    )
    .await?;
    let revision = item.as_ref().map_or(0, |i| i.revision);
    let record = match &item {
        None => KeyRecord::default(),
        Some(item) => serde_json::from_slice(&item.value).map_err(|e| StoreError::Refused {
            message: format!("{}: {e}", item.key),
        })?,
    };
    log::info!(service:% = service, term = term, fence = record.fence,
        spans = record.spans.len(), loose = record.loose.len(); "keys_taken_over");
    let now = router.now();
    let away = router.store_was_away(now, OUTAGE_MEMORY);
    let timing = KeyTiming::default();
    let keeper = Keeper::take_over(record, timing, now, rand::random(), away);
    Ok(Post {
        router: Rc::clone(router),
        tenure: Rc::clone(tenure),
        term,
        leader_key: leader_key.to_owned(),
        service: service.clone(),
        keeper: RefCell::new(keeper),
        revision: std::cell::Cell::new(revision),
        balanced: std::cell::Cell::new(now),
        committing: std::cell::Cell::new(false),
    })
}

impl Post {
    async fn run(self: Rc<Self>) {
        let mut told = None;
        while self.tenure.term.get() == self.term {
            let away = self.router.all_lost_store(self.router.now());
            self.keeper.borrow_mut().store_away(away);
            self.see_servers();
            self.plan();
            // Looked at right before the orders go out: a process that slept must not act on what it
            // believed before.
            if self.tenure.may_act(&self.router) {
                self.act();
            }
            let changing = self.keeper.borrow().is_changing();
            self.tell(&mut told);
            if self.keeper.borrow().is_deposed() {
                log::warn!(service:% = self.service, term = self.term; "fence_refused");
                self.tenure.term.set(0);
                return;
            }
            let pause = if changing { BUSY_LOOK } else { CALM_LOOK };
            self.router.process.clock.sleep(pause).await;
        }
    }

    /// Tells the other hosts, and this one, who holds what, where that changed.
    fn tell(&self, told: &mut Option<(u64, Vec<KeySpan>)>) {
        let keeper = self.keeper.borrow();
        let word = (keeper.record().fence, keeper.blocked());
        if told.as_ref() == Some(&word) {
            return;
        }
        *told = Some(word.clone());
        let (fence, blocked) = word;
        log::info!(service:% = self.service, fence = fence, blocked = blocked.len(),
            keys:? = blocked.iter().map(|s| s.len()).sum::<u32>(); "keys_blocked");
        let service = self.router.service(&self.service);
        self.router.key_record(&service, keeper.record().clone());
        service.keys.borrow_mut().blocked(fence, blocked.clone());
        service.changed.notify();
        let mut words = self.tenure.words.borrow_mut();
        words.insert(self.service.clone(), (keeper.record().clone(), blocked));
        drop(words);
        self.tenure.news.notify();
    }

    fn see_servers(&self) {
        let now = self.router.now();
        let mut keeper = self.keeper.borrow_mut();
        let view = self.router.view.borrow();
        let named: Vec<Life> = keeper.named();
        for entry in view.servers().filter(|e| e.member.service == self.service) {
            let life = &entry.member.life;
            keeper.server_at(now, life, entry.member.addr);
            for old in named.iter().filter(|old| life.succeeds(old)) {
                keeper.ended(old);
            }
        }
    }

    fn plan(&self) {
        let now = self.router.now();
        if self.keeper.borrow().is_writing() {
            return;
        }
        let holders = self.holders(now);
        let calm = !self.keeper.borrow().is_changing();
        let may_balance = calm && now.since(self.balanced.get()) >= BALANCE_EVERY;
        let plan = self.tenure.with_load(now, &self.service, |load| {
            Plan::of(self.keeper.borrow().record(), &holders, load, may_balance)
        });
        if let Plan::Change(spans) = plan {
            self.balanced.set(now);
            log::info!(service:% = self.service, servers = holders.len(),
                spans = spans.len(), fence = self.keeper.borrow().record().fence; "keys_planned");
            self.keeper.borrow_mut().change(spans, rand::random());
        }
    }

    /// Returns the servers that may hold keys: those that take work, are warm and answer; cold ones
    /// where there is no other.
    fn holders(&self, now: Millis) -> Vec<Holder> {
        let service = self.router.service(&self.service);
        let targets = service.targets.borrow();
        let keeper = self.keeper.borrow();
        let open = |cold: bool| -> Vec<Holder> {
            let open = targets.values().filter(|t| t.is_ready());
            let open = open.filter(|t| !keeper.is_lost(now, &t.life));
            let holds = |life: &Life| keeper.record().span_of(life).is_some();
            let open = open.filter(|t| holds(&t.life) || now.since(t.known) >= SETTLED);
            let warm = open.filter(|t| cold || !t.is_cold(now) || holds(&t.life));
            let mut holders: Vec<_> = warm
                .map(|t| Holder {
                    life: t.life.clone(),
                    weight: self.weight(t),
                })
                .collect();
            holders.sort_by(|a, b| a.life.cmp(&b.life));
            holders
        };
        let warm = open(false);
        if warm.is_empty() { open(true) } else { warm }
    }

    /// Returns the work that a server can do, by what the desk saw of it. A slow server with as many
    /// requests as the others has the longest queue of all.
    fn weight(&self, target: &crate::state::Target) -> f64 {
        let desks = self.router.hall.desks.borrow();
        let speed = desks.get(&self.service).map_or(1.0, |d| d.speed(target.id));
        f64::from(target.slots.get()) / speed.clamp(0.5, 2.0)
    }

    fn act(self: &Rc<Self>) {
        let now = self.router.now();
        let duties = self.keeper.borrow_mut().due(now);
        for duty in duties {
            match duty {
                Duty::Commit(record) => {
                    if !self.committing.replace(true) {
                        monoio::spawn(Rc::clone(self).commit(record));
                    }
                }
                Duty::Grant {
                    life,
                    addr,
                    span,
                    fence,
                    handover,
                } => {
                    self.keeper.borrow_mut().granting(now, &life);
                    let hold = self.keeper.borrow().hold();
                    let grant = key_grant(span, fence, hold, handover);
                    monoio::spawn(Rc::clone(self).grant(life, addr, grant));
                }
                Duty::Release {
                    life,
                    addr,
                    span,
                    fence,
                } => {
                    self.keeper.borrow_mut().releasing(&life);
                    let grant = key_grant(span, fence, Millis::ZERO, None);
                    monoio::spawn(Rc::clone(self).release(life, addr, grant));
                }
            }
        }
    }

    async fn commit(self: Rc<Self>, record: KeyRecord) {
        let key = record_key(&self.service);
        let done = self.write(&key, &record).await;
        let now = self.router.now();
        match done {
            Ok(revision) => {
                self.revision.set(revision);
                self.keeper.borrow_mut().committed(now);
                log::info!(service:% = self.service, fence = record.fence, revision = revision,
                    loose = record.loose.len(); "keys_written");
            }
            Err(e) if e.is_outage() => {
                log::info!(service:% = self.service, error:% = e; "keys_write_unsettled");
                self.router.process.clock.sleep(AGAIN).await;
            }
            Err(e) => {
                log::warn!(service:% = self.service, error:% = e; "keys_not_written");
                self.end_term();
            }
        }
        self.committing.set(false);
    }

    fn end_term(&self) {
        if self.tenure.term.get() == self.term {
            self.tenure.term.set(0);
        }
    }

    /// Writes the record, while this host is the leader and nobody else changed it. A write whose answer
    /// was lost is found by its attempt.
    async fn write(&self, key: &str, record: &KeyRecord) -> Result<u64, StoreError> {
        let value = serde_json::to_vec(record).map_err(|e| StoreError::Refused {
            message: e.to_string(),
        })?;
        let txn = Txn::default()
            .expect(&self.leader_key, self.term)
            .expect(key, self.revision.get())
            .put(key, &value);
        let store = &self.router.store;
        let error = match call(&self.router, "write_record", store.commit(&txn)).await {
            Ok(revision) => return Ok(revision),
            Err(e) => e,
        };
        if !matches!(error, StoreError::Conflict { .. } | StoreError::Down { .. }) {
            return Err(error);
        }
        let item = call(&self.router, "read_record", store.item(key)).await?;
        let found = item.filter(|i| i.revision != self.revision.get());
        let ours = found.filter(|i| {
            let found = serde_json::from_slice::<KeyRecord>(&i.value);
            found.is_ok_and(|r| r.attempt == record.attempt)
        });
        ours.map(|i| i.revision).ok_or(error)
    }

    async fn grant(self: Rc<Self>, life: Life, addr: std::net::SocketAddr, grant: KeyGrant) {
        let limit = KeyTiming::default().grant_limit;
        let control = &self.router.control;
        let started = Instant::now();
        let result = control.grant(addr, &life.name, &grant, limit).await;
        let (end, name) = match &result {
            Ok(()) => (GrantEnd::Held, "held"),
            Err(KeyError::FenceOld) => (GrantEnd::FenceOld, "fence_old"),
            Err(KeyError::OtherServer) => (GrantEnd::OtherServer, "other_server"),
            Err(KeyError::Silent { .. } | KeyError::Refused { .. }) => (GrantEnd::Silent, "silent"),
        };
        self.count("grant", name, started);
        if let Err(e) = &result {
            log::info!(server:% = life, service:% = self.service, fence = grant.fence,
                error:% = e; "grant_{name}");
        }
        let now = self.router.now();
        let span = KeySpan {
            first: grant.first,
            last: grant.last,
        };
        let mut keeper = self.keeper.borrow_mut();
        keeper.granted(now, &life, span, grant.fence, end);
    }

    async fn release(self: Rc<Self>, life: Life, addr: std::net::SocketAddr, grant: KeyGrant) {
        let limit = KeyTiming::default().release_limit;
        let control = &self.router.control;
        let started = Instant::now();
        let result = control.release(addr, &life.name, &grant, limit).await;
        let (end, name) = match &result {
            Ok(token) => (ReleaseEnd::Free(token.clone()), "free"),
            Err(KeyError::OtherServer) => (ReleaseEnd::OtherServer, "other_server"),
            Err(_) => (ReleaseEnd::Silent, "silent"),
        };
        self.count("release", name, started);
        log::info!(server:% = life, service:% = self.service, fence = grant.fence,
            first = grant.first, last = grant.last; "release_{name}");
        let now = self.router.now();
        let span = KeySpan {
            first: grant.first,
            last: grant.last,
        };
        self.keeper.borrow_mut().released(now, &life, span, end);
    }

    fn count(&self, call: &str, result: &str, started: Instant) {
        let counters = &self.router.counters;
        counters.key_calls.with_label_values(&[call, result]).inc();
        let seconds = started.elapsed().as_secs_f64();
        counters
            .key_took
            .with_label_values(&[call])
            .observe(seconds);
    }
}

fn key_grant(span: KeySpan, fence: u64, hold: Millis, handover: Option<String>) -> KeyGrant {
    KeyGrant {
        first: span.first,
        last: span.last,
        fence,
        hold,
        handover,
    }
}
