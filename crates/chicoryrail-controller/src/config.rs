//! The configuration in force: from the store, or from peers that know a newer one.

use std::collections::BTreeMap;
use std::rc::Rc;

use chicoryrail_core::Bundle;
use chicoryrail_core::Config;
use chicoryrail_core::Digest;
use chicoryrail_core::Head;
use chicoryrail_core::HostName;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::TeamName;
use chicoryrail_ownership::RollOut;
use chicoryrail_platform::Record;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::Invariant;
use chicoryrail_wire::ConfigReply;
use chicoryrail_wire::ConfigRequest;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use chicoryrail_wire::Role;
use serde::Deserialize;

use crate::Controller;

pub(crate) const HEAD: &str = "config/head";
/// Length of one watch; a call a minute and a half for each watching controller.
const WATCH: Millis = Millis(30_000);
/// Controllers of a data centre that watch; two, so that one may be lost.
const WATCHERS: usize = 2;
/// Rest after a call that failed.
const AGAIN: Millis = Millis(300);
/// Longest time a peer may take to hand a configuration on.
const PEER_LIMIT: Millis = Millis(1_000);

#[derive(Deserialize)]
struct StoredBundle {
    text: String,
}

/// Keeps the configuration up to date until the process ends.
pub(crate) async fn follow(controller: Rc<Controller>) {
    monoio::spawn(follow_peers(Rc::clone(&controller)));
    let mut after = 0;
    loop {
        if after > 0 && !watches(&controller) {
            controller.process.clock.sleep(AGAIN).await;
            continue;
        }
        match controller.store.watch(HEAD, after, WATCH).await {
            Ok((revision, records)) => {
                let whole = take_records(&controller, &records).await;
                if whole {
                    after = revision;
                } else {
                    controller.process.clock.sleep(AGAIN).await;
                }
            }
            Err(_) => controller.process.clock.sleep(AGAIN).await,
        }
    }
}

/// Tells whether this process is one of the few of its data centre that watch the store.
///
/// A waiting watch is a paid call, so their number must not grow with the hosts; the others learn of
/// a version from the next heartbeat and fetch it from the peer that has it.
fn watches(controller: &Controller) -> bool {
    let at = KeyHash::of(HEAD);
    let own = controller.own();
    let near = {
        let beats = controller.beats.borrow();
        let same = |h: &HostName| {
            let beat = beats.get(&(h.clone(), Role::Controller));
            h == own || beat.is_some_and(|(b, _)| b.dc == controller.settings.host.dc)
        };
        let live = controller.live_controllers(controller.now());
        live.into_iter().filter(|h| same(h)).collect::<Vec<_>>()
    };
    let weight = |h: &HostName| at.weight(h.as_str());
    near.iter().filter(|h| weight(h) > weight(own)).count() < WATCHERS
}

/// Asks peers as soon as a heartbeat or a witness shows a newer version, and while there is none.
async fn follow_peers(controller: Rc<Controller>) {
    loop {
        controller.process.clock.sleep(Millis(100)).await;
        let known = controller.config().version();
        if known > 0 && controller.highest.get() <= known {
            continue;
        }
        ask_peers(&controller, known).await;
    }
}

async fn ask_peers(controller: &Controller, known: u64) {
    for host in newer(controller, known).into_iter().take(3) {
        let Some(peer) = controller.controller_of(&host) else {
            continue;
        };
        let request = Request::Config(ConfigRequest {
            host: controller.own().clone(),
            known,
            wait: Millis::ZERO,
        });
        if let Ok(Reply::Config(reply)) = peer.call(&request, PEER_LIMIT).await
            && let Some(config) = reply.config
        {
            apply(controller, config);
            return;
        }
    }
}

