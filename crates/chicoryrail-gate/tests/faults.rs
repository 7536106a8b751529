//! What callers get when servers, connections and routes fail.

mod support;

use chicoryrail_core::Millis;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::HttpError;
use chicoryrail_runtime::block_on;
use chicoryrail_wire::OrderOutcome;
use chicoryrail_wire::ServerRoute;
use chicoryrail_wire::ServerState;
use chicoryrail_wire::SliceState;
use futures_util::future::join_all;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use rstest::rstest;
use support::Act;
use support::Target;
use support::World;
use support::call;
use support::code;
use support::free_addr;
use support::get;
use support::order;
use support::outcome;
use support::route;
use support::until;

const BUNDLE: &str = r#"
team = "tanduay"
[[data_centre]]
name = "north"
[[service]]
name = "casks"
path = "/v1/casks/"
kind = "keyed"
class = "interactive"
deadline_ms = 2000
[[service.server]]
name = "s0"
data_centre = "north"
addr = "127.0.0.1:1"
[[service]]
name = "history"
path = "/v1/history/"
kind = "free"
class = "interactive"
deadline_ms = 2000
[[service.server]]
name = "s1"
data_centre = "north"
addr = "127.0.0.1:2"
"#;

/// Returns the route of the history's server, which stands at the target's address too.
fn history(target: &Target, gate: &str) -> ServerRoute {
    ServerRoute {
        name: "s1".into(),
        ..route(target, gate, 2)
    }
}

/// Starts gates; the last one holds the slots of `target`, which owns all casks.
async fn start(gates: usize, flags: &[&str], target: &Target) -> World {
    let world = World::start(gates, flags);
    let last = format!("g{}", gates - 1);
    world
        .control
        .publish("casks", 1, &[route(target, &last, 2)], 0);
    world
        .control
        .publish_free("history", 1, &[history(target, &last)]);
    world.control.set_bundle(1, BUNDLE);
    world.ready().await;
    world
}

/// The server sends a part of an answer and closes. The caller must not take the part for the
/// whole: it gets an error, or its lookup is sent again and the answer is whole.
#[rstest]
#[case::in_the_body_through_one_gate(1, usize::MAX)]
#[case::in_the_body_through_two_gates(2, usize::MAX)]
#[case::in_the_head(1, 30)]
#[case::before_the_first_byte(1, 0)]
#[case::before_the_first_byte_through_two_gates(2, 0)]
fn a_cut_answer_is_never_a_short_one(#[case] gates: usize, #[case] bytes: usize) {
    block_on(async {
        let target = Target::start("s0");
        let world = start(gates, &[], &target).await;
        target.then(Act::Cut(bytes));
        let answer = get(world.callers(0), "/v1/casks/c1").await;
        let body_began = bytes == usize::MAX;
        match answer {
            Err(HttpError::Answer { .. } | HttpError::Call { .. }) if body_began => {}
            Ok(answer) if !body_began => {
                assert_eq!(outcome(&answer).2, "s0 GET /v1/casks/c1 0");
                assert_eq!(target.runs(), 2);
            }
            other => panic!("{other:?}"),
        }
    });
}

/// A server answers a request with the answer to another one, or sends a second answer that the
/// next request on the connection would take for its own. Each of the callers that follow gets the
/// answer to its own path.
#[rstest]
#[case::crossed(Act::Crossed)]
#[case::doubled(Act::Twice)]
fn an_answer_reaches_no_other_caller(#[case] act: Act) {
    block_on(async {
        let target = Target::start("s0");
        let world = start(1, &[], &target).await;
        target.then(act);
        for i in 0..20 {
            let path = format!("/v1/casks/c{i}");
            let answer = get(world.callers(0), &path).await.unwrap();
            let found = (code(&answer), outcome(&answer).2);
            let own = (None, format!("s0 GET {path} 0"));
            assert_eq!(found, own);
        }
    });
}

/// A lookup runs and its answer is lost; the sends that follow are refused by the server, which runs
/// none of them. The caller must not hear "not run" from the last refusal: the first send did run.
#[rstest]
#[case::through_one_gate(1, "/v1/casks/c1")]
#[case::through_two_gates(2, "/v1/casks/c1")]
#[case::of_a_free_service(2, "/v1/history/h1")]
fn not_run_is_said_of_every_send(#[case] gates: usize, #[case] path: &str) {
    block_on(async {
        let target = Target::start("s0");
        let world = start(gates, &[], &target).await;
        target.then(Act::Cut(0));
        (0..10).for_each(|_| target.then(Act::NotRun));
        let answer = get(world.callers(0), path).await.unwrap();
        assert_eq!((code(&answer), target.runs()), (Some(1200), 1));
    });
}

