//! Validation reports exactly the invalid fields.

use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::resource::{
    AvailabilityZone, Configuration, Key, Kind, Organisation, Policy, Protocol, Record, Rerun,
    ResourceMap, Route, Service, Share, Spec, Target, ZoneState,
};
use hornbeamloom_kernel::validate::{self, references};

fn record(name: &str, spec: Spec) -> Record {
    Record {
        key: Key { kind: spec.kind(), name: name.into() },
        version: Revision(1),
        generation: 1,
        labels: Default::default(),
        spec: Some(spec),
    }
}

fn organisation(weight: u32, keys: &[&str], services: &[&str]) -> Spec {
    Spec::Organisation(Organisation {
        weight,
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        services: services.iter().map(|name| (*name).into()).collect(),
        priority: None,
    })
}

fn service(change: fn(&mut Service)) -> Spec {
    let mut spec = Service {
        protocol: Protocol::Model,
        interactive: false,
        once_methods: Vec::new(),
        queue_ms: 30_000,
        configuration: None,
        relocatable: false,
    };
    change(&mut spec);
    Spec::Service(spec)
}

fn zone(region: &str) -> Spec {
    let region = region.into();
    let state = ZoneState::InService;
    Spec::AvailabilityZone(AvailabilityZone { region, state })
}

fn target(change: fn(&mut Target)) -> Spec {
    let mut spec = Target {
        service: "menu-model".into(),
        zone: "riga-a".into(),
        address: "127.0.0.1:9000".to_owned(),
        cold_limit: 1,
        warm_limit: 8,
        cold_rate: 0,
        start_id: 0,
        kv_tokens: 1_000,
        fencing: false,
        leaving: false,
        role: None,
        version: None,
    };
    change(&mut spec);
    Spec::Target(spec)
}

fn route(change: fn(&mut Route)) -> Spec {
    let mut spec = Route {
        host: "menu.example".to_owned(),
        path_prefix: "/drafts/".to_owned(),
        shares: vec![Share { service: "menu-model".into(), weight: 1 }],
        rerun: Default::default(),
        streaming: true,
        timeout_ms: 6_000,
        target_latency_ms: 1_500,
        target_pause_ms: None,
        attempts: 2,
        priority: 0,
        public: false,
        resumable: true,
    };
    change(&mut spec);
    Spec::Route(spec)
}

fn configuration(change: fn(&mut Configuration)) -> Spec {
    let mut spec = Configuration::default();
    change(&mut spec);
    Spec::Configuration(spec)
}

fn policy(change: fn(&mut Policy)) -> Spec {
    let mut spec = Configuration::default();
    change(&mut spec.policy);
    Spec::Configuration(spec)
}

/// The existing resources that the cases are validated against; `gone` is a tombstone.
fn resources() -> ResourceMap {
    let mut records = vec![
        record("menu-model", service(|_| {})),
        record("riga-a", zone("riga")),
        record("org-1", organisation(1, &["secret-key"], &["menu-model"])),
        record("engine-1", target(|_| {})),
    ];
    let mut gone = record("gone", zone("riga"));
    gone.spec = None;
    records.push(gone);
    let entries = records.into_iter();
    entries.map(|record| (record.key.clone(), record)).collect()
}

/// Guards against values that would break the scheduler, and against errors that name no field or
/// contain a secret.
fn reports_errors_at(name: &str, spec: Spec, expected: &[&str]) {
    let errors = validate::record(&record(name, spec), &resources());
    let fields: Vec<&str> = errors.iter().map(|error| error.field.as_str()).collect();
    assert_eq!(fields, expected, "{errors:?}");
    assert!(errors.iter().all(|error| !error.to_string().contains("secret-key")));
}

