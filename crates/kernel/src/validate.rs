//! Validation of resources: pure functions that name the field at fault.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::ids::Name;
use crate::plugin::policy::{self, Stage};
use crate::resource::{
    AvailabilityZone, Book, Configuration, Key, Kind, Organisation, Record, Route, Service, Spec,
    Target,
};

/// Largest record or document in bytes.
pub const DOCUMENT_MAX: usize = 64 * 1024;

/// Longest name in bytes, as in DNS labels.
const NAME_MAX: usize = 63;
/// Longest caller key, model or adapter name in bytes.
const TEXT_MAX: usize = 256;
/// Longest host or path prefix of a route in bytes.
const PATH_MAX: usize = 1_024;
/// Greatest weight of a service within a route.
const SHARE_MAX: u32 = 1_000_000;
/// Greatest rank of requests, as far as engines tell ranks apart.
const PRIORITY_MAX: u8 = 9;
/// Most labels of one resource.
const LABELS_MAX: usize = 64;
/// Longest queue deadline: one hour in milliseconds.
const QUEUE_MS_MAX: u64 = 3_600_000;
/// Largest queue bound and concurrency limit.
const COUNT_MAX: u32 = 1_000_000;
/// Largest KV cache in tokens.
const KV_TOKENS_MAX: u64 = 1 << 40;

/// `Order` policies of the design page.
const ORDER: &[&str] = &["fair", "fifo"];
/// `Score` policies of the design page.
const SCORE: &[&str] = &["kvload", "affinity", "prefill", "round-robin", "least-outstanding"];
/// `Admit` and `Filter` policies of the design page.
const SWITCHED: &[&str] =
    &["overload", "quarantine", "ramp", "headroom", "eligible", "isolate", "prefill"];

/// One field with an unusable value. The text never holds the value of a secret.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, for example `spec.coldLimit`.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl Fault {
    /// A fault of a field.
    pub fn new(field: &str, problem: &str) -> Fault {
        Fault { field: field.to_owned(), problem: problem.to_owned() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

/// Whether a text is 1 to 63 characters of `[a-z0-9-]`.
///
/// ```
/// use hornbeamloom_kernel::validate::is_name;
///
/// assert!(is_name("lodz-a"));
/// assert!(!is_name("Lodz A"));
/// ```
pub fn is_name(text: &str) -> bool {
    let is_length = (1..=NAME_MAX).contains(&text.len());
    is_length && text.bytes().all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-'))
}

/// Every fault of a record by itself and against the resources in force.
///
/// ```
/// use hornbeamloom_kernel::ids::Revision;
/// use hornbeamloom_kernel::resource::{AvailabilityZone, Book, Key, Kind, Presence, Record, Spec};
/// use hornbeamloom_kernel::validate;
///
/// let zone = AvailabilityZone { region: "No Region".into(), state: Presence::In };
/// let record = Record {
///     key: Key { kind: Kind::AvailabilityZone, name: "lodz-a".into() },
///     version: Revision(0),
///     generation: 1,
///     labels: Default::default(),
///     spec: Some(Spec::AvailabilityZone(zone)),
/// };
/// assert_eq!(validate::record(&record, &Book::default())[0].field, "spec.region");
/// ```
pub fn record(record: &Record, book: &Book) -> Vec<Fault> {
    let mut faults = Faults::default();
    faults.name("metadata.name", &record.key.name);
    labels(record, &mut faults);
    let Some(spec) = &record.spec else {
        return faults.list;
    };
    match spec {
        Spec::Organisation(spec) => organisation(spec, &mut faults),
        Spec::Service(spec) => service(spec, &mut faults),
        Spec::AvailabilityZone(spec) => zone(spec, &mut faults),
        Spec::Target(spec) => target(spec, &mut faults),
        Spec::Configuration(spec) => configuration(spec, &mut faults),
        Spec::Route(spec) => route(spec, &mut faults),
    }
    for reference in references(spec) {
        if !exists(&reference.key, book) {
            let kind = reference.key.kind.plural();
            faults.add(&reference.field, &format!("refers to {kind} that do not exist"));
        }
    }
    if let Spec::Organisation(spec) = spec {
        duplicate_keys(&record.key, spec, book, &mut faults);
    }
    faults.list
}

/// A field that names another resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reference {
    /// Path of the field.
    pub field: String,
    /// The resource it names.
    pub key: Key,
}

/// The resources that a specification names.
///
/// A kind refers only to kinds before it in [`Kind::ALL`], so no chain of references can close.
pub fn references(spec: &Spec) -> Vec<Reference> {
    let one = |field: &str, kind, name: &Name| Reference {
        field: field.to_owned(),
        key: Key { kind, name: name.clone() },
    };
    match spec {
        Spec::Organisation(spec) => {
            let services = spec.services.iter().enumerate();
            services
                .map(|(ix, name)| one(&format!("spec.services[{ix}]"), Kind::Service, name))
                .collect()
        }
        Spec::Service(spec) => {
            let configuration = spec.configuration.iter();
            configuration.map(|name| one("spec.configuration", Kind::Configuration, name)).collect()
        }
        Spec::Target(spec) => vec![
            one("spec.service", Kind::Service, &spec.service),
            one("spec.zone", Kind::AvailabilityZone, &spec.zone),
        ],
        Spec::Route(spec) => {
            let shares = spec.shares.iter().enumerate();
            shares
                .map(|(ix, share)| {
                    one(&format!("spec.shares[{ix}]"), Kind::Service, &share.service)
                })
                .collect()
        }
        Spec::AvailabilityZone(_) | Spec::Configuration(_) => Vec::new(),
    }
}

/// The resources that name `key`, in order; a resource in use may not be deleted.
pub fn in_use(key: &Key, book: &Book) -> Vec<Key> {
    let mut users: Vec<Key> = book
        .values()
        .filter(|record| {
            let spec = record.spec.as_ref();
            spec.is_some_and(|spec| references(spec).iter().any(|reference| reference.key == *key))
        })
        .map(|record| record.key.clone())
        .collect();
    users.sort();
    users
}

fn exists(key: &Key, book: &Book) -> bool {
    book.get(key).is_some_and(|record| record.spec.is_some())
}

/// Caller keys identify an organisation, so no key may belong to two of them.
///
/// The comparison runs only on an operator's write, not on the path of callers, and its result
/// names the other organisation and never a key.
fn duplicate_keys(own: &Key, spec: &Organisation, book: &Book, faults: &mut Faults) {
    for (ix, key) in spec.keys.iter().enumerate() {
        let field = format!("spec.keys[{ix}]");
        if spec.keys[..ix].contains(key) {
            faults.add(&field, "is listed twice");
        }
        let mut others: Vec<&Name> = book
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
            faults.add(&field, &format!("is already a key of organisation {other}"));
        }
    }
}

