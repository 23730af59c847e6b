//! Typed resources declared by operators.

use serde::{Deserialize, Serialize};

use crate::ids::{Name, Revision};
use crate::map::Map;

/// The kinds of resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// A customer with its caller keys and weight.
    Organisation,
    /// A model service or a plain HTTP service.
    Service,
    /// An availability zone.
    AvailabilityZone,
    /// An engine or the back end of a plain service.
    Target,
    /// Limits, policies and the desired models.
    Configuration,
    /// A host and path prefix under which services are reachable.
    Route,
}

impl Kind {
    /// Every kind, in the order in which a resource file is applied.
    ///
    /// A kind refers only to kinds listed before it, so references cannot form a cycle.
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

/// The kind and name that identify a resource.
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
    /// The resource's identity.
    pub key: Key,
    /// The store revision at which this version was written.
    pub version: Revision,
    /// Number of specification changes, starting at 1.
    pub generation: u64,
    /// Free-form labels set by operators.
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
    /// The kind that this specification belongs to.
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
    /// Relative weight in fair scheduling between organisations, 1 to 1,000.
    #[serde(default = "one")]
    pub weight: u32,
    /// Caller keys of the organisation. They can be replaced without a restart.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Services that the organisation may call; an empty list allows all.
    #[serde(default)]
    pub services: Vec<Name>,
    /// Priority of its requests, 0 being the most urgent; takes precedence over a route's priority.
    #[serde(default)]
    pub priority: Option<u8>,
}

/// The protocol that a service's targets speak.
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
    /// Whether all requests are of the short latency class.
    #[serde(default)]
    pub interactive: bool,
    /// HTTP methods whose calls run at most once; for plain services.
    #[serde(default)]
    pub once_methods: Vec<String>,
    /// Maximum time in the queue, in milliseconds.
    #[serde(default = "queue_ms")]
    pub queue_ms: u64,
    /// The configuration that applies to the service; `default` if absent.
    #[serde(default)]
    pub configuration: Option<Name>,
    /// Whether targets can copy the KV memory of a running generation to each other.
    #[serde(default)]
    pub relocatable: bool,
}

/// Whether a zone is in service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum ZoneState {
    /// The zone serves requests.
    #[default]
    #[serde(rename = "in")]
    InService,
    /// Operators took the zone out of service; it gets no new work.
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
    /// The availability zone it runs in.
    pub zone: Name,
    /// `IP:port` of its HTTP interface.
    pub address: String,
    /// Maximum number of concurrent requests during a cold start.
    #[serde(default = "one")]
    pub cold_limit: u32,
    /// Maximum number of concurrent requests once warm.
    #[serde(default = "warm_limit")]
    pub warm_limit: u32,
    /// Maximum number of requests per second during a cold start; zero for no limit.
    #[serde(default)]
    pub cold_rate: u32,
    /// KV cache size in tokens; zero for plain services, which have no KV limit.
    #[serde(default)]
    pub kv_tokens: u64,
    /// Whether the target rejects orders that carry an outdated fencing token.
    #[serde(default)]
    pub fencing: bool,
    /// Whether the target is being drained and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Identifies the target's process, if the list of targets does; zero if unknown.
    #[serde(default)]
    pub start_id: u64,
    /// The desired role, for example `decode`; if unset, the role is left unchanged.
    #[serde(default)]
    pub role: Option<Name>,
    /// The software version that it runs, if known; roll-outs tell versions apart by it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Name>,
}

/// A service behind a route, and its share of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Its weight relative to the other services of the route.
    #[serde(default = "one")]
    pub weight: u32,
}

/// Whether a request of a route may be executed more than once.
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

/// A host and path prefix under which services are reachable.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Route {
    /// The `Host` header that the route matches.
    pub host: String,
    /// Path prefix, starting and ending with a slash. The longest matching prefix wins.
    pub path_prefix: String,
    /// The services that receive the route's requests.
    pub shares: Vec<Share>,
    /// Whether a request may be executed more than once.
    #[serde(default)]
    pub rerun: Rerun,
    /// Whether the response is a stream of events.
    #[serde(default)]
    pub streaming: bool,
    /// Maximum time until the response is complete, in milliseconds.
    #[serde(default = "timeout_ms")]
    pub timeout_ms: u64,
    /// Latency target in milliseconds, for the complete response or, for a stream, its first event.
    #[serde(default = "timeout_ms")]
    pub target_latency_ms: u64,
    /// Longest pause between two events of a stream, in milliseconds; no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_pause_ms: Option<u64>,
    /// Maximum number of targets on which one request may run.
    #[serde(default = "one")]
    pub attempts: u32,
    /// Priority of its requests, 0 being the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Whether requests need no caller key.
    #[serde(default)]
    pub public: bool,
    /// Whether a target can continue a stream after the event whose number it is sent. Only for
    /// streams; their requests may be executed more than once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub resumable: bool,
}

/// Names of the policies used at the scheduling stages.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Policy {
    /// The `Order` policy: `fair`, `fifo` or `slack`.
    pub order: Name,
    /// The `Score` policies; their scores are added up.
    pub score: Vec<Name>,
    /// `Admit` and `Filter` policies that are switched off, for baselines and tests.
    pub off: Vec<Name>,
    /// How a VM chooses among the pools of a service: `least-used` or `spread`.
    #[serde(skip_serializing_if = "is_least_used")]
    pub pools: Name,
}

fn is_least_used(pools: &Name) -> bool {
    **pools == *"least-used"
}

impl Default for Policy {
    fn default() -> Policy {
        let score = vec!["kvload".into(), "affinity".into()];
        Policy { order: "fair".into(), score, off: Vec::new(), pools: "least-used".into() }
    }
}

/// Limits, policies and desired engine state for the services that refer to it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Configuration {
    /// Maximum number of queued requests per organisation and pool.
    pub organisation_queue: u32,
    /// Maximum number of queued requests per pool.
    pub pool_queue: u32,
    /// Share of the KV capacity that projected usage may fill, in percent.
    pub kv_percent: u32,
    /// Models to load on the engines of the services, as `name@version`.
    pub models: Vec<Name>,
    /// Adapters to load on the engines of the services.
    pub adapters: Vec<Name>,
    /// Number of engines, over all VMs, that may load from the weight store at the same time.
    pub load_slots: u32,
    /// KV memory usage, in percent, below which running generations are copied ahead of time to a
    /// standby target; zero disables copies.
    pub standby_percent: u32,
    /// Maximum age of the active resources, in milliseconds, at which a VM still accepts caller
    /// keys. Older resources may contain revoked keys. Zero disables the check.
    pub key_age_ms: u32,
    /// Retry budget of a service over 10 s, in percent of its requests.
    pub retry_percent: u32,
    /// Retries of a service over 10 s that are allowed on all VMs together regardless of its
    /// request rate; three per VM if absent.
    pub retry_slack: Option<u32>,
    /// The policies to use.
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

/// Active resources by key.
pub type ResourceMap = Map<Key, Record>;
