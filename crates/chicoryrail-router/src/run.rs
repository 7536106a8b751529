//! Start, upkeep and stop of the process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_platform::Boot;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::LogSink;
use chicoryrail_runtime::ReloadSignals;
use chicoryrail_runtime::SettingError;
use chicoryrail_runtime::bind;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::exit_with;
use chicoryrail_runtime::from_args;
use chicoryrail_runtime::serve_http;
use chicoryrail_runtime::serve_http_shared;
use chicoryrail_runtime::stop_on_signal;
use snafu::ResultExt;
use snafu::Snafu;

use crate::Options;
use crate::control::Gossip;
use crate::control::LeaderTerm;
use crate::control::QuotaPools;
use crate::control::be_present;
use crate::control::choose_source;
use crate::control::elect;
use crate::control::follow_all;
use crate::control::follow_relay;
use crate::control::prove_config;
use crate::control::relay;
use crate::control::report_use;
use crate::control::scheduling;
use crate::log_line;
use crate::options::options;
use crate::route;
use crate::state::Router;
use crate::talk::Talk;

/// Time between two rounds of upkeep.
const UPKEEP_INTERVAL: Millis = Millis(100);

/// A round that comes this much later than planned was held up by a pause of the process.
const FREEZE_NOTICED: Millis = Millis(300);

/// Time from the stop signal until the listener closes: the balancer asks once a second and takes a host
/// out after two misses, so after it no new caller is sent here.
const BALANCER_NOTICE_TIME: Millis = Millis(2_600);

/// Time before the kill at which the process ends by itself.
const KILL_MARGIN: Millis = Millis(400);

/// Why the process could not run.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// A listener can't be opened.
    #[snafu(display("{source}"))]
    Listen {
        /// The setting and the system's error.
        source: SettingError,
    },
    /// The socket between hosts can't be opened.
    #[snafu(display("{addr}: {source}"))]
    Socket {
        /// Its address.
        addr: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The boot file has no address for callers, or none for the balancer.
    #[snafu(display("the boot file has no address for {what}"))]
    NoAddress {
        /// What is missing.
        what: &'static str,
    },
}

/// Reads the settings, serves until a stop signal and returns the exit code.
#[must_use]
pub fn run_from_args() -> ExitCode {
    let options = match from_args(&options()) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let boot = match Boot::read() {
        Ok(boot) => boot,
        Err(e) => return exit_with(&e.to_string()),
    };
    if options.check {
        println!("{boot:#?}\n{options:#?}");
        return ExitCode::SUCCESS;
    }
    let sink = LogSink::new(options.log_lines);
    log_line::init(&boot.host, &sink);
    let result = block_on(run(boot, options, sink.clone()));
    if let Err(e) = &result {
        log::error!(error:% = e; "start_failed");
    }
    sink.flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => exit_with(&e.to_string()),
    }
}

/// Serves until the process gets SIGTERM or SIGINT, and then stops without cutting a request.
///
/// # Errors
///
/// Returns a [`RunError`] where a listener or socket can't be opened.
pub async fn run(boot: Boot, options: Options, sink: LogSink) -> Result<(), RunError> {
    let callers = boot
        .callers
        .ok_or(RunError::NoAddress { what: "callers" })?;
    let readiness = boot
        .readiness
        .ok_or(RunError::NoAddress { what: "readiness" })?;
    let talk_addr = SocketAddr::new(boot.ip, *boot.ports.start());
    let metrics = options
        .metrics_port
        .map(|port| SocketAddr::new(boot.ip, port));
    log::info!(dc:% = boot.dc, callers:% = callers,
        store:% = boot.store.addr, pid = std::process::id(); "start");
    let talk = Talk::bind(talk_addr).context(SocketSnafu { addr: talk_addr })?;
    let router = Router::new(boot, options, &talk);
    let stop = router.process.stop.clone();
    if let Err(e) = stop_on_signal(stop.clone()) {
        log::error!(error:% = e; "signals_not_caught");
    }
    match chicoryrail_runtime::reload_signals() {
        Ok(signals) => {
            monoio::spawn(reload(Rc::clone(&router), signals));
        }
        Err(e) => log::error!(error:% = e; "signals_not_caught"),
    }
    monoio::spawn(keep_up(Rc::clone(&router), sink));
    let ends = CancellationToken::new();
    open_observe(&router, "readiness", readiness, &ends)?;
    if let Some(addr) = metrics {
        open_observe(&router, "metrics-port", addr, &ends)?;
    }
    let leadership = Rc::new(LeaderTerm::default());
    let pools = Rc::new(QuotaPools::default());
    let gossip = Gossip::new(&router, &leadership, &pools);
    let listening = Rc::clone(&gossip);
    monoio::spawn(talk.listen(move |packet, from| listening.handle_packet(packet, from)));
    monoio::spawn(scheduling::tend(Rc::clone(&router)));
    open_relay(&router, talk_addr, &ends)?;
    follow_all(&router);
    monoio::spawn(choose_source(Rc::clone(&router)));
    monoio::spawn(follow_relay(Rc::clone(&router)));
    monoio::spawn(be_present(Rc::clone(&router), talk_addr));
    monoio::spawn(Rc::clone(&gossip).report_key_demand());
    monoio::spawn(Rc::clone(&gossip).send_free_slots());
    monoio::spawn(gossip.send_heartbeats());
    monoio::spawn(prove_config(Rc::clone(&router)));
    monoio::spawn(report_use(Rc::clone(&router), pools));
    let elected = monoio::spawn(elect(Rc::clone(&router), leadership));
    let listener = bind("callers", callers).context(ListenSnafu)?;
    let callers_stop = CancellationToken::new();
    let (serving, asked) = (Rc::clone(&router), Rc::clone(&router));
    let served = monoio::spawn(serve_http_shared(
        listener,
        Rc::clone(&router.limits),
        callers_stop.clone(),
        move |request, _| route::serve(Rc::clone(&serving), request),
        move |head| route::may_begin_early(&asked, head),
    ));
    stop.cancelled().await;
    wind_down(&router, &callers_stop).await;
    let _ = monoio::time::timeout(Millis(200).duration(), elected).await;
    drop(served);
    ends.cancel();
    log::info!(serving = router.serving.get(); "stop");
    Ok(())
}

