//! The registration of the server: its entry in the store.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Member;
use chicoryrail_core::Millis;
use chicoryrail_platform::KvStore;
use chicoryrail_platform::StoreError;
use chicoryrail_platform::Subject;
use chicoryrail_platform::Txn;
use chicoryrail_platform::write_member;

use crate::target::state::State;

/// Time to live of the entry's store lease. The entry of a server that fails disappears after it.
const LEASE_TTL: Millis = Millis(2_000);

/// Interval between lease renewals, and delay before a retry after a failed call.
const RENEWAL_INTERVAL: Millis = Millis(500);

/// Interval between checks for a change of the advertised state.
const POLL_INTERVAL: Millis = Millis(20);

/// Maintains the entry of the server at `addr`; never returns.
pub(crate) async fn maintain_entry(state: Rc<State>, store: KvStore, addr: SocketAddr) {
    monoio::time::sleep(state.options.register_delay.to_duration()).await;
    loop {
        if let Err(e) = register(&state, &store, addr).await {
            log::info!("{}: store entry lost: {e}", state.options.name);
            monoio::time::sleep(RENEWAL_INTERVAL.to_duration()).await;
        }
    }
}

/// Writes the entry under a new lease and renews it until a call to the store fails. Writes the entry again when the
/// server starts a warm-up or starts to drain.
async fn register(state: &State, store: &KvStore, addr: SocketAddr) -> Result<(), StoreError> {
    let lease = store.open_lease(LEASE_TTL).await?;
    loop {
        let advertised = state.advertised();
        let member = Member {
            life: Life::new(state.options.name.clone(), state.started_unix_ms()),
            service: state.options.service.clone(),
            addr,
            dc: state.options.dc.clone(),
            slots: state.options.slots,
            state: advertised.state,
            warmup_left: state.warmup_left(),
        };
        let value = write_member(&member).unwrap_or_default();
        let key = Subject::Server(state.options.name.clone()).key();
        let txn = Txn::default().put_leased(&key.unwrap_or_default(), &value, lease.id);
        store.commit(&txn).await?;
        let mut renewed_at = state.now();
        while state.advertised() == advertised {
            monoio::time::sleep(POLL_INTERVAL.to_duration()).await;
            if state.now().since(renewed_at) >= RENEWAL_INTERVAL {
                store.renew_lease(lease.id).await?;
                renewed_at = state.now();
            }
        }
    }
}
