//! Gets the store's data and the leader's key assignments from a relay by long polling.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::HostState;
use chicoryrail_platform::FeedNews;
use chicoryrail_runtime::HttpClient;
use monoio::time::timeout;

use crate::control::config_feed::config_arrival::Arrival;
use crate::control::config_feed::config_arrival::track_config;
use crate::control::config_feed::follow::FEEDS;
use crate::control::config_feed::follow::apply_changes;
use crate::control::config_feed::follow::apply_snapshot;
use crate::control::config_feed::relay::BATCH_TIME;
use crate::control::config_feed::relay_poll::Polled;
use crate::control::config_feed::relay_poll::poll;
use crate::control::crashes::apply_news;
use crate::control::scheduling;
use crate::messages::ConfigAge;
use crate::messages::CrashUpdate;
use crate::messages::FEED_COUNT;
use crate::messages::FollowerAnswer;
use crate::messages::KeyMap;
use crate::messages::KeyMapChanges;
use crate::messages::RelayAnswer;
use crate::messages::RelayReply;
use crate::state::Router;
use crate::state::Source;

/// Pause after a failure.
const FAILURE_PAUSE: Millis = Millis(60);

/// Pause after a reply with news of requests that end servers, so that a flood of such requests does not become one of
/// polls.
const CRASH_NEWS_PAUSE: Millis = Millis(5);

/// Time between two attempts to reach a relay by a leaf host that watches the store because it found none.
const RELAY_RETRY_INTERVAL: Millis = Millis(1_000);

/// Polls a relay while this host does not watch the store itself, and applies its replies.
///
/// A leaf host that watches the store also polls a core host at intervals, to find out when a relay replies again.
pub(crate) async fn follow_relay(router: Rc<Router>) {
    let client = HttpClient::default();
    loop {
        let seen = router.source.changed.version();
        let relay = match router.source.source.get() {
            Source::Relay(addr) => Some(addr),
            Source::Store if !router.source.is_core_host.get() => {
                router.process.clock.sleep(RELAY_RETRY_INTERVAL).await;
                let boot = router.boot();
                let peers = router.peers.borrow();
                peers.select_core_host(router.now(), &boot.host, &boot.dc)
            }
            Source::Store | Source::Unknown => None,
        };
        let Some(addr) = relay else {
            let _ = timeout(
                RELAY_RETRY_INTERVAL.to_duration(),
                router.source.changed.wait_past(seen),
            )
            .await;
            continue;
        };
        let sent = router.now();
        let known_crashes = router.source.crash_version.get();
        let pause = match poll(&router, &client, addr, Some(known_crashes)).await {
            Ok(Polled {
                answer,
                delivery,
                digests,
            }) => {
                let FollowerAnswer { answer, crashes } = answer;
                router.source.last_relay_reply.set(router.now());
                let config_age = answer.reply.config;
                let updated = FeedRevisions::of(&answer.reply);
                track_config(&router, &Arrival::Relay(delivery), || {
                    apply_answer(&router, answer);
                });
                if let Some(digests) = digests {
                    check_digests(&router, addr, &updated, &digests);
                }
                let has_crash_news = crashes.is_some();
                if let Some(update) = crashes {
                    log_crash_news(addr, &update, router.now().since(sent));
                    apply_news(&router, &update.news, None);
                    router.source.crash_version.set(update.version);
                }
                if let Some(age) = config_age {
                    apply_config_age(&router, sent, age);
                }
                pause_after_reply(has_crash_news, router.now().since(sent))
            }
            Err(e) => {
                log::info!(relay:% = addr, error:% = e; "relay_failed");
                router
                    .peers
                    .borrow_mut()
                    .record_relay_failure(router.now(), addr);
                // `select_source` selects another relay meanwhile.
                FAILURE_PAUSE
            }
        };
        router.process.clock.sleep(pause).await;
    }
}

/// Returns the pause after a reply that took this long. A relay of an earlier version does not wait for further changes
/// itself.
fn pause_after_reply(has_crash_news: bool, took: Millis) -> Millis {
    if has_crash_news {
        return CRASH_NEWS_PAUSE;
    }
    BATCH_TIME.since(took)
}

/// Logs that a relay reported requests that end servers; `took` tells how long the poll had been open.
fn log_crash_news(relay: SocketAddr, update: &CrashUpdate, took: Millis) {
    let records = update.news.records.len();
    if records > 0 {
        log::info!(relay:% = relay, records = records, took_ms = took.0; "crash_news_relayed");
    }
}

