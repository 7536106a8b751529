//! Calls to servers, with their results fed back to the section.

use std::rc::Rc;

use chicoryrail_core::Fence;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::Slice;
use chicoryrail_ownership::Act;
use chicoryrail_ownership::Answer;
use chicoryrail_platform::GrantBody;
use chicoryrail_platform::ReleaseBody;
use chicoryrail_platform::SessionAnswer;
use chicoryrail_platform::SessionBody;
use chicoryrail_platform::TargetError;
use chicoryrail_platform::Targets;
use chicoryrail_runtime::EventKind;

use crate::Controller;
use crate::asserts;
use crate::claims;
use crate::held::Held;

/// Longest time in which a server ends its requests in flight before a release is asked again.
const RELEASE_LIMIT: Millis = Millis(1_000);

/// Most slices that an event names.
const SLICES_SHOWN: usize = 8;

/// Makes one call. The clock is read again right before it: a process that was paused between the
/// decision and the call must not give validity that it no longer has.
pub(crate) async fn perform(controller: Rc<Controller>, held: Rc<Held>, act: Act) {
    let now = controller.now();
    if !held.may_act(now) {
        if let Act::Session { server, .. } | Act::Grant { server, .. } | Act::Load { server, .. } =
            &act
        {
            with_section(&held, |s| s.silent(server));
        }
        return;
    }
    let all = &controller.process.invariants;
    asserts::before_call(all, &held, &act, now);
    let valid = controller.timing.session;
    match act {
        Act::Session {
            server,
            addr,
            fence,
            asof,
        } => {
            let body = SessionBody {
                fence,
                asof: asof.unwrap_or_default(),
                valid,
            };
            let result = controller.targets.session(addr, &body).await;
            settle(&controller, &held, &server, fence, result);
        }
        Act::Grant {
            server,
            addr,
            fence,
            asof,
            slices,
        } => {
            let body = GrantBody {
                fence,
                asof,
                valid,
                slices,
            };
            let result = controller.targets.grant(addr, &body).await;
            let events = &controller.process.events;
            let detail = format!(
                "shard={} fence={fence} slices={} ok={}",
                held.shard,
                named(&body.slices),
                result.is_ok()
            );
            events.record(EventKind::Granted, server.as_str(), detail);
            if result.is_ok() {
                held.grants.borrow_mut().granted(&server, &body.slices);
            }
            settle(&controller, &held, &server, fence, result);
        }
        Act::Release {
            server,
            addr,
            fence,
            slices,
        } => {
            let body = ReleaseBody { fence, slices };
            let result = controller.targets.release(addr, &body, RELEASE_LIMIT).await;
            let detail = format!(
                "shard={} fence={fence} slices={} ok={}",
                held.shard,
                named(&body.slices),
                result.is_ok()
            );
            let events = &controller.process.events;
            events.record(EventKind::Released, server.as_str(), detail);
            if result.is_ok() {
                let now = controller.now();
                held.grants.borrow_mut().released(&server, &body.slices);
                with_section(&held, |s| s.released(now, &body.slices));
            }
        }
        Act::Load { server, addr } => {
            let result = controller.targets.load(addr).await;
            let now = controller.now();
            with_section(&held, |s| match result {
                Ok(report) => s.answered(
                    now,
                    &server,
                    Answer {
                        now: Millis::ZERO,
                        instance: report.instance,
                        fence: Fence::default(),
                        slices: Vec::new(),
                    },
                ),
                Err(_) => s.silent(&server),
            });
        }
        Act::Store => {}
    }
}

fn settle(
    controller: &Controller,
    held: &Held,
    server: &ServerName,
    fence: Fence,
    result: Result<SessionAnswer, TargetError>,
) {
    let now = controller.now();
    match result {
        Ok(answer) => {
            let answer = Answer {
                now: answer.now,
                instance: answer.instance,
                fence: answer.fence,
                slices: answer.slices,
            };
            with_section(held, |s| s.answered(now, server, answer));
        }
        Err(error) => {
            with_section(held, |s| s.silent(server));
            // Another holder's fence in the server proves that this one was replaced.
            if let TargetError::FenceOld { seen } = error
                && seen.epoch > fence.epoch
            {
                claims::drop_held(controller, &held.shard, "a server has seen a higher epoch");
            }
        }
    }
}

fn with_section(held: &Held, act: impl FnOnce(&mut chicoryrail_ownership::Section)) {
    if let Some(cell) = held.section()
        && let Some(section) = cell.borrow_mut().as_mut()
    {
        act(section);
    }
}

/// Names the first slices of a call, so that the timeline finds it by a key; a `+N` stands for those
/// left out, since an event must stay short when a server gets a hundred slices.
fn named(slices: &[Slice]) -> String {
    let shown = slices.iter().take(SLICES_SHOWN);
    let mut names: Vec<String> = shown.map(Slice::to_string).collect();
    if let Some(more @ 1..) = slices.len().checked_sub(SLICES_SHOWN) {
        names.push(format!("+{more}"));
    }
    names.join(",")
}
