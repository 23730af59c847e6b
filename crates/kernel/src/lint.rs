//! Checks a set of valid resources for entries without effect and for limits that contradict each
//! other.
//!
//! [`crate::validate`] rejects a record that is wrong by itself. What is found here is accepted, and
//! probably not what its author wants.

use std::collections::BTreeMap;

use crate::ids::Name;
use crate::resource::{
    Configuration, Key, Kind, Organisation, Record, Rerun, ResourceMap, Route, Service, Spec,
};

/// Name of the configuration of services that name none.
const DEFAULT_CONFIGURATION: &str = "default";
/// Characters that end the path of a request, so that no path contains them.
const PATH_ENDS: [char; 2] = ['?', '#'];

/// Something that is valid and probably a mistake.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The resource.
    pub key: Key,
    /// Path of the field, for example `spec.timeoutMs`.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

/// Returns what is found in `resources`, sorted by resource and field.
///
/// ```
/// use hornbeamloom_kernel::lint;
/// use hornbeamloom_kernel::resource::ResourceMap;
///
/// assert!(lint::findings(&ResourceMap::default()).is_empty());
/// ```
pub fn findings(resources: &ResourceMap) -> Vec<Finding> {
    let mut findings = Findings::default();
    for record in resources.values() {
        match &record.spec {
            Some(Spec::Route(route)) => check_route(record, route, resources, &mut findings),
            Some(Spec::Service(service)) => {
                check_service(record, service, resources, &mut findings)
            }
            Some(Spec::Organisation(spec)) => check_organisation(record, spec, &mut findings),
            Some(Spec::Configuration(spec)) => {
                check_configuration(record, spec, resources, &mut findings);
            }
            Some(Spec::AvailabilityZone(_) | Spec::Target(_)) | None => {}
        }
    }
    check_prefixes(resources, &mut findings);
    findings.list.sort();
    findings.list
}

#[derive(Debug, Default)]
struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    fn add(&mut self, key: &Key, field: &str, problem: String) {
        self.list.push(Finding { key: key.clone(), field: field.to_owned(), problem });
    }
}

fn check_route(record: &Record, route: &Route, resources: &ResourceMap, findings: &mut Findings) {
    let key = &record.key;
    if route.host.contains('/') {
        let problem = "never matches: a host name contains no slash".to_owned();
        findings.add(key, "spec.host", problem);
    }
    if route.path_prefix.contains(PATH_ENDS) {
        let problem = "never matches: a path contains no ? or #".to_owned();
        findings.add(key, "spec.pathPrefix", problem);
    }
    if route.target_latency_ms > route.timeout_ms {
        let (target, timeout) = (route.target_latency_ms, route.timeout_ms);
        let problem = format!("{target} ms is never exceeded: timeoutMs is {timeout}");
        findings.add(key, "spec.targetLatencyMs", problem);
    }
    for (ix, share) in route.shares.iter().enumerate() {
        let Some(service) = find_service(resources, &share.service) else {
            continue;
        };
        if share.weight > 0 && target_count(resources, &share.service) == 0 {
            let problem = format!("service {} has no declared target", share.service);
            findings.add(key, &format!("spec.shares[{ix}]"), problem);
        }
        let is_retried = route.attempts > 1 && route.rerun == Rerun::Allowed;
        if is_retried && !allows_retries(configuration_of(resources, service)) {
            let problem = format!(
                "{} attempts are never made: the configuration of service {} allows no retries",
                route.attempts, share.service
            );
            findings.add(key, "spec.attempts", problem);
        }
    }
}

fn check_service(
    record: &Record,
    service: &Service,
    resources: &ResourceMap,
    findings: &mut Findings,
) {
    let key = &record.key;
    if target_count(resources, &key.name) == 0 {
        findings.add(key, "spec", "has no declared target".to_owned());
    }
    let routes = routes(resources).filter(|(_, route)| {
        route.shares.iter().any(|share| share.weight > 0 && share.service == key.name)
    });
    let shortest = routes.map(|(record, route)| (route.timeout_ms, &record.key.name)).min();
    if let Some((timeout_ms, route)) = shortest.filter(|(ms, _)| service.queue_ms > *ms) {
        let problem = format!("a request of route {route} is given up after {timeout_ms} ms");
        findings.add(key, "spec.queueMs", problem);
    }
}

