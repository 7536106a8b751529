//! Commands on organisations.

use std::fmt::Write as _;
use std::hash::Hasher;

use chicoryrail_core::ApiKey;
use chicoryrail_core::OrganisationName;
use chicoryrail_core::OrganisationPart;
use chicoryrail_core::SiteFile;
use chicoryrail_platform::KvStore;
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde_json::json;
use siphasher::sip::SipHasher24;
use snafu::ResultExt;

use crate::CtlError;
use crate::OrganisationCommand;
use crate::change;
use crate::error::NoRandomSnafu;
use crate::status::line;

/// Random bytes of a new key.
const KEY_BYTES: usize = 24;

/// Characters of new keys; each carries five bits.
const ALPHABET: &[u8; 32] = b"abcdefghijkmnpqrstuvwxyz23456789";

/// Runs a command on organisations.
pub(crate) async fn execute(
    store: &KvStore,
    command: &OrganisationCommand,
    json: bool,
) -> Result<String, CtlError> {
    match command {
        OrganisationCommand::List => list(store, json).await,
        OrganisationCommand::Add {
            rate,
            burst,
            rank,
            name,
        } => {
            let part = OrganisationPart {
                name: name.clone(),
                api_keys: Vec::new(),
                rate: *rate,
                burst: *burst,
                rank: *rank,
            };
            add(store, &part).await
        }
        OrganisationCommand::Limit { rate, burst, name } => {
            let set = |part: &mut OrganisationPart| {
                part.rate = *rate;
                part.burst = *burst;
                Ok(())
            };
            let version = change_one(store, name, set).await?;
            Ok(format!(
                "{name}: rate {rate}, burst {burst}, version {version}\n"
            ))
        }
        OrganisationCommand::NewKey { name } => new_key(store, name).await,
        OrganisationCommand::DropKey { name, fingerprint } => {
            drop_key(store, name, fingerprint).await
        }
    }
}

/// Returns what tells a key from others and does not open anything.
pub(crate) fn fingerprint(key: &ApiKey) -> String {
    let mut hasher = SipHasher24::new();
    hasher.write(key.expose());
    format!("{:016x}", hasher.finish())
}

async fn list(store: &KvStore, json: bool) -> Result<String, CtlError> {
    let all = change::stored_file(store).await?.organisations;
    let all = all.unwrap_or_default();
    let prints = |o: &OrganisationPart| o.api_keys.iter().map(fingerprint).collect::<Vec<_>>();
    if json {
        let rows = all.iter().map(|o| {
            json!({"name": o.name, "rate": o.rate, "burst": o.burst, "rank": o.rank,
                   "keys": prints(o)})
        });
        return line(&rows.collect());
    }
    let mut text = "organisation              rate   burst  rank  keys\n".to_owned();
    for o in &all {
        let rank = o.rank.map_or_else(|| "-".to_owned(), |r| r.to_string());
        let _ = writeln!(
            text,
            "{:<22} {:>7} {:>7} {rank:>5}  {}",
            o.name.as_str(),
            o.rate,
            o.burst,
            prints(o).join(" ")
        );
    }
    Ok(text)
}

async fn add(store: &KvStore, part: &OrganisationPart) -> Result<String, CtlError> {
    let name = &part.name;
    let add = |file: &mut SiteFile| {
        let all = file.organisations.get_or_insert_default();
        if all.iter().any(|o| o.name == *name) {
            return Err(CtlError::OrganisationExists { name: name.clone() });
        }
        all.push(part.clone());
        Ok(())
    };
    let version = change::change_file(store, add).await?;
    Ok(format!("{name} is added, version {version}\n"))
}

async fn new_key(store: &KvStore, name: &OrganisationName) -> Result<String, CtlError> {
    let mut bytes = [0; KEY_BYTES];
    OsRng.try_fill_bytes(&mut bytes).context(NoRandomSnafu)?;
    let text: String = bytes
        .iter()
        .map(|b| char::from(ALPHABET[usize::from(b % 32)]))
        .collect();
    let key = ApiKey::new(&text);
    let push = |part: &mut OrganisationPart| {
        part.api_keys.push(key.clone());
        Ok(())
    };
    let version = change_one(store, name, push).await?;
    let print = fingerprint(&key);
    Ok(format!(
        "{text}\nfingerprint {print}, version {version}; the key is not shown again\n"
    ))
}

async fn drop_key(
    store: &KvStore,
    name: &OrganisationName,
    print: &str,
) -> Result<String, CtlError> {
    let remove = |part: &mut OrganisationPart| {
        let has_it = |k: &ApiKey| fingerprint(k).starts_with(print);
        let found = part.api_keys.iter().filter(|k| has_it(k)).count();
        if found != 1 {
            return Err(CtlError::NoSuchKey {
                name: name.clone(),
                fingerprint: print.to_owned(),
                found,
            });
        }
        part.api_keys.retain(|k| !has_it(k));
        Ok(())
    };
    let version = change_one(store, name, remove).await?;
    Ok(format!(
        "the key of {name} is taken away, version {version}\n"
    ))
}

/// Changes one organisation; returns the version of the new configuration.
async fn change_one(
    store: &KvStore,
    name: &OrganisationName,
    change: impl Fn(&mut OrganisationPart) -> Result<(), CtlError>,
) -> Result<u64, CtlError> {
    let change = |file: &mut SiteFile| {
        let all = file.organisations.iter_mut().flatten();
        let mut named = all.filter(|o| o.name == *name);
        match named.next() {
            Some(part) => change(part),
            None => Err(CtlError::NoOrganisation { name: name.clone() }),
        }
    };
    change::change_file(store, change).await
}
