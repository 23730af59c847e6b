//! Subcommands against a mock daemon.

use std::sync::{Arc, Mutex};

use hornbeamloom_ctl::client::{Client, Error};
use hornbeamloom_ctl::{command, output};
use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::resource::Kind;
use serde_json::{json, Value};
use warp::http::{Method, StatusCode};
use warp::{Filter, Reply};

/// Responds to a request, given its number from 0, its method and its path with query.
type Handler = fn(usize, &str, &str) -> (u16, Value);

/// A mock daemon on its own runtime, which records the requests that it receives.
struct MockDaemon {
    url: String,
    received: Arc<Mutex<Vec<(String, Value)>>>,
    _runtime: tokio::runtime::Runtime,
}

impl MockDaemon {
    fn start(handler: Handler) -> MockDaemon {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let record = received.clone();
        let query = warp::query::raw().or(warp::any().map(String::new)).unify();
        let routes = warp::method()
            .and(warp::path::full())
            .and(query)
            .and(warp::header::optional::<String>("authorization"))
            .and(warp::body::bytes())
            .map(
                move |method: Method,
                      path: warp::path::FullPath,
                      query: String,
                      key,
                      body: bytes::Bytes| {
                    assert_eq!(key, Some("Bearer op-key".to_owned()));
                    let path = path.as_str().trim_start_matches("/apis/v1/");
                    let path = format!("{path}?{query}");
                    let path = path.trim_end_matches('?');
                    let mut received = record.lock().unwrap();
                    let (status, response) = handler(received.len(), method.as_str(), path);
                    let body = serde_json::from_slice(&body).unwrap_or_default();
                    received.push((format!("{method} {path}"), body));
                    reply(status, &response)
                },
            );
        let url = runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::spawn(warp::serve(routes).incoming(listener).run());
            format!("http://{address}")
        });
        MockDaemon { url, received, _runtime: runtime }
    }

    fn run(&self, argv: &[&str]) -> Result<(), Error> {
        command::run(&Client::new(&self.url).with_key("op-key"), argv)
    }

    fn requests(&self) -> Vec<String> {
        let received = self.received.lock().unwrap();
        received.iter().map(|(request, _)| request.clone()).collect()
    }

    fn body(&self, ix: usize) -> Value {
        self.received.lock().unwrap()[ix].1.clone()
    }
}

/// Encodes an array as one JSON document per line, as a watch sends them.
fn reply(status: u16, response: &Value) -> warp::reply::Response {
    let text = match response {
        Value::Array(lines) => lines.iter().map(|line| format!("{line}\n")).collect(),
        other => other.to_string(),
    };
    warp::reply::with_status(text, StatusCode::from_u16(status).unwrap()).into_response()
}

/// Writes a manifest; `name` must be unique because tests run in parallel.
fn write_manifest(name: &str, text: &str) -> String {
    let path = format!("{}/{name}.yaml", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, text).unwrap();
    path
}

const MANIFEST: &str = "
kind: Target
metadata: {name: t}
spec: {service: s, zone: z, address: '127.0.0.1:1'}
---
kind: Organisation
metadata: {name: o}
spec: {services: [s]}
---
kind: Service
metadata: {name: s}
spec: {}
---
kind: AvailabilityZone
metadata: {name: z}
spec: {region: r}
";

fn not_found(_: usize, method: &str, _: &str) -> (u16, Value) {
    match method {
        "GET" => (404, json!({"reason": "not_found"})),
        _ => (201, json!({})),
    }
}

fn empty_list(_: usize, _: &str, _: &str) -> (u16, Value) {
    (200, json!({"items": []}))
}

/// The zone of `ZONE_MANIFEST`, and nothing else.
fn zones_in_force(_: usize, _: &str, path: &str) -> (u16, Value) {
    let zone = json!({"metadata": {"name": "z", "resourceVersion": 7}, "spec": {"region": "r"}});
    match path {
        "availabilityzones" => (200, json!({"items": [zone]})),
        _ => (200, json!({"items": []})),
    }
}

/// A zone that operators have drained.
fn drained_zone(_: usize, _: &str, path: &str) -> (u16, Value) {
    match path {
        "availabilityzones/z" => (
            200,
            json!({
                "kind": "AvailabilityZone",
                "metadata": {"name": "z", "resourceVersion": 7, "labels": {}},
                "spec": {"region": "r", "state": "out"},
                "status": {"pendingCount": 0},
            }),
        ),
        _ => (404, json!({"reason": "not_found"})),
    }
}

