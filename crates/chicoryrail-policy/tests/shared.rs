//! Decisions of hosts that share servers without asking each other.

use chicoryrail_core::Millis;
use chicoryrail_policy::ColdPace;
use chicoryrail_policy::Failure;
use chicoryrail_policy::LoadReport;
use chicoryrail_policy::RateNotice;
use chicoryrail_policy::RetryBound;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerLimit;
use chicoryrail_policy::SharedRetries;
use chicoryrail_policy::SharedServers;
use chicoryrail_policy::WeightedTurn;
use chicoryrail_policy::return_time;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// A data centre comes back cold under full traffic, and every host wants to send to each of its servers
/// all the time. However the hosts' moments fall, no window of a second holds more than the server bears.
#[rstest]
#[case(10, 12.95)]
#[case(11, 12.95)]
#[case(8, 12.95)]
#[case(3, 12.95)]
#[case(4, 30.0)]
fn a_cold_server_gets_no_more_than_it_bears(#[case] hosts: usize, #[case] bound: f64) {
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut paces = vec![ColdPace::default(); hosts];
        let mut arrived = Vec::new();
        for ms in 0..4_000 {
            for pace in &mut paces {
                if rng.random_bool(0.2) && pace.take(Millis(ms), bound, hosts) {
                    arrived.push(ms + rng.random_range(0..60));
                }
            }
        }
        arrived.sort_unstable();
        let most = arrived.iter().map(|t| {
            let window = arrived.iter().filter(|a| *t <= **a && **a < *t + 1_000);
            window.count()
        });
        let most = most.max().unwrap_or(0);
        assert!(most as f64 <= bound, "{most} with seed {seed}");
        assert!(most > 0);
    }
}

/// Every server of a service fails, and every request is to be sent again. Over any window the repeats of
/// all hosts stay within the bound, also when the requests come unevenly.
#[test]
fn repeats_of_all_hosts_stay_within_the_bound() {
    let bound = RetryBound {
        ratio: 0.2,
        slack: 60.0,
        window: Millis(10_000),
        hosts: 10,
    };
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut hosts = vec![SharedRetries::default(); 10];
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for ms in 0..40_000 {
        for (i, host) in hosts.iter_mut().enumerate() {
            if rng.random_bool(0.002 * (i + 1) as f64) {
                host.request(Millis(ms), &bound);
                requests.push(ms);
                if host.take(Millis(ms), &bound) {
                    repeats.push(ms);
                }
            }
        }
    }
    for start in (0..30_000).step_by(250) {
        let window = start..start + 10_000;
        let within = |all: &[u64]| all.iter().filter(|t| window.contains(*t)).count() as f64;
        let allowed = 0.2 * within(&requests) + 60.0;
        assert!(within(&repeats) <= allowed, "from {start}");
    }
    assert!(repeats.len() > 100);
}

fn servers(n: u32) -> (SharedServers, Vec<ServerId>) {
    let mut all = SharedServers::default();
    let ids: Vec<_> = (0..n).map(ServerId).collect();
    ids.iter().for_each(|id| all.set(*id, 2));
    (all, ids)
}

fn picks(all: &SharedServers, ids: &[ServerId], now: Millis) -> Vec<usize> {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut count = vec![0; ids.len()];
    for _ in 0..1_000 {
        if let Some(id) = all.pick(now, &mut rng, ids, 50_000.0) {
            count[id.0 as usize] += 1;
        }
    }
    count
}

/// One server is busy with other hosts' work: it said so a moment ago. Work goes to the others, and comes
/// back to it when that is long past.
#[test]
fn a_server_busy_for_others_is_spared() {
    let (mut all, ids) = servers(3);
    let busy = LoadReport::parse("2,1,2,100").unwrap();
    all.heard(Millis(1_000), ids[0], busy);
    assert_eq!(picks(&all, &ids, Millis(1_010))[0], 0);
    assert!(picks(&all, &ids, Millis(3_000))[0] > 200);
}

