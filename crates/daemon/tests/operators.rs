//! Tests of the operators' API against a table with injected faults.

mod fake_platform;
mod support;

use std::time::Duration;

use fake_platform::{FakePlatform, WriteFault};
use hornbeamloom_daemon::control::Input;
use hornbeamloom_daemon::run::Daemon;
use hornbeamloom_daemon::settings;
use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::peer::Delta;
use hornbeamloom_kernel::resource::{Key, Kind, Record, Service, Spec};
use reqwest::Method;
use serde_json::{json, Value};
use support::TEST_TIMEOUT;

fn start(table: &str) -> (Daemon, String) {
    let mut settings = settings::parse(&support::settings_text("")).unwrap();
    settings.platform.table = table.into();
    settings.platform.objects = table.into();
    settings.platform.vms = table.into();
    let url = format!("http://{}/apis/v1", settings.listen.operators);
    (Daemon::start(settings).unwrap(), url)
}

struct Harness {
    daemon: Daemon,
    platform: FakePlatform,
    url: String,
    client: reqwest::Client,
}

impl Harness {
    async fn start(platform: FakePlatform) -> Harness {
        let table = platform.start().await;
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let (daemon, url) = start(&table);
        Harness { daemon, platform, url, client }
    }

    /// Starts a daemon and creates a service and a zone through the API.
    async fn with_resources() -> Harness {
        let harness = Harness::start(FakePlatform::default()).await;
        let zone = json!({"metadata": {"name": "z"}, "spec": {"region": "r"}});
        assert_eq!(harness.send(Method::POST, "availabilityzones", zone).await.0, 201);
        let service = json!({"metadata": {"name": "s"}, "spec": {}});
        assert_eq!(harness.send(Method::POST, "services", service).await.0, 201);
        harness
    }

    fn request(&self, method: Method, path: &str) -> reqwest::RequestBuilder {
        let url = format!("{}/{path}", self.url);
        self.client.request(method, url).bearer_auth("op-key")
    }

    async fn send(&self, method: Method, path: &str, body: Value) -> (u16, Value) {
        let request = self.request(method, path).json(&body).timeout(TEST_TIMEOUT);
        let response = request.send().await.unwrap();
        (response.status().as_u16(), response.json().await.unwrap())
    }

    async fn get(&self, path: &str) -> (u16, Value) {
        self.send(Method::GET, path, Value::Null).await
    }

