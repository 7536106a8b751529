//! Rolls that race, and rolls whose answer the store lost.

mod bench;

use bench::Bench;
use bench::Fault;
use bench::bundle;
use chicoryrail_core::Head;
use chicoryrail_runtime::block_on;
use futures_util::future::join;
use rstest::rstest;
use serde_json::json;

/// Two operators roll at the same time at two hosts. Both read version 0 and both write version 1;
/// the store takes one. The other operator is told who won and with which version, and nothing of
/// the loser's is in force.
#[test]
fn of_two_rolls_at_once_one_wins_and_the_other_is_told() {
    block_on(async {
        let one = Bench::start();
        let two = Bench::over(one.store.clone(), Vec::new());
        let a = one
            .signed("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        let b = one
            .signed("carol", "olga", &bundle("tanduay", "casks", 3, 9100))
            .await;
        let (first, second) = join(one.roll("alice", &a), two.roll("carol", &b)).await;
        let head = one.store.head();
        assert_eq!(
            (first.code, second.result(), head.version),
            (2007, (409, 2006), 1)
        );
        assert_eq!(
            second.error(),
            "version 1 by alice was rolled first; look at it and ask again"
        );
        let again = two.roll("carol", &b).await;
        assert_eq!((again.code, one.store.head().bundles.len()), (2007, 2));
    });
}

/// Two operators take one data centre each out, at the same time. Each alone is bearable, both
/// together are not. One wins; the other is refused and must look again.
#[test]
fn of_two_take_outs_at_once_one_wins() {
    block_on(async {
        let one = Bench::start();
        let two = Bench::over(one.store.clone(), Vec::new());
        one.rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        let a = one.post("alice", "/v1/data-centres/a/out", "");
        let b = two.post("bob", "/v1/data-centres/b/out", "");
        let (first, second) = join(a, b).await;
        let again = two.post("bob", "/v1/data-centres/b/out", "").await;
        assert_eq!((first.code, second.code, again.code), (2007, 2006, 2008));
    });
}

#[test]
fn an_expected_version_that_is_not_in_force_is_refused() {
    block_on(async {
        let bench = Bench::start();
        let a = bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        let b = bench
            .signed("alice", "bob", &bundle("updraft", "kits", 2, 9000))
            .await;
        let body = json!({ "digest": b, "expect": 0 }).to_string();
        let roll = bench.post("alice", "/v1/rolls", body).await;
        let head = bench.store.head();
        assert_eq!(roll.result(), (409, 2006));
        assert_eq!(head.bundles.values().next().unwrap().as_str(), a);
    });
}

/// An older bundle is rolled again: it comes into force under a higher version, so that no process
/// that keeps to the highest version can fall back by itself.
#[test]
fn going_back_to_an_older_bundle_raises_the_version() {
    block_on(async {
        let bench = Bench::start();
        let a = bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 2, 9000))
            .await;
        let back = bench.roll("alice", &a).await;
        let same = bench.roll("alice", &a).await;
        assert_eq!(
            (back.body["version"].clone(), same.body["version"].clone()),
            (3.into(), 3.into())
        );
        assert_eq!(same.body["unchanged"], true);
    });
}

/// The store's answer to the compare-and-swap is lost. Whether the write took effect, never arrived
/// or is still on its way, the operator is told in the end that the roll is stored, and it is stored
/// once.
#[rstest]
#[case::after_the_effect(&[Fault::AnswerLost])]
#[case::before_the_store(&[Fault::CallLost])]
#[case::on_its_way(&[Fault::Late])]
#[case::twice(&[Fault::CallLost, Fault::AnswerLost])]
#[case::late_and_lost(&[Fault::Late, Fault::CallLost])]
fn a_lost_answer_is_settled(#[case] faults: &[Fault]) {
    block_on(async {
        let bench = Bench::start();
        let digest = bench
            .signed("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        for fault in faults {
            bench.store.fault("config/head", *fault);
        }
        let roll = bench.roll("alice", &digest).await;
        assert_eq!(
            (roll.code, bench.store.head().version),
            (2007, 1),
            "{roll:?}"
        );
    });
}

fn rival(version: u64) -> Head {
    Head {
        version,
        attempt: format!("rival-{version}"),
        author: Some("bob".into()),
        ..Head::default()
    }
}

/// The write never arrives and another operator's change takes the version: a plain conflict.
#[test]
fn a_lost_call_that_was_overtaken_is_a_conflict() {
    block_on(async {
        let bench = Bench::start();
        let digest = bench
            .signed("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        bench.store.fault("config/head", Fault::CallLost);
        bench.store.rivals(vec![rival(1)]);
        let roll = bench.roll("alice", &digest).await;
        assert_eq!((roll.result(), bench.store.head()), ((409, 2006), rival(1)));
    });
}

/// The answer is lost and two changes stand on top of the version by the time it is read back. The
/// first of them may or may not have been this one; the operator is told that it is not known.
#[test]
fn a_lost_answer_under_later_changes_is_said_to_be_unknown() {
    block_on(async {
        let bench = Bench::start();
        let digest = bench
            .signed("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        bench.store.fault("config/head", Fault::AnswerLost);
        bench.store.rivals(vec![rival(2), rival(3)]);
        let roll = bench.roll("alice", &digest).await;
        assert_eq!(
            (roll.result(), roll.body["run"].as_str()),
            ((503, 3000), Some("unknown"))
        );
    });
}

/// The store takes the call and never answers again. The operator gets a clear 3000 that names the
/// version and the attempt after a bounded time.
#[test]
fn a_store_that_stays_silent_is_told() {
    block_on(async {
        let bench = Bench::start();
        let digest = bench
            .signed("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        bench.store.refuse("config/head");
        let roll = bench.roll("alice", &digest).await;
        assert_eq!(roll.result(), (503, 3000));
        assert!(roll.error().contains("version 1 (attempt "), "{roll:?}");
    });
}
