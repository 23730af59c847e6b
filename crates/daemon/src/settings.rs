//! Settings of one daemon, parsed from YAML and fully validated before any socket is bound.

use std::path::Path;

use hornbeamloom_kernel::ids::Name;
use serde::Deserialize;

use crate::validation;

/// The settings of one daemon. Times may have fractions.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM, unique in the fleet.
    pub vm: Name,
    /// Availability zone of this VM.
    pub zone: Name,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses advertised to other VMs, where they differ from the listen addresses.
    #[serde(default)]
    pub advertise: Advertise,
    /// URLs of the platform's services.
    pub platform: Platform,
    /// Seed peers to contact at start, as `IP:port`.
    #[serde(default)]
    pub peers: Vec<Name>,
    /// Keys of operators and peers.
    pub keys: Keys,
    /// Log settings.
    #[serde(default)]
    pub log: Log,
    /// Time after SIGTERM during which new requests are still accepted, in seconds.
    #[serde(default = "default_settle_s")]
    pub settle_s: f64,
    /// Maximum duration of a graceful shutdown in seconds; unlimited if absent.
    #[serde(default)]
    pub shutdown_limit_s: Option<f64>,
    /// Limits on callers' requests and connections.
    #[serde(default)]
    pub limits: Limits,
    /// The adapter that replaces the native interface to callers, targets and the platform.
    #[serde(default)]
    pub adapter: Option<Adapter>,
}

impl Settings {
    /// Returns whether the daemon uses its native interface to callers, targets and the platform.
    pub fn uses_native_interface(&self) -> bool {
        self.adapter.is_none()
    }

    /// Returns whether the adapter `name` replaces the native interface.
    pub fn uses_adapter(&self, name: &str) -> bool {
        self.adapter.as_ref().is_some_and(|adapter| adapter.name == name)
    }

    /// Returns these settings with the values of `new` that can change without a restart.
    pub fn with_reloadable_from(&self, new: &Settings) -> Settings {
        Settings {
            keys: new.keys.clone(),
            log: new.log.clone(),
            limits: new.limits.clone(),
            ..self.clone()
        }
    }

    /// Returns the address to which other VMs forward callers' requests, as `IP:port`.
    pub(crate) fn caller_address(&self) -> &Name {
        self.advertise.callers.as_ref().unwrap_or(&self.listen.callers)
    }

    /// Returns the address at which peers open links to this VM, as `IP:port`.
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

/// Addresses advertised to other VMs, as `IP:port`; each defaults to the listen address.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Advertise {
    /// For callers' requests forwarded by another VM.
    pub callers: Option<Name>,
    /// For peers.
    pub peers: Option<Name>,
}

/// An adapter linked into the daemon, and its settings.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name under which the adapter is registered.
    pub name: String,
    /// Settings that the adapter parses and validates itself.
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

/// Access keys: the first of each list is presented to others, all of them are accepted.
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

/// Log settings.
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

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Time allowed for sending a request's header, in seconds.
    pub header_s: f64,
    /// Maximum number of open caller connections.
    pub connections: usize,
    /// Memory in bytes in which bodies are buffered; by default 24 MiB or twice `body_bytes`,
    /// whichever is more.
    pub buffer_bytes: Option<u64>,
    /// Maximum number of open connections of clients at all ports; by default half of the
    /// descriptors less a reserve, or what fits into `buffer_bytes`, whichever is less.
    pub open_connections: Option<usize>,
    /// Maximum number of open connections from one address; unlimited if absent.
    pub address_connections: Option<usize>,
    /// Maximum size of a request's head in bytes; an adapter may replace it.
    pub header_bytes: usize,
    /// Maximum number of header fields of a request.
    pub header_fields: usize,
    /// Period in seconds over which the progress of a body or response is measured.
    pub progress_s: f64,
    /// Minimum progress in bytes per second over each period.
    pub progress_bytes_per_s: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 1 << 20,
            header_s: 10.0,
            connections: 4096,
            buffer_bytes: None,
            open_connections: None,
            address_connections: None,
            header_bytes: 16 << 10,
            header_fields: 4096,
            progress_s: 10.0,
            progress_bytes_per_s: 512,
        }
    }
}

/// Fits into VMs with 88 MB of memory together with the rest of the process and with what the
/// allocator retains: the resident memory of buffers can be three times what they hold.
const DEFAULT_BUFFER_BYTES: u64 = 24 << 20;

impl Limits {
    /// Returns the limit of the account from which buffers for bodies are taken, in bytes.
    pub(crate) fn account_bytes(&self) -> usize {
        let default = DEFAULT_BUFFER_BYTES.max(2 * self.body_bytes);
        usize::try_from(self.buffer_bytes.unwrap_or(default)).unwrap_or(usize::MAX)
    }
}

fn default_settle_s() -> f64 {
    10.0
}

/// The reason why settings were rejected.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The file could not be read.
    #[error("cannot read the settings file: {0}")]
    Read(#[from] std::io::Error),
    /// The text is not valid YAML or does not match the schema.
    #[error("settings: {0}")]
    Parse(#[from] serde_yaml_ng::Error),
    /// A value is invalid.
    #[error("settings: {field}: {problem}")]
    Value {
        /// Path of the setting.
        field: &'static str,
        /// Description of the problem; never contains an access key.
        problem: String,
    },
}

/// Reads and validates a settings file.
pub fn read(path: &Path) -> Result<Settings, Error> {
    parse(&std::fs::read_to_string(path)?)
}

/// Parses and validates the text of a settings file.
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
