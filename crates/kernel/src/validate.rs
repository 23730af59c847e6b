//! Validation of resources. Pure functions that report the path of each invalid field.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::ids::Name;
use crate::plugin::policy::{self, Stage};
use crate::resource::{
    AvailabilityZone, Configuration, Key, Kind, Organisation, Record, ResourceMap, Route, Service,
    Spec, Target,
};
use crate::spread;

/// Maximum size of a record or document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 64 * 1024;

/// Maximum length of a name in bytes, as for DNS labels.
const MAX_NAME_BYTES: usize = 63;
/// Maximum length of a caller key, model name or adapter name in bytes.
const MAX_TEXT_BYTES: usize = 256;
/// Maximum length of a route's host or path prefix in bytes.
const MAX_PATH_BYTES: usize = 1_024;
/// Maximum weight of a service within a route.
const MAX_SHARE_WEIGHT: u32 = 1_000_000;
/// Maximum priority value; engines distinguish no more levels.
const MAX_PRIORITY: u8 = 9;
/// Maximum number of labels on a resource.
const MAX_LABELS: usize = 64;
/// Maximum queue deadline, in milliseconds: one hour.
const MAX_QUEUE_MS: u64 = 3_600_000;
/// Maximum queue bound and concurrency limit.
const MAX_COUNT: u32 = 1_000_000;
/// Maximum KV cache size in tokens.
const MAX_KV_TOKENS: u64 = 1 << 40;

/// Built-in `Order` policies.
const ORDER_POLICIES: &[&str] = &["fair", "fifo"];
/// Built-in `Score` policies.
const SCORE_POLICIES: &[&str] =
    &["kvload", "affinity", "prefill", "round-robin", "least-outstanding"];
/// Ways to choose among the pools of a service.
const POOL_POLICIES: &[&str] = &["least-used", spread::NAME];
/// Built-in `Admit` and `Filter` policies, which can be switched off.
const SWITCHABLE_POLICIES: &[&str] =
    &["overload", "quarantine", "ramp", "headroom", "eligible", "isolate", "prefill"];

/// An invalid field. The text never contains the value of a secret.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field, for example `spec.coldLimit`.
    pub field: String,
    /// Why the value is invalid.
    pub problem: String,
}

