//! The state of all processes and of the network.

use chicoryrail_core::Millis;

use crate::Cut;
use crate::Disruptions;
use crate::Host;
use crate::Message;
use crate::Server;
use crate::Store;

/// State of all processes and of the network.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Time, by the one clock of the model.
    pub now: Millis,
    /// The store.
    pub store: Store,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The servers.
    pub servers: [Server; 2],
    /// The network.
    pub cut: Cut,
    /// Messages on their way, in order.
    pub messages: Vec<Message>,
    /// Disruptions that may still happen.
    pub disruptions: Disruptions,
    /// Moves of the key that may still be planned.
    pub moves: u8,
}

impl State {
    /// Returns `true` if both servers own the key.
    #[must_use]
    pub fn is_breach(&self) -> bool {
        self.servers.iter().all(|s| s.holds(self.now))
    }

    pub(crate) fn add_message(&mut self, message: Message) {
        let at = self.messages.partition_point(|m| *m < message);
        self.messages.insert(at, message);
    }

    pub(crate) fn remove_message(&mut self, message: Message) {
        if let Some(at) = self.messages.iter().position(|m| *m == message) {
            self.messages.remove(at);
        }
    }
}
