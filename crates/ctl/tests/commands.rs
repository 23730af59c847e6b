//! Subcommands against a scripted daemon.

use std::sync::{Arc, Mutex};

use hornbeamloom_ctl::client::{Client, Error};
use hornbeamloom_ctl::{command, output};
use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::resource::Kind;
use serde_json::{json, Value};
use warp::http::{Method, StatusCode};
use warp::{Filter, Reply};

/// Answers a request, given its number from 0, method and path with query.
type Script = fn(usize, &str, &str) -> (u16, Value);

/// A scripted daemon on its own runtime, and the requests that it saw.
struct Daemon {
    url: String,
    seen: Arc<Mutex<Vec<(String, Value)>>>,
    _runtime: tokio::runtime::Runtime,
}

impl Daemon {
    fn start(script: Script) -> Daemon {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let own = seen.clone();
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
                    let mut seen = own.lock().unwrap();
                    let (status, answer) = script(seen.len(), method.as_str(), path);
                    let body = serde_json::from_slice(&body).unwrap_or_default();
                    seen.push((format!("{method} {path}"), body));
                    reply(status, &answer)
                },
            );
        let url = runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::spawn(warp::serve(routes).incoming(listener).run());
            format!("http://{address}")
        });
        Daemon { url, seen, _runtime: runtime }
    }

    fn run(&self, words: &[&str]) -> Result<(), Error> {
        command::run(&Client::new(&self.url).with_key("op-key"), words)
    }

    fn requests(&self) -> Vec<String> {
        let seen = self.seen.lock().unwrap();
        seen.iter().map(|(request, _)| request.clone()).collect()
    }

    fn body(&self, ix: usize) -> Value {
        self.seen.lock().unwrap()[ix].1.clone()
    }
}

/// A list stands for lines, as a watch sends them.
fn reply(status: u16, answer: &Value) -> warp::reply::Response {
    let text = match answer {
        Value::Array(lines) => lines.iter().map(|line| format!("{line}\n")).collect(),
        other => other.to_string(),
    };
    warp::reply::with_status(text, StatusCode::from_u16(status).unwrap()).into_response()
}

/// A file with a name that no other test uses.
fn file(name: &str, text: &str) -> String {
    let path = format!("{}/{name}.yaml", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, text).unwrap();
    path
}

const FILE: &str = "
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

fn absent(_: usize, method: &str, _: &str) -> (u16, Value) {
    match method {
        "GET" => (404, json!({"reason": "not_found"})),
        _ => (201, json!({})),
    }
}

fn empty(_: usize, _: &str, _: &str) -> (u16, Value) {
    (200, json!({"items": []}))
}

