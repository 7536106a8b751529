//! Who sends which part of a change to whom.
//!
//! Two plans over the same nodes: a plain tree, and the structured mesh of Nguyen, Tran and Cheung,
//! "Efficient P2P Data Dissemination in a Homogeneous Capacity Network Using Structured Mesh". In
//! the mesh the source splits the data over `b` trunks, each a tree; the leaves of a trunk exchange
//! their part with leaves of the other trunks and hand the other parts up to the inner nodes, so
//! that every node uploads about as much as it downloads.

/// Number of a part of the data.
pub type Part = usize;

/// For each node, the nodes that it sends each part to; node 0 is the source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Number of parts that the data is split into.
    pub parts: usize,
    sends: Vec<Vec<(Part, usize)>>,
}

impl Plan {
    fn new(nodes: usize, parts: usize) -> Self {
        Self {
            parts,
            sends: vec![Vec::new(); nodes],
        }
    }

    /// Iterates over the nodes that `node` sends `part` to.
    pub fn receivers(&self, node: usize, part: Part) -> impl Iterator<Item = usize> {
        self.sends[node]
            .iter()
            .filter(move |(p, _)| *p == part)
            .map(|(_, to)| *to)
    }

    /// Returns the number of nodes, the source among them.
    #[must_use]
    pub fn nodes(&self) -> usize {
        self.sends.len()
    }

    /// Returns the most parts that one node sends; the upload that bounds the spread.
    #[must_use]
    pub fn busiest(&self) -> usize {
        self.sends.iter().map(Vec::len).max().unwrap_or(0)
    }
}

/// Plans a tree of `nodes` nodes in which each sends the whole to at most `fan_out` others.
#[must_use]
pub fn tree_plan(nodes: usize, fan_out: usize) -> Plan {
    let mut plan = Plan::new(nodes, 1);
    for node in 1..nodes {
        plan.sends[(node - 1) / fan_out.max(1)].push((0, node));
    }
    plan
}

/// Plans the mesh of `nodes` nodes with `b` trunks.
#[must_use]
pub fn mesh_plan(nodes: usize, b: usize) -> Plan {
    let b = b.clamp(1, nodes.saturating_sub(1).max(1));
    let mut plan = Plan::new(nodes, b);
    let trunks: Vec<Vec<usize>> = (0..b)
        .map(|t| (1..nodes).filter(|n| (n - 1) % b == t).collect())
        .collect();
    for (part, trunk) in trunks.iter().enumerate() {
        for (i, &node) in trunk.iter().enumerate() {
            let from = if i == 0 { 0 } else { trunk[(i - 1) / b] };
            plan.sends[from].push((part, node));
        }
    }
    let inner = |trunk: &[usize]| {
        if trunk.len() < 2 {
            0
        } else {
            (trunk.len() - 2) / b + 1
        }
    };
    for (part, from) in trunks.iter().enumerate() {
        for (other, to) in trunks
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != part)
        {
            let senders = &from[inner(from)..];
            let (above, leaves) = to.split_at(inner(to));
            for (i, &leaf) in leaves.iter().enumerate() {
                plan.sends[senders[i % senders.len()]].push((part, leaf));
            }
            // Each trunk's leaves share the hand-up of the other parts; starting each part at
            // another leaf spreads the work.
            for (i, &node) in above.iter().enumerate() {
                plan.sends[leaves[(i * b + part + other) % leaves.len()]].push((part, node));
            }
        }
    }
    plan
}