    /// Waits until the resource at `path` can be read.
    async fn wait_for(&self, path: &str) -> Value {
        let wait = async {
            loop {
                if let (200, value) = self.get(path).await {
                    return value;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, wait).await.expect(path)
    }

    /// Returns the first `count` events of a watch.
    async fn watch(&self, query: &str, count: usize) -> Vec<Value> {
        let request = self.request(Method::GET, &format!("services?watch=true{query}"));
        let mut response = request.send().await.unwrap();
        let mut buf = Vec::new();
        let read = async {
            while buf.iter().filter(|byte| **byte == b'\n').count() < count {
                match response.chunk().await.unwrap() {
                    Some(chunk) => buf.extend_from_slice(&chunk),
                    None => break,
                }
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, read).await.expect("the events arrive in time");
        let text = String::from_utf8(buf).unwrap();
        let lines = text.lines().take(count);
        lines.map(|line| serde_json::from_str(line).unwrap()).collect()
    }
}

/// One request on the initial resources under injected faults, and the expected result.
struct Case {
    faults: Vec<WriteFault>,
    method: Method,
    path: &'static str,
    body: Value,
    status: u16,
    /// Expected `reason` of an error response; empty if none is expected.
    reason: &'static str,
    /// Expected number of writes applied for the request.
    writes: u64,
}

fn case(
    method: Method,
    path: &'static str,
    body: Value,
    status: u16,
    reason: &'static str,
) -> Case {
    Case { faults: Vec::new(), method, path, body, status, reason, writes: u64::from(status < 300) }
}

impl Case {
    fn with_faults(self, faults: Vec<WriteFault>) -> Case {
        Case { faults, ..self }
    }

    fn with_writes(self, writes: u64) -> Case {
        Case { writes, ..self }
    }
}

#[tokio::main]
async fn check_response(case: Case) {
    let harness = Harness::with_resources().await;
    case.faults.into_iter().for_each(|fault| harness.platform.inject(fault));
    let before = harness.platform.writes();
    let (status, answer) = harness.send(case.method, case.path, case.body).await;
    assert_eq!(status, case.status, "{answer}");
    assert_eq!(answer["reason"].as_str().unwrap_or_default(), case.reason);
    assert_eq!(harness.platform.writes() - before, case.writes);
}

fn set_zone_out(status: u16, reason: &'static str) -> Case {
    let patch = json!({"spec": {"state": "out"}});
    case(Method::PATCH, "availabilityzones/z", patch, status, reason)
}

fn target() -> Value {
    json!({"service": "s", "zone": "z", "address": "127.0.0.1:1"})
}

fn concurrent_zone_write() -> WriteFault {
    WriteFault::ConcurrentWrite(Kind::AvailabilityZone, "z", json!({"region": "other"}))
}

cases! {
    check_response;
    patch_changes_the_state: (set_zone_out(200, ""));
    // Guards against treating a lost response as a failure, and against writing twice.
    lost_response_is_read_back: (set_zone_out(200, "").with_faults(vec![WriteFault::DropResponse]));
    lost_request_is_retried: (set_zone_out(200, "").with_faults(vec![WriteFault::DropRequest]));
    // Guards against reporting an unknown outcome as applied or as not applied.
    permanently_lost_responses_are_unknown: (set_zone_out(504, "unknown").with_faults(vec![WriteFault::DropResponse, WriteFault::DropRequest, WriteFault::DropRequest]).with_writes(1));
    lost_response_replaced_by_a_later_write_is_unknown: (set_zone_out(504, "unknown").with_faults(vec![WriteFault::DropResponse, concurrent_zone_write()]).with_writes(1));
    // Guards against a transaction that does not compare the head: the reference is created between
    // the plan and the transaction.
    deletion_in_use_is_refused: (case(Method::DELETE, "services/s", Value::Null, 409, "in_use").with_faults(vec![WriteFault::ConcurrentWrite(Kind::Target, "t", target())]));
    unused_service_is_deleted: (case(Method::DELETE, "services/s", Value::Null, 200, ""));
    deletion_of_another_version_conflicts: (case(Method::DELETE, "services/s?resourceVersion=1", Value::Null, 409, "conflict"));
    replacement_without_version_conflicts: (case(Method::PUT, "services/s", json!({"spec": {}}), 409, "conflict"));
    replacement_of_a_missing_resource_is_not_found: (case(Method::PUT, "services/x", json!({"spec": {}}), 404, "not_found"));
    second_creation_is_refused: (case(Method::POST, "services", json!({"metadata": {"name": "s"}, "spec": {}}), 409, "already_exists"));
    reference_to_a_missing_resource_is_refused: (case(Method::POST, "services", json!({"metadata": {"name": "n"}, "spec": {"configuration": "x"}}), 422, "invalid"));
    merge_patch_with_an_unknown_field_is_refused: (case(Method::PATCH, "services/s", json!({"spec": {"colour": 1}}), 422, "invalid"));
    oversized_document_is_refused: (case(Method::POST, "services", json!({"spec": {}, "x": "y".repeat(65_536)}), 413, "too_large"));
    unknown_kind_is_not_found: (case(Method::POST, "pods", json!({}), 404, "not_found"));
    unknown_method_is_refused: (case(Method::PUT, "services", json!({}), 405, "method_not_allowed"));
}

/// Guards against a patch that reverts another operator's write made between the plan and the
/// transaction.
#[tokio::main]
async fn patch_preserves_the_concurrent_write(fault: WriteFault) {
    let harness = Harness::with_resources().await;
    harness.platform.inject(fault);
    let patch = json!({"spec": {"state": "out"}});
    let (status, answer) = harness.send(Method::PATCH, "availabilityzones/z", patch).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["spec"], json!({"region": "other", "state": "out"}));
}

cases! {
    patch_preserves_the_concurrent_write;
    written_by_another_vm: (concurrent_zone_write());
    written_without_the_head: (WriteFault::ConcurrentWriteWithoutHead(Kind::AvailabilityZone, "z", json!({"region": "other"})));
}

/// Guards against accepting two replacements of the same version, which would silently lose one
/// operator's change.
#[tokio::test]
async fn one_of_two_concurrent_replacements_succeeds() {
    let harness = Harness::with_resources().await;
    let version = harness.get("services/s").await.1["metadata"]["resourceVersion"].clone();
    let put = |queue_ms: u64| {
        let metadata = json!({"resourceVersion": version});
        let body = json!({"metadata": metadata, "spec": {"queueMs": queue_ms}});
        harness.send(Method::PUT, "services/s", body)
    };
    let ((a, first), (b, second)) = tokio::join!(put(1), put(2));
    let (winner, loser) = if a == 200 { (&first, &second) } else { (&second, &first) };
    assert_eq!([a.min(b), a.max(b)], [200, 409]);
    assert_eq!(loser["resourceVersion"], winner["metadata"]["resourceVersion"]);
    assert_eq!(harness.get("services/s").await.1["spec"], winner["spec"]);
}

/// Guards against validation errors that do not name the invalid field.
#[tokio::test]
async fn validation_names_the_field() {
    let harness = Harness::with_resources().await;
    let mut spec = target();
    spec["coldLimit"] = json!(99);
    let body = json!({"metadata": {"name": "t"}, "spec": spec});
    let (status, answer) = harness.send(Method::POST, "targets", body).await;
    assert_eq!((status, &answer["faults"][0]["field"]), (422, &json!("spec.coldLimit")));
    assert_eq!(answer["applied"], json!(false));
}

/// Guards against a table outage that stops reads, and against an error that leaves open whether the
/// write was applied.
#[tokio::test]
async fn store_outage_refuses_writes_and_serves_reads() {
    let harness = Harness::with_resources().await;
    harness.platform.set_down(true);
    let patch = json!({"spec": {"state": "out"}});
    let (status, answer) = harness.send(Method::PATCH, "availabilityzones/z", patch.clone()).await;
    assert_eq!((status, &answer["reason"]), (503, &json!("store_unavailable")));
    assert_eq!(answer["applied"], json!(false));
    assert_eq!(harness.get("availabilityzones/z").await.0, 200);
    harness.platform.set_down(false);
    let (status, _) = harness.send(Method::PATCH, "availabilityzones/z", patch).await;
    assert_eq!(status, 200);
}

/// Guards against malformed table responses that change state or stop the adapter.
#[tokio::test]
async fn malformed_responses_are_ignored() {
    let harness = Harness::with_resources().await;
    harness.platform.set_malformed(true);
    let patch = json!({"spec": {"state": "out"}});
    let (status, _) = harness.send(Method::PATCH, "availabilityzones/z", patch).await;
    assert_eq!(status, 503);
    // Longer than two poll intervals of the head.
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    assert_eq!(harness.get("services/s").await.0, 200);
    harness.platform.set_malformed(false);
    harness.platform.declare(Kind::Service, "late", &json!({}));
    harness.wait_for("services/late").await;
}

/// Guards against a table restored to an older state that reverts resources or accepts writes.
#[tokio::test]
async fn older_head_is_never_applied() {
    let harness = Harness::with_resources().await;
    harness.platform.reset();
    harness.platform.declare(Kind::Service, "old", &json!({}));
    let patch = json!({"spec": {"state": "out"}});
    let (status, answer) = harness.send(Method::PATCH, "availabilityzones/z", patch).await;
    assert_eq!((status, &answer["reason"]), (503, &json!("store_regressed")));
    // Longer than two poll intervals of the head.
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    assert_eq!(harness.get("services/s").await.0, 200);
    assert_eq!(harness.get("services/old").await.0, 404);
}

/// Guards against a corrupt record that hides the other records or cannot be replaced.
#[tokio::test]
async fn corrupt_record_is_left_out_and_can_be_replaced() {
    let platform = FakePlatform::default();
    platform.put("/hornbeamloom/resources/services/bad", b"\xff{");
    platform.put("/hornbeamloom/resources/pods/p", b"{}");
    platform.put("/hornbeamloom/resources/services/huge", &[b' '; 70_000]);
    platform.declare(Kind::Service, "good", &json!({}));
    let harness = Harness::start(platform).await;
    harness.wait_for("services/good").await;
    let (_, list) = harness.get("services").await;
    assert_eq!(list["items"].as_array().unwrap().len(), 1);
    let body = json!({"metadata": {"name": "bad"}, "spec": {}});
    assert_eq!(harness.send(Method::POST, "services", body).await.0, 201);
}

/// Guards against unchecked keys, and against error responses that help to guess a key.
#[tokio::test]
async fn unknown_key_is_refused_without_detail() {
    let harness = Harness::with_resources().await;
    for key in ["", "op", "op-kez", "op-key2"] {
        let request = harness.client.get(format!("{}/services", harness.url)).bearer_auth(key);
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), 401);
        let answer: Value = response.json().await.unwrap();
        assert_eq!(answer, json!({"reason": "unauthorized", "applied": false}));
    }
}