impl FieldError {
    /// Creates an error for `field`.
    pub fn new(field: &str, problem: &str) -> FieldError {
        FieldError { field: field.to_owned(), problem: problem.to_owned() }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

/// Whether `text` consists of 1 to 63 characters of `[a-z0-9-]`.
///
/// ```
/// use hornbeamloom_kernel::validate::is_name;
///
/// assert!(is_name("lodz-a"));
/// assert!(!is_name("Lodz A"));
/// ```
pub fn is_name(text: &str) -> bool {
    let is_length_valid = (1..=MAX_NAME_BYTES).contains(&text.len());
    is_length_valid && text.bytes().all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-'))
}

/// Returns every error of a record, both on its own and against the active resources.
///
/// ```
/// use hornbeamloom_kernel::ids::Revision;
/// use hornbeamloom_kernel::resource::{
///     AvailabilityZone, Key, Kind, Record, ResourceMap, Spec, ZoneState,
/// };
/// use hornbeamloom_kernel::validate;
///
/// let zone = AvailabilityZone { region: "No Region".into(), state: ZoneState::InService };
/// let record = Record {
///     key: Key { kind: Kind::AvailabilityZone, name: "lodz-a".into() },
///     version: Revision(0),
///     generation: 1,
///     labels: Default::default(),
///     spec: Some(Spec::AvailabilityZone(zone)),
/// };
/// assert_eq!(validate::record(&record, &ResourceMap::default())[0].field, "spec.region");
/// ```
pub fn record(record: &Record, resources: &ResourceMap) -> Vec<FieldError> {
    let mut errors = FieldErrors::default();
    errors.name("metadata.name", &record.key.name);
    labels(record, &mut errors);
    let Some(spec) = &record.spec else {
        return errors.list;
    };
    match spec {
        Spec::Organisation(spec) => organisation(spec, &mut errors),
        Spec::Service(spec) => service(spec, &mut errors),
        Spec::AvailabilityZone(spec) => zone(spec, &mut errors),
        Spec::Target(spec) => target(spec, &mut errors),
        Spec::Configuration(spec) => configuration(spec, &mut errors),
        Spec::Route(spec) => route(spec, &mut errors),
    }
    for reference in references(spec) {
        if !exists(&reference.key, resources) {
            let kind = reference.key.kind.plural();
            errors.add(&reference.field, &format!("refers to {kind} that do not exist"));
        }
    }
    if let Spec::Organisation(spec) = spec {
        duplicate_keys(&record.key, spec, resources, &mut errors);
    }
    errors.list
}

/// A field that refers to another resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reference {
    /// Path of the field.
    pub field: String,
    /// The resource it refers to.
    pub key: Key,
}

/// The resources that a specification refers to.
///
/// A kind refers only to kinds listed before it in [`Kind::ALL`], so references cannot form a
/// cycle.
pub fn references(spec: &Spec) -> Vec<Reference> {
    let reference = |field: &str, kind, name: &Name| Reference {
        field: field.to_owned(),
        key: Key { kind, name: name.clone() },
    };
    match spec {
        Spec::Organisation(spec) => {
            let services = spec.services.iter().enumerate();
            services
                .map(|(ix, name)| reference(&format!("spec.services[{ix}]"), Kind::Service, name))
                .collect()
        }
        Spec::Service(spec) => {
            let configuration = spec.configuration.iter();
            configuration
                .map(|name| reference("spec.configuration", Kind::Configuration, name))
                .collect()
        }
        Spec::Target(spec) => vec![
            reference("spec.service", Kind::Service, &spec.service),
            reference("spec.zone", Kind::AvailabilityZone, &spec.zone),
        ],
        Spec::Route(spec) => {
            let shares = spec.shares.iter().enumerate();
            shares
                .map(|(ix, share)| {
                    reference(&format!("spec.shares[{ix}]"), Kind::Service, &share.service)
                })
                .collect()
        }
        Spec::AvailabilityZone(_) | Spec::Configuration(_) => Vec::new(),
    }
}

/// The resources that refer to `key`, sorted. A resource with referrers must not be deleted.
pub fn referrers(key: &Key, resources: &ResourceMap) -> Vec<Key> {
    let mut referrers: Vec<Key> = resources
        .values()
        .filter(|record| {
            let spec = record.spec.as_ref();
            spec.is_some_and(|spec| references(spec).iter().any(|reference| reference.key == *key))
        })
        .map(|record| record.key.clone())
        .collect();
    referrers.sort();
    referrers
}

fn exists(key: &Key, resources: &ResourceMap) -> bool {
    resources.get(key).is_some_and(|record| record.spec.is_some())
}

/// Reports caller keys that are listed twice or belong to another organisation. A key identifies
/// its organisation, so it must be unique.
///
/// The comparison is not constant-time: it runs only on operators' writes, never on callers'
/// requests, and its result names the other organisation but not the key.
fn duplicate_keys(
    own: &Key,
    spec: &Organisation,
    resources: &ResourceMap,
    errors: &mut FieldErrors,
) {
    for (ix, key) in spec.keys.iter().enumerate() {
        let field = format!("spec.keys[{ix}]");
        if spec.keys[..ix].contains(key) {
            errors.add(&field, "is listed twice");
        }
        let mut others: Vec<&Name> = resources
            .values()
            .filter(|record| record.key != *own)
            .filter_map(|record| match &record.spec {
                Some(Spec::Organisation(other)) if other.keys.contains(key) => {
                    Some(&record.key.name)
                }
                _ => None,
            })
            .collect();
        others.sort();
        if let Some(other) = others.first() {
            errors.add(&field, &format!("is already a key of organisation {other}"));
        }
    }
}

#[derive(Default)]
struct FieldErrors {
    list: Vec<FieldError>,
}

impl FieldErrors {
    fn add(&mut self, field: &str, problem: &str) {
        self.list.push(FieldError::new(field, problem));
    }

