//! Reviews of resource files against resources in force.

use hornbeamloom_ctl::review::{self, Review};
use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::resource::{Key, Record, ResourceMap};
use hornbeamloom_wire::manifest;

/// A set of resources in which nothing is found.
const IN_FORCE: &str = "
kind: AvailabilityZone
metadata: {name: z}
spec: {region: r, state: out}
---
kind: Configuration
metadata: {name: default}
spec: {retryPercent: 0, retrySlack: 0}
---
kind: Service
metadata: {name: s}
spec: {queueMs: 500}
---
kind: Target
metadata: {name: t}
spec: {service: s, zone: z, address: '127.0.0.1:1'}
---
kind: Organisation
metadata: {name: o}
spec: {keys: [key-1]}
---
kind: Route
metadata: {name: b}
spec: {host: h.example, pathPrefix: /a/, shares: [{service: s}], timeoutMs: 1000, targetLatencyMs: 300}
";

fn in_force() -> ResourceMap {
    let documents = manifest::parse_file(IN_FORCE).unwrap().into_iter();
    let records = documents.map(|document| {
        let key = Key { kind: document.kind, name: document.metadata.name.unwrap() };
        let spec = Some(document.spec);
        let record = Record {
            key: key.clone(),
            version: Revision(1),
            generation: 1,
            labels: Default::default(),
            spec,
        };
        (key, record)
    });
    records.collect()
}

/// The messages of a review as `LINE RESOURCE FIELD: PROBLEM`, errors first.
fn messages(review: &Review) -> Vec<String> {
    let messages = review.errors.iter().chain(&review.warnings);
    let line = |message: &review::Message| message.line.map_or("-".to_owned(), |n| n.to_string());
    messages.map(|m| format!("{} {} {}: {}", line(m), m.resource, m.field, m.problem)).collect()
}

fn finds(file: &str, expected: &[&str]) {
    assert_eq!(messages(&review::file(file, &in_force())), expected);
}

