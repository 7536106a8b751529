//! Faults that targets inject themselves.

use crate::TargetFault;
use crate::chaos::Fault;
use crate::chaos::context::RunContext;

/// Number of bytes of a response body that a target sends before it closes the connection.
const CUT_AFTER_BYTES: u64 = 40;

/// Switches on a fault of one target and waits for its duration.
pub(crate) fn inject_target_fault(context: &RunContext, fault: &Fault) -> Result<(), String> {
    let (target, injected, duration_ms) = match *fault {
        Fault::TargetSlow {
            target,
            factor,
            for_ms,
        } => (target, TargetFault::Slow { for_ms, factor }, for_ms),
        Fault::TargetCold { target } => (target, TargetFault::Cold { for_ms: None }, 0),
        Fault::TargetLimited {
            target,
            rate,
            for_ms,
        } => (target, TargetFault::NameLimit { for_ms, rate }, for_ms),
        Fault::TargetBacksOff {
            target,
            share,
            backoff_ms,
            for_ms,
        } => {
            let refuse = TargetFault::Refuse {
                for_ms,
                share,
                backoff_ms: Some(backoff_ms),
            };
            (target, refuse, for_ms)
        }
        Fault::TargetDeaf { target, for_ms } => (target, TargetFault::Deaf { for_ms }, for_ms),
        Fault::TargetLosesAnswers {
            target,
            share,
            for_ms,
        } => (target, TargetFault::LoseAnswers { for_ms, share }, for_ms),
        Fault::TargetCrossesAnswers {
            target,
            share,
            for_ms,
        } => (target, TargetFault::Crossed { for_ms, share }, for_ms),
        Fault::TargetCutsAnswers {
            target,
            share,
            for_ms,
        } => {
            let cut = TargetFault::Cut {
                for_ms,
                share,
                after: CUT_AFTER_BYTES,
            };
            (target, cut, for_ms)
        }
        _ => return Err("not a fault of a target".to_owned()),
    };
    let addr = context.cluster().targets()[target].addr;
    let sent = context.cluster().put_fault(addr, &injected);
    sent.map_err(|e| e.to_string())?;
    context.sleep(duration_ms);
    Ok(())
}

/// Makes a fraction of the targets of each service slow, and loses a fraction `lost` of their responses.
pub(crate) fn stall_targets(
    context: &RunContext,
    share: f64,
    factor: f64,
    lost: f64,
    for_ms: u64,
) -> Result<(), String> {
    let (slow, lose) = (
        TargetFault::Slow { for_ms, factor },
        TargetFault::LoseAnswers {
            for_ms,
            share: lost,
        },
    );
    let addrs: Vec<_> = {
        let cluster = context.cluster();
        let targets = cluster.targets().iter().enumerate();
        // A stride of 3 of 10 spreads the targets over the services, whose targets follow one another.
        let chosen = targets.filter(|(i, _)| ((i * 3 % 10) as f64) < share * 10.0);
        chosen.map(|(_, t)| t.addr).collect()
    };
    for addr in addrs {
        let cluster = context.cluster();
        let sent = cluster.put_fault(addr, &slow);
        sent.and_then(|()| cluster.put_fault(addr, &lose))
            .map_err(|e| e.to_string())?;
    }
    context.sleep(for_ms);
    Ok(())
}
