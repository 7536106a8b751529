//! Start, upkeep and stop of the process.

use std::process::ExitCode;
use std::rc::Rc;

use bpaf::ParseFailure;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::SettingError;
use chicoryrail_runtime::bind;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::exit_with;
use chicoryrail_runtime::init_logs;
use chicoryrail_runtime::serve_http;
use chicoryrail_runtime::stop_on_signal;
use chicoryrail_wire::PeerLimits;
use chicoryrail_wire::serve;
use futures_util::future::select;
use monoio::net::TcpListener;

use crate::Settings;
use crate::caller;
use crate::config_task;
use crate::gate::Gate;
use crate::hosts;
use crate::inner::Inner;
use crate::server::WARM_EVERY;
use crate::settings::settings;
use crate::shard::Via;

/// Time between two rounds of upkeep: readiness, gauges, notice of pauses.
const UPKEEP_EVERY: Millis = Millis(50);

/// A round that comes later than this was held up by a pause of the process.
const PAUSE_NOTICED: Millis = Millis(300);

/// Time without any valid route after which a gate that was ready says that it is not.
const LOST_AFTER: Millis = Millis(2_000);

/// Time with some valid routes after which a gate that never had all says that it is ready: a section
/// that nobody can hold, as in a store outage, must not keep it from callers of the others. A gate
/// that starts in a healthy system has all routes within a second.
const SOME_AFTER: Millis = Millis(3_000);

/// Time without a request after which connections that are still open are taken for unused.
const QUIET: Millis = Millis(500);

/// Longest time for requests of other gates and for reports of orders to end at a stop; longer than
/// the longest default deadline.
const END_LIMIT: Millis = Millis(10_000);

/// Reads the settings, serves until a stop signal and returns the exit code.
#[must_use]
pub fn run_from_args() -> ExitCode {
    let settings = match settings().run_inner(bpaf::Args::current_args()) {
        Ok(settings) => settings,
        Err(ParseFailure::Stderr(text)) => {
            let text = text.monochrome(true);
            return exit_with(ResultCode::SettingInvalid, text.trim_end());
        }
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::SUCCESS;
        }
    };
    init_logs();
    match block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => exit_with(ResultCode::SettingInvalid, &e.to_string()),
    }
}

/// Serves until the process gets SIGTERM or SIGINT, and then stops without cutting a request.
///
/// # Errors
///
/// Returns a [`SettingError`] where a listener can't be opened.
pub async fn run(settings: Settings) -> Result<(), SettingError> {
    let callers = bind("callers", settings.callers)?;
    let inner = bind("inner", settings.inner)?;
    let observe = bind("observe", settings.observe)?;
    let gate = Gate::new(settings);
    let stop = gate.process.stop.clone();
    if let Err(e) = stop_on_signal(stop.clone()) {
        log::error!("signals can't be caught: {e}");
    }
    monoio::spawn(hosts::follow(Rc::clone(&gate)));
    monoio::spawn(config_task::follow(Rc::clone(&gate)));
    monoio::spawn(keep_up(Rc::clone(&gate)));
    monoio::spawn(keep_warm(Rc::clone(&gate)));
    let ends = CancellationToken::new();
    monoio::spawn(show(Rc::clone(&gate), observe, ends.clone()));
    let inner_stop = CancellationToken::new();
    let told = inner_stop.clone();
    monoio::spawn(serve(
        inner,
        PeerLimits::default(),
        Rc::new(Inner(Rc::clone(&gate))),
        async move { told.cancelled().await },
    ));
    let callers_stop = CancellationToken::new();
    let served = monoio::spawn(serve_callers(
        Rc::clone(&gate),
        callers,
        callers_stop.clone(),
    ));
    stop.cancelled().await;
    gate.process.events.record(EventKind::Leaving, "gate", "");
    gate.process
        .clock
        .sleep(gate.settings.limits.balancer_wait)
        .await;
    hand_over(&gate).await;
    callers_stop.cancel();
    let quiet = std::pin::pin!(wait_quiet(&gate));
    select(std::pin::pin!(served), quiet).await;
    wait_until(&gate, || gate.serving.get() == 0).await;
    inner_stop.cancel();
    wait_until(&gate, || gate.serving.get() == 0 && gate.closing.get() == 0).await;
    let serving = gate.serving.get();
    let all = &gate.process.invariants;
    all.check(Invariant::StopWhole, serving == 0, || {
        format!("serving={serving}")
    });
    gate.process.events.record(EventKind::Stopped, "gate", "");
    ends.cancel();
    Ok(())
}

