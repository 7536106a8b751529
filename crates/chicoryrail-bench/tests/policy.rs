//! Short fixed seeds of the policy bench. The run is step-driven, so a seed gives the same figures
//! on every machine; the limits leave some slack against those of the long runs in
//! `docs/POLICY.md`.

use chicoryrail_bench::policy::Case;
use chicoryrail_bench::policy::Scheme;
use chicoryrail_bench::policy::Score;
use chicoryrail_bench::policy::Trouble;
use chicoryrail_bench::policy::Work;
use chicoryrail_bench::policy::run;
use chicoryrail_bench::policy::run_once;
use chicoryrail_core::Class;
use rstest::rstest;

const SEEDS: [u64; 2] = [3, 4];

fn case(name: &str, seconds: u64) -> Case {
    let mut all = Case::all().into_iter();
    let case = all.find(|c| c.name == name).expect("a known case");
    case.seconds(seconds)
}

/// Runs ours and returns, beside each score, the best of a figure among the baselines.
fn against(case: &Case, best: fn(f64, f64) -> f64, of: fn(&Score) -> f64) -> Vec<(Score, f64)> {
    let once = |seed: u64| {
        let ours = run_once(case, Scheme::Ours, seed);
        let others = Scheme::BASELINES.map(|s| of(&run_once(case, s, seed)));
        let best = others.into_iter().reduce(best);
        (ours, best.expect("there are baselines"))
    };
    SEEDS.into_iter().map(once).collect()
}

fn ours(case: &Case) -> Vec<Score> {
    let once = |seed: u64| run_once(case, Scheme::Ours, seed);
    SEEDS.into_iter().map(once).collect()
}

#[test]
fn same_seed_gives_the_same_figures() {
    let case = case("straggler", 3);
    let once = || format!("{:?}", run_once(&case, Scheme::Ours, 7));
    assert_eq!(once(), once());
}

#[test]
fn unknown_case_names_the_known_ones() {
    let error = run(Some("nothing"), 1, 1).expect_err("no such case");
    assert!(error.to_string().contains("straggler"));
}

#[test]
fn report_ends_with_a_line_of_json() {
    let report = run(Some("cold"), 1, 1).expect("a known case").to_string();
    let last = report.lines().last().unwrap_or_default();
    let json: serde_json::Value = serde_json::from_str(last).expect("JSON");
    assert_eq!(json["cases"][0]["schemes"][0]["name"], "ours");
}

// Callers see a lookup come late. One server is ten times as slow for some hundred milliseconds,
// and its report tells so only when that is over. The queue sees the age of what is in flight there,
// sends elsewhere, and what is stuck is tried once more.
#[rstest]
#[case::four_gates("straggler", 0.5, 0.5)]
#[case::eleven_gates("straggler-11-gates", 0.6, 0.65)]
fn one_slow_target_leaves_the_tail_short(#[case] name: &str, #[case] p99: f64, #[case] p999: f64) {
    let case = case(name, 8);
    for (ours, best) in against(&case, f64::min, |s| s.p99_ms) {
        assert!(ours.p99_ms <= p99 * best, "{ours:?} against {best}");
        assert!(ours.extra <= 0.03, "{ours:?}");
        assert_eq!((ours.doubled, ours.refused), (0, 0.0), "{ours:?}");
    }
    for (ours, best) in against(&case, f64::min, |s| s.p999_ms) {
        assert!(ours.p999_ms <= p999 * best, "{ours:?} against {best}");
    }
}

// Callers of ordinary keys see nothing; those of the one hot key wait or are told to come back. The
// key's owner gets more than it can do, and its other keys go first down to half of its slots.
#[test]
fn hot_key_does_not_delay_its_neighbours() {
    let case = case("skew", 8);
    for (ours, best) in against(&case, f64::min, |s| s.others_p99_ms) {
        assert!(ours.others_p99_ms <= 0.2 * best, "{ours:?} against {best}");
        assert_eq!(ours.others_refused, 0.0, "{ours:?}");
    }
    for (ours, best) in against(&case, f64::max, |s| s.goodput) {
        assert!(ours.goodput >= 0.98 * best, "{ours:?} against {best}");
    }
}

// A burst of four times the load, for half a second, is worked off: nobody is refused.
#[test]
fn burst_is_absorbed() {
    let case = case("burst", 10);
    for (ours, best) in against(&case, f64::min, |s| s.p99_ms) {
        assert!(ours.p99_ms <= 1.15 * best, "{ours:?} against {best}");
        assert!(ours.refused <= 0.001, "{ours:?}");
    }
}