/// The answer comes after the caller's deadline: the caller is told so in time, the server is told
/// to give up, and the late answer meets a closed connection.
#[test]
fn a_late_answer_is_given_up_and_cancelled() {
    block_on(async {
        let target = Target::start("s0");
        let world = start(1, &[], &target).await;
        target.then(Act::Slow(600));
        let headers = [("deadline-ms", "150")];
        let late = call(world.callers(0), "GET", "/v1/casks/c1", &headers, b"").await;
        assert_eq!(code(&late.unwrap()), Some(1202));
        until("the server is told", || {
            target.cancelled.borrow().len() == 1
        })
        .await;
        let next = get(world.callers(0), "/v1/casks/c2").await.unwrap();
        assert_eq!(outcome(&next).2, "s0 GET /v1/casks/c2 0");
    });
}

/// A caller closes its connection while its lookup is at the server: the server is told to give up.
#[rstest]
#[case::one_gate(1)]
#[case::two_gates(2)]
fn a_caller_that_leaves_cancels_its_lookup(#[case] gates: usize) {
    block_on(async {
        let target = Target::start("s0");
        let world = start(gates, &[], &target).await;
        target.then(Act::Slow(1_500));
        let mut stream = TcpStream::connect(world.callers(0)).await.unwrap();
        let head = "GET /v1/casks/c1 HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(head.as_bytes().to_vec()).await.0.unwrap();
        until("the lookup is at the server", || target.runs() == 1).await;
        drop(stream);
        until("the server is told", || {
            target.cancelled.borrow().len() == 1
        })
        .await;
    });
}

/// An order's connection is cut at every class of byte. It runs at most once; where it may have run
/// the caller learns "outcome unknown", also when it asks again with the same id, and never a second
/// run.
#[rstest]
#[case::before_the_answer(1, 0, Some(1200))]
#[case::before_the_answer_through_two_gates(2, 0, Some(1200))]
#[case::in_the_head(1, 30, Some(1200))]
#[case::in_the_head_through_two_gates(2, 30, Some(1200))]
#[case::in_the_body(1, usize::MAX, None)]
#[case::in_the_body_through_two_gates(2, usize::MAX, None)]
fn an_order_that_is_cut_runs_at_most_once(
    #[case] gates: usize,
    #[case] bytes: usize,
    #[case] number: Option<u16>,
) {
    block_on(async {
        let target = Target::start("s0");
        let world = start(gates, &[], &target).await;
        target.then(Act::Cut(bytes));
        let first = order(world.callers(0), "/v1/casks/c1", "o1").await;
        match number {
            Some(number) => assert_eq!(code(&first.unwrap()), Some(number)),
            None => assert!(first.is_err()),
        }
        let unknown = Some(OrderOutcome::Unknown);
        until("it is reported", || world.control.closed("o1") == unknown).await;
        let second = order(world.callers(0), "/v1/casks/c1", "o1").await.unwrap();
        assert_eq!(code(&second), Some(1200));
        assert_eq!(target.runs(), 1);
    });
}

/// Nobody listens at the server's address: no byte of the order was written, so the refusal says
/// "not run" and tells when to come back, and the same id runs once after the server is back.
/// A lookup runs and its answer is lost; it is sent again, and each further try is refused before
/// it runs. The caller must not hear "not run" because the last try was not: the first one was.
#[rstest]
#[case::through_one_gate(1)]
#[case::through_two_gates(2)]
fn a_lookup_is_not_run_only_if_no_try_of_it_ran(#[case] gates: usize) {
    block_on(async {
        let target = Target::start("s0");
        let world = start(gates, &[], &target).await;
        target.then(Act::Cut(0));
        (0..5).for_each(|_| target.then(Act::NotRun));
        let answer = get(world.callers(0), "/v1/casks/c1").await.unwrap();
        assert_eq!(target.runs(), 1);
        assert_eq!(code(&answer), Some(1200));
    });
}

