//! Copying held shards to their deputies, and replacing a deputy that is lost.

use std::rc::Rc;

use chicoryrail_core::Fence;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ShardId;
use chicoryrail_ownership::Holder;
use chicoryrail_ownership::Liveness;
use chicoryrail_runtime::EventKind;
use chicoryrail_wire::DeputyCopy;
use chicoryrail_wire::DeputyReply;
use chicoryrail_wire::OrderClaim;
use chicoryrail_wire::OrderCopy;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use futures_util::future::join_all;

use crate::Controller;
use crate::claims;
use crate::held::Held;
use crate::orders;
use crate::promises;
use crate::routes;
use crate::store::Swap;
use crate::witnesses;

/// Time between two copies while nothing changes; the deputy acts after two and a half of them.
const COPY_EVERY: Millis = Millis(100);
/// Claims that are copied at a time. One after the other, a window of 10,000 claims took longer than
/// a host's restart; more at a time would hold up the claims of callers that wait.
const AT_A_TIME: usize = 64;
/// Longest time of one copy.
const COPY_LIMIT: Millis = Millis(200);
/// Silence of a deputy after which it is replaced. Shorter would replace deputies for a moment's
/// stall, longer would hold moves up, which wait for the deputy's acknowledgement.
const REPLACE_AFTER: Millis = Millis(600);
/// How long another controller must have come first before a shard is handed to it: a host that
/// restarts again and again must not draw shards to and fro.
const BACK_AFTER: Millis = Millis(10_000);
/// The same where operators have taken this host out.
const OUT_AFTER: Millis = Millis(500);

/// Copies a shard to its deputy until it is lost or given up.
pub(crate) async fn copy_all(controller: Rc<Controller>, held: Rc<Held>) {
    let mut acked = controller.now();
    let mut known = Fence::default();
    let mut named = None;
    let mut preferred = None;
    let mut asked = Millis::ZERO;
    let mut healed = controller.now();
    while !held.stop.is_cancelled() {
        let seen = held.news.count();
        let now = controller.now();
        let deputy = held.record.borrow().0.deputy.clone();
        if deputy != named {
            (named, known, acked) = (deputy.clone(), Fence::default(), now);
            held.copied.set(false);
        }
        let sent = controller.now();
        let reply = match &deputy {
            Some(host) if held.may_act(now) => {
                let copy = build(&controller, &held, known);
                send(&controller, host, copy).await
            }
            _ => None,
        };
        let now = controller.now();
        if let Some(reply) = reply {
            asked = sent;
            acked = now;
            known = reply.known;
            held.copied.set(is_whole(&held, known));
            take_reply(&controller, &held, reply).await;
        }
        if held.may_act(now) && wants_other(&controller, &held, now, now.since(acked)) {
            let next = candidate(&controller, &held, now);
            replace(&controller, &held, next).await;
            acked = controller.now();
        }
        witnesses::heal(&controller, &held, asked, &mut healed).await;
        if hands_back(&controller, &held, &mut preferred, known).await {
            return;
        }
        if held.news.count() == seen {
            held.news.wait(seen, COPY_EVERY).await;
        } else {
            // Changes come in bursts; a copy each 10 ms is enough for a move.
            controller.process.clock.sleep(Millis(10)).await;
        }
    }
}

fn build(controller: &Controller, held: &Held, known: Fence) -> DeputyCopy {
    let now = controller.now();
    let mut copy = DeputyCopy {
        shard: held.shard.clone(),
        holder: controller.own().clone(),
        witnesses: held.holder.borrow().witnesses().to_vec(),
        fence: routes::fence(held, None),
        table: None,
        renew: Vec::new(),
        blind: Millis::ZERO,
        released: false,
    };
    if let Some(window) = held.orders() {
        copy.blind = window.borrow().blind_left(now);
    }
    if let Some(cell) = held.section()
        && let Some(section) = cell.borrow().as_ref()
    {
        copy.fence = section.fence();
        copy.renew = section.renewable(now);
        copy.table = (copy.fence != known).then(|| routes::table(held, section));
    }
    copy
}

/// Tells the deputy that the shard was given up.
///
/// A holder that gives a shard up and lives on looks to its deputy as before, and the deputy would
/// claim only after a silence of 400 to 1,200 ms. When this message is lost it still does then.
pub(crate) async fn tell_release(controller: &Controller, held: &Held) {
    let deputy = held.record.borrow().0.deputy.clone();
    if let Some(deputy) = deputy {
        let mut copy = build(controller, held, Fence::default());
        copy.released = true;
        let _ = send(controller, &deputy, copy).await;
    }
}

async fn send(controller: &Controller, host: &HostName, copy: DeputyCopy) -> Option<DeputyReply> {
    let peer = controller.controller_of(host)?;
    match peer.call(&Request::DeputyCopy(copy), COPY_LIMIT).await {
        Ok(Reply::Deputy(reply)) => Some(reply),
        _ => None,
    }
}

async fn take_reply(controller: &Controller, held: &Held, reply: DeputyReply) {
    let now = controller.now();
    match held.section() {
        Some(cell) => {
            if let Some(section) = cell.borrow_mut().as_mut() {
                section.deputy_known(now, reply.known, reply.quiet);
            }
        }
        None if reply.known.version == 0 => sync_orders(controller, held).await,
        None => {}
    }
}

