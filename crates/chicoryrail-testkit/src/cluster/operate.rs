//! Acts of operators, through their command line.

use std::path::PathBuf;
use std::process::Command;

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;
use chicoryrail_core::Site;
use chicoryrail_core::SiteFile;
use snafu::ResultExt;

use crate::Cluster;
use crate::ClusterError;
use crate::cluster::error::FileSnafu;
use crate::cluster::error::SpawnSnafu;
use crate::cluster::http::wait_answer;
use crate::cluster::plan::pair;

/// Runs the operators' program; it needs no lock of the cluster.
#[derive(Clone, Debug)]
pub struct Operator {
    program: PathBuf,
    dir: PathBuf,
    store: String,
}

impl Operator {
    /// Puts a configuration; `name` tells operators who act at the same time apart.
    ///
    /// # Errors
    ///
    /// Returns what the program printed where it did not succeed.
    pub fn put(&self, name: &str, site: &Site) -> Result<(), ClusterError> {
        let text = toml::to_string(&SiteFile::of(site)).map_err(|e| ClusterError::Call {
            what: "write the configuration".to_owned(),
            message: e.to_string(),
        })?;
        let path = self.dir.join(format!("site-{name}.toml"));
        std::fs::write(&path, text).context(FileSnafu { path: &path })?;
        let path = path.display().to_string();
        self.run(&["config", "put", &path]).map(|_| ())
    }

    /// Takes a data centre out, whatever is left.
    ///
    /// # Errors
    ///
    /// Returns what the program printed where it did not succeed.
    pub fn take_out(&self, dc: &DcName) -> Result<(), ClusterError> {
        self.run(&["dc", "out", dc.as_str(), "--force"]).map(|_| ())
    }

    /// Brings a data centre back.
    ///
    /// # Errors
    ///
    /// Returns what the program printed where it did not succeed.
    pub fn bring_back(&self, dc: &DcName) -> Result<(), ClusterError> {
        self.run(&["dc", "in", dc.as_str()]).map(|_| ())
    }

    /// Runs a command and returns what it printed.
    ///
    /// # Errors
    ///
    /// Returns what the program printed where it did not succeed.
    pub fn run(&self, args: &[&str]) -> Result<String, ClusterError> {
        let output = Command::new(&self.program)
            .args(pair("--store", &self.store))
            .args(args)
            .output()
            .context(SpawnSnafu {
                program: &self.program,
            })?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        Err(ClusterError::Call {
            what: format!("chicoryctl {}", args.join(" ")),
            message: String::from_utf8_lossy(&output.stderr).trim().to_owned(),
        })
    }
}

impl Cluster {
    /// Returns an operator of the installation.
    #[must_use]
    pub fn operator(&self) -> Operator {
        Operator {
            program: self.bin.join("chicoryctl"),
            dir: self.dir.clone(),
            store: self.store.to_string(),
        }
    }

    /// Puts the first configuration and waits until every host takes callers.
    ///
    /// # Errors
    ///
    /// Returns what the program refused, or what took too long.
    pub fn configure(&self, limit: Millis) -> Result<(), ClusterError> {
        self.operator().put("first", &self.site())?;
        for host in &self.hosts {
            let what = format!("readiness of {}", host.name);
            wait_answer(host.readiness, "/-/readyz", limit, &what)?;
        }
        Ok(())
    }
}
