//! Acts of operators through their command line.

use std::path::PathBuf;
use std::process::Command;

use chicoryrail_core::Bundle;

use crate::Cluster;

/// Longest wait for a change to be accepted, in milliseconds.
const ACCEPT_MS: u64 = 8_000;

/// Tries to bring a data centre back before the run gives up on it.
const TRIES: usize = 20;

/// An operator who turns to another host's administration API where one does not answer.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    program: PathBuf,
    dir: PathBuf,
    admins: Vec<String>,
}

impl Operator {
    pub(crate) fn new(cluster: &Cluster) -> Self {
        Self {
            program: cluster.bin().join("chicoryctl"),
            dir: cluster.dir().to_owned(),
            admins: cluster
                .hosts()
                .iter()
                .map(|h| h.admin.to_string())
                .collect(),
        }
    }

    /// Runs a command through the administration API of a host.
    pub(crate) fn run(&self, host: usize, name: &str, args: &[&str]) -> Result<String, String> {
        let admin = &self.admins[host % self.admins.len()];
        let output = Command::new(&self.program)
            .args(["--admin", admin, "--operator", name])
            .args(args)
            .output()
            .map_err(|e| e.to_string())?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned());
        }
        Err(String::from_utf8_lossy(&output.stderr).trim().to_owned())
    }

    /// Takes a data centre out; `Ok` means that the operator was told it is accepted.
    pub(crate) fn take_out(&self, host: usize, centre: &str) -> Result<(), String> {
        let wait = ACCEPT_MS.to_string();
        let args = ["dc", "out", centre, "--force", "--wait", "--wait-ms", &wait];
        self.run(host, "ada", &args).map(|_| ())
    }

    /// Brings a data centre back, trying one host after the other.
    pub(crate) fn bring_back(&self, host: usize, centre: &str) -> Result<(), String> {
        let mut last = String::new();
        for i in 0..TRIES {
            match self.run(host + i, "ben", &["dc", "in", centre, "--force"]) {
                Ok(_) => return Ok(()),
                Err(e) => last = e,
            }
            std::thread::sleep(std::time::Duration::from_millis(300));
        }
        Err(last)
    }

    /// Uploads a bundle, signs it off and rolls it.
    pub(crate) fn roll(&self, host: usize, name: &str, bundle: &Bundle) -> Result<(), String> {
        let text = toml::to_string(bundle).map_err(|e| e.to_string())?;
        let (author, signer) = match name {
            "ada" => ("ada", "ben"),
            _ => ("ben", "ada"),
        };
        let file = self.dir.join(format!("bundle-{author}.toml"));
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        let file = file.display().to_string();
        let digest = self.run(host, author, &["bundle", "put", &file])?;
        let key = self.dir.join(format!("{signer}.key")).display().to_string();
        self.run(host, signer, &["bundle", "sign", &digest, "--key", &key])?;
        self.run(host, author, &["bundle", "roll", &digest])?;
        Ok(())
    }
}
