//! Requests of callers that are refused, and limits on what callers may send.

mod support;

use std::time::Duration;

use hornbeamloom_daemon::control::Input;
use hornbeamloom_daemon::settings;
use hornbeamloom_kernel::ids::Revision;
use support::{
    final_events, resources, stream_head, token_event, Harness, ReceivedRequest, ScriptStep,
    ScriptedTarget, TEST_TIMEOUT,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn healthy(request: &ReceivedRequest, _: usize) -> Vec<ScriptStep> {
    vec![ScriptStep::Send(stream_head(&request.id) + &token_event("g1", 0) + &final_events(1))]
}

const VALID_BODY: &str = r#"{"model": "model", "prompt": "p"}"#;
const LIMITS: &str = "limits: {body_bytes: 2048, header_s: 1, connections: 100}";

/// A request is refused with this status, and the response contains the reason and a request id.
#[tokio::main]
async fn is_refused(method: &str, path: &str, key: &str, body: &str, status: u16, reason: &str) {
    let target = ScriptedTarget::start(healthy).await;
    let vm = Harness::with_settings(&target, LIMITS).await;
    let request = vm.client.request(method.parse().unwrap(), format!("{}{path}", vm.url));
    let request = request.header("authorization", key).body(body.to_owned());
    let answer = tokio::time::timeout(TEST_TIMEOUT, request.send()).await.unwrap().unwrap();
    let got = answer.status().as_u16();
    let id = answer.headers()["x-request-id"].to_str().unwrap().to_owned();
    let text = answer.text().await.unwrap();
    assert_eq!(got, status, "{text}");
    assert!(text.contains(&format!(r#""reason":"{reason}""#)), "{text}");
    assert!(text.contains(&format!(r#""request_id":"{id}""#)), "{text}");
    assert!(text.contains(r#""not_run":true"#), "{text}");
    for secret in ["key-1", "org-1", "key-9"] {
        assert!(!text.contains(secret), "{text}");
    }
}

const COMPLETIONS_PATH: &str = "/v1/completions";

hornbeamloom_kernel::cases! {
    is_refused;
    missing_key_is_unauthorized: ("POST", COMPLETIONS_PATH, "", VALID_BODY, 401, "unauthorized");
    unknown_key_is_unauthorized: ("POST", COMPLETIONS_PATH, "Bearer key-9", VALID_BODY, 401, "unauthorized");
    prefix_of_a_key_is_unauthorized: ("POST", COMPLETIONS_PATH, "Bearer key-", VALID_BODY, 401, "unauthorized");
    longer_key_is_unauthorized: ("POST", COMPLETIONS_PATH, "Bearer key-11", VALID_BODY, 401, "unauthorized");
    key_of_an_operator_is_unauthorized: ("POST", COMPLETIONS_PATH, "Bearer op-key", VALID_BODY, 401, "unauthorized");
    key_of_a_caller_shows_no_metrics: ("GET", "/metrics", "Bearer key-1", "", 401, "unauthorized");
    unknown_service_is_not_found: ("POST", COMPLETIONS_PATH, "Bearer key-1", r#"{"model": "x", "prompt": "p"}"#, 404, "not_found");
    plain_service_takes_no_completions: ("POST", COMPLETIONS_PATH, "Bearer key-1", r#"{"model": "desk", "prompt": "p"}"#, 404, "not_found");
    model_service_takes_no_plain_calls: ("GET", "/services/model/x", "Bearer key-1", "", 404, "not_found");
    unknown_path_is_not_found: ("GET", "/v2/x", "Bearer key-1", "", 404, "no_route");
    wrong_method_is_refused: ("GET", COMPLETIONS_PATH, "Bearer key-1", "", 405, "method_not_allowed");
    body_that_is_no_json_is_refused: ("POST", COMPLETIONS_PATH, "Bearer key-1", "{", 400, "invalid_body");
    body_without_prompt_is_refused: ("POST", COMPLETIONS_PATH, "Bearer key-1", r#"{"model": "model"}"#, 400, "invalid_body");
    oversized_body_is_refused: ("POST", COMPLETIONS_PATH, "Bearer key-1", &"x".repeat(4096), 413, "body_too_large");
}

/// Sends raw bytes, optionally closes the sending side, and returns the start of the response.
async fn send_raw(vm: &Harness, text: &str, is_half_closed: bool) -> String {
    let address = vm.url.strip_prefix("http://").unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    if is_half_closed {
        stream.shutdown().await.unwrap();
    }
    let mut answer = [0; 1024];
    let length =
        tokio::time::timeout(TEST_TIMEOUT, stream.read(&mut answer)).await.unwrap().unwrap();
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

/// A request whose body is never completed receives this status.
#[tokio::main]
async fn incomplete_body_is_answered(
    framing: &str,
    body: &str,
    is_half_closed: bool,
    status: &str,
) {
    let target = ScriptedTarget::start(healthy).await;
    let vm = Harness::with_settings(&target, LIMITS).await;
    let text = format!(
        "POST {COMPLETIONS_PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\n{framing}\r\n\r\n{body}"
    );
    let answer = send_raw(&vm, &text, is_half_closed).await;
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
}

hornbeamloom_kernel::cases! {
    incomplete_body_is_answered;
    slow_body_is_given_up: ("Content-Length: 100", "{", false, "408");
    half_closed_body_is_refused: ("Content-Length: 100", "{", true, "400");
    half_closed_chunked_body_is_refused: ("Transfer-Encoding: chunked", "2\r\n{\"\r\n", true, "400");
    endless_chunked_body_is_refused: ("Transfer-Encoding: chunked", &format!("1000\r\n{}", "x".repeat(4096)), false, "413");
}

/// Guards against a process that accepts an unbounded number of callers.
#[tokio::test]
async fn caller_over_the_connection_limit_is_refused() {
    let target = ScriptedTarget::start(|request, _| {
        vec![ScriptStep::Send(stream_head(&request.id) + &token_event("g1", 0)), ScriptStep::Hang]
    });
    let target = target.await;
    let limits = "limits: {connections: 1}";
    let vm = Harness::with_settings(&target, limits).await;
    let body = r#"{"model": "model", "prompt": "p", "stream": true}"#;
    let first = vm.post(COMPLETIONS_PATH, body).send().await.unwrap();
    let second = vm.post(COMPLETIONS_PATH, body).send().await.unwrap();
    assert_eq!((first.status().as_u16(), second.status().as_u16()), (200, 503));
    assert!(second.headers().contains_key("retry-after"));
}

/// While a VM shuts down it must report that it is not ready, so that load balancers send new
/// callers elsewhere, and still finish its streams.
#[tokio::test]
async fn stopping_daemon_is_not_ready_and_finishes_its_streams() {
    let target = ScriptedTarget::start(|request, _| {
        vec![
            ScriptStep::Send(stream_head(&request.id) + &token_event("g1", 0)),
            ScriptStep::Wait(Duration::from_millis(1_500)),
            ScriptStep::Send(final_events(1)),
        ]
    });
    let target = target.await;
    let vm = Harness::start(&target).await;
    let body = r#"{"model": "model", "prompt": "p", "stream": true}"#;
    let stream = vm.post(COMPLETIONS_PATH, body).send().await.unwrap();
    target.wait_for(|request| request.path == "/v1/completions").await;
    let Harness { daemon, url, client } = vm;
    let stop = tokio::spawn(daemon.stop());
    let ready = client.get(format!("{url}/readyz")).send();
    let healthy = client.get(format!("{url}/healthz")).send();
    let (ready, healthy) = tokio::join!(ready, healthy);
    assert_eq!(ready.unwrap().status(), 503);
    assert_eq!(healthy.unwrap().status(), 200);
    let text = tokio::time::timeout(TEST_TIMEOUT, stream.text()).await.unwrap().unwrap();
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    tokio::time::timeout(TEST_TIMEOUT, stop).await.expect("the daemon stops").unwrap();
}

/// Guards against a request that has no response when the process reaches the limit of its shutdown.
#[tokio::test]
async fn request_without_response_is_refused_before_the_shutdown_ends() {
    let target = ScriptedTarget::start(|request, _| {
        vec![
            ScriptStep::Send(stream_head(&request.id) + &token_event("g1", 0)),
            ScriptStep::Wait(TEST_TIMEOUT),
        ]
    });
    let target = target.await;
    let vm = Harness::with_settings(&target, "shutdown_limit_s: 1").await;
    let answer = tokio::spawn(vm.post(COMPLETIONS_PATH, VALID_BODY).send());
    target.wait_for(|request| request.path == "/v1/completions").await;
    vm.daemon.stop().await;
    let answer = tokio::time::timeout(TEST_TIMEOUT / 2, answer).await.expect("there is a response");
    let answer = answer.unwrap().unwrap();
    assert_eq!(answer.status(), 503);
    let text = answer.text().await.unwrap();
    assert!(text.contains(r#""reason":"shutting_down""#), "{text}");
    assert!(!text.contains(r#""not_run":true"#), "{text}");
}

/// Keys and limits change without a restart; addresses do not.
#[tokio::test]
async fn reloaded_settings_replace_keys_and_limits() {
    let target = ScriptedTarget::start(healthy).await;
    let vm = Harness::start(&target).await;
    let text = support::settings_text("limits: {body_bytes: 1024}").replace("op-key", "op-new");
    vm.daemon.reload(&settings::parse(&text).unwrap());
    let metrics = |key: &'static str| vm.client.get(format!("{}/metrics", vm.url)).bearer_auth(key);
    assert_eq!(metrics("op-key").send().await.unwrap().status(), 401);
    assert_eq!(metrics("op-new").send().await.unwrap().status(), 200);
    let answer = vm.post(COMPLETIONS_PATH, &"x".repeat(2_000)).send().await.unwrap();
    assert_eq!(answer.status(), 413);
}

/// Guards against a request that runs with a key that was revoked while its body arrived.
#[tokio::test]
async fn key_revoked_while_a_body_arrives_is_unauthorized() {
    let target = ScriptedTarget::start(healthy).await;
    let vm = Harness::start(&target).await;
    let address = vm.url.strip_prefix("http://").unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST {COMPLETIONS_PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\n\
         Content-Length: {}\r\n\r\n",
        VALID_BODY.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut change = resources(&target.address);
    change.from = Revision(5);
    change.to = Revision(6);
    change.complete = false;
    change.records.retain(|record| &*record.key.name == "org-1");
    change.records[0].version = Revision(6);
    change.records[0].spec =
        serde_json::from_str(r#"{"kind": "Organisation", "spec": {"keys": ["key-8"]}}"#).unwrap();
    vm.daemon.control().tell(Input::Changes(change));
    let is_revoked = async {
        while vm.stream_completion().await.0 != 401 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, is_revoked).await.expect("the change is in force");
    let earlier_requests = target.requests().len();
    stream.write_all(VALID_BODY.as_bytes()).await.unwrap();
    let mut answer = [0; 1024];
    let length = stream.read(&mut answer).await.unwrap();
    assert!(answer[..length].starts_with(b"HTTP/1.1 401 "));
    let mut requests = target.requests().into_iter().skip(earlier_requests);
    assert!(!requests.any(|request| request.head.starts_with("POST")));
}
