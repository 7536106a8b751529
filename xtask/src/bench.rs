//! The measurements.

use bpaf::Bpaf;

use crate::bench_control::ControlBench;
use crate::bench_control::control_bench;
use crate::bench_gate::GateBench;
use crate::bench_gate::gate_bench;
use crate::bench_outage::OutageBench;
use crate::bench_outage::outage_bench;
use crate::bench_straggler::StragglerBench;
use crate::bench_straggler::straggler_bench;
use crate::tools::print_json;

/// What to measure
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Bench {
    /// What control costs while nobody calls, and what it asks of the store
    #[bpaf(command)]
    Control(#[bpaf(external(control_bench))] ControlBench),
    /// One gate beside direct calls to the same server, in one run
    #[bpaf(command)]
    Gate(#[bpaf(external(gate_bench))] GateBench),
    /// What callers see while the store is down
    #[bpaf(command)]
    Outage(#[bpaf(external(outage_bench))] OutageBench),
    /// The decisions under load beside plain baselines, step-driven
    #[bpaf(command)]
    Policy {
        /// Only this case
        #[bpaf(argument("NAME"))]
        case: Option<String>,
        /// First seed
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Number of seeds
        #[bpaf(argument("N"), fallback(10), display_fallback)]
        seeds: u32,
    },
    /// The gate's placements beside each other while servers turn slow for moments
    #[bpaf(command)]
    Straggler(#[bpaf(external(straggler_bench))] StragglerBench),
    /// Costs per slice, server, peer and connection, behind docs/CAPACITY.md
    #[bpaf(command)]
    Slopes {
        /// Seed of the random numbers
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Small sizes only
        quick: bool,
    },
}

impl Bench {
    /// Runs the measurement and tells whether it succeeded.
    pub(crate) fn run(&self) -> bool {
        match self {
            Self::Control(bench) => bench.run(),
            Self::Gate(bench) => bench.run(),
            Self::Outage(bench) => bench.run(),
            Self::Straggler(bench) => bench.run(),
            Self::Policy { case, seed, seeds } => {
                match chicoryrail_bench::policy::run(case.as_deref(), *seed, *seeds) {
                    Ok(report) => {
                        println!("{report}");
                        true
                    }
                    Err(e) => {
                        eprintln!("{e}");
                        false
                    }
                }
            }
            Self::Slopes { seed, quick } => {
                let report = chicoryrail_slopes::run(*seed, *quick);
                println!("{report}");
                print_json(&report)
            }
        }
    }
}
