//! Lists a core host in the store, so that the others find it.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::CoreHost;
use chicoryrail_ownership::store_key::host_key;
use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::StoreError;
use chicoryrail_platform::Txn;

use crate::control::config_feed::follow::call;
use crate::control::membership::source::join_core;
use crate::state::Router;

/// Lease of a host's key. A host that is gone is only one more address to send datagrams to, so the lease
/// is long and its renewals are few.
const HOST_LEASE: Millis = Millis(10_000);
const HOST_RENEWAL_INTERVAL: Millis = Millis(3_000);

/// The same at a host that watches the store for others. Its renewals show that the store answers it; a watch that
/// was cut off looks like one without news.
const WATCHER_RENEWAL_INTERVAL: Millis = Millis(500);

/// Pause after a call that failed.
const RETRY_INTERVAL: Millis = Millis(500);

/// Waits until this host is to be a core host, and then keeps its key in the store, with the address of its talk
/// with the others.
pub(crate) async fn be_present(router: Rc<Router>, addr: SocketAddr) {
    join_core(&router).await;
    log::info!(power = router.power(); "core_host");
    router.source.core.set(true);
    let mut lease = None;
    loop {
        let result = match lease {
            None => register(&router, addr).await.map(|id| lease = Some(id)),
            Some(id) => call(&router, "presence", router.store.keep_lease(id)).await,
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

async fn register(router: &Router, addr: SocketAddr) -> Result<u64, StoreError> {
    let lease = call(router, "open_lease", router.store.open_lease(HOST_LEASE)).await?;
    let key = format!("{OWN_PREFIX}{}", host_key(&router.boot().host));
    let power = router.power();
    let value = CoreHost { addr, power }.to_value();
    let txn = Txn::default().put_leased(&key, value.as_bytes(), lease.id);
    call(router, "register", router.store.commit(&txn)).await?;
    log::info!(addr:% = addr, lease = lease.id; "present");
    Ok(lease.id)
}
