//! Serves callers' connections: limits on their use of the listener, and pipelined requests.

mod caller_io;
mod connection;
mod head_scanner;
mod http_server;
mod linger;
mod pipeline;
mod reset_on_close;

pub use head_scanner::HeadScanner;
pub use head_scanner::ScannedHead;
pub use http_server::HttpLimits;
pub use http_server::OpenConnections;
pub use http_server::SharedLimits;
pub use http_server::serve_http;
pub use http_server::serve_http_shared;
