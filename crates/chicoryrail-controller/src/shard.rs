//! Driving a held section.

use std::collections::BTreeSet;
use std::rc::Rc;

use chicoryrail_core::Config;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::Service;
use chicoryrail_core::ShardId;
use chicoryrail_ownership::Act;
use chicoryrail_ownership::AssignRecord;
use chicoryrail_ownership::Section;
use chicoryrail_runtime::EventKind;
use chicoryrail_wire::ServerState;

use crate::Controller;
use crate::asserts;
use crate::calls;
use crate::held::Held;
use crate::store::Swap;

/// Time between two looks at a section. A move has some five steps, so it adds about 50 ms to one.
const TICK: Millis = Millis(10);
/// Time between two questions whether the store is there, while a planned move waits for it.
const PROBE_EVERY: Millis = Millis(250);
/// Rest after the store gave no answer.
const AGAIN: Millis = Millis(100);

/// Drives a shard until it is lost or given up; a part of the order ids needs no driving.
pub(crate) async fn drive(controller: Rc<Controller>, held: Rc<Held>, from: Millis) {
    let ShardId::Service { service, part } = &held.shard else {
        return;
    };
    controller.process.clock.sleep_until(from).await;
    let Some(stored) = read_table(&controller, &held).await else {
        return;
    };
    let config = controller.config();
    let Some(found) = config.service(service) else {
        return;
    };
    let section = Section::new(
        controller.now(),
        held.holder.borrow().epoch(),
        found.clone(),
        *part,
        stored.record.as_ref(),
        controller.timing,
    );
    let Some(cell) = held.section() else {
        return;
    };
    let mut section = section;
    section.set_deputy(held.record.borrow().0.deputy.is_some());
    resume(&controller, &held, &mut section);
    *cell.borrow_mut() = Some(Box::new(section));
    let mut version = stored.version;
    held.grants.borrow_mut().stored = stored.record;
    let mut applied = 0;
    let mut probed = Millis::ZERO;
    while !held.stop.is_cancelled() {
        let now = controller.now();
        if held.may_act(now) {
            let config = controller.config();
            let acts = {
                let mut cell = cell.borrow_mut();
                let Some(section) = cell.as_mut() else {
                    return;
                };
                if applied != config.version()
                    && let Some(found) = config.service(service)
                {
                    applied = config.version();
                    section.configure(now, found, outs(&config, found));
                }
                let before = section.fence();
                let gates = controller.live_gates(now);
                let acts = section.tick(now, controller.store.is_fresh(), &gates);
                if let Some(found) = config.service(service) {
                    let all = &controller.process.invariants;
                    asserts::published(all, &config, found, section, before);
                }
                if section.asks_store() && now.since(probed) >= PROBE_EVERY {
                    probed = now;
                    monoio::spawn(probe(Rc::clone(&controller)));
                }
                if section.fence() != before {
                    held.news.raise();
                    controller.route_news.raise();
                }
                acts
            };
            for act in acts {
                if act == Act::Store {
                    version = write_table(&controller, &held, version).await;
                } else {
                    monoio::spawn(calls::perform(
                        Rc::clone(&controller),
                        Rc::clone(&held),
                        act,
                    ));
                }
            }
        }
        controller.process.clock.sleep(TICK).await;
    }
}

/// Goes on with what this process knows as the shard's deputy: the budgets of cold servers, which
/// full load at the take-over would fell, and the gate of each server, where it was the deputy of the
/// last epoch.
fn resume(controller: &Controller, held: &Held, section: &mut Section) {
    let deputies = controller.deputies.borrow();
    let Some(deputy) = deputies.get(&held.shard) else {
        return;
    };
    let table = deputy.table.borrow();
    let Some(table) = table.as_ref() else {
        return;
    };
    for server in table
        .servers
        .iter()
        .filter(|s| s.state == ServerState::Cold)
    {
        section.resume(controller.now(), &server.name, server.slots);
    }
    if held.after != Some(table.fence.epoch) {
        return;
    }
    for server in &table.servers {
        if let Some(gate) = &server.gate {
            section.resume_seat(&server.name, gate);
        }
    }
}

async fn probe(controller: Rc<Controller>) {
    let _ = controller.store.get(crate::config::HEAD).await;
}

struct Stored {
    record: Option<AssignRecord>,
    version: u64,
}

fn table_key(shard: &ShardId) -> String {
    format!("assign/{shard}")
}

async fn read_table(controller: &Controller, held: &Held) -> Option<Stored> {
    let key = table_key(&held.shard);
    while !held.stop.is_cancelled() {
        match controller.store.get(&key).await {
            Ok(None) => {
                return Some(Stored {
                    record: None,
                    version: 0,
                });
            }
            Ok(Some(found)) => {
                let record = found.value.as_deref().map(serde_json::from_str);
                match record {
                    Some(Ok(record)) => {
                        return Some(Stored {
                            record: Some(record),
                            version: found.version,
                        });
                    }
                    other => {
                        let events = &controller.process.events;
                        events.record(EventKind::Violation, key.as_str(), format!("{other:?}"));
                    }
                }
            }
            Err(_) => {}
        }
        controller.process.clock.sleep(AGAIN).await;
    }
    None
}

/// Writes the section's table and tells it when the store has it; returns the store's version.
async fn write_table(controller: &Controller, held: &Held, version: u64) -> u64 {
    let key = table_key(&held.shard);
    let attempt = crate::claims::attempt(controller);
    let Some(cell) = held.section() else {
        return version;
    };
    let Some(record) = cell.borrow().as_ref().map(|s| s.pending(&attempt)) else {
        return version;
    };
    let Ok(text) = serde_json::to_string(&record) else {
        return version;
    };
    let result = controller.store.swap(&key, version, &text, &attempt).await;
    let mut cell = cell.borrow_mut();
    let Some(section) = cell.as_mut() else {
        return version;
    };
    match result {
        Swap::Done(version) => {
            section.stored(Some(&record));
            held.grants.borrow_mut().stored = Some(record);
            version
        }
        // Somebody else wrote: a newer holder. This one acts no more; its lapse will show.
        Swap::Conflict => {
            held.given.set(true);
            version
        }
        Swap::Unsettled => {
            section.stored(None);
            version
        }
    }
}

fn outs(config: &Config, service: &Service) -> BTreeSet<ServerName> {
    let out = |s: &&chicoryrail_core::Server| config.is_out(&s.name, &s.data_centre);
    service
        .servers
        .iter()
        .filter(out)
        .map(|s| s.name.clone())
        .collect()
}
