//! Start and stop of the controller.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::Process;
use chicoryrail_runtime::SettingError;
use chicoryrail_runtime::bind;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::serve_http;
use chicoryrail_runtime::stop_on_signal;
use chicoryrail_wire::PeerLimits;

use crate::Controller;
use crate::Settings;

/// Longest time in which a stopping controller hands its shards on.
const HAND_ON: Millis = Millis(4_000);

/// Runs a controller until it is told to stop and has handed its shards on.
///
/// # Errors
///
/// Returns the flag and the value of an address that can't be listened at.
pub async fn run(settings: Settings) -> Result<(), SettingError> {
    let process = Process::new(&settings.host.host, "chicoryrail-controller");
    if let Err(e) = stop_on_signal(process.stop.clone()) {
        log::error!("signals can't be caught: {e}");
    }
    run_process(settings, process).await
}

/// Runs a controller in a given process frame, whose token stops it.
///
/// # Errors
///
/// Returns the flag and the value of an address that can't be listened at.
pub async fn run_process(settings: Settings, process: Process) -> Result<(), SettingError> {
    let inner = bind("inner", settings.inner)?;
    let observe = bind("observe", settings.observe)?;
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
