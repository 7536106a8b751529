//! Hosts whose controllers and gates answer what a test sets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Config;
use chicoryrail_core::Fence;
use chicoryrail_core::Millis;
use chicoryrail_core::ShardId;
use chicoryrail_platform::HostEntry;
use chicoryrail_platform::ListedState;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::full;
use chicoryrail_runtime::json_answer;
use chicoryrail_runtime::serve_http;
use chicoryrail_wire::ConfigReply;
use chicoryrail_wire::Handler;
use chicoryrail_wire::Heartbeat;
use chicoryrail_wire::HostState;
use chicoryrail_wire::PeerLimits;
use chicoryrail_wire::PeerSeen;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use chicoryrail_wire::Role;
use chicoryrail_wire::RouteTable;
use chicoryrail_wire::StatusReply;
use chicoryrail_wire::serve;
use http::Response;
use monoio::net::TcpListener;

/// What one host's controller says.
#[derive(Clone, Debug, Default)]
pub struct Said {
    /// Version that controller and gate have in force.
    pub version: u64,
    /// How often the controller was restarted.
    pub restarts: u64,
    /// Whether the host's gate is not heard.
    pub no_gate: bool,
    /// What it heard of other processes.
    pub peers: Vec<PeerSeen>,
    /// Shards that it holds, with their tables.
    pub tables: Vec<RouteTable>,
    /// Configuration that it hands on.
    pub config: Option<Config>,
    /// Whether it refuses to say anything.
    pub mute: bool,
}

/// A host with a controller, and a gate that shows metrics.
pub struct Host {
    pub entry: HostEntry,
    pub said: Rc<RefCell<Said>>,
    /// Requests for metrics so far.
    pub scrapes: Rc<RefCell<u32>>,
}

/// A host list and its hosts.
pub struct Hosts {
    pub list: SocketAddr,
    pub hosts: Vec<Host>,
    listed: Rc<RefCell<Vec<HostEntry>>>,
}

struct Controller {
    name: String,
    said: Rc<RefCell<Said>>,
}

impl Handler for Controller {
    async fn call(&self, request: Request) -> Reply {
        let said = self.said.borrow().clone();
        match request {
            _ if said.mute => Reply::Refused(5000),
            Request::Status { .. } => {
                let held = said.tables.iter();
                Reply::Status(StatusReply {
                    own: Heartbeat {
                        instance: 1 + said.restarts,
                        ..beat(&self.name, Role::Controller, said.version)
                    },
                    peers: if said.no_gate {
                        said.peers
                    } else {
                        let gate = seen(&self.name, Role::Gate, said.version, 0);
                        [vec![gate], said.peers].concat()
                    },
                    held: held.map(|t| (t.shard.clone(), t.fence)).collect(),
                    tables: said.tables,
                })
            }
            Request::Config(_) => Reply::Config(ConfigReply {
                version: said.version,
                config: said.config,
            }),
            _ => Reply::Done,
        }
    }

    async fn forward(
        &self,
        _: http::Request<h2::RecvStream>,
        mut respond: h2::server::SendResponse<Bytes>,
    ) {
        respond.send_reset(h2::Reason::REFUSED_STREAM);
    }
}

impl Hosts {
    /// Starts `names`, each with `metrics` as its gate's text, where `{n}` stands for the number of
    /// times it was asked.
    pub fn start(names: &[&str], metrics: &'static str) -> Self {
        let hosts: Vec<Host> = names
            .iter()
            .map(|name| Host::start(name, metrics))
            .collect();
        let entries = hosts.iter().map(|h| h.entry.clone()).collect();
        let listed = Rc::new(RefCell::new(entries));
        let shown = Rc::clone(&listed);
        let (listener, list) = listen();
        let stop = CancellationToken::new();
        let handler = move |_, _| {
            let answer = json_answer(200, &*shown.borrow());
            async move { answer }
        };
        monoio::spawn(serve_http(listener, HttpLimits::default(), stop, handler));
        Self {
            list,
            hosts,
            listed,
        }
    }

    /// Lets every host have this version in force.
    pub fn set_version(&self, version: u64) {
        for host in &self.hosts {
            host.said.borrow_mut().version = version;
        }
    }

    /// Takes a host from the list.
    pub fn unlist(&self, name: &str) {
        self.listed.borrow_mut().retain(|h| h.name.as_str() != name);
    }
}

impl Host {
    fn start(name: &str, metrics: &'static str) -> Self {
        let said = Rc::new(RefCell::new(Said::default()));
        let scrapes = Rc::new(RefCell::new(0));
        let (inner, controller) = listen();
        let handler = Rc::new(Controller {
            name: name.to_owned(),
            said: Rc::clone(&said),
        });
        let never = std::future::pending::<()>();
        monoio::spawn(serve(inner, PeerLimits::default(), handler, never));
        let (shown, observe) = listen();
        let count = Rc::clone(&scrapes);
        let stop = CancellationToken::new();
        let show = move |_, _| {
            *count.borrow_mut() += 1;
            let text = metrics.replace("{n}", &count.borrow().to_string());
            async move { Response::new(full(text)) }
        };
        monoio::spawn(serve_http(shown, HttpLimits::default(), stop, show));
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let entry = HostEntry {
            name: name.into(),
            data_centre: "a".into(),
            state: ListedState::Live,
            gate: nowhere,
            controller,
            admin: nowhere,
            observe: vec![observe],
        };
        Self {
            entry,
            said,
            scrapes,
        }
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Builds a heartbeat of a process.
pub fn beat(host: &str, role: Role, version: u64) -> Heartbeat {
    Heartbeat {
        host: host.into(),
        dc: "a".into(),
        role,
        instance: 1,
        state: HostState::Live,
        version,
    }
}

/// Builds what a controller says of another process.
pub fn seen(host: &str, role: Role, version: u64, silent: u64) -> PeerSeen {
    PeerSeen {
        beat: beat(host, role, version),
        silent: Millis(silent),
        listed: true,
    }
}

/// Builds a table of one shard without entries.
pub fn table(shard: ShardId, fence: Fence) -> RouteTable {
    RouteTable {
        shard,
        fence,
        servers: Vec::new(),
        entries: Vec::new(),
    }
}