#[test]
fn an_order_that_was_not_written_may_be_sent_again() {
    block_on(async {
        let target = Target::start("s0");
        let world = start(1, &["--hold-ms", "200"], &target).await;
        let mut gone = route(&target, "g0", 2);
        gone.addr = free_addr();
        world.control.publish("casks", 2, &[gone], 0);
        until("the route is in force", || {
            world.control.knows("g0", "casks", 2)
        })
        .await;
        let first = order(world.callers(0), "/v1/casks/c1", "o1").await.unwrap();
        assert_eq!(code(&first), Some(1102));
        assert!(first.headers().contains_key("retry-after"));
        assert_eq!(world.control.closed("o1"), Some(OrderOutcome::NotRun));
        world
            .control
            .publish("casks", 3, &[route(&target, "g0", 2)], 0);
        until("the route is in force", || {
            world.control.knows("g0", "casks", 3)
        })
        .await;
        let second = order(world.callers(0), "/v1/casks/c1", "o1").await.unwrap();
        assert_eq!(code(&second), None);
        assert_eq!(target.runs(), 1);
    });
}

#[test]
fn an_order_that_the_server_refuses_unrun_is_sent_again() {
    block_on(async {
        let target = Target::start("s0");
        let world = start(1, &[], &target).await;
        target.then(Act::NotRun);
        let answer = order(world.callers(0), "/v1/casks/c1", "o1").await.unwrap();
        assert_eq!(outcome(&answer).2, "s0 POST /v1/casks/c1 7");
        assert_eq!(target.runs(), 1);
    });
}

/// Ten callers send the same order at once. One is sent; the others wait for its outcome and get
/// the same answer.
#[test]
fn duplicates_of_a_running_order_get_its_answer() {
    block_on(async {
        let target = Target::start("s0");
        let world = start(2, &[], &target).await;
        target.then(Act::Slow(100));
        let calls = (0..10).map(|i| order(world.callers(i % 2), "/v1/casks/c1", "o1"));
        for answer in join_all(calls).await {
            assert_eq!(outcome(&answer.unwrap()).2, "s0 POST /v1/casks/c1 7");
        }
        assert_eq!(target.runs(), 1);
    });
}

/// A caller leaves while its order runs. The order comes to its end, and the caller's next try gets
/// the outcome in place of a second run.
#[test]
fn an_order_outlives_its_caller() {
    block_on(async {
        let target = Target::start("s0");
        let world = start(1, &[], &target).await;
        target.then(Act::Slow(200));
        let mut stream = TcpStream::connect(world.callers(0)).await.unwrap();
        let head = "POST /v1/casks/c1 HTTP/1.1\r\nhost: x\r\norder-id: o1\r\n\
                    content-length: 7\r\n\r\n{\"n\":1}";
        stream.write_all(head.as_bytes().to_vec()).await.0.unwrap();
        until("the order is at the server", || target.runs() == 1).await;
        drop(stream);
        let second = order(world.callers(0), "/v1/casks/c1", "o1").await.unwrap();
        assert_eq!(outcome(&second).2, "s0 POST /v1/casks/c1 7");
        assert_eq!(target.runs(), 1);
    });
}

/// The slice moves while a request is in flight on it. The gate holds new requests, acknowledges the
/// move only when the old owner has answered what it had, and lets the held ones go to the new
/// owner. Nobody is refused.
#[rstest]
#[case::one_gate(1)]
#[case::two_gates(2)]
fn requests_are_held_over_a_move(#[case] gates: usize) {
    block_on(async {
        let (old, new) = (Target::start("s0"), Target::start("s9"));
        let world = start(gates, &[], &old).await;
        let control = &world.control;
        let last = format!("g{}", gates - 1);
        let servers = [route(&old, &last, 2), route(&new, &last, 2)];
        old.then(Act::Slow(300));
        let in_flight = get(world.callers(0), "/v1/casks/c1");
        let during = async {
            until("it is in flight", || old.runs() == 1).await;
            control.publish_as("casks", 2, &servers, 0, SliceState::Moving);
            monoio::time::sleep(Millis(100).duration()).await;
            assert!(!control.knows(&last, "casks", 2));
            let held = get(world.callers(0), "/v1/casks/c2");
            let moved = async {
                for gate in 0..gates {
                    let name = format!("g{gate}");
                    until("the move is known", || control.knows(&name, "casks", 2)).await;
                }
                assert_eq!(old.busy.get().0, 0);
                assert_eq!(new.runs(), 0);
                control.publish("casks", 3, &servers, 1);
            };
            futures_util::join!(held, moved).0
        };
        let (first, held) = futures_util::join!(in_flight, during);
        assert_eq!(outcome(&first.unwrap()).2, "s0 GET /v1/casks/c1 0");
        assert_eq!(outcome(&held.unwrap()).2, "s9 GET /v1/casks/c2 0");
        assert_eq!((old.runs(), new.runs()), (1, 1));
    });
}