// A teacher's lookup of 1 ms meets reports of 200 ms. Reports leave one slot of each server alone,
// so the lookup never waits out a report, and the reports are still done.
#[test]
fn reports_do_not_delay_lookups() {
    let case = case("mixed", 8);
    for (ours, best) in against(&case, f64::min, |s| s.p99_ms) {
        assert!(ours.p99_ms <= 0.5 * best, "{ours:?} against {best}");
    }
    for (ours, best) in against(&case, f64::max, |s| s.batch_goodput) {
        assert!(ours.batch_goodput >= 0.9 * best, "{ours:?} against {best}");
    }
}

// More is asked than can be done, for the whole run. What can't be done is refused in milliseconds
// with a true "not run"; the servers stay busy with work that is still wanted.
#[rstest]
#[case::twice("saturation-2x")]
#[case::five_times("saturation-5x")]
fn saturation_keeps_goodput(#[case] name: &str) {
    let case = case(name, 5);
    for ours in ours(&case) {
        assert!(ours.goodput >= 0.95 * case.capacity(), "{ours:?}");
        assert!(ours.refused_ms <= 5.0, "{ours:?}");
        assert!(ours.p50_ms <= 100.0, "{ours:?}");
    }
}

// Lookups of twice the capacity beside reports. Lookups fill every slot, but the reports' share of
// slot time is theirs: they lag and still move.
#[test]
fn reports_never_starve() {
    let reports = Work {
        class: Class::Batch,
        mean_us: 200_000.0,
        load: 0.3,
        deadline_us: 10_000_000,
    };
    let mut case = case("saturation-2x", 12);
    case.work.push(reports);
    let slots = 24.0;
    let share = 0.1 * slots / 0.2;
    for ours in ours(&case) {
        assert!(ours.batch_goodput >= 0.7 * share, "{ours:?}");
        assert!(ours.batch_goodput <= 1.3 * share, "{ours:?}");
    }
}

// A quarter of the servers restart into a cold process without a word. Their broken connections are
// the sign; from then on each gets one request at a time until its answers are quick again.
#[rstest]
#[case::five_times_as_slow("cold")]
#[case::hardly_slower_than_usual("cold-mild")]
fn cold_target_gets_what_it_bears(#[case] name: &str) {
    let case = case(name, 12);
    for (ours, best) in against(&case, f64::min, |s| s.p999_ms) {
        assert!(ours.cold_over <= 1.0, "{ours:?}");
        assert!(ours.p999_ms <= best, "{ours:?} against {best}");
    }
}

// The same without a broken connection: the first answer is the first sign that anybody can see.
#[test]
fn unseen_cold_target_gets_what_it_bears_from_the_first_sign() {
    let case = case("cold-unseen", 12);
    for ours in ours(&case) {
        assert!(ours.cold_over_known <= 1.0, "{ours:?}");
    }
}

// Every server fails. Callers are told; the retries stay within their budget, and no order that may
// have run is sent again.
#[test]
fn failing_servers_meet_no_retry_storm() {
    let case = case("all-fail", 8);
    for ours in ours(&case) {
        assert!(ours.amplification <= 1.1, "{ours:?}");
        assert_eq!(ours.doubled, 0, "{ours:?}");
    }
}

#[test]
fn orders_are_never_doubled() {
    let has_orders = |c: &Case| c.work.iter().any(|w| w.class == Class::Order);
    for case in Case::all().into_iter().filter(has_orders) {
        let case = case.seconds(4);
        let doubled: u64 = ours(&case).iter().map(|s| s.doubled).sum();
        assert_eq!(doubled, 0, "{}", case.name);
    }
}

// Nothing goes wrong at 60 % load: no caller is refused, and few requests are sent twice.
#[test]
fn quiet_service_refuses_nothing() {
    let mut case = case("straggler", 6);
    case.trouble = Trouble::None;
    for ours in ours(&case) {
        assert_eq!(ours.refused, 0.0, "{ours:?}");
        assert!(ours.extra <= 0.03, "{ours:?}");
    }
}

// All targets restart at once, and one that gets more than it bears starts to warm up anew. Callers
// beyond what cold targets bear are refused for the three seconds of the warm-up, and then served;
// plain schemes keep the targets cold for good.
#[test]
fn service_returns_from_a_cold_start_of_all_targets() {
    let case = case("cold-all", 12);
    for (ours, best) in against(&case, f64::max, |s| s.goodput) {
        assert!(ours.cold_over <= 1.0, "{ours:?}");
        assert!(ours.goodput >= 1.3 * best, "{ours:?} against {best}");
    }
}

// One server refuses or cuts every request, and so always looks idle. It is left alone but for a
// probe now and then, and what it refused is done elsewhere.
#[test]
fn failing_server_draws_no_work() {
    let case = case("one-fails", 8);
    for (ours, best) in against(&case, f64::min, |s| s.failed) {
        assert!(ours.failed <= 0.1 * best, "{ours:?} against {best}");
    }
}
