//! The witness list of a held shard, changed one host at a time.

use std::collections::BTreeMap;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;

use crate::Controller;
use crate::claims;
use crate::held::Held;
use crate::store::Swap;

/// Most witnesses of a shard. Five bear the loss of two; more would only add messages.
const MOST: usize = 5;
/// Silence after which a witness is dropped. Until it is replaced the shard bears one loss less, so it
/// is short; a restart that takes longer costs two writes.
const DROP_AFTER: Millis = Millis(1_500);
/// Time between two changes of one shard's list; the deputy has to have the last one too.
const CHANGE_EVERY: Millis = Millis(300);

/// Picks witnesses by turns from the data centres, so that the loss of one leaves a majority; an odd
/// number, since one more bears no further loss.
pub(crate) fn pick(controller: &Controller, order: &[HostName]) -> Vec<HostName> {
    let mut picked = spread(controller, order);
    picked.truncate(odd(picked.len().min(MOST)));
    if picked.is_empty() {
        picked.push(controller.own().clone());
    }
    picked
}

fn odd(n: usize) -> usize {
    n - usize::from(n > 0 && n.is_multiple_of(2))
}

fn spread(controller: &Controller, order: &[HostName]) -> Vec<HostName> {
    let hosts = controller.hosts.borrow();
    let mut by_dc: BTreeMap<_, Vec<HostName>> = BTreeMap::new();
    for host in order {
        let dc = hosts.get(host).map(|h| h.data_centre.clone());
        by_dc.entry(dc).or_default().push(host.clone());
    }
    let longest = by_dc.values().map(Vec::len).max().unwrap_or(0);
    let turns = (0..longest).flat_map(|i| by_dc.values().filter_map(move |d| d.get(i)));
    turns.cloned().collect()
}

/// Drops or adds one witness where the list should change.
///
/// Any majority of a list and any majority of the list with one host more or less share a host. So
/// a newcomer that asks the new list meets a promise's witness of every confirmation under the old
/// one, which the deputy may still use; the next change waits until it has this one.
pub(crate) async fn heal(controller: &Controller, held: &Held, copied: Millis, last: &mut Millis) {
    let now = controller.now();
    let alone = held.record.borrow().0.deputy.is_none();
    let rested = now.since(*last) >= CHANGE_EVERY && (alone || copied > *last);
    if !rested || !controller.store.is_up() || !held.may_act(now) {
        return;
    }
    let Some(witnesses) = next(controller, held, now) else {
        return;
    };
    let (old, version) = held.record.borrow().clone();
    let mut record = old.clone();
    record.witnesses = witnesses;
    record.attempt = claims::attempt(controller);
    let Ok(text) = serde_json::to_string(&record) else {
        return;
    };
    let key = claims::key(&held.shard);
    let swap = controller.store.swap(&key, version, &text, &record.attempt);
    let result = swap.await;
    *last = controller.now();
    match result {
        Swap::Done(version) => adopt(controller, held, record, version),
        Swap::Conflict | Swap::Unsettled => {
            // A write of this process may have taken effect late.
            let Ok(Some(found)) = controller.store.get(&key).await else {
                return;
            };
            if let Some(record) = claims::parse(&found).filter(|r| r.epoch == old.epoch) {
                adopt(controller, held, record, found.version);
            }
        }
    }
}

fn adopt(
    controller: &Controller,
    held: &Held,
    record: chicoryrail_ownership::ShardRecord,
    version: u64,
) {
    if held.record.borrow().0.epoch != record.epoch {
        return;
    }
    let witnesses = record.witnesses.clone();
    held.holder.borrow_mut().set_witnesses(witnesses);
    let mut records = controller.records.borrow_mut();
    records.insert(held.shard.clone(), record.clone());
    *held.record.borrow_mut() = (record, version);
}

fn next(controller: &Controller, held: &Held, now: Millis) -> Option<Vec<HostName>> {
    let mut list = held.holder.borrow().witnesses().to_vec();
    let live = claims::order(controller, &held.shard, now);
    let members = controller.controllers.borrow();
    let dead = |h: &HostName| {
        let silent = members.silent(now, h) >= DROP_AFTER;
        h != controller.own() && !live.contains(h) && (silent || !members.is_listed(h))
    };
    if let Some(i) = list.iter().position(dead) {
        // The last one is replaced, not dropped.
        if list.len() > 1 {
            list.remove(i);
            return Some(list);
        }
    }
    let target = odd(live.len().min(MOST));
    if list.len() < target {
        let wanted = spread(controller, &live);
        let more = wanted.into_iter().find(|h| !list.contains(h))?;
        list.push(more);
        return Some(list);
    }
    // With two hosts left the deputy alone is the witness: it can take over when the holder is lost,
    // and the holder has the store when the deputy is.
    if live.len() == 2 && list.len() == 2 {
        let own = list.iter().position(|h| h == controller.own())?;
        list.remove(own);
        return Some(list);
    }
    None
}
