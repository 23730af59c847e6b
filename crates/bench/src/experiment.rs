//! The specification of an experiment, read from YAML.

use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::role::Error;

/// An experiment: a cluster, its load and the events during the run.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment and of its output files.
    pub name: String,
    /// Seed of the arrivals, output lengths and organisations of requests.
    pub seed: u64,
    /// Duration of the load before requests are counted, in seconds.
    pub warmup_s: u64,
    /// Duration of the load in which requests are counted, in seconds.
    pub duration_s: u64,
    pub zones: Vec<Zone>,
    pub services: Vec<Service>,
    pub organisations: Vec<Organisation>,
    /// Classes of requests that make up the load.
    pub traffic: Vec<TrafficClass>,
    /// Events during the run.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Configurations that are run one after another with the same load.
    pub variants: Vec<Variant>,
}

/// An availability zone and its daemons.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub name: String,
    pub region: String,
    /// Number of daemons.
    pub daemons: u32,
}

/// A service and its targets.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub name: String,
    /// Specification of the service resource.
    pub spec: Value,
    /// Number of targets in each zone, in the order of the zones.
    pub targets: Vec<u32>,
    /// Additional arguments of the stand-ins.
    #[serde(default)]
    pub arguments: Vec<String>,
    /// Additional fields of the targets' specification.
    #[serde(default)]
    #[serde(rename = "target")]
    pub target_spec: Value,
}

/// An organisation and its part of the load.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    pub name: String,
    /// Weight with which requests are assigned to this organisation.
    #[serde(rename = "load")]
    pub load_weight: f64,
}

/// The form of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestType {
    /// A streamed completion.
    Completion,
    /// A POST to a plain service, with an idempotency key.
    #[serde(rename = "once")]
    IdempotentPost,
    /// A GET from a plain service.
    #[serde(rename = "read")]
    Get,
}

/// A class of requests.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficClass {
    pub name: String,
    /// Service that receives the requests.
    pub service: String,
    #[serde(rename = "form")]
    pub request_type: RequestType,
    /// Mean arrival rate over all organisations, in requests per second.
    pub rate: f64,
    /// Prompt length in tokens.
    #[serde(default)]
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// Median output length in tokens.
    #[serde(default)]
    #[serde(rename = "median")]
    pub median_tokens: f64,
    /// Standard deviation of the logarithm of the output length.
    #[serde(default)]
    pub sigma: f64,
    /// Largest output length in tokens.
    #[serde(default)]
    #[serde(rename = "longest")]
    pub max_tokens: f64,
}

/// An event during an experiment.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Time since the end of the warm-up, in seconds.
    pub at_s: f64,
    pub action: Action,
}

/// The action of an event.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Operators drain a zone.
    Drain(String),
    /// Operators restore a zone.
    Restore(String),
    /// The process of a target is killed.
    Kill(String),
    /// The process of a target is started again.
    Restart(String),
    /// A target becomes cold without notice, for a number of seconds.
    Cold(String, f64),
    /// The platform's services refuse all requests, for a number of seconds.
    Outage(f64),
}

/// A configuration under test.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    pub name: String,
    /// Specification of the `default` configuration resource.
    #[serde(default)]
    pub configuration: Value,
    /// Sends the load directly to the targets, without daemons in the path.
    #[serde(default)]
    pub direct: bool,
}

/// Reads an experiment file.
///
/// # Errors
///
/// The file cannot be read, or a field is unknown, missing or of another type.
pub fn read(path: &Path) -> Result<Experiment, Error> {
    let text = std::fs::read_to_string(path)?;
    serde_yaml_ng::from_str(&text)
        .map_err(|error| Error::Usage(format!("{}: {error}", path.display())))
}
