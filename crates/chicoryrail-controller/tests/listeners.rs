//! The addresses that a controller is told to listen at.

use std::net::SocketAddr;
use std::time::Duration;

use chicoryrail_controller::Settings;
use chicoryrail_controller::run_process;
use chicoryrail_runtime::HostSettings;
use chicoryrail_runtime::Process;
use chicoryrail_runtime::block_on;
use monoio::net::TcpListener;
use monoio::time::timeout;
use rstest::rstest;

/// Two controllers are started with one address by mistake. Sharing the port, both would run, and
/// each would get a part of the other's calls; the second must end and say which setting is wrong.
/// The first listens as monoio does without options, so that a second one could share the port.
#[rstest]
#[case::inner("inner")]
#[case::observe("observe")]
fn a_taken_address_ends_the_start(#[case] flag: &str) {
    block_on(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let first = TcpListener::bind(any).unwrap();
        let taken = first.local_addr().unwrap();
        let settings = Settings {
            host: HostSettings {
                host: "h1".into(),
                dc: "north".into(),
                list: nowhere,
            },
            store: nowhere,
            inner: if flag == "inner" { taken } else { any },
            observe: if flag == "observe" { taken } else { any },
        };
        let process = Process::new(&"h1".into(), "chicoryrail-controller");
        let run = timeout(Duration::from_secs(10), run_process(settings, process));
        let error = run.await.expect("the start ends").unwrap_err();
        assert_eq!((error.flag, error.value), (flag, taken.to_string()));
    });
}
