//! Keeping another controller's shards going while it is silent.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use chicoryrail_core::Fence;
use chicoryrail_core::Millis;
use chicoryrail_core::Server;
use chicoryrail_core::ServerName;
use chicoryrail_core::ShardId;
use chicoryrail_core::Slice;
use chicoryrail_ownership::Answer;
use chicoryrail_ownership::Health;
use chicoryrail_ownership::Holder;
use chicoryrail_ownership::OrderWindow;
use chicoryrail_ownership::Session;
use chicoryrail_ownership::Timing;
use chicoryrail_platform::SessionBody;
use chicoryrail_platform::Targets;
use chicoryrail_runtime::EventKind;
use chicoryrail_wire::DeputyCopy;
use chicoryrail_wire::DeputyReply;
use chicoryrail_wire::OrderAnswer;
use chicoryrail_wire::RouteEntry;
use chicoryrail_wire::RouteTable;

use crate::Controller;
use crate::claims;

/// Time between two looks at the copies.
const TICK: Millis = Millis(20);
/// Silence after which a copy that can't be confirmed any more is dropped.
const FORGET: Millis = Millis(60_000);

/// A copy of a shard that another controller holds.
#[derive(Debug)]
pub(crate) struct Deputy {
    pub(crate) shard: ShardId,
    pub(crate) holder: RefCell<Holder>,
    pub(crate) fence: Cell<Fence>,
    pub(crate) table: RefCell<Option<RouteTable>>,
    pub(crate) window: RefCell<OrderWindow<OrderAnswer>>,
    renew: RefCell<Vec<ServerName>>,
    sessions: RefCell<BTreeMap<ServerName, Session>>,
    heard: Cell<Millis>,
    acted: Cell<Option<Millis>>,
    told: Cell<bool>,
    released: Cell<bool>,
}

impl Deputy {
    fn new(copy: &DeputyCopy, now: Millis) -> Self {
        let holder = Holder::unconfirmed(copy.fence.epoch, copy.witnesses.clone());
        Self {
            shard: copy.shard.clone(),
            holder: RefCell::new(holder),
            fence: Cell::new(Fence {
                epoch: copy.fence.epoch,
                version: 0,
            }),
            table: RefCell::default(),
            window: RefCell::new(OrderWindow::new(claims::WINDOW, claims::WINDOW_MOST)),
            renew: RefCell::default(),
            sessions: RefCell::default(),
            heard: Cell::new(now),
            acted: Cell::new(None),
            told: Cell::new(false),
            released: Cell::new(false),
        }
    }

    /// Tells whether the holder has been silent for so long that this copy is acted on.
    pub(crate) fn is_needed(&self, controller: &Controller, now: Millis) -> bool {
        now.since(self.heard.get()) >= controller.timing.deputy
    }

    /// Tells whether the holder has been silent for so long that its shard is claimed.
    ///
    /// Routes and sessions are kept meanwhile, so a section does not hurry and a holder's stall of a
    /// second moves nothing. Order ids can't be claimed meanwhile, so they do; but without the whole
    /// copy a take-over would answer `unknown` to every new id for the length of the window.
    pub(crate) fn is_lost(&self, controller: &Controller, now: Millis) -> bool {
        let timing = &controller.timing;
        let orders = matches!(self.shard, ShardId::Orders { .. });
        let hurries = orders && self.is_whole() || self.sees_silence(now, timing);
        let limit = if hurries { timing.suspect } else { timing.gone };
        now.since(self.heard.get()) >= limit
    }

    /// Tells whether a server does not answer the deputy's renewals either: its keys wait for a holder
    /// that may move them.
    fn sees_silence(&self, now: Millis, timing: &Timing) -> bool {
        let sessions = self.sessions.borrow();
        sessions
            .values()
            .any(|s| s.health(now, timing) != Health::Up)
    }

    /// Tells whether every claim of a part of the order ids has been copied.
    pub(crate) fn is_whole(&self) -> bool {
        self.fence.get().version > 0
    }

    /// Tells whether this process may act on the copy now.
    pub(crate) fn may_act(&self, controller: &Controller, now: Millis) -> bool {
        self.is_needed(controller, now) && self.holder.borrow().may_act(now)
    }

    /// Remembers that something was kept valid at `now`.
    pub(crate) fn acts(&self, now: Millis) {
        self.acted.set(Some(now));
    }

    /// Tells whether the holder said that it has given the shard up.
    pub(crate) fn is_released(&self) -> bool {
        self.released.get()
    }

    fn quiet(&self, now: Millis) -> Millis {
        self.acted.get().map_or(Millis::MAX, |at| now.since(at))
    }
}

/// Takes in a copy; `None` where this process knows a higher epoch.
pub(crate) fn take_in(controller: &Rc<Controller>, copy: DeputyCopy) -> Option<DeputyReply> {
    let now = controller.now();
    let deputy = find(controller, &copy, now)?;
    deputy.heard.set(now);
    deputy.told.set(false);
    deputy.released.set(copy.released);
    deputy.window.borrow_mut().blind_for(now, copy.blind);
    if copy.table.is_some() && copy.fence >= deputy.fence.get() {
        *deputy.table.borrow_mut() = copy.table;
        deputy.fence.set(copy.fence);
    } else if matches!(deputy.shard, ShardId::Orders { .. }) && copy.fence.version > 0 {
        deputy.fence.set(copy.fence);
    }
    let orders = matches!(deputy.shard, ShardId::Orders { .. });
    if orders || copy.fence == deputy.fence.get() {
        *deputy.renew.borrow_mut() = copy.renew;
        deputy.holder.borrow_mut().set_witnesses(copy.witnesses);
    }
    Some(DeputyReply {
        known: deputy.fence.get(),
        quiet: deputy.quiet(now),
    })
}

