//! Files with an operator's private key.

use std::fs;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::Path;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chicoryrail_core::Digest;
use ed25519_dalek::Signer as _;
use ed25519_dalek::SigningKey;
use snafu::ResultExt;

use crate::CtlError;
use crate::error::FileSnafu;

/// An operator's ed25519 key; its file holds the 32 private bytes in base64.
#[derive(Debug)]
pub struct KeyFile {
    key: SigningKey,
}

impl KeyFile {
    /// Draws a key and writes it to a new file that only its owner may read.
    ///
    /// # Errors
    ///
    /// Refuses a file that exists: the key in it may be in use.
    pub fn create(path: &Path) -> Result<Self, CtlError> {
        let key = SigningKey::from_bytes(&rand::random());
        let mut file = fs::OpenOptions::new()
            .write(true)
            .create_new(true)
            .mode(0o600)
            .open(path)
            .context(FileSnafu { path })?;
        writeln!(file, "{}", STANDARD.encode(key.to_bytes())).context(FileSnafu { path })?;
        Ok(Self { key })
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Refuses a file that can't be read or holds no key.
    pub fn read(path: &Path) -> Result<Self, CtlError> {
        let text = fs::read_to_string(path).context(FileSnafu { path })?;
        let bytes = STANDARD.decode(text.trim()).ok();
        let bytes: Option<[u8; 32]> = bytes.and_then(|b| b.try_into().ok());
        let bytes = bytes.ok_or_else(|| CtlError::Key { path: path.into() })?;
        Ok(Self {
            key: SigningKey::from_bytes(&bytes),
        })
    }

    /// Returns the public key in base64, as `--operator` of the administration API takes it.
    #[must_use]
    pub fn public(&self) -> String {
        STANDARD.encode(self.key.verifying_key().as_bytes())
    }

    /// Signs a bundle's digest and returns the signature in base64.
    #[must_use]
    pub fn sign(&self, digest: &Digest) -> String {
        let signature = self.key.sign(digest.as_str().as_bytes());
        STANDARD.encode(signature.to_bytes())
    }
}
