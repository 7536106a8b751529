//! All checks together.

use crate::Evidence;
use crate::Violation;
use crate::checker::answers;
use crate::checker::assigned;
use crate::checker::orders;
use crate::checker::organisations;
use crate::checker::owners;
use crate::checker::placement;
use crate::checker::stored;

impl Violation {
    /// Returns every broken promise that shows in what was seen.
    #[must_use]
    pub fn find(seen: &Evidence) -> Vec<Self> {
        let mut found = owners::check(seen);
        found.extend(assigned::check(seen));
        found.extend(orders::check(seen));
        found.extend(answers::check(seen));
        found.extend(stored::check(seen));
        found.extend(placement::check(seen));
        found.extend(organisations::check(seen));
        found
    }
}
