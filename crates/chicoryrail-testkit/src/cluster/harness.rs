//! The cluster itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Output;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chicoryrail_core::Bundle;
use chicoryrail_core::Millis;
use chicoryrail_platform::HostEntry;
use http::Method;
use nix::sys::signal::Signal;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::CallRecord;
use crate::Change;
use crate::ClusterError;
use crate::ClusterOptions;
use crate::Evidence;
use crate::HostPlan;
use crate::Ledger;
use crate::LinkFault;
use crate::Links;
use crate::LoadGate;
use crate::Member;
use crate::TargetPlan;
use crate::call_blocking;
use crate::cluster::error::FileSnafu;
use crate::cluster::error::PortSnafu;
use crate::cluster::error::SpawnSnafu;
use crate::cluster::http::is_ok;
use crate::cluster::plan;
use crate::cluster::plan::pair;
use crate::cluster::process::Process;

/// Limit of a call to a stand-in.
const CALL_LIMIT: Millis = Millis(5_000);

/// Time in which a started process must answer; a busy machine may take seconds.
const START_LIMIT: Millis = Millis(20_000);

/// Operators of the administration API: the author and the signer of bundles.
const OPERATORS: [&str; 2] = ["ada", "ben"];

/// All processes of a deployment; dropping it kills and reaps every one.
#[derive(Debug)]
pub struct Cluster {
    options: ClusterOptions,
    bin: PathBuf,
    dir: PathBuf,
    store: SocketAddr,
    lists: Vec<SocketAddr>,
    targets: Vec<TargetPlan>,
    hosts: Vec<HostPlan>,
    links: Option<Links>,
    processes: BTreeMap<Member, Process>,
}

impl Cluster {
    /// Starts every process and waits until all of them answer. No bundle is in force yet.
    ///
    /// # Errors
    ///
    /// Returns why a process could not be started or does not answer.
    pub fn start(options: ClusterOptions) -> Result<Self, ClusterError> {
        let bin = match &options.bin {
            Some(bin) => bin.clone(),
            None => programs()?,
        };
        let dir = match &options.dir {
            Some(dir) => dir.clone(),
            None => new_dir(&bin, options.deployment.name()),
        };
        std::fs::create_dir_all(&dir).context(FileSnafu { path: &dir })?;
        let store = plan::port()?;
        let mut targets = plan::targets(&options, &dir)?;
        let hosts = plan::hosts(&options)?;
        let links = if options.proxied {
            let links = Links::start(options.seed, store, &mut targets, &hosts);
            Some(links.context(PortSnafu)?)
        } else {
            None
        };
        let lists = if links.is_some() { hosts.len() } else { 1 };
        let mut cluster = Self {
            store,
            lists: (0..lists).map(|_| plan::port()).collect::<Result<_, _>>()?,
            targets,
            hosts,
            links,
            processes: BTreeMap::new(),
            options,
            bin,
            dir,
        };
        cluster.start_platform()?;
        cluster.start_hosts()?;
        Ok(cluster)
    }

    /// Returns the settings.
    #[must_use]
    pub const fn options(&self) -> &ClusterOptions {
        &self.options
    }

    /// Returns the folder of the programs.
    #[must_use]
    pub fn bin(&self) -> &Path {
        &self.bin
    }

    /// Returns the folder of logs and ledgers.
    #[must_use]
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Returns the address of the store.
    #[must_use]
    pub const fn store(&self) -> SocketAddr {
        self.store
    }

    /// Returns the address of the host list that a host reads.
    #[must_use]
    pub fn list(&self, host: usize) -> SocketAddr {
        self.lists[host % self.lists.len()]
    }

    /// Returns the proxied links; `None` where processes reach each other directly.
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

    /// Returns the gates as callers know them, with the address that a balancer checks.
    #[must_use]
    pub fn gates(&self) -> Vec<LoadGate> {
        let gate = |h: &HostPlan| LoadGate {
            callers: h.callers,
            observe: Some(h.gate_observe),
        };
        self.hosts.iter().map(gate).collect()
    }

    /// Returns the bundle for the targets.
    #[must_use]
    pub fn bundle(&self) -> Bundle {
        self.options.deployment.bundle(&self.targets)
    }

    /// Sets the platform's list of hosts.
    ///
    /// # Errors
    ///
    /// Returns why the list did not take it.
    pub fn put_hosts(&self, hosts: &[HostEntry]) -> Result<(), ClusterError> {
        for (reader, list) in self.lists.iter().enumerate() {
            let shown: Vec<HostEntry> = match &self.links {
                Some(links) => hosts.iter().map(|h| links.shown(reader, h)).collect(),
                None => hosts.to_vec(),
            };
            self.put(*list, "/v1/hosts", &shown)?;
        }
        Ok(())
    }

