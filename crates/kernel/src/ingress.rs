//! Matches requests to routes and selects a service of the route.

use std::cmp::Reverse;

use crate::ids::Name;
use crate::intent::Intent;
use crate::map::Map;
use crate::random::hash;
use crate::request::RouteOptions;
use crate::resource::Route;

/// Divides the target latency of a route to get the queue timeout. A model engine needs the other
/// half to process the prompt.
const QUEUE_TIMEOUT_DIVISOR: u64 = 2;

/// The target latency of a route whose requests have this queue timeout, both in milliseconds.
pub(crate) fn latency_target_ms(queue_timeout_ms: u64) -> u64 {
    queue_timeout_ms.saturating_mul(QUEUE_TIMEOUT_DIVISOR)
}

/// Routes by host and path prefix. A lookup takes one step for each length that the prefixes of the
/// host have, and none for each route.
#[derive(Debug, Default)]
pub(crate) struct RouteIndex {
    hosts: Map<String, HostRoutes>,
}

#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: Map<String, Name>,
    /// Lengths of the prefixes, longest first.
    lengths: Vec<usize>,
}

impl RouteIndex {
    /// An index of `routes`. Two routes with the same prefix are a configuration error; choosing by
    /// name gives the same result on every VM.
    pub(crate) fn new<'a>(routes: impl Iterator<Item = (&'a Name, &'a Route)>) -> RouteIndex {
        let mut index = RouteIndex::default();
        for (name, route) in routes {
            let host = index.hosts.entry(route.host.to_ascii_lowercase()).or_default();
            let chosen =
                host.by_prefix.entry(route.path_prefix.clone()).or_insert_with(|| name.clone());
            if name < chosen {
                *chosen = name.clone();
            }
        }
        for host in index.hosts.values_mut() {
            host.lengths = host.by_prefix.keys().map(String::len).collect();
            host.lengths.sort_unstable_by_key(|length| Reverse(*length));
            host.lengths.dedup();
        }
        index
    }

    /// The name of the route with the longest prefix of `path`.
    fn find(&self, host: &str, path: &str) -> Option<&Name> {
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut prefixes = routes.lengths.iter().filter_map(|length| path.get(..*length));
        prefixes.find_map(|prefix| routes.by_prefix.get(prefix))
    }
}

/// The route for a host and path: the one with the longest matching path prefix.
///
/// ```
/// use hornbeamloom_kernel::ingress;
/// use hornbeamloom_kernel::intent::Intent;
///
/// assert!(ingress::find_route(&Intent::default(), "notices.example", "/drafts/1").is_none());
/// ```
pub fn find_route<'a>(intent: &'a Intent, host: &str, path: &str) -> Option<(&'a Name, &'a Route)> {
    let path = path.split('?').next().unwrap_or(path);
    let name = intent.route_index().find(host, path)?;
    Some((name, intent.route(name)?))
}

/// Selects the service for one request of a route; `draw` is a uniformly distributed number.
///
/// ```
/// use hornbeamloom_kernel::ingress;
/// use hornbeamloom_kernel::resource::{Rerun, Route, Share};
///
/// let share = |service: &str, weight| Share { service: service.into(), weight };
/// let route = Route {
///     host: "notices.example".to_owned(),
///     path_prefix: "/orders/".to_owned(),
///     shares: vec![share("old-desk", 90), share("new-desk", 10)],
///     rerun: Rerun::Never,
///     streaming: false,
///     timeout_ms: 800,
///     target_latency_ms: 300,
///     target_pause_ms: None,
///     attempts: 1,
///     priority: 0,
///     public: false,
///     resumable: false,
/// };
/// assert_eq!(ingress::pick_service(&route, 5).map(|name| &**name), Some("old-desk"));
/// assert_eq!(ingress::pick_service(&route, 95).map(|name| &**name), Some("new-desk"));
/// ```
pub fn pick_service(route: &Route, draw: u64) -> Option<&Name> {
    let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut left = draw.checked_rem(total)?;
    let chosen = route.shares.iter().find(|share| {
        let weight = u64::from(share.weight);
        let is_chosen = left < weight;
        left = left.saturating_sub(weight);
        is_chosen
    });
    chosen.map(|share| &share.service)
}

/// The options that `route` sets for a request of `organisation` to one of its services.
///
/// The priority of the organisation takes precedence over that of the route.
pub fn route_options(
    intent: &Intent,
    route: &Route,
    service: &str,
    organisation: &str,
) -> RouteOptions {
    let priority = intent.organisation(organisation).and_then(|organisation| organisation.priority);
    let relocatable = intent.service(service).is_some_and(|service| service.relocatable);
    RouteOptions {
        priority: Some(priority.unwrap_or(route.priority)),
        queue_timeout_ms: Some(route.target_latency_ms / QUEUE_TIMEOUT_DIVISOR),
        timeout_ms: Some(route.timeout_ms),
        max_attempts: Some(route.attempts),
        spills: true,
        balances_zones: true,
        relocatable: relocatable && route.streaming,
        resumable: route.resumable && route.streaming,
        route: hash(&[&route.host, &route.path_prefix]) as u32,
    }
}
