//! Follows the parts of the store.

use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_ownership::store_key;
use chicoryrail_platform::Changes;
use chicoryrail_platform::Feed;
use chicoryrail_platform::Snapshot;
use chicoryrail_platform::StoreError;
use futures_util::future::Either;
use futures_util::future::select;
use rand::Rng;

use crate::state::Router;
use crate::talk::FEED_COUNT;

/// Longest wait of one watch. A connection that goes silent is noticed sooner by probes of the system or
/// by other calls; this bounds the time where a relay answers the probes. The revision from which a watch goes
/// on is as old as it waited, and must be within the store's history (20 s).
const WATCH_MAX: Millis = Millis(15_000);

/// Pause after a watch that brought news. Changes come in groups, and each answered watch is a call.
const GROUP_MIN: Millis = Millis(150);

/// The same for the entries of servers and hosts at a host that does not lead, for each host there is: the more there
/// are, the larger the groups in which servers come and go. At most the longest: a server that leaves serves for
/// seconds more.
const GROUP_PER_HOST: Millis = Millis(8);
const GROUP_MAX: Millis = Millis(600);

/// Pause after a call that failed, at first and at most.
const RETRY_BACKOFF_MIN: Millis = Millis(100);
const RETRY_BACKOFF_MAX: Millis = Millis(800);

/// The leader's and the hosts' keys.
pub(crate) const LIVE: Feed = Feed::Own(store_key::LIVE);

/// The records of who holds which keys.
const RECORDS: Feed = Feed::Own(store_key::KEYS);

/// Age of the leader's last heartbeat up to which it is trusted to tell of changed records.
const LEADER_TIMEOUT: Millis = Millis(1_000);

/// All parts that every host must know of at once: configuration, servers, leader and core hosts.
pub(crate) const FEEDS: [Feed; FEED_COUNT] = [Feed::Operator, Feed::Servers, LIVE];

/// Follows these parts while this host watches the store itself.
///
/// Each has a watch of its own, so that no host is woken by the records, which are written twice for each move of
/// keys, and each part is looked at as often as it must be.
pub(crate) fn follow_all(router: &Rc<Router>) {
    for feed in FEEDS {
        monoio::spawn(follow(Rc::clone(router), feed));
    }
    monoio::spawn(read_records(Rc::clone(router)));
}

/// Reads the records of who holds which keys at the start, and while no leader is heard, for this host and those that
/// follow it: a host that the leader can't reach, or can't reach yet, would send to former holders.
async fn read_records(router: Rc<Router>) {
    loop {
        if !router.source.watches() {
            router
                .source
                .changed
                .after(router.source.changed.count())
                .await;
            continue;
        }
        match router.store.snapshot(&RECORDS.prefix()).await {
            Ok(all) => {
                note(&router, "records", None);
                let told = router
                    .view
                    .borrow_mut()
                    .replace(router.now(), RECORDS, &all);
                router.believe(&told);
            }
            Err(e) => note(&router, "records", Some(&e)),
        }
        router.process.clock.sleep(LEADER_TIMEOUT).await;
        while router.hears_leader(LEADER_TIMEOUT) || !router.store_up.get() {
            router.process.clock.sleep(LEADER_TIMEOUT).await;
        }
    }
}

/// Follows a part of the store.
async fn follow(router: Rc<Router>, feed: Feed) {
    let mut pause = RETRY_BACKOFF_MIN;
    loop {
        let seen = router.source.changed.count();
        if !router.source.watches() {
            router.source.changed.after(seen).await;
            continue;
        }
        let ended = {
            let following = pin!(follow_once(&router, feed, &mut pause));
            let changed = pin!(router.source.changed.after(seen));
            match select(following, changed).await {
                Either::Left((error, _)) => error,
                Either::Right(_) => continue,
            }
        };
        match ended {
            WatchEnd::Gap => {}
            WatchEnd::Failed(error) => note(&router, "watch", Some(&error)),
        }
        let jitter = rand::rng().random_range(0..=pause.0 / 4);
        router.process.clock.sleep(pause + Millis(jitter)).await;
        pause = pause.times(2).min(RETRY_BACKOFF_MAX);
    }
}

/// Why a watch ended.
enum WatchEnd {
    /// It was cut while the store answers, or the store was away: changes may be missing.
    Gap,
    /// The store does not answer, or refuses.
    Failed(StoreError),
}

