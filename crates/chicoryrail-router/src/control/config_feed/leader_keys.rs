//! Gets the leader's key maps from the leader itself when its heartbeats tell of newer ones.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::HttpClient;

use crate::control::config_feed::follow_relay::apply_keys;
use crate::control::config_feed::relay_poll::Polled;
use crate::control::config_feed::relay_poll::poll;
use crate::state::Router;

/// Pause after a poll of the leader, so that the next one carries several changes.
const POLL_PAUSE: Millis = Millis(20);

/// Polls the leader whenever it has a newer key map than this host.
///
/// Maps of many servers are longer than a datagram, so heartbeats carry only their fencing tokens. A host that watches
/// the store has no relay from which it would get them.
pub(crate) async fn follow_leader_keys(router: Rc<Router>) {
    let client = HttpClient::default();
    loop {
        let seen = router.newer_keys.found.version();
        let Some(leader) = router.newer_keys.take_leader() else {
            router.newer_keys.found.wait_past(seen).await;
            continue;
        };
        match poll(&router, &client, leader, None).await {
            Ok(Polled { answer, .. }) => {
                let answer = answer.answer;
                apply_keys(&router, &answer.reply.keys, &answer.key_changes);
            }
            // The next heartbeat of the leader starts another poll.
            Err(e) => log::info!(leader:% = leader, error:% = e; "leader_keys_failed"),
        }
        router.process.clock.sleep(POLL_PAUSE).await;
    }
}
