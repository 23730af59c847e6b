//! Daemons on a stand-in of the users' platform: a store, engines, and real processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{json, Value};

use crate::cluster::free_addresses;
use crate::mock_engine::{Engine, RequestLog};
use crate::mock_store::Store;
use crate::process::Process;
use crate::role::Error;

/// Header of the caller's attempt.
pub const ATTEMPT: &str = "x-attempt-id";

/// Time within which a key that was taken away is refused, in milliseconds, as on the platform's
/// sites.
const REVOCATION_MS: u64 = 5_000;

/// Time within which configurations are in force and leaving targets get no more work, in
/// milliseconds, as on the platform's sites.
const NEWS_MS: u64 = 2_000;

/// One running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// The process.
    pub process: Process,
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub readiness: SocketAddr,
}

/// What a test of the platform's adapter runs against.
#[derive(Debug)]
pub struct Fleet {
    /// The store.
    pub store: Store,
    /// Everything that reached engines.
    pub journal: RequestLog,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// Part of memory in use below which generations have a standby; for daemons started later.
    pub standby_percent: u32,
    program: PathBuf,
    folder: PathBuf,
    peers: Vec<SocketAddr>,
}

/// An entry of a target as the platform's pages give it.
pub fn entry(engine: &Engine, service: &str, zone: &str, state: &str) -> Value {
    json!({
        "service": service, "address": engine.address().to_string(), "zone": zone,
        "version": "v1", "slots": 24, "state": state, "cold_remaining_ms": 0, "born": 1,
        "sequence": 1,
    })
}

/// A route of the configuration, under `host.example`.
pub fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": "host.example", "path_prefix": format!("/{name}/"), "type": kind,
        "timeout_ms": 20_000, "target_latency_ms": 4_000, "priority": 1, "service": service,
        "max_attempts": 2, "public": false, "sticky": kind == "streaming", "resumable": false,
    })
}

/// A configuration with a model service `model`, a plain one `desk`, and routes to both: `draft`
/// streams, `order` may not be repeated, `look` may.
pub fn config(version: u64, keys: &[&str]) -> Value {
    json!({
        "version": version,
        "routes": [
            route("draft", "streaming", "model"),
            route("order", "non_idempotent", "desk"),
            route("look", "idempotent", "desk"),
        ],
        "services": [
            {"name": "model", "health_path": "/healthz", "max_connections": 100,
             "cold_start_s": 1.0, "cold_per_s": 40.0,
             "backend": {"slots": 24, "kv_capacity_tokens": 100_000, "kv_token_bytes": 1,
                         "moves": true, "backups": true, "stride": 4}},
            {"name": "desk", "health_path": "/healthz", "max_connections": 100,
             "cold_start_s": 0.0, "cold_per_s": 0.0},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100_000,
                   "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "parlour", "api_keys": keys, "priority": 1}],
    })
}

impl Fleet {
    /// A store without rows and no daemon; `folder` takes settings and logs.
    ///
    /// # Errors
    ///
    /// The store does not start or the folder cannot be made.
    pub async fn new(program: &Path, folder: &Path) -> Result<Fleet, Error> {
        std::fs::create_dir_all(folder)?;
        Ok(Fleet {
            store: Store::start().await?,
            journal: RequestLog::new(),
            daemons: Vec::new(),
            standby_percent: 0,
            program: program.to_owned(),
            folder: folder.to_owned(),
            peers: Vec::new(),
        })
    }

    /// Writes the operator's configuration.
    pub fn configure(&self, config: &Value) {
        self.store.put("op", "config", config.to_string().as_bytes());
    }

    /// Writes the entry of a target.
    pub fn list(&self, engine: &Engine, service: &str, zone: &str, state: &str) {
        let entry = entry(engine, service, zone, state).to_string();
        self.store.put("servers", engine.name(), entry.as_bytes());
    }

    /// Starts an engine and writes its entry.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn engine(
        &self,
        name: &str,
        service: &str,
        zone: &str,
        interval: Duration,
    ) -> Result<Engine, Error> {
        let copy = Duration::from_millis(100);
        let engine = Engine::start(name, &self.journal, interval, copy).await?;
        self.list(&engine, service, zone, "ready");
        Ok(engine)
    }

    /// Starts a daemon in a zone of one region.
    ///
    /// # Errors
    ///
    /// Its settings cannot be written or the process does not start.
    pub fn start_daemon(&mut self, vm: &str, zone: &str) -> Result<(), Error> {
        let addresses = free_addresses(4)?;
        let seeds: Vec<String> = self.peers.iter().take(3).map(ToString::to_string).collect();
        let platform = format!("http://{}", self.store.address());
        let settings = json!({
            "vm": vm,
            "zone": zone,
            "listen": {
                "callers": addresses[0].to_string(),
                "operators": addresses[1].to_string(),
                "peers": addresses[2].to_string(),
            },
            "platform": {"table": platform, "objects": platform, "vms": platform},
            "peers": seeds,
            "keys": {"operator": ["operator"], "peer": ["peer"]},
            "settle_s": 1,
            "adapter": {
                "name": "fleet",
                "settings": {
                    "readiness": addresses[3].to_string(),
                    "zones": {"a": "region", "b": "region"},
                    "retries": {"ratio": 0.2, "slack": 50},
                    "standby_percent": self.standby_percent,
                    "revocation_ms": REVOCATION_MS,
                    "config_apply_ms": NEWS_MS,
                    "drain_ms": NEWS_MS,
                },
            },
        });
        let path = self.folder.join(format!("{vm}.yaml"));
        let text = serde_yaml_ng::to_string(&settings)
            .map_err(|error| Error::Failed(error.to_string()))?;
        std::fs::write(&path, text)?;
        let log = self.folder.join(format!("{vm}.log"));
        let settings = path.display().to_string();
        let process = Process::start_logged(&self.program, vm, &["--config", &settings], &log)?;
        self.peers.push(addresses[2]);
        self.daemons.push(Daemon { process, callers: addresses[0], readiness: addresses[3] });
        Ok(())
    }
}
