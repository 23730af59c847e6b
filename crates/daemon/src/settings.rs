//! Settings of one daemon, read from YAML and checked whole before anything is bound.

use std::path::Path;

use hornbeamloom_kernel::ids::Name;
use serde::Deserialize;

use crate::validation;

/// Everything that a daemon is told at its start.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM, unique in the fleet.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses told to other VMs where they differ from the listen addresses.
    #[serde(default)]
    pub advertise: Advertise,
    /// The platform's services.
    pub platform: Platform,
    /// Peers to contact first, as `IP:port`.
    #[serde(default)]
    pub peers: Vec<Name>,
    /// Keys of operators and peers.
    pub keys: Keys,
    /// Logging.
    #[serde(default)]
    pub log: Log,
    /// Time after SIGTERM in which new requests are still accepted, in seconds.
    #[serde(default = "default_settle_s")]
    pub settle_s: u64,
    /// Longest graceful shutdown in seconds; unlimited if absent.
    #[serde(default)]
    pub shutdown_limit_s: Option<u64>,
    /// Limits on what callers may send.
    #[serde(default)]
    pub limits: Limits,
    /// The adapter that speaks to callers, targets and the platform in place of the own ones.
    #[serde(default)]
    pub adapter: Option<Adapter>,
}

impl Settings {
    /// Whether callers, targets and the platform are spoken to by the daemon's own interface.
    pub fn uses_native_interface(&self) -> bool {
        self.adapter.is_none()
    }

    /// Whether the adapter `name` speaks to them.
    pub fn uses_adapter(&self, name: &str) -> bool {
        self.adapter.as_ref().is_some_and(|adapter| adapter.name == name)
    }

    /// These settings with everything of `new` that can change without a restart.
    pub fn with_reloadable_from(&self, new: &Settings) -> Settings {
        Settings {
            keys: new.keys.clone(),
            log: new.log.clone(),
            limits: new.limits.clone(),
            ..self.clone()
        }
    }

    /// Where other VMs send what callers ask of this VM, as `IP:port`.
    pub(crate) fn caller_address(&self) -> &Name {
        self.advertise.callers.as_ref().unwrap_or(&self.listen.callers)
    }

    /// Where peers open links to this VM, as `IP:port`.
    pub(crate) fn peer_address(&self) -> &Name {
        self.advertise.peers.as_ref().unwrap_or(&self.listen.peers)
    }
}

/// Addresses to listen on, as `IP:port`.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: Name,
    /// For operators.
    pub operators: Name,
    /// For peers.
    pub peers: Name,
}

/// Addresses told to other VMs, as `IP:port`; the listen addresses where absent.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Advertise {
    /// For callers' requests that another VM forwards.
    pub callers: Option<Name>,
    /// For peers.
    pub peers: Option<Name>,
}

/// An adapter that is linked into the daemon, and its own settings.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Its registered name.
    pub name: String,
    /// What it reads and checks itself.
    #[serde(default)]
    pub settings: serde_yaml_ng::Value,
}

/// Base URLs of the platform's services.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The transactional table.
    pub table: Name,
    /// The object store.
    pub objects: Name,
    /// The list of VMs.
    pub vms: Name,
}

/// Keys; the first of each list is presented, all are accepted.
#[derive(Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Operator keys.
    pub operator: Vec<String>,
    /// Peer keys.
    pub peer: Vec<String>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Keys(..)")
    }
}

/// Logging.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: "info".to_owned() }
    }
}

/// Limits on what callers may send.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body in bytes.
    pub body_bytes: u64,
    /// Time to send a request's header, in seconds.
    pub header_s: u64,
    /// Open caller connections.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { body_bytes: 1 << 20, header_s: 10, connections: 4096 }
    }
}

fn default_settle_s() -> u64 {
    10
}

/// The settings cannot be used.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The file could not be read.
    #[error("cannot read the settings file: {0}")]
    Read(#[from] std::io::Error),
    /// The text is not a settings file.
    #[error("settings: {0}")]
    Parse(#[from] serde_yaml_ng::Error),
    /// A value cannot be used.
    #[error("settings: {field}: {problem}")]
    Value {
        /// The setting.
        field: &'static str,
        /// What is wrong with it; never the value of a key.
        problem: String,
    },
}

/// Reads and checks a settings file.
pub fn read(path: &Path) -> Result<Settings, Error> {
    parse(&std::fs::read_to_string(path)?)
}

/// Reads and checks the text of a settings file.
///
/// ```
/// let error = hornbeamloom_daemon::settings::parse("vm: a\nvn: b\n").unwrap_err();
/// assert!(error.to_string().contains("vn"));
/// ```
///
/// ```
/// use hornbeamloom_daemon::settings;
///
/// assert!(settings::parse("vm: entry-a1").is_err());
/// ```
pub fn parse(text: &str) -> Result<Settings, Error> {
    let settings: Settings = serde_yaml_ng::from_str(text)?;
    validation::check_settings(&settings)?;
    Ok(settings)
}