/// Copies every claim and then says that the copy is complete.
async fn sync_orders(controller: &Controller, held: &Held) {
    let ShardId::Orders { part } = held.shard else {
        return;
    };
    let (epoch, deputy) = {
        let record = held.record.borrow();
        (record.0.epoch, record.0.deputy.clone())
    };
    let Some(deputy) = deputy else {
        return;
    };
    let Some(window) = held.orders() else {
        return;
    };
    let copies: Vec<OrderCopy> = window
        .borrow()
        .entries()
        .map(|(order, print, token, outcome)| OrderCopy {
            part,
            epoch: epoch.0,
            claim: OrderClaim {
                order: order.to_owned(),
                service: "-".into(),
                print,
                gate: controller.own().clone(),
                token,
                wait: Millis::ZERO,
            },
            outcome: outcome.cloned().map(orders::to_wire),
        })
        .collect();
    for chunk in copies.chunks(AT_A_TIME) {
        let sent = chunk
            .iter()
            .map(|c| orders::copy(controller, &deputy, c.clone()));
        if join_all(sent).await.contains(&false) {
            return;
        }
    }
    let mut complete = build(controller, held, Fence::default());
    complete.fence.version = 1;
    let _ = send(controller, &deputy, complete).await;
}

/// Tells whether the shard should have another deputy: the named one is silent or leaves, or there
/// is none and a live controller could be it.
fn wants_other(controller: &Controller, held: &Held, now: Millis, silent: Millis) -> bool {
    if !controller.store.is_up() {
        return false;
    }
    let deputy = held.record.borrow().0.deputy.clone();
    match deputy {
        None => candidate(controller, held, now).is_some(),
        Some(host) => {
            let members = controller.controllers.borrow();
            let state = members.state(now, &host, &controller.timing);
            silent >= REPLACE_AFTER && state != Liveness::Live || state == Liveness::Leaving
        }
    }
}

/// Hands the shard to the live controller that comes first in its order, once that has been so for
/// a while and it is the deputy with the whole copy; tells whether it did.
///
/// Hosts are replaced all the time; without this the shards would gather on those that stay.
async fn hands_back(
    controller: &Rc<Controller>,
    held: &Rc<Held>,
    preferred: &mut Option<(HostName, Millis)>,
    known: Fence,
) -> bool {
    let now = controller.now();
    let first = claims::order(controller, &held.shard, now)
        .into_iter()
        .next();
    let Some(first) = first.filter(|h| h != controller.own()) else {
        *preferred = None;
        return false;
    };
    let since = match preferred.as_ref() {
        Some((host, since)) if *host == first => *since,
        _ => now,
    };
    *preferred = Some((first.clone(), since));
    let out = controller
        .config()
        .head
        .outs
        .hosts
        .contains(controller.own());
    let steady = now.since(since) >= if out { OUT_AFTER } else { BACK_AFTER };
    if !steady || !controller.store.is_up() || !held.may_act(now) || !is_still(held) {
        return false;
    }
    if held.record.borrow().0.deputy.as_ref() != Some(&first) {
        replace(controller, held, Some(first)).await;
        return false;
    }
    let whole = is_whole(held, known);
    if whole {
        claims::give(controller, held).await;
    }
    whole
}

/// Tells whether the deputy that has `known` has all of the shard.
fn is_whole(held: &Held, known: Fence) -> bool {
    match held.section() {
        Some(cell) => cell.borrow().as_ref().is_some_and(|s| s.fence() == known),
        None => known.epoch == held.holder.borrow().epoch() && known.version > 0,
    }
}

/// Tells whether nothing of the shard is on the move.
fn is_still(held: &Held) -> bool {
    let Some(cell) = held.section() else {
        return true;
    };
    let section = cell.borrow();
    section.as_ref().is_some_and(|s| s.is_still())
}

fn candidate(controller: &Controller, held: &Held, now: Millis) -> Option<HostName> {
    let old = held.record.borrow().0.deputy.clone();
    let order = claims::order(controller, &held.shard, now);
    let others = order.into_iter().filter(|h| Some(h) != old.as_ref());
    claims::deputy_of(controller, others.collect())
}

/// Takes the next epoch from itself with another deputy.
///
/// A deputy acts on confirmations of the old epoch, so naming another one is not enough: with the
/// promise of a majority the old epoch can't be confirmed any more, and after the wait it is over.
async fn replace(controller: &Rc<Controller>, held: &Rc<Held>, deputy: Option<HostName>) {
    let (old, version) = held.record.borrow().clone();
    let mut record = old.clone();
    record.epoch = old.epoch.next();
    record.deputy = deputy;
    record.attempt = claims::attempt(controller);
    let Ok(text) = serde_json::to_string(&record) else {
        return;
    };
    let asked = controller.now();
    let key = claims::key(&held.shard);
    let swap = controller.store.swap(&key, version, &text, &record.attempt);
    let Swap::Done(version) = swap.await else {
        return;
    };
    let Some(from) = promises::collect(controller, &held.shard, &old, record.epoch).await else {
        return;
    };
    if held.given.get() {
        return;
    }
    let now = controller.now();
    let witnesses = record.witnesses.clone();
    let holder = Holder::new(record.epoch, witnesses, asked, now, &controller.timing);
    *held.holder.borrow_mut() = holder;
    if let Some(cell) = held.section()
        && let Some(section) = cell.borrow_mut().as_mut()
    {
        section.raise(record.epoch, from, record.deputy.is_some());
    }
    let detail = format!("epoch={} deputy={:?}", record.epoch, record.deputy);
    let events = &controller.process.events;
    events.record(EventKind::ShardTaken, held.shard.to_string(), detail);
    let mut records = controller.records.borrow_mut();
    records.insert(held.shard.clone(), record.clone());
    *held.record.borrow_mut() = (record, version);
    held.news.raise();
    controller.route_news.raise();
}
