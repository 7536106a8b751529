//! Renewals of key leases by a host that is not the leader.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::GrantOutcome;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyTiming;
use chicoryrail_ownership::keys::RenewalOrder;
use chicoryrail_ownership::keys::RenewalTask;
use chicoryrail_ownership::keys::Renewer;
use rstest::rstest;

const NOW: Millis = Millis(1_000);

/// Returns an order for ten servers.
fn order() -> RenewalOrder {
    let task = |i: u16| RenewalTask {
        life: Life::new(format!("k-{i}").as_str().into(), 1),
        addr: ([127, 0, 0, 1], 7_000 + i).into(),
        spans: vec![KeyRange {
            first: i * 100,
            last: i * 100 + 99,
        }],
    };
    RenewalOrder {
        term: 1,
        fence: 1,
        lease: Millis(2_500),
        tasks: (0..10).map(task).collect(),
    }
}

/// Returns a renewer with an order for ten servers.
fn renewer() -> Renewer {
    let mut renewer = Renewer::new(KeyTiming::default());
    renewer.apply_order(NOW, order());
    renewer
}

/// Guards against a grant that was due under one order and is sent under the permit of the next: the leader counts a
/// lease only for what the next order contains.
#[rstest]
#[case::same_order(|_: &mut RenewalOrder| {}, true)]
#[case::server_left_out(|o: &mut RenewalOrder| drop(o.tasks.remove(0)), false)]
#[case::range_shrunk(|o: &mut RenewalOrder| o.tasks[0].spans[0].last = 49, false)]
#[case::other_address(|o: &mut RenewalOrder| o.tasks[0].addr.set_port(9), false)]
#[case::later_fence(|o: &mut RenewalOrder| o.fence = 2, false)]
#[case::shorter_lease(|o: &mut RenewalOrder| o.lease = Millis(2_000), false)]
fn a_grant_is_sent_only_under_an_order_that_contains_it(
    #[case] change: fn(&mut RenewalOrder),
    #[case] expected: bool,
) {
    let mut renewer = renewer();
    let due = renewer.take_due(NOW, 10).remove(0);
    let mut next = order();
    change(&mut next);
    let asked_at = NOW + KeyTiming::default().renewal_permit;
    renewer.apply_order(asked_at, next);
    assert_eq!(renewer.may_send(asked_at, &due), expected);
}

/// Guards against a host without paths to most servers that keeps taking their renewals from the leader.
#[rstest]
#[case::all_answer(0, GrantOutcome::NoResponse, false)]
#[case::one_is_silent(1, GrantOutcome::NoResponse, false)]
#[case::half_are_silent(5, GrantOutcome::NoResponse, false)]
#[case::most_are_silent(6, GrantOutcome::NoResponse, true)]
#[case::most_know_a_later_leader(6, GrantOutcome::StaleFence, false)]
fn a_host_doubts_its_paths_if_most_servers_are_silent(
    #[case] failing: usize,
    #[case] outcome: GrantOutcome,
    #[case] expected: bool,
) {
    let mut renewer = renewer();
    for (i, renewal) in renewer.take_due(NOW, 10).into_iter().enumerate() {
        let outcome = if i < failing {
            outcome
        } else {
            GrantOutcome::Granted
        };
        renewer.finished(&renewal, outcome);
    }
    assert_eq!(renewer.fails_most(), expected);
}
