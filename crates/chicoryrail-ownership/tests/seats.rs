//! The one gate of each server over take-overs.

use chicoryrail_core::Bundle;
use chicoryrail_core::DcName;
use chicoryrail_core::Epoch;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::Service;
use chicoryrail_ownership::Section;
use chicoryrail_ownership::Timing;

const TIMING: Timing = Timing::STANDARD;
const SERVER: &str = "s0";

fn service() -> Service {
    let text = "team = \"t\"\n[[data_centre]]\nname = \"a\"\n[[service]]\nname = \"history\"\n\
                path = \"/v1/history/\"\nkind = \"free\"\nclass = \"interactive\"\n\
                [[service.server]]\nname = \"s0\"\ndata_centre = \"a\"\naddr = \"127.0.0.1:9000\"\n";
    Bundle::parse(text).unwrap().services.remove(0)
}

/// Takes a section over at 0 ms, in an epoch that is not the first.
fn taken_over() -> Section {
    Section::new(Millis(0), Epoch(2), service(), 0, None, TIMING)
}

fn gate(name: &str) -> (HostName, DcName) {
    (name.into(), "a".into())
}

/// Ticks the section each 10 ms for a second and returns the gates in its routes, with the time from
/// which each was there.
fn seats(section: &mut Section, live: &[(HostName, DcName)]) -> Vec<(u64, Option<HostName>)> {
    let mut all: Vec<(u64, Option<HostName>)> = Vec::new();
    for now in (0..1_000).step_by(10) {
        section.tick(Millis(now), true, live);
        let gate = section.routes().servers[0].gate.clone();
        if all.last().is_none_or(|(_, last)| *last != gate) {
            all.push((now, gate));
        }
    }
    all
}

/// Callers go on being served when a controller is lost. The last epoch's deputy takes over; the
/// gate in its copy is the only one that can have the server, so it is named from the start, and not
/// only once all routes of the last holder have run out.
#[test]
fn a_deputy_goes_on_with_the_gates_of_its_copy() {
    let mut section = taken_over();
    section.resume_seat(&ServerName::new(SERVER), &"g0".into());
    let seen = seats(&mut section, &[gate("g0")]);
    assert_eq!(seen, [(0, Some("g0".into()))]);
}

/// A newcomer without the copy can't know which gate has the server.
#[test]
fn a_stranger_waits_until_old_routes_have_run_out() {
    let seen = seats(&mut taken_over(), &[gate("g0")]);
    let free = TIMING.others(TIMING.route).0.next_multiple_of(10);
    assert_eq!(seen, [(0, None), (free, Some("g0".into()))]);
}

/// The gate of the copy is gone at the take-over, and the new holder has never heard from it. It may
/// still be at work with the routes that the last holder gave it, so no other gate gets the server
/// before those have run out.
#[test]
fn a_gate_that_was_never_heard_may_still_have_the_server() {
    let mut section = taken_over();
    section.resume_seat(&ServerName::new(SERVER), &"g0".into());
    let seen = seats(&mut section, &[gate("g1")]);
    let free = TIMING.others(TIMING.route).0.next_multiple_of(10);
    assert_eq!(seen, [(0, None), (free, Some("g1".into()))]);
}

/// Right after a take-over the gate of a server is restarted. It says that it let the server go, so
/// nobody has it, and the next gate is named at once; before, its callers waited until the routes of
/// the last holder had run out, some 700 ms.
#[test]
fn a_gate_that_let_go_needs_no_wait_for_old_routes() {
    let mut section = taken_over();
    section.resume_seat(&ServerName::new(SERVER), &"g0".into());
    let live = [gate("g1")];
    section.tick(Millis(0), true, &live);
    section.tick(Millis(10), true, &live);
    let without = section.fence();
    let gates = section.gates_mut();
    gates.renewed(Millis(20), &"g0".into(), 1, &TIMING);
    gates.acknowledged(&"g0".into(), 1, without);
    section.tick(Millis(30), true, &live);
    section.tick(Millis(40), true, &live);
    assert_eq!(section.routes().servers[0].gate, Some("g1".into()));
}
