//! The `check`, `config` and `dc` commands.

use std::collections::BTreeMap;
use std::path::Path;

use chicoryrail_core::DcName;
use chicoryrail_core::Member;
use chicoryrail_core::MemberState;
use chicoryrail_core::ServiceName;
use chicoryrail_core::Site;
use chicoryrail_core::SiteFile;
use chicoryrail_platform::ConfigEntry;
use chicoryrail_platform::KvStore;
use chicoryrail_platform::StoreError;
use chicoryrail_platform::Subject;
use chicoryrail_platform::Txn;
use chicoryrail_platform::read_config;
use chicoryrail_platform::write_config;
use snafu::ResultExt;

use crate::CtlError;
use crate::error::EntrySnafu;
use crate::error::FileSnafu;
use crate::error::ShowSnafu;
use crate::error::StoreSnafu;
use crate::error::UnusableSnafu;
use crate::error::ValueSnafu;
use crate::error::WriteSnafu;
use crate::status::Status;

/// Field of a configuration file whose values never appear in output.
const SECRET_FIELD: &str = "api_keys";

/// Maximum attempts at a change while other operators change the configuration concurrently.
const PUT_ATTEMPTS_MAX: usize = 5;

/// Checks a configuration file; returns how many services and routes it defines.
pub(crate) fn check(path: &Path) -> Result<String, CtlError> {
    let site = read_file(path)?.build(1).context(ValueSnafu { path })?;
    Ok(format!(
        "valid configuration: {} services, {} routes\n",
        site.services.len(),
        site.routes().len()
    ))
}

/// Stores a configuration file as the version after the stored one.
///
/// With `expect`, fails unless that version is stored.
pub(crate) async fn put(
    store: &KvStore,
    path: &Path,
    expect: Option<u64>,
) -> Result<String, CtlError> {
    let file = read_file(path)?;
    let build = |before: Option<ConfigEntry>| {
        let found = before.map_or(0, |e| e.site.version);
        match expect.filter(|e| *e != found) {
            Some(expected) => Err(CtlError::Version { expected, found }),
            None => file.build(found + 1).context(ValueSnafu { path }),
        }
    };
    let version = put_next(store, build).await?;
    Ok(format!("version {version} is stored\n"))
}

/// Stores the configuration that `build` derives from the stored one; returns its version.
///
/// If another operator changed the configuration in the meantime, `build` runs again on the changed one.
async fn put_next(
    store: &KvStore,
    build: impl Fn(Option<ConfigEntry>) -> Result<Site, CtlError>,
) -> Result<u64, CtlError> {
    let key = store_key(&Subject::Config);
    for _ in 0..PUT_ATTEMPTS_MAX {
        let (before, revision) = read_stored(store).await?;
        let site = build(before)?;
        let value = write_config(&site).context(WriteSnafu)?;
        let txn = Txn::default().expect(&key, revision).put(&key, &value);
        match store.commit(&txn).await {
            Ok(_) => return Ok(site.version),
            Err(StoreError::Conflict { .. }) => {}
            Err(source) => return Err(CtlError::Store { source }),
        }
    }
    // Every attempt lost against another operator. A mismatch with an expected version has returned above.
    let (before, _) = read_stored(store).await?;
    let found = before.map_or(0, |e| e.site.version);
    Err(CtlError::Version { expected: 0, found })
}

/// Returns the stored configuration in the form of a configuration file.
pub(crate) async fn stored_file(store: &KvStore) -> Result<SiteFile, CtlError> {
    let (entry, _) = read_stored(store).await?;
    let entry = entry.ok_or(CtlError::NoConfig)?;
    Ok(SiteFile::from_site(&entry.site))
}

/// Changes the stored configuration and stores the result as the next version; returns that version.
pub(crate) async fn change_file(
    store: &KvStore,
    change: impl Fn(&mut SiteFile) -> Result<(), CtlError>,
) -> Result<u64, CtlError> {
    let build = |before: Option<ConfigEntry>| {
        let before = before.ok_or(CtlError::NoConfig)?;
        // Some values can't be used as they are stored. Writing the configuration back would lose them.
        if let Some(source) = before.invalid.into_iter().next() {
            return Err(CtlError::Entry { source });
        }
        let mut file = SiteFile::from_site(&before.site);
        change(&mut file)?;
        file.build(before.site.version + 1).context(UnusableSnafu)
    };
    put_next(store, build).await
}

