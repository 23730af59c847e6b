//! The path of a request through the platform adapter.

use futures_util::future::join_all;
use hornbeamloom_kernel::cases;
use reqwest::Method;
use serde_json::{json, Value};

use crate::harness::{
    block_on, call, new_attempt_id, new_request, send, start_engines, start_fleet,
    start_fleet_with_slack, start_plain_targets, start_unconfigured_fleet, wait_until,
    wait_until_served, CALLER_KEY,
};
use hornbeamloom_bench::fleet::{config, route_entry};
use hornbeamloom_bench::upload::Upload;

/// Guards against streams that lose, repeat or withhold events.
#[test]
fn stream_is_complete_and_runs_once() {
    block_on(async {
        let fleet = start_fleet().await;
        start_engines(&fleet, 2).await;
        let response = call(&fleet, "/draft/1", b"events=20").await;
        response.assert_stream(20);
        assert_eq!(fleet.request_log.executed_by(&response.attempt_id).len(), 1);
        assert_eq!(response.headers["x-response-signature"], "s");
    });
}

/// Guards against streams beyond the places of the engines that are refused although they can wait,
/// and against ones that are lost in the queue.
#[test]
fn streams_admitted_by_slack_wait_for_a_place() {
    block_on(async {
        let fleet = start_fleet_with_slack().await;
        start_engines(&fleet, 1).await;
        let calls = (0..24).map(|_| call(&fleet, "/draft/1", b"events=40"));
        for response in join_all(calls).await {
            response.assert_stream(40);
        }
    });
}

/// Guards against requests that are modified on the way to an engine, and against callers that set
/// headers which only the system may set.
#[test]
fn request_reaches_the_engine_unchanged_apart_from_system_headers() {
    block_on(async {
        let fleet = start_fleet().await;
        start_engines(&fleet, 1).await;
        let attempt_id = new_attempt_id();
        let path = "/draft/a%2Fb?page=2&x=%20";
        let request = new_request(&fleet, 0, path, &attempt_id)
            .header("x-tenant", "another")
            .header("x-retention", "r1")
            .header("x-pin-ms", "9000")
            .header("x-kv-backup", "10.0.0.1:1")
            .header("kv-from", "10.0.0.1:1/h1")
            .header("x-model", "m")
            .header("x-prompt-prefix", "5c:800")
            .body("events=3");
        send(request, attempt_id.clone()).await;
        let received = fleet.request_log.requests();
        let received =
            received.iter().find(|received| received.header("x-attempt-id") == Some(&*attempt_id));
        let received = received.expect("the request reached the engine");
        assert!(received.head.starts_with(&format!("POST {path} HTTP/1.1")), "{}", received.head);
        assert_eq!(received.body, b"events=3");
        let expected_headers = [
            ("host", Some("host.example")),
            ("x-tenant", Some("parlour")),
            ("x-expected-instance", Some("m1")),
            ("x-model", Some("m")),
            ("x-token-usage", Some("100,2000")),
            ("x-prompt-prefix", Some("5c:800")),
            ("x-request-priority", Some("1")),
            ("authorization", None),
            ("x-retention", None),
            ("x-pin-ms", None),
            ("x-kv-backup", None),
            ("kv-from", None),
        ];
        for (name, expected) in expected_headers {
            assert_eq!(received.header(name), expected, "{name}");
        }
        let remaining_ms: u64 = received.header("x-deadline-ms").unwrap().parse().unwrap();
        assert!(remaining_ms <= 20_000, "the deadline exceeds the caller's");
    });
}

/// Checks the status of a request to `path` with `key`, and that it runs only if it is allowed.
fn is_answered_with(path: &str, key: Option<&str>, expected: u16) {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        let attempt_id = new_attempt_id();
        let mut request = new_request(&fleet, 0, path, &attempt_id).body("x");
        let mut http_request = request.try_clone().unwrap().build().unwrap();
        http_request.headers_mut().remove("authorization");
        if let Some(key) = key {
            let value = format!("Token {key}").parse().unwrap();
            http_request.headers_mut().insert("authorization", value);
        }
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        request = reqwest::RequestBuilder::from_parts(client, http_request);
        assert_eq!(send(request, attempt_id.clone()).await.status, expected);
        assert_eq!(fleet.request_log.executed_by(&attempt_id).len(), usize::from(expected == 200));
    });
}

