//! An operator's commands on a store that the test starts.
#![allow(dead_code, unreachable_pub)]

use std::path::PathBuf;

use chicoryctl::Command;
use chicoryctl::CtlError;
use chicoryctl::Settings;
use chicoryctl::execute;
use chicoryrail_platform::KvStore;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_testkit::Listener;
use chicoryrail_testkit::StoreOptions;
use chicoryrail_testkit::StoreServer;

/// A small configuration file.
pub const SITE: &str = r#"
[[service]]
name = "kits"
keyed = true
health = "/healthz"
connections = 120

[[route]]
name = "lookup"
host = "shop.example"
prefix = "/"
timeout_ms = 800
aim_ms = 300
services = [{ name = "kits" }]
"#;

/// Runs commands on a store that is empty at first.
pub struct Operator {
    pub store: KvStore,
}

impl Operator {
    pub fn start() -> Self {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let store = KvStore::new(listener.addr().unwrap());
        let server = StoreServer::new(StoreOptions::default());
        monoio::spawn(server.serve(listener, CancellationToken::new()));
        Self { store }
    }

    pub async fn run(&self, command: Command) -> Result<String, CtlError> {
        let settings = Settings {
            store: Some(self.store.addr()),
            json: false,
            command,
        };
        execute(&settings).await
    }
}

/// Writes a temporary file for this test; returns its path.
pub fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("ctl-{name}-{}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}
