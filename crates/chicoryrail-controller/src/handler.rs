//! Calls of peers.

use bytes::Bytes;
use chicoryrail_core::ResultCode;
use chicoryrail_ownership::Vote;
use chicoryrail_wire::Handler;
use chicoryrail_wire::HeartbeatReply;
use chicoryrail_wire::PeerSeen;
use chicoryrail_wire::Promise;
use chicoryrail_wire::PromiseReply;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use chicoryrail_wire::StatusReply;

use crate::Controller;
use crate::config;
use crate::deputy;
use crate::keep;
use crate::orders;
use crate::routes;

impl Handler for Controller {
    async fn call(&self, request: Request) -> Reply {
        match request {
            Request::Ping => Reply::Done,
            Request::Heartbeat(beat) => {
                self.heard(&beat);
                let own = self.heartbeat();
                Reply::Heartbeat(HeartbeatReply { own })
            }
            Request::Config(request) => Reply::Config(config::answer(self, &request).await),
            Request::Routes(request) => Reply::Routes(routes::answer(self, &request).await),
            Request::Confirm(confirm) => Reply::Confirmed(keep::answer(self, &confirm)),
            Request::Promise(promise) => Reply::Promise(promised(self, &promise)),
            Request::OrderClaim(claim) => orders::claim(self, &claim).await,
            Request::OrderClose(close) => orders::close(self, &close).await,
            Request::OrderLookup { order } => orders::lookup(self, &order),
            Request::OrderCopy(copy) => orders::take_copy(self, &copy),
            Request::DeputyCopy(copy) => self
                .shared()
                .and_then(|own| deputy::take_in(&own, copy))
                .map_or(Reply::refused(ResultCode::NotHolder), Reply::Deputy),
            Request::Status { tables } => Reply::Status(status(self, tables)),
        }
    }

    async fn forward(
        &self,
        _request: http::Request<h2::RecvStream>,
        mut respond: h2::server::SendResponse<Bytes>,
    ) {
        // Callers' requests go through gates; a controller has no way to a server's slots.
        respond.send_reset(h2::Reason::REFUSED_STREAM);
    }
}

fn promised(controller: &Controller, promise: &Promise) -> PromiseReply {
    let now = controller.now();
    let mut witness = controller.witness.borrow_mut();
    match witness.promise(now, &promise.shard, promise.epoch) {
        Vote::Promised => PromiseReply::Promised,
        Vote::Higher(epoch) => PromiseReply::Higher(epoch),
        Vote::Silent => PromiseReply::Silent,
    }
}

fn status(controller: &Controller, tables: bool) -> StatusReply {
    let now = controller.now();
    let listed = |host| controller.controllers.borrow().is_listed(host);
    let beats = controller.beats.borrow();
    let peers = beats.values().map(|(beat, at)| PeerSeen {
        beat: beat.clone(),
        silent: now.since(*at),
        listed: listed(&beat.host),
    });
    let mut reply = StatusReply {
        own: controller.heartbeat(),
        peers: peers.collect(),
        held: Vec::new(),
        tables: Vec::new(),
    };
    for held in controller.all_held() {
        if !held.may_act(now) {
            continue;
        }
        let cell = held.section().map(|c| c.borrow());
        let section = cell.as_ref().and_then(|c| c.as_deref());
        let fence = routes::fence(&held, section);
        reply.held.push((held.shard.clone(), fence));
        if let Some(section) = section.filter(|_| tables) {
            reply.tables.push(routes::table(&held, section));
        }
    }
    reply
}