hornbeamloom_kernel::cases! {
    reports_errors_at;
    sound_target_passes: ("engine-2", target(|_| {}), &[]);
    name_of_63_characters_passes: (&"a".repeat(63), zone("riga"), &[]);
    name_of_64_characters_fails: (&"a".repeat(64), zone("riga"), &["metadata.name"]);
    empty_name_fails: ("", zone("riga"), &["metadata.name"]);
    capital_in_name_fails: ("Riga", zone("riga"), &["metadata.name"]);
    slash_in_name_fails: ("riga/a", zone("riga"), &["metadata.name"]);
    region_format_is_checked: ("z", zone("Riga 1"), &["spec.region"]);
    weight_zero_fails: ("o", organisation(0, &[], &[]), &["spec.weight"]);
    weight_1000_passes: ("o", organisation(1_000, &[], &[]), &[]);
    weight_1001_fails: ("o", organisation(1_001, &[], &[]), &["spec.weight"]);
    empty_key_fails: ("o", organisation(1, &[""], &[]), &["spec.keys[0]"]);
    key_of_another_organisation_fails: ("o", organisation(1, &["k", "secret-key"], &[]), &["spec.keys[1]"]);
    own_key_stays: ("org-1", organisation(2, &["secret-key"], &[]), &[]);
    key_listed_twice_fails: ("o", organisation(1, &["k", "k"], &[]), &["spec.keys[1]"]);
    unknown_service_of_organisation_fails: ("o", organisation(1, &[], &["menu-model", "x"]), &["spec.services[1]"]);
    unknown_configuration_fails: ("s", service(|s| s.configuration = Some("x".into())), &["spec.configuration"]);
    queue_deadline_zero_fails: ("s", service(|s| s.queue_ms = 0), &["spec.queueMs"]);
    method_in_small_letters_fails: ("s", service(|s| s.once_methods = vec!["post".into()]), &["spec.onceMethods[0]"]);
    unknown_service_of_target_fails: ("t", target(|t| t.service = "x".into()), &["spec.service"]);
    unknown_zone_of_target_fails: ("t", target(|t| t.zone = "x".into()), &["spec.zone"]);
    tombstone_is_no_zone: ("t", target(|t| t.zone = "gone".into()), &["spec.zone"]);
    host_name_as_address_fails: ("t", target(|t| t.address = "host:80".into()), &["spec.address"]);
    port_zero_fails: ("t", target(|t| t.address = "127.0.0.1:0".into()), &["spec.address"]);
    cold_limit_zero_fails: ("t", target(|t| t.cold_limit = 0), &["spec.coldLimit"]);
    cold_above_warm_fails: ("t", target(|t| t.cold_limit = 9), &["spec.coldLimit"]);
    resumable_stream_passes: ("r", route(|_| {}), &[]);
    // Guards against calls that run again although their route only marks them as resumable.
    resumable_route_without_streaming_fails: ("r", route(|r| r.streaming = false), &["spec.resumable"]);
    kv_percent_zero_fails: ("c", configuration(|c| c.kv_percent = 0), &["spec.kvPercent"]);
    kv_percent_101_fails: ("c", configuration(|c| c.kv_percent = 101), &["spec.kvPercent"]);
    model_without_version_fails: ("c", configuration(|c| c.models = vec!["m".into()]), &["spec.models[0]"]);
    model_with_version_passes: ("c", configuration(|c| c.models = vec!["m@2".into()]), &[]);
    unknown_order_fails: ("c", policy(|p| p.order = "lifo".into()), &["spec.policy.order"]);
    unknown_choice_of_pools_fails: ("c", policy(|p| p.pools = "luck".into()), &["spec.policy.pools"]);
    spread_and_pauses_pass: ("c", policy(|p| { p.pools = "spread".into(); p.score.push("pauses".into()); }), &[]);
    unknown_score_fails: ("c", policy(|p| p.score = vec!["luck".into()]), &["spec.policy.score[0]"]);
    filter_is_no_score: ("c", policy(|p| p.score = vec!["ramp".into()]), &["spec.policy.score[0]"]);
    score_cannot_be_switched_off: ("c", policy(|p| p.off = vec!["kvload".into()]), &["spec.policy.off[0]"]);
    baseline_policies_pass: ("c", policy(|p| { p.order = "fifo".into(); p.off = vec!["ramp".into(), "headroom".into()]; }), &[]);
}

/// Guards against a bound on pauses that can never apply, and against a value of zero.
fn pause_bound(streaming: bool, target_pause_ms: Option<u64>, expected: &[&str]) {
    let spec = Route {
        host: "bookings.example".to_owned(),
        path_prefix: "/".to_owned(),
        shares: vec![Share { service: "menu-model".into(), weight: 1 }],
        rerun: Rerun::Never,
        streaming,
        timeout_ms: 39_000,
        target_latency_ms: 1_800,
        target_pause_ms,
        attempts: 1,
        priority: 1,
        public: false,
        resumable: false,
    };
    reports_errors_at("r", Spec::Route(spec), expected);
}

hornbeamloom_kernel::cases! {
    pause_bound;
    a_stream_may_have_one: (true, Some(180), &[]);
    a_stream_needs_none: (true, None, &[]);
    zero_fails: (true, Some(0), &["spec.targetPauseMs"]);
    other_responses_have_no_pauses: (false, Some(180), &["spec.targetPauseMs"]);
}

/// Guards against deletions that would leave dangling references.
fn has_referrers(kind: Kind, name: &str, expected: &[&str]) {
    let name = name.into();
    let referrers = validate::referrers(&Key { kind, name }, &resources());
    let names: Vec<&str> = referrers.iter().map(|key| &*key.name).collect();
    assert_eq!(names, expected);
}

hornbeamloom_kernel::cases! {
    has_referrers;
    service_is_used_by_organisation_and_target: (Kind::Service, "menu-model", &["org-1", "engine-1"]);
    zone_is_used_by_target: (Kind::AvailabilityZone, "riga-a", &["engine-1"]);
    target_is_used_by_nothing: (Kind::Target, "engine-1", &[]);
    same_name_of_another_kind_is_not_used: (Kind::Configuration, "menu-model", &[]);
}

/// Guards against a kind that refers to a later kind: applying a file in order would fail, and
/// references could form a cycle.
fn refers_only_to_earlier_kinds(spec: Spec) {
    let rank = |kind: Kind| Kind::ALL.iter().position(|other| *other == kind);
    let own = rank(spec.kind());
    assert!(references(&spec).iter().all(|reference| rank(reference.key.kind) < own));
}

hornbeamloom_kernel::cases! {
    refers_only_to_earlier_kinds;
    organisation_comes_after_services: (organisation(1, &[], &["menu-model"]));
    service_comes_after_configurations: (service(|s| s.configuration = Some("c".into())));
    target_comes_after_services_and_zones: (target(|_| {}));
}

/// Guards against a route that the preceding build, which rejects fields that it does not know, cannot
/// read although it is not resumable.
#[test]
fn route_that_is_not_resumable_is_encoded_as_before() {
    let encoded = |change: fn(&mut Route)| serde_json::to_string(&route(change)).unwrap();
    assert!(!encoded(|r| r.resumable = false).contains("resumable"));
    assert!(encoded(|_| {}).contains("\"resumable\":true"));
}
