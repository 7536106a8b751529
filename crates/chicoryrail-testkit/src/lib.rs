//! Test kit: stand-ins for the platform, a fault-injecting proxy, a load generator and a checker.
//!
//! Provides everything that tests, the demo and chaos runs need around the real processes. The stand-ins for the
//! key-value store and for targets implement the protocols of `chicoryrail-platform`. Each is available as a library
//! and as a small program, and tests switch their faults on over HTTP.
//!
//! # Example
//!
//! ```
//! use chicoryrail_platform::kv::WirePut;
//! use chicoryrail_platform::kv::WireTxn;
//! use chicoryrail_testkit::Kv;
//!
//! let mut kv = Kv::default();
//! let put = WirePut { key: "config/head".to_owned(), value: "MQ==".to_owned(), lease: 0 };
//! let txn = WireTxn { precondition: vec![], puts: vec![put], remove: vec![] };
//! assert_eq!(kv.commit(&txn).unwrap(), 1);
//! ```
//!
//! See [`Cluster`] for a whole system of processes, [`Load`] for generated load, [`Violation::find`] for the checked
//! guarantees, and [`TargetFault`], [`StoreFault`] and [`LinkFault`] for the faults.

mod body_mark;
mod chaos;
mod checker;
mod cluster;
mod listener;
mod load;
mod proxy;
mod query_param;
mod read_gate;
mod store;
mod target;
mod timed;
mod wall_clock;

pub use body_mark::BodyMark;
pub use chaos::ChaosOptions;
pub use chaos::Summary;
pub use chaos::run as run_chaos;
pub use checker::Availability;
pub use checker::Evidence;
pub use checker::HostTime;
pub use checker::OutPeriod;
pub use checker::Period;
pub use checker::QuotaWindow;
pub use checker::ServerEnd;
pub use checker::Violation;
pub use cluster::Cluster;
pub use cluster::ClusterError;
pub use cluster::ClusterOptions;
pub use cluster::Deployment;
pub use cluster::HostPlan;
pub(crate) use cluster::LONG_WAIT_TIMEOUT;
pub use cluster::Links;
pub use cluster::Member;
pub use cluster::Operator;
pub use cluster::ServicePlan;
pub use cluster::TargetPlan;
pub use cluster::call_blocking;
pub use cluster::free_addr;
pub use cluster::spawn_process;
pub use listener::ConnectionCut;
pub use listener::Listener;
pub use listener::run_stand_in;
pub use load::CallRecord;
pub use load::CallerKind;
pub use load::Load;
pub use load::LoadCaller;
pub use load::LoadHost;
pub use load::LoadKind;
pub use load::LoadOptions;
pub use load::LoadService;
pub use load::LoadSummary;
pub use load::Outcome;
pub use load::Progress;
pub use proxy::Link;
pub use proxy::LinkFault;
pub use proxy::LinkStats;
pub use proxy::ProxyNet;
pub use query_param::query_param;
pub use read_gate::ReadGate;
pub use store::Change;
pub use store::Kv;
pub use store::StoreFault;
pub use store::StoreOptions;
pub use store::StoreServer;
pub use store::StoreStats;
pub use store::TxnError;
pub use target::Arrival;
pub use target::CancelledRun;
pub use target::HoldChange;
pub use target::HoldKind;
pub use target::LeasedKeys;
pub use target::Ledger;
pub use target::LimitOverrun;
pub use target::Notice;
pub use target::NoticeKind;
pub use target::Overrun;
pub use target::Permit;
pub use target::ResponseHead;
pub use target::Run;
pub use target::ServerStart;
pub use target::StaleFence;
pub use target::TargetFault;
pub use target::TargetOptions;
pub use target::TargetServer;
pub use wall_clock::unix_micros;
