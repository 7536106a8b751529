//! Watches of the store's feeds, and the measured calls to the store.

use std::pin::pin;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::store_key;
use chicoryrail_platform::Changes;
use chicoryrail_platform::Feed;
use chicoryrail_platform::Snapshot;
use chicoryrail_platform::StoreError;
use futures_util::future::Either;
use futures_util::future::select;
use rand::Rng;

use crate::control::config_feed::config_arrival::Arrival;
use crate::control::config_feed::config_arrival::track_config;
use crate::control::config_feed::store_calls::record_store_call;
use crate::control::crashes::apply_block;
use crate::messages::FEED_COUNT;
use crate::state::Router;
use crate::state::ViewChange;

/// Longest wait of one watch. A silent connection is usually detected sooner, by TCP keep-alive probes or by other
/// calls; this bounds the time if a proxy in between answers the probes. The revision from which the next watch
/// continues is as old as this wait, and must be within the store's history (20 s).
const WATCH_MAX: Millis = Millis(15_000);

/// Pause after a watch that returned changes. Changes come in groups, and each watch that returns costs a call.
const BATCH_PAUSE_MIN: Millis = Millis(150);

/// Pause per host after changes to entries of servers and hosts, at a host that does not lead: the more hosts there
/// are, the larger the groups in which servers start and stop. It is at most `BATCH_PAUSE_MAX`, which is safe since a
/// draining server serves for some seconds more.
const BATCH_PAUSE_PER_HOST: Millis = Millis(8);
const BATCH_PAUSE_MAX: Millis = Millis(600);

/// First pause of the backoff after a failed call; it is doubled up to [`RETRY_BACKOFF_MAX`].
const RETRY_BACKOFF_MIN: Millis = Millis(100);
const RETRY_BACKOFF_MAX: Millis = Millis(800);

/// The feed of the leader's key and the core hosts' keys.
pub(crate) const LIVE: Feed = Feed::Own(store_key::LIVE);

/// The feed of the key records.
const KEY_RECORDS: Feed = Feed::Own(store_key::KEYS);

/// Age of the leader's last heartbeat up to which this host relies on the leader's key changes.
const LEADER_TIMEOUT: Millis = Millis(1_000);

/// All feeds whose changes every host must receive at once: configuration, servers, leader and core hosts.
pub(crate) const FEEDS: [Feed; FEED_COUNT] = [Feed::Operator, Feed::Servers, LIVE];

/// Starts a watch of each feed, which runs while this host watches the store itself.
///
/// Each feed has its own watch and its own pause after changes. Key records are not watched: they are written twice for
/// each move of keys, and would wake every host.
pub(crate) fn follow_feeds(router: &Rc<Router>) {
    for feed in FEEDS {
        monoio::spawn(follow(Rc::clone(router), feed));
    }
    monoio::spawn(read_key_records(Rc::clone(router)));
}

/// Reads the key records at the start, and while no heartbeats arrive from the leader, for this host and those that
/// follow it. Otherwise a host that the leader can't reach, or can't reach yet, would send requests to former owners.
async fn read_key_records(router: Rc<Router>) {
    loop {
        if !router.source.watches() {
            router
                .source
                .changed
                .wait_past(router.source.changed.version())
                .await;
            continue;
        }
        match router.store.snapshot(&KEY_RECORDS.prefix()).await {
            Ok(all) => {
                record_store_call(&router, "records", None);
                let view_changes =
                    router
                        .store_view
                        .borrow_mut()
                        .replace(router.now(), KEY_RECORDS, &all);
                router.apply_view_changes(&view_changes);
            }
            Err(e) => record_store_call(&router, "records", Some(&e)),
        }
        router.process.clock.sleep(LEADER_TIMEOUT).await;
        while router.leader_seen_within(LEADER_TIMEOUT) || !router.store_up.get() {
            router.process.clock.sleep(LEADER_TIMEOUT).await;
        }
    }
}

/// Watches a feed while this host watches the store, with backoff after failures.
async fn follow(router: Rc<Router>, feed: Feed) {
    let mut pause = RETRY_BACKOFF_MIN;
    loop {
        let seen = router.source.changed.version();
        if !router.source.watches() {
            router.source.changed.wait_past(seen).await;
            continue;
        }
        let watch_end = {
            let watch = pin!(follow_once(&router, feed, &mut pause));
            let changed = pin!(router.source.changed.wait_past(seen));
            match select(watch, changed).await {
                Either::Left((end, _)) => end,
                Either::Right(_) => continue,
            }
        };
        match watch_end {
            WatchEnd::Gap => {}
            WatchEnd::Failed(error) => record_store_call(&router, "watch", Some(&error)),
        }
        let jitter = rand::rng().random_range(0..=pause.0 / 4);
        router.process.clock.sleep(pause + Millis(jitter)).await;
        pause = pause.saturating_mul(2).min(RETRY_BACKOFF_MAX);
    }
}

/// Why a watch ended.
enum WatchEnd {
    /// The watch was aborted while the store replies, or the store had an outage: changes may be missing.
    Gap,
    /// The store does not reply, or it refuses the call.
    Failed(StoreError),
}

