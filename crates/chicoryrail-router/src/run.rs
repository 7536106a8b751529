//! Startup and shutdown of the process.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_platform::Boot;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::LogSink;
use chicoryrail_runtime::OpenConnections;
use chicoryrail_runtime::ReloadSignals;
use chicoryrail_runtime::SettingError;
use chicoryrail_runtime::bind_listener;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::exit_with_error;
use chicoryrail_runtime::parse_args;
use chicoryrail_runtime::serve_http_shared;
use chicoryrail_runtime::stop_on_signal;
use monoio::task::JoinHandle;
use monoio::time::timeout;
use snafu::ResultExt;
use snafu::Snafu;

use crate::Options;
use crate::control::Gossip;
use crate::control::KeyLeaders;
use crate::control::LeaderTerm;
use crate::control::QuotaPools;
use crate::control::Renewals;
use crate::control::follow_feeds;
use crate::control::follow_leader_keys;
use crate::control::follow_relay;
use crate::control::follow_renewal_orders;
use crate::control::register_core_host;
use crate::control::report_quota_use;
use crate::control::report_traffic;
use crate::control::run_election;
use crate::control::run_renewals;
use crate::control::scheduling;
use crate::control::select_source;
use crate::control::spread_news;
use crate::control::store_blocks;
use crate::control::verify_config;
use crate::listeners::serve_observability;
use crate::listeners::start_peer_listener;
use crate::log_line;
use crate::maintenance::run_maintenance;
use crate::messages::PeerSocket;
use crate::options::options;
use crate::route;
use crate::state::Router;

/// Time from the stop signal until the listener closes. The load balancer checks readiness once per second and removes
/// a host after two failed checks, so it sends no new callers here after this time.
const BALANCER_REMOVAL_TIME: Millis = Millis(2_600);

/// Longest time for ending the leader's term after the last response.
const TERM_END_TIME: Millis = Millis(150);

/// Error that prevents the process from running.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// A TCP listener can't be opened.
    #[snafu(display("{source}"))]
    Listen {
        /// Name of the setting and the operating system's error.
        source: SettingError,
    },
    /// The UDP socket for messages between hosts can't be opened.
    #[snafu(display("{addr}: {source}"))]
    Socket {
        /// Address of the socket.
        addr: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The boot file lacks the address for callers or for the load balancer's readiness checks.
    #[snafu(display("the boot file has no address for {what}"))]
    NoAddress {
        /// Purpose of the missing address: `callers` or `readiness`.
        what: &'static str,
    },
}

/// Reads the settings, runs the router until a stop signal and returns the exit code.
#[must_use]
pub fn run_from_args() -> ExitCode {
    // Settings may change as soon as the process exists.
    let reloads = chicoryrail_runtime::reload_signals();
    let options = match parse_args(&options()) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let boot = match Boot::read() {
        Ok(boot) => boot,
        Err(e) => return exit_with_error(&e.to_string()),
    };
    if options.check {
        println!("{boot:#?}\n{options:#?}");
        return ExitCode::SUCCESS;
    }
    let sink = LogSink::new(options.log_lines);
    log_line::init(&boot.host, &sink);
    let result = block_on(run(boot, options, sink.clone(), reloads));
    if let Err(e) = &result {
        log::error!(error:% = e; "start_failed");
    }
    sink.flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => exit_with_error(&e.to_string()),
    }
}