#[derive(Default)]
struct Faults {
    list: Vec<Fault>,
}

impl Faults {
    fn add(&mut self, field: &str, problem: &str) {
        self.list.push(Fault::new(field, problem));
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
        let is_length = (1..=TEXT_MAX).contains(&text.len());
        if !is_length || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            self.add(field, "expected 1 to 256 printable ASCII characters without spaces");
        }
    }
}

fn labels(record: &Record, faults: &mut Faults) {
    if record.labels.len() > LABELS_MAX {
        faults.add("metadata.labels", "expected at most 64 labels");
    }
    for (label, value) in &record.labels {
        if label.is_empty() || label.len() > NAME_MAX || value.len() > TEXT_MAX {
            let problem = "expected a label of 1 to 63 bytes and a value of at most 256 bytes";
            faults.add("metadata.labels", problem);
        }
    }
}

fn organisation(spec: &Organisation, faults: &mut Faults) {
    faults.range("spec.weight", spec.weight, 1..=1_000);
    faults.range("spec.priority", spec.priority.unwrap_or(0), 0..=PRIORITY_MAX);
    for (ix, key) in spec.keys.iter().enumerate() {
        faults.text(&format!("spec.keys[{ix}]"), key);
    }
}

fn service(spec: &Service, faults: &mut Faults) {
    faults.range("spec.queueMs", spec.queue_ms, 1..=QUEUE_MS_MAX);
    for (ix, method) in spec.once_methods.iter().enumerate() {
        let is_method = (1..=16).contains(&method.len())
            && method.bytes().all(|byte| byte.is_ascii_uppercase());
        if !is_method {
            let field = format!("spec.onceMethods[{ix}]");
            faults.add(&field, "expected an HTTP method in capital letters");
        }
    }
}

fn zone(spec: &AvailabilityZone, faults: &mut Faults) {
    faults.name("spec.region", &spec.region);
}

