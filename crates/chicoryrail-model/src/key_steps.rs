//! Steps of a leader that concern the key.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::GrantOutcome;
use chicoryrail_ownership::keys::KeyAction;
use chicoryrail_ownership::keys::KeyLeases;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::ReleaseOutcome;

use crate::Leader;
use crate::Message;
use crate::Model;
use crate::Role;
use crate::State;

impl Model {
    pub(crate) fn take_over(&self, state: &mut State, h: usize) {
        let record = state.store.keys.clone();
        let now = state.now;
        let Role::Leader(leader) = &mut state.hosts[h].role else {
            return;
        };
        let attempt = leader.term;
        let mut keys = KeyLeases::take_over(record, self.config.keys, now, attempt, false);
        for (s, life) in self.lives.iter().enumerate() {
            keys.set_server_addr(now, life, ([127, 0, 0, 2], 8_000 + s as u16).into());
        }
        leader.keys = Some(Rc::new(keys));
        leader.apply_stop(leader.stopped_at);
    }

    /// Calls `f` with the leadership of a host and the actions that are due for the key.
    fn act(
        &self,
        state: &mut State,
        h: usize,
        f: impl FnOnce(&mut State, &mut Leader, Vec<KeyAction>),
    ) {
        let host = &mut state.hosts[h];
        let Role::Leader(mut leader) = std::mem::take(&mut host.role) else {
            return;
        };
        let now = state.now;
        let due = leader.keys_mut().map(|keys| keys.due_actions(now));
        f(state, &mut leader, due.unwrap_or_default());
        state.hosts[h].role = Role::Leader(leader);
    }

    pub(crate) fn commit(&self, state: &mut State, h: usize) {
        self.act(state, h, |state, leader, due| {
            let write = due.into_iter().find_map(|action| match action {
                KeyAction::Commit(record) => Some(record),
                _ => None,
            });
            let led = state.store.is_led(leader.term);
            if let Some(record) = write.filter(|_| led) {
                state.store.keys = record;
                if let Some(keys) = leader.keys_mut() {
                    keys.record_written(state.now);
                }
            }
        });
    }

    pub(crate) fn plan_move(&self, state: &mut State, h: usize) {
        state.moves = state.moves.saturating_sub(1);
        self.act(state, h, |_, leader, _| {
            let attempt = leader.term;
            if let Some(keys) = leader.keys_mut() {
                let owner = keys.record().owner(0).map(|life| self.server(life));
                let next = owner.map_or(0, |server| 1 - server);
                keys.begin_change(self.assignment(next), attempt);
            }
        });
    }

    pub(crate) fn grant(&self, state: &mut State, h: usize) {
        let lease = self.config.keys.lease;
        self.act(state, h, |state, leader, due| {
            let Some((server, fence)) = self.due_grant(&due) else {
                return;
            };
            let now = state.now;
            let accepted = state.servers[server].grant(now, fence, lease);
            let outcome = match accepted {
                true => GrantOutcome::Granted,
                false => GrantOutcome::StaleFence,
            };
            let life = &self.lives[server];
            if let Some(keys) = leader.keys_mut() {
                keys.grant_sent(now, life, KeyRange::ALL);
                keys.grant_finished(now, life, KeyRange::ALL, fence, outcome);
            }
        });
    }

    pub(crate) fn send_grant(&self, state: &mut State, h: usize) {
        let until = state.now + self.config.keys.grant_timeout;
        self.act(state, h, |state, leader, due| {
            let Some((server, fence)) = self.due_grant(&due) else {
                return;
            };
            state.add_message(Message::Grant {
                from: h,
                term: leader.term,
                server,
                fence,
                until,
            });
            if let Some(keys) = leader.keys_mut() {
                keys.grant_sent(state.now, &self.lives[server], KeyRange::ALL);
            }
        });
    }

    fn due_grant(&self, due: &[KeyAction]) -> Option<(usize, u64)> {
        due.iter().find_map(|action| match action {
            KeyAction::Grant { life, fence, .. } => Some((self.server(life), *fence)),
            _ => None,
        })
    }

    /// Ends the call of a grant whose reply is lost.
    pub(crate) fn end_call(&self, state: &mut State, message: Message) {
        let Message::Grant {
            from,
            term,
            server,
            fence,
            ..
        } = message
        else {
            return;
        };
        let now: Millis = state.now;
        let life = &self.lives[server];
        if let Role::Leader(leader) = &mut state.hosts[from].role
            && leader.term == term
            && let Some(keys) = leader.keys_mut()
        {
            keys.grant_finished(now, life, KeyRange::ALL, fence, GrantOutcome::NoResponse);
        }
    }

    pub(crate) fn release(&self, state: &mut State, h: usize) {
        self.act(state, h, |state, leader, due| {
            let release = due.iter().find_map(|action| match action {
                KeyAction::Release {
                    life, fence, span, ..
                } => Some((life, *fence, *span)),
                _ => None,
            });
            let Some((life, fence, span)) = release else {
                return;
            };
            let server = self.server(life);
            let outcome = match state.servers[server].release(fence) {
                true => ReleaseOutcome::Released(None),
                false => ReleaseOutcome::NoResponse,
            };
            if let Some(keys) = leader.keys_mut() {
                keys.release_sent(life, span);
                keys.release_finished(state.now, life, span, outcome);
            }
        });
    }
}
