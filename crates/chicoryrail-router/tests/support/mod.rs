//! Test environment: real router processes between a simulated platform store and simulated servers.
#![allow(dead_code, unreachable_pub, unused_imports)]

mod raw_server;
mod reader;
mod scripted_server;
mod seen;
mod server;
mod world;

pub use raw_server::Early;
pub use raw_server::End;
pub use raw_server::RawServer;
pub use raw_server::Received;
pub use raw_server::response;
pub use raw_server::response_with_body;
pub use reader::Reader;
pub use reader::chunk;
pub use reader::connect_with;
pub use reader::field;
pub use reader::numbered_body;
pub use reader::send_slowly;
pub use scripted_server::RawRequest;
pub use scripted_server::serve_raw;
pub use seen::Seen;
pub use seen::read_response;
pub use server::Mode;
pub use server::Server;
pub use world::Caller;
pub use world::Cut;
pub use world::RouterProcess;
pub use world::World;
pub use world::fleet_member;
pub use world::ready_member;
pub use world::wait_until;
