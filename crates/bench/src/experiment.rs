//! The description of an experiment, read from YAML.

use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::role::Error;

/// An experiment: a cluster, its load and what happens meanwhile.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the record.
    pub name: String,
    /// Seed of arrivals, lengths and organisations.
    pub seed: u64,
    /// Time before samples count, in seconds.
    pub warmup_s: u64,
    /// Time in which samples count, in seconds.
    pub duration_s: u64,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Services with their targets.
    pub services: Vec<Service>,
    /// Organisations.
    pub organisations: Vec<Organisation>,
    /// Kinds of request.
    pub traffic: Vec<TrafficClass>,
    /// Things that happen, by time since the start of the samples.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Configurations to run one after another on the same load.
    pub variants: Vec<Variant>,
}

/// An availability zone.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Daemons in it.
    pub daemons: u32,
}

/// A service.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Specification of the resource.
    pub spec: Value,
    /// Targets in each zone, in the order of the zones.
    pub targets: Vec<u32>,
    /// Arguments of the stand-ins.
    #[serde(default)]
    pub arguments: Vec<String>,
    /// Further fields of the targets' specification.
    #[serde(default)]
    #[serde(rename = "target")]
    pub target_spec: Value,
}

/// An organisation.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Its part of the load, relative to the others.
    #[serde(rename = "load")]
    pub load_weight: f64,
}

/// How a request is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestType {
    /// A streamed completion.
    Completion,
    /// A POST with an idempotency key.
    #[serde(rename = "once")]
    IdempotentPost,
    /// A GET.
    #[serde(rename = "read")]
    Get,
}

/// A kind of request.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficClass {
    /// Its name.
    pub name: String,
    /// The service called.
    pub service: String,
    /// How it is made.
    #[serde(rename = "form")]
    pub request_type: RequestType,
    /// Arrivals a second over all organisations.
    pub rate: f64,
    /// Prompt length in tokens.
    #[serde(default)]
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// Median output length in tokens.
    #[serde(default)]
    #[serde(rename = "median")]
    pub median_tokens: f64,
    /// Spread of the logarithm of the output length.
    #[serde(default)]
    pub sigma: f64,
    /// Longest output in tokens.
    #[serde(default)]
    #[serde(rename = "longest")]
    pub max_tokens: f64,
}

/// Something that happens during an experiment.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Seconds since the samples started.
    pub at_s: f64,
    /// What happens.
    pub action: Action,
}

/// What can happen.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Operators take a zone out.
    Drain(String),
    /// Operators bring a zone back.
    Restore(String),
    /// A target's process dies.
    Kill(String),
    /// A dead target starts again.
    Restart(String),
    /// A target turns cold without notice, for so many seconds.
    Cold(String, f64),
    /// The platform's services are out, for so many seconds.
    Outage(f64),
}

/// A configuration to run.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// Specification of the `default` configuration.
    #[serde(default)]
    pub configuration: Value,
    /// Send the load straight to the targets instead.
    #[serde(default)]
    pub direct: bool,
}

/// Reads an experiment.
///
/// # Errors
///
/// The file cannot be read, or a field is unknown, missing or of another type.
pub fn read(path: &Path) -> Result<Experiment, Error> {
    let text = std::fs::read_to_string(path)?;
    serde_yaml_ng::from_str(&text)
        .map_err(|error| Error::Usage(format!("{}: {error}", path.display())))
}
