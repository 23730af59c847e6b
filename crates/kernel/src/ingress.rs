//! Matches requests to routes and selects a service of the route.

use crate::ids::Name;
use crate::intent::Intent;
use crate::request::RouteOptions;
use crate::resource::Route;

/// Divides the target latency of a route to get the queue timeout. A model engine needs the other
/// half to process the prompt.
const QUEUE_TIMEOUT_DIVISOR: u64 = 2;

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
    let matching = intent.routes().filter(|(_, route)| {
        route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.path_prefix)
    });
    // Two routes with the same prefix are a configuration error; choosing by name gives the same
    // result on every VM.
    matching.max_by_key(|(name, route)| (route.path_prefix.len(), std::cmp::Reverse(*name)))
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
///     attempts: 1,
///     priority: 0,
///     public: false,
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
        max_attempts: Some(route.attempts),
        spills: true,
        balances_zones: true,
        relocatable: relocatable && route.streaming,
    }
}
