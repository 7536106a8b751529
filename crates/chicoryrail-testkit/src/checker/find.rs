//! Runs all checks.

use crate::Evidence;
use crate::Violation;
use crate::checker::abandoned;
use crate::checker::bodies;
use crate::checker::cut_hosts;
use crate::checker::exclusivity;
use crate::checker::grant_fences;
use crate::checker::holds;
use crate::checker::notices;
use crate::checker::orders;
use crate::checker::organisations;
use crate::checker::responses;
use crate::checker::server_limits;
use crate::checker::stored_owners;
use crate::checker::versions;

impl Violation {
    /// Returns every violation that the evidence shows.
    #[must_use]
    pub fn find(evidence: &Evidence) -> Vec<Self> {
        let mut found = exclusivity::check(evidence);
        found.extend(grant_fences::check(evidence));
        found.extend(holds::check(evidence));
        found.extend(stored_owners::check(evidence));
        found.extend(orders::check(evidence));
        found.extend(bodies::check(evidence));
        found.extend(responses::check(evidence));
        found.extend(versions::check(evidence));
        found.extend(server_limits::check(evidence));
        found.extend(organisations::check(evidence));
        found.extend(notices::check(evidence));
        found.extend(cut_hosts::check(evidence));
        found.extend(abandoned::check(evidence));
        found
    }
}
