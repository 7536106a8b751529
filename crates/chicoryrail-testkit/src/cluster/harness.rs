//! A cluster of processes: its state and its start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use chicoryrail_core::Millis;
use chicoryrail_core::Site;
use snafu::ResultExt;

use crate::ClusterError;
use crate::ClusterOptions;
use crate::HostPlan;
use crate::Links;
use crate::LoadHost;
use crate::Member;
use crate::ServerEnd;
use crate::TargetPlan;
use crate::cluster::error::FileSnafu;
use crate::cluster::error::PortSnafu;
use crate::cluster::http::wait_until_ok;
use crate::cluster::plan;
use crate::cluster::plan::flag_and_value;
use crate::cluster::process::Process;

/// Timeout for the first response of a started process; on a busy machine this can take seconds.
const START_TIMEOUT: Millis = Millis(20_000);

/// Time after which a process that only computes ends by itself, in seconds; longer than any run.
const BUSY_SECONDS: u64 = 900;

/// All processes of a deployment; dropping it kills and reaps all of them.
#[derive(Debug)]
pub struct Cluster {
    pub(super) options: ClusterOptions,
    pub(super) program_dir: PathBuf,
    pub(super) dir: PathBuf,
    pub(super) store: SocketAddr,
    pub(super) targets: Vec<TargetPlan>,
    pub(super) hosts: Vec<HostPlan>,
    pub(super) links: Option<Links>,
    pub(super) processes: BTreeMap<Member, Process>,
    /// Ends of targets' processes.
    pub(super) ended: Vec<ServerEnd>,
}

impl Cluster {
    /// Starts every process and waits until each responds. No configuration is active yet.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or does not respond.
    pub fn start(options: ClusterOptions) -> Result<Self, ClusterError> {
        let program_dir = match &options.program_dir {
            Some(program_dir) => program_dir.clone(),
            None => default_program_dir()?,
        };
        let dir = match &options.run_dir {
            Some(dir) => dir.clone(),
            None => new_run_dir(&program_dir, options.deployment.name()),
        };
        std::fs::create_dir_all(&dir).context(FileSnafu { path: &dir })?;
        let store = plan::listen_addr()?;
        let mut targets = plan::targets(&options, &dir)?;
        let hosts = plan::hosts(&options)?;
        let links = if options.proxied {
            let links = Links::start(options.seed, store, &mut targets, &hosts);
            Some(links.context(PortSnafu)?)
        } else {
            None
        };
        let mut cluster = Self {
            store,
            targets,
            hosts,
            links,
            processes: BTreeMap::new(),
            ended: Vec::new(),
            options,
            program_dir,
            dir,
        };
        cluster.start_stand_ins()?;
        cluster.start_hosts()?;
        cluster.start_busy()?;
        Ok(cluster)
    }

    /// Returns the settings of the cluster.
    #[must_use]
    pub const fn options(&self) -> &ClusterOptions {
        &self.options
    }

    /// Returns the directory of the programs.
    #[must_use]
    pub fn program_dir(&self) -> &Path {
        &self.program_dir
    }

    /// Returns the directory of logs, ledgers and boot files.
    #[must_use]
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Returns the address on which the store listens.
    #[must_use]
    pub const fn store(&self) -> SocketAddr {
        self.store
    }

    /// Returns the proxied links; `None` if hosts connect to the store and the targets directly.
    #[must_use]
    pub const fn links(&self) -> Option<&Links> {
        self.links.as_ref()
    }

    /// Returns the targets.
    #[must_use]
    pub fn targets(&self) -> &[TargetPlan] {
        &self.targets
    }

    /// Returns the entry hosts.
    #[must_use]
    pub fn hosts(&self) -> &[HostPlan] {
        &self.hosts
    }

    /// Returns the addresses that callers and the load balancer use, one entry per host.
    #[must_use]
    pub fn load_hosts(&self) -> Vec<LoadHost> {
        let load_host = |h: &HostPlan| LoadHost {
            addr: h.caller_addr,
            readiness: Some(h.readiness_addr),
        };
        self.hosts.iter().map(load_host).collect()
    }

