//! Periodic reads that verify that the configuration in force is current.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_platform::Feed;
use monoio::time::timeout;

use crate::control::config_feed::config_arrival::Arrival;
use crate::control::config_feed::config_arrival::track_config;
use crate::control::config_feed::follow::apply_snapshot;
use crate::control::config_feed::store_calls::record_store_call;
use crate::state::Router;

/// Time between two reads of the operator's keys.
const VERIFICATION_INTERVAL: Millis = Millis(1_000);

/// Pause after a failed read.
const VERIFICATION_RETRY_INTERVAL: Millis = Millis(150);

/// Reads the operator's keys at intervals while this host watches the store for others.
///
/// A watch without changes can't be distinguished from one whose connection is dead, and a renewed lease shows nothing
/// about other keys. Only a read verifies that the configuration is current, as of the time when the read was sent.
pub(crate) async fn verify_config(router: Rc<Router>) {
    loop {
        let changed = router.source.changed.version();
        let pause = match needs_verification(&router) {
            false => VERIFICATION_INTERVAL,
            true => read_config(&router).await,
        };
        let _ = timeout(
            pause.to_duration(),
            router.source.changed.wait_past(changed),
        )
        .await;
    }
}

/// Returns `true` if this host must verify the configuration, for itself and the hosts that follow it. Without
/// organisations there are no API keys to revoke, so nothing needs to be verified.
fn needs_verification(router: &Router) -> bool {
    let bound = router.boot().bounds.revoke;
    let site = router.site();
    let organisations = site.is_some_and(|s| s.organisations().is_some());
    bound.is_some() && organisations && router.source.watches()
}

/// Reads the operator's keys and applies them if they changed; returns the pause until the next read.
async fn read_config(router: &Router) -> Millis {
    let sent = router.now();
    let read = router.store.snapshot(&Feed::Operator.prefix()).await;
    record_store_call(router, "prove_config", read.as_ref().err());
    match read {
        Ok(all) => {
            let is_applied = router.feed_logs.borrow()[0].matches(&all);
            if !is_applied {
                track_config(router, &Arrival::Store, || {
                    apply_snapshot(router, Feed::Operator, &all);
                });
            }
            router.organisations.mark_current(sent);
            VERIFICATION_INTERVAL.since(router.now().since(sent))
        }
        Err(e) => {
            log::info!(error:% = e; "config_not_proved");
            VERIFICATION_RETRY_INTERVAL
        }
    }
}
