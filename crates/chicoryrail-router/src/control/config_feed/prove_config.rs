//! Proves at intervals that the configuration in force is the newest one.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_platform::Feed;
use monoio::time::timeout;

use crate::control::config_feed::follow::note;
use crate::control::config_feed::follow::take_snapshot;
use crate::state::Router;

/// Time between two proofs, and after one that failed.
const PROOF_INTERVAL: Millis = Millis(1_000);
const PROOF_RETRY: Millis = Millis(150);

/// Reads the operator's keys at intervals while this host watches the store for others.
///
/// A watch says nothing while nothing changes, also where its connection is silent for good, and a renewed lease says
/// nothing of other keys. Only a read does, and it counts from the moment at which it was sent.
pub(crate) async fn prove_config(router: Rc<Router>) {
    loop {
        let changed = router.source.changed.count();
        let pause = match is_needed(&router) {
            false => PROOF_INTERVAL,
            true => prove(&router).await,
        };
        let _ = timeout(pause.duration(), router.source.changed.after(changed)).await;
    }
}

/// Tells whether other hosts and this one need a proof from here. Without organisations there is no key to take away.
fn is_needed(router: &Router) -> bool {
    let bound = router.boot().bounds.revoke;
    let site = router.site();
    let organisations = site.is_some_and(|s| s.organisations().is_some());
    bound.is_some() && organisations && router.source.watches()
}

/// Reads the operator's keys; returns the pause after it.
async fn prove(router: &Router) -> Millis {
    let sent = router.now();
    let read = router.store.snapshot(&Feed::Operator.prefix()).await;
    note(router, "prove_config", read.as_ref().err());
    match read {
        Ok(all) => {
            let known = router.feed_logs.borrow()[0].holds(&all);
            if !known {
                take_snapshot(router, Feed::Operator, &all);
            }
            router.organisations.prove_current(sent);
            PROOF_INTERVAL.since(router.now().since(sent))
        }
        Err(e) => {
            log::info!(error:% = e; "config_not_proved");
            PROOF_RETRY
        }
    }
}