/// Guards against requests to the wrong path, or in an order in which a reference dangles.
fn sends_requests(name: &str, handler: Handler, text: &str, argv: &[&str], expected: &[&str]) {
    let daemon = MockDaemon::start(handler);
    let path = write_manifest(name, text);
    let argv: Vec<&str> =
        argv.iter().map(|argument| if *argument == "FILE" { &path } else { *argument }).collect();
    daemon.run(&argv).unwrap();
    assert_eq!(daemon.requests(), expected);
}

const ZONE_MANIFEST: &str = "kind: AvailabilityZone\nmetadata: {name: z}\nspec: {region: r}\n";
const ZONE_MANIFEST_WITH_STATE: &str =
    "kind: AvailabilityZone\nmetadata: {name: z}\nspec: {region: r, state: in}\n";

cases! {
    sends_requests;
    apply_creates_kinds_in_reference_order: ("order", not_found, MANIFEST, &["apply", "-f", "FILE"], &[
        "GET availabilityzones/z", "POST availabilityzones", "GET services/s", "POST services",
        "GET organisations/o", "POST organisations", "GET targets/t", "POST targets",
    ]);
    dry_run_only_reads: ("dry", empty_list, MANIFEST, &["apply", "-f", "FILE", "--dry-run"], &[
        "GET configurations", "GET availabilityzones", "GET services", "GET organisations", "GET targets", "GET routes",
    ]);
    // Guards against returning a drained zone to service by applying its file again.
    apply_keeps_a_drained_zone: ("keep", drained_zone, ZONE_MANIFEST, &["apply", "-f", "FILE"], &["GET availabilityzones/z"]);
    apply_restores_a_zone_if_the_file_sets_its_state: ("restore", drained_zone, ZONE_MANIFEST_WITH_STATE, &["apply", "-f", "FILE"], &["GET availabilityzones/z", "PUT availabilityzones/z"]);
    diff_only_reads: ("diff", zones_in_force, ZONE_MANIFEST, &["diff", "-f", "FILE"], &[
        "GET configurations", "GET availabilityzones", "GET services", "GET organisations", "GET targets", "GET routes",
    ]);
    diff_prints_its_help: ("diff-help", empty_list, "", &["diff", "--help"], &[]);
    get_lists_a_kind: ("get", empty_list, "", &["get", "zones"], &["GET availabilityzones"]);
    get_reads_one_resource: ("one", drained_zone, "", &["get", "zone", "z", "-o", "json"], &["GET availabilityzones/z"]);
    describe_reads_one_resource: ("describe", drained_zone, "", &["describe", "zone", "z"], &["GET availabilityzones/z"]);
    delete_sends_the_version: ("delete", empty_list, "", &["delete", "target", "t", "--resource-version", "4"], &["DELETE targets/t?resourceVersion=4"]);
    drain_patches_the_state: ("drain", drained_zone, "", &["drain", "z"], &["PATCH availabilityzones/z"]);
    status_reads_the_status: ("status", empty_list, "", &["status"], &["GET status"]);
    explain_sends_the_request_id: ("explain", empty_list, "", &["explain", "entry-1-1-1"], &["GET explain/entry-1-1-1"]);
    quarantine_is_listed: ("list", empty_list, "", &["quarantine", "list"], &["GET quarantine"]);
    quarantine_is_lifted: ("lift", empty_list, "", &["quarantine", "lift", "1f"], &["DELETE quarantine/1f"]);
}

fn invalid(_: usize, _: &str, _: &str) -> (u16, Value) {
    (422, json!({"reason": "invalid", "detail": "spec.region"}))
}

fn conflict(_: usize, _: &str, _: &str) -> (u16, Value) {
    (409, json!({"reason": "conflict"}))
}

fn outcome_unknown(_: usize, _: &str, _: &str) -> (u16, Value) {
    (504, json!({"reason": "unknown"}))
}

fn pending_at_one_vm(_: usize, _: &str, _: &str) -> (u16, Value) {
    let status = json!({"pendingCount": 1, "pending": ["entry-2"]});
    (200, json!({"metadata": {"resourceVersion": 7}, "status": status}))
}

fn too_old(_: usize, _: &str, _: &str) -> (u16, Value) {
    let object = json!({"code": 410, "reason": "too_old"});
    (200, json!([{"type": "ERROR", "object": object}]))
}

/// Guards against exit statuses by which an operator's script takes a failure for a success, or an
/// unknown outcome for a refusal.
fn exits_with(handler: Handler, argv: &[&str], expected: u8) {
    let error = MockDaemon::start(handler).run(argv).unwrap_err();
    assert_eq!(error.exit_status(), expected, "{error}");
}

const UNKNOWN_FIELD: &str = "kind: Service\nmetadata: {name: s}\nspec: {colour: 1}\n";
const DANGLING_REFERENCE: &str = "kind: Service\nmetadata: {name: s}\nspec: {configuration: x}\n";