    fn name(&mut self, field: &str, text: &str) {
        if !is_name(text) {
            self.add(field, "expected 1 to 63 characters of a-z, 0-9 and -");
        }
    }

    fn range<T: PartialOrd + fmt::Display>(
        &mut self,
        field: &str,
        value: T,
        range: RangeInclusive<T>,
    ) {
        if !range.contains(&value) {
            let (low, high) = (range.start(), range.end());
            self.add(field, &format!("expected {low} to {high}"));
        }
    }

    fn text(&mut self, field: &str, text: &str) {
        let is_length_valid = (1..=MAX_TEXT_BYTES).contains(&text.len());
        if !is_length_valid || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            self.add(field, "expected 1 to 256 printable ASCII characters without spaces");
        }
    }
}

fn labels(record: &Record, errors: &mut FieldErrors) {
    if record.labels.len() > MAX_LABELS {
        errors.add("metadata.labels", "expected at most 64 labels");
    }
    for (label, value) in &record.labels {
        if label.is_empty() || label.len() > MAX_NAME_BYTES || value.len() > MAX_TEXT_BYTES {
            let problem = "expected a label of 1 to 63 bytes and a value of at most 256 bytes";
            errors.add("metadata.labels", problem);
        }
    }
}

fn organisation(spec: &Organisation, errors: &mut FieldErrors) {
    errors.range("spec.weight", spec.weight, 1..=1_000);
    errors.range("spec.priority", spec.priority.unwrap_or(0), 0..=MAX_PRIORITY);
    for (ix, key) in spec.keys.iter().enumerate() {
        errors.text(&format!("spec.keys[{ix}]"), key);
    }
}

fn service(spec: &Service, errors: &mut FieldErrors) {
    errors.range("spec.queueMs", spec.queue_ms, 1..=MAX_QUEUE_MS);
    for (ix, method) in spec.once_methods.iter().enumerate() {
        let is_method = (1..=16).contains(&method.len())
            && method.bytes().all(|byte| byte.is_ascii_uppercase());
        if !is_method {
            let field = format!("spec.onceMethods[{ix}]");
            errors.add(&field, "expected an HTTP method in capital letters");
        }
    }
}

fn zone(spec: &AvailabilityZone, errors: &mut FieldErrors) {
    errors.name("spec.region", &spec.region);
}

fn target(spec: &Target, errors: &mut FieldErrors) {
    let address = spec.address.parse::<SocketAddr>();
    if address.is_err() || address.is_ok_and(|address| address.port() == 0) {
        errors.add("spec.address", "expected IP:port");
    }
    errors.range("spec.coldLimit", spec.cold_limit, 1..=MAX_COUNT);
    errors.range("spec.warmLimit", spec.warm_limit, 1..=MAX_COUNT);
    if spec.cold_limit > spec.warm_limit {
        errors.add("spec.coldLimit", "expected at most warmLimit");
    }
    errors.range("spec.kvTokens", spec.kv_tokens, 0..=MAX_KV_TOKENS);
    if let Some(role) = &spec.role {
        errors.name("spec.role", role);
    }
    if let Some(version) = &spec.version {
        errors.text("spec.version", version);
    }
}

