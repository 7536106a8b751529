//! Servers that refuse requests although they are idle. A refusal is fast and leaves a slot free, so such a server would be
//! the first choice for each further request.

mod support;

use chicoryrail_core::Millis;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Failure;
use chicoryrail_policy::Placement;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerStatus;
use chicoryrail_policy::SlotRelease;
use chicoryrail_policy::SlotRequest;
use rstest::rstest;

/// Time between two requests of the load: 40 a second.
const REQUEST_INTERVAL_MS: u64 = 25;

/// Time that a refusal takes, and that a response takes.
const REFUSAL_MS: u64 = 1;
const RESPONSE_MS: u64 = 40;

/// Time from the first refusal on after which few requests are sent to the server.
const SETTLED_MS: u64 = 2_000;

/// A load on a service whose server 0 refuses requests.
struct Load {
    scheduler: Scheduler,
    /// Requests at the servers, with the time of their end and whether they are refused.
    at_servers: Vec<(u64, u64, ServerId, bool)>,
    now: u64,
    /// Times of the sends to server 0.
    sent_there: Vec<u64>,
    sends: usize,
}

impl Load {
    fn new(servers: u32) -> Self {
        let mut scheduler = Scheduler::default();
        for id in 0..servers {
            scheduler.update_server(Millis::ZERO, ServerId(id), ServerStatus::warm(2));
        }
        Self {
            scheduler,
            at_servers: Vec::new(),
            now: 0,
            sent_there: Vec::new(),
            sends: 0,
        }
    }

    /// Runs the load for `ms`. `refuses` returns whether server 0 refuses its request of this number.
    fn run(&mut self, ms: u64, refuses: impl Fn(usize) -> bool) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            self.end_requests();
            if self.now.is_multiple_of(REQUEST_INTERVAL_MS) {
                self.scheduler.enqueue(Millis(self.now), request(self.now));
            }
            for (ticket, decision) in self.scheduler.poll(Millis(self.now), |_| Placement::Any) {
                let Decision::Send(server) = decision else {
                    continue;
                };
                let is_refused = server == ServerId(0) && refuses(self.sent_there.len());
                if server == ServerId(0) {
                    self.sent_there.push(self.now);
                }
                self.sends += 1;
                let took = if is_refused { REFUSAL_MS } else { RESPONSE_MS };
                self.at_servers
                    .push((self.now + took, ticket, server, is_refused));
            }
        }
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let ended = self.at_servers.extract_if(.., |(end, ..)| *end <= now);
        for (end, ticket, server, is_refused) in ended.collect::<Vec<_>>() {
            let took = if is_refused { REFUSAL_MS } else { RESPONSE_MS };
            let release = SlotRelease {
                ticket,
                server,
                elapsed_us: Some(took as f64 * 1_000.0),
                failure: is_refused.then_some(Failure::Full),
                report: None,
            };
            self.scheduler.release(Millis(end), &release);
        }
    }

    fn sent_there_since(&self, from: u64) -> usize {
        self.sent_there.iter().filter(|at| **at >= from).count()
    }
}

fn request(now: u64) -> SlotRequest {
    SlotRequest {
        work_us: RESPONSE_MS as f64 * 1_000.0,
        key: None,
        tolerates_waiting: false,
        ..support::request(now, Millis(now))
    }
}

/// Guards against an idle server that refuses everything and gets most requests for that, each of which then needs a retry.
#[rstest]
#[case::one_of_four(4)]
#[case::one_of_forty(40)]
fn a_server_that_refuses_everything_gets_few_requests(#[case] servers: u32) {
    let mut load = Load::new(servers);
    load.run(12_000, |_| true);
    let first = load.sent_there.first().copied().unwrap_or_default();
    let there = load.sent_there_since(first + SETTLED_MS);
    let all = (12_000 - first - SETTLED_MS) / REQUEST_INTERVAL_MS;
    println!("{there} of {all}");
    assert!(there as u64 * 50 <= all, "{there} of {all}");
}

/// Guards against a server that stays without requests after it has recovered.
#[test]
fn a_server_that_has_recovered_gets_its_share_again() {
    let mut load = Load::new(4);
    load.run(6_000, |_| true);
    let recovered = load.now;
    load.run(10_000, |_| false);
    let there = load.sent_there_since(recovered + 5_000);
    let share = 5_000 / REQUEST_INTERVAL_MS / 4;
    println!("{there} of {share}");
    assert!(there as u64 * 2 >= share, "{there} of {share}");
}

/// Guards against a server that is set aside although it serves half of its requests: a busy server refuses some, too.
#[test]
fn a_server_that_refuses_every_second_request_keeps_its_work() {
    let mut load = Load::new(4);
    load.run(12_000, |i| i % 2 == 0);
    let there = load.sent_there_since(SETTLED_MS);
    let share = 10_000 / REQUEST_INTERVAL_MS / 4;
    println!("{there} of {share}");
    assert!(there as u64 * 2 >= share, "{there} of {share}");
}

/// Guards against a service that is out of reach for long after all its servers have refused for a time.
#[test]
fn a_service_whose_servers_all_refused_is_served_again_soon() {
    let mut scheduler = Scheduler::default();
    scheduler.update_server(Millis::ZERO, ServerId(0), ServerStatus::warm(2));
    let mut load = Load {
        scheduler,
        ..Load::new(0)
    };
    load.run(6_000, |_| true);
    let recovered = load.now;
    load.run(5_000, |_| false);
    let served_from = load.sent_there.iter().find(|at| **at >= recovered);
    let waited = served_from.map(|at| at - recovered);
    println!("{waited:?} ms");
    assert!(waited.is_some_and(|ms| ms <= 2_000), "{waited:?}");
}