/// Returns the stored configuration as the text of a configuration file.
pub(crate) async fn show(store: &KvStore) -> Result<String, CtlError> {
    let (entry, _) = read_stored(store).await?;
    match entry {
        Some(ConfigEntry { site, .. }) => {
            let text = toml::to_string(&SiteFile::from_site(&site)).context(ShowSnafu)?;
            Ok(format!("# version {}\n{text}", site.version))
        }
        None => Ok("# no configuration is stored\n".to_owned()),
    }
}

/// Takes a data centre out of service.
///
/// Without `force`, fails if no server is registered in it or a service would keep less than half of its slots.
pub(crate) async fn out(store: &KvStore, dc: &DcName, force: bool) -> Result<String, CtlError> {
    let status = Status::read(store).await?;
    if !force {
        check_remaining(&status, dc)?;
    }
    let key = store_key(&Subject::DrainedDc(dc.clone()));
    if status.dcs_out.contains(dc) {
        return Ok(format!("{dc} is already out of service\n"));
    }
    let txn = Txn::default().expect(&key, 0).put(&key, b"{}");
    match store.commit(&txn).await {
        Ok(_) | Err(StoreError::Conflict { .. }) => Ok(format!("{dc} is out of service\n")),
        Err(source) => Err(CtlError::Store { source }),
    }
}

/// Brings a data centre back into service.
pub(crate) async fn back(store: &KvStore, dc: &DcName) -> Result<String, CtlError> {
    let key = store_key(&Subject::DrainedDc(dc.clone()));
    if store.item(&key).await.context(StoreSnafu)?.is_none() {
        return Ok(format!("{dc} is not out of service\n"));
    }
    let txn = Txn::default().remove(&key);
    store.commit(&txn).await.context(StoreSnafu)?;
    Ok(format!("{dc} is back in service\n"))
}

/// Returns an error if a service would keep less than half of its current slots without the data centre.
///
/// With half of the slots, the remaining servers get twice their load, which a service that runs at half of its
/// capacity can just handle.
fn check_remaining(status: &Status, dc: &DcName) -> Result<(), CtlError> {
    if !status.servers.iter().any(|s| s.dc == *dc) {
        return Err(CtlError::NoSuchDc { dc: dc.clone() });
    }
    let in_service = |s: &&Member| s.state == MemberState::Ready && !status.dcs_out.contains(&s.dc);
    let mut slots: BTreeMap<&ServiceName, (u32, u32)> = BTreeMap::new();
    for server in status.servers.iter().filter(in_service) {
        let (remaining, total) = slots.entry(&server.service).or_default();
        *total += server.slots;
        if server.dc != *dc {
            *remaining += server.slots;
        }
    }
    let short = slots
        .into_iter()
        .filter(|(_, (remaining, total))| remaining * 2 < *total);
    match short.min_by_key(|(_, (remaining, total))| remaining * 100 / total.max(&1)) {
        None => Ok(()),
        Some((service, (remaining, total))) => Err(CtlError::TooFewSlots {
            dc: dc.clone(),
            service: service.clone(),
            remaining,
            total,
        }),
    }
}

fn read_file(path: &Path) -> Result<SiteFile, CtlError> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let syntax_error = |field: String, e: &toml::de::Error| {
        let before = e.span().map_or("", |span| &text[..span.start]);
        CtlError::Syntax {
            path: path.to_owned(),
            line: before.matches('\n').count() + 1,
            // The parser's message repeats the value, which may be an API key.
            reason: match field.contains(SECRET_FIELD) {
                true => "must be a list of strings".to_owned(),
                false => e.message().to_owned(),
            },
            field,
        }
    };
    let reader = toml::Deserializer::parse(&text).map_err(|e| syntax_error(".".to_owned(), &e))?;
    serde_path_to_error::deserialize(reader)
        .map_err(|e| syntax_error(e.path().to_string(), e.inner()))
}

/// Returns the stored configuration and its revision, which is 0 if none is stored.
async fn read_stored(store: &KvStore) -> Result<(Option<ConfigEntry>, u64), CtlError> {
    let item = store.item(&store_key(&Subject::Config)).await;
    match item.context(StoreSnafu)? {
        None => Ok((None, 0)),
        Some(item) => {
            let entry = read_config(&item.value).context(EntrySnafu)?;
            Ok((Some(entry), item.revision))
        }
    }
}

fn store_key(subject: &Subject) -> String {
    subject.key().unwrap_or_default()
}
