//! Tables for people and one line of JSON for programs.

use std::fmt;

use serde::Serialize;

use crate::policy::Case;
use crate::policy::Scheme;
use crate::policy::Score;
use crate::policy::run_once;
use crate::policy::verdict::Verdict;
use crate::policy::verdict::verdicts;

/// No case has the given name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownCase;

impl fmt::Display for UnknownCase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = Case::all().iter().map(|c| c.name).collect();
        write!(f, "no such case; the cases are {}", names.join(", "))
    }
}

impl std::error::Error for UnknownCase {}

/// Median and range of a figure over the seeds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    /// Median over the seeds.
    pub median: f64,
    /// Smallest.
    pub min: f64,
    /// Largest.
    pub max: f64,
}

impl Spread {
    /// Sorts the figures of all seeds.
    #[must_use]
    pub fn of(mut all: Vec<f64>) -> Self {
        all.sort_by(f64::total_cmp);
        let at = |i: usize| (all[i] * 1e4).round() / 1e4;
        Self {
            median: at(all.len() / 2),
            min: at(0),
            max: at(all.len() - 1),
        }
    }
}

/// A scheme's figures in one case.
#[derive(Clone, Debug, Serialize)]
pub struct SchemeReport {
    /// Name of the scheme.
    pub name: &'static str,
    /// Median latency of lookups in milliseconds.
    pub p50_ms: Spread,
    /// 99th percentile.
    pub p99_ms: Spread,
    /// 99.9th percentile.
    pub p999_ms: Spread,
    /// 99th percentile of the lookups of all keys but the most wanted one.
    pub others_p99_ms: Spread,
    /// Part of the requests of those keys that was refused.
    pub others_refused: Spread,
    /// Requests answered in time, a second.
    pub goodput: Spread,
    /// Batch among them.
    pub batch_goodput: Spread,
    /// Part of the requests refused.
    pub refused: Spread,
    /// Part of the requests that failed.
    pub failed: Spread,
    /// Median time to a refusal in milliseconds.
    pub refused_ms: Spread,
    /// Part of the requests sent a second time while the first try was out.
    pub extra: Spread,
    /// Most requests in flight at a cold target over what it bears.
    pub cold_over: Spread,
    /// The same from the first sign that a gate could see.
    pub cold_over_known: Spread,
    /// Requests sent for each request while targets fail.
    pub amplification: Spread,
    /// Orders that ran more than once, over all seeds.
    pub doubled: u64,
}

impl SchemeReport {
    fn new(scheme: Scheme, all: &[Score]) -> Self {
        let of = |f: fn(&Score) -> f64| Spread::of(all.iter().map(f).collect());
        Self {
            name: scheme.name(),
            p50_ms: of(|s| s.p50_ms),
            p99_ms: of(|s| s.p99_ms),
            p999_ms: of(|s| s.p999_ms),
            others_p99_ms: of(|s| s.others_p99_ms),
            others_refused: of(|s| s.others_refused),
            goodput: of(|s| s.goodput),
            batch_goodput: of(|s| s.batch_goodput),
            refused: of(|s| s.refused),
            failed: of(|s| s.failed),
            refused_ms: of(|s| s.refused_ms),
            extra: of(|s| s.extra),
            cold_over: of(|s| s.cold_over),
            cold_over_known: of(|s| s.cold_over_known),
            amplification: of(|s| s.amplification),
            doubled: all.iter().map(|s| s.doubled).sum(),
        }
    }
}

/// All schemes in one case.
#[derive(Clone, Debug, Serialize)]
pub struct CaseReport {
    /// Name of the case.
    pub name: &'static str,
    /// What the targets can do, in requests of the first kind of work a second.
    pub capacity: f64,
    /// Ours first.
    pub schemes: Vec<SchemeReport>,
    /// What was to be reached.
    pub verdicts: Vec<Verdict>,
}

impl CaseReport {
    fn new(case: &Case, seed: u64, seeds: u32) -> Self {
        let run = |s: Scheme| -> Vec<Score> {
            let seeds = seed..seed + u64::from(seeds);
            seeds.map(|n| run_once(case, s, n)).collect()
        };
        let (ours, baselines) = std::thread::scope(|scope| {
            let others = Scheme::BASELINES.map(|s| (s, scope.spawn(move || run(s))));
            let ours = run(Scheme::Ours);
            let join = |(s, t): (Scheme, std::thread::ScopedJoinHandle<'_, Vec<Score>>)| {
                (s, t.join().expect("a run does not panic"))
            };
            (ours, others.map(join))
        });
        let mut schemes = vec![SchemeReport::new(Scheme::Ours, &ours)];
        schemes.extend(baselines.iter().map(|(s, all)| SchemeReport::new(*s, all)));
        let scores: Vec<Vec<Score>> = baselines.into_iter().map(|(_, all)| all).collect();
        Self {
            name: case.name,
            capacity: case.capacity(),
            schemes,
            verdicts: verdicts(case, &ours, &scores),
        }
    }
}

/// All cases that were run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// First seed.
    pub seed: u64,
    /// Number of seeds.
    pub seeds: u32,
    /// The cases.
    pub cases: Vec<CaseReport>,
}

impl Report {
    pub(crate) fn new(cases: &[Case], seed: u64, seeds: u32) -> Self {
        let run = |c: &Case| CaseReport::new(c, seed, seeds);
        Self {
            seed,
            seeds,
            cases: cases.iter().map(run).collect(),
        }
    }

    /// Tells whether everything that was to be reached was reached.
    #[must_use]
    pub fn passed(&self) -> bool {
        let mut all = self.cases.iter().flat_map(|c| &c.verdicts);
        all.all(|v| v.reached || !v.bound.is_empty())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for case in &self.cases {
            writeln!(
                f,
                "{} (capacity {:.0}/s, medians of {} seeds from {})",
                case.name, case.capacity, self.seeds, self.seed
            )?;
            writeln!(
                f,
                "  {:<15}{:>8}{:>9}{:>9}{:>9}{:>8}{:>9}{:>9}{:>8}{:>8}{:>6}{:>7}{:>8}{:>8}",
                "scheme",
                "p50 ms",
                "p99 ms",
                "p999 ms",
                "good/s",
                "batch",
                "refused",
                "ref. ms",
                "failed",
                "extra",
                "cold",
                "known",
                "amplif",
                "doubled"
            )?;
            for s in &case.schemes {
                row(f, s)?;
            }
            for v in &case.verdicts {
                writeln!(f, "  {v}")?;
            }
            writeln!(f)?;
        }
        let json = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(&json)
    }
}

fn row(f: &mut fmt::Formatter<'_>, s: &SchemeReport) -> fmt::Result {
    writeln!(
        f,
        "  {:<15}{:>8.2}{:>9.2}{:>9.2}{:>9.0}{:>8.1}{:>8.2}%{:>9.2}{:>7.2}%{:>7.2}%{:>6.1}{:>7.1}{:>8.3}{:>8}",
        s.name,
        s.p50_ms.median,
        s.p99_ms.median,
        s.p999_ms.median,
        s.goodput.median,
        s.batch_goodput.median,
        s.refused.median * 100.0,
        s.refused_ms.median,
        s.failed.median * 100.0,
        s.extra.median * 100.0,
        s.cold_over.max,
        s.cold_over_known.max,
        s.amplification.median,
        s.doubled
    )
}