    /// Returns the first configuration of the deployment.
    #[must_use]
    pub fn site(&self) -> Site {
        let options = &self.options;
        let (uploads, long_waits) = (options.uploads, options.long_waits);
        options.deployment.site(options.warmup, uploads, long_waits)
    }

    fn start_stand_ins(&mut self) -> Result<(), ClusterError> {
        let mut store_args = Vec::from(flag_and_value("--listen", &self.store));
        store_args.extend(flag_and_value("--seed", &self.options.seed));
        if let Some(n) = self.options.writes_per_s {
            store_args.extend(flag_and_value("--writes-per-second", &n));
        }
        if let Some(n) = self.options.reads_per_s {
            store_args.extend(flag_and_value("--reads-per-second", &n));
        }
        self.spawn(Member::Store, "testkit-store", store_args)?;
        for i in 0..self.targets.len() {
            let args = self.targets[i].args(&self.options, self.store, i as u64);
            self.spawn(Member::Target(i), "testkit-target", args)?;
        }
        wait_until_ok(
            self.store,
            "/testkit/stats",
            START_TIMEOUT,
            "start of the store",
        )?;
        for target in &self.targets {
            let operation = format!("start of {}", target.name);
            wait_until_ok(target.addr, "/testkit/ledger", START_TIMEOUT, &operation)?;
        }
        Ok(())
    }

    fn start_hosts(&mut self) -> Result<(), ClusterError> {
        for i in 0..self.hosts.len() {
            let host = &self.hosts[i];
            let path = self.dir.join(format!("{}.toml", host.name));
            let text = host.boot_file(self.store_addr(i));
            std::fs::write(&path, text).context(FileSnafu { path: &path })?;
            let mut args = Vec::from(flag_and_value("--metrics-port", &host.metrics_addr.port()));
            args.extend(self.options.router_flags.iter().cloned());
            self.spawn_with_boot_file(Member::Router(i), "chicoryrail-router", args, Some(&path))?;
        }
        for host in &self.hosts {
            let operation = format!("start of the router of {}", host.name);
            if let Err(error) =
                wait_until_ok(host.metrics_addr, "/metrics", START_TIMEOUT, &operation)
            {
                self.ensure_running()?;
                return Err(error);
            }
        }
        Ok(())
    }

    fn start_busy(&mut self) -> Result<(), ClusterError> {
        for i in 0..self.options.busy {
            let args = Vec::from(flag_and_value("--seconds", &BUSY_SECONDS));
            self.spawn(Member::Busy(i), "testkit-busy", args)?;
        }
        Ok(())
    }

    /// Returns the address at which a host reaches the store: that of its link if links are proxied.
    fn store_addr(&self, host: usize) -> SocketAddr {
        match &self.links {
            Some(links) => links.store_link(host).addr(),
            None => self.store,
        }
    }

    fn spawn(
        &mut self,
        member: Member,
        program: &str,
        args: Vec<String>,
    ) -> Result<(), ClusterError> {
        self.spawn_with_boot_file(member, program, args, None)
    }

    /// Starts a program, with the path of its boot file if it needs one.
    fn spawn_with_boot_file(
        &mut self,
        member: Member,
        program: &str,
        args: Vec<String>,
        boot_file: Option<&Path>,
    ) -> Result<(), ClusterError> {
        let program = self.program_dir.join(program);
        let process = Process::new(&member.to_string(), program, args, &self.dir);
        let mut process = process
            .with_log_level(&self.options.log_level)
            .with_boot_file(boot_file);
        process.start()?;
        self.processes.insert(member, process);
        Ok(())
    }
}

/// Returns the directory of the programs built together with the running one. Tests and examples lie one
/// directory below it.
fn default_program_dir() -> Result<PathBuf, ClusterError> {
    let executable = std::env::current_exe().context(FileSnafu {
        path: "the running program",
    })?;
    let dir = executable.parent().unwrap_or(Path::new("."));
    let dir = match dir.file_name() {
        Some(name) if name == "deps" || name == "examples" => dir.parent().unwrap_or(dir),
        _ => dir,
    };
    Ok(dir.to_owned())
}

fn new_run_dir(program_dir: &Path, deployment: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let runs = program_dir
        .parent()
        .unwrap_or(program_dir)
        .join("testkit-runs");
    runs.join(format!("{deployment}-{}-{count}", std::process::id()))
}
