//! Taking shards over, and handing them on.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use chicoryrail_core::Epoch;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ShardId;
use chicoryrail_ownership::Holder;
use chicoryrail_ownership::Liveness;
use chicoryrail_ownership::OrderWindow;
use chicoryrail_ownership::ShardRecord;
use chicoryrail_platform::Record;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::EventKind;
use chicoryrail_wire::OrderAnswer;
use futures_util::future::join_all;

use crate::Controller;
use crate::copies;
use crate::held::Content;
use crate::held::Held;
use crate::promises;
use crate::signal::Signal;
use crate::store::Swap;
use crate::witnesses;

/// Time between two looks at what is unheld.
const LOOK_EVERY: Millis = Millis(100);
/// Head start of each controller over the next in a shard's rendezvous order, so that one store
/// record is not fought over by all.
const HEAD_START: Millis = Millis(300);
/// Longest time in which a stopping controller waits for the copies of its shards.
const COPY_WAIT: Millis = Millis(2_500);
/// Time between two looks at them.
const COPY_LOOK: Millis = Millis(10);
/// How long an order id is remembered.
pub(crate) const WINDOW: Millis = Millis(120_000);
/// Most order ids of a part that are remembered; 200,000 take some 50 MB at the very most.
pub(crate) const WINDOW_MOST: usize = 200_000;

/// Takes over every shard that is unheld and falls to this controller, until the process ends.
pub(crate) async fn claim_all(controller: Rc<Controller>) {
    let mut unheld: BTreeMap<ShardId, Millis> = BTreeMap::new();
    let busy: Rc<RefCell<BTreeSet<ShardId>>> = Rc::default();
    // Heartbeats first: who has heard nobody believes that every shard falls to it.
    controller.process.clock.sleep(HEAD_START).await;
    loop {
        controller.process.clock.sleep(LOOK_EVERY).await;
        let shards = wanted(&controller);
        drop_unwanted(&controller, &shards);
        let now = controller.now();
        let leaving = controller.leaving.get();
        for shard in shards {
            if leaving && !has_copy(&controller, &shard) {
                continue;
            }
            let ours = controller.held.borrow().contains_key(&shard);
            if ours || busy.borrow().contains(&shard) || is_held(&controller, &shard, now) {
                unheld.remove(&shard);
                continue;
            }
            let since = *unheld.entry(shard.clone()).or_insert(now);
            let Some(rank) = rank(&controller, &shard, now) else {
                continue;
            };
            if now.since(since) < HEAD_START.times(rank) {
                continue;
            }
            unheld.remove(&shard);
            busy.borrow_mut().insert(shard.clone());
            let (controller, busy) = (Rc::clone(&controller), Rc::clone(&busy));
            monoio::spawn(async move {
                claim(&controller, &shard).await;
                busy.borrow_mut().remove(&shard);
            });
        }
    }
}

/// Hands every held shard on: waits until a live deputy has all of it, stops acting, then says so
/// in the store.
///
/// Made for hosts that are restarted one after another: a shard that is given up while its deputy
/// restarts, or has not all claims yet, leaves order ids of the last minutes unknown. For the same
/// reason a stopping deputy first takes what was given up in its favour, and hands that on.
pub(crate) async fn hand_on(controller: &Controller) {
    let until = controller.now() + COPY_WAIT;
    while controller.now() < until {
        let all = controller.all_held();
        if all.is_empty() && !wanted(controller).iter().any(|s| awaits(controller, s)) {
            return;
        }
        let copied = all.iter().filter(|held| is_copied(controller, held));
        join_all(copied.map(|held| give(controller, held))).await;
        controller.process.clock.sleep(COPY_LOOK).await;
    }
    let left = controller.all_held();
    join_all(left.iter().map(|held| give(controller, held))).await;
}

/// Tells whether a shard that nobody holds waits for this process, its deputy.
fn awaits(controller: &Controller, shard: &ShardId) -> bool {
    has_copy(controller, shard) && !is_held(controller, shard, controller.now())
}

/// Tells whether this process is the deputy of the shard, as far as it knows, and has all of it.
fn has_copy(controller: &Controller, shard: &ShardId) -> bool {
    let copies = controller.deputies.borrow();
    let Some(copy) = copies.get(shard).filter(|d| d.is_whole()) else {
        return false;
    };
    let records = controller.records.borrow();
    let epoch = copy.fence.get().epoch;
    records.get(shard).is_none_or(|r| {
        r.epoch < epoch || r.epoch == epoch && r.deputy.as_ref() == Some(controller.own())
    })
}

/// Tells whether a live deputy has all of the shard, or nobody can.
fn is_copied(controller: &Controller, held: &Held) -> bool {
    let now = controller.now();
    if !held.may_act(now) || !controller.store.is_up() {
        return true;
    }
    let Some(deputy) = held.record.borrow().0.deputy.clone() else {
        return controller
            .live_controllers(now)
            .iter()
            .all(|h| h == controller.own());
    };
    let members = controller.controllers.borrow();
    let live = members.state(now, &deputy, &controller.timing) == Liveness::Live;
    live && held.copied.get()
}