fn services_delta(from: u64, to: u64) -> Delta {
    let record = |version: u64| Record {
        key: Key { kind: Kind::Service, name: format!("s-{version}").into() },
        version: Revision(version),
        generation: 1,
        labels: Default::default(),
        spec: Some(Spec::Service(Service {
            protocol: Default::default(),
            interactive: false,
            once_methods: Vec::new(),
            queue_ms: 1_000,
            configuration: None,
            relocatable: false,
        })),
    };
    Delta {
        from: Revision(from),
        to: Revision(to),
        sequence: 0,
        complete: false,
        records: (from + 1..=to).map(record).collect(),
    }
}

/// Guards against a watch that misses changes without a `too_old` error, and against the error on a
/// watch that has missed none.
#[tokio::test]
async fn watch_from_before_the_retained_changes_is_too_old() {
    let harness = Harness::start(FakePlatform::default()).await;
    harness.daemon.control().tell(Input::Changes(services_delta(0, 1_124)));
    harness.wait_for("services/s-1124").await;
    let old = &harness.watch("&resourceVersion=99", 1).await[0];
    assert_eq!((&old["type"], &old["object"]["code"]), (&json!("ERROR"), &json!(410)));
    assert_eq!(old["object"]["reason"], json!("too_old"));
    let events = harness.watch("&resourceVersion=100", 1_024).await;
    assert_eq!(events[0]["object"]["metadata"]["name"], json!("s-101"));
    assert_eq!(events[1_023]["object"]["metadata"]["name"], json!("s-1124"));
}

