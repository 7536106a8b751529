//! Randomised simulation of key leases: leaders that are replaced while they still act, pause and resume, or lose
//! the store while it answers others; servers that die, restart under their names, leave and join; calls that
//! arrive late, are applied late or lose their responses. A call reaches the process that runs under the server's name,
//! which may have started after the one that it was meant for.
//!
//! After every step of 10 ms, the simulation checks that no two servers hold the same key, by the state of the
//! servers and not by what a leader assumes.

mod calls;
mod leading;
mod renewing;
mod server;
mod world;

use std::collections::BTreeMap;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::KeyTiming;
use renewing::delegate_of;
use rstest::rstest;
use server::SAMPLE_COUNT;
use world::STEP_MS;
use world::World;

/// Returns the number of runs in which two servers hold one key, while the leaders assume `assumed_timing`.
fn violations(seeds: std::ops::Range<u64>, assumed_timing: KeyTiming) -> usize {
    let runs = seeds.map(|seed| World::new(seed, KeyTiming::default(), assumed_timing).run());
    runs.filter(|w| !w.violations.is_empty()).count()
}

/// Guards against two servers holding the same key under any sequence of faults of leaders, servers and
/// calls.
#[rstest]
#[case(0)]
#[case(100)]
#[case(200)]
#[case(300)]
fn no_two_servers_hold_the_same_key(#[case] first: u64) {
    for seed in first..first + 60 {
        let world = World::new(seed, KeyTiming::default(), KeyTiming::default()).run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against two servers holding the same key when a leader does not know whether its record was written, and grants
/// keys under the record before meanwhile.
#[rstest]
#[case::leader_renews(false)]
#[case::hosts_renew(true)]
fn no_two_servers_hold_the_same_key_with_unsettled_writes(#[case] hosts_renew: bool) {
    for seed in 400..520 {
        let assumed_timing = if hosts_renew {
            delegating_timing()
        } else {
            KeyTiming::default()
        };
        let world = World::new(seed, KeyTiming::default(), assumed_timing).with_unsettled_writes();
        let world = if hosts_renew {
            world.with_renewing_hosts()
        } else {
            world
        };
        let world = world.run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert!(serves_every_key(&world), "seed {seed}");
    }
}

/// Guards against two servers holding the same key after a restart: the new process takes grants that were meant for the
/// former one until leaders read its registration.
#[rstest]
#[case::leader_renews(0, false)]
#[case::leader_renews_again(300, false)]
#[case::hosts_renew(0, true)]
#[case::hosts_renew_again(300, true)]
fn no_two_servers_hold_the_same_key_with_late_registrations(
    #[case] first: u64,
    #[case] hosts_renew: bool,
) {
    for seed in first..first + 60 {
        let timing = KeyTiming::default();
        let world = if hosts_renew {
            World::new(seed, timing, delegating_timing()).with_renewing_hosts()
        } else {
            World::new(seed, timing, timing)
        };
        let world = world.with_late_registrations().run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert!(serves_every_key(&world), "seed {seed}");
    }
}

/// Returns `true` if a server holds each sampled key, or none is reachable that could.
fn serves_every_key(world: &World) -> bool {
    let mut servers = world.servers.iter();
    let reachable = servers.any(|s| s.up && s.reachable && !s.leaving);
    let held = (0..SAMPLE_COUNT).filter(|i| {
        let mut all = world.servers.iter();
        all.any(|s| s.up && s.keys[*i].until > world.now)
    });
    !reachable || held.count() == SAMPLE_COUNT
}

/// Timing that a leader assumes whose predecessors may have had delegates.
fn delegating_timing() -> KeyTiming {
    let timing = KeyTiming::default();
    KeyTiming {
        stale_leader_max: timing.stale_leader_max + timing.renewal_permit,
        ..timing
    }
}

/// Guards against two servers holding the same key while other hosts renew leases for the leaders: with outdated orders,
/// for a leader that was replaced, or after a pause of their own.
#[rstest]
#[case(0)]
#[case(100)]
#[case(200)]
#[case(300)]
fn no_two_servers_hold_the_same_key_with_delegates(#[case] first: u64) {
    for seed in first..first + 60 {
        let world = World::new(seed, KeyTiming::default(), delegating_timing());
        let world = world.with_renewing_hosts().run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a simulation in which delegates never matter: a successor that does not count what delegates of its
/// predecessor may send lets two servers hold one key. The servers' entries have lapsed, so the successor can't call them.
#[rstest]
#[case::uncounted(KeyTiming { renewal_permit: Millis(0), ..KeyTiming::default() }, true)]
#[case::counted(delegating_timing(), false)]
fn uncounted_delegates_are_detected(#[case] assumed_timing: KeyTiming, #[case] is_violated: bool) {
    let found = (0..20).any(|seed| {
        let mut world = World::new(seed, KeyTiming::default(), assumed_timing);
        world = world.with_renewing_hosts();
        // A server that the first leader renews itself would refuse, and depose it.
        world.servers.retain(|s| delegate_of(&s.life).is_some());
        world.elect();
        world.step_calmly(150);
        for host in &mut world.renewing {
            host.polls_only = Some(0);
        }
        for server in &mut world.servers {
            server.registered_at = u64::MAX;
        }
        world.join("late");
        world.leaders[0].store_lost_until = u64::MAX;
        world.elect();
        world.leaders[0].acts_until = world.now + KeyTiming::default().stale_leader_max.0;
        world.step_calmly(600);
        !world.violations.is_empty()
    });
    assert_eq!(found, is_violated);
}

/// Guards against keys that stay unserved because a leader waits for a delegate.
#[test]
fn every_key_is_served_again_with_delegates() {
    for seed in 0..40 {
        let world = World::new(seed, KeyTiming::default(), delegating_timing());
        let world = world.with_renewing_hosts().run();
        assert!(serves_every_key(&world), "seed {seed}");
    }
}

/// Guards against keys that stay without an owner after the faults have ended, while a server is reachable.
#[test]
fn every_key_is_served_again_after_the_faults() {
    for seed in 0..40 {
        let world = World::new(seed, KeyTiming::default(), KeyTiming::default()).run();
        assert!(serves_every_key(&world), "seed {seed}");
    }
}

/// Guards against a simulation that misses real faults: a leader that assumes shorter times than actually
/// occur lets two servers hold one key in some run.
#[rstest]
#[case::lease_shorter_than_granted(KeyTiming { lease: Millis(800), ..KeyTiming::default() })]
#[case::outage_not_accounted_for(KeyTiming { outage_lease: Millis(2_500), ..KeyTiming::default() })]
#[case::no_time_for_an_older_leader(KeyTiming { lease: Millis(1_500), stale_leader_max: Millis(0), ..KeyTiming::default() })]
fn a_leader_that_assumes_shorter_times_is_detected(#[case] assumed_timing: KeyTiming) {
    assert!(violations(0..200, assumed_timing) > 0);
}

/// Guards against a check that misses a lost record: the new leader starts again with fencing tokens that were
/// already used, so two servers hold one key.
#[test]
fn a_lost_record_is_detected() {
    let found = (0..20).any(|seed| {
        let mut world = World::new(seed, KeyTiming::default(), KeyTiming::default());
        world.elect();
        for _ in 0..300 {
            world.now += STEP_MS;
            world.process_calls();
            world.lead();
        }
        world.record = KeyRecord::default();
        world.join("late");
        world.elect();
        for _ in 0..300 {
            world.now += STEP_MS;
            world.process_calls();
            world.lead();
            world.check();
        }
        !world.violations.is_empty()
    });
    assert!(found);
}

/// Guards against losing track of former owners: their keys become loose when the assignment changes.
#[test]
fn a_change_lists_former_owners_as_loose() {
    let life = |n: &str| Life::new(ServerName::new(n), 1);
    let span = |first, last| KeyRange { first, last };
    let owned = |s, n| chicoryrail_ownership::keys::OwnedRange::new(s, life(n));
    let record = KeyRecord {
        fence: 4,
        spans: vec![owned(span(0, 999), "a"), owned(span(1_000, 65_535), "b")],
        ..KeyRecord::default()
    };
    let spans = vec![owned(span(0, 1_999), "a"), owned(span(2_000, 65_535), "c")];
    let next = record.next(spans, &[], 9);
    assert_eq!(next.fence, 5);
    assert_eq!(next.loose, [owned(span(1_000, 65_535), "b")]);
    let owners: BTreeMap<_, _> = [0, 1_999, 2_000]
        .map(|k| (k, next.owner(k).cloned()))
        .into();
    assert_eq!(owners[&1_999], Some(life("a")));
    assert_eq!(owners[&2_000], Some(life("c")));
}
