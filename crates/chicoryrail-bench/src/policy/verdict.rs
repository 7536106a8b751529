//! What was to be reached in a case, and whether it was.

use std::fmt;

use chicoryrail_core::Class;
use serde::Serialize;

use crate::policy::Case;
use crate::policy::Score;
use crate::policy::Sign;
use crate::policy::Spread;
use crate::policy::case::Trouble;

/// The 99th percentile of a log-normal service time with sigma 0.4, over its mean.
const ALONE_P99: f64 = 2.34;

/// One figure against its limit.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// What is measured.
    pub name: &'static str,
    /// The figure over the seeds.
    pub figure: Spread,
    /// The limit.
    pub limit: f64,
    /// Whether the figure must be at least the limit; otherwise at most.
    pub least: bool,
    /// Whether the median reached it.
    pub reached: bool,
    /// What forbids it, where that can be shown.
    pub bound: String,
}

impl Verdict {
    fn most(name: &'static str, figure: Vec<f64>, limit: f64) -> Self {
        let figure = Spread::of(figure);
        Self {
            name,
            figure,
            limit,
            least: false,
            reached: figure.median <= limit,
            bound: String::new(),
        }
    }

    fn least(name: &'static str, figure: Vec<f64>, limit: f64) -> Self {
        let figure = Spread::of(figure);
        Self {
            name,
            figure,
            limit,
            least: true,
            reached: figure.median >= limit,
            bound: String::new(),
        }
    }

    fn bound(mut self, text: &str) -> Self {
        self.bound = text.to_owned();
        self
    }
}

impl Verdict {
    /// Names the bound that no choice of a server can pass, where the limit lies below it: a lookup
    /// that is alone on an idle server.
    fn or_alone(self, case: &Case, best_ms: f64) -> Self {
        let alone = case.work[0].mean_us * ALONE_P99 / 1_000.0;
        if self.reached || self.limit * best_ms >= alone {
            return self;
        }
        self.bound(&format!(
            "a lookup alone on an idle server has p99 {alone:.2} ms, the best baseline {best_ms:.2}"
        ))
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = if self.least { ">=" } else { "<=" };
        let word = if self.reached { "reached" } else { "MISSED" };
        let Spread { median, min, max } = self.figure;
        let (name, limit) = (self.name, self.limit);
        write!(
            f,
            "{word} {name}: {median:.3} ({min:.3} to {max:.3}) {sign} {limit}"
        )?;
        if !self.bound.is_empty() {
            write!(f, "; bound: {}", self.bound)?;
        }
        Ok(())
    }
}

/// Judges our scores against the best baseline of the same seed.
pub(crate) fn verdicts(case: &Case, ours: &[Score], baselines: &[Vec<Score>]) -> Vec<Verdict> {
    let of = |f: fn(&Score) -> f64| -> Vec<f64> { ours.iter().map(f).collect() };
    let over_least = |f: fn(&Score) -> f64| -> Vec<f64> {
        let best = |i: usize| baselines.iter().map(|b| f(&b[i])).fold(f64::MAX, f64::min);
        let ratio = |(i, s): (usize, &Score)| f(s) / best(i);
        ours.iter().enumerate().map(ratio).collect()
    };
    let over_most = |f: fn(&Score) -> f64| -> Vec<f64> {
        let best = |i: usize| baselines.iter().map(|b| f(&b[i])).fold(0.0, f64::max);
        let ratio = |(i, s): (usize, &Score)| f(s) / best(i);
        ours.iter().enumerate().map(ratio).collect()
    };
    let p99 = || {
        let best = |i: usize| {
            baselines
                .iter()
                .map(|b| b[i].p99_ms)
                .fold(f64::MAX, f64::min)
        };
        let best_ms = Spread::of((0..ours.len()).map(best).collect()).median;
        let ratios = over_least(|s| s.p99_ms);
        Verdict::most("p99 over best", ratios, 0.5).or_alone(case, best_ms)
    };
    let mut all = Vec::new();
    match case.trouble {
        Trouble::Straggler => {
            all.push(p99());
            all.push(Verdict::most(
                "p999 over best",
                over_least(|s| s.p999_ms),
                0.6,
            ));
        }
        Trouble::Cold { sign, .. } => {
            let over = Verdict::most("in flight over borne", of(|s| s.cold_over), 1.0);
            all.push(if sign == Sign::Restart {
                over
            } else {
                over.bound(
                    "a target that turns cold without an answer or a broken connection can't be \
                     told from a warm one; its first answer is the first sign",
                )
            });
            if case.trouble.takes_all() {
                let borne = case.borne_while_cold();
                let goodput = ours.iter().map(|s| s.goodput / borne).collect();
                all.push(Verdict::least("goodput over what is borne", goodput, 0.95));
            }
            let known = of(|s| s.cold_over_known);
            all.push(Verdict::most("the same from the first sign", known, 1.0));
        }
        Trouble::Fail { one_in: 1 } => {
            let sent = of(|s| s.amplification);
            all.push(Verdict::most("retry amplification", sent, 1.1));
        }
        Trouble::Fail { .. } => {
            all.push(Verdict::most(
                "failed over best",
                over_least(|s| s.failed),
                0.5,
            ));
        }
        Trouble::None | Trouble::Burst => {}
    }
    if case.work.iter().any(|w| w.class == Class::Batch) {
        all.push(p99());
        let batch = over_most(|s| s.batch_goodput);
        all.push(Verdict::least("batch goodput over best", batch, 0.9));
    }
    if case.work[0].load > 1.0 {
        let capacity = case.capacity();
        let goodput = ours.iter().map(|s| s.goodput / capacity).collect();
        all.push(Verdict::least("goodput over capacity", goodput, 0.95));
        all.push(Verdict::most(
            "refused median ms",
            of(|s| s.refused_ms),
            5.0,
        ));
    }
    if case.keys > 0 {
        let p99 = over_least(|s| s.others_p99_ms);
        all.push(Verdict::most(
            "p99 of all but the hot key over best",
            p99,
            0.5,
        ));
        let refused = of(|s| s.others_refused);
        all.push(Verdict::most(
            "refused of all but the hot key",
            refused,
            0.001,
        ));
    }
    all.push(Verdict::most("extra requests", of(|s| s.extra), 0.03));
    all.push(Verdict::most(
        "orders doubled",
        of(|s| s.doubled as f64),
        0.0,
    ));
    all
}
