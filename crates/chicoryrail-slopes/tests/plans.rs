//! Spread plans: every node gets every part, and nobody uploads much more than others.

use std::collections::BTreeSet;

use chicoryrail_slopes::Plan;
use chicoryrail_slopes::mesh_plan;
use chicoryrail_slopes::tree_plan;
use rstest::rstest;

fn reached(plan: &Plan, part: usize) -> BTreeSet<usize> {
    let mut seen = BTreeSet::from([0]);
    let mut next = vec![0];
    while let Some(node) = next.pop() {
        next.extend(plan.receivers(node, part).filter(|&to| seen.insert(to)));
    }
    seen
}

#[rstest]
fn every_node_gets_every_part(
    #[values(2, 3, 5, 6, 11, 26, 51, 101, 201)] nodes: usize,
    #[values(true, false)] mesh: bool,
) {
    let plan = if mesh {
        mesh_plan(nodes, 4)
    } else {
        tree_plan(nodes, 4)
    };
    for part in 0..plan.parts {
        assert_eq!(reached(&plan, part), (0..nodes).collect(), "part {part}");
    }
}

#[rstest]
#[case(101)]
#[case(201)]
fn the_busiest_node_of_the_mesh_sends_at_most_twice_its_fair_share(#[case] nodes: usize) {
    assert!(
        mesh_plan(nodes, 4).busiest() <= 8,
        "{}",
        mesh_plan(nodes, 4).busiest()
    );
}