    /// Switches a fault of a stand-in on.
    ///
    /// # Errors
    ///
    /// Returns why the stand-in did not take it.
    pub fn put_fault(
        &self,
        addr: SocketAddr,
        fault: &impl serde::Serialize,
    ) -> Result<(), ClusterError> {
        self.put(addr, "/testkit/fault", fault)
    }

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

    /// Kills a process at once.
    pub fn kill(&mut self, member: Member) {
        self.with(member, Process::kill);
        self.open_ports(member, false);
    }

    /// Stops a process as a debugger does: it keeps its state and does nothing.
    pub fn pause(&mut self, member: Member) {
        self.with(member, |p| p.signal(Signal::SIGSTOP));
    }

    /// Lets a paused process go on.
    pub fn thaw(&mut self, member: Member) {
        self.with(member, |p| p.signal(Signal::SIGCONT));
    }

    /// Asks a process to stop and returns at once.
    pub fn ask_to_stop(&mut self, member: Member) {
        self.with(member, |p| p.signal(Signal::SIGTERM));
    }

    /// Asks a process to stop and waits until it has; kills it after `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error where it did not stop in time.
    pub fn stop(&mut self, member: Member, limit: Millis) -> Result<ExitStatus, ClusterError> {
        let stopped = match self.processes.get_mut(&member) {
            Some(process) => process.stop(limit),
            None => Err(unknown(member)),
        };
        self.open_ports(member, false);
        stopped
    }

    /// Starts a process that has ended, with the same settings; returns at once.
    ///
    /// # Errors
    ///
    /// Returns why it could not be started.
    pub fn restart(&mut self, member: Member) -> Result<(), ClusterError> {
        match self.processes.get_mut(&member) {
            Some(process) => process.start()?,
            None => return Err(unknown(member)),
        }
        self.open_ports(member, true);
        Ok(())
    }

    /// Tells whether a process runs.
    pub fn is_running(&mut self, member: Member) -> bool {
        self.processes
            .get_mut(&member)
            .is_some_and(Process::is_running)
    }

    /// Returns the system's id of a process that runs.
    pub fn pid(&mut self, member: Member) -> Option<u32> {
        self.processes.get_mut(&member).and_then(Process::pid)
    }

    /// Returns the first process that has ended although nobody killed or stopped it.
    ///
    /// # Errors
    ///
    /// Returns which process ended, how, and where its log is.
    pub fn check(&mut self) -> Result<(), ClusterError> {
        self.processes.values_mut().try_for_each(Process::check)
    }

    /// Reads the ledgers of all targets from their files.
    ///
    /// # Errors
    ///
    /// Returns the file that can't be read.
    pub fn ledgers(&self) -> Result<Vec<Ledger>, ClusterError> {
        let read = |t: &TargetPlan| Ledger::read(&t.ledger).context(FileSnafu { path: &t.ledger });
        self.targets.iter().map(read).collect()
    }

    /// Reads every write of the store that took effect.
    ///
    /// # Errors
    ///
    /// Returns why the store did not answer.
    pub fn history(&self) -> Result<Vec<Change>, ClusterError> {
        self.get(self.store, "/testkit/history?prefix=")
    }

    /// Gathers what callers, targets and the store saw.
    ///
    /// # Errors
    ///
    /// Returns a ledger that can't be read, or why the store did not answer.
    pub fn evidence(&self, records: Vec<CallRecord>) -> Result<Evidence, ClusterError> {
        let seen = Evidence {
            records,
            history: self.history()?,
            ..Evidence::default()
        };
        Ok(seen.with_ledgers(self.ledgers()?))
    }

    /// Reads JSON from a stand-in.
    ///
    /// # Errors
    ///
    /// Returns why it did not answer.
    pub fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, ClusterError> {
        let (_, body) = call_blocking(&Method::GET, addr, path, "", CALL_LIMIT)?;
        serde_json::from_slice(&body).map_err(|e| ClusterError::Call {
            what: format!("GET {addr}{path}"),
            message: e.to_string(),
        })
    }

    fn put(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &(impl serde::Serialize + ?Sized),
    ) -> Result<(), ClusterError> {
        let fail = |message: String| ClusterError::Call {
            what: format!("PUT {addr}{path}"),
            message,
        };
        let body = serde_json::to_vec(value).map_err(|e| fail(e.to_string()))?;
        match call_blocking(&Method::PUT, addr, path, body, CALL_LIMIT)? {
            (200, _) => Ok(()),
            (status, body) => {
                let text = String::from_utf8_lossy(&body);
                Err(fail(format!("status {status}: {text}")))
            }
        }
    }

