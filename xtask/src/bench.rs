//! The measurements.

use bpaf::Bpaf;

use crate::tools::print_json;

/// What to measure
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Bench {
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
            Self::Slopes { seed, quick } => {
                let report = chicoryrail_slopes::run(*seed, *quick);
                println!("{report}");
                print_json(&report)
            }
        }
    }
}
