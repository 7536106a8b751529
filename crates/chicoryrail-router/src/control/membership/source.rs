//! Selects the source from which this host gets store data: the store itself, or another host as relay.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::CoreHost;
use chicoryrail_ownership::is_strong;
use chicoryrail_ownership::should_join_core;
use chicoryrail_ownership::store_key::HOSTS;
use chicoryrail_ownership::store_key::host_key;
use rand::Rng;

use crate::control::config_feed::follow::LIVE;
use crate::control::config_feed::follow::apply_snapshot;
use crate::control::config_feed::store_calls::record_store_call;
use crate::state::Router;
use crate::state::Source;

/// Time between two checks of the source.
const SOURCE_CHECK_INTERVAL: Millis = Millis(50);

/// Time after reading the list of core hosts in which they exchange their first heartbeats. Without this delay each of
/// them would start by watching the store.
const PEER_DISCOVERY_TIME: Millis = Millis(150);

/// Time without a reply from any core host after which a leaf host watches the store itself.
const RELAY_SILENCE_MAX: Millis = Millis(1_500);

/// Largest random addition to [`RELAY_SILENCE_MAX`]. It spreads the calls of leaf hosts that lost their relays at the
/// same time.
const RELAY_SILENCE_JITTER: Millis = Millis(1_000);

/// Largest random delay before a host reads the list of core hosts at the first start of all hosts.
const FIRST_START_JITTER: Millis = Millis(500);

/// Further delay of weak hosts at the first start; the strong hosts are listed by then.
const FIRST_START_WEAK_DELAY: Millis = Millis(1_000);

/// Minimum time between two checks by a leaf host whether more core hosts are needed.
const CORE_CHECK_INTERVAL: Millis = Millis(1_000);

/// Largest random addition to [`CORE_CHECK_INTERVAL`].
const CORE_CHECK_JITTER: Millis = Millis(2_000);

/// Pause after a failed read of the core hosts.
const READ_RETRY_INTERVAL: Millis = Millis(200);

/// Selects the source again at short intervals, and notifies the tasks that use it when it changes.
pub(crate) async fn select_source(router: Rc<Router>) {
    let spread = rand::rng().random_range(0..RELAY_SILENCE_JITTER.0);
    let relay_timeout = RELAY_SILENCE_MAX + Millis(spread);
    loop {
        let source = preferred_source(&router, relay_timeout);
        let state = &router.source;
        if state.source.get() != source {
            log::info!(source:? = source, core = state.is_core_host.get(); "source");
            state.source.set(source);
            state.changed.notify();
        }
        router.process.clock.sleep(SOURCE_CHECK_INTERVAL).await;
    }
}

fn preferred_source(router: &Router, relay_timeout: Millis) -> Source {
    let now = router.now();
    let state = &router.source;
    let Some(core_hosts_read_at) = state.core_hosts_read_at.get() else {
        return Source::Unknown;
    };
    let peers = router.peers.borrow();
    let boot = router.boot();
    if state.is_core_host.get() {
        if now.since(core_hosts_read_at) < PEER_DISCOVERY_TIME {
            return Source::Unknown;
        }
        if peers.should_watch(now, (&boot.host, &router.host_state())) {
            return Source::Store;
        }
        let watcher = peers.select_watcher(now, &boot.host, &boot.dc);
        return watcher.map_or(Source::Store, Source::Relay);
    }
    if now.since(state.last_relay_reply.get().max(core_hosts_read_at)) > relay_timeout {
        return Source::Store;
    }
    let relay = peers.select_core_host(now, &boot.host, &boot.dc);
    relay.map_or(state.source.get(), Source::Relay)
}

/// Returns when this host should be a core host. A strong host that is needed at its first check returns at once; any
/// other returns when two checks in a row show the need.
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
        if !read_core_hosts(router).await {
            router.process.clock.sleep(READ_RETRY_INTERVAL).await;
            continue;
        }
        if strong && is_needed(router) {
            return;
        }
        // Many hosts may see the need for more core hosts at once. So a host joins only if it sees the need again at
        // the next check, after a random delay, when others may have joined.
        let mut needed_before = false;
        loop {
            let spread = rand::rng().random_range(0..CORE_CHECK_JITTER.0);
            router
                .process
                .clock
                .sleep(CORE_CHECK_INTERVAL + Millis(spread))
                .await;
            let needed = is_needed(router);
            if needed && needed_before {
                break;
            }
            needed_before = needed;
        }
        if read_core_hosts(router).await && is_needed(router) {
            return;
        }
    }
}

/// Reads the core hosts from the store; returns `true` if the call succeeded.
async fn read_core_hosts(router: &Rc<Router>) -> bool {
    match router.store.snapshot(&LIVE.prefix()).await {
        Ok(all) => {
            record_store_call(router, "snapshot", None);
            apply_snapshot(router, LIVE, &all);
            let known_at = router
                .source
                .core_hosts_read_at
                .get()
                .unwrap_or(router.now());
            router.source.core_hosts_read_at.set(Some(known_at));
            true
        }
        Err(e) => {
            record_store_call(router, "snapshot", Some(&e));
            false
        }
    }
}

/// Returns `true` if this host should be a core host in addition to those that the store lists.
fn is_needed(router: &Router) -> bool {
    let view = router.store_view.borrow();
    if view.own(&host_key(&router.boot().host)).is_some() {
        return true;
    }
    let listed = view.own_with_prefix(HOSTS);
    let listed = listed.filter_map(|(_, item)| CoreHost::from_value(&item.value));
    should_join_core(router.power(), listed)
}