fn check_organisation(record: &Record, organisation: &Organisation, findings: &mut Findings) {
    if organisation.keys.is_empty() {
        let problem = "without a key the organisation cannot send requests".to_owned();
        findings.add(&record.key, "spec.keys", problem);
    }
}

fn check_configuration(
    record: &Record,
    configuration: &Configuration,
    resources: &ResourceMap,
    findings: &mut Findings,
) {
    let key = &record.key;
    if configuration.organisation_queue > configuration.pool_queue {
        let problem = format!("the queue of a pool ends at {}", configuration.pool_queue);
        findings.add(key, "spec.organisationQueue", problem);
    }
    if configuration.standby_percent > configuration.kv_percent {
        let problem = format!("memory is used up to kvPercent only, {}", configuration.kv_percent);
        findings.add(key, "spec.standbyPercent", problem);
    }
    let is_referenced = services(resources).any(|service| {
        service.configuration.as_deref().unwrap_or(DEFAULT_CONFIGURATION) == &*key.name
    });
    if !is_referenced {
        findings.add(key, "metadata.name", "no service uses this configuration".to_owned());
    }
}

/// Reports routes of one host that share a prefix, or whose prefix lies below that of another.
fn check_prefixes(resources: &ResourceMap, findings: &mut Findings) {
    let mut by_host: BTreeMap<String, Vec<(&Name, &Route, &Key)>> = BTreeMap::new();
    for (record, route) in routes(resources) {
        let host = by_host.entry(route.host.to_ascii_lowercase()).or_default();
        host.push((&record.key.name, route, &record.key));
    }
    for routes in by_host.values_mut() {
        routes.sort_by_key(|(name, route, _)| (&route.path_prefix, *name));
        for (ix, (name, route, key)) in routes.iter().enumerate() {
            // Of two routes with the same prefix, the first by name is used.
            let same = routes[..ix].iter().find(|(_, o, _)| o.path_prefix == route.path_prefix);
            if let Some((other, _, _)) = same {
                let problem = format!("never matches: route {other} has the same host and prefix");
                findings.add(key, "spec.pathPrefix", problem);
                continue;
            }
            let outer = routes[..ix].iter().rev().find(|(_, o, _)| {
                route.path_prefix.starts_with(&o.path_prefix)
                    && o.path_prefix.len() < route.path_prefix.len()
            });
            if let Some((other, outer, outer_key)) = outer {
                let problem = format!(
                    "route {name} takes the requests below {} from this route",
                    route.path_prefix
                );
                findings.add(outer_key, "spec.pathPrefix", problem);
                let problem = format!("lies below {} of route {other}", outer.path_prefix);
                findings.add(key, "spec.pathPrefix", problem);
            }
        }
    }
}

fn routes(resources: &ResourceMap) -> impl Iterator<Item = (&Record, &Route)> {
    resources.values().filter_map(|record| match &record.spec {
        Some(Spec::Route(route)) => Some((record, route)),
        _ => None,
    })
}

fn services(resources: &ResourceMap) -> impl Iterator<Item = &Service> {
    resources.values().filter_map(|record| match &record.spec {
        Some(Spec::Service(service)) => Some(service),
        _ => None,
    })
}

fn find_service<'a>(resources: &'a ResourceMap, name: &Name) -> Option<&'a Service> {
    match &resources.get(&Key { kind: Kind::Service, name: name.clone() })?.spec {
        Some(Spec::Service(service)) => Some(service),
        _ => None,
    }
}

fn configuration_of<'a>(
    resources: &'a ResourceMap,
    service: &Service,
) -> Option<&'a Configuration> {
    let name = service.configuration.clone().unwrap_or_else(|| DEFAULT_CONFIGURATION.into());
    match &resources.get(&Key { kind: Kind::Configuration, name })?.spec {
        Some(Spec::Configuration(configuration)) => Some(configuration),
        _ => None,
    }
}

/// Whether the retry budget is above zero; the defaults apply without a configuration.
fn allows_retries(configuration: Option<&Configuration>) -> bool {
    configuration.is_none_or(|configuration| {
        configuration.retry_percent > 0 || configuration.retry_slack != Some(0)
    })
}

fn target_count(resources: &ResourceMap, service: &Name) -> usize {
    let targets = resources.values().filter(|record| match &record.spec {
        Some(Spec::Target(target)) => target.service == *service && !target.leaving,
        _ => false,
    });
    targets.count()
}