/// A server freezes with a lookup in flight, and the controller gives its keys to another one. The
/// server checks fences, so the gate acknowledges the move without waiting for the frozen answer,
/// and the lookup goes to the new owner long before its deadline.
#[test]
fn a_lookup_leaves_a_lost_server() {
    block_on(async {
        let (old, new) = (Target::start("s0"), Target::start("s9"));
        let world = start(1, &[], &old).await;
        let control = &world.control;
        control.set_bundle(
            2,
            &BUNDLE.replace("deadline_ms", "fenced = true\ndeadline_ms"),
        );
        until("the bundle is in force", || control.asked(2)).await;
        old.then(Act::Slow(1_900));
        let lookup = get(world.callers(0), "/v1/casks/c1");
        let loss = async {
            until("it is in flight", || old.runs() == 1).await;
            let lost = ServerRoute {
                state: ServerState::Lost,
                ..route(&old, "g0", 2)
            };
            let servers = [lost, route(&new, "g0", 2)];
            control.publish_as("casks", 2, &servers, 0, SliceState::Moving);
            until("the move is known", || control.knows("g0", "casks", 2)).await;
            assert_eq!(old.busy.get().0, 1);
            control.publish("casks", 3, &servers, 1);
        };
        let (answer, ()) = futures_util::join!(lookup, loss);
        assert_eq!(outcome(&answer.unwrap()).2, "s9 GET /v1/casks/c1 0");
        assert_eq!((old.busy.get().0, old.runs()), (1, 1));
    });
}

/// The server checks no fences and freezes with a lookup in flight. It would run the lookup when it
/// wakes up, so the gate acknowledges the move only when the lookup's deadline has passed, although
/// its caller has long left.
#[test]
fn a_move_waits_for_what_an_unfenced_server_may_still_run() {
    block_on(async {
        let (old, new) = (Target::start("s0"), Target::start("s9"));
        let world = start(1, &[], &old).await;
        let control = &world.control;
        old.then(Act::Slow(10_000));
        let lookup = get(world.callers(0), "/v1/casks/c1");
        let left = monoio::time::timeout(Millis(200).duration(), lookup).await;
        assert!(left.is_err());
        let lost = ServerRoute {
            state: ServerState::Lost,
            ..route(&old, "g0", 2)
        };
        let servers = [lost, route(&new, "g0", 2)];
        let moved = std::time::Instant::now();
        control.publish_as("casks", 2, &servers, 0, SliceState::Moving);
        until("the move is known", || control.knows("g0", "casks", 2)).await;
        // Two seconds of deadline, of which some 200 ms had passed at the move.
        assert!(moved.elapsed() >= Millis(1_000).duration());
    });
}

/// The gate is stopped while a lookup waits behind another one for the server's only slot, and the
/// routes run out meanwhile. When it goes on it reads the first answer, and the waiting lookup gets
/// the slot: it must not be sent to the server that has lost the key.
#[test]
fn a_gate_that_slept_sends_nothing_to_an_old_owner() {
    block_on(async {
        let (old, new) = (Target::start("s0"), Target::start("s9"));
        let world = start(1, &[], &old).await;
        let control = &world.control;
        control.publish("casks", 2, &[route(&old, "g0", 1)], 0);
        until("one slot", || control.knows("g0", "casks", 2)).await;
        old.then(Act::Slow(300));
        let first = get(world.callers(0), "/v1/casks/c1");
        let second = async {
            until("the first is in flight", || old.runs() == 1).await;
            get(world.callers(0), "/v1/casks/c2").await
        };
        let pause = async {
            until("the first is in flight", || old.runs() == 1).await;
            monoio::time::sleep(Millis(100).duration()).await;
            world.gates[0].signal(nix::sys::signal::Signal::SIGSTOP);
            monoio::time::sleep(Millis(1_000).duration()).await;
            let servers = [route(&old, "g0", 1), route(&new, "g0", 1)];
            control.publish("casks", 3, &servers, 1);
            world.gates[0].signal(nix::sys::signal::Signal::SIGCONT);
        };
        let (first, second, ()) = futures_util::join!(first, second, pause);
        assert_eq!(outcome(&first.unwrap()).2, "s0 GET /v1/casks/c1 0");
        assert_eq!(outcome(&second.unwrap()).2, "s9 GET /v1/casks/c2 0");
        assert_eq!((old.runs(), new.runs()), (1, 1));
    });
}

