//! Typed resources: what operators declare.

use serde::{Deserialize, Serialize};

use crate::ids::{Name, Revision};
use crate::map::Map;

/// The kinds of resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// A customer with its caller keys and weight.
    Organisation,
    /// A model service or a plain service.
    Service,
    /// An availability zone.
    AvailabilityZone,
    /// An engine or a plain-service back end.
    Target,
    /// Limits, policy and wanted models.
    Configuration,
    /// A host and path prefix under which services are called.
    Route,
}

impl Kind {
    /// Every kind, in the order in which a file of resources is applied.
    ///
    /// A kind refers only to kinds that stand before it, so references have no cycles.
    pub const ALL: [Kind; 6] = [
        Kind::Configuration,
        Kind::AvailabilityZone,
        Kind::Service,
        Kind::Organisation,
        Kind::Target,
        Kind::Route,
    ];

    /// The lower-case plural used in paths and keys.
    ///
    /// ```
    /// use hornbeamloom_kernel::resource::Kind;
    ///
    /// assert_eq!(Kind::AvailabilityZone.plural(), "availabilityzones");
    /// ```
    pub fn plural(self) -> &'static str {
        match self {
            Kind::Organisation => "organisations",
            Kind::Service => "services",
            Kind::AvailabilityZone => "availabilityzones",
            Kind::Target => "targets",
            Kind::Configuration => "configurations",
            Kind::Route => "routes",
        }
    }

    /// The kind with this plural name.
    ///
    /// ```
    /// use hornbeamloom_kernel::resource::Kind;
    ///
    /// assert_eq!(Kind::from_plural("targets"), Some(Kind::Target));
    /// assert_eq!(Kind::from_plural("pods"), None);
    /// ```
    pub fn from_plural(plural: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.plural() == plural)
    }
}

/// A named reference to a resource.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// The kind.
    pub kind: Kind,
    /// The name, unique within the kind.
    pub name: Name,
}

/// One stored version of a resource, or its tombstone.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// What it is.
    pub key: Key,
    /// The table revision of this version.
    pub version: Revision,
    /// Counts changes of the specification, from 1.
    pub generation: u64,
    /// Free labels set by operators.
    #[serde(default)]
    pub labels: std::collections::BTreeMap<String, String>,
    /// The specification, or `None` for a tombstone.
    pub spec: Option<Spec>,
}

/// The specification of a resource.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", content = "spec")]
pub enum Spec {
    /// An organisation.
    Organisation(Organisation),
    /// A service.
    Service(Service),
    /// An availability zone.
    AvailabilityZone(AvailabilityZone),
    /// A target.
    Target(Target),
    /// A configuration.
    Configuration(Configuration),
    /// A route.
    Route(Route),
}

impl Spec {
    /// The kind of this specification.
    ///
    /// ```
    /// use hornbeamloom_kernel::resource::{Configuration, Kind, Spec};
    ///
    /// assert_eq!(Spec::Configuration(Configuration::default()).kind(), Kind::Configuration);
    /// ```
    pub fn kind(&self) -> Kind {
        match self {
            Spec::Organisation(_) => Kind::Organisation,
            Spec::Service(_) => Kind::Service,
            Spec::AvailabilityZone(_) => Kind::AvailabilityZone,
            Spec::Target(_) => Kind::Target,
            Spec::Configuration(_) => Kind::Configuration,
            Spec::Route(_) => Kind::Route,
        }
    }
}

/// A customer organisation.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Organisation {
    /// Share of service relative to other organisations, 1 to 1,000.
    #[serde(default = "one")]
    pub weight: u32,
    /// The caller keys of the organisation, replaceable without a stop.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Services that it may call; empty allows all.
    #[serde(default)]
    pub services: Vec<Name>,
    /// Rank of its requests, 0 first; it goes before the rank of a route.
    #[serde(default)]
    pub priority: Option<u8>,
}

/// What kind of back ends a service has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Protocol {
    /// OpenAI-compatible model engines.
    #[default]
    Model,
    /// Plain HTTP.
    Plain,
}

/// A service offered to callers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Service {
    /// Protocol of the service's targets.
    #[serde(default)]
    pub protocol: Protocol,
    /// All requests are of the short class.
    #[serde(default)]
    pub interactive: bool,
    /// HTTP methods whose calls run at most once (plain services).
    #[serde(default)]
    pub once_methods: Vec<String>,
    /// Longest wait in the queue, in milliseconds.
    #[serde(default = "queue_ms")]
    pub queue_ms: u64,
    /// The configuration that governs the service; the one named `default` if absent.
    #[serde(default)]
    pub configuration: Option<Name>,
    /// Targets can copy the memory of a running generation to each other.
    #[serde(default)]
    pub relocatable: bool,
}

/// Whether a zone takes part in serving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum ZoneState {
    /// It serves.
    #[default]
    #[serde(rename = "in")]
    InService,
    /// It was taken out: no new work.
    #[serde(rename = "out")]
    OutOfService,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct AvailabilityZone {
    /// The region that the zone belongs to.
    pub region: Name,
    /// Whether the zone takes new work.
    #[serde(default)]
    pub state: ZoneState,
}

