//! Start and stop of the controller.

use std::io;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::Process;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::serve_http;
use chicoryrail_runtime::stop_on_signal;
use chicoryrail_wire::PeerLimits;
use monoio::net::TcpListener;

use crate::Controller;
use crate::Settings;

/// Longest time in which a stopping controller hands its shards on.
const HAND_ON: Millis = Millis(4_000);

/// Runs a controller until it is told to stop and has handed its shards on.
///
/// # Errors
///
/// Returns the system's error where an address can't be listened at.
pub async fn run(settings: Settings) -> io::Result<()> {
    let process = Process::new(&settings.host.host, "chicoryrail-controller");
    stop_on_signal(process.stop.clone())?;
    run_process(settings, process).await
}

/// Runs a controller in a given process frame, whose token stops it.
///
/// # Errors
///
/// Returns the system's error where an address can't be listened at.
pub async fn run_process(settings: Settings, process: Process) -> io::Result<()> {
    let inner = TcpListener::bind(settings.inner)?;
    let observe = TcpListener::bind(settings.observe)?;
    let controller = Controller::new(settings, process.clone());
    let done = process.stop.child_token();
    let ended = chicoryrail_runtime::CancellationToken::new();
    let frame = process.clone();
    monoio::spawn(serve_http(
        observe,
        HttpLimits::default(),
        ended.clone(),
        move |request, _| {
            let answer = frame
                .observe(&request)
                .unwrap_or_else(|| error_answer(ResultCode::UnknownService, ""));
            async move { answer }
        },
    ));
    let stopped = ended.clone();
    monoio::spawn(chicoryrail_wire::serve(
        inner,
        PeerLimits::default(),
        Rc::clone(&controller),
        async move { stopped.cancelled().await },
    ));
    monoio::spawn(crate::members::follow_list(Rc::clone(&controller)));
    monoio::spawn(crate::config::follow(Rc::clone(&controller)));
    monoio::spawn(crate::keep::keep(Rc::clone(&controller)));
    monoio::spawn(crate::deputy::keep_sessions(Rc::clone(&controller)));
    monoio::spawn(crate::claims::claim_all(Rc::clone(&controller)));
    done.cancelled().await;
    process.events.record(EventKind::Leaving, "controller", "");
    controller.leaving.set(true);
    let handed = crate::claims::hand_on(&controller);
    let _ = monoio::time::timeout(HAND_ON.duration(), handed).await;
    ended.cancel();
    // Calls that are open get their replies before the process ends.
    process.clock.sleep(Millis(200)).await;
    process.events.record(EventKind::Stopped, "controller", "");
    Ok(())
}
