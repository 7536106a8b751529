//! The process from start to stop.

use std::process::ExitCode;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::KvStore;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::Process;
use chicoryrail_runtime::bind;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::exit_with;
use chicoryrail_runtime::init_logs;
use chicoryrail_runtime::serve_http;
use chicoryrail_runtime::stop_on_signal;
use monoio::net::TcpListener;

use crate::Access;
use crate::Admin;
use crate::Settings;
use crate::handle;
use crate::settings;

/// Bounds on operators and scrapers. Each connection may hold one body of a megabyte, so 128 of them
/// stay within what an entry host can spare.
const LIMITS: HttpLimits = HttpLimits {
    head: 16 << 10,
    headers: 64,
    head_time: Millis(15_000),
    connections: 128,
};

/// Runs the process; the entry point of the binary.
#[must_use]
pub fn main() -> ExitCode {
    let settings = match settings().run_inner(bpaf::Args::current_args()) {
        Ok(settings) => settings,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    init_logs();
    block_on(run(settings))
}

async fn run(settings: Settings) -> ExitCode {
    let tokens = match settings.tokens() {
        Ok(tokens) => tokens,
        Err(e) => return exit_with(ResultCode::SettingInvalid, &e.to_string()),
    };
    let process = Process::new(&settings.host.host, "chicoryrail-admin");
    if let Err(e) = stop_on_signal(process.stop.clone()) {
        return exit_with(ResultCode::Internal, &format!("signals: {e}"));
    }
    let listener = match bind("listen", settings.listen) {
        Ok(listener) => listener,
        Err(e) => return exit_with(ResultCode::SettingInvalid, &e.to_string()),
    };
    let store = KvStore::new(settings.store);
    let access = Access::new(settings.operators, tokens);
    let admin = Admin::new(
        process,
        store,
        access,
        settings.host.host,
        settings.host.list,
    );
    serve(listener, Rc::new(admin)).await;
    ExitCode::SUCCESS
}

/// Serves the API until the process is told to stop, and then until the last call is answered.
pub async fn serve(listener: TcpListener, admin: Rc<Admin<KvStore>>) {
    let process = admin.process.clone();
    process.set_ready(true);
    let stop = process.stop.clone();
    serve_http(listener, LIMITS, stop, move |request, _| {
        let admin = Rc::clone(&admin);
        async move { handle(&admin, request).await }
    })
    .await;
    process
        .events
        .record(EventKind::Stopped, "chicoryrail-admin", "");
}
