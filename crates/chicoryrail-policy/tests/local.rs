//! Decisions of hosts that share servers without coordination.

use chicoryrail_core::Millis;
use chicoryrail_policy::AdvertisedLimit;
use chicoryrail_policy::AdvertisedRate;
use chicoryrail_policy::Failure;
use chicoryrail_policy::LoadReport;
use chicoryrail_policy::LocalBalancer;
use chicoryrail_policy::RetryBudget;
use chicoryrail_policy::RetryLimits;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::WeightedRoundRobin;
use chicoryrail_policy::retry_after;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Guards against retry storms: every server of a service fails and every request is to be retried. Over any window the
/// retries of all hosts stay within the limit, even if requests are distributed unevenly.
#[test]
fn retries_of_all_hosts_stay_within_the_bound() {
    let limits = RetryLimits {
        ratio: 0.2,
        slack: 60.0,
        window: Millis(10_000),
        hosts: 10,
    };
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut hosts = vec![RetryBudget::default(); 10];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in 0..40_000 {
        for (i, host) in hosts.iter_mut().enumerate() {
            if rng.random_bool(0.002 * (i + 1) as f64) {
                host.record_request(Millis(ms), &limits);
                requests.push(ms);
                if host.try_take(Millis(ms), &limits) {
                    retries.push(ms);
                }
            }
        }
    }
    for start in (0..30_000).step_by(250) {
        let window = start..start + 10_000;
        let within = |all: &[u64]| all.iter().filter(|t| window.contains(*t)).count() as f64;
        let allowed = 0.2 * within(&requests) + 60.0;
        assert!(within(&retries) <= allowed, "from {start}");
    }
    assert!(retries.len() > 100);
}

fn servers(n: u32) -> (LocalBalancer, Vec<ServerId>) {
    let mut balancer = LocalBalancer::default();
    let ids: Vec<_> = (0..n).map(ServerId).collect();
    ids.iter().for_each(|id| balancer.set(*id, 2));
    (balancer, ids)
}

fn picks(balancer: &LocalBalancer, ids: &[ServerId], now: Millis) -> Vec<usize> {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut count = vec![0; ids.len()];
    for _ in 0..1_000 {
        if let Some(id) = balancer.pick(now, &mut rng, ids, 50_000.0) {
            count[id.0 as usize] += 1;
        }
    }
    count
}

/// Guards against sending to a server that just reported requests of other hosts. It is selected again when the report
/// is old.
#[test]
fn a_server_busy_for_other_hosts_gets_no_requests() {
    let (mut balancer, ids) = servers(3);
    let busy = LoadReport::parse("2,1,2,100").unwrap();
    balancer.apply_report(Millis(1_000), ids[0], busy);
    assert_eq!(picks(&balancer, &ids, Millis(1_010))[0], 0);
    assert!(picks(&balancer, &ids, Millis(3_000))[0] > 200);
}

/// Guards against sending to a server that reports a slowdown to three times the usual time, by other programs on its
/// machine, while other servers are not slowed down.
#[test]
fn a_slow_server_gets_no_requests() {
    let (mut balancer, ids) = servers(3);
    balancer.apply_report(
        Millis(1_000),
        ids[0],
        LoadReport::parse("0,0,2,300").unwrap(),
    );
    assert_eq!(picks(&balancer, &ids, Millis(1_050))[0], 0);
}

/// Guards against a server that fails part of its requests while its health check passes. Its failures count, and it is
/// tried again after some seconds.
#[test]
fn a_failing_server_gets_no_requests() {
    let (mut balancer, ids) = servers(3);
    for _ in 0..5 {
        balancer.record_failure(Millis(1_000), ids[0], Failure::Error);
    }
    assert_eq!(picks(&balancer, &ids, Millis(1_100))[0], 0);
    assert!(picks(&balancer, &ids, Millis(20_000))[0] > 100);
}

/// Guards against requests beyond a server's slots and its short queue: some servers reset connections when full.
#[test]
fn full_servers_get_no_requests() {
    let (mut balancer, ids) = servers(2);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut sent = 0;
    while let Some(id) = balancer.pick(Millis(5), &mut rng, &ids, 50_000.0) {
        balancer.record_send(id);
        sent += 1;
    }
    assert_eq!(sent, 10);
    assert!(balancer.capacity_in(Millis(5), ids[0], 50_000.0) > Millis(50));
    balancer.record_end(ids[0]);
    assert_eq!(
        balancer.pick(Millis(6), &mut rng, &ids, 50_000.0),
        Some(ids[0])
    );
}

/// Guards against uneven shares at a few requests per second: of ten requests, a choice of weight 10 in 100 gets one.
#[test]
fn weights_hold_over_short_times() {
    let mut turn = WeightedRoundRobin::default();
    for _ in 0..20 {
        let ten = (0..10).filter(|_| turn.next(&[90, 10], 0.3) == 1).count();
        assert_eq!(ten, 1);
    }
}

/// Guards against retries at the same moment: a thousand callers are refused at once. Their retries are spread, and
/// none is later than a third of its caller's time.
#[test]
fn retries_of_refused_callers_are_spread() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let times: Vec<_> = (0..1_000)
        .map(|_| retry_after(&mut rng, Millis(100), Millis(800)).0)
        .collect();
    assert!(times.iter().all(|t| (100..=200).contains(t)));
    let early = times.iter().filter(|t| **t < 150).count();
    assert!((400..600).contains(&early), "{early}");
}

/// Guards against responses in the wrong order: one that the server sent before it advertised its limit arrives later
/// and must not remove the limit.
#[rstest]
#[case::advertised_and_removed(&[(0, Some(2.0)), (2_100, None)], 2_100, None)]
#[case::overtaken(&[(0, Some(2.0)), (100, None)], 100, Some(2.0))]
#[case::changed(&[(0, Some(2.0)), (100, Some(5.5))], 100, Some(5.5))]
#[case::some_responses(&[(0, Some(2.0)), (900, None), (1_500, Some(2.0)), (2_900, None)], 2_900, Some(2.0))]
#[case::never_advertised(&[(0, None)], 0, None)]
#[case::expired(&[(0, Some(2.0))], 10_100, None)]
fn a_limit_holds_while_responses_advertise_it(
    #[case] responses: &[(u64, Option<f64>)],
    #[case] at: u64,
    #[case] rate: Option<f64>,
) {
    let mut limit = AdvertisedLimit::default();
    for (at, advertised) in responses {
        let notice = advertised.map_or(AdvertisedRate::Unlimited, AdvertisedRate::Limited);
        limit.record(Millis(5_000 + at), notice);
    }
    assert_eq!(limit.rate(Millis(5_000 + at)), rate);
}

#[rstest]
#[case(Some("2.7"), Ok(AdvertisedRate::Limited(2.7)))]
#[case(Some(" 0 "), Ok(AdvertisedRate::Limited(0.0)))]
#[case(None, Ok(AdvertisedRate::Unlimited))]
#[case(Some("many"), Err("many"))]
#[case(Some("NaN"), Err("NaN"))]
#[case(Some("inf"), Err("inf"))]
#[case(Some("-3"), Err("-3"))]
fn an_advertised_rate_is_a_finite_number_of_0_or_more(
    #[case] value: Option<&str>,
    #[case] expected: Result<AdvertisedRate, &str>,
) {
    assert_eq!(AdvertisedRate::parse(value), expected);
}
