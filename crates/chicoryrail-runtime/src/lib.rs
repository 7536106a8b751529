//! Runtime support for every chicoryrail process; it contains no routing policy.
//!
//! The crate provides start-up on monoio's `LegacyDriver`, the monotonic clock, cancellation, an HTTP server and
//! client, metrics, the bounded log and the parsing of settings.
//!
//! # Example
//!
//! ```
//! use chicoryrail_runtime::Clock;
//!
//! let seen = chicoryrail_runtime::block_on(async {
//!     let clock = Clock::start();
//!     clock.sleep(chicoryrail_core::Millis(2)).await;
//!     clock.now()
//! });
//! assert!(seen >= chicoryrail_core::Millis(2));
//! ```
//!
//! See [`Process`] for readiness and metrics, [`serve_http`] for a listener, and [`block_on`] with
//! [`stop_on_signal`] for the start and stop of a process.

mod bind;
mod body;
mod body_error;
mod body_send;
mod body_source;
mod busy_conn;
mod byte_budget;
mod call_client;
mod callers;
mod clock;
mod connect;
#[cfg(feature = "fault-injection")]
mod cut_paths;
mod discard;
mod framing;
mod guarded_body;
mod head_limit;
mod held_bytes;
mod hop_by_hop;
mod host_pool;
mod http_client;
mod invariant;
mod invariants;
mod json;
mod log_sink;
mod metrics;
mod process;
mod replay_buffer;
mod request_body;
mod request_tag;
mod send_attempt;
mod send_report;
mod send_window;
mod server_conn;
mod server_pool;
mod settings;
mod signal;
mod start;
mod upload_flow;
mod work_pacer;

pub use bind::bind_listener;
pub use body::Body;
pub use body::collect_body;
pub use body::empty_body;
pub use body::full_body;
pub use body_error::BodyError;
pub use body_send::BodySend;
pub use body_send::BodySpent;
pub use busy_conn::BusyConn;
pub use byte_budget::ByteBudget;
pub use call_client::CallClient;
pub use callers::HeadScanner;
pub use callers::HttpLimits;
pub use callers::OpenConnections;
pub use callers::ScannedHead;
pub use callers::SharedLimits;
pub use callers::serve_http;
pub use callers::serve_http_shared;
pub use clock::Clock;
pub use connect::check_address;
pub use connect::is_path_lost;
#[cfg(feature = "fault-injection")]
pub use cut_paths::CUT_FILE_VARIABLE;
pub use discard::discard_body;
pub use framing::frame_request;
pub use framing::frame_response;
pub use framing::has_known_coding;
pub use framing::has_two_framings;
pub use guarded_body::guard_body;
pub use held_bytes::HeldBytes;
pub use hop_by_hop::strip_hop_by_hop;
pub use host_pool::HostPool;
pub use http_client::HttpClient;
pub use http_client::HttpError;
pub use http_client::ResponseTimeouts;
pub use http_client::is_connection_close;
pub use invariant::Invariant;
pub use invariants::Invariants;
pub use json::error_response;
pub use json::json_response;
pub use log_sink::LogSink;
pub use metrics::Metrics;
pub use process::Process;
pub use request_body::RequestBody;
pub use request_tag::RequestTag;
pub use send_report::SendEnd;
pub use send_report::SendObserver;
pub use send_report::SendReport;
pub use send_window::SendWindow;
pub use server_conn::ServerConn;
pub use server_pool::ServerPool;
pub use settings::SettingError;
pub use settings::parse_args;
pub use settings::setting_parser;
pub use settings::switch_parser;
pub use signal::ChangeSignal;
pub use start::ReloadSignals;
pub use start::block_on;
pub use start::exit_with_error;
pub use start::init_logs;
pub use start::reload_signals;
pub use start::stop_on_signal;
pub use tokio_util::sync::CancellationToken;
pub use upload_flow::UploadFlow;
pub use upload_flow::UploadLimits;
pub use work_pacer::WorkPacer;
