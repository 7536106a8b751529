//! The API's answers as text for people.

use std::fmt::Display;
use std::fmt::Write as _;

use chicoryrail_admin::BundleList;
use chicoryrail_admin::Change;
use chicoryrail_admin::DiffView;
use chicoryrail_admin::OwnerView;
use chicoryrail_admin::PendingView;
use chicoryrail_admin::Source;
use chicoryrail_admin::StatusView;

use crate::table;

pub(crate) fn bundles(list: &BundleList) -> String {
    let rows: Vec<_> = list
        .bundles
        .iter()
        .map(|b| {
            vec![
                b.digest.to_string(),
                b.team.to_string(),
                b.author.to_string(),
                or_dash(b.signer.as_ref()),
                b.services.to_string(),
                b.servers.to_string(),
                if b.in_force { "yes" } else { "no" }.to_owned(),
            ]
        })
        .collect();
    let head = [
        "DIGEST", "TEAM", "AUTHOR", "SIGNER", "SERVICES", "SERVERS", "IN FORCE",
    ];
    table(&head, &rows)
}

pub(crate) fn diff(diff: &DiffView) -> String {
    let rows: Vec<_> = diff
        .changes
        .iter()
        .map(|c| {
            vec![
                c.field.clone(),
                or_dash(c.before.as_ref()),
                or_dash(c.after.as_ref()),
            ]
        })
        .collect();
    table(&["FIELD", "BEFORE", "AFTER"], &rows)
}

pub(crate) fn change(change: &Change) -> String {
    let mut text = String::new();
    for warning in &change.warnings {
        let _ = writeln!(text, "warning: {warning}");
    }
    if change.unchanged {
        let _ = writeln!(
            text,
            "nothing to change: it is so since version {}",
            change.version
        );
    }
    text + &pending(&change.pending)
}

pub(crate) fn pending(view: &PendingView) -> String {
    if view.accepted {
        return format!("version {} accepted\n", view.version);
    }
    let rows: Vec<_> = view
        .missing
        .iter()
        .map(|m| {
            vec![
                m.host.to_string(),
                m.program
                    .map_or("-".to_owned(), |p| format!("{p:?}").to_lowercase()),
                or_dash(m.version.as_ref()),
                m.silent_ms.0.to_string(),
            ]
        })
        .collect();
    let head = format!("version {} pending\n", view.version);
    head + &table(&["MISSING HOST", "PROGRAM", "VERSION", "SILENT MS"], &rows)
}

pub(crate) fn status(view: &StatusView) -> String {
    let mut text = format!("version {}", view.version);
    if view.source == Source::Controllers {
        text.push_str(" (the store does not answer; as the controllers know it)");
    }
    text.push('\n');
    if !view.listed {
        text.push_str("the host list does not answer; hosts as they were listed last\n");
    }
    for (team, digest) in &view.bundles {
        let _ = writeln!(text, "team {team}: bundle {digest}");
    }
    out(&mut text, "data centre", &view.outs.data_centres);
    out(&mut text, "host", &view.outs.hosts);
    out(&mut text, "server", &view.outs.servers);
    let rows: Vec<_> = view.hosts.iter().flat_map(host_rows).collect();
    let head = [
        "HOST",
        "DATA CENTRE",
        "LISTED",
        "SHARDS",
        "PROGRAM",
        "STATE",
        "VERSION",
        "SILENT MS",
    ];
    text + &table(&head, &rows)
}

fn host_rows(host: &chicoryrail_admin::HostView) -> Vec<Vec<String>> {
    let first = |cells: [String; 4]| {
        let listed = match (host.listed, host.leaving) {
            (true, true) => "leaving",
            (true, false) => "live",
            (false, _) => "no",
        };
        let mut row = vec![
            host.name.to_string(),
            host.data_centre.to_string(),
            listed.to_owned(),
            or_dash(host.shards.as_ref()),
        ];
        row.extend(cells);
        row
    };
    if host.programs.is_empty() {
        return vec![first(["-", "silent", "-", "-"].map(ToOwned::to_owned))];
    }
    let rows = host.programs.iter().map(|p| {
        first([
            format!("{:?}", p.program).to_lowercase(),
            format!("{:?}", p.state).to_lowercase(),
            p.version.to_string(),
            p.silent_ms.0.to_string(),
        ])
    });
    rows.collect()
}

pub(crate) fn owner(view: &OwnerView) -> String {
    let rows = [
        ("server", view.server.to_string()),
        ("data centre", view.data_centre.to_string()),
        ("state", view.state.clone()),
        ("gate", or_dash(view.gate.as_ref())),
        ("slice", view.slice.clone()),
        ("position", view.position.clone()),
        ("moving", if view.moving { "yes" } else { "no" }.to_owned()),
        ("shard", view.shard.clone()),
        ("holder", view.holder.to_string()),
        ("fence", view.fence.clone()),
    ];
    let rows: Vec<_> = rows
        .into_iter()
        .map(|(field, value)| vec![field.to_owned(), value])
        .collect();
    table(&["FIELD", "VALUE"], &rows)
}

fn out(text: &mut String, kind: &str, names: &std::collections::BTreeSet<impl Display>) {
    for name in names {
        let _ = writeln!(text, "out of service: {kind} {name}");
    }
}

fn or_dash(value: Option<&impl Display>) -> String {
    value.map_or_else(|| "-".to_owned(), ToString::to_string)
}