fn configuration(spec: &Configuration, errors: &mut FieldErrors) {
    errors.range("spec.organisationQueue", spec.organisation_queue, 1..=MAX_COUNT);
    errors.range("spec.poolQueue", spec.pool_queue, 1..=MAX_COUNT);
    errors.range("spec.kvPercent", spec.kv_percent, 1..=100);
    errors.range("spec.loadSlots", spec.load_slots, 0..=1_000);
    errors.range("spec.standbyPercent", spec.standby_percent, 0..=100);
    errors.range("spec.keyAgeMs", spec.key_age_ms, 0..=MAX_COUNT);
    errors.range("spec.retryPercent", spec.retry_percent, 0..=100);
    errors.range("spec.retrySlack", spec.retry_slack.unwrap_or(0), 0..=MAX_COUNT);
    for (ix, model) in spec.models.iter().enumerate() {
        let field = format!("spec.models[{ix}]");
        errors.text(&field, model);
        let parts = model.split_once('@');
        if !parts.is_some_and(|(name, version)| !name.is_empty() && !version.is_empty()) {
            errors.add(&field, "expected name@version");
        }
    }
    for (ix, adapter) in spec.adapters.iter().enumerate() {
        errors.text(&format!("spec.adapters[{ix}]"), adapter);
    }
    policies(&spec.policy, errors);
}

fn route(spec: &Route, errors: &mut FieldErrors) {
    let is_host = !spec.host.is_empty()
        && spec.host.len() <= MAX_PATH_BYTES
        && spec.host.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_host {
        errors.add("spec.host", "expected a host name");
    }
    let path = &spec.path_prefix;
    if !path.starts_with('/') || !path.ends_with('/') || path.len() > MAX_PATH_BYTES {
        errors.add("spec.pathPrefix", "expected a path with a slash at both ends");
    }
    if spec.shares.is_empty() {
        errors.add("spec.shares", "expected at least one service");
    }
    for (ix, share) in spec.shares.iter().enumerate() {
        errors.range(&format!("spec.shares[{ix}].weight"), share.weight, 0..=MAX_SHARE_WEIGHT);
    }
    if !spec.shares.is_empty() && spec.shares.iter().all(|share| share.weight == 0) {
        errors.add("spec.shares", "expected a weight above 0");
    }
    if spec.resumable && !spec.streaming {
        errors.add("spec.resumable", "only a streaming route can be resumable");
    }
    errors.range("spec.timeoutMs", spec.timeout_ms, 1..=MAX_QUEUE_MS);
    errors.range("spec.targetLatencyMs", spec.target_latency_ms, 1..=MAX_QUEUE_MS);
    if let Some(pause_ms) = spec.target_pause_ms {
        errors.range("spec.targetPauseMs", pause_ms, 1..=MAX_QUEUE_MS);
        if !spec.streaming {
            errors.add("spec.targetPauseMs", "expected only with streaming");
        }
    }
    errors.range("spec.attempts", spec.attempts, 1..=MAX_COUNT);
    errors.range("spec.priority", spec.priority, 0..=MAX_PRIORITY);
}

fn policies(spec: &crate::resource::Policy, errors: &mut FieldErrors) {
    let plugins = policy::all();
    let registered = |name: &str, is_stage: fn(&Stage) -> bool| {
        plugins.iter().any(|plugin| plugin.name == name && is_stage(&plugin.stage))
    };
    let is_order = |stage: &Stage| matches!(stage, Stage::Order(_));
    if !ORDER_POLICIES.contains(&&*spec.order) && !registered(&spec.order, is_order) {
        errors.add("spec.policy.order", "no Order policy has this name");
    }
    let is_score = |stage: &Stage| matches!(stage, Stage::Score(_));
    for (ix, name) in spec.score.iter().enumerate() {
        if !SCORE_POLICIES.contains(&&**name) && !registered(name, is_score) {
            let field = format!("spec.policy.score[{ix}]");
            errors.add(&field, "no Score policy has this name");
        }
    }
    let is_switchable = |stage: &Stage| matches!(stage, Stage::Admit(_) | Stage::Filter(_));
    if !POOL_POLICIES.contains(&&*spec.pools) {
        errors.add("spec.policy.pools", "expected least-used or spread");
    }
    for (ix, name) in spec.off.iter().enumerate() {
        if !SWITCHABLE_POLICIES.contains(&&**name) && !registered(name, is_switchable) {
            let field = format!("spec.policy.off[{ix}]");
            errors.add(&field, "no Admit or Filter policy has this name");
        }
    }
}
