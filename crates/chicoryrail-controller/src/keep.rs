//! Keeping held shards: fresh confirmations from witnesses, else from the store.

use std::collections::BTreeMap;
use std::rc::Rc;

use chicoryrail_core::Epoch;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ShardId;
use chicoryrail_ownership::Confirmation;
use chicoryrail_wire::Confirm;
use chicoryrail_wire::Confirmed;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use futures_util::future::join_all;

use crate::Controller;
use crate::claims;
use crate::config;
use crate::deputy;
use crate::deputy::Deputy;
use crate::held::Held;

/// Time between two rounds. Four rounds lie within a validity, so one lost packet ends nothing.
const ROUND: Millis = Millis(150);
/// Longest time of one witness's answer, below a round.
const CONFIRM_LIMIT: Millis = Millis(140);
/// Time left below which the store is asked too.
const SHORT: Millis = Millis(300);
/// Time between two readings of the store, which serves all controllers.
const STORE_EVERY: Millis = Millis(250);

type Question = Vec<(ShardId, Epoch)>;

/// Confirms all held shards until the process ends.
pub(crate) async fn keep(controller: Rc<Controller>) {
    let mut store_at = Millis::ZERO;
    loop {
        let round = controller.now();
        let all = controller.all_held();
        let deputies = deputy::all(&controller);
        if !all.is_empty() || !deputies.is_empty() {
            confirm(&controller, &all, &deputies).await;
            let now = controller.now();
            let short = |h: &&Rc<Held>| h.holder.borrow().left(now) < SHORT;
            let lapsing = |d: &Rc<Deputy>| {
                d.is_needed(&controller, now) && d.holder.borrow().left(now) < SHORT
            };
            let asks = all.iter().any(|h| short(&h)) || deputies.iter().any(lapsing);
            if asks && now.since(store_at) >= STORE_EVERY {
                store_at = now;
                monoio::spawn(read_back(Rc::clone(&controller)));
            }
        }
        controller.process.clock.sleep_until(round + ROUND).await;
    }
}

async fn confirm(controller: &Controller, all: &[Rc<Held>], deputies: &[Rc<Deputy>]) {
    let mut questions: BTreeMap<HostName, Question> = BTreeMap::new();
    let own = all.iter().map(|h| (&h.shard, &h.holder));
    let copied = deputies.iter().map(|d| (&d.shard, &d.holder));
    let rights: Vec<_> = own.chain(copied).collect();
    for (shard, holder) in &rights {
        let holder = holder.borrow();
        for witness in holder.witnesses() {
            let question = questions.entry(witness.clone()).or_default();
            question.push(((*shard).clone(), holder.epoch()));
        }
    }
    let asked = controller.now();
    let answers = questions.into_iter().map(|(w, q)| ask(controller, w, q));
    let mut by_right: BTreeMap<(ShardId, Epoch), Vec<Confirmation>> = BTreeMap::new();
    for (right, confirmation) in join_all(answers).await.into_iter().flatten() {
        by_right.entry(right).or_default().push(confirmation);
    }
    let now = controller.now();
    for (shard, holder) in rights {
        let mut holder = holder.borrow_mut();
        if let Some(answers) = by_right.get(&(shard.clone(), holder.epoch())) {
            holder.confirmed(now, asked, answers, &controller.timing);
        }
    }
}

async fn ask(
    controller: &Controller,
    witness: HostName,
    question: Question,
) -> Vec<((ShardId, Epoch), Confirmation)> {
    let confirm = Confirm {
        holder: controller.own().clone(),
        shards: question.clone(),
    };
    let answer = if witness == *controller.own() {
        Some(answer(controller, &confirm))
    } else {
        match controller.controller_of(&witness) {
            Some(peer) => match peer.call(&Request::Confirm(confirm), CONFIRM_LIMIT).await {
                Ok(Reply::Confirmed(confirmed)) => Some(confirmed),
                _ => None,
            },
            None => None,
        }
    };
    let Some(answer) = answer else {
        return Vec::new();
    };
    controller
        .highest
        .set(controller.highest.get().max(answer.version));
    // A version that a majority has in force was told to operators as accepted. A holder that missed
    // it must not act on an older one, so a witness that is ahead does not count; where no majority is
    // ahead the old version goes on, also when the store is down in the middle of a roll.
    let current = answer.version <= controller.config().version();
    let rows = question.into_iter().zip(answer.shards);
    rows.map(|(right, agrees)| {
        let confirmation = Confirmation {
            witness: witness.clone(),
            instance: answer.instance,
            agrees: agrees && current,
        };
        (right, confirmation)
    })
    .collect()
}

/// Answers a holder as its witness.
pub(crate) fn answer(controller: &Controller, confirm: &Confirm) -> Confirmed {
    let now = controller.now();
    let witness = controller.witness.borrow();
    // Without a configuration this process does not know whether the holder's is too old.
    let ready = controller.config().version() > 0;
    let agree = |(shard, epoch): &(ShardId, Epoch)| ready && witness.confirm(now, shard, *epoch);
    Confirmed {
        instance: controller.process.instance,
        shards: confirm.shards.iter().map(agree).collect(),
        version: controller.config().version(),
    }
}

/// Reads all shards' records in one call; they confirm this holder, or show that it lost a shard.
async fn read_back(controller: Rc<Controller>) {
    let asked = controller.now();
    let Ok(records) = controller.store.list("shard/").await else {
        return;
    };
    if !config::is_newest(&controller).await {
        return;
    }
    for deputy in deputy::all(&controller) {
        let key = claims::key(&deputy.shard);
        let found = records.iter().find(|r| r.key == key);
        if let Some(record) = found.and_then(claims::parse) {
            deputy::confirmed(&controller, &deputy, &record, asked);
        }
    }
    for held in controller.all_held() {
        let key = claims::key(&held.shard);
        let Some(found) = records.iter().find(|r| r.key == key) else {
            continue;
        };
        let Some(record) = claims::parse(found) else {
            continue;
        };
        let epoch = held.holder.borrow().epoch();
        if record.epoch == epoch && record.holder == *controller.own() {
            held.holder.borrow_mut().stored(asked, &controller.timing);
        } else if record.epoch > epoch && !held.holder.borrow().may_act(controller.now()) {
            claims::drop_held(&controller, &held.shard, "taken over");
            let mut records = controller.records.borrow_mut();
            records.insert(held.shard.clone(), record);
        }
    }
}
