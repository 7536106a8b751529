//! Paths from this process that a test has cut.
//!
//! All processes of a test share the loopback interface, so a path from one host alone can only be cut in the process.

use std::fs;
use std::future::pending;
use std::io;
use std::net::SocketAddr;

/// Environment variable with the path of the file that lists the cut paths, each on a line: `refused ADDRESS` or
/// `silent ADDRESS` for a path on which open connections are lost too, `new ADDRESS` for one that refuses new
/// connections only.
pub const CUT_FILE_VARIABLE: &str = "CHICORYRAIL_CUT_FILE";

/// Fails a new connection on a cut path; on a silent one it never opens.
///
/// # Errors
///
/// Returns an error of the kind `ConnectionRefused` if the path refuses connections.
pub(crate) async fn check_new(addr: SocketAddr) -> io::Result<()> {
    match form(addr).as_deref() {
        Some("refused" | "new") => Err(io::ErrorKind::ConnectionRefused.into()),
        Some("silent") => pending().await,
        _ => Ok(()),
    }
}

/// Returns `true` if an open connection to the address is lost.
pub(crate) fn is_lost(addr: SocketAddr) -> bool {
    matches!(form(addr).as_deref(), Some("refused" | "silent"))
}

/// Returns the form of the cut of the path to an address; `None` if it is not cut.
fn form(addr: SocketAddr) -> Option<String> {
    let file = std::env::var(CUT_FILE_VARIABLE).ok()?;
    // A missing file cuts nothing.
    let lines = fs::read_to_string(file).unwrap_or_default();
    let mut cuts = lines.lines().filter_map(|line| line.split_once(' '));
    let (form, _) = cuts.find(|(_, cut)| cut.parse() == Ok(addr))?;
    Some(form.to_owned())
}