/// The controller falls silent. When the routes have run out the gate sends nothing more, holds a
/// request for the bounded time and refuses it with the time to come back.
#[test]
fn nothing_is_sent_under_routes_that_ran_out() {
    block_on(async {
        let target = Target::start("s0");
        let world = start(1, &["--hold-ms", "300"], &target).await;
        world.control.silent.set(true);
        monoio::time::sleep(Millis(1_000).duration()).await;
        let answer = get(world.callers(0), "/v1/casks/c1").await.unwrap();
        assert_eq!((code(&answer), target.runs()), (Some(1102), 0));
        assert!(answer.headers().contains_key("retry-after"));
        world.control.silent.set(false);
        for _ in 0..50 {
            let answer = get(world.callers(0), "/v1/casks/c1").await.unwrap();
            if code(&answer).is_none() {
                assert_eq!(target.runs(), 1);
                return;
            }
        }
        panic!("the gate does not serve again");
    });
}

#[rstest]
#[case::taken_out(ServerState::Out)]
#[case::lost(ServerState::Lost)]
fn a_server_that_is_out_gets_no_new_work(#[case] state: ServerState) {
    block_on(async {
        let target = Target::start("s0");
        let world = start(1, &["--hold-ms", "100"], &target).await;
        let out = ServerRoute {
            state,
            ..route(&target, "g0", 2)
        };
        world
            .control
            .publish("casks", 2, std::slice::from_ref(&out), 0);
        let out = ServerRoute {
            state,
            ..history(&target, "g0")
        };
        world.control.publish_free("history", 2, &[out]);
        until("the route is in force", || {
            world.control.knows("g0", "history", 2)
        })
        .await;
        let keyed = get(world.callers(0), "/v1/casks/c1").await.unwrap();
        let free = get(world.callers(0), "/v1/history/x").await.unwrap();
        assert_eq!((code(&keyed), code(&free)), (Some(1103), Some(1102)));
        assert_eq!(target.runs(), 0);
    });
}

/// Callers send lookups over kept connections through two gates while one of them is told to stop.
/// It hands its servers over, says `connection: close` with its last answers and ends with code 0.
/// Every request that was sent has its whole answer; a caller finds its connection closed only
/// between two requests, and goes to the other gate.
#[test]
fn a_graceful_stop_cuts_no_request() {
    block_on(async {
        let target = Target::start("s0");
        let mut world = start(2, &["--balancer-wait-ms", "200"], &target).await;
        let (stays, leaves) = (world.callers(0), world.callers(1));
        (0..2_000).for_each(|_| target.then(Act::Slow(2)));
        let callers =
            join_all((0..8).map(|i| lookups(if i % 2 == 0 { stays } else { leaves }, stays)));
        let control = std::rc::Rc::clone(&world.control);
        let gate = &mut world.gates[1];
        let stop = async {
            monoio::time::sleep(Millis(100).duration()).await;
            gate.signal(nix::sys::signal::Signal::SIGTERM);
            until("the gate leaves", || !control.leaving.borrow().is_empty()).await;
            // As the controller does it: nobody holds the slots until the old gate has none in use.
            let nobody = ServerRoute {
                gate: None,
                ..route(&target, "g1", 2)
            };
            control.publish("casks", 2, &[nobody], 0);
            until("the gate lets go", || control.knows("g1", "casks", 2)).await;
            control.publish("casks", 3, &[route(&target, "g0", 2)], 0);
            control.publish_free("history", 2, &[history(&target, "g0")]);
            assert_eq!(gate.exit_code().await, Some(0));
        };
        let (answers, ()) = futures_util::join!(callers, stop);
        let answered: usize = answers.iter().sum();
        assert_eq!((answered, target.runs()), (8 * 150, 8 * 150));
    });
}

/// Sends lookups one after the other until the gate closes the connection, then to the other one.
async fn lookups(first: std::net::SocketAddr, then: std::net::SocketAddr) -> usize {
    let client = HttpClient::default();
    let mut at = first;
    for i in 0..150 {
        let path = format!("/v1/casks/c{i}");
        let request = || http::Request::get(&path).body(bytes::Bytes::new()).unwrap();
        let answer = match client.call(at, request(), support::PATIENCE).await {
            Err(HttpError::Connect { .. }) => {
                at = then;
                client.call(at, request(), support::PATIENCE).await
            }
            answer => answer,
        };
        assert_eq!(outcome(&answer.unwrap()).2, format!("s0 GET {path} 0"));
    }
    150
}
