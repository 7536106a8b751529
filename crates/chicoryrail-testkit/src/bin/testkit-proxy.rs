//! Runs the fault-injecting TCP proxy for one link.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::collect_body;
use chicoryrail_runtime::error_response;
use chicoryrail_runtime::exit_with_error;
use chicoryrail_runtime::json_response;
use chicoryrail_testkit::Link;
use chicoryrail_testkit::ProxyNet;
use chicoryrail_testkit::run_stand_in;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;

/// Maximum size of the body of a control request, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

#[derive(Clone, Debug)]
struct Settings {
    listen: SocketAddr,
    upstream: SocketAddr,
    control: SocketAddr,
    seed: u64,
}

fn settings() -> Settings {
    let addr = |flag: &'static str, env: &'static str, help: &'static str| {
        long(flag)
            .env(env)
            .help(help)
            .argument::<SocketAddr>("ADDR")
    };
    let listen = addr(
        "listen",
        "CHICORYRAIL_TESTKIT_LISTEN",
        "IP address and port that callers connect to",
    );
    let upstream = addr(
        "upstream",
        "CHICORYRAIL_TESTKIT_UPSTREAM",
        "IP address and port of the process that the link forwards to",
    );
    let control = addr(
        "control",
        "CHICORYRAIL_TESTKIT_CONTROL",
        "IP address and port for PUT /fault (JSON), DELETE /fault, POST /reset, GET /stats",
    );
    let seed = long("seed")
        .env("CHICORYRAIL_TESTKIT_SEED")
        .help("Seed for random delays (jitter)")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback();
    construct!(Settings {
        listen,
        upstream,
        control,
        seed
    })
    .to_options()
    .descr("Runs a fault-injecting TCP proxy for one link")
    .run()
}

async fn handle_control(link: Link, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::PUT, "/fault") => {
            let body = collect_body(request.into_body(), MAX_BODY_BYTES).await;
            match serde_json::from_slice(&body.unwrap_or_default()) {
                Ok(fault) => link.set_fault(fault),
                Err(e) => return error_response(400, &format!("fault: {e}")),
            }
        }
        (Method::DELETE, "/fault") => link.clear_fault(),
        (Method::POST, "/reset") => link.reset_connections(),
        (Method::GET, "/stats") => return json_response(200, &link.stats()),
        _ => return error_response(400, "unknown control request"),
    }
    json_response(200, &link.fault())
}

fn main() -> ExitCode {
    let settings = settings();
    let mut net = ProxyNet::start(settings.seed);
    let link = match net.link_at("link", settings.listen, settings.upstream) {
        Ok(link) => link,
        Err(e) => {
            let text = format!("--listen = {}: {e}", settings.listen);
            return exit_with_error(&text);
        }
    };
    run_stand_in("control", settings.control, |listener, stop| {
        listener.serve(stop, move |request| {
            let link = link.clone();
            async move { Ok(handle_control(link, request).await) }
        })
    })
}
