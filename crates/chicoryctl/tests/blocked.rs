//! The `blocked` commands against a store.

mod support;

use chicoryctl::BlockedCommand;
use chicoryctl::Command;
use chicoryctl::CtlError;
use chicoryctl::settings;
use chicoryrail_core::Fingerprint;
use chicoryrail_runtime::block_on;
use rstest::rstest;
use support::Operator;

fn request() -> Fingerprint {
    Fingerprint::from([0xab; 16])
}

async fn run(operator: &Operator, command: BlockedCommand) -> Result<String, CtlError> {
    operator.run(Command::Blocked(command)).await
}

/// Guards against a block by hand that is not listed, or that can't be taken back.
#[test]
fn a_request_is_blocked_and_dismissed_by_hand() {
    block_on(async {
        let operator = Operator::start();
        let dismiss = BlockedCommand::Dismiss { request: request() };
        let refused = run(&operator, dismiss.clone()).await.unwrap_err();
        assert!(matches!(refused, CtlError::NotBlocked { .. }), "{refused}");
        for _ in 0..2 {
            let add = BlockedCommand::Add {
                head: 7,
                service: "kits".into(),
                request: request(),
            };
            run(&operator, add).await.unwrap();
            let listed = run(&operator, BlockedCommand::List).await.unwrap();
            assert_eq!(listed, format!("{}  kits  ended:   by hand\n", request()));
            run(&operator, dismiss.clone()).await.unwrap();
            assert_eq!(run(&operator, BlockedCommand::List).await.unwrap(), "");
        }
    });
}

/// Guards against bad values that are accepted, or refused without their name.
#[rstest]
#[case::short(&["blocked", "dismiss", "abab"], "32 hexadecimal digits")]
#[case::no_head(&["blocked", "add", "--service", "kits", "abababababababababababababababab"], "head")]
#[case::bad_head(&["blocked", "add", "--head", "x", "--service", "kits", "abababababababababababababababab"], "head")]
fn bad_input_is_refused_with_its_field(#[case] words: &[&str], #[case] named: &str) {
    let all: Vec<&str> = ["--store", "127.0.0.1:7000"]
        .iter()
        .chain(words)
        .copied()
        .collect();
    let error = settings()
        .run_inner(all.as_slice())
        .unwrap_err()
        .unwrap_stderr();
    assert!(error.contains(named), "{error}");
}
