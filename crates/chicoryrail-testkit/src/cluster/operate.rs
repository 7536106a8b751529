//! Acts of operators, through their command line.

use std::process::Command;
use std::process::Output;

use chicoryrail_core::Bundle;
use chicoryrail_core::Millis;
use snafu::ResultExt;

use crate::Cluster;
use crate::ClusterError;
use crate::cluster::error::FileSnafu;
use crate::cluster::error::SpawnSnafu;
use crate::cluster::http::wait_answer;
use crate::cluster::plan::pair;

/// Operators of the administration API: the author and the signer of bundles.
const OPERATORS: [&str; 2] = ["ada", "ben"];

impl Cluster {
    /// Uploads, signs off and rolls the bundle of the deployment, waits until it is accepted
    /// everywhere, and until every gate is ready.
    ///
    /// # Errors
    ///
    /// Returns what the administration API refused, or what took too long.
    pub fn roll(&self, limit: Millis) -> Result<(), ClusterError> {
        self.roll_bundle(&self.bundle(), limit)?;
        self.wait_gates(limit)
    }

    /// Uploads, signs off and rolls a bundle and waits until it is accepted everywhere.
    ///
    /// # Errors
    ///
    /// Returns what the administration API refused, or what took too long.
    pub fn roll_bundle(&self, bundle: &Bundle, limit: Millis) -> Result<(), ClusterError> {
        let text = toml::to_string(bundle).map_err(|e| ClusterError::Call {
            what: "write the bundle".to_owned(),
            message: e.to_string(),
        })?;
        let path = self.dir.join("bundle.toml");
        std::fs::write(&path, text).context(FileSnafu { path: &path })?;
        let path = path.display().to_string();
        let [author, signer] = OPERATORS;
        let put = self.ctl_ok(0, author, &["bundle", "put", &path])?;
        let digest = put.trim();
        let key = self.dir.join(format!("{signer}.key")).display().to_string();
        self.ctl_ok(0, signer, &["bundle", "sign", digest, "--key", &key])?;
        let wait = limit.0.to_string();
        let roll = ["bundle", "roll", digest, "--wait", "--wait-ms", &wait];
        self.ctl_ok(0, author, &roll)?;
        Ok(())
    }

    /// Runs the operator's command line against the administration API of a host.
    ///
    /// # Errors
    ///
    /// Returns why the program could not be started.
    pub fn ctl(&self, host: usize, operator: &str, args: &[&str]) -> Result<Output, ClusterError> {
        let program = self.bin.join("chicoryctl");
        let admin = self.hosts[host].admin;
        Command::new(&program)
            .args(pair("--admin", &admin))
            .args(pair("--operator", &operator))
            .args(args)
            .output()
            .context(SpawnSnafu { program })
    }

    /// Runs the operator's command line and returns its output.
    ///
    /// # Errors
    ///
    /// Returns what the program printed where it did not succeed.
    pub fn ctl_ok(
        &self,
        host: usize,
        operator: &str,
        args: &[&str],
    ) -> Result<String, ClusterError> {
        let output = self.ctl(host, operator, args)?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        Err(ClusterError::Call {
            what: format!("chicoryctl {}", args.join(" ")),
            message: String::from_utf8_lossy(&output.stderr).trim().to_owned(),
        })
    }

    /// Waits until every gate says that it is ready.
    ///
    /// # Errors
    ///
    /// Returns which one did not in time.
    pub fn wait_gates(&self, limit: Millis) -> Result<(), ClusterError> {
        for host in &self.hosts {
            let what = format!("readiness of the gate of {}", host.name);
            wait_answer(host.gate_observe, "/readyz", limit, &what)?;
        }
        Ok(())
    }

    /// Draws the operators' keys and returns the operators as the administration API takes them.
    pub(super) fn operators(&self) -> Result<Vec<String>, ClusterError> {
        let operator = |name: &&str| {
            let file = self.dir.join(format!("{name}.key"));
            let _ = std::fs::remove_file(&file);
            let public = self.ctl_ok(0, name, &["key", "new", &file.display().to_string()])?;
            Ok(format!("{name}=operate:*:{}", public.trim()))
        };
        OPERATORS.iter().map(operator).collect()
    }
}
