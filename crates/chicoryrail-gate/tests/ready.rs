//! What the gate says of itself during faults and a planned stop.

mod support;

use std::time::Duration;

use chicoryrail_runtime::block_on;
use nix::sys::signal::Signal;
use support::Gate;
use support::Target;
use support::World;
use support::get;
use support::outcome;
use support::route;

const BUNDLE: &str = r#"
team = "updraft"
[[data_centre]]
name = "north"
[[service]]
name = "lessons"
path = "/v1/lessons/"
kind = "free"
class = "interactive"
[[service.server]]
name = "s0"
data_centre = "north"
addr = "127.0.0.1:1"
[[service]]
name = "reports"
path = "/v1/reports/"
kind = "free"
class = "batch"
[[service.server]]
name = "s1"
data_centre = "north"
addr = "127.0.0.1:2"
"#;

/// Returns the statuses of `/healthz` and `/readyz`.
async fn says(gate: &Gate) -> (u16, u16) {
    let health = get(gate.observe, "/healthz").await.unwrap();
    let ready = get(gate.observe, "/readyz").await.unwrap();
    (health.status().as_u16(), ready.status().as_u16())
}

/// Waits until the gate says it.
async fn comes_to_say(gate: &Gate, expected: (u16, u16)) {
    for _ in 0..2_000 {
        if says(gate).await == expected {
            return;
        }
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(says(gate).await, expected);
}

/// A gate without a configuration knows no service: it lives, and the balancer keeps away. With
/// routes of both services it is ready; when its controllers are silent its routes run out, and two
/// seconds later it says so; it is ready again when they are back.
#[test]
fn readiness_follows_configuration_and_routes() {
    block_on(async {
        let target = Target::start("s0");
        let other = Target::start("s1");
        let world = World::start(1, &[]);
        let gate = &world.gates[0];
        comes_to_say(gate, (200, 503)).await;
        let control = &world.control;
        control.publish_free("lessons", 1, &[route(&target, "g0", 2)]);
        control.publish_free("reports", 1, &[route(&other, "g0", 2)]);
        control.set_bundle(1, BUNDLE);
        comes_to_say(gate, (200, 200)).await;
        control.silent.set(true);
        comes_to_say(gate, (200, 503)).await;
        control.silent.set(false);
        comes_to_say(gate, (200, 200)).await;
    });
}

/// The holder of one service's section is gone during a store outage, so nobody can take it over. A
/// gate that is started meanwhile serves the other service; kept away by the balancer until the
/// outage ends, it would be one host less for callers with each restart.
#[test]
fn a_gate_with_routes_of_one_service_becomes_ready() {
    block_on(async {
        let target = Target::start("s0");
        let world = World::start(1, &[]);
        let control = &world.control;
        control.publish_free("lessons", 1, &[route(&target, "g0", 2)]);
        control.set_bundle(1, BUNDLE);
        comes_to_say(&world.gates[0], (200, 200)).await;
        let answer = get(world.callers(0), "/v1/lessons/a").await.unwrap();
        assert_eq!(outcome(&answer).0, 200);
    });
}

/// The balancer learns of a planned stop before the gate sends callers away.
#[test]
fn a_stopping_gate_lives_and_is_not_ready() {
    block_on(async {
        let target = Target::start("s0");
        let other = Target::start("s1");
        let mut world = World::start(1, &["--balancer-wait-ms", "2000"]);
        let control = &world.control;
        control.publish_free("lessons", 1, &[route(&target, "g0", 2)]);
        control.publish_free("reports", 1, &[route(&other, "g0", 2)]);
        control.set_bundle(1, BUNDLE);
        world.ready().await;
        world.gates[0].signal(Signal::SIGTERM);
        comes_to_say(&world.gates[0], (200, 503)).await;
        let answer = get(world.callers(0), "/v1/lessons/a").await.unwrap();
        assert_eq!(outcome(&answer).0, 200);
        assert_eq!(world.gates[0].exit_code().await, Some(0));
    });
}
