//! Registration of a core host in the store, where the other hosts discover it.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::CoreHost;
use chicoryrail_ownership::store_key::host_key;
use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::StoreError;
use chicoryrail_platform::Txn;

use crate::control::config_feed::store_calls::store_call;
use crate::control::leader::read_last_term;
use crate::control::membership::source::join_core;
use crate::state::Router;

/// TTL of the store lease on a host's key. A lost host costs the others only datagrams to its address, so the TTL is
/// long and renewals are rare.
const HOST_LEASE: Millis = Millis(10_000);
const HOST_RENEWAL_INTERVAL: Millis = Millis(3_000);

/// Renewal interval of a host that watches the store for others. The renewals show whether the store still replies;
/// a watch alone does not, since one whose connection was lost looks like one without changes.
const WATCHER_RENEWAL_INTERVAL: Millis = Millis(500);

/// Pause after a failed registration or renewal.
const RETRY_INTERVAL: Millis = Millis(500);

/// Waits until this host should be a core host, and then keeps its key in the store. The key's value holds `addr`, the
/// address for datagrams from other hosts, and the host's power.
pub(crate) async fn register_core_host(router: Rc<Router>, addr: SocketAddr) {
    join_core(&router).await;
    log::info!(power = router.power(); "core_host");
    router.source.set_core_host(router.now());
    let mut lease = None;
    loop {
        let result = match lease {
            None => register(&router, addr).await.map(|id| lease = Some(id)),
            Some(id) => store_call(&router, "presence", router.store.renew_lease(id)).await,
        };
        let pause = match result {
            Ok(()) if router.source.watches() => WATCHER_RENEWAL_INTERVAL,
            Ok(()) => HOST_RENEWAL_INTERVAL,
            Err(StoreError::LeaseGone) => {
                log::warn!("presence_lapsed");
                lease = None;
                Millis::ZERO
            }
            Err(_) => RETRY_INTERVAL,
        };
        router.process.clock.sleep(pause).await;
    }
}

/// Writes the host's key under a new lease; returns the lease's id.
async fn register(router: &Router, addr: SocketAddr) -> Result<u64, StoreError> {
    if !router.supporter.get().may_reply() {
        read_last_term(router).await?;
    }
    let lease = store_call(router, "open_lease", router.store.open_lease(HOST_LEASE)).await?;
    let key = format!("{OWN_PREFIX}{}", host_key(&router.boot().host));
    let power = router.power();
    let value = CoreHost { addr, power }.to_value();
    let txn = Txn::default().put_leased(&key, value.as_bytes(), lease.id);
    store_call(router, "register", router.store.commit(&txn)).await?;
    log::info!(addr:% = addr, lease = lease.id; "present");
    Ok(lease.id)
}
