//! Data centres, hosts and servers: out of service and back.

mod bench;

use bench::Bench;
use bench::bundle;
use chicoryrail_runtime::block_on;
use rstest::rstest;

#[test]
fn a_data_centre_goes_out_and_back() {
    block_on(async {
        let bench = Bench::start();
        bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 6, 9000))
            .await;
        let out = bench.post("alice", "/v1/data-centres/a/out", "").await;
        let during = bench.store.head().outs.data_centres.len();
        let again = bench.post("alice", "/v1/data-centres/a/out", "").await;
        let back = bench.post("alice", "/v1/data-centres/a/in", "").await;
        let head = bench.store.head();
        assert_eq!(
            (out.code, during, back.code, head.version),
            (2007, 1, 2007, 3)
        );
        assert_eq!(again.body["unchanged"], true);
        assert!(head.outs.data_centres.is_empty());
    });
}

#[rstest]
#[case::data_centre("data-centres/a", "service kits: 2.0 of 6.0 slots would be left")]
#[case::server("servers/kits-0", "")]
fn what_the_rest_cannot_bear_needs_force(#[case] place: &str, #[case] expected: &str) {
    block_on(async {
        let bench = Bench::start();
        // Two of three servers stand in data centre a.
        let text = bundle("updraft", "kits", 3, 9000)
            .replace("data_centre = \"b\"", "data_centre = \"a\"");
        bench.rolled("alice", "bob", &text).await;
        let path = format!("/v1/{place}/out");
        let plain = bench.post("alice", &path, "").await;
        assert!(plain.error().contains(expected), "{plain:?}");
        let forced = bench.post("alice", &path, r#"{"force":true}"#).await;
        let refused = !expected.is_empty();
        assert_eq!((plain.code == 2008, forced.status), (refused, 202));
    });
}

#[rstest]
#[case::data_centre("data-centres/z/out", "data centre = \"z\"")]
#[case::host("hosts/z/out", "host = \"z\"")]
#[case::server("servers/z/in", "server = \"z\"")]
fn an_unknown_name_is_refused(#[case] path: &str, #[case] expected: &str) {
    block_on(async {
        let bench = Bench::start();
        bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        let answer = bench.post("alice", &format!("/v1/{path}"), "").await;
        assert_eq!(
            (answer.result(), bench.store.head().version),
            ((404, 2011), 1)
        );
        assert!(answer.error().starts_with(expected), "{answer:?}");
    });
}

/// A data centre that two teams use is moved by an operator of every team, a server by its own.
#[rstest]
#[case::one_team("alice", "data-centres/a/out", 2009)]
#[case::every_team("olga", "data-centres/a/out", 2007)]
#[case::other_teams_server("carol", "servers/kits-0/out", 2009)]
#[case::own_server("alice", "servers/kits-0/out", 2007)]
fn a_team_moves_only_its_own(#[case] who: &str, #[case] path: &str, #[case] expected: u16) {
    block_on(async {
        let bench = Bench::start();
        bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        bench
            .rolled("carol", "olga", &bundle("tanduay", "casks", 3, 9100))
            .await;
        let answer = bench.post(who, &format!("/v1/{path}"), "").await;
        assert_eq!(answer.code, expected, "{answer:?}");
    });
}
