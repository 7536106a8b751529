//! What each command does.

use std::fs;
use std::path::Path;

use chicoryrail_admin::BundleList;
use chicoryrail_admin::BundleView;
use chicoryrail_admin::Change;
use chicoryrail_admin::DiffView;
use chicoryrail_admin::Missing;
use chicoryrail_admin::MoveBody;
use chicoryrail_admin::OwnerView;
use chicoryrail_admin::PendingView;
use chicoryrail_admin::RollBody;
use chicoryrail_admin::SignBody;
use chicoryrail_admin::StatusView;
use chicoryrail_admin::StoredBundle;
use chicoryrail_admin::StoredSign;
use chicoryrail_core::Digest;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::percent_encode;
use chicoryrail_runtime::Clock;
use serde::Serialize;
use serde_json::json;
use snafu::ResultExt;

use crate::Client;
use crate::Command;
use crate::CtlError;
use crate::KeyFile;
use crate::Settings;
use crate::Way;
use crate::error::AnswerSnafu;
use crate::error::FileSnafu;
use crate::settings::Wait;
use crate::views;

/// Rest between two questions of `--wait`.
const ASK_AGAIN: Millis = Millis(250);

/// Runs the command and returns what is printed on standard output.
///
/// # Errors
///
/// Returns why the command did not succeed.
pub async fn execute(settings: &Settings) -> Result<String, CtlError> {
    let client = Client::new(settings);
    let json = settings.json;
    match &settings.command {
        Command::KeyNew { file } => {
            let public = KeyFile::create(file)?.public();
            show(json, &json!({ "public": public }), |_| {
                format!("{public}\n")
            })
        }
        Command::BundlePut { file } => put(&client, json, file).await,
        Command::BundleSign { digest, key } => sign(&client, json, digest, key).await,
        Command::BundleRoll {
            digest,
            expect,
            wait,
        } => {
            let body = RollBody {
                digest: digest.to_string(),
                expect: *expect,
            };
            let change = client.post("/v1/rolls", &body).await?;
            follow(&client, json, change, *wait).await
        }
        Command::BundleList => {
            let list: BundleList = client.get("/v1/bundles").await?;
            show(json, &list, views::bundles)
        }
        Command::BundleShow { digest } => {
            let bundle: StoredBundle = client.get(&format!("/v1/bundles/{digest}")).await?;
            show(json, &bundle, |b| b.text.clone())
        }
        Command::BundleDiff { before, after } => {
            let path = format!("/v1/bundles/{before}/diff/{after}");
            let diff: DiffView = client.get(&path).await?;
            show(json, &diff, views::diff)
        }
        Command::Move {
            kind,
            way,
            name,
            force,
            wait,
        } => {
            let way = match way {
                Way::Out => "out",
                Way::In => "in",
            };
            let path = format!("/v1/{kind}/{}/{way}", percent_encode(name));
            let change = client.post(&path, &MoveBody { force: *force }).await?;
            follow(&client, json, change, *wait).await
        }
        Command::Status => {
            let status: StatusView = client.get("/v1/status").await?;
            show(json, &status, views::status)
        }
        Command::Owner { service, key } => {
            let path = format!(
                "/v1/owner?service={}&key={}",
                percent_encode(service),
                percent_encode(key)
            );
            let owner: OwnerView = client.get(&path).await?;
            show(json, &owner, views::owner)
        }
        Command::Pending { version } => {
            let pending = pending(&client, *version).await?;
            show(json, &pending, views::pending)
        }
    }
}

async fn put(client: &Client, json: bool, file: &Path) -> Result<String, CtlError> {
    let text = fs::read(file).context(FileSnafu { path: file })?;
    let view: BundleView = client.post_text("/v1/bundles", text).await?;
    show(json, &view, |view| format!("{}\n", view.digest))
}

async fn sign(
    client: &Client,
    json: bool,
    digest: &Digest,
    key: &Path,
) -> Result<String, CtlError> {
    let body = SignBody {
        signature: KeyFile::read(key)?.sign(digest),
    };
    let path = format!("/v1/bundles/{digest}/signatures");
    let sign: StoredSign = client.post(&path, &body).await?;
    show(json, &sign, |sign| {
        format!("signed off by {}\n", sign.signer)
    })
}

async fn pending(client: &Client, version: Option<u64>) -> Result<PendingView, CtlError> {
    let path = match version {
        Some(version) => format!("/v1/pending?version={version}"),
        None => "/v1/pending".to_owned(),
    };
    client.get(&path).await
}

/// Returns what is printed of a pending change, without the silence, which differs every time.
fn missing(view: &PendingView) -> impl Iterator<Item = (HostName, String, Option<u64>)> {
    let each = |m: &Missing| (m.host.clone(), format!("{:?}", m.program), m.version);
    view.missing.iter().map(each)
}

/// Prints a stored change; with `--wait` also who is missing, until nobody is.
async fn follow(
    client: &Client,
    json: bool,
    mut change: Change,
    wait: Wait,
) -> Result<String, CtlError> {
    let clock = Clock::start();
    let mut told = None;
    while wait.wait && !change.pending.accepted {
        let names: Vec<_> = missing(&change.pending).collect();
        if told.as_ref() != Some(&names) {
            eprint!("{}", views::pending(&change.pending));
            told = Some(names);
        }
        if clock.now() >= wait.limit {
            return Err(CtlError::Late {
                version: change.version,
            });
        }
        clock.sleep(ASK_AGAIN).await;
        // The change is stored; a question that goes unanswered is asked again until the limit.
        if let Ok(view) = pending(client, Some(change.version)).await {
            change.pending = view;
        }
    }
    show(json, &change, views::change)
}

fn show<T: Serialize>(
    json: bool,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<String, CtlError> {
    if !json {
        return Ok(text(value));
    }
    let line = serde_json::to_string(value).context(AnswerSnafu)?;
    Ok(line + "\n")
}
