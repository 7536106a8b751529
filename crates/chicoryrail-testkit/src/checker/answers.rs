//! Whole and own answers, in time.

use crate::Evidence;
use crate::Violation;

pub(crate) fn check(seen: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for record in &seen.records {
        if let Some(reason) = &record.wrong {
            found.push(Violation::AnswerWrong {
                request: record.request.clone(),
                reason: reason.clone(),
            });
        }
        if record.hung {
            found.push(Violation::Hung {
                request: record.request.clone(),
            });
        }
    }
    found
}