/// Reads everything and watches from there, until a call fails.
///
/// A watch is not taken up again where it was cut. When the store forgets its history, it cuts its watches a moment
/// before: one sent in that moment from an older revision hears nothing until the next change, and an operator's
/// change from before it would not be in force for seconds.
async fn follow_once(router: &Router, feed: Feed, pause: &mut Millis) -> WatchEnd {
    let store = &router.store;
    let prefix = feed.prefix();
    let sent = router.now();
    let all = match store.snapshot(&prefix).await {
        Ok(all) => all,
        Err(e) => return WatchEnd::Failed(e),
    };
    note(router, "snapshot", None);
    take_snapshot(router, feed, &all);
    if feed == Feed::Operator {
        router.organisations.prove_current(sent);
    }
    loop {
        let after = router.view.borrow().heard(feed).unwrap_or_default();
        let returns = router.store_returns.count();
        let lost = router.store_lost.get();
        let watch = pin!(store.changes(&prefix, after, WATCH_MAX));
        let returned = pin!(router.store_returns.after(returns));
        let changes = match select(watch, returned).await {
            Either::Left((changes, _)) => changes,
            // The watch was sent before the outage: its connection may be silent for good.
            Either::Right(_) => return WatchEnd::Gap,
        };
        let changes = match changes {
            // Leases end while the store is away, and a watch that was sent before may still be told so. Taken at
            // that all servers would be left, although they live: their entries are back soon after the store.
            Ok(_) if router.store_lost.get() != lost && !router.store_up.get() => {
                log::info!(part:? = feed, after = after; "watch_not_believed");
                continue;
            }
            Ok(changes) => changes,
            Err(StoreError::HistoryGone { after }) => {
                log::info!(part:? = feed, after = after; "history_gone");
                return WatchEnd::Gap;
            }
            // Whether the store answers is seen when everything is read again: taken for an outage at once, a cut
            // watch would send all hosts that follow this one to another.
            Err(e) => {
                log::info!(part:? = feed, after = after, error:% = e; "watch_cut");
                return WatchEnd::Gap;
            }
        };
        note(router, "watch", None);
        *pause = RETRY_BACKOFF_MIN;
        if take_changes(router, feed, &changes) {
            router.process.clock.sleep(group_time(router, feed)).await;
        }
    }
}

/// Returns the place of a part among [`FEEDS`].
fn feed_number(feed: Feed) -> Option<usize> {
    FEEDS.iter().position(|f| *f == feed)
}

/// Takes in everything that a part holds.
pub(crate) fn take_snapshot(router: &Router, feed: Feed, all: &Snapshot) {
    let at = feed_number(feed);
    if at.is_some_and(|at| !router.feed_logs.borrow_mut()[at].replace(all)) {
        return;
    }
    let told = router.view.borrow_mut().replace(router.now(), feed, all);
    router.believe(&told);
    router.news.notify();
}

/// Takes in what changed in a part; tells whether that changed what is believed.
pub(crate) fn take_changes(router: &Router, feed: Feed, changes: &Changes) -> bool {
    let mut logs = router.feed_logs.borrow_mut();
    let fresh = match feed_number(feed) {
        Some(at) => logs[at].apply(changes),
        None => changes.changes.iter().collect(),
    };
    drop(logs);
    let now = router.now();
    let told: Vec<_> = {
        let mut view = router.view.borrow_mut();
        view.hear(feed, changes.revision);
        let fresh = fresh.into_iter();
        fresh.filter_map(|c| view.apply(now, c)).collect()
    };
    router.believe(&told);
    router.news.notify();
    !told.is_empty()
}

/// Returns how long to wait for more changes of a part that had one.
fn group_time(router: &Router, feed: Feed) -> Millis {
    if feed == Feed::Operator || router.leads.get() > 0 {
        return GROUP_MIN;
    }
    let hosts = router.peers.borrow().sharing() as u64;
    GROUP_PER_HOST.times(hosts).clamp(GROUP_MIN, GROUP_MAX)
}

/// Makes a call to the store, and notes its time and whether it was answered.
pub(crate) async fn call<T>(
    router: &Router,
    name: &str,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let started = Instant::now();
    let result = call.await;
    let seconds = started.elapsed().as_secs_f64();
    router
        .counters
        .store_took
        .with_label_values(&[name])
        .observe(seconds);
    note(router, name, result.as_ref().err());
    result
}

/// Notes whether the store answered a call, and logs when that changes.
pub(crate) fn note(router: &Router, call: &str, error: Option<&StoreError>) {
    let down = error.is_some_and(StoreError::is_outage);
    if down {
        router.store_lost.set(Some(router.now()));
    }
    let result = if down { "outage" } else { "answered" };
    router
        .counters
        .store
        .with_label_values(&[call, result])
        .inc();
    if router.store_up.get() != down {
        return;
    }
    router.store_up.set(!down);
    router.news.notify();
    if let Some(e) = error.filter(|_| down) {
        log::warn!(call = call, error:% = e; "store_lost");
    } else {
        router.view.borrow_mut().store_back(router.now());
        router.store_returns.notify();
        log::info!(call = call; "store_back");
    }
}
