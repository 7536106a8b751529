//! The server's entry in the store.

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

/// Lease of the entry; a server that is lost is gone from the store after it.
const LEASE: Millis = Millis(2_000);

/// Wait between two renewals, and after a call that failed.
const RENEW: Millis = Millis(500);

/// Wait between two looks at whether there is something new to tell.
const LOOK: Millis = Millis(20);

/// Keeps the entry of the server at `addr`, and writes it anew when the server turns cold or leaves.
pub(crate) async fn be_present(state: Rc<State>, store: KvStore, addr: SocketAddr) {
    loop {
        if let Err(e) = register(&state, &store, addr).await {
            log::info!("{}: entry lost: {e}", state.options.name);
            monoio::time::sleep(RENEW.duration()).await;
        }
    }
}

/// Writes the entry under a new lease and keeps it until a call fails.
async fn register(state: &State, store: &KvStore, addr: SocketAddr) -> Result<(), StoreError> {
    let lease = store.open_lease(LEASE).await?;
    loop {
        let told = state.told();
        let member = Member {
            life: Life::new(state.options.name.clone(), state.born()),
            service: state.options.service.clone(),
            addr,
            dc: state.options.dc.clone(),
            slots: state.options.slots,
            state: told.state,
            cold: state.cold_left(),
        };
        let value = write_member(&member).unwrap_or_default();
        let key = Subject::Server(state.options.name.clone()).key();
        let txn = Txn::default().put_leased(&key.unwrap_or_default(), &value, lease.id);
        store.commit(&txn).await?;
        let mut kept = state.now();
        while state.told() == told {
            monoio::time::sleep(LOOK.duration()).await;
            if state.now().since(kept) >= RENEW {
                store.keep_lease(lease.id).await?;
                kept = state.now();
            }
        }
    }
}
