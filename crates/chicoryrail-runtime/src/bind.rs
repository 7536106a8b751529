//! Opens the listening sockets of a process.

use std::net::SocketAddr;

use monoio::net::ListenerOpts;
use monoio::net::TcpListener;

use crate::SettingError;

/// Opens a listener on `addr` without sharing the port.
///
/// monoio sets `SO_REUSEPORT` by default. Two processes configured with the same address would then both
/// start, and the kernel would split the connections between them. The address of a process that has ended
/// can still be bound immediately.
///
/// # Errors
///
/// Returns the setting's flag, the address and the system's error if the address can't be bound.
///
/// # Example
///
/// ```
/// use chicoryrail_runtime::bind_listener;
///
/// chicoryrail_runtime::block_on(async {
///     let first = bind_listener("listen", "127.0.0.1:0".parse().unwrap()).unwrap();
///     let error = bind_listener("listen", first.local_addr().unwrap()).unwrap_err();
///     assert_eq!(error.flag, "listen");
/// });
/// ```
pub fn bind_listener(flag: &'static str, addr: SocketAddr) -> Result<TcpListener, SettingError> {
    let opts = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(addr, &opts).map_err(|e| SettingError {
        flag,
        value: addr.to_string(),
        reason: e.to_string(),
    })
}
