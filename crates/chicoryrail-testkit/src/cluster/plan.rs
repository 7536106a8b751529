//! Assigns addresses to the processes of a cluster and builds their arguments and boot files.

use std::net::SocketAddr;
use std::path::Path;

use snafu::ResultExt;

use crate::ClusterError;
use crate::ClusterOptions;
use crate::HostPlan;
use crate::TargetPlan;
use crate::cluster::error::PortSnafu;
use crate::cluster::ports::free_addr;

/// Service time of orders that tolerate long waits, in microseconds. At the default rate of a chaos run, the servers get
/// two to three times the orders that they can run.
const OVERLOADED_SERVICE_US: u64 = 700_000;

pub(crate) fn listen_addr() -> Result<SocketAddr, ClusterError> {
    free_addr().context(PortSnafu)
}

/// Distributes the servers of each service over the data centres, round robin.
pub(crate) fn targets(
    options: &ClusterOptions,
    dir: &Path,
) -> Result<Vec<TargetPlan>, ClusterError> {
    let dcs = options.deployment.data_centres();
    let mut targets = Vec::new();
    for (service, plan) in options.deployment.services().iter().enumerate() {
        let servers = options.keyed_servers.filter(|_| plan.keyed);
        for i in 0..servers.unwrap_or(plan.servers) {
            let name = format!("{}-{:02}", plan.name, i + 1);
            let addr = listen_addr()?;
            targets.push(TargetPlan {
                service,
                dc: dcs[i % dcs.len()].to_owned(),
                addr,
                advertised_addr: addr,
                ledger: dir.join(format!("{name}.ledger")),
                name,
            });
        }
    }
    Ok(targets)
}

/// Distributes the entry hosts over the data centres, round robin.
pub(crate) fn hosts(options: &ClusterOptions) -> Result<Vec<HostPlan>, ClusterError> {
    let dcs = options.deployment.data_centres();
    let host = |i: usize| {
        Ok(HostPlan {
            name: format!("{}-host-{}", options.deployment, i + 1),
            dc: dcs[i % dcs.len()].to_owned(),
            caller_addr: listen_addr()?,
            readiness_addr: listen_addr()?,
            metrics_addr: listen_addr()?,
            peer_addr: listen_addr()?,
        })
    };
    (0..options.hosts).map(host).collect()
}

impl HostPlan {
    /// Returns the content of the host's boot file.
    pub(crate) fn boot_file(&self, store: SocketAddr) -> String {
        include_str!("boot.toml")
            .replace("NAME", &self.name)
            .replace("ZONE", &self.dc)
            .replace("CALLERS", &self.caller_addr.to_string())
            .replace("READINESS", &self.readiness_addr.to_string())
            .replace("TALK", &self.peer_addr.port().to_string())
            .replace("IP", &self.peer_addr.ip().to_string())
            .replace("STORE", &store.to_string())
    }
}

impl TargetPlan {
    pub(crate) fn args(
        &self,
        options: &ClusterOptions,
        store: SocketAddr,
        index: u64,
    ) -> Vec<String> {
        let deployment = options.deployment;
        let plan = &deployment.services()[self.service];
        let service_us = if options.long_waits && plan.load_kind.runs_once() {
            OVERLOADED_SERVICE_US
        } else {
            options.service_us
        };
        let mut args = Vec::new();
        args.extend(flag_and_value("--listen", &self.addr));
        args.extend(flag_and_value("--shown", &self.advertised_addr));
        args.extend(flag_and_value("--store", &store));
        args.extend(flag_and_value("--name", &self.name));
        args.extend(flag_and_value("--service", &plan.name));
        args.extend(flag_and_value("--data-centre", &self.dc));
        args.extend(flag_and_value("--slots", &deployment.slots()));
        args.extend(flag_and_value("--connections", &deployment.connections()));
        args.extend(flag_and_value("--service-us", &service_us));
        args.extend(flag_and_value("--cold-ms", &options.warmup.0));
        args.extend(flag_and_value("--cold-bears", &deployment.warmup_limit()));
        args.extend(flag_and_value("--ledger", &self.ledger.display()));
        args.extend(flag_and_value("--seed", &options.seed.wrapping_add(index)));
        if plan.keyed {
            args.push("--keyed".to_owned());
        }
        args
    }
}

pub(crate) fn flag_and_value(flag: &str, value: &impl ToString) -> [String; 2] {
    [flag.to_owned(), value.to_string()]
}
