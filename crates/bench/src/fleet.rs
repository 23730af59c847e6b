//! Runs daemon processes against a stand-in for the users' platform: a store and engines.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{json, Value};

use crate::cluster::free_addresses;
use crate::mock_engine::{Engine, RequestLog};
use crate::mock_store::Store;
use crate::process::Process;
use crate::role::Error;

/// Request header with the id of the caller's attempt.
pub const ATTEMPT_ID_HEADER: &str = "x-attempt-id";

/// Time within which a revoked key must be refused, in milliseconds, as on the platform's sites.
const REVOCATION_MS: u64 = 5_000;

/// Time within which a configuration must be in force and a leaving target gets no more work, in
/// milliseconds, as on the platform's sites.
const CHANGE_APPLY_MS: u64 = 2_000;

/// Largest share of requests that a new version may get, as on the platform's sites.
const CANARY_SHARE: f64 = 0.1;
/// Time within which a bad version gets no more requests, in milliseconds, as on the platform's sites.
const ROLLBACK_MS: u64 = 5_000;

/// One running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// The daemon's process.
    pub process: Process,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address of the readiness probe.
    pub readiness_address: SocketAddr,
}

/// The processes and stand-ins that a test of the platform's adapter runs against.
#[derive(Debug)]
pub struct Fleet {
    /// The store that holds the configuration and the target entries.
    pub store: Store,
    /// Record of the requests that reached engines.
    pub request_log: RequestLog,
    /// The daemons, in the order of their start.
    pub daemons: Vec<Daemon>,
    /// KV memory in use, in percent, below which generations are copied to a standby; applies to
    /// daemons that are started later.
    pub standby_percent: u32,
    /// How streams are admitted; applies to daemons that are started later.
    pub admission: &'static str,
    /// The adapter setting `placement`; applies to daemons that are started later.
    pub placement: Value,
    /// Limit of the daemons' shutdown in seconds; applies to daemons that are started later.
    pub shutdown_limit_s: Option<u64>,
    /// Memory in bytes in which the daemons buffer bodies; applies to daemons that are started later.
    pub buffer_bytes: Option<u64>,
    /// Whether version roll-outs are enabled; applies to daemons that are started later.
    pub has_rollouts: bool,
    daemon_binary: PathBuf,
    dir: PathBuf,
    peer_addresses: Vec<SocketAddr>,
}

/// A target entry in the format of the platform.
pub fn target_entry(engine: &Engine, service: &str, zone: &str, state: &str) -> Value {
    target_entry_at(&engine.address().to_string(), service, zone, state)
}

fn target_entry_at(address: &str, service: &str, zone: &str, state: &str) -> Value {
    json!({
        "service": service, "address": address, "zone": zone,
        "version": "v1", "slots": 24, "state": state, "cold_remaining_ms": 0, "born": 1,
        "sequence": 1,
    })
}

/// A route of the configuration, for `/NAME/` on `host.example`.
pub fn route_entry(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": "host.example", "path_prefix": format!("/{name}/"), "type": kind,
        "timeout_ms": 20_000, "target_latency_ms": 4_000, "priority": 1, "service": service,
        "max_attempts": 2, "public": false, "sticky": kind == "streaming", "resumable": false,
    })
}

