//! Pauses of processes.

use crate::Member;
use crate::chaos::context::RunContext;
use crate::unix_micros;

pub(crate) fn pause(context: &RunContext, member: Member, for_ms: u64) -> Result<(), String> {
    context.cluster().pause(member);
    context.sleep(for_ms);
    context.cluster().resume(member);
    Ok(())
}

pub(crate) fn pause_router(context: &RunContext, host: usize, for_ms: u64) -> Result<(), String> {
    let from = unix_micros();
    pause(context, Member::Router(host), for_ms)?;
    let period = context.record_interruption(host, from);
    context.events().frozen.push(period);
    Ok(())
}
