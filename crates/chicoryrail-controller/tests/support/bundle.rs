//! The text of a bundle.

use std::fmt::Write;
use std::net::SocketAddr;

/// Writes a bundle with the keyed service `kits`, its servers dealt to data centres `a` and `b`.
pub fn bundle(servers: &[SocketAddr], fenced: bool) -> String {
    let mut text = format!(
        "team = \"updraft\"\norder_parts = 2\n\
         [[data_centre]]\nname = \"a\"\n[[data_centre]]\nname = \"b\"\n\
         [[service]]\nname = \"kits\"\npath = \"/v1/kits/\"\nkind = \"keyed\"\n\
         class = \"interactive\"\nslices = 16\nfenced = {fenced}\n"
    );
    for (i, addr) in servers.iter().enumerate() {
        let dc = ["a", "b"][i % 2];
        let _ = write!(
            text,
            "[[service.server]]\nname = \"kits-{i}\"\ndata_centre = \"{dc}\"\naddr = \"{addr}\"\n"
        );
    }
    text
}
