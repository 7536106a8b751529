//! Attacks on invariants of the gate; a broken one ends the gate's process.

mod support;

use chicoryrail_runtime::block_on;
use rstest::rstest;
use support::Act;
use support::Target;
use support::World;
use support::get;
use support::outcome;
use support::route;

const BUNDLE: &str = r#"
team = "tanduay"
[[data_centre]]
name = "north"
[[service]]
name = "history"
path = "/v1/casks/"
kind = "keyed"
class = "interactive"
deadline_ms = 3000
slots = 2
[[service.server]]
name = "s0"
data_centre = "north"
addr = "127.0.0.1:1"
"#;

/// A buyer's lookup is cut at the server, which may have run it. The gate tries again, and the
/// server refuses the second try as not run. The refusal must not say that of the whole request:
/// the first try may have run.
#[rstest]
#[case::at_the_gate_of_the_server(1, 0)]
#[case::through_another_gate(2, 1)]
fn a_lookup_that_may_have_run_is_not_called_not_run(#[case] gates: usize, #[case] at: usize) {
    block_on(async {
        let target = Target::start("s0");
        let world = World::start(gates, &["--hold-ms", "200"]);
        world
            .control
            .publish("history", 1, &[route(&target, "g0", 2)], 0);
        world.control.set_bundle(1, BUNDLE);
        world.ready().await;
        target.then(Act::Cut(9));
        for _ in 0..4 {
            target.then(Act::NotRun);
        }
        let answer = get(world.callers(at), "/v1/casks/c1").await.unwrap();
        let (status, code, _) = outcome(&answer);
        assert_eq!((status, code, target.runs()), (502, Some(1200), 1));
        let broken = "chicoryrail_invariant_violations_total";
        assert_eq!(world.gates[at].metric(broken).await, 0.0);
    });
}