fn find(controller: &Rc<Controller>, copy: &DeputyCopy, now: Millis) -> Option<Rc<Deputy>> {
    let mut all = controller.deputies.borrow_mut();
    if let Some(known) = all.get(&copy.shard) {
        let epoch = known.holder.borrow().epoch();
        if epoch > copy.fence.epoch {
            return None;
        }
        if epoch == copy.fence.epoch {
            return Some(Rc::clone(known));
        }
    }
    let deputy = Rc::new(Deputy::new(copy, now));
    all.insert(copy.shard.clone(), Rc::clone(&deputy));
    monoio::spawn(confirm_first(Rc::clone(controller), Rc::clone(&deputy)));
    Some(deputy)
}

/// Reads the record once: hearsay is no confirmation, and witnesses only prolong one.
async fn confirm_first(controller: Rc<Controller>, deputy: Rc<Deputy>) {
    let asked = controller.now();
    let Ok(Some(found)) = controller.store.get(&claims::key(&deputy.shard)).await else {
        return;
    };
    if let Some(record) = claims::parse(&found) {
        confirmed(&controller, &deputy, &record, asked);
    }
}

/// Takes in a record read from the store.
pub(crate) fn confirmed(
    controller: &Controller,
    deputy: &Deputy,
    record: &chicoryrail_ownership::ShardRecord,
    asked: Millis,
) {
    let mut holder = deputy.holder.borrow_mut();
    let named = record.deputy.as_ref() == Some(controller.own());
    if record.epoch == holder.epoch() && named && !record.released {
        holder.stored(asked, &controller.timing);
    }
}

/// Renews the sessions of silent holders' servers until the process ends.
pub(crate) async fn keep_sessions(controller: Rc<Controller>) {
    loop {
        controller.process.clock.sleep(TICK).await;
        let now = controller.now();
        for deputy in all(&controller) {
            let silent = now.since(deputy.heard.get());
            let lapsed = deputy.holder.borrow().left(now) == Millis::ZERO;
            if silent >= FORGET && lapsed && matches!(deputy.shard, ShardId::Service { .. }) {
                controller.deputies.borrow_mut().remove(&deputy.shard);
            }
            if !deputy.may_act(&controller, now) || holds(&controller, &deputy.shard, now) {
                continue;
            }
            if !deputy.told.replace(true) {
                let detail = format!("deputy silent_ms={}", silent.0);
                let events = &controller.process.events;
                events.record(EventKind::ShardTaken, deputy.shard.to_string(), detail);
                controller.route_news.raise();
            }
            renew(&controller, &deputy, now);
        }
    }
}

/// Returns all copies, in the order of their shards.
pub(crate) fn all(controller: &Controller) -> Vec<Rc<Deputy>> {
    controller.deputies.borrow().values().cloned().collect()
}

/// Tells whether this process acts on the shard as its holder.
pub(crate) fn holds(controller: &Controller, shard: &ShardId, now: Millis) -> bool {
    let held = controller.held.borrow();
    held.get(shard).is_some_and(|h| h.may_act(now))
}

fn renew(controller: &Rc<Controller>, deputy: &Rc<Deputy>, now: Millis) {
    let ShardId::Service { service, .. } = &deputy.shard else {
        return;
    };
    let config = controller.config();
    let Some(service) = config.service(service) else {
        return;
    };
    if service.kind == chicoryrail_core::Kind::Free {
        return;
    }
    let names = deputy.renew.borrow().clone();
    let mut sessions = deputy.sessions.borrow_mut();
    for server in service.servers.iter().filter(|s| names.contains(&s.name)) {
        let session = sessions
            .entry(server.name.clone())
            .or_insert_with(|| Session::new(server, now));
        if session.is_due(now) {
            session.set_floor(deputy.fence.get());
            let sound = session.holds_within(&owned_by(deputy, &server.name));
            let asof = session.asked(now, sound, &controller.timing);
            let (controller, deputy) = (Rc::clone(controller), Rc::clone(deputy));
            monoio::spawn(call(controller, deputy, server.clone(), asof));
        }
    }
}

/// Returns the slices that the copy gives to a server, the moving ones among them.
fn owned_by(deputy: &Deputy, server: &ServerName) -> Vec<Slice> {
    let table = deputy.table.borrow();
    let Some(table) = table.as_ref() else {
        return Vec::new();
    };
    let index = table.servers.iter().position(|s| s.name == *server);
    let own = |e: &&RouteEntry| Some(e.owner as usize) == index;
    table.entries.iter().filter(own).map(|e| e.slice).collect()
}

async fn call(
    controller: Rc<Controller>,
    deputy: Rc<Deputy>,
    server: Server,
    asof: Option<Millis>,
) {
    let now = controller.now();
    let mut answer = None;
    if deputy.may_act(&controller, now) {
        deputy.acts(now);
        let body = SessionBody {
            fence: deputy.fence.get(),
            asof: asof.unwrap_or_default(),
            valid: controller.timing.session,
        };
        answer = controller.targets.session(server.addr, &body).await.ok();
    }
    let mut sessions = deputy.sessions.borrow_mut();
    let Some(session) = sessions.get_mut(&server.name) else {
        return;
    };
    match answer {
        Some(answer) => {
            let answer = Answer {
                now: answer.now,
                instance: answer.instance,
                fence: answer.fence,
                slices: answer.slices,
            };
            session.answered(controller.now(), answer);
        }
        None => session.silent(),
    }
}