/// One engine or plain-service back end.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Target {
    /// The service it belongs to.
    pub service: Name,
    /// The availability zone it stands in.
    pub zone: Name,
    /// `IP:port` of its HTTP interface.
    pub address: String,
    /// Concurrent requests it can carry in cold start.
    #[serde(default = "one")]
    pub cold_limit: u32,
    /// Concurrent requests it can carry when warm.
    #[serde(default = "warm_limit")]
    pub warm_limit: u32,
    /// Requests that it can be sent in a second during cold start; zero for no limit.
    #[serde(default)]
    pub cold_rate: u32,
    /// KV cache size in tokens; zero for plain services (no KV limit).
    #[serde(default)]
    pub kv_tokens: u64,
    /// Whether it refuses orders that carry an old fencing token.
    #[serde(default)]
    pub fencing: bool,
    /// Whether it is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// The role wanted, for example `decode`; unset leaves it alone.
    #[serde(default)]
    pub role: Option<Name>,
}

/// A service that a route leads to, and its share of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Its weight among the services of the route.
    #[serde(default = "one")]
    pub weight: u32,
}

/// Whether a request of a route may be run again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Rerun {
    /// It may run any number of times.
    Allowed,
    /// It runs at most once.
    #[default]
    Never,
}

/// A host and path prefix under which services are called.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Route {
    /// Value of the `Host` header.
    pub host: String,
    /// Start of the path, with a slash at both ends; the longest one that fits applies.
    pub path_prefix: String,
    /// The services that it leads to.
    pub shares: Vec<Share>,
    /// Whether a request may be run again.
    #[serde(default)]
    pub rerun: Rerun,
    /// The answer is a stream of events.
    #[serde(default)]
    pub streaming: bool,
    /// Longest time until the answer is complete, in milliseconds.
    #[serde(default = "timeout_ms")]
    pub timeout_ms: u64,
    /// Time within which an answer is on time, for a stream its first event, in milliseconds.
    #[serde(default = "timeout_ms")]
    pub target_latency_ms: u64,
    /// Targets on which one request may run.
    #[serde(default = "one")]
    pub attempts: u32,
    /// Rank of its requests, 0 first.
    #[serde(default)]
    pub priority: u8,
    /// Requests need no caller key.
    #[serde(default)]
    pub public: bool,
}

/// Names of the policies in use at the stages that choose.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Policy {
    /// The `Order` policy: `fair` or `fifo`.
    pub order: Name,
    /// The `Score` policies, added up.
    pub score: Vec<Name>,
    /// `Admit` and `Filter` policies that are switched off, for baselines and tests.
    pub off: Vec<Name>,
}

impl Default for Policy {
    fn default() -> Policy {
        let score = vec!["kvload".into(), "affinity".into()];
        Policy { order: "fair".into(), score, off: Vec::new() }
    }
}

/// Limits, policy and wanted engine state of the services that name it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Configuration {
    /// Queued requests per organisation and pool.
    pub organisation_queue: u32,
    /// Queued requests per pool.
    pub pool_queue: u32,
    /// Part of KV capacity that projections may fill, in percent.
    pub kv_percent: u32,
    /// Models wanted on the engines of the services, as `name@version`.
    pub models: Vec<Name>,
    /// Adapters wanted on the engines of the services.
    pub adapters: Vec<Name>,
    /// Engines that may load from the weight store at a time, over all VMs.
    pub load_slots: u32,
    /// Part of KV memory in use, in percent, below which running generations are copied ahead to a
    /// standby; zero for never.
    pub standby_percent: u32,
    /// Age of the resources in force, in milliseconds, beyond which a VM accepts no keys, since
    /// they may have been taken away; zero for any age.
    pub key_age_ms: u32,
    /// Age in milliseconds beyond which a VM reads the platform's tables itself, where a peer reads
    /// them for it; zero where each VM reads them.
    pub feed_age_ms: u32,
    /// Retries of one service in 10 s, in percent of its requests.
    pub retry_percent: u32,
    /// Retries of one service in 10 s that all VMs together may make however few requests arrive;
    /// three for each VM if absent.
    pub retry_slack: Option<u32>,
    /// The policies in use.
    pub policy: Policy,
}

impl Default for Configuration {
    fn default() -> Configuration {
        Configuration {
            organisation_queue: 64,
            pool_queue: 1024,
            kv_percent: 90,
            models: Vec::new(),
            adapters: Vec::new(),
            load_slots: 2,
            standby_percent: 0,
            key_age_ms: 0,
            feed_age_ms: 0,
            retry_percent: 10,
            retry_slack: None,
            policy: Policy::default(),
        }
    }
}

fn one() -> u32 {
    1
}

fn warm_limit() -> u32 {
    32
}

fn queue_ms() -> u64 {
    30_000
}

fn timeout_ms() -> u64 {
    30_000
}

/// The resources in force, looked up by key.
pub type ResourceMap = Map<Key, Record>;