/// A zone that operators have taken out.
fn drained(_: usize, _: &str, path: &str) -> (u16, Value) {
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

/// Guards against requests to the wrong path, and in an order in which references do not exist.
fn sends(name: &str, script: Script, text: &str, words: &[&str], expected: &[&str]) {
    let daemon = Daemon::start(script);
    let path = file(name, text);
    let words: Vec<&str> =
        words.iter().map(|word| if *word == "FILE" { &path } else { *word }).collect();
    daemon.run(&words).unwrap();
    assert_eq!(daemon.requests(), expected);
}

const ZONE: &str = "kind: AvailabilityZone\nmetadata: {name: z}\nspec: {region: r}\n";
const ZONE_IN: &str = "kind: AvailabilityZone\nmetadata: {name: z}\nspec: {region: r, state: in}\n";

cases! {
    sends;
    apply_goes_by_kind: ("order", absent, FILE, &["apply", "-f", "FILE"], &[
        "GET availabilityzones/z", "POST availabilityzones", "GET services/s", "POST services",
        "GET organisations/o", "POST organisations", "GET targets/t", "POST targets",
    ]);
    dry_run_only_reads: ("dry", empty, FILE, &["apply", "-f", "FILE", "--dry-run"], &[
        "GET configurations", "GET availabilityzones", "GET services", "GET organisations", "GET targets", "GET routes",
    ]);
    // Fails if applying a file again brings a drained zone back.
    apply_keeps_a_drained_zone: ("keep", drained, ZONE, &["apply", "-f", "FILE"], &["GET availabilityzones/z"]);
    apply_restores_a_zone_that_states_it: ("restore", drained, ZONE_IN, &["apply", "-f", "FILE"], &["GET availabilityzones/z", "PUT availabilityzones/z"]);
    get_lists_a_kind: ("get", empty, "", &["get", "zones"], &["GET availabilityzones"]);
    get_shows_one: ("one", drained, "", &["get", "zone", "z", "-o", "json"], &["GET availabilityzones/z"]);
    describe_shows_one: ("describe", drained, "", &["describe", "zone", "z"], &["GET availabilityzones/z"]);
    delete_names_the_version: ("delete", empty, "", &["delete", "target", "t", "--resource-version", "4"], &["DELETE targets/t?resourceVersion=4"]);
    drain_patches_the_state: ("drain", drained, "", &["drain", "z"], &["PATCH availabilityzones/z"]);
    status_reads_the_page: ("status", empty, "", &["status"], &["GET status"]);
    explain_names_the_request: ("explain", empty, "", &["explain", "entry-1-1-1"], &["GET explain/entry-1-1-1"]);
    quarantine_is_listed: ("list", empty, "", &["quarantine", "list"], &["GET quarantine"]);
    quarantine_is_lifted: ("lift", empty, "", &["quarantine", "lift", "1f"], &["DELETE quarantine/1f"]);
}

fn refused(_: usize, _: &str, _: &str) -> (u16, Value) {
    (422, json!({"reason": "invalid", "detail": "spec.region"}))
}

fn conflict(_: usize, _: &str, _: &str) -> (u16, Value) {
    (409, json!({"reason": "conflict"}))
}

fn unknown(_: usize, _: &str, _: &str) -> (u16, Value) {
    (504, json!({"reason": "unknown"}))
}

fn pending(_: usize, _: &str, _: &str) -> (u16, Value) {
    let status = json!({"pendingCount": 1, "pending": ["entry-2"]});
    (200, json!({"metadata": {"resourceVersion": 7}, "status": status}))
}

fn too_old(_: usize, _: &str, _: &str) -> (u16, Value) {
    let object = json!({"code": 410, "reason": "too_old"});
    (200, json!([{"type": "ERROR", "object": object}]))
}

/// Guards against scripts of operators that take a failure for a success, or an unknown outcome
/// for a refusal.
fn exits_with(script: Script, words: &[&str], expected: u8) {
    let error = Daemon::start(script).run(words).unwrap_err();
    assert_eq!(error.exit_status(), expected, "{error}");
}

const FAULTY: &str = "kind: Service\nmetadata: {name: s}\nspec: {colour: 1}\n";
const DANGLING: &str = "kind: Service\nmetadata: {name: s}\nspec: {configuration: x}\n";

cases! {
    exits_with;
    usage_is_2: (empty, &["get"], 2);
    unknown_kind_is_2: (empty, &["get", "pods"], 2);
    unknown_format_is_2: (empty, &["status", "-o", "xml"], 2);
    missing_file_is_2: (empty, &["apply", "-f", "/nonexistent"], 2);
    faulty_file_is_2: (empty, &["apply", "-f", &file("faulty", FAULTY)], 2);
    dangling_reference_in_a_dry_run_is_2: (empty, &["apply", "--dry-run", "-f", &file("dangling", DANGLING)], 2);
    refusal_is_4: (refused, &["drain", "z"], 4);
    watch_that_is_too_old_is_4: (too_old, &["watch", "services"], 4);
    conflict_is_5: (conflict, &["drain", "z"], 5);
    unknown_outcome_is_6: (unknown, &["drain", "z"], 6);
    not_in_force_in_time_is_6: (pending, &["drain", "z", "--wait", "--timeout-s", "0"], 6);
}

/// Guards against an unreachable daemon that looks like an unknown outcome, and the reverse.
#[test]
fn unreachable_is_3_and_a_lost_answer_is_6() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let client = Client::new(&format!("http://{address}")).with_key("op-key");
    let accept = std::thread::spawn(move || {
        // Takes a part of the request, then closes without an answer.
        let (mut stream, _) = listener.accept().unwrap();
        let read = std::io::Read::read(&mut stream, &mut [0; 16]).unwrap();
        assert!(read > 0);
    });
    let lost = command::run(&client, &["drain", "z"]).unwrap_err();
    accept.join().unwrap();
    let unreachable = command::run(&client, &["drain", "z"]).unwrap_err();
    assert_eq!((lost.exit_status(), unreachable.exit_status()), (6, 3));
}

/// In force at the second look only.
fn in_force_later(number: usize, _: &str, _: &str) -> (u16, Value) {
    let status = json!({"pendingCount": u8::from(number < 2)});
    (200, json!({"metadata": {"resourceVersion": 7}, "status": status}))
}

/// Fails if `--wait` returns while a VM still acts on the old state.
#[test]
fn drain_waits_until_in_force() {
    let daemon = Daemon::start(in_force_later);
    daemon.run(&["drain", "z", "--wait"]).unwrap();
    let expected =
        ["PATCH availabilityzones/z", "GET availabilityzones/z", "GET availabilityzones/z"];
    assert_eq!(daemon.requests(), expected);
    assert_eq!(daemon.body(0), json!({"spec": {"state": "out"}}));
}

/// One change per connection, which then ends.
fn one_event(number: usize, _: &str, _: &str) -> (u16, Value) {
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

/// Fails if a broken watch starts anew instead of where it ended.
#[test]
fn watch_resumes_after_the_last_bookmark() {
    let daemon = Daemon::start(one_event);
    daemon.run(&["watch", "services", "--count", "2"]).unwrap();
    let expected = ["GET services?watch=true", "GET services?watch=true&resourceVersion=5"];
    assert_eq!(daemon.requests(), expected);
}

/// Guards against caller keys on a terminal.
#[test]
fn table_of_organisations_counts_keys() {
    let spec = json!({"weight": 3, "keys": ["secret", "other"]});
    let status = json!({"inForceCount": 1, "pendingCount": 1});
    let document = json!({"metadata": {"name": "o"}, "spec": spec, "status": status});
    let text = output::format_resources(Kind::Organisation, &[document]);
    assert!(!text.contains("secret"));
    let cells: Vec<&str> = text.lines().nth(1).unwrap().split_whitespace().collect();
    assert_eq!(cells, ["o", "1/2", "3", "2"]);
}
