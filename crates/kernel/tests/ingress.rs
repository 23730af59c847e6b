//! Route matching and selection of the service.

use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::ids::{Incarnation, Millis, Revision};
use hornbeamloom_kernel::ingress;
use hornbeamloom_kernel::kernel::{Identity, Kernel};
use hornbeamloom_kernel::peer::Delta;
use hornbeamloom_kernel::resource::{
    Key, Kind, Organisation, Record, Rerun, Route, Service, Share, Spec,
};

fn record(kind: Kind, name: &str, spec: Spec) -> Record {
    Record {
        key: Key { kind, name: name.into() },
        version: Revision(1),
        generation: 1,
        labels: Default::default(),
        spec: Some(spec),
    }
}

fn route(host: &str, prefix: &str, shares: &[(&str, u32)]) -> Route {
    let share = |&(service, weight): &(&str, u32)| Share { service: service.into(), weight };
    Route {
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        shares: shares.iter().map(share).collect(),
        rerun: Rerun::Never,
        streaming: true,
        timeout_ms: 6_000,
        target_latency_ms: 1_500,
        target_pause_ms: None,
        attempts: 2,
        priority: 4,
        public: false,
        resumable: false,
    }
}

fn kernel() -> Kernel {
    let mut kernel = Kernel::new(Identity::new("e1", "a1", Incarnation(1)));
    let service = Service {
        protocol: Default::default(),
        interactive: false,
        once_methods: Vec::new(),
        queue_ms: 1_000,
        configuration: None,
        relocatable: true,
    };
    let organisation = |priority| {
        let services = Vec::new();
        Spec::Organisation(Organisation { weight: 1, keys: Vec::new(), services, priority })
    };
    let records = vec![
        record(Kind::Service, "desk", Spec::Service(service)),
        record(Kind::Organisation, "plain", organisation(None)),
        record(Kind::Organisation, "urgent", organisation(Some(0))),
        record(Kind::Route, "all", Spec::Route(route("a.example", "/", &[("desk", 1)]))),
        record(Kind::Route, "orders", Spec::Route(route("a.example", "/orders/", &[("desk", 1)]))),
        record(Kind::Route, "new", Spec::Route(route("a.example", "/orders/new/", &[("desk", 1)]))),
        record(Kind::Route, "other", Spec::Route(route("b.example", "/drafts/", &[("desk", 1)]))),
    ];
    let delta = Delta { from: Revision(0), to: Revision(1), sequence: 0, complete: true, records };
    kernel.handle(Event::Changes(&delta), Millis(1), &mut Vec::new());
    kernel
}

/// Compares the route of a host and path.
fn finds(host: &str, path: &str, expected: Option<&str>) {
    let kernel = kernel();
    let found = ingress::find_route(&kernel.state().intent, host, path);
    assert_eq!(found.map(|(name, _)| &**name), expected);
}

hornbeamloom_kernel::cases! {
    finds;

    // Guards against using a less specific route.
    the_longest_prefix_applies: ("a.example", "/orders/new/7", Some("new"));
    // Guards against a prefix that matches in the middle of a path segment.
    a_prefix_ends_with_a_slash: ("a.example", "/orders", Some("all"));
    // Guards against matching the query string.
    the_query_is_not_part_of_the_path: ("a.example", "/x?to=/orders/new/", Some("all"));
    // Guards against using another host's route.
    the_host_decides: ("b.example", "/orders/new/7", None);
    host_names_are_case_insensitive: ("A.Example", "/orders/7", Some("orders"));
}

/// Counts the draws that select the service `old`.
fn picks(shares: &[(&str, u32)], draws: std::ops::Range<u64>, expected: usize) {
    let route = route("a.example", "/", shares);
    let old = draws
        .filter(|draw| ingress::pick_service(&route, *draw).is_some_and(|name| &**name == "old"));
    assert_eq!(old.count(), expected);
}

hornbeamloom_kernel::cases! {
    picks;

    // Guards against traffic shares that differ from the operator's weights.
    shares_follow_the_weights: (&[("old", 90), ("new", 10)], 0..100, 90);
    // Guards against requests to a service with weight zero.
    a_weight_of_zero_gets_nothing: (&[("old", 0), ("new", 3)], 0..30, 0);
    // Guards against a panic when a route has no weights.
    without_weights_there_is_no_service: (&[("old", 0)], 0..5, 0);
}

/// Compares the priority of an organisation's request.
fn ranks(organisation: &str, expected: u8) {
    let kernel = kernel();
    let intent = &kernel.state().intent;
    let (_, route) = ingress::find_route(intent, "a.example", "/orders/1").expect("a route");
    let options = ingress::route_options(intent, route, "desk", organisation);
    assert_eq!(options.priority, Some(expected));
    assert_eq!((options.max_attempts, options.relocatable), (Some(2), true));
}

hornbeamloom_kernel::cases! {
    ranks;

    the_route_has_a_rank: ("plain", 4);
    // Guards against an urgent organisation that waits behind the others of its route.
    the_organisation_goes_before_the_route: ("urgent", 0);
}
