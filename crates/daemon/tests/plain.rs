//! Calls of plain services, with faults in between.

mod support;

use support::{full_response, Harness, ReceivedRequest, ScriptStep, ScriptedTarget, TEST_TIMEOUT};

type Script = fn(&ReceivedRequest, usize) -> Vec<ScriptStep>;

/// A call with `method` and an optional key returns `status` and a body that contains
/// `expected_text`, after the service received the expected number of calls.
#[tokio::main]
async fn call_returns(
    script: Script,
    method: &str,
    key: &str,
    status: u16,
    expected_text: &str,
    calls: usize,
) {
    let target = ScriptedTarget::start(script).await;
    let vm = Harness::start(&target).await;
    let answer = call(&vm, method, key, "notice").await;
    assert_eq!((answer.0, target.requests().len()), (status, calls), "{}", answer.1);
    assert!(answer.1.contains(expected_text), "{}", answer.1);
}

async fn call(vm: &Harness, method: &str, key: &str, body: &str) -> (u16, String) {
    let url = format!("{}/services/desk/orders/7?urgent=1", vm.url);
    let mut request =
        vm.client.request(method.parse().unwrap(), url).bearer_auth("key-1").body(body.to_owned());
    if !key.is_empty() {
        request = request.header("idempotency-key", key);
    }
    let answer = tokio::time::timeout(TEST_TIMEOUT, request.send()).await.unwrap().unwrap();
    (answer.status().as_u16(), answer.text().await.unwrap())
}

/// Responds with the method, path and body of the request.
fn echo_request(request: &ReceivedRequest, _: usize) -> Vec<ScriptStep> {
    let text = format!("{} {} {}", request.method, request.path, request.body);
    vec![ScriptStep::Send(full_response(201, &request.id, &text))]
}

fn truncated_once(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    let text = full_response(200, &request.id, "the whole answer");
    match count {
        1 => vec![ScriptStep::Send(text[..text.len() - 6].to_owned())],
        _ => vec![ScriptStep::Send(text)],
    }
}

fn other_request_once(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    match count {
        1 => vec![ScriptStep::Send(full_response(200, "entry-9-1-1.1", "theirs"))],
        _ => vec![ScriptStep::Send(full_response(200, &request.id, "ours"))],
    }
}

fn status_600_once(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    match count {
        1 => vec![ScriptStep::Send(full_response(600, &request.id, "no response"))],
        _ => vec![ScriptStep::Send(full_response(200, &request.id, "ours"))],
    }
}

fn status_000_once(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    match count {
        1 => vec![ScriptStep::Send(full_response(0, &request.id, "").replacen(" 0 ", " 000 ", 1))],
        _ => vec![ScriptStep::Send(full_response(200, &request.id, "ours"))],
    }
}

hornbeamloom_kernel::cases! {
    call_returns;
    // Guards against a status that HTTP does not define and that the caller gets as a response.
    status_600_of_a_call_is_repeated: (status_600_once, "POST", "", 200, "ours", 2);
    status_600_of_a_call_with_a_key_is_unknown: (status_600_once, "POST", "k1", 502, "\"unknown\"", 1);
    status_000_of_a_call_is_repeated: (status_000_once, "POST", "", 200, "ours", 2);
    status_000_of_a_call_with_a_key_is_unknown: (status_000_once, "POST", "k1", 502, "\"unknown\"", 1);
    call_and_answer_pass_through: (echo_request, "POST", "", 201, "POST /orders/7?urgent=1 notice", 1);
    truncated_answer_is_never_shown: (truncated_once, "POST", "", 200, "the whole answer", 2);
    answer_of_another_request_is_never_shown: (other_request_once, "POST", "", 200, "ours", 2);
    truncated_answer_of_a_call_with_a_key_is_not_repeated: (truncated_once, "POST", "k1", 502, "\"unknown\"", 1);
    crossed_answer_of_a_declared_method_is_not_repeated: (other_request_once, "PUT", "", 502, "\"unknown\"", 1);
}

/// A repeated key returns the stored response, and the service runs the call once.
#[tokio::test]
async fn repeated_key_gets_the_kept_answer() {
    let target = ScriptedTarget::start(echo_request).await;
    let vm = Harness::start(&target).await;
    let first = call(&vm, "POST", "k1", "notice").await;
    let second = call(&vm, "POST", "k1", "notice").await;
    assert_eq!(first, second);
    assert_eq!(first.0, 201);
    assert_eq!(target.requests().len(), 1);
    let (status, text) = call(&vm, "POST", "k1", "another body").await;
    assert_eq!(status, 422, "{text}");
    assert!(text.contains("key_reused"), "{text}");
}