/// Reads a snapshot of a feed and watches from its revision, until a call fails.
///
/// An aborted watch is not resumed from its last revision. The store aborts its watches a moment before it drops its
/// history. A watch sent in that moment from an older revision gets no reply until the next change, and an operator's
/// earlier change would take seconds to be in force.
async fn follow_once(router: &Router, feed: Feed, pause: &mut Millis) -> WatchEnd {
    let store = &router.store;
    let prefix = feed.prefix();
    let sent = router.now();
    let all = match store.snapshot(&prefix).await {
        Ok(all) => all,
        Err(e) => return WatchEnd::Failed(e),
    };
    record_store_call(router, "snapshot", None);
    track_config(router, &Arrival::Store, || {
        apply_snapshot(router, feed, &all);
    });
    if feed == Feed::Operator {
        router.organisations.mark_current(sent);
    }
    loop {
        let after = router
            .store_view
            .borrow()
            .read_revision(feed)
            .unwrap_or_default();
        let recoveries = router.store_recovered.version();
        let lost = router.store_lost.get();
        let watch = pin!(store.changes(&prefix, after, WATCH_MAX));
        let recovered = pin!(router.store_recovered.wait_past(recoveries));
        let changes = match select(watch, recovered).await {
            Either::Left((changes, _)) => changes,
            // The watch was sent before an outage, so its connection may be dead.
            Either::Right(_) => return WatchEnd::Gap,
        };
        let changes = match changes {
            // Leases expire during a store outage, and a watch from before it may still report that. If this were
            // applied, no servers would be left although they run: they register again soon after the store returns.
            Ok(_) if router.store_lost.get() != lost && !router.store_up.get() => {
                log::info!(part:? = feed, after = after; "watch_not_believed");
                continue;
            }
            Ok(changes) => changes,
            Err(StoreError::HistoryGone { after }) => {
                log::info!(part:? = feed, after = after; "history_gone");
                return WatchEnd::Gap;
            }
            // The snapshot that follows shows whether the store replies. If an aborted watch counted as an outage at
            // once, all hosts that follow this one would select another relay.
            Err(e) => {
                log::info!(part:? = feed, after = after, error:% = e; "watch_cut");
                return WatchEnd::Gap;
            }
        };
        record_store_call(router, "watch", None);
        *pause = RETRY_BACKOFF_MIN;
        let mut is_changed = false;
        track_config(router, &Arrival::Store, || {
            is_changed = apply_changes(router, feed, &changes);
        });
        if is_changed {
            router.process.clock.sleep(batch_pause(router, feed)).await;
        }
    }
}

/// Returns the index of a feed in [`FEEDS`]; `None` for the key records.
fn feed_index(feed: Feed) -> Option<usize> {
    FEEDS.iter().position(|f| *f == feed)
}

/// Applies a snapshot of a feed, and notifies the hosts that follow this one. A snapshot older than
/// what is known of the feed is ignored.
pub(crate) fn apply_snapshot(router: &Router, feed: Feed, all: &Snapshot) {
    let index = feed_index(feed);
    if index.is_some_and(|i| !router.feed_logs.borrow_mut()[i].replace(all)) {
        return;
    }
    if let Some(i) = index {
        router.source.diverged[i].set(false);
    }
    let view_changes = router
        .store_view
        .borrow_mut()
        .replace(router.now(), feed, all);
    router.apply_view_changes(&view_changes);
    apply_blocks(router, &view_changes);
    router.feed_changed.notify();
}

/// Applies changes of a feed, and notifies the hosts that follow this one; returns `true` if the view changed.
pub(crate) fn apply_changes(router: &Router, feed: Feed, changes: &Changes) -> bool {
    let mut logs = router.feed_logs.borrow_mut();
    let fresh = match feed_index(feed) {
        Some(i) => logs[i].apply(changes),
        None => changes.changes.iter().collect(),
    };
    drop(logs);
    let now = router.now();
    let view_changes: Vec<_> = {
        let mut view = router.store_view.borrow_mut();
        view.advance(feed, changes.revision);
        let fresh = fresh.into_iter();
        fresh.filter_map(|c| view.apply(now, c)).collect()
    };
    router.apply_view_changes(&view_changes);
    apply_blocks(router, &view_changes);
    router.feed_changed.notify();
    !view_changes.is_empty()
}

/// Applies the records of blocked requests among the changes.
fn apply_blocks(router: &Router, changes: &[ViewChange]) {
    for change in changes {
        if let ViewChange::Own(key) = change
            && key.starts_with(store_key::CRASHES)
        {
            apply_block(router, key);
        }
    }
}

/// Returns the pause after changes of a feed, in which further changes accumulate.
fn batch_pause(router: &Router, feed: Feed) -> Millis {
    if feed == Feed::Operator || router.leading_term.get() > 0 {
        return BATCH_PAUSE_MIN;
    }
    let hosts = router.peers.borrow().sharing_hosts() as u64;
    BATCH_PAUSE_PER_HOST
        .saturating_mul(hosts)
        .clamp(BATCH_PAUSE_MIN, BATCH_PAUSE_MAX)
}