/// Guards against a watch that misses or repeats a change, or shows resources of another kind.
#[tokio::test]
async fn watch_shows_each_change_once_in_order() {
    let harness = Harness::with_resources().await;
    let start = harness.get("services").await.1["metadata"]["resourceVersion"].clone();
    let created = json!({"metadata": {"name": "n"}, "spec": {}});
    harness.send(Method::POST, "services", created).await;
    harness.send(Method::PATCH, "availabilityzones/z", json!({"spec": {"state": "out"}})).await;
    harness.send(Method::PATCH, "services/n", json!({"spec": {"queueMs": 7}})).await;
    harness.send(Method::DELETE, "services/n", Value::Null).await;
    // The fourth event is the bookmark of an idle watch.
    let events = harness.watch(&format!("&resourceVersion={start}"), 4).await;
    let types: Vec<&str> = events.iter().map(|event| event["type"].as_str().unwrap()).collect();
    assert_eq!(types, ["ADDED", "MODIFIED", "DELETED", "BOOKMARK"]);
    let now = harness.get("services").await.1["metadata"]["resourceVersion"].clone();
    assert_eq!(events[3]["object"]["metadata"]["resourceVersion"], now);
}

/// Guards against a VM that starts during a table outage without restoring the snapshot.
#[tokio::test]
async fn snapshot_is_written_and_serves_a_start_without_the_table() {
    let harness = Harness::with_resources().await;
    let path = "/hornbeamloom/resources.json";
    let wait = async {
        let is_whole = |text: String| text.contains("\"to\":2");
        while !harness.platform.object_text(path).is_some_and(is_whole) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait).await.expect("the snapshot is written in time");
    let platform = FakePlatform::default();
    platform.set_down(true);
    platform.put_object(path, &harness.platform.object_text(path).unwrap());
    let restarted = Harness::start(platform).await;
    restarted.wait_for("services/s").await;
}

/// Guards against store calls that do not reach the table: no pool would get an owner.
#[tokio::test]
async fn store_calls_reach_the_table() {
    let harness = Harness::with_resources().await;
    let body = json!({"metadata": {"name": "t"}, "spec": target()});
    assert_eq!(harness.send(Method::POST, "targets", body).await.0, 201);
    let wait = async {
        while !harness.platform.has_key("/hornbeamloom/leases/z/s") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait).await.expect("a lease is written in time");
}

/// Guards against missing fields in the status and explanation responses that tools read.
#[tokio::test]
async fn status_and_explanations_have_their_parts() {
    let harness = Harness::with_resources().await;
    let (_, page) = harness.get("status").await;
    assert_eq!((&page["vm"], &page["source"]), (&json!("entry-1"), &json!("store")));
    assert_eq!(page["vms"][0]["revision"], json!(2));
    let (_, zone) = harness.get("availabilityzones/z").await;
    assert_eq!(zone["status"]["inForce"], json!(["entry-1"]));
    let (status, elsewhere) = harness.get("explain/entry-9-1-1").await;
    assert_eq!((status, &elsewhere["vm"]), (404, &json!("entry-9")));
    assert_eq!(harness.get("explain/nonsense").await.0, 400);
    assert_eq!(harness.get("quarantine").await.1["items"], json!([]));
    assert_eq!(harness.send(Method::DELETE, "quarantine/1f", Value::Null).await.0, 404);
}