/// Applies a relay's answer to this host's view.
fn apply_answer(router: &Rc<Router>, answer: RelayAnswer) {
    let RelayAnswer { reply, key_changes } = answer;
    let now = router.now();
    apply_store_state(router, reply.store, reply.back_ms.map(Millis));
    if !router.source.is_core_host.get() {
        apply_core_hosts(router, &reply);
    }
    for (feed, update) in FEEDS.into_iter().zip(reply.news) {
        match update {
            Some(FeedNews::Whole(all)) => apply_snapshot(router, feed, &all),
            Some(FeedNews::Changes(changes)) => {
                apply_changes(router, feed, &changes);
            }
            None => {}
        }
    }
    apply_keys(router, &reply.keys, &key_changes);
    let mut peers = router.peers.borrow_mut();
    peers.update_max_hosts(reply.hosts as usize);
    if peers.observe_term(reply.term, reply.leader.as_ref()) {
        log::info!(term = reply.term; "term_relayed");
    }
    if let Some(age) = reply.leader_ms {
        peers.record_leader_seen(Millis(now.0.saturating_sub(age)));
    }
}

/// Revision to which a reply updated each feed; `None` for a feed that it did not update.
struct FeedRevisions([Option<u64>; FEED_COUNT]);

impl FeedRevisions {
    fn of(reply: &RelayReply) -> Self {
        Self(std::array::from_fn(|i| {
            Some(match reply.news[i].as_ref()? {
                FeedNews::Whole(all) => all.revision,
                FeedNews::Changes(changes) => changes.revision,
            })
        }))
    }
}

/// Compares the feeds that a reply updated with those of the relay at the same revision. If the items of one differ, this
/// host has missed a change that the relay's updates do not contain, and reads the whole feed with its next poll.
fn check_digests(
    router: &Router,
    relay: SocketAddr,
    updated: &FeedRevisions,
    digests: &[u64; FEED_COUNT],
) {
    let logs = router.feed_logs.borrow();
    for (i, log) in logs.iter().enumerate() {
        let Some(revision) = updated.0[i].filter(|r| log.last_revision() == Some(*r)) else {
            continue;
        };
        let differs = log.digest() != digests[i];
        if differs {
            log::warn!(part:? = FEEDS[i], relay:% = relay, revision = revision; "feed_diverged");
        }
        router.source.diverged[i].set(differs);
    }
}

/// Applies key maps and changes of key maps.
pub(super) fn apply_keys(router: &Rc<Router>, maps: &[KeyMap], changes: &[KeyMapChanges]) {
    for map in maps {
        let service = router.service(&map.service);
        router.apply_key_record(&service, map.ranges.to_record(map.fence));
        scheduling::redirect_moved_keys(router, &service);
    }
    for change in changes {
        let service = router.service(&change.service);
        router.apply_key_changes(&service, &change.to_changes());
        scheduling::redirect_moved_keys(router, &service);
    }
}

/// Applies the largest possible age of the relay's configuration, after the reply itself is applied. How long the reply
/// was in transit is unknown, so the age counts from the earliest time at which the relay can have written the reply.
fn apply_config_age(router: &Router, sent: Millis, age: ConfigAge) {
    let written_at = sent + Millis(age.held_ms);
    let current_at = written_at.0.checked_sub(age.age_ms);
    if let Some(at) = current_at {
        router.organisations.mark_current(Millis(at));
    }
}

/// Applies the relay's report on the store: when it returned from an outage, and at a leaf host whether it replies. A
/// leaf host makes no calls of its own that would show this.
fn apply_store_state(router: &Router, up: bool, back: Option<Millis>) {
    let now = router.now();
    if let Some(age) = back {
        let at = Millis(now.0.saturating_sub(age.0));
        router.store_view.borrow_mut().record_recovery(at);
    }
    if !router.source.is_core_host.get() && router.store_up.get() != up {
        router.store_up.set(up);
        if !up {
            router.store_lost.set(Some(now));
        }
        log::info!(up = up; "store_relayed");
    }
}

/// Records the core hosts from which the relay received heartbeats.
fn apply_core_hosts(router: &Router, reply: &RelayReply) {
    let now = router.now();
    let mut peers = router.peers.borrow_mut();
    for core in &reply.core {
        let state = HostState {
            store_reachable: core.store,
            power: core.power,
            schedules: core.schedules,
            dc: core.dc.clone(),
            watches: core.watches,
            ..HostState::default()
        };
        peers.record_heartbeat(now, &core.host, core.addr, state);
    }
}
