//! The whole measurement and how it is shown.

use std::fmt;

use serde::Serialize;

use crate::Fit;
use crate::call_costs;
use crate::link_memory;
use crate::session_cost;
use crate::spread_time;
use crate::table_costs;

/// One measured slope.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// What was measured.
    pub name: &'static str,
    /// Unit of the slope.
    pub unit: &'static str,
    /// The line through the points.
    pub fit: Fit,
    /// The points, (size, cost).
    pub points: Vec<(f64, f64)>,
}

impl Line {
    /// Fits a line through the points.
    #[must_use]
    pub fn new(name: &'static str, unit: &'static str, points: &[(f64, f64)]) -> Self {
        Self {
            name,
            unit,
            fit: Fit::of(points),
            points: points.to_vec(),
        }
    }
}

/// All slopes of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the random numbers.
    pub seed: u64,
    /// The slopes.
    pub lines: Vec<Line>,
}

/// Runs every measurement, within about a minute and 2 GB; `quick` takes small sizes only.
#[must_use]
pub fn run(seed: u64, quick: bool) -> Report {
    let (slices, calls, links): (&[u32], u32, &[u32]) = if quick {
        (&[1_000, 4_000, 16_000], 200, &[10, 20, 40])
    } else {
        (
            &[1_000, 4_000, 16_000, 64_000, 256_000, 1_000_000],
            20_000,
            &[50, 100, 200, 400, 800],
        )
    };
    let peers: &[u32] = if quick {
        &[5, 10]
    } else {
        &[5, 10, 25, 50, 100, 200]
    };
    let mut lines = table_costs(slices, seed);
    lines.extend(call_costs(calls));
    lines.push(session_cost(calls));
    lines.extend(link_memory(links));
    lines.extend(spread_time(peers));
    Report { seed, lines }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<28} {:>14} {:>14} {:>7} {:>9}  unit of the slope",
            "cost", "slope", "base", "points", "residual"
        )?;
        for line in &self.lines {
            let Fit {
                slope,
                base,
                points,
                residual,
            } = line.fit;
            writeln!(
                f,
                "{:<28} {slope:>14.4} {base:>14.3} {points:>7} {:>8.1}%  {}",
                line.name,
                residual * 100.0,
                line.unit
            )?;
        }
        Ok(())
    }
}