/// Runs the router until SIGTERM or SIGINT, then shuts down: requests in progress have the grace period of the settings
/// to finish.
///
/// # Errors
///
/// Returns a [`RunError`] if a listener or socket can't be opened, or the boot file lacks an address.
pub async fn run(
    boot: Boot,
    options: Options,
    sink: LogSink,
    reloads: io::Result<ReloadSignals>,
) -> Result<(), RunError> {
    let callers = boot
        .callers
        .ok_or(RunError::NoAddress { what: "callers" })?;
    let readiness = boot
        .readiness
        .ok_or(RunError::NoAddress { what: "readiness" })?;
    let peer_addr = SocketAddr::new(boot.ip, *boot.ports.start());
    let metrics = options
        .metrics_port
        .map(|port| SocketAddr::new(boot.ip, port));
    log::info!(dc:% = boot.dc, callers:% = callers,
        store:% = boot.store.addr, pid = std::process::id(); "start");
    let socket = PeerSocket::bind(peer_addr).context(SocketSnafu { addr: peer_addr })?;
    let router = Router::new(boot, options, &socket);
    let stop = router.process.stop.clone();
    if let Err(e) = stop_on_signal(stop.clone()) {
        log::error!(error:% = e; "signals_not_caught");
    }
    match reloads {
        Ok(signals) => {
            monoio::spawn(reload(Rc::clone(&router), signals));
        }
        Err(e) => log::error!(error:% = e; "signals_not_caught"),
    }
    monoio::spawn(run_maintenance(Rc::clone(&router), sink));
    let internal_stop = CancellationToken::new();
    serve_observability(&router, "readiness", readiness, &internal_stop).context(ListenSnafu)?;
    if let Some(addr) = metrics {
        serve_observability(&router, "metrics-port", addr, &internal_stop).context(ListenSnafu)?;
    }
    let leadership = Rc::new(LeaderTerm::default());
    let leaders = Rc::new(KeyLeaders::default());
    let pools = Rc::new(QuotaPools::default());
    let gossip = Gossip::new(&router, &leadership, &pools);
    let listening = Rc::clone(&gossip);
    monoio::spawn(socket.listen(move |packet, from| listening.handle_packet(packet, from)));
    monoio::spawn(scheduling::run_schedulers(Rc::clone(&router)));
    let peers_served =
        start_peer_listener(&router, (&leadership, &leaders), peer_addr, &internal_stop)
            .context(ListenSnafu)?;
    follow_feeds(&router);
    monoio::spawn(select_source(Rc::clone(&router)));
    monoio::spawn(follow_relay(Rc::clone(&router)));
    monoio::spawn(follow_leader_keys(Rc::clone(&router)));
    let renewals = Rc::new(Renewals::default());
    monoio::spawn(run_renewals(Rc::clone(&router), Rc::clone(&renewals)));
    monoio::spawn(follow_renewal_orders(Rc::clone(&router), renewals));
    monoio::spawn(register_core_host(Rc::clone(&router), peer_addr));
    monoio::spawn(Rc::clone(&gossip).report_key_demand());
    monoio::spawn(Rc::clone(&gossip).send_free_slots());
    monoio::spawn(gossip.send_heartbeats());
    monoio::spawn(verify_config(Rc::clone(&router)));
    monoio::spawn(report_quota_use(Rc::clone(&router), pools));
    monoio::spawn(spread_news(Rc::clone(&router)));
    monoio::spawn(store_blocks(Rc::clone(&router)));
    monoio::spawn(report_traffic(Rc::clone(&router), Rc::clone(&leadership)));
    let elected = monoio::spawn(run_election(Rc::clone(&router), leadership, leaders));
    let listener = bind_listener("callers", callers).context(ListenSnafu)?;
    let (callers_stop, callers_open) = (CancellationToken::new(), OpenConnections::default());
    let (serving, early_router) = (Rc::clone(&router), Rc::clone(&router));
    let served = monoio::spawn(serve_http_shared(
        listener,
        (Rc::clone(&router.limits), Rc::clone(&callers_open)),
        callers_stop.clone(),
        move |request, from| route::serve(Rc::clone(&serving), request, from),
        move |head| route::may_begin_early(&early_router, head),
    ));
    stop.cancelled().await;
    shut_down(&router, &callers_stop, served).await;
    let _ = timeout(TERM_END_TIME.to_duration(), elected).await;
    internal_stop.cancel();
    // Another host may still be taking a response that this one passes on.
    let _ = timeout(time_to_exit(&router).to_duration(), peers_served).await;
    router.in_hand.log(router.now(), "stop");
    log::info!(serving = router.serving.get(), connections = callers_open.get(); "stop");
    Ok(())
}

/// Reloads the boot file at each reload signal.
async fn reload(router: Rc<Router>, mut signals: ReloadSignals) {
    while signals.next().await {
        match Boot::read() {
            Ok(boot) => {
                let changed = router.reload(boot);
                log::info!(changed = changed; "reload");
            }
            // The previous settings stay in force.
            Err(e) => log::error!(error:% = e; "reload_failed"),
        }
    }
}

/// Waits until the load balancer sends no more callers, then closes callers' connections and waits for the requests in
/// progress. Each ends by itself before [`ProcessEnd::exit`](crate::state::ProcessEnd), except for a response that is
/// still being streamed.
async fn shut_down(router: &Router, callers: &CancellationToken, served: JoinHandle<()>) {
    let grace = router.boot().bounds.grace;
    let stopped_at = router.now();
    router.process_end.begin(stopped_at, grace);
    log::info!(serving = router.serving.get(), grace_ms = grace.0; "stopping");
    router.in_hand.log(stopped_at, "stopping");
    let balancer_end = stopped_at + BALANCER_REMOVAL_TIME.min(Millis(grace.0 / 2));
    wait_while(router, || router.now() < balancer_end).await;
    callers.cancel();
    // The first request of a connection that the kernel has already accepted may still arrive.
    let accepted_end = router.now() + Millis(300);
    let is_serving = || router.serving.get() > 0 || router.now() < accepted_end;
    wait_while(router, is_serving).await;
    // A caller may still be reading the last part of its response.
    let _ = timeout(time_to_exit(router).to_duration(), served).await;
    // Leaves time to send the last responses.
    router.process.clock.sleep(Millis(50)).await;
}

/// Waits while `condition` holds and the process has time left.
async fn wait_while(router: &Router, condition: impl Fn() -> bool) {
    while condition() && time_to_exit(router) > Millis::ZERO {
        router.process.clock.sleep(Millis(10)).await;
    }
}

/// Returns the time left until the process exits, whatever is in hand.
fn time_to_exit(router: &Router) -> Millis {
    let exit = router.process_end.exit();
    exit.map_or(Millis::ZERO, |exit| exit.since(router.now()))
}
