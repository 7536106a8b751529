//! Hedges, retries, the ramp and the choice between gates.

use chicoryrail_core::Class;
use chicoryrail_core::Millis;
use chicoryrail_policy::Choice;
use chicoryrail_policy::Hedge;
use chicoryrail_policy::Load;
use chicoryrail_policy::PeerId;
use chicoryrail_policy::Picker;
use chicoryrail_policy::Quantile;
use chicoryrail_policy::Ramp;
use chicoryrail_policy::RetryBudget;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn rng(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}

const fn load(free: u32, wait_us: u32) -> Load {
    Load {
        free,
        slots: 2,
        waiting: 0,
        wait_us,
        service_us: 4_000,
        probe: false,
    }
}

#[rstest]
#[case::refused_order(true, false, true)]
#[case::lost_lookup(false, true, true)]
#[case::lost_order(false, false, false)]
fn only_safe_requests_are_sent_again(
    #[case] not_run: bool,
    #[case] idempotent: bool,
    #[case] may: bool,
) {
    assert_eq!(RetryBudget::default().take(not_run, idempotent), may);
}

// Everything fails: each request asks for as many retries as it may have. The callers together cause
// at most a tenth more requests than they sent.
#[rstest]
fn retries_stay_within_a_tenth(#[values(1, 2, 3)] tries: u32) {
    let mut budget = RetryBudget::default();
    let mut sent = 0;
    for _ in 0..1_000 {
        budget.earn();
        sent += 1;
        for _ in 0..tries {
            sent += u32::from(budget.take(true, true));
        }
    }
    assert!(sent <= 1_100, "{sent}");
}

#[rstest]
#[case::lookup(Class::Interactive, false, true)]
#[case::keyed(Class::Interactive, true, false)]
#[case::order(Class::Order, false, false)]
#[case::batch(Class::Batch, false, false)]
fn only_free_lookups_are_hedged(#[case] class: Class, #[case] keyed: bool, #[case] may: bool) {
    let mut hedge = Hedge::default();
    for n in 0..1_000 {
        hedge.answered(Millis(n), 4_000);
    }
    assert_eq!(hedge.late_us(class, keyed).is_some(), may);
}

#[test]
fn hedges_stay_within_their_share() {
    for seed in 0..20 {
        let mut rng = rng(seed);
        let mut hedge = Hedge::default();
        let mut hedged = 0;
        for _ in 0..10_000 {
            hedge.earn();
            hedged += u32::from(rng.random_bool(0.5) && hedge.take(rng.random_range(0..3)));
        }
        assert!(hedged <= 300, "{hedged}");
    }
}

#[test]
fn hedge_needs_a_free_slot() {
    let mut hedge = Hedge::default();
    assert!(!hedge.take(0));
    assert!(hedge.take(1));
}

#[rstest]
#[case(0.5)]
#[case(0.97)]
#[case(0.99)]
fn quantile_is_within_a_tenth(#[case] q: f64) {
    for seed in 0..10 {
        let mut rng = rng(seed);
        let mut quantile = Quantile::new(Millis(1_000));
        let mut all: Vec<u32> = (0..5_000).map(|_| rng.random_range(500..50_000)).collect();
        for us in &all {
            quantile.add(Millis(5), *us);
        }
        all.sort_unstable();
        let exact = f64::from(all[(all.len() as f64 * q) as usize]);
        let found = f64::from(quantile.at(q).expect("enough samples"));
        assert!((0.9..=1.1).contains(&(found / exact)), "{found} {exact}");
    }
}

#[test]
fn old_latencies_are_forgotten() {
    let mut quantile = Quantile::new(Millis(1_000));
    for n in 0..200 {
        quantile.add(Millis(n), 90_000);
    }
    for n in 0..400 {
        quantile.add(Millis(1_000 + n * 5), 1_000);
    }
    assert!(quantile.at(0.99).expect("enough samples") < 2_000);
}

// A cold server answers slowly, and the loser of each hedge is cancelled. A cancelled request does
// not count as quick, so the ramp stays where it is.
#[test]
fn ramp_waits_for_a_row_of_quick_answers() {
    let mut ramp = Ramp::cold();
    for _ in 0..50 {
        for _ in 0..7 {
            ramp.answered(4_000, 4_000.0, 4);
        }
        ramp.cancelled();
    }
    assert_eq!(ramp.limit(4), 1);
    for _ in 0..8 {
        ramp.answered(4_000, 4_000.0, 4);
    }
    assert_eq!(ramp.limit(4), 2);
}

// A server is twice as slow as usual: not slow enough to be suspected, but not warm either.
#[test]
fn ramp_does_not_take_half_warm_for_warm() {
    let mut ramp = Ramp::cold();
    for _ in 0..100 {
        ramp.answered(8_000, 4_000.0, 4);
    }
    assert_eq!(ramp.limit(4), 1);
}

#[rstest]
#[case::own_free(Some(load(1, 0)), Some(load(2, 0)), Choice::Own)]
#[case::own_busy(Some(load(0, 9_000)), Some(load(2, 0)), Choice::Peer(PeerId(1)))]
#[case::peer_busier(Some(load(0, 2_000)), Some(load(0, 9_000)), Choice::Own)]
#[case::peer_unknown(Some(load(0, 9_000)), None, Choice::Peer(PeerId(1)))]
#[case::no_servers(None, Some(load(0, 9_000)), Choice::Peer(PeerId(1)))]
fn shorter_wait_wins(#[case] own: Option<Load>, #[case] peer: Option<Load>, #[case] want: Choice) {
    let mut picker = Picker::default();
    if let Some(load) = peer {
        picker.heard(Millis(10), PeerId(1), load);
    }
    let found = picker.pick(Millis(20), &mut rng(1), own, &[PeerId(1)]);
    assert_eq!(found, Some(want));
}

#[test]
fn nowhere_to_go() {
    assert_eq!(
        Picker::default().pick(Millis(0), &mut rng(1), None, &[]),
        None
    );
}

// A hint says that a peer has two free slots. After two requests went there, a third sees it busy.
#[test]
fn hint_is_corrected_by_what_was_sent() {
    let mut picker = Picker::default();
    picker.heard(Millis(10), PeerId(1), load(2, 0));
    let own = Some(load(0, 1_000));
    let mut found = Vec::new();
    for _ in 0..3 {
        let choice = picker.pick(Millis(10), &mut rng(1), own, &[PeerId(1)]);
        if let Some(Choice::Peer(p)) = choice {
            picker.sent(p);
        }
        found.extend(choice);
    }
    let peer = Choice::Peer(PeerId(1));
    assert_eq!(found, [peer, peer, Choice::Own]);
}

#[rstest]
#[case::own(Some(load(1, 0)), Some(load(2, 0)), Some(Choice::Own))]
#[case::peer(Some(load(0, 0)), Some(load(1, 0)), Some(Choice::Peer(PeerId(1))))]
#[case::unknown(Some(load(0, 0)), None, Some(Choice::Peer(PeerId(1))))]
#[case::all_busy(Some(load(0, 0)), Some(load(0, 0)), None)]
fn hedge_goes_to_a_free_slot(
    #[case] own: Option<Load>,
    #[case] peer: Option<Load>,
    #[case] want: Option<Choice>,
) {
    let mut picker = Picker::default();
    if let Some(load) = peer {
        picker.heard(Millis(10), PeerId(1), load);
    }
    let found = picker.pick_free(Millis(20), &mut rng(1), own, &[PeerId(1)], Choice::Own);
    assert_eq!(found, want);
}
