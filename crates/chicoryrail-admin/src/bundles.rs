//! Bundles: put, list, compare, sign off, roll.

use std::collections::BTreeMap;

use chicoryrail_core::Bundle;
use chicoryrail_core::Config;
use chicoryrail_core::Digest;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::Store;
use serde_json::Value;

use crate::Admin;
use crate::ApiError;
use crate::BundleList;
use crate::BundleView;
use crate::Caller;
use crate::Change;
use crate::DiffView;
use crate::FieldChange;
use crate::RollBody;
use crate::SignBody;
use crate::StoredBundle;
use crate::StoredSign;
use crate::records::BundleInfo;
use crate::records::bundle_key;
use crate::records::info_key;
use crate::records::sign_key;
use crate::records::to_text;
use crate::roll::HeadChange;
use crate::roll::conflict;

impl<S: Store> Admin<S> {
    /// Validates and stores a bundle; putting the same text again changes nothing.
    pub(crate) async fn put_bundle(
        &self,
        caller: &Caller,
        text: &str,
    ) -> Result<BundleView, ApiError> {
        let author = caller.operate()?;
        let bundle = Bundle::parse(text)?;
        caller.touch(&bundle.team)?;
        let config = self.records.config().await?;
        check_others(&config, &bundle)?;
        let digest = Digest::of(text.as_bytes());
        let stored = StoredBundle {
            text: text.to_owned(),
            team: bundle.team.clone(),
            author: author.clone(),
        };
        if !self.records.create(&bundle_key(&digest), &stored).await? {
            let first = self.records.bundle(&digest).await?;
            return self.finish_put(&config, digest, &bundle, first).await;
        }
        self.finish_put(&config, digest, &bundle, stored).await
    }

    async fn finish_put(
        &self,
        config: &Config,
        digest: Digest,
        bundle: &Bundle,
        stored: StoredBundle,
    ) -> Result<BundleView, ApiError> {
        let info = BundleInfo {
            team: stored.team,
            author: stored.author,
            services: bundle.services.len(),
            servers: bundle.services.iter().map(|s| s.servers.len()).sum(),
        };
        self.records.create(&info_key(&digest), &info).await?;
        let sign = self.records.sign(&digest).await?;
        Ok(view(config, digest, info, sign.as_ref()))
    }

    /// Lists all bundles.
    pub(crate) async fn list_bundles(&self) -> Result<BundleList, ApiError> {
        let (_, head) = self.records.head().await?;
        let config = Config {
            head,
            ..Config::default()
        };
        let signs: BTreeMap<_, _> = self.records.signs().await?.into_iter().collect();
        let infos = self.records.infos().await?;
        let mut bundles: Vec<_> = infos
            .into_iter()
            .map(|(digest, info)| {
                let sign = signs.get(&digest);
                view(&config, digest, info, sign)
            })
            .collect();
        bundles.sort_by(|a, b| (&a.team, &a.digest).cmp(&(&b.team, &b.digest)));
        Ok(BundleList { bundles })
    }

    /// Reads one bundle with its text.
    pub(crate) async fn get_bundle(&self, digest: &str) -> Result<StoredBundle, ApiError> {
        self.records.bundle(&parse_digest(digest)?).await
    }

    /// Compares two bundles field by field.
    pub(crate) async fn diff_bundles(&self, a: &str, b: &str) -> Result<DiffView, ApiError> {
        let (a, b) = (parse_digest(a)?, parse_digest(b)?);
        let before = Bundle::parse(&self.records.bundle(&a).await?.text)?;
        let after = Bundle::parse(&self.records.bundle(&b).await?.text)?;
        Ok(DiffView {
            changes: diff(&before, &after)?,
            before: a,
            after: b,
        })
    }

    /// Stores the caller's sign-off of a bundle.
    pub(crate) async fn sign_bundle(
        &self,
        caller: &Caller,
        digest: &str,
        body: SignBody,
    ) -> Result<StoredSign, ApiError> {
        let signer = caller.operate()?;
        let digest = parse_digest(digest)?;
        let stored = self.records.bundle(&digest).await?;
        caller.touch(&stored.team)?;
        let sign = StoredSign {
            signer: signer.clone(),
            signature: body.signature,
        };
        self.check_sign(&digest, &stored, &sign)?;
        match self.records.sign(&digest).await? {
            None => {
                self.records.create(&sign_key(&digest), &sign).await?;
            }
            Some(first) if self.check_sign(&digest, &stored, &first).is_ok() => return Ok(first),
            Some(_) => self.replace_sign(&digest, &sign).await?,
        }
        Ok(sign)
    }

    /// Replaces a sign-off that does not count any more, for example since its signer's key was
    /// taken from the settings; the bundle could not be rolled ever again otherwise.
    async fn replace_sign(&self, digest: &Digest, sign: &StoredSign) -> Result<(), ApiError> {
        let key = sign_key(digest);
        let version = self.records.get(&key).await?.map_or(0, |r| r.version);
        let text = to_text(&key, sign)?;
        self.records.swap(&key, version, &text).await?;
        Ok(())
    }