/// A neighbour on its machine slows one server to a third. It gets less until it says otherwise.
#[test]
fn a_slowed_server_is_spared() {
    let (mut all, ids) = servers(3);
    all.heard(
        Millis(1_000),
        ids[0],
        LoadReport::parse("0,0,2,300").unwrap(),
    );
    assert_eq!(picks(&all, &ids, Millis(1_050))[0], 0);
}

/// A server fails part of its requests while its status check is good. Its failures count, and it is tried
/// again after some seconds.
#[test]
fn a_failing_server_is_spared() {
    let (mut all, ids) = servers(3);
    for _ in 0..5 {
        all.failed(Millis(1_000), ids[0], Failure::Error);
    }
    assert_eq!(picks(&all, &ids, Millis(1_100))[0], 0);
    assert!(picks(&all, &ids, Millis(20_000))[0] > 100);
}

/// All servers have their slots and a short queue full: nothing is sent beyond it, as a full server of
/// some services resets connections.
#[test]
fn full_servers_get_nothing() {
    let (mut all, ids) = servers(2);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut sent = 0;
    while let Some(id) = all.pick(Millis(5), &mut rng, &ids, 50_000.0) {
        all.sent(id);
        sent += 1;
    }
    assert_eq!(sent, 10);
    assert!(all.room_in(Millis(5), ids[0], 50_000.0) > Millis(50));
    all.ended(ids[0]);
    assert_eq!(all.pick(Millis(6), &mut rng, &ids, 50_000.0), Some(ids[0]));
}

/// A few requests a second reach a host: even over ten of them, a part of 10 in 100 gets its share.
#[test]
fn parts_get_their_weights_over_short_times() {
    let mut turn = WeightedTurn::default();
    for _ in 0..20 {
        let ten = (0..10).filter(|_| turn.next(&[90, 10], 0.3) == 1).count();
        assert_eq!(ten, 1);
    }
}

/// A thousand callers are refused in one moment: their returns are spread, none later than a third of its
/// time.
#[test]
fn refused_callers_return_spread_over_time() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let times: Vec<_> = (0..1_000)
        .map(|_| return_time(&mut rng, Millis(100), Millis(800)).0)
        .collect();
    assert!(times.iter().all(|t| (100..=200).contains(t)));
    let early = times.iter().filter(|t| **t < 150).count();
    assert!((400..600).contains(&early), "{early}");
}

/// Answers of one server overtake each other: one from before it named its limit, heard after, lifts it.
#[rstest]
#[case::named_and_lifted(&[(0, Some(2.0)), (2_100, None)], 2_100, None)]
#[case::overtaken(&[(0, Some(2.0)), (100, None)], 100, Some(2.0))]
#[case::another(&[(0, Some(2.0)), (100, Some(5.5))], 100, Some(5.5))]
#[case::named_by_some_answers(&[(0, Some(2.0)), (900, None), (1_500, Some(2.0)), (2_900, None)], 2_900, Some(2.0))]
#[case::never_named(&[(0, None)], 0, None)]
#[case::nothing_heard_for_long(&[(0, Some(2.0))], 10_100, None)]
fn a_server_is_limited_while_its_answers_say_so(
    #[case] answers: &[(u64, Option<f64>)],
    #[case] at: u64,
    #[case] rate: Option<f64>,
) {
    let mut limit = ServerLimit::default();
    for (at, said) in answers {
        let notice = said.map_or(RateNotice::Unlimited, RateNotice::Limited);
        limit.heard(Millis(5_000 + at), notice);
    }
    assert_eq!(limit.rate(Millis(5_000 + at)), rate);
}

#[rstest]
#[case(Some("2.7"), Ok(RateNotice::Limited(2.7)))]
#[case(Some(" 0 "), Ok(RateNotice::Limited(0.0)))]
#[case(None, Ok(RateNotice::Unlimited))]
#[case(Some("many"), Err("many"))]
#[case(Some("NaN"), Err("NaN"))]
#[case(Some("inf"), Err("inf"))]
#[case(Some("-3"), Err("-3"))]
fn a_rate_is_a_number_of_0_or_more(
    #[case] value: Option<&str>,
    #[case] expected: Result<RateNotice, &str>,
) {
    assert_eq!(RateNotice::parse(value), expected);
}