cases! {
    exits_with;
    usage_is_2: (empty_list, &["get"], 2);
    unknown_kind_is_2: (empty_list, &["get", "pods"], 2);
    unknown_format_is_2: (empty_list, &["status", "-o", "xml"], 2);
    missing_file_is_2: (empty_list, &["apply", "-f", "/nonexistent"], 2);
    file_with_unknown_field_is_2: (empty_list, &["apply", "-f", &write_manifest("faulty", UNKNOWN_FIELD)], 2);
    dangling_reference_in_a_dry_run_is_2: (empty_list, &["apply", "--dry-run", "-f", &write_manifest("dangling", DANGLING_REFERENCE)], 2);
    diff_of_a_file_with_differences_is_1: (empty_list, &["diff", "-f", &write_manifest("differs", ZONE_MANIFEST)], 1);
    diff_of_a_file_with_errors_is_2: (empty_list, &["diff", "-o", "json", "-f", &write_manifest("errors", DANGLING_REFERENCE)], 2);
    diff_without_a_file_is_2: (empty_list, &["diff"], 2);
    diff_against_a_refusing_daemon_is_4: (invalid, &["diff", "-f", &write_manifest("refused", ZONE_MANIFEST)], 4);
    refusal_is_4: (invalid, &["drain", "z"], 4);
    watch_that_is_too_old_is_4: (too_old, &["watch", "services"], 4);
    conflict_is_5: (conflict, &["drain", "z"], 5);
    unknown_outcome_is_6: (outcome_unknown, &["drain", "z"], 6);
    not_in_force_in_time_is_6: (pending_at_one_vm, &["drain", "z", "--wait", "--timeout-s", "0"], 6);
}

/// Guards against reporting an unreachable daemon as an unknown outcome, or the reverse.
#[test]
fn unreachable_is_3_and_a_lost_response_is_6() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let client = Client::new(&format!("http://{address}")).with_key("op-key");
    let accept = std::thread::spawn(move || {
        // Reads a part of the request, then closes the connection without a response.
        let (mut stream, _) = listener.accept().unwrap();
        let read = std::io::Read::read(&mut stream, &mut [0; 16]).unwrap();
        assert!(read > 0);
    });
    let no_response = command::run(&client, &["drain", "z"]).unwrap_err();
    accept.join().unwrap();
    let unreachable = command::run(&client, &["drain", "z"]).unwrap_err();
    assert_eq!((no_response.exit_status(), unreachable.exit_status()), (6, 3));
}

/// Reports the change as in force only at the second read of the status.
fn in_force_on_second_read(number: usize, _: &str, _: &str) -> (u16, Value) {
    let status = json!({"pendingCount": u8::from(number < 2)});
    (200, json!({"metadata": {"resourceVersion": 7}, "status": status}))
}

/// Guards against a `--wait` that returns while a VM still acts on the old state.
#[test]
fn drain_waits_until_in_force() {
    let daemon = MockDaemon::start(in_force_on_second_read);
    daemon.run(&["drain", "z", "--wait"]).unwrap();
    let expected =
        ["PATCH availabilityzones/z", "GET availabilityzones/z", "GET availabilityzones/z"];
    assert_eq!(daemon.requests(), expected);
    assert_eq!(daemon.body(0), json!({"spec": {"state": "out"}}));
}

/// Sends one change and a bookmark on each connection, then closes it.
fn one_event_per_connection(number: usize, _: &str, _: &str) -> (u16, Value) {
    let version = number + 5;
    let metadata = json!({"name": "s", "resourceVersion": version});
    (
        200,
        json!([
            {"type": "MODIFIED", "object": {"metadata": metadata}},
            {"type": "BOOKMARK", "object": {"metadata": {"resourceVersion": version}}},
        ]),
    )
}

/// Guards against a watch that starts over after a broken connection instead of resuming.
#[test]
fn watch_resumes_after_the_last_bookmark() {
    let daemon = MockDaemon::start(one_event_per_connection);
    daemon.run(&["watch", "services", "--count", "2"]).unwrap();
    let expected = ["GET services?watch=true", "GET services?watch=true&resourceVersion=5"];
    assert_eq!(daemon.requests(), expected);
}

/// Guards against printing caller keys.
#[test]
fn table_of_organisations_shows_only_the_number_of_keys() {
    let spec = json!({"weight": 3, "keys": ["secret", "other"]});
    let status = json!({"inForceCount": 1, "pendingCount": 1});
    let document = json!({"metadata": {"name": "o"}, "spec": spec, "status": status});
    let text = output::format_resources(Kind::Organisation, &[document]);
    assert!(!text.contains("secret"));
    let cells: Vec<&str> = text.lines().nth(1).unwrap().split_whitespace().collect();
    assert_eq!(cells, ["o", "1/2", "3", "2"]);
}