pub(crate) async fn give(controller: &Controller, held: &Held) {
    held.given.set(true);
    held.stop.cancel();
    let (mut record, version) = held.record.borrow().clone();
    record.released = true;
    record.attempt = attempt(controller);
    if let Ok(text) = serde_json::to_string(&record) {
        let key = key(&held.shard);
        let swap = controller.store.swap(&key, version, &text, &record.attempt);
        if let Swap::Done(_) = swap.await {
            copies::tell_release(controller, held).await;
        }
    }
    drop_held(controller, &held.shard, "released");
}

pub(crate) fn drop_held(controller: &Controller, shard: &ShardId, why: &str) {
    let held = controller.held.borrow_mut().remove(shard);
    if let Some(held) = held {
        held.given.set(true);
        held.stop.cancel();
        held.news.raise();
        let detail = format!("epoch={} why={why}", held.holder.borrow().epoch());
        let events = &controller.process.events;
        events.record(EventKind::ShardLost, shard.to_string(), detail);
    }
}

pub(crate) fn key(shard: &ShardId) -> String {
    format!("shard/{shard}")
}

/// Returns a text that no other write carries.
pub(crate) fn attempt(controller: &Controller) -> String {
    format!("{}-{:016x}", controller.own(), rand::random::<u64>())
}

fn wanted(controller: &Controller) -> Vec<ShardId> {
    let config = controller.config();
    if config.version() == 0 {
        return Vec::new();
    }
    let parts = |s: &chicoryrail_core::Service| {
        let service = s.name.clone();
        (0..s.parts.max(1)).map(move |part| ShardId::Service {
            service: service.clone(),
            part,
        })
    };
    let mut all: Vec<ShardId> = config.services().flat_map(parts).collect();
    all.extend((0..config.order_parts()).map(|part| ShardId::Orders { part }));
    all
}

fn drop_unwanted(controller: &Controller, wanted: &[ShardId]) {
    for held in controller.all_held() {
        if !wanted.contains(&held.shard) && controller.config().version() > 0 {
            drop_held(controller, &held.shard, "not in the configuration");
        }
    }
}

/// Tells whether the shard's last known holder may still act.
fn is_held(controller: &Controller, shard: &ShardId, now: Millis) -> bool {
    let records = controller.records.borrow();
    let Some(record) = records.get(shard) else {
        return false;
    };
    if record.released || record.holder == *controller.own() {
        return false;
    }
    let members = controller.controllers.borrow();
    let silent = members.silent(now, &record.holder);
    let deputy = record.deputy.as_ref() == Some(controller.own());
    let deputies = controller.deputies.borrow();
    let copy = deputies.get(shard);
    if copy.is_some_and(|d| d.is_released() && d.fence.get().epoch >= record.epoch) {
        return false;
    }
    if let Some(copy) = copy.filter(|_| deputy)
        && copy.is_lost(controller, now)
    {
        return false;
    }
    match members.state(now, &record.holder, &controller.timing) {
        Liveness::Live | Liveness::Suspect => !controller.stale.borrow().contains(shard),
        // Its release is looked for, at the pace of the head start.
        Liveness::Leaving => false,
        // A controller that has just started has heard nobody yet.
        Liveness::Gone => silent == Millis::MAX && now < controller.timing.gone,
    }
}

/// Returns this controller's place in the shard's order of candidates.
fn rank(controller: &Controller, shard: &ShardId, now: Millis) -> Option<u64> {
    let order = order(controller, shard, now);
    let records = controller.records.borrow();
    let deputy = records.get(shard).and_then(|r| r.deputy.as_ref());
    let copies = controller.deputies.borrow();
    let copied = copies.get(shard).is_some_and(|d| {
        let epoch = d.fence.get().epoch;
        records.get(shard).is_none_or(|r| r.epoch < epoch)
    });
    if copied || deputy == Some(controller.own()) {
        return Some(0);
    }
    let place = order.iter().position(|h| h == controller.own())?;
    // A live deputy has the copy of the shard, so it goes first.
    let behind = deputy.is_some_and(|d| order.contains(d));
    Some(place as u64 + u64::from(behind))
}

/// Returns the live controllers in the shard's rendezvous order.
pub(crate) fn order(controller: &Controller, shard: &ShardId, now: Millis) -> Vec<HostName> {
    let at = shard.position();
    let mut live = controller.live_controllers(now);
    live.sort_by_key(|h| std::cmp::Reverse(at.weight(h.as_str())));
    live
}

