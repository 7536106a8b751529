//! Decides from whom this host hears what the store says.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::CoreHost;
use chicoryrail_ownership::is_strong;
use chicoryrail_ownership::joins_core;
use chicoryrail_ownership::store_key::HOSTS;
use chicoryrail_ownership::store_key::host_key;
use rand::Rng;

use crate::control::config_feed::follow::LIVE;
use crate::control::config_feed::follow::note;
use crate::control::config_feed::follow::take_snapshot;
use crate::state::Router;
use crate::state::Source;

/// Time between two looks.
const SOURCE_CHECK_INTERVAL: Millis = Millis(50);

/// Time after the list of core hosts was read in which they hear each other, so that not each of them starts by
/// watching the store.
const PEER_DISCOVERY_TIME: Millis = Millis(150);

/// Time without a reply of any core host after which a leaf host goes to the store, and the time over which leaf
/// hosts that lost their relays together spread that.
const RELAY_SILENCE_MAX: Millis = Millis(1_500);
const RELAY_SILENCE_JITTER: Millis = Millis(1_000);

/// At the first start of all hosts, the time over which strong ones look who is there, and after which weak ones
/// do: the strong ones are listed by then.
const FIRST_START_JITTER: Millis = Millis(500);
const FIRST_START_WEAK_DELAY: Millis = Millis(1_000);

/// Time between two looks of a weak host whether more core hosts are needed, at least and over which they spread.
const CORE_CHECK_INTERVAL: Millis = Millis(1_000);
const CORE_CHECK_JITTER: Millis = Millis(2_000);

/// Pause after a failed read of the core hosts.
const READ_RETRY_INTERVAL: Millis = Millis(200);

/// Keeps the choice of the source up to date.
pub(crate) async fn choose_source(router: Rc<Router>) {
    let spread = rand::rng().random_range(0..RELAY_SILENCE_JITTER.0);
    let alone = RELAY_SILENCE_MAX + Millis(spread);
    loop {
        let source = choose(&router, alone);
        let state = &router.source;
        if state.source.get() != source {
            log::info!(source:? = source, core = state.core.get(); "source");
            state.source.set(source);
            state.changed.notify();
        }
        router.process.clock.sleep(SOURCE_CHECK_INTERVAL).await;
    }
}

fn choose(router: &Router, alone: Millis) -> Source {
    let now = router.now();
    let state = &router.source;
    let Some(listed) = state.listed.get() else {
        return Source::Unknown;
    };
    let peers = router.peers.borrow();
    let boot = router.boot();
    if state.core.get() {
        if now.since(listed) < PEER_DISCOVERY_TIME {
            return Source::Unknown;
        }
        if peers.should_watch(now, (&boot.host, &router.host_state())) {
            return Source::Store;
        }
        let watcher = peers.watcher_for(now, &boot.host, &boot.dc);
        return watcher.map_or(Source::Store, Source::Relay);
    }
    if now.since(state.replied.get().max(listed)) > alone {
        return Source::Store;
    }
    let relay = peers.core_for(now, &boot.host, &boot.dc);
    relay.map_or(state.source.get(), Source::Relay)
}

/// Returns once this host is to be a core host.
pub(crate) async fn join_core(router: &Rc<Router>) {
    let strong = is_strong(router.power());
    if router.boot().first_start {
        let spread = Millis(rand::rng().random_range(0..FIRST_START_JITTER.0));
        let wait = if strong {
            spread
        } else {
            FIRST_START_WEAK_DELAY + spread
        };
        router.process.clock.sleep(wait).await;
    }
    loop {
        if !read_core(router).await {
            router.process.clock.sleep(READ_RETRY_INTERVAL).await;
            continue;
        }
        if strong && is_needed(router) {
            return;
        }
        // One that lacks others waits for a while, and looks again: many may lack them at once.
        let mut lacked = false;
        loop {
            let spread = rand::rng().random_range(0..CORE_CHECK_JITTER.0);
            router
                .process
                .clock
                .sleep(CORE_CHECK_INTERVAL + Millis(spread))
                .await;
            let needed = is_needed(router);
            if needed && lacked {
                break;
            }
            lacked = needed;
        }
        if read_core(router).await && is_needed(router) {
            return;
        }
    }
}

/// Reads the core hosts from the store.
async fn read_core(router: &Rc<Router>) -> bool {
    match router.store.snapshot(&LIVE.prefix()).await {
        Ok(all) => {
            note(router, "snapshot", None);
            take_snapshot(router, LIVE, &all);
            let listed = router.source.listed.get().unwrap_or(router.now());
            router.source.listed.set(Some(listed));
            true
        }
        Err(e) => {
            note(router, "snapshot", Some(&e));
            false
        }
    }
}

/// Tells whether this host should be a core host, by those that the store lists.
fn is_needed(router: &Router) -> bool {
    let view = router.view.borrow();
    if view.own(&host_key(&router.boot().host)).is_some() {
        return true;
    }
    let listed = view.own_below(HOSTS);
    let listed = listed.filter_map(|(_, item)| CoreHost::from_value(&item.value));
    joins_core(router.power(), listed)
}
