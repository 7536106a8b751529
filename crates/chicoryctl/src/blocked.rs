//! The `blocked` commands: requests that are refused because they end each server that runs them.

use bpaf::Parser;
use bpaf::construct;
use bpaf::positional;
use chicoryrail_core::Fingerprint;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::store_key::CRASHES;
use chicoryrail_ownership::store_key::crash_key;
use chicoryrail_platform::Item;
use chicoryrail_platform::KvStore;
use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::Txn;
use chicoryrail_policy::CrashRecord;
use chicoryrail_policy::Standing;
use chicoryrail_runtime::setting_parser;
use serde::Serialize;
use snafu::ResultExt;

use crate::CtlError;
use crate::error::RecordSnafu;
use crate::error::StoreSnafu;
use crate::error::WriteSnafu;

/// A `blocked` command.
#[derive(Clone, Debug, PartialEq)]
pub enum BlockedCommand {
    /// Lists the blocked requests and the servers that ended under them.
    List,
    /// Blocks a request, so that every host refuses it.
    Add {
        /// Hash of the request's head, `head` in the log line.
        head: u64,
        /// Service of the request.
        service: ServiceName,
        /// The request, `fingerprint` in the log line.
        request: Fingerprint,
    },
    /// Dismisses a block, so that the request may run again.
    Dismiss {
        /// The request.
        request: Fingerprint,
    },
}

/// Parses the `blocked` commands.
pub(crate) fn blocked_commands() -> impl Parser<BlockedCommand> {
    let list = bpaf::pure(BlockedCommand::List)
        .to_options()
        .descr("Lists the blocked requests and the servers that ended under them")
        .command("list");
    let head = setting_parser::<u64>(
        "head",
        "CHICORYRAIL_HEAD",
        "N",
        "Hash of the request's head, as in the line connection_broken",
    );
    let service = setting_parser::<ServiceName>(
        "service",
        "CHICORYRAIL_SERVICE",
        "NAME",
        "Service of the request",
    );
    let request = request();
    let add = construct!(BlockedCommand::Add {
        head,
        service,
        request
    })
    .to_options()
    .descr("Blocks a request, so that every host refuses it")
    .command("add");
    let request = self::request();
    let dismiss = construct!(BlockedCommand::Dismiss { request })
        .to_options()
        .descr("Dismisses a block, so that the request may run again")
        .command("dismiss");
    construct!([list, add, dismiss])
}

fn request() -> impl Parser<Fingerprint> {
    positional::<Fingerprint>("FINGERPRINT").help("The request, as in the line request_held_back")
}

/// Runs a command and returns the text for standard output.
pub(crate) async fn execute(
    store: &KvStore,
    command: &BlockedCommand,
    json: bool,
) -> Result<String, CtlError> {
    match command {
        BlockedCommand::List => list(store, json).await,
        BlockedCommand::Add {
            head,
            service,
            request,
        } => {
            let stored = read(store, *request).await?;
            let known = stored.record.clone();
            let mut record = known.unwrap_or_else(|| CrashRecord::new(service.clone(), *head));
            record.block();
            write(store, *request, &record, stored.revision).await?;
            Ok(format!("request {request} is blocked\n"))
        }
        BlockedCommand::Dismiss { request } => {
            let stored = read(store, *request).await?;
            let blocked = stored.record.filter(|r| r.standing() == Standing::Blocked);
            let mut record = blocked.ok_or(CtlError::NotBlocked { request: *request })?;
            record.dismiss();
            write(store, *request, &record, stored.revision).await?;
            Ok(format!("request {request} may run again\n"))
        }
    }
}

/// A blocked request in the output.
#[derive(Debug, Serialize)]
struct Row {
    request: String,
    service: ServiceName,
    head: u64,
    /// Servers that ended under the request.
    ended: Vec<String>,
    by_hand: bool,
}

async fn list(store: &KvStore, json: bool) -> Result<String, CtlError> {
    let prefix = format!("{OWN_PREFIX}{CRASHES}");
    let all = store.snapshot(&prefix).await.context(StoreSnafu)?;
    let mut rows = Vec::new();
    for item in &all.items {
        let record = decode(item)?;
        if record.standing() != Standing::Blocked {
            continue;
        }
        let request = item.key.strip_prefix(&prefix).unwrap_or(&item.key);
        rows.push(Row {
            request: request.to_owned(),
            service: record.service,
            head: record.head,
            ended: record.ends.iter().map(ToString::to_string).collect(),
            by_hand: record.by_hand,
        });
    }
    if json {
        let text = serde_json::to_string_pretty(&rows).context(WriteSnafu)?;
        return Ok(format!("{text}\n"));
    }
    Ok(rows.iter().map(render).collect())
}

fn render(row: &Row) -> String {
    let by_hand = if row.by_hand { "  by hand" } else { "" };
    format!(
        "{}  {}  ended: {}{by_hand}\n",
        row.request,
        row.service,
        row.ended.join(", ")
    )
}

/// A record in the store.
struct Stored {
    record: Option<CrashRecord>,
    /// Revision of the entry; 0 if there is none.
    revision: u64,
}

async fn read(store: &KvStore, request: Fingerprint) -> Result<Stored, CtlError> {
    let item = store.item(&entry_key(request)).await.context(StoreSnafu)?;
    let record = item.as_ref().map(decode).transpose()?;
    Ok(Stored {
        record,
        revision: item.map_or(0, |item| item.revision),
    })
}

async fn write(
    store: &KvStore,
    request: Fingerprint,
    record: &CrashRecord,
    revision: u64,
) -> Result<(), CtlError> {
    let key = entry_key(request);
    let value = serde_json::to_vec(record).context(WriteSnafu)?;
    let txn = Txn::default().expect(&key, revision).put(&key, &value);
    store.commit(&txn).await.context(StoreSnafu)?;
    Ok(())
}

fn entry_key(request: Fingerprint) -> String {
    format!("{OWN_PREFIX}{}", crash_key(request))
}

fn decode(item: &Item) -> Result<CrashRecord, CtlError> {
    serde_json::from_slice(&item.value).context(RecordSnafu { key: &item.key })
}