async fn claim(controller: &Rc<Controller>, shard: &ShardId) {
    let key = key(shard);
    let Ok(found) = controller.store.get(&key).await else {
        return;
    };
    let old = found.as_ref().and_then(parse);
    controller.stale.borrow_mut().remove(shard);
    if let Some(old) = &old {
        let known = controller
            .records
            .borrow_mut()
            .insert(shard.clone(), old.clone());
        let fresh = known.as_ref() != Some(old);
        let now = controller.now();
        let leaving = {
            let members = controller.controllers.borrow();
            let state = members.state(now, &old.holder, &controller.timing);
            state == Liveness::Leaving && old.holder != *controller.own()
        };
        if (fresh && is_held(controller, shard, now)) || (leaving && !old.released) {
            return;
        }
        // This process had decided by an older record, that named another deputy or none. The one
        // named now has the copy and goes first; without this a controller that had just restarted
        // took parts of the order ids whose claims it did not know, and answered unknown to all.
        if fresh && rank(controller, shard, now) != Some(0) {
            return;
        }
    }
    let record = next_record(controller, shard, old.as_ref());
    let Ok(text) = serde_json::to_string(&record) else {
        return;
    };
    let asked = controller.now();
    let expect = found.map_or(0, |r| r.version);
    match controller
        .store
        .swap(&key, expect, &text, &record.attempt)
        .await
    {
        Swap::Done(version) => take(controller, shard, old, record, version, asked).await,
        Swap::Conflict | Swap::Unsettled => {}
    }
}

pub(crate) fn parse(record: &Record) -> Option<ShardRecord> {
    serde_json::from_str(record.value.as_deref()?).ok()
}

/// Builds the next epoch's record. The witnesses stay: the take-over needs the old ones, and a
/// record that named others before it is complete would let the next newcomer ask the wrong ones.
fn next_record(controller: &Controller, shard: &ShardId, old: Option<&ShardRecord>) -> ShardRecord {
    let order = order(controller, shard, controller.now());
    let released = old.is_none_or(|o| o.released);
    let witnesses = match old {
        Some(old) if !released => old.witnesses.clone(),
        _ => witnesses::pick(controller, &order),
    };
    ShardRecord {
        epoch: old.map_or(Epoch(1), |o| o.epoch.next()),
        holder: controller.own().clone(),
        deputy: deputy_of(controller, order),
        witnesses,
        attempt: attempt(controller),
        released: false,
    }
}

/// Returns the first of `order` that stands in another data centre, else the first other host: the
/// loss of a data centre must not take the holder and its deputy.
pub(crate) fn deputy_of(controller: &Controller, mut order: Vec<HostName>) -> Option<HostName> {
    order.retain(|h| h != controller.own());
    let hosts = controller.hosts.borrow();
    let near = |h: &HostName| {
        let host = hosts.get(h);
        host.is_none_or(|h| h.data_centre == controller.settings.host.dc)
    };
    let far = order.iter().position(|h| !near(h)).unwrap_or(0);
    order.into_iter().nth(far)
}

/// Completes a take-over: the promises, then the wait, then the shard is driven.
async fn take(
    controller: &Rc<Controller>,
    shard: &ShardId,
    old: Option<ShardRecord>,
    record: ShardRecord,
    version: u64,
    asked: Millis,
) {
    let from = match old.as_ref().filter(|o| !o.released) {
        None => controller.now(),
        Some(old) => match promises::collect(controller, shard, old, record.epoch).await {
            Some(from) => from,
            None => return,
        },
    };
    let holder = Holder::new(
        record.epoch,
        record.witnesses.clone(),
        asked,
        from,
        &controller.timing,
    );
    let content = match shard {
        ShardId::Service { .. } => Content::Section(RefCell::new(None)),
        ShardId::Orders { .. } => {
            Content::Orders(RefCell::new(window(controller, shard, old.as_ref(), from)))
        }
    };
    let held = Rc::new(Held {
        shard: shard.clone(),
        holder: RefCell::new(holder),
        record: RefCell::new((record.clone(), version)),
        content,
        after: old
            .as_ref()
            .filter(|o| o.deputy.as_ref() == Some(controller.own()))
            .map(|o| o.epoch),
        grants: RefCell::default(),
        news: Signal::default(),
        stop: CancellationToken::new(),
        given: Cell::new(false),
        copied: Cell::new(false),
    });
    controller
        .records
        .borrow_mut()
        .insert(shard.clone(), record.clone());
    controller
        .held
        .borrow_mut()
        .insert(shard.clone(), Rc::clone(&held));
    let detail = format!(
        "epoch={} from_ms={}",
        record.epoch,
        from.since(controller.now()).0
    );
    let events = &controller.process.events;
    events.record(EventKind::ShardTaken, shard.to_string(), detail);
    monoio::spawn(crate::copies::copy_all(
        Rc::clone(controller),
        Rc::clone(&held),
    ));
    monoio::spawn(crate::shard::drive(Rc::clone(controller), held, from));
}

/// Returns the window of a part of the order ids: empty for a new one, the deputy's copy where this
/// process was the deputy of the last epoch and had all of it, else a blind one.
fn window(
    controller: &Controller,
    shard: &ShardId,
    old: Option<&ShardRecord>,
    from: Millis,
) -> OrderWindow<OrderAnswer> {
    let empty = OrderWindow::new(WINDOW, WINDOW_MOST);
    let Some(old) = old else {
        return empty;
    };
    let deputies = controller.deputies.borrow();
    let copy = deputies.get(shard).filter(|d| {
        let whole = d.is_whole() && d.fence.get().epoch == old.epoch;
        whole && old.deputy.as_ref() == Some(controller.own())
    });
    copy.map_or_else(|| empty.blind_since(from), |d| d.window.borrow().clone())
}
