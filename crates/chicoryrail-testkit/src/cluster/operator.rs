//! Runs operator commands with `chicoryctl`.

use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;
use chicoryrail_core::Site;
use chicoryrail_core::SiteFile;
use snafu::ResultExt;

use crate::Cluster;
use crate::ClusterError;
use crate::cluster::error::FileSnafu;
use crate::cluster::error::SpawnSnafu;
use crate::cluster::http::wait_until_ok;
use crate::cluster::plan::flag_and_value;
use crate::cluster::ports::spawn_process;

/// Runs `chicoryctl` against the store of a cluster.
///
/// It holds no reference to the [`Cluster`], so commands run without the lock of a shared one.
#[derive(Clone, Debug)]
pub struct Operator {
    program: PathBuf,
    dir: PathBuf,
    store: String,
}

impl Operator {
    /// Writes a configuration to the store; operators that run concurrently must use different names, since `name`
    /// is part of the file name.
    ///
    /// # Errors
    ///
    /// Returns what `chicoryctl` printed to standard error if it fails.
    pub fn put_config(&self, name: &str, site: &Site) -> Result<(), ClusterError> {
        let text = toml::to_string(&SiteFile::from_site(site)).map_err(|e| ClusterError::Call {
            operation: "write the configuration".to_owned(),
            message: e.to_string(),
        })?;
        let path = self.dir.join(format!("site-{name}.toml"));
        std::fs::write(&path, text).context(FileSnafu { path: &path })?;
        let path = path.display().to_string();
        self.run(&["config", "put", &path]).map(|_| ())
    }

    /// Takes a data centre out of service, with `--force`: also if no server is registered in it, or if a service keeps
    /// less than half of its slots.
    ///
    /// # Errors
    ///
    /// Returns what `chicoryctl` printed to standard error if it fails.
    pub fn drain(&self, dc: &DcName) -> Result<(), ClusterError> {
        self.run(&["dc", "out", dc.as_str(), "--force"]).map(|_| ())
    }

    /// Puts a data centre back into service.
    ///
    /// # Errors
    ///
    /// Returns what `chicoryctl` printed to standard error if it fails.
    pub fn restore(&self, dc: &DcName) -> Result<(), ClusterError> {
        self.run(&["dc", "in", dc.as_str()]).map(|_| ())
    }

    /// Runs a command and returns its standard output.
    ///
    /// # Errors
    ///
    /// Returns what `chicoryctl` printed to standard error if it fails.
    pub fn run(&self, args: &[&str]) -> Result<String, ClusterError> {
        let mut command = Command::new(&self.program);
        command
            .args(flag_and_value("--store", &self.store))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let output = spawn_process(&mut command)
            .and_then(Child::wait_with_output)
            .context(SpawnSnafu {
                program: &self.program,
            })?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        Err(ClusterError::Call {
            operation: format!("chicoryctl {}", args.join(" ")),
            message: String::from_utf8_lossy(&output.stderr).trim().to_owned(),
        })
    }
}

impl Cluster {
    /// Returns an operator that uses the store of this cluster.
    #[must_use]
    pub fn operator(&self) -> Operator {
        Operator {
            program: self.program_dir.join("chicoryctl"),
            dir: self.dir.clone(),
            store: self.store.to_string(),
        }
    }

    /// Writes the first configuration and waits until every host is ready for callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is rejected or a host is not ready within `timeout`.
    pub fn configure(&self, timeout: Millis) -> Result<(), ClusterError> {
        self.operator().put_config("first", &self.site())?;
        for host in &self.hosts {
            let operation = format!("readiness of {}", host.name);
            wait_until_ok(host.readiness_addr, "/-/readyz", timeout, &operation)?;
        }
        Ok(())
    }
}
