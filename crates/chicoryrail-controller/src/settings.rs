//! Settings of the controller.

use std::net::SocketAddr;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_runtime::HostSettings;
use chicoryrail_runtime::host_settings;
use chicoryrail_runtime::store_setting;

/// What the controller learns from flags and environment variables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Host, data centre and host list.
    pub host: HostSettings,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the listener for peers.
    pub inner: SocketAddr,
    /// Address of the listener for health, metrics and events.
    pub observe: SocketAddr,
}

impl Settings {
    /// Builds the command line.
    #[must_use]
    pub fn parser() -> OptionParser<Self> {
        let host = host_settings();
        let store = store_setting();
        let inner = long("inner")
            .env("CHICORYRAIL_CONTROLLER_INNER")
            .help("IP address and port of the listener for the system's own processes")
            .argument::<SocketAddr>("ADDR");
        let observe = long("observe")
            .env("CHICORYRAIL_CONTROLLER_OBSERVE")
            .help("IP address and port of the listener for health, metrics and events")
            .argument::<SocketAddr>("ADDR");
        construct!(Self {
            host,
            store,
            inner,
            observe,
        })
        .to_options()
        .descr("Holds shards of chicoryrail: places slices, grants, hands off, witnesses")
    }
}
