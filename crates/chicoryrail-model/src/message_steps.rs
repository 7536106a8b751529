//! Steps that concern the messages between hosts.

use chicoryrail_core::Millis;
use chicoryrail_ownership::term::TermReply;

use crate::Message;
use crate::Model;
use crate::Role;
use crate::State;

impl Model {
    pub(crate) fn query_all(&self, state: &mut State, h: usize) {
        let Some(term) = state.hosts[h].leader().map(|l| l.term) else {
            return;
        };
        for to in 0..state.hosts.len() {
            if to == h || state.hosts[to].paused || !state.cut.hosts_connected(h, to) {
                continue;
            }
            if let Some(reply) = self.reply(state, to, term, state.now) {
                self.apply_reply(state, h, to, reply);
            }
        }
    }

    pub(crate) fn query(&self, state: &mut State, from: usize, to: usize) {
        let Some(term) = state.hosts[from].leader().map(|l| l.term) else {
            return;
        };
        if state.cut.hosts_connected(from, to) {
            let asked_at = state.now;
            state.add_message(Message::Query {
                from,
                to,
                term,
                asked_at,
            });
        }
    }

    /// Returns the reply of a host to a query that arrives, if it replies.
    pub(crate) fn reply(
        &self,
        state: &mut State,
        h: usize,
        term: u64,
        asked_at: Millis,
    ) -> Option<TermReply> {
        let store_reachable = state.cut.host_reaches_store(h);
        let host = &mut state.hosts[h];
        host.highest_term = host.highest_term.max(term);
        host.supporter.may_reply().then_some(TermReply {
            term: host.highest_term,
            asked_at,
            store_reachable,
        })
    }

    pub(crate) fn apply_reply(&self, state: &mut State, h: usize, from: usize, reply: TermReply) {
        let now = state.now;
        let host = &mut state.hosts[h];
        host.highest_term = host.highest_term.max(reply.term);
        if let Role::Leader(leader) = &mut host.role {
            leader
                .claim_mut()
                .record_reply(now, &self.names[from], reply);
            leader.note_reply(from, reply);
        }
    }

    pub(crate) fn deliver(&self, state: &mut State, message: Message) {
        state.remove_message(message);
        match message {
            Message::Query {
                from,
                to,
                term,
                asked_at,
            } => {
                let reply = self.reply(state, to, term, asked_at);
                let connected = state.cut.hosts_connected(from, to);
                if let Some(reply) = reply.filter(|_| connected) {
                    state.add_message(Message::Reply {
                        from: to,
                        to: from,
                        term: reply.term,
                        asked_at,
                        store_reachable: reply.store_reachable,
                    });
                }
            }
            Message::Reply {
                from,
                to,
                term,
                asked_at,
                store_reachable,
            } => {
                let reply = TermReply {
                    term,
                    asked_at,
                    store_reachable,
                };
                self.apply_reply(state, to, from, reply);
            }
            Message::Grant { server, fence, .. } => {
                state.servers[server].grant(state.now, fence, self.config.keys.lease);
                self.end_call(state, message);
            }
        }
    }

    pub(crate) fn lose(&self, state: &mut State, message: Message) {
        state.remove_message(message);
        self.end_call(state, message);
    }
}