    fn start_platform(&mut self) -> Result<(), ClusterError> {
        let mut store = Vec::from(pair("--listen", &self.store));
        store.extend(pair("--seed", &self.options.seed));
        if let Some(n) = self.options.writes {
            store.extend(pair("--writes-per-second", &n));
        }
        if let Some(n) = self.options.reads {
            store.extend(pair("--reads-per-second", &n));
        }
        self.spawn(Member::Store, "testkit-store", store)?;
        for i in 0..self.lists.len() {
            let mut list = Vec::from(pair("--listen", &self.lists[i]));
            list.extend(pair("--lag-ms", &self.options.list_lag.0));
            self.spawn(Member::List(i), "testkit-list", list)?;
        }
        for i in 0..self.targets.len() {
            let args = self.targets[i].args(&self.options, i as u64);
            self.spawn(Member::Target(i), "testkit-target", args)?;
        }
        wait_answer(
            self.store,
            "/testkit/stats",
            START_LIMIT,
            "start of the store",
        )?;
        for list in &self.lists {
            wait_answer(*list, "/v1/hosts", START_LIMIT, "start of the host list")?;
        }
        for target in &self.targets {
            let what = format!("start of {}", target.name);
            wait_answer(target.addr, "/control/load", START_LIMIT, &what)?;
        }
        let hosts: Vec<_> = self.hosts.iter().map(HostPlan::entry).collect();
        self.put_hosts(&hosts)
    }

    fn start_hosts(&mut self) -> Result<(), ClusterError> {
        let operators = self.operators()?;
        for i in 0..self.hosts.len() {
            let host = &self.hosts[i];
            let (list, store) = (self.list(i), self.store_seen(i));
            let gate = host.gate_args(list);
            let controller = host.controller_args(list, store);
            let admin = host.admin_args(list, store, &operators);
            self.spawn(Member::Controller(i), "chicoryrail-controller", controller)?;
            self.spawn(Member::Gate(i), "chicoryrail-gate", gate)?;
            self.spawn(Member::Admin(i), "chicoryrail-admin", admin)?;
        }
        for host in &self.hosts {
            for addr in [host.gate_observe, host.controller_observe, host.admin] {
                let what = format!("start of a process of {} at {addr}", host.name);
                if let Err(late) = wait_answer(addr, "/healthz", START_LIMIT, &what) {
                    self.check()?;
                    return Err(late);
                }
            }
        }
        Ok(())
    }

    /// Returns the address at which a host finds the store.
    fn store_seen(&self, host: usize) -> SocketAddr {
        match &self.links {
            Some(links) => links.store(host).addr(),
            None => self.store,
        }
    }

    /// Draws the operators' keys and returns the operators as the administration API takes them.
    fn operators(&self) -> Result<Vec<String>, ClusterError> {
        let operator = |name: &&str| {
            let file = self.dir.join(format!("{name}.key"));
            let _ = std::fs::remove_file(&file);
            let public = self.ctl_ok(0, name, &["key", "new", &file.display().to_string()])?;
            Ok(format!("{name}=operate:*:{}", public.trim()))
        };
        OPERATORS.iter().map(operator).collect()
    }

    fn spawn(
        &mut self,
        member: Member,
        program: &str,
        args: Vec<String>,
    ) -> Result<(), ClusterError> {
        let program = self.bin.join(program);
        let process = Process::new(&member.to_string(), program, args, &self.dir);
        let mut process = process.with_level(&self.options.log);
        process.start()?;
        self.processes.insert(member, process);
        Ok(())
    }

    /// Closes the ports of a process that has ended on the links to it, as its own port is closed,
    /// or opens them again.
    fn open_ports(&self, member: Member, open: bool) {
        let Some(links) = &self.links else {
            return;
        };
        for link in links.to(member) {
            link.set(LinkFault {
                closed: !open,
                ..link.fault()
            });
        }
    }

    fn with(&mut self, member: Member, act: impl FnOnce(&mut Process)) {
        if let Some(process) = self.processes.get_mut(&member) {
            act(process);
        }
    }
}

fn wait_answer(
    addr: SocketAddr,
    path: &str,
    limit: Millis,
    what: &str,
) -> Result<(), ClusterError> {
    let until = Instant::now() + limit.duration();
    while Instant::now() < until {
        if is_ok(addr, path, Millis(1_000)) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(ClusterError::Late {
        what: what.to_owned(),
        limit_ms: limit.0,
    })
}

/// Returns the folder of the programs that belong to the running one; a test stands one below.
fn programs() -> Result<PathBuf, ClusterError> {
    let own = std::env::current_exe().context(FileSnafu {
        path: "the running program",
    })?;
    let dir = own.parent().unwrap_or(Path::new("."));
    let dir = match dir.file_name() {
        Some(name) if name == "deps" || name == "examples" => dir.parent().unwrap_or(dir),
        _ => dir,
    };
    Ok(dir.to_owned())
}

fn new_dir(bin: &Path, name: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let runs = bin.parent().unwrap_or(bin).join("testkit-runs");
    runs.join(format!("{name}-{}-{count}", std::process::id()))
}

fn unknown(member: Member) -> ClusterError {
    ClusterError::Call {
        what: member.to_string(),
        message: "the cluster has no such process".to_owned(),
    }
}