fn target(spec: &Target, faults: &mut Faults) {
    let address = spec.address.parse::<SocketAddr>();
    if address.is_err() || address.is_ok_and(|address| address.port() == 0) {
        faults.add("spec.address", "expected IP:port");
    }
    faults.range("spec.coldLimit", spec.cold_limit, 1..=COUNT_MAX);
    faults.range("spec.warmLimit", spec.warm_limit, 1..=COUNT_MAX);
    if spec.cold_limit > spec.warm_limit {
        faults.add("spec.coldLimit", "expected at most warmLimit");
    }
    faults.range("spec.kvTokens", spec.kv_tokens, 0..=KV_TOKENS_MAX);
    if let Some(role) = &spec.role {
        faults.name("spec.role", role);
    }
}

fn configuration(spec: &Configuration, faults: &mut Faults) {
    faults.range("spec.organisationQueue", spec.organisation_queue, 1..=COUNT_MAX);
    faults.range("spec.poolQueue", spec.pool_queue, 1..=COUNT_MAX);
    faults.range("spec.kvPercent", spec.kv_percent, 1..=100);
    faults.range("spec.loadSlots", spec.load_slots, 0..=1_000);
    faults.range("spec.standbyPercent", spec.standby_percent, 0..=100);
    faults.range("spec.keyAgeMs", spec.key_age_ms, 0..=COUNT_MAX);
    faults.range("spec.feedAgeMs", spec.feed_age_ms, 0..=COUNT_MAX);
    faults.range("spec.retryPercent", spec.retry_percent, 0..=100);
    faults.range("spec.retrySlack", spec.retry_slack.unwrap_or(0), 0..=COUNT_MAX);
    for (ix, model) in spec.models.iter().enumerate() {
        let field = format!("spec.models[{ix}]");
        faults.text(&field, model);
        let parts = model.split_once('@');
        if !parts.is_some_and(|(name, version)| !name.is_empty() && !version.is_empty()) {
            faults.add(&field, "expected name@version");
        }
    }
    for (ix, adapter) in spec.adapters.iter().enumerate() {
        faults.text(&format!("spec.adapters[{ix}]"), adapter);
    }
    policies(&spec.policy, faults);
}

fn route(spec: &Route, faults: &mut Faults) {
    let is_host = !spec.host.is_empty()
        && spec.host.len() <= PATH_MAX
        && spec.host.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_host {
        faults.add("spec.host", "expected a host name");
    }
    let path = &spec.path_prefix;
    if !path.starts_with('/') || !path.ends_with('/') || path.len() > PATH_MAX {
        faults.add("spec.pathPrefix", "expected a path with a slash at both ends");
    }
    if spec.shares.is_empty() {
        faults.add("spec.shares", "expected at least one service");
    }
    for (ix, share) in spec.shares.iter().enumerate() {
        faults.range(&format!("spec.shares[{ix}].weight"), share.weight, 0..=SHARE_MAX);
    }
    if !spec.shares.is_empty() && spec.shares.iter().all(|share| share.weight == 0) {
        faults.add("spec.shares", "expected a weight above 0");
    }
    faults.range("spec.timeoutMs", spec.timeout_ms, 1..=QUEUE_MS_MAX);
    faults.range("spec.targetLatencyMs", spec.target_latency_ms, 1..=QUEUE_MS_MAX);
    faults.range("spec.attempts", spec.attempts, 1..=COUNT_MAX);
    faults.range("spec.priority", spec.priority, 0..=PRIORITY_MAX);
}

fn policies(spec: &crate::resource::Policy, faults: &mut Faults) {
    let plugins = policy::all();
    let registered = |name: &str, is_stage: fn(&Stage) -> bool| {
        plugins.iter().any(|plugin| plugin.name == name && is_stage(&plugin.stage))
    };
    let is_order = |stage: &Stage| matches!(stage, Stage::Order(_));
    if !ORDER.contains(&&*spec.order) && !registered(&spec.order, is_order) {
        faults.add("spec.policy.order", "no Order policy has this name");
    }
    let is_score = |stage: &Stage| matches!(stage, Stage::Score(_));
    for (ix, name) in spec.score.iter().enumerate() {
        if !SCORE.contains(&&**name) && !registered(name, is_score) {
            let field = format!("spec.policy.score[{ix}]");
            faults.add(&field, "no Score policy has this name");
        }
    }
    let is_switched = |stage: &Stage| matches!(stage, Stage::Admit(_) | Stage::Filter(_));
    for (ix, name) in spec.off.iter().enumerate() {
        if !SWITCHED.contains(&&**name) && !registered(name, is_switched) {
            let field = format!("spec.policy.off[{ix}]");
            faults.add(&field, "no Admit or Filter policy has this name");
        }
    }
}
