//! What callers see while the store is down.

use std::thread;

use bpaf::Bpaf;
use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::CallRecord;
use chicoryrail_testkit::Checker;
use chicoryrail_testkit::Cluster;
use chicoryrail_testkit::ClusterError;
use chicoryrail_testkit::ClusterOptions;
use chicoryrail_testkit::Deployment;
use chicoryrail_testkit::Load;
use chicoryrail_testkit::LoadKind;
use chicoryrail_testkit::LoadOptions;
use chicoryrail_testkit::LoadSummary;
use chicoryrail_testkit::Outcome;
use chicoryrail_testkit::StoreFault;
use serde::Serialize;

use crate::tools::ROLL_LIMIT;
use crate::tools::print_json;

/// Load before and after the outage.
const AROUND: Millis = Millis(3_000);

/// Requests a second.
const RATE: f64 = 500.0;

/// How long the store is down
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct OutageBench {
    /// Seconds of the outage
    #[bpaf(argument("N"), fallback(30), display_fallback)]
    seconds: u64,
    /// Seed of the load
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
}

/// What callers saw, from before the outage to after it.
#[derive(Clone, Debug, Serialize)]
struct Figures {
    deployment: &'static str,
    seconds: u64,
    lookups: usize,
    lookups_refused: usize,
    orders: usize,
    orders_refused: usize,
    orders_unknown: usize,
    violations: usize,
    p99_ms: f64,
}

impl OutageBench {
    /// Runs both deployments; false where a settled key's lookup was not answered, a promise was
    /// broken or a process failed.
    pub(crate) fn run(&self) -> bool {
        let mut figures = Vec::new();
        for deployment in [Deployment::Updraft, Deployment::Tanduay] {
            match self.one(deployment) {
                Ok(found) => figures.push(found),
                Err(e) => {
                    eprintln!("{deployment}: {e}");
                    return false;
                }
            }
        }
        let held = figures
            .iter()
            .all(|f| f.lookups_refused == 0 && f.violations == 0);
        print_json(&figures) && held
    }

    fn one(&self, deployment: Deployment) -> Result<Figures, ClusterError> {
        let mut cluster = Cluster::start(ClusterOptions::new(deployment))?;
        cluster.roll(ROLL_LIMIT)?;
        let outage = Millis(self.seconds * 1_000);
        let load = Load::new(LoadOptions {
            gates: cluster.gates(),
            services: deployment.load(),
            length: AROUND + outage + AROUND,
            rate: Some(RATE),
            seed: self.seed,
            ..LoadOptions::default()
        });
        let loaded = thread::spawn(move || block_on(load.run()));
        thread::sleep(AROUND.duration());
        let down = StoreFault::Down {
            for_ms: outage.0,
            share: 1.0,
            polite: false,
            hosts: Vec::new(),
        };
        cluster.put_fault(cluster.store(), &down)?;
        let records = loaded.join().unwrap_or_default();
        cluster.check()?;
        let count = |kind: LoadKind, met: fn(&CallRecord) -> bool| {
            records.iter().filter(|r| r.kind == kind && met(r)).count()
        };
        Ok(Figures {
            deployment: deployment.name(),
            seconds: self.seconds,
            lookups: count(LoadKind::Lookup, |_| true),
            lookups_refused: count(LoadKind::Lookup, |r| r.outcome != Outcome::Done),
            orders: count(LoadKind::Order, |_| true),
            orders_refused: count(LoadKind::Order, |r| r.outcome == Outcome::NotRun),
            orders_unknown: count(LoadKind::Order, |r| r.outcome == Outcome::Unknown),
            p99_ms: LoadSummary::of(&records).p99_ms,
            violations: Checker::new(&cluster.bundle())
                .check(&cluster.evidence(records)?)
                .len(),
        })
    }
}
