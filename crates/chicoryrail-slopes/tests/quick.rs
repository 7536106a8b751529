//! The whole measurement runs at small sizes and every cost is finite and above nothing.

#[test]
fn every_cost_is_measured() {
    let report = chicoryrail_slopes::run(1, true);
    assert!(report.lines.len() >= 16, "{report}");
    for line in &report.lines {
        assert!(
            line.points.iter().all(|p| p.1.is_finite() && p.1 >= 0.0),
            "{line:?}"
        );
    }
}
