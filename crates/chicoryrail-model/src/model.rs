//! The steps that are possible in a state, and the state after each.

use chicoryrail_core::HostName;
use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::OwnedRange;
use chicoryrail_ownership::term::Voters;

use crate::Action;
use crate::Config;
use crate::Host;
use crate::HostSet;
use crate::State;

/// Start of the model's clock. Smaller numbers in the program's state are terms, tokens and durations.
pub(crate) const EPOCH: Millis = Millis(1_000_000);

/// Model of the protocol of leadership terms.
#[derive(Clone, Debug)]
pub struct Model {
    /// Size, timing and rule.
    pub config: Config,
    pub(crate) names: Vec<HostName>,
    pub(crate) lives: [Life; 2],
    voters: Vec<Voters>,
}

impl Model {
    /// Builds the model.
    #[must_use]
    pub fn new(config: Config) -> Self {
        let names = (0..config.hosts).map(|h| HostName::new(&format!("h{h}")));
        let names: Vec<_> = names.collect();
        let voters = |set: HostSet| {
            let members = set.iter().filter(|h| *h < config.hosts);
            let addr = |h: usize| ([127, 0, 0, 1], 7_000 + h as u16).into();
            members.map(|h| (names[h].clone(), addr(h))).collect()
        };
        let sets = 0..1_u16 << config.hosts;
        Self {
            config,
            voters: sets.map(|bits| voters(HostSet(bits as u8))).collect(),
            names: names.clone(),
            lives: [0, 1].map(|s| Life::new(ServerName::new(&format!("s{s}")), 1)),
        }
    }

    /// Returns a set of hosts as voters.
    pub(crate) fn voters(&self, set: HostSet) -> Voters {
        self.voters[usize::from(set.0)].clone()
    }

    /// Returns the assignment of the key to a server.
    pub(crate) fn assignment(&self, server: usize) -> Vec<OwnedRange> {
        vec![OwnedRange::new(KeyRange::ALL, self.lives[server].clone())]
    }

    /// Returns the number of a server.
    pub(crate) fn server(&self, life: &Life) -> usize {
        usize::from(*life == self.lives[1])
    }

    /// Returns the steps from nothing to the state in which host 0 leads and server 0 owns the key.
    #[must_use]
    pub fn prologue(&self) -> Vec<Action> {
        let start = [
            Action::Campaign(0),
            Action::Elect(0),
            Action::TakeOver(0),
            Action::Commit(0),
            Action::Move(0),
            Action::Commit(0),
            Action::QueryAll(0),
            Action::Grant(0),
        ];
        let reads = (0..self.config.hosts).map(Action::ReadTerm);
        start.into_iter().chain(reads).collect()
    }

    /// Returns the state in which host 0 leads and server 0 owns the key.
    #[must_use]
    pub fn initial(&self) -> State {
        let all = HostSet::first(self.config.hosts);
        let host = Host {
            listed: all,
            ..Host::default()
        };
        let mut state = State {
            now: EPOCH,
            hosts: vec![host; self.config.hosts],
            disruptions: self.config.disruptions,
            moves: self.config.moves + 1,
            ..State::default()
        };
        state.store.listed = all;
        for action in self.prologue() {
            self.apply(&mut state, action);
        }
        state
    }
}