    /// Brings a signed-off bundle into force for its team.
    pub(crate) async fn roll(&self, caller: &Caller, body: &RollBody) -> Result<Change, ApiError> {
        let author = caller.operate()?;
        let digest = parse_digest(&body.digest)?;
        let stored = self.records.bundle(&digest).await?;
        caller.touch(&stored.team)?;
        self.check_signed(&digest, &stored).await?;
        let bundle = Bundle::parse(&stored.text)?;
        let (record, head) = self.records.head().await?;
        if body.expect.is_some_and(|expect| expect != head.version) {
            return Err(conflict(&head));
        }
        if head.bundles.get(&bundle.team) == Some(&digest) {
            return Ok(self.change(head.version, true, Vec::new()).await);
        }
        let config = self.records.expand(head).await?;
        check_others(&config, &bundle)?;
        let mut change = HeadChange::new(record, &config.head, author);
        let bundles = &mut change.head_mut().bundles;
        bundles.insert(bundle.team.clone(), digest);
        let version = change.write(&self.records, &self.process.clock).await?;
        Ok(self.change(version, false, Vec::new()).await)
    }

    /// Checks the sign-off again at the roll: the settings' keys may have changed since, and what
    /// the store holds is not trusted for what it says.
    async fn check_signed(&self, digest: &Digest, stored: &StoredBundle) -> Result<(), ApiError> {
        let Some(sign) = self.records.sign(digest).await? else {
            let text = format!("digest = {digest}: is not signed off by a second operator");
            return Err(ApiError::new(ResultCode::BundleUnsigned, text));
        };
        if Digest::of(stored.text.as_bytes()) != *digest {
            let text = format!("digest = {digest}: the stored text has another digest");
            return Err(ApiError::new(ResultCode::SignatureBad, text));
        }
        self.check_sign(digest, stored, &sign)
    }

    fn check_sign(
        &self,
        digest: &Digest,
        stored: &StoredBundle,
        sign: &StoredSign,
    ) -> Result<(), ApiError> {
        if sign.signer == stored.author {
            let text = format!(
                "operator {} put bundle {digest}; another operator must sign it off",
                sign.signer
            );
            return Err(ApiError::new(ResultCode::SignerIsAuthor, text));
        }
        self.access
            .verify(&sign.signer, &stored.team, digest, &sign.signature)
    }
}

/// Checks a bundle against those in force for the other teams.
fn check_others(config: &Config, bundle: &Bundle) -> Result<(), ApiError> {
    for other in config.bundles.values().filter(|o| o.team != bundle.team) {
        if let Some(clash) = bundle.clash(other) {
            return Err(ApiError::new(ResultCode::NotAllowed, clash.to_string()));
        }
    }
    Ok(())
}

fn parse_digest(text: &str) -> Result<Digest, ApiError> {
    Digest::parse(text).ok_or_else(|| {
        ApiError::field(
            "digest",
            text,
            "is not 64 lower-case hexadecimal characters",
        )
    })
}

fn view(
    config: &Config,
    digest: Digest,
    info: BundleInfo,
    sign: Option<&StoredSign>,
) -> BundleView {
    BundleView {
        in_force: config.head.bundles.get(&info.team) == Some(&digest),
        digest,
        team: info.team,
        author: info.author,
        signer: sign.map(|s| s.signer.clone()),
        services: info.services,
        servers: info.servers,
    }
}

fn diff(before: &Bundle, after: &Bundle) -> Result<Vec<FieldChange>, ApiError> {
    let before = flat(before)?;
    let mut after = flat(after)?;
    let mut changes = Vec::new();
    for (field, old) in before {
        let new = after.remove(&field);
        if new.as_ref() != Some(&old) {
            changes.push(FieldChange {
                field,
                before: Some(old),
                after: new,
            });
        }
    }
    changes.extend(after.into_iter().map(|(field, new)| FieldChange {
        field,
        before: None,
        after: Some(new),
    }));
    changes.sort_by(|a, b| a.field.cmp(&b.field));
    Ok(changes)
}

fn flat(bundle: &Bundle) -> Result<BTreeMap<String, String>, ApiError> {
    let value = serde_json::to_value(bundle)
        .map_err(|e| ApiError::new(ResultCode::Internal, e.to_string()))?;
    let mut fields = BTreeMap::new();
    flatten("", &value, &mut fields);
    Ok(fields)
}

/// Writes each leaf of `value` under its path. An element of a list goes by its name, so that an
/// insertion doesn't show as a change of everything after it.
fn flatten(path: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(object) => {
            for (name, inner) in object {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                flatten(&path, inner, fields);
            }
        }
        Value::Array(list) => {
            for (i, inner) in list.iter().enumerate() {
                let name = ["name", "key", "first"]
                    .iter()
                    .find_map(|f| inner.get(f)?.as_str());
                let name = name.map_or_else(|| i.to_string(), ToOwned::to_owned);
                flatten(&format!("{path}[{name}]"), inner, fields);
            }
        }
        Value::String(text) => {
            fields.insert(path.to_owned(), text.clone());
        }
        leaf => {
            fields.insert(path.to_owned(), leaf.to_string());
        }
    }
}
