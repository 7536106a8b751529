//! Who listens where, and with which arguments each program starts.

use std::net::SocketAddr;
use std::path::Path;

use chicoryrail_core::Kind;
use chicoryrail_platform::HostEntry;
use chicoryrail_platform::ListedState;
use snafu::ResultExt;

use crate::ClusterError;
use crate::ClusterOptions;
use crate::HostPlan;
use crate::TargetPlan;
use crate::cluster::error::PortSnafu;
use crate::cluster::ports::free_port;

pub(crate) fn port() -> Result<SocketAddr, ClusterError> {
    free_port().context(PortSnafu)
}

/// Deals the servers of each service to the data centres in turn.
pub(crate) fn targets(
    options: &ClusterOptions,
    dir: &Path,
) -> Result<Vec<TargetPlan>, ClusterError> {
    let dcs = options.deployment.data_centres();
    let mut targets = Vec::new();
    for (service, shape) in options.deployment.services().iter().enumerate() {
        for i in 0..shape.servers {
            let name = format!("{}-{:02}", shape.name, i + 1);
            let addr = port()?;
            targets.push(TargetPlan {
                service,
                dc: dcs[i % dcs.len()].to_owned(),
                addr,
                shown: addr,
                ledger: dir.join(format!("{name}.ledger")),
                name,
            });
        }
    }
    Ok(targets)
}

/// Deals the entry hosts to the data centres in turn.
pub(crate) fn hosts(options: &ClusterOptions) -> Result<Vec<HostPlan>, ClusterError> {
    let dcs = options.deployment.data_centres();
    let host = |i: usize| {
        Ok(HostPlan {
            name: format!("{}-host-{}", options.deployment, i + 1),
            dc: dcs[i % dcs.len()].to_owned(),
            callers: port()?,
            gate_inner: port()?,
            gate_observe: port()?,
            controller_inner: port()?,
            controller_observe: port()?,
            admin: port()?,
        })
    };
    (0..options.hosts).map(host).collect()
}

impl HostPlan {
    /// Returns the host as the platform's list has it.
    #[must_use]
    pub fn entry(&self) -> HostEntry {
        HostEntry {
            name: self.name.as_str().into(),
            data_centre: self.dc.as_str().into(),
            state: ListedState::Live,
            gate: self.gate_inner,
            controller: self.controller_inner,
            admin: self.admin,
            observe: vec![self.gate_observe, self.controller_observe, self.admin],
        }
    }

    pub(crate) fn gate_args(&self, list: SocketAddr) -> Vec<String> {
        let mut args = self.common(list);
        args.extend(pair("--callers", &self.callers));
        args.extend(pair("--inner", &self.gate_inner));
        args.extend(pair("--observe", &self.gate_observe));
        args
    }

    pub(crate) fn controller_args(&self, list: SocketAddr, store: SocketAddr) -> Vec<String> {
        let mut args = self.common(list);
        args.extend(pair("--store", &store));
        args.extend(pair("--inner", &self.controller_inner));
        args.extend(pair("--observe", &self.controller_observe));
        args
    }

    pub(crate) fn admin_args(
        &self,
        list: SocketAddr,
        store: SocketAddr,
        operators: &[String],
    ) -> Vec<String> {
        let mut args = self.common(list);
        args.extend(pair("--store", &store));
        args.extend(pair("--listen", &self.admin));
        for operator in operators {
            args.extend(pair("--operator", operator));
        }
        args
    }

    fn common(&self, list: SocketAddr) -> Vec<String> {
        let mut args = Vec::new();
        args.extend(pair("--host", &self.name));
        args.extend(pair("--data-centre", &self.dc));
        args.extend(pair("--host-list", &list));
        args
    }
}

impl TargetPlan {
    pub(crate) fn args(&self, options: &ClusterOptions, number: u64) -> Vec<String> {
        let deployment = options.deployment;
        let shape = &deployment.services()[self.service];
        let mut args = Vec::new();
        args.extend(pair("--listen", &self.addr));
        args.extend(pair("--name", &self.name));
        args.extend(pair("--slots", &deployment.slots()));
        args.extend(pair("--connections", &deployment.connections()));
        args.extend(pair("--service-us", &options.service_us));
        args.extend(pair("--cold-ms", &options.cold_ms.0));
        args.extend(pair("--report-age-ms", &options.report_age.0));
        args.extend(pair("--ledger", &self.ledger.display()));
        args.extend(pair("--seed", &options.seed.wrapping_add(number)));
        if shape.kind == Kind::Keyed {
            args.push("--keyed".to_owned());
        }
        if shape.fenced {
            args.push("--fenced".to_owned());
        }
        args
    }
}

pub(crate) fn pair(flag: &str, value: &impl ToString) -> [String; 2] {
    [flag.to_owned(), value.to_string()]
}
