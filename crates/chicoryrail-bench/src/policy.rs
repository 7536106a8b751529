//! The decisions of `chicoryrail-policy` beside `random`, `round-robin`, `least-requests` and
//! `two-choices` on a late report.

mod baseline;
mod case;
mod event;
mod gates;
mod report;
mod request;
mod scheme;
mod score;
mod spell;
mod target;
mod verdict;
mod world;

pub use case::Case;
pub use case::Sign;
pub use case::Trouble;
pub use case::Work;
pub use report::CaseReport;
pub use report::Report;
pub use report::SchemeReport;
pub use report::Spread;
pub use report::UnknownCase;
pub use scheme::Scheme;
pub use score::Score;
pub use verdict::Verdict;

/// Runs one case, or all where none is named, with `seeds` seeds from `seed` on.
///
/// # Errors
///
/// Returns the names of the cases where `case` is none of them.
pub fn run(case: Option<&str>, seed: u64, seeds: u32) -> Result<Report, UnknownCase> {
    let cases = match case {
        None => Case::all(),
        Some(name) => Case::all()
            .into_iter()
            .filter(|c| c.name == name || c.name.starts_with(&format!("{name}-")))
            .collect(),
    };
    if cases.is_empty() {
        return Err(UnknownCase);
    }
    Ok(Report::new(&cases, seed, seeds.max(1)))
}

/// Runs a case once with one scheme.
#[must_use]
pub fn run_once(case: &Case, scheme: Scheme, seed: u64) -> Score {
    world::World::new(case, scheme, seed).run()
}