/// A configuration with a model service `model`, a plain service `desk` and three routes: `draft`
/// streams, `order` is not idempotent, `look` is.
pub fn config(version: u64, keys: &[&str]) -> Value {
    json!({
        "version": version,
        "routes": [
            route_entry("draft", "streaming", "model"),
            route_entry("order", "non_idempotent", "desk"),
            route_entry("look", "idempotent", "desk"),
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
    /// Starts an empty store and no daemon; settings and logs are written to `dir`.
    ///
    /// # Errors
    ///
    /// The store does not start or the directory cannot be created.
    pub async fn new(daemon_binary: &Path, dir: &Path) -> Result<Fleet, Error> {
        std::fs::create_dir_all(dir)?;
        Ok(Fleet {
            store: Store::start().await?,
            request_log: RequestLog::new(),
            daemons: Vec::new(),
            standby_percent: 0,
            admission: "fair",
            placement: json!({}),
            shutdown_limit_s: None,
            buffer_bytes: None,
            has_rollouts: false,
            daemon_binary: daemon_binary.to_owned(),
            dir: dir.to_owned(),
            peer_addresses: Vec::new(),
        })
    }

    /// The log of a daemon so far; empty before it starts.
    pub fn log(&self, vm: &str) -> String {
        std::fs::read_to_string(self.dir.join(format!("{vm}.log"))).unwrap_or_default()
    }

    /// The directory with settings and logs.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Writes the operator's configuration to the store.
    pub fn put_config(&self, config: &Value) {
        self.store.put("op", "config", config.to_string().as_bytes());
    }

    /// Writes the entry of a target that refuses connections to the store.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn put_unreachable_target(
        &self,
        name: &str,
        service: &str,
        zone: &str,
    ) -> Result<(), Error> {
        let address = free_addresses(1)?.remove(0).to_string();
        let entry = target_entry_at(&address, service, zone, "ready").to_string();
        self.store.put("servers", name, entry.as_bytes());
        Ok(())
    }

    /// Writes the entry of a target to the store.
    pub fn put_target(&self, engine: &Engine, service: &str, zone: &str, state: &str) {
        let entry = target_entry(engine, service, zone, state).to_string();
        self.store.put("servers", engine.name(), entry.as_bytes());
    }

    /// Writes the entry of a target that runs `version` to the store.
    pub fn put_version(&self, engine: &Engine, service: &str, zone: &str, version: &str) {
        let mut entry = target_entry(engine, service, zone, "ready");
        entry["version"] = version.into();
        self.store.put("servers", engine.name(), entry.to_string().as_bytes());
    }

    /// Orders the roll-out of a service to `version`.
    pub fn order_rollout(&self, service: &str, version: &str, duration_s: u64) {
        let order = json!({"service": service, "to": version, "duration_s": duration_s});
        self.store.put("op", &format!("rollout/{service}"), order.to_string().as_bytes());
    }

    /// The state that the system reports of the roll-out of a service, and its version.
    pub fn rollout_status(&self, service: &str) -> Option<(String, String)> {
        let key = format!("rollout/{service}");
        let (_, value) = self.store.table("status").into_iter().find(|(row, _)| *row == key)?;
        let status: Value = serde_json::from_slice(&value).ok()?;
        let text = |field: &str| status[field].as_str().map(str::to_owned);
        Some((text("state")?, text("to")?))
    }

    /// Starts an engine and writes its entry to the store, in state `ready`.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start_engine(
        &self,
        name: &str,
        service: &str,
        zone: &str,
        event_interval: Duration,
    ) -> Result<Engine, Error> {
        let copy_duration = Duration::from_millis(100);
        let engine = Engine::start(name, &self.request_log, event_interval, copy_duration).await?;
        self.put_target(&engine, service, zone, "ready");
        Ok(engine)
    }

    /// Starts a daemon in zone `a` or `b`, which belong to one region.
    ///
    /// # Errors
    ///
    /// Its settings cannot be written or the process does not start.
    pub fn start_daemon(&mut self, vm: &str, zone: &str) -> Result<(), Error> {
        let addresses = free_addresses(4)?;
        let seeds: Vec<String> =
            self.peer_addresses.iter().take(3).map(ToString::to_string).collect();
        let platform = format!("http://{}", self.store.address());
        let mut settings = json!({
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
            "shutdown_limit_s": self.shutdown_limit_s,
            "limits": {"buffer_bytes": self.buffer_bytes},
            "adapter": {
                "name": "fleet",
                "settings": {
                    "readiness": addresses[3].to_string(),
                    "zones": {"a": "region", "b": "region"},
                    "retries": {"ratio": 0.2, "slack": 50},
                    "standby_percent": self.standby_percent,
                    "admission": self.admission,
                    "placement": self.placement,
                    "revocation_ms": REVOCATION_MS,
                    "config_apply_ms": CHANGE_APPLY_MS,
                    "drain_ms": CHANGE_APPLY_MS,
                },
            },
        });
        if self.has_rollouts {
            settings["adapter"]["settings"]["rollout"] =
                json!({"share": CANARY_SHARE, "tolerance": 50, "rollback_ms": ROLLBACK_MS});
        }
        let path = self.dir.join(format!("{vm}.yaml"));
        let text = serde_yaml_ng::to_string(&settings)
            .map_err(|error| Error::Failed(error.to_string()))?;
        std::fs::write(&path, text)?;
        let log = self.dir.join(format!("{vm}.log"));
        let settings = path.display().to_string();
        let process =
            Process::start_logged(&self.daemon_binary, vm, &["--config", &settings], &log)?;
        self.peer_addresses.push(addresses[2]);
        self.daemons.push(Daemon {
            process,
            caller_address: addresses[0],
            readiness_address: addresses[3],
        });
        Ok(())
    }
}