/// Reads the settings file again whenever the operator says so.
async fn reload(router: Rc<Router>, mut signals: ReloadSignals) {
    while signals.next().await {
        match Boot::read() {
            Ok(boot) => {
                let changed = router.reload(boot);
                log::info!(changed = changed; "reload");
            }
            // What was read before holds.
            Err(e) => log::error!(error:% = e; "reload_failed"),
        }
    }
}

/// Lets the balancer turn callers away, then ends their connections and waits for their requests.
async fn wind_down(router: &Router, callers: &CancellationToken) {
    let clock = router.process.clock;
    let grace = router.boot().bounds.grace;
    let end = router.now() + grace - KILL_MARGIN;
    log::info!(serving = router.serving.get(), grace_ms = grace.0; "stopping");
    clock
        .sleep(BALANCER_NOTICE_TIME.min(Millis(grace.0 / 2)))
        .await;
    callers.cancel();
    // A connection that the system has taken in may still carry its first request.
    clock.sleep(Millis(300)).await;
    while router.serving.get() > 0 && router.now() < end {
        clock.sleep(Millis(10)).await;
    }
    // The last answers leave the process.
    clock.sleep(Millis(50)).await;
}

/// Serves readiness and metrics.
fn open_observe(
    router: &Rc<Router>,
    flag: &'static str,
    addr: SocketAddr,
    stop: &CancellationToken,
) -> Result<(), RunError> {
    let listener = bind(flag, addr).context(ListenSnafu)?;
    let router = Rc::clone(router);
    let answer = move |request: http::Request<chicoryrail_runtime::Body>, _| {
        let found = router.process.observe(&request);
        let answer = found.unwrap_or_else(|| error_answer(404, "no such page"));
        async move { answer }
    };
    monoio::spawn(serve_http(
        listener,
        HttpLimits::default(),
        stop.clone(),
        answer,
    ));
    Ok(())
}

/// Serves the hosts that follow this one.
fn open_relay(
    router: &Rc<Router>,
    addr: SocketAddr,
    stop: &CancellationToken,
) -> Result<(), RunError> {
    let listener = bind("relay", addr).context(ListenSnafu)?;
    let router = Rc::clone(router);
    let answer = move |request, _| relay(Rc::clone(&router), request);
    let limits = HttpLimits::default();
    monoio::spawn(serve_http(listener, limits, stop.clone(), answer));
    Ok(())
}

/// Looks after readiness, the log, pauses, and entries whose time to come back is over.
async fn keep_up(router: Rc<Router>, sink: LogSink) {
    let mut last = router.now();
    loop {
        router.process.clock.sleep(UPKEEP_INTERVAL).await;
        let now = router.now();
        let late = now.since(last + UPKEEP_INTERVAL);
        if late > FREEZE_NOTICED {
            log::warn!(late_ms = late.0; "paused");
        }
        last = now;
        router.believe(&[]);
        note_config_age(&router);
        let ready = is_able(&router);
        if ready != router.process.is_ready() && !router.process.stop.is_cancelled() {
            log::info!(ready = ready; "readiness");
            router.process.set_ready(ready);
        }
        sink.flush();
    }
}

fn note_config_age(router: &Router) {
    let age = router.organisations.freshness().age(router.now());
    router
        .counters
        .config_age
        .set(age.map_or(-1, |a| a.0 as i64));
}

/// Tells whether callers are served here: a configuration is known, and a server of some service.
fn is_able(router: &Router) -> bool {
    let now = router.now();
    let known = router.site().is_some();
    // Where all hosts are out of touch with the store, callers gain nothing by going to another one.
    let needs_keys = router.site().is_some_and(|s| s.organisations().is_some());
    let turns_away = needs_keys && !router.knows_revocations(now) && !router.hears_hosts(now);
    known
        && !turns_away
        && router
            .services()
            .iter()
            .any(|s| !s.open_targets(now).is_empty())
}
