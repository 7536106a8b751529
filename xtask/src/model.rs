//! The `model` command: exhaustive search of the protocol of leadership terms.

use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use chicoryrail_model::Config;
use chicoryrail_model::Disruptions;
use chicoryrail_model::HOSTS_MAX;
use chicoryrail_model::Model;
use chicoryrail_model::Progress;
use chicoryrail_model::Rule;
use chicoryrail_model::explore;

/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Options of the search
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ModelSearch {
    /// Maximum number of steps from the first state
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    depth: u32,
    /// Number of hosts, 1 to 5
    #[bpaf(
        argument("N"),
        guard(is_host_count, "hosts must be 1 to 5"),
        fallback(3),
        display_fallback
    )]
    hosts: usize,
    /// Number of states after which the search ends early
    #[bpaf(argument("N"), fallback(2_000_000), display_fallback)]
    states: u64,
    /// Rule of the leaders; all but `recorded` are known to be wrong
    #[bpaf(argument("RULE"), fallback(Rule::Recorded))]
    rule: Rule,
    /// Number of cuts of the network
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    cuts: u8,
    /// Number of processes that stand still
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pauses: u8,
    /// Number of restarts without memory
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    restarts: u8,
    /// Number of times that entries in the list of hosts end
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    lapses: u8,
    /// Number of lost responses of the store
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    lost_responses: u8,
    /// Number of messages that may be on their way at the same time
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    messages: usize,
    /// Ticks for which a grant may be on its way
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    grant_ticks: u64,
    /// Whether something may happen between the parts of a campaign, and of a change of the record of the keys
    split_writes: bool,
}

fn is_host_count(hosts: &usize) -> bool {
    (1..=HOSTS_MAX).contains(hosts)
}

impl ModelSearch {
    /// Runs the search and prints its progress and the shortest trace; returns `false` after a breach.
    pub(crate) fn run(&self) -> bool {
        let config = Config {
            disruptions: Disruptions {
                cuts: self.cuts,
                pauses: self.pauses,
                restarts: self.restarts,
                lapses: self.lapses,
                lost_responses: self.lost_responses,
            },
            whole_writes: !self.split_writes,
            ..Config::new(self.rule, self.hosts)
        };
        let model = Model::new(config.with_late_messages(self.messages, self.grant_ticks));
        let started = Instant::now();
        let mut last = started;
        let outcome = explore(&model, self.depth, self.states, |progress, _| {
            if last.elapsed() >= PROGRESS_INTERVAL {
                last = Instant::now();
                print_progress(progress, started.elapsed());
            }
        });
        print_progress(&outcome.progress, started.elapsed());
        match &outcome.breach {
            Some(steps) => print!("{}", model.describe(steps)),
            None if outcome.is_partial => println!("no breach, ended early after its last state"),
            None => println!("no breach within {} steps", self.depth),
        }
        outcome.breach.is_none()
    }
}

fn print_progress(progress: &Progress, elapsed: Duration) {
    let seconds = elapsed.as_secs_f64();
    let rate = progress.expanded as f64 / seconds.max(0.001);
    println!(
        "depth {}, {} states, {} steps, {seconds:.1} s, {rate:.0} states/s",
        progress.depth, progress.expanded, progress.steps
    );
}
