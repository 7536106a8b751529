//! Commands that change something, and the check before it.

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

/// Field of a file whose values are shown nowhere.
const SECRET_FIELD: &str = "api_keys";

/// Times that a change is tried when others change the same at the same time.
const PUT_ATTEMPTS_MAX: usize = 5;

/// Checks a configuration file.
pub(crate) fn check(path: &Path) -> Result<String, CtlError> {
    let site = read_file(path)?.build(1).context(ValueSnafu { path })?;
    Ok(format!(
        "good: {} services, {} routes\n",
        site.services.len(),
        site.routes().len()
    ))
}

/// Puts a configuration as the version after the one that is there.
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

/// Puts the configuration that `build` makes of the one that is there; returns its version. Where another operator was
/// faster, it is built anew from what is there then.
async fn put_next(
    store: &KvStore,
    build: impl Fn(Option<ConfigEntry>) -> Result<Site, CtlError>,
) -> Result<u64, CtlError> {
    let key = key_of(&Subject::Config);
    for _ in 0..PUT_ATTEMPTS_MAX {
        let (before, revision) = config(store).await?;
        let site = build(before)?;
        let value = write_config(&site).context(WriteSnafu)?;
        let txn = Txn::default().expect(&key, revision).put(&key, &value);
        match store.commit(&txn).await {
            Ok(_) => return Ok(site.version),
            Err(StoreError::Conflict { .. }) => {}
            Err(source) => return Err(CtlError::Store { source }),
        }
    }
    // A version that was expected is gone, and said so above.
    let (before, _) = config(store).await?;
    let found = before.map_or(0, |e| e.site.version);
    Err(CtlError::Version { expected: 0, found })
}

/// Reads the configuration that is there as a file.
pub(crate) async fn stored_file(store: &KvStore) -> Result<SiteFile, CtlError> {
    let (site, _) = config(store).await?;
    let entry = site.ok_or(CtlError::NoConfig)?;
    Ok(SiteFile::of(&entry.site))
}

/// Changes the configuration that is there, and puts it as the next version; returns that version.
pub(crate) async fn change_file(
    store: &KvStore,
    change: impl Fn(&mut SiteFile) -> Result<(), CtlError>,
) -> Result<u64, CtlError> {
    let build = |before: Option<ConfigEntry>| {
        let before = before.ok_or(CtlError::NoConfig)?;
        // Written anew, it would lack what can't be read of it.
        if let Some(source) = before.unknown.into_iter().next() {
            return Err(CtlError::Entry { source });
        }
        let mut file = SiteFile::of(&before.site);
        change(&mut file)?;
        file.build(before.site.version + 1).context(UnusableSnafu)
    };
    put_next(store, build).await
}

/// Prints the configuration as a file.
pub(crate) async fn show(store: &KvStore) -> Result<String, CtlError> {
    let (entry, _) = config(store).await?;
    match entry {
        Some(ConfigEntry { site, .. }) => {
            let text = toml::to_string(&SiteFile::of(&site)).context(ShowSnafu)?;
            Ok(format!("# version {}\n{text}", site.version))
        }
        None => Ok("# no configuration is stored\n".to_owned()),
    }
}

/// Takes a data centre out.
pub(crate) async fn out(store: &KvStore, dc: &DcName, force: bool) -> Result<String, CtlError> {
    let status = Status::read(store).await?;
    if !force {
        check_rest(&status, dc)?;
    }
    let key = key_of(&Subject::TakenOut(dc.clone()));
    if status.outs.contains(dc) {
        return Ok(format!("{dc} is out already\n"));
    }
    let txn = Txn::default().expect(&key, 0).put(&key, b"{}");
    match store.commit(&txn).await {
        Ok(_) | Err(StoreError::Conflict { .. }) => Ok(format!("{dc} is out\n")),
        Err(source) => Err(CtlError::Store { source }),
    }
}

/// Brings a data centre back.
pub(crate) async fn back(store: &KvStore, dc: &DcName) -> Result<String, CtlError> {
    let key = key_of(&Subject::TakenOut(dc.clone()));
    if store.item(&key).await.context(StoreSnafu)?.is_none() {
        return Ok(format!("{dc} is not out\n"));
    }
    let txn = Txn::default().remove(&key);
    store.commit(&txn).await.context(StoreSnafu)?;
    Ok(format!("{dc} is back\n"))
}

/// Refuses where a service would be left with less than half of the slots that it has now: what the others
/// then get is twice their load, which a service at half of its capacity just bears.
fn check_rest(status: &Status, dc: &DcName) -> Result<(), CtlError> {
    if !status.servers.iter().any(|s| s.dc == *dc) {
        return Err(CtlError::NoSuchDc { dc: dc.clone() });
    }
    let works = |s: &&Member| s.state == MemberState::Ready && !status.outs.contains(&s.dc);
    let mut slots: BTreeMap<&ServiceName, (u32, u32)> = BTreeMap::new();
    for server in status.servers.iter().filter(works) {
        let (left, all) = slots.entry(&server.service).or_default();
        *all += server.slots;
        if server.dc != *dc {
            *left += server.slots;
        }
    }
    let small = slots.into_iter().filter(|(_, (left, all))| left * 2 < *all);
    match small.min_by_key(|(_, (left, all))| left * 100 / all.max(&1)) {
        None => Ok(()),
        Some((service, (left, all))) => Err(CtlError::TooSmall {
            dc: dc.clone(),
            service: service.clone(),
            left,
            all,
        }),
    }
}

fn read_file(path: &Path) -> Result<SiteFile, CtlError> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let failed = |field: String, e: &toml::de::Error| {
        let before = e.span().map_or("", |span| &text[..span.start]);
        CtlError::Syntax {
            path: path.to_owned(),
            line: before.matches('\n').count() + 1,
            // The message repeats the value found.
            reason: match field.contains(SECRET_FIELD) {
                true => "must be a list of texts".to_owned(),
                false => e.message().to_owned(),
            },
            field,
        }
    };
    let reader = toml::Deserializer::parse(&text).map_err(|e| failed(".".to_owned(), &e))?;
    serde_path_to_error::deserialize(reader).map_err(|e| failed(e.path().to_string(), e.inner()))
}

/// Reads the configuration and its revision; a revision of 0 says that there is none.
async fn config(store: &KvStore) -> Result<(Option<ConfigEntry>, u64), CtlError> {
    let item = store.item(&key_of(&Subject::Config)).await;
    match item.context(StoreSnafu)? {
        None => Ok((None, 0)),
        Some(item) => {
            let entry = read_config(&item.value).context(EntrySnafu)?;
            Ok((Some(entry), item.revision))
        }
    }
}

fn key_of(subject: &Subject) -> String {
    subject.key().unwrap_or_default()
}
