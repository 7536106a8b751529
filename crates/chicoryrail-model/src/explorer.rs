//! Exhaustive search for a state in which two servers own the key.

use std::cell::RefCell;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;

use pathfinding::directed::bfs::bfs;

use crate::Action;
use crate::Ages;
use crate::Model;
use crate::State;

/// State that the search has reached.
#[derive(Clone, Debug)]
struct Node {
    identity: u128,
    /// Step by which it was reached; `None` for the first state.
    action: Option<Action>,
    depth: u32,
    is_breach: bool,
    /// The state, until the search continues from it.
    state: Rc<RefCell<Option<State>>>,
}

impl Node {
    fn new(model: &Model, state: State, action: Option<Action>, depth: u32) -> Self {
        Self {
            identity: state.identity(&Ages::new(&model.config)),
            action,
            depth,
            is_breach: state.is_breach(),
            state: Rc::new(RefCell::new(Some(state))),
        }
    }
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.identity == other.identity
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.identity.hash(hasher);
    }
}

/// Progress of a search.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of steps from the first state to those that the search continues from now.
    pub depth: u32,
    /// Number of states that the search has continued from.
    pub expanded: u64,
    /// Number of steps that it has tried.
    pub steps: u64,
}

/// Outcome of a search.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Progress at the end.
    pub progress: Progress,
    /// Steps of the shortest way to a breach, or `None` if there is none within the depth.
    pub breach: Option<Vec<Action>>,
    /// Whether the search stopped early because the limit of states was reached.
    pub is_partial: bool,
}

/// Searches all states within a number of steps, in the order of that number.
///
/// `observe` is called for each state that the search continues from; the search ends early once it has continued from
/// `states_max` states.
pub fn explore(
    model: &Model,
    depth_max: u32,
    states_max: u64,
    observe: impl FnMut(&Progress, &State),
) -> Outcome {
    explore_from(model, model.initial(), depth_max, states_max, observe)
}

/// As [`explore`], from another first state.
pub fn explore_from(
    model: &Model,
    start: State,
    depth_max: u32,
    states_max: u64,
    mut observe: impl FnMut(&Progress, &State),
) -> Outcome {
    let mut progress = Progress::default();
    let mut is_partial = false;
    let start = Node::new(model, start, None, 0);
    let successors = |node: &Node| {
        if node.depth >= depth_max {
            return Vec::new();
        }
        if progress.expanded >= states_max {
            is_partial = true;
            return Vec::new();
        }
        let Some(state) = node.state.take() else {
            return Vec::new();
        };
        progress.depth = node.depth;
        progress.expanded += 1;
        observe(&progress, &state);
        let steps = model.steps(&state);
        progress.steps += steps.len() as u64;
        let next = steps.into_iter().map(|action| {
            let mut next = state.clone();
            model.apply(&mut next, action);
            Node::new(model, next, Some(action), node.depth + 1)
        });
        next.collect()
    };
    let path = bfs(&start, successors, |node| node.is_breach);
    let breach = path.map(|nodes| nodes.iter().filter_map(|n| n.action).collect());
    Outcome {
        progress,
        breach,
        is_partial,
    }
}
