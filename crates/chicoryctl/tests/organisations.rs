//! The `organisation` commands against a store, and that they don't show API keys.

mod support;

use chicoryctl::Command;
use chicoryctl::CtlError;
use chicoryctl::OrganisationCommand;
use chicoryctl::Settings;
use chicoryctl::execute;
use chicoryctl::settings;
use chicoryrail_platform::read_config;
use chicoryrail_runtime::block_on;
use support::Operator;
use support::SITE;
use support::file;

impl Operator {
    async fn with_config(name: &str) -> Self {
        let operator = Self::start();
        let put = Command::Put {
            file: file(name, SITE),
            expect: None,
        };
        operator.run(put).await.unwrap();
        operator
    }

    async fn organisation(&self, command: OrganisationCommand) -> Result<String, CtlError> {
        self.run(Command::Organisation(command)).await
    }

    async fn add(&self, name: &str) -> Result<String, CtlError> {
        self.organisation(OrganisationCommand::Add {
            rate: 30.0,
            burst: 10.0,
            rank: None,
            name: name.into(),
        })
        .await
    }
}

#[test]
fn an_api_key_is_created_and_dropped() {
    block_on(async {
        let operator = Operator::with_config("org-key").await;
        operator.add("school").await.unwrap();
        let name = || "school".into();
        let shown = operator.organisation(OrganisationCommand::NewKey { name: name() });
        let shown = shown.await.unwrap();
        let key = shown.lines().next().unwrap();
        assert_eq!(key.len(), 24);
        let list = operator
            .organisation(OrganisationCommand::List)
            .await
            .unwrap();
        assert!(!list.contains(key), "the list shows an API key");
        let fingerprint = list.split_whitespace().next_back().unwrap().to_owned();
        assert!(shown.contains(&fingerprint));
        let limit = OrganisationCommand::Limit {
            rate: 7.0,
            burst: 2.0,
            name: name(),
        };
        operator.organisation(limit).await.unwrap();
        let item = operator.store.item("op/config").await.unwrap().unwrap();
        let site = read_config(&item.value).unwrap().site;
        let school = site.organisation(&name()).unwrap();
        assert_eq!(school.api_keys[0].expose(), key.as_bytes());
        assert_eq!(school.limit.map(|l| (l.rate, l.burst)), Some((7.0, 2.0)));
        let drop = |fingerprint: &str| OrganisationCommand::DropKey {
            name: name(),
            fingerprint: fingerprint.to_owned(),
        };
        assert!(operator.organisation(drop("none")).await.is_err());
        operator.organisation(drop(&fingerprint)).await.unwrap();
        let status = operator.run(Command::Status).await.unwrap();
        let row = status.lines().find(|l| l.starts_with("school")).unwrap();
        assert_eq!(
            row.split_whitespace().collect::<Vec<_>>(),
            ["school", "7", "2", "0"]
        );
    });
}

#[test]
fn errors_name_the_organisation_and_the_field() {
    block_on(async {
        let operator = Operator::with_config("org-errors").await;
        operator.add("school").await.unwrap();
        let duplicate = operator.add("school").await.unwrap_err().to_string();
        assert_eq!(duplicate, "organisation school already exists");
        let unknown = OrganisationCommand::NewKey {
            name: "shop".into(),
        };
        let error = operator
            .organisation(unknown)
            .await
            .unwrap_err()
            .to_string();
        assert_eq!(error, "organisation shop does not exist");
        let negative = OrganisationCommand::Limit {
            rate: -1.0,
            burst: 0.0,
            name: "school".into(),
        };
        let error = operator
            .organisation(negative)
            .await
            .unwrap_err()
            .to_string();
        assert_eq!(error, "organisation.school.rate = -1: must be 0 or more");
    });
}

/// Guards against API keys in error messages: an error in a file names the line but doesn't quote its text.
#[test]
fn errors_in_a_file_show_no_api_keys() {
    for bad in [
        "api_keys = \"a-secret\"",
        "api_keys = [\"a-secret\", 7]",
        "api_keys = [\"a-secret\"",
        "rate = \"x\" # a-secret",
    ] {
        let text = format!("{SITE}[[organisation]]\nname = \"school\"\n{bad}\n");
        let check = Command::Check {
            file: file("org-bad", &text),
        };
        let settings = Settings {
            store: None,
            json: false,
            command: check,
        };
        let error = block_on(execute(&settings)).unwrap_err();
        assert!(
            !format!("{error} {error:?}").contains("a-secret"),
            "{error}"
        );
        assert!(error.to_string().contains("line 1"), "{error}");
    }
}

#[test]
fn limit_flags_are_parsed() {
    let args = [
        "--store",
        "127.0.0.1:1",
        "organisation",
        "limit",
        "--rate",
        "5.5",
        "school",
    ];
    let parsed = settings().run_inner(&args[..]).unwrap();
    let expected = OrganisationCommand::Limit {
        rate: 5.5,
        burst: 0.0,
        name: "school".into(),
    };
    assert_eq!(parsed.command, Command::Organisation(expected));
}
