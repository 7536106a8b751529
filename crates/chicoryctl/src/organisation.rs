//! The `organisation` commands.

use std::fmt::Write as _;
use std::hash::Hasher;

use chicoryrail_core::ApiKey;
use chicoryrail_core::OrganisationName;
use chicoryrail_core::OrganisationSection;
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
use crate::status::json_line;

/// Number of random bytes for a new API key; each byte gives one character.
const KEY_BYTES: usize = 24;

/// Characters of new API keys; each carries five bits.
const KEY_ALPHABET: &[u8; 32] = b"abcdefghijkmnpqrstuvwxyz23456789";

/// Runs an `organisation` command.
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
            let organisation = OrganisationSection {
                name: name.clone(),
                api_keys: Vec::new(),
                rate: *rate,
                burst: *burst,
                rank: *rank,
            };
            add(store, &organisation).await
        }
        OrganisationCommand::Limit { rate, burst, name } => {
            let set = |organisation: &mut OrganisationSection| {
                organisation.rate = *rate;
                organisation.burst = *burst;
                Ok(())
            };
            let version = change_organisation(store, name, set).await?;
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

/// Returns a hash that identifies an API key and can't be used in its place.
pub(crate) fn fingerprint(key: &ApiKey) -> String {
    let mut hasher = SipHasher24::new();
    hasher.write(key.expose());
    format!("{:016x}", hasher.finish())
}

async fn list(store: &KvStore, json: bool) -> Result<String, CtlError> {
    let organisations = change::stored_file(store).await?.organisations;
    let organisations = organisations.unwrap_or_default();
    let fingerprints =
        |o: &OrganisationSection| o.api_keys.iter().map(fingerprint).collect::<Vec<_>>();
    if json {
        let rows = organisations.iter().map(|o| {
            json!({"name": o.name, "rate": o.rate, "burst": o.burst, "rank": o.rank,
                   "keys": fingerprints(o)})
        });
        return json_line(&rows.collect());
    }
    let mut text = "organisation              rate   burst  rank  keys\n".to_owned();
    for o in &organisations {
        let rank = o.rank.map_or_else(|| "-".to_owned(), |r| r.to_string());
        let _ = writeln!(
            text,
            "{:<22} {:>7} {:>7} {rank:>5}  {}",
            o.name.as_str(),
            o.rate,
            o.burst,
            fingerprints(o).join(" ")
        );
    }
    Ok(text)
}

async fn add(store: &KvStore, organisation: &OrganisationSection) -> Result<String, CtlError> {
    let name = &organisation.name;
    let add = |file: &mut SiteFile| {
        let organisations = file.organisations.get_or_insert_default();
        if organisations.iter().any(|o| o.name == *name) {
            return Err(CtlError::OrganisationExists { name: name.clone() });
        }
        organisations.push(organisation.clone());
        Ok(())
    };
    let version = change::change_file(store, add).await?;
    Ok(format!("added organisation {name}, version {version}\n"))
}

async fn new_key(store: &KvStore, name: &OrganisationName) -> Result<String, CtlError> {
    let mut bytes = [0; KEY_BYTES];
    OsRng.try_fill_bytes(&mut bytes).context(NoRandomSnafu)?;
    let text: String = bytes
        .iter()
        .map(|b| char::from(KEY_ALPHABET[usize::from(b % 32)]))
        .collect();
    let key = ApiKey::new(&text);
    let push = |organisation: &mut OrganisationSection| {
        organisation.api_keys.push(key.clone());
        Ok(())
    };
    let version = change_organisation(store, name, push).await?;
    let key_hash = fingerprint(&key);
    Ok(format!(
        "{text}\nfingerprint {key_hash}, version {version}; the key is not shown again\n"
    ))
}

/// Removes the one API key whose fingerprint starts with `prefix`.
async fn drop_key(
    store: &KvStore,
    name: &OrganisationName,
    prefix: &str,
) -> Result<String, CtlError> {
    let remove = |organisation: &mut OrganisationSection| {
        let matches = |k: &ApiKey| fingerprint(k).starts_with(prefix);
        let found = organisation.api_keys.iter().filter(|k| matches(k)).count();
        if found != 1 {
            return Err(CtlError::NoSuchKey {
                name: name.clone(),
                fingerprint: prefix.to_owned(),
                found,
            });
        }
        organisation.api_keys.retain(|k| !matches(k));
        Ok(())
    };
    let version = change_organisation(store, name, remove).await?;
    Ok(format!(
        "removed an API key of organisation {name}, version {version}\n"
    ))
}

/// Changes one organisation; returns the version of the new configuration.
async fn change_organisation(
    store: &KvStore,
    name: &OrganisationName,
    change: impl Fn(&mut OrganisationSection) -> Result<(), CtlError>,
) -> Result<u64, CtlError> {
    let change = |file: &mut SiteFile| {
        let organisations = file.organisations.iter_mut().flatten();
        let mut named = organisations.filter(|o| o.name == *name);
        match named.next() {
            Some(organisation) => change(organisation),
            None => Err(CtlError::NoOrganisation { name: name.clone() }),
        }
    };
    change::change_file(store, change).await
}