cases! {
    is_answered_with;

    // Guards against a request that runs without a route.
    unknown_path_is_404: ("/nowhere/1", Some(CALLER_KEY), 404);
    // Guards against a request that runs without a valid key.
    missing_key_is_401: ("/look/1", None, 401);
    unknown_key_is_401: ("/look/1", Some("k9"), 401);
    second_key_is_accepted: ("/look/1", Some("k2"), 200);
}

/// Guards against a VM that is ready, or rejects requests permanently, before it has a
/// configuration.
#[test]
fn unconfigured_vm_is_not_ready_and_answers_503() {
    block_on(async {
        let fleet = start_unconfigured_fleet().await;
        let url = format!("http://{}/hornbeamloom/readyz", fleet.daemons[0].readiness_address);
        let ready = || async {
            let response = reqwest::get(&url).await;
            response.map_or(0, |response| response.status().as_u16())
        };
        wait_until("the VM reports that it is not ready", || async { ready().await == 503 }).await;
        let response = call(&fleet, "/look/1", b"x").await;
        assert_eq!(response.status, 503);
        assert!(response.headers.contains_key("retry-after"));
        fleet.put_config(&config(1, &[CALLER_KEY]));
        wait_until("the VM is ready", || async { ready().await == 200 }).await;
    });
}

/// Guards against bodies that are lost or truncated on the way.
#[test]
fn methods_and_bodies_pass_unchanged() {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        let body: Vec<u8> = (0..20_000u32).map(|n| (n % 251) as u8).collect();
        let attempt_id = new_attempt_id();
        let response = send(
            new_request(&fleet, 0, "/look/1", &attempt_id).body(body.clone()),
            attempt_id.clone(),
        )
        .await;
        assert_eq!((response.status, response.text()), (200, format!("d1:{attempt_id}")));
        let get_attempt_id = new_attempt_id();
        let mut request = new_request(&fleet, 0, "/look/2?a=1", &get_attempt_id).build().unwrap();
        *request.method_mut() = Method::GET;
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let request = reqwest::RequestBuilder::from_parts(client, request);
        assert_eq!(send(request, get_attempt_id.clone()).await.status, 200);
        let received = fleet.request_log.requests();
        let received_request = |attempt_id: &str| {
            let mut requests = received.iter();
            requests
                .find(|request| request.header("x-attempt-id") == Some(attempt_id))
                .cloned()
                .unwrap()
        };
        assert_eq!(received_request(&attempt_id).body, body);
        assert!(received_request(&get_attempt_id).head.starts_with("GET /look/2?a=1 "));
    });
}

/// Guards against bodies that exhaust the VM's memory.
#[test]
fn body_over_the_limit_is_413() {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        let response = call(&fleet, "/look/1", &vec![0; 200_000]).await;
        assert!([0, 413].contains(&response.status), "status {}", response.status);
        wait_until_served(&fleet, "/look/2").await;
    });
}

/// Checks the status of a request with the key `k2` whose body ends only after the configuration was
/// changed, and that it runs only if the new one allows it.
fn change_applies_while_a_body_arrives(change: fn(&mut Value), expected: u16) {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        let attempt_id = new_attempt_id();
        let address = fleet.daemons[0].caller_address;
        let upload = Upload::begin(address, "/order/1", "k2", &attempt_id).await;
        let mut upload = upload.expect("the head is sent");
        upload.send_chunks(1, 1).await.expect("a part of the body is sent");
        let mut changed = config(2, &[CALLER_KEY, "k2"]);
        change(&mut changed);
        let routes = changed["routes"].as_array_mut().expect("the configuration has routes");
        routes.push(route_entry("added", "idempotent", "desk"));
        fleet.put_config(&changed);
        wait_until_served(&fleet, "/added/1").await;
        let response = upload.finish().await.expect("the response is read to its end");
        let status = response.split(' ').nth(1);
        assert_eq!(status, Some(&*expected.to_string()), "{response}");
        let runs = fleet.request_log.executed_by(&attempt_id).len();
        assert_eq!(runs, usize::from(expected == 200));
    });
}

cases! {
    change_applies_while_a_body_arrives;

    // Guards against a request that runs with a key that was revoked while its body arrived.
    key_revoked_while_a_body_arrives_is_refused: (
        |config| config["tenants"][0]["api_keys"] = json!([CALLER_KEY]), 401,
    );
    // Guards against a request that runs on a route that was removed while its body arrived.
    route_removed_while_a_body_arrives_is_not_found: (
        |config| config["routes"] = json!([route_entry("look", "idempotent", "desk")]), 404,
    );
    // Guards against a refusal because of a change that does not concern the request.
    unrelated_change_while_a_body_arrives_has_no_effect: (|_| {}, 200);
}
