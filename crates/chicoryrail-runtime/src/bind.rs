//! Listeners of a process.

use std::net::SocketAddr;

use monoio::net::ListenerOpts;
use monoio::net::TcpListener;

use crate::SettingError;

/// Opens the listener of a setting, alone on its address.
///
/// monoio shares a port by default (`SO_REUSEPORT`). Two processes that were given the same address
/// would then both start, and each would get a part of the other's connections. An address is still
/// taken over at once from a process that has ended.
///
/// # Errors
///
/// Returns the flag, the address and what the system says.
///
/// # Example
///
/// ```
/// use chicoryrail_runtime::bind;
///
/// chicoryrail_runtime::block_on(async {
///     let first = bind("listen", "127.0.0.1:0".parse().unwrap()).unwrap();
///     let error = bind("listen", first.local_addr().unwrap()).unwrap_err();
///     assert_eq!(error.flag, "listen");
/// });
/// ```
pub fn bind(flag: &'static str, addr: SocketAddr) -> Result<TcpListener, SettingError> {
    let alone = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(addr, &alone).map_err(|e| SettingError {
        flag,
        value: addr.to_string(),
        reason: e.to_string(),
    })
}