cases! {
    finds;
    nothing_in_the_resources_in_force: (IN_FORCE, &[]);

    // Guards against an error without its place in the file, and against a review that ends at the
    // first error.
    every_error_has_its_line: (
        "kind: Service\nmetadata:\n  name: s\nspec:\n  queueMs: 0\n---\nkind: Target\nmetadata: {name: u}\nspec:\n  zone: z\n  service: x\n  address: nowhere\n",
        &[
            "5 services/s spec.queueMs: expected 1 to 3600000",
            "12 targets/u spec.address: expected IP:port",
            "11 targets/u spec.service: refers to services that do not exist",
        ],
    );
    unknown_field: (
        "kind: Service\nmetadata: {name: s}\nspec:\n  queueMs: 400\n  colour: red\n",
        &["5 document 1 spec.colour: unknown field `colour`, expected one of `protocol`, `interactive`, `onceMethods`, `queueMs`, `configuration`, `relocatable`"],
    );
    missing_name: ("kind: Service\nspec: {}\n", &["1 document 1 metadata.name: is missing"]);
    document_that_is_declared_twice: (
        "kind: Service\nmetadata: {name: s}\nspec: {queueMs: 500}\n---\nkind: Service\nmetadata: {name: s}\nspec: {queueMs: 400}\n",
        &["6 services/s metadata.name: an earlier document of the file has the same kind and name"],
    );

    // Guards against routes that no request reaches, or that take those of another route unnoticed.
    same_host_and_prefix: (
        "kind: Route\nmetadata: {name: c}\nspec:\n  host: H.example\n  pathPrefix: /a/\n  shares: [{service: s}]\n",
        &["5 routes/c spec.pathPrefix: never matches: route b has the same host and prefix"],
    );
    prefix_below_that_of_another_route: (
        "kind: Route\nmetadata: {name: c}\nspec:\n  host: h.example\n  pathPrefix: /a/b/\n  shares: [{service: s}]\n",
        &[
            "- routes/b spec.pathPrefix: route c takes the requests below /a/b/ from this route",
            "5 routes/c spec.pathPrefix: lies below /a/ of route b",
        ],
    );
    prefix_that_no_path_has: (
        "kind: Route\nmetadata: {name: c}\nspec:\n  host: other.example\n  pathPrefix: /a?b/\n  shares: [{service: s}]\n",
        &["5 routes/c spec.pathPrefix: never matches: a path contains no ? or #"],
    );
    host_that_no_request_names: (
        "kind: Route\nmetadata: {name: c}\nspec: {host: other.example/a, pathPrefix: /, shares: [{service: s}]}\n",
        &["3 routes/c spec.host: never matches: a host name contains no slash"],
    );

    // Guards against limits of which one makes the other meaningless.
    latency_target_beyond_the_time_out: (
        "kind: Route\nmetadata: {name: b}\nspec:\n  host: h.example\n  pathPrefix: /a/\n  shares: [{service: s}]\n  timeoutMs: 500\n  targetLatencyMs: 900\n",
        &["8 routes/b spec.targetLatencyMs: 900 ms is never exceeded: timeoutMs is 500"],
    );
    attempts_without_a_retry_budget: (
        "kind: Route\nmetadata: {name: b}\nspec:\n  host: h.example\n  pathPrefix: /a/\n  shares: [{service: s}]\n  rerun: allowed\n  attempts: 3\n  targetLatencyMs: 300\n",
        &["8 routes/b spec.attempts: 3 attempts are never made: the configuration of service s allows no retries"],
    );
    queue_beyond_the_time_out: (
        "kind: Service\nmetadata: {name: s}\nspec: {queueMs: 2000}\n",
        &["3 services/s spec.queueMs: a request of route b is given up after 1000 ms"],
    );
    queue_of_an_organisation_beyond_that_of_the_pool: (
        "kind: Configuration\nmetadata: {name: default}\nspec:\n  organisationQueue: 9\n  poolQueue: 8\n",
        &["4 configurations/default spec.organisationQueue: the queue of a pool ends at 8"],
    );
    standby_memory_beyond_the_usable_one: (
        "kind: Configuration\nmetadata: {name: default}\nspec: {kvPercent: 50, standbyPercent: 60}\n",
        &["3 configurations/default spec.standbyPercent: memory is used up to kvPercent only, 50"],
    );

    // Guards against entries without effect.
    organisation_without_keys: (
        "kind: Organisation\nmetadata: {name: p}\nspec: {weight: 2}\n",
        &["3 organisations/p spec.keys: without a key the organisation cannot send requests"],
    );
    configuration_without_services: (
        "kind: Configuration\nmetadata: {name: spare}\nspec: {}\n",
        &["2 configurations/spare metadata.name: no service uses this configuration"],
    );
    service_without_targets: (
        "kind: Service\nmetadata: {name: empty}\nspec: {}\n---\nkind: Route\nmetadata: {name: c}\nspec: {host: other.example, pathPrefix: /, shares: [{service: empty}]}\n",
        &[
            "3 services/empty spec: has no declared target",
            "7 routes/c spec.shares[0]: service empty has no declared target",
        ],
    );
}

/// Guards against a change that is missed, shown without its values, or shown where none is.
fn changes(file: &str, expected: &[&str]) {
    let review = review::file(file, &in_force());
    let fields = review.changes.iter().flat_map(|change| {
        let created = change.is_new.then(|| format!("new {}", change.resource));
        let fields = change.fields.iter().map(|field| {
            format!("{} {} {} -> {}", change.resource, field.field, field.from, field.to)
        });
        created.into_iter().chain(fields).collect::<Vec<String>>()
    });
    assert_eq!(fields.collect::<Vec<String>>(), expected);
}

cases! {
    changes;
    file_in_force: (IN_FORCE, &[]);
    zone_that_is_drained_stays_so: ("kind: AvailabilityZone\nmetadata: {name: z}\nspec: {region: r}\n", &[]);
    field_with_its_values: (
        "kind: Service\nmetadata: {name: s, labels: {team: desk}}\nspec: {queueMs: 400}\n",
        &["services/s labels.team null -> \"desk\"", "services/s spec.queueMs 500 -> 400"],
    );
    new_resource: ("kind: Service\nmetadata: {name: n}\nspec: {}\n", &["new services/n"]);
    caller_keys_are_hidden: (
        "kind: Organisation\nmetadata: {name: o}\nspec: {keys: [key-2]}\n",
        &["organisations/o spec.keys \"1 (hidden)\" -> \"1 (hidden)\""],
    );
}