async fn serve_callers(gate: Rc<Gate>, listener: TcpListener, stop: CancellationToken) {
    let limits = &gate.settings.limits;
    let limits = HttpLimits {
        head: limits.head,
        headers: limits.headers,
        head_time: limits.head_time,
        connections: limits.connections,
    };
    serve_http(listener, limits, stop, move |request, _| {
        caller::serve(Rc::clone(&gate), request)
    })
    .await;
}

async fn show(gate: Rc<Gate>, listener: TcpListener, stop: CancellationToken) {
    serve_http(listener, HttpLimits::default(), stop, move |request, _| {
        let answer = gate.process.observe(&request);
        async move { answer.unwrap_or_else(|| error_answer(ResultCode::UnknownService, "")) }
    })
    .await;
}

/// Hands the servers to other gates before callers are sent away, so that requests which still come
/// find a way. Where no other gate is listed there is nobody to hand them to.
async fn hand_over(gate: &Rc<Gate>) {
    gate.leaving.set(true);
    if gate.gates.borrow().is_empty() {
        return;
    }
    let end = gate.now() + gate.settings.limits.handover;
    while gate.now() < end && holds_servers(gate) {
        gate.process.clock.sleep(Millis(10)).await;
    }
}

fn holds_servers(gate: &Gate) -> bool {
    gate.shards().iter().any(|shard| {
        let table = shard.table.borrow();
        let mut routes = table.iter().flat_map(|t| &t.routes);
        routes.any(|r| r.via == Via::Own)
    })
}

/// Waits until nothing was served for a while. A caller that opened a connection and never sent a
/// request would otherwise hold the stop up for the whole time limit of a head.
async fn wait_quiet(gate: &Gate) {
    let mut since = gate.now();
    while gate.now().since(since) < QUIET {
        gate.process.clock.sleep(Millis(5)).await;
        if gate.serving.get() > 0 {
            since = gate.now();
        }
    }
}

async fn wait_until(gate: &Gate, done: impl Fn() -> bool) {
    let end = gate.now() + END_LIMIT;
    while gate.now() < end && !done() {
        gate.process.clock.sleep(Millis(5)).await;
    }
}

/// Looks after readiness, gauges and pauses of the process.
async fn keep_up(gate: Rc<Gate>) {
    let mut last = gate.now();
    let mut good = gate.now();
    let mut none = gate.now();
    loop {
        gate.process.clock.sleep(UPKEEP_EVERY).await;
        let now = gate.now();
        if now.since(last) > PAUSE_NOTICED {
            let detail = format!("ms={}", now.since(last).0);
            gate.process
                .events
                .record(EventKind::Paused, "gate", detail);
        }
        last = now;
        let (valid, all) = validity(&gate, now);
        if valid > 0 {
            good = now;
        } else {
            none = now;
        }
        let enough = valid == all || now.since(none) > SOME_AFTER;
        // A gate that lost some shards still serves the others; with every gate in the same state
        // the balancer would have none left.
        let ready = gate.process.is_ready();
        if enough && valid > 0 && !ready {
            gate.process.set_ready(true);
        } else if ready && now.since(good) > LOST_AFTER {
            gate.process.set_ready(false);
        }
        gate.check_routes(now);
        gate.check_speeds();
        measure(&gate);
    }
}

/// Counts the shards with valid routes, and all.
fn validity(gate: &Gate, now: Millis) -> (usize, usize) {
    let services = gate.services();
    let sections = services.entries().flat_map(|e| &e.shards);
    let (mut valid, mut all) = (0, 0);
    for shard in sections {
        all += 1;
        valid += usize::from(shard.routes(now).is_some());
    }
    for shard in &services.orders {
        all += 1;
        valid += usize::from(shard.is_valid(now));
    }
    (valid, all)
}

fn measure(gate: &Gate) {
    let servers = gate.servers.borrow();
    // Servers of a free service share a queue; each queue counts once.
    let mut lanes: Vec<_> = servers.values().map(|s| &s.lane).collect();
    lanes.sort_by_key(|l| Rc::as_ptr(l));
    lanes.dedup_by(|a, b| Rc::ptr_eq(a, b));
    let queued: usize = lanes.iter().map(|l| l.waiting()).sum();
    let pooled: u32 = servers.values().map(|s| s.pool.open()).sum();
    gate.counters.queued.set(queued as i64);
    gate.counters.pooled.set(i64::from(pooled));
}

/// Keeps connections open to the servers whose slots this gate holds. A new connection costs about
/// a millisecond, which a lookup must not wait for.
async fn keep_warm(gate: Rc<Gate>) {
    loop {
        let servers: Vec<_> = gate.servers.borrow().values().cloned().collect();
        for server in servers.into_iter().filter(|s| s.wants_connection()) {
            monoio::spawn(async move { server.warm().await });
        }
        gate.process.clock.sleep(WARM_EVERY).await;
    }
}