/// Returns the hosts whose controllers have a newer version in force, the highest first.
///
/// A process that has just started needs so many of them that one has every accepted version: it
/// may itself have been in the majority that made it accepted, and one late peer would take it back.
fn newer(controller: &Controller, known: u64) -> Vec<HostName> {
    let beats = controller.beats.borrow();
    let now = controller.now();
    let alive = beats
        .values()
        .filter(|(b, at)| b.role == Role::Controller && now.since(*at) < controller.timing.suspect);
    let mut newer: Vec<(u64, HostName)> = alive
        .filter(|(b, _)| b.version > known)
        .map(|(b, _)| (b.version, b.host.clone()))
        .collect();
    if known == 0 && newer.len() < RollOut::sources(controller.hosts.borrow().len()) {
        return Vec::new();
    }
    newer.sort_by(|a, b| b.cmp(a));
    newer.into_iter().map(|(_, host)| host).collect()
}

/// Answers a peer that asks for a newer configuration, holding the call for at most its wait.
pub(crate) async fn answer(controller: &Controller, request: &ConfigRequest) -> ConfigReply {
    let until = controller.now() + request.wait.min(WATCH);
    loop {
        let seen = controller.config_news.count();
        let config = controller.config();
        let left = until.since(controller.now());
        let newer = config.version() > request.known;
        if newer || left == Millis::ZERO {
            return ConfigReply {
                version: config.version(),
                config: newer.then(|| (*config).clone()),
            };
        }
        controller.config_news.wait(seen, left).await;
    }
}

async fn take_records(controller: &Controller, records: &[Record]) -> bool {
    let head = records.iter().find(|r| r.key == HEAD);
    let Some(text) = head.and_then(|r| r.value.as_ref()) else {
        return true;
    };
    let head: Head = match serde_json::from_str(text) {
        Ok(head) => head,
        Err(e) => {
            let events = &controller.process.events;
            events.record(EventKind::Violation, HEAD, format!("error={e}"));
            return true;
        }
    };
    if head.version <= controller.config().version() {
        return true;
    }
    let Some(bundles) = bundles(controller, &head).await else {
        return false;
    };
    apply(controller, Config { head, bundles });
    true
}

/// Tells whether the store has no newer version than the one in force; for a holder that relies on
/// the store's confirmation.
pub(crate) async fn is_newest(controller: &Controller) -> bool {
    let Ok(Some(found)) = controller.store.get(HEAD).await else {
        return false;
    };
    let head = found.value.as_deref().map(serde_json::from_str::<Head>);
    matches!(head, Some(Ok(head)) if head.version <= controller.config().version())
}

/// Collects the head's bundles: those in force by their digests, the others from the store.
async fn bundles(controller: &Controller, head: &Head) -> Option<BTreeMap<TeamName, Bundle>> {
    let current = controller.config();
    let mut all = BTreeMap::new();
    for (team, digest) in &head.bundles {
        let same = current.head.bundles.get(team) == Some(digest);
        let bundle = match current.bundles.get(team).filter(|_| same) {
            Some(bundle) => bundle.clone(),
            None => fetch(controller, digest).await?,
        };
        all.insert(team.clone(), bundle);
    }
    Some(all)
}

async fn fetch(controller: &Controller, digest: &Digest) -> Option<Bundle> {
    let key = format!("config/bundle/{digest}");
    let record = controller.store.get(&key).await.ok()??;
    let stored: StoredBundle = serde_json::from_str(record.value.as_deref()?).ok()?;
    match Bundle::parse(&stored.text) {
        Ok(bundle) => Some(bundle),
        Err(e) => {
            let events = &controller.process.events;
            events.record(EventKind::Violation, key, format!("error={e}"));
            None
        }
    }
}

/// Puts a configuration in force, unless a higher one is.
pub(crate) fn apply(controller: &Controller, config: Config) {
    if config.version() <= controller.config().version() {
        return;
    }
    let version = config.version();
    let all = &controller.process.invariants;
    all.rises(
        Invariant::ConfigForward,
        &controller.config().version(),
        &version,
    );
    let outs = config.head.outs.hosts.clone();
    *controller.config.borrow_mut() = Rc::new(config);
    controller
        .highest
        .set(controller.highest.get().max(version));
    controller.controllers.borrow_mut().set_outs(&outs);
    controller.gates.borrow_mut().set_outs(&outs);
    controller.process.set_ready(true);
    let events = &controller.process.events;
    events.record(EventKind::ConfigApplied, format!("version-{version}"), "");
    controller.config_news.raise();
}
