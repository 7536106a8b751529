//! Promises of witnesses to a newcomer.

use chicoryrail_core::Epoch;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ShardId;
use chicoryrail_ownership::ShardRecord;
use chicoryrail_ownership::Takeover;
use chicoryrail_ownership::Vote;
use chicoryrail_wire::Promise;
use chicoryrail_wire::PromiseReply;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use futures_util::future::join_all;

use crate::Controller;

/// Longest time a promise may take.
const PROMISE_LIMIT: Millis = Millis(150);
/// Rest between two rounds.
const AGAIN: Millis = Millis(100);

/// Collects the promises of the old witnesses; `None` where another newcomer came.
pub(crate) async fn collect(
    controller: &Controller,
    shard: &ShardId,
    old: &ShardRecord,
    epoch: Epoch,
) -> Option<Millis> {
    let mut takeover = Takeover::new(old.witnesses.clone());
    for _ in 0..200 {
        let asked = controller.now();
        let missing: Vec<HostName> = takeover
            .missing(asked, &controller.timing)
            .cloned()
            .collect();
        let votes = missing
            .iter()
            .map(|w| ask_promise(controller, w, shard, epoch));
        for (witness, vote) in missing.iter().zip(join_all(votes).await) {
            match vote {
                Some(Vote::Promised) => takeover.promised(witness, asked),
                Some(Vote::Higher(_)) => return None,
                Some(Vote::Silent) | None => {}
            }
        }
        let from = acts_from(controller, &takeover);
        if from.is_some() {
            return from;
        }
        if controller.leaving.get() {
            return None;
        }
        controller.process.clock.sleep(AGAIN).await;
    }
    None
}

fn acts_from(controller: &Controller, takeover: &Takeover) -> Option<Millis> {
    let now = controller.now();
    let members = controller.controllers.borrow();
    let removed = |w: &HostName| members.is_removed(now, w, &controller.timing);
    takeover.acts_from(now, removed, &controller.timing)
}

async fn ask_promise(
    controller: &Controller,
    witness: &HostName,
    shard: &ShardId,
    epoch: Epoch,
) -> Option<Vote> {
    if witness == controller.own() {
        let now = controller.now();
        let mut own = controller.witness.borrow_mut();
        return Some(own.promise(now, shard, epoch));
    }
    let request = Request::Promise(Promise {
        newcomer: controller.own().clone(),
        shard: shard.clone(),
        epoch,
    });
    let peer = controller.controller_of(witness)?;
    match peer.call(&request, PROMISE_LIMIT).await {
        Ok(Reply::Promise(PromiseReply::Promised)) => Some(Vote::Promised),
        Ok(Reply::Promise(PromiseReply::Higher(e))) => Some(Vote::Higher(e)),
        Ok(Reply::Promise(PromiseReply::Silent)) => Some(Vote::Silent),
        _ => None,
    }
}
