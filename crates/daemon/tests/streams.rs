//! Token streams from a scripted engine to a caller, with faults in between.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use support::{
    final_events, full_response, stream_head, token_event, token_texts, Harness, ReceivedRequest,
    ScriptStep, ScriptedTarget, TEST_TIMEOUT,
};

/// The engine's behaviour for a request, given the number of requests so far (from 1).
type Script = fn(&ReceivedRequest, usize) -> Vec<ScriptStep>;

const DONE: &str = "data: [DONE]\n\n";

/// The caller receives each expected token once and in order, and the expected end.
#[tokio::main]
async fn delivers_tokens(script: Script, expected: &str, end: &str) {
    let target = ScriptedTarget::start(script).await;
    let vm = Harness::start(&target).await;
    let (status, text) = vm.stream_completion().await;
    assert_eq!(status, 200, "{text}");
    assert_eq!(token_texts(&text), expected, "{text}");
    assert!(text.ends_with(end), "{text}");
}

/// The stream ends with a typed error event after the expected tokens, never with `[DONE]`.
#[tokio::main]
async fn ends_with_error(script: Script, expected: &str) {
    let target = ScriptedTarget::start(script).await;
    let vm = Harness::start(&target).await;
    let (status, text) = vm.stream_completion().await;
    assert_eq!(status, 200, "{text}");
    assert_eq!(token_texts(&text), expected, "{text}");
    let (_, error) = text.split_once("event: error\ndata: ").expect(&text);
    assert!(error.contains(r#""reason":"target_failed""#), "{text}");
    assert!(error.contains(r#""not_run":false"#), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
}

fn send(text: String) -> Vec<ScriptStep> {
    vec![ScriptStep::Send(text)]
}

/// Sequence number of the first token that a request asks for.
fn resume_from(request: &ReceivedRequest) -> u64 {
    let after = request.path.split_once("starting_after=");
    after.map_or(0, |(_, seq)| seq.parse::<u64>().unwrap() + 1)
}

/// The rest of a generation of three tokens.
fn remaining_stream(request: &ReceivedRequest) -> String {
    let from = resume_from(request);
    let middle: String = (from..2).map(|seq| token_event("g1", seq)).collect();
    stream_head(&request.id) + &middle + &final_events(2)
}

fn healthy(request: &ReceivedRequest, _: usize) -> Vec<ScriptStep> {
    send(remaining_stream(request))
}

fn duplicates(request: &ReceivedRequest, _: usize) -> Vec<ScriptStep> {
    let (first, second) = (token_event("g1", 0), token_event("g1", 1));
    send(stream_head(&request.id) + &first + &first + &second + &first + &second + &final_events(2))
}

/// The first connection omits token 1; a resume receives everything.
fn missing_token(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    match count {
        1 => send(stream_head(&request.id) + &token_event("g1", 0) + &final_events(2)),
        _ => send(remaining_stream(request)),
    }
}

/// The first connection switches to tokens of another generation.
fn other_generation(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    match count {
        1 => send(
            stream_head(&request.id)
                + &token_event("g1", 0)
                + &token_event("g2", 1)
                + &final_events(2).replace("g1", "g2"),
        ),
        _ => send(remaining_stream(request)),
    }
}

/// The head of the first response names one generation, but all its tokens belong to another one.
fn other_generation_from_start(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    match count {
        1 => send(stream_head(&request.id) + &token_event("g2", 0).replace("<0>", "theirs")),
        _ => send(remaining_stream(request)),
    }
}

/// The first response belongs to another request.
fn other_request(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    match count {
        1 => send(
            stream_head("entry-9-1-1.1")
                + &token_event("g1", 0).replace("<0>", "theirs")
                + &final_events(1),
        ),
        _ => send(remaining_stream(request)),
    }
}

/// The first resume receives the response of another request whose generation has the same id.
fn other_request_on_resume(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    match count {
        1 => send(stream_head(&request.id) + &token_event("g1", 0)),
        2 => send(
            stream_head("entry-9-1-1.1")
                + &token_event("g1", 1).replace("<1>", "theirs")
                + &final_events(2),
        ),
        _ => send(remaining_stream(request)),
    }
}

/// The first connection goes silent after one token and stays open.
fn goes_silent(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    match count {
        1 => vec![
            ScriptStep::Send(stream_head(&request.id) + &token_event("g1", 0)),
            ScriptStep::Hang,
        ],
        _ => send(remaining_stream(request)),
    }
}

/// The first connection ends in the middle of an event.
fn truncated_event(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    let half = token_event("g1", 1)[..20].to_owned();
    match count {
        1 => send(stream_head(&request.id) + &token_event("g1", 0) + &half),
        _ => send(remaining_stream(request)),
    }
}

/// The first connection ends without its final event.
fn missing_final_event(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    match count {
        1 => send(stream_head(&request.id) + &token_event("g1", 0) + "data: [DONE]\n\n"),
        _ => send(remaining_stream(request)),
    }
}

/// The engine refuses once before it runs anything.
fn rejects_once(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    match count {
        1 => send(full_response(503, &request.id, "full")),
        _ => send(remaining_stream(request)),
    }
}

/// The engine has unloaded the model once.
fn model_unloaded_once(request: &ReceivedRequest, count: usize) -> Vec<ScriptStep> {
    match count {
        1 => send(full_response(404, &request.id, "no such model")),
        _ => send(remaining_stream(request)),
    }
}

/// The engine rejects the content of the request.
fn invalid_request(request: &ReceivedRequest, _: usize) -> Vec<ScriptStep> {
    send(full_response(400, &request.id, "bad temperature"))
}

/// The engine sends heartbeats for longer than the idle time-out before the first token.
fn slow_first_token(request: &ReceivedRequest, _: usize) -> Vec<ScriptStep> {
    let mut steps = vec![ScriptStep::Send(stream_head(&request.id))];
    for _ in 0..6 {
        steps.push(ScriptStep::Wait(Duration::from_millis(500)));
        steps.push(ScriptStep::Send(": ping\n\n".to_owned()));
    }
    steps.push(ScriptStep::Send(token_event("g1", 0) + &token_event("g1", 1) + &final_events(2)));
    steps
}

/// After the connection is lost, the engine no longer knows the generation.
fn unknown_on_resume(request: &ReceivedRequest, _: usize) -> Vec<ScriptStep> {
    match request.method.as_str() {
        "POST" => send(stream_head(&request.id) + &token_event("g1", 0)),
        _ => send(full_response(404, &request.id, "")),
    }
}

/// Every connection ends after the same token.
fn no_progress(request: &ReceivedRequest, _: usize) -> Vec<ScriptStep> {
    match resume_from(request) {
        0 => send(stream_head(&request.id) + &token_event("g1", 0)),
        _ => send(stream_head(&request.id)),
    }
}

/// Every resumed stream belongs to another generation.
fn other_generation_on_resume(request: &ReceivedRequest, _: usize) -> Vec<ScriptStep> {
    match request.method.as_str() {
        "POST" => send(stream_head(&request.id) + &token_event("g1", 0)),
        _ => send(
            stream_head(&request.id).replace("g1", "g2") + &token_event("g2", 1) + &final_events(2),
        ),
    }
}

hornbeamloom_kernel::cases! {
    delivers_tokens;
    whole_stream_reaches_the_caller: (healthy, "<0><1><2>", DONE);
    duplicate_tokens_are_dropped: (duplicates, "<0><1><2>", DONE);
    missing_token_is_fetched_by_a_resume: (missing_token, "<0><1><2>", DONE);
    foreign_generation_is_dropped_and_the_own_resumed: (other_generation, "<0><1><2>", DONE);
    tokens_of_another_generation_than_announced_are_dropped: (other_generation_from_start, "<0><1><2>", DONE);
    answer_of_another_request_is_dropped: (other_request, "<0><1><2>", DONE);
    resumed_answer_of_another_request_is_dropped: (other_request_on_resume, "<0><1><2>", DONE);
    silent_connection_is_resumed: (goes_silent, "<0><1><2>", DONE);
    truncated_event_is_resumed: (truncated_event, "<0><1><2>", DONE);
    stream_without_final_event_is_resumed: (missing_final_event, "<0><1><2>", DONE);
    rejected_attempt_is_repeated: (rejects_once, "<0><1><2>", DONE);
    attempt_without_the_model_is_repeated: (model_unloaded_once, "<0><1><2>", DONE);
    heartbeats_keep_a_slow_engine_connected: (slow_first_token, "<0><1><2>", DONE);
}

hornbeamloom_kernel::cases! {
    ends_with_error;
    unknown_generation_after_a_token_is_an_error: (unknown_on_resume, "<0>");
    resumes_without_progress_end_in_an_error: (no_progress, "<0>");
    resumed_stream_of_another_generation_is_never_shown: (other_generation_on_resume, "<0>");
}

/// Callers and load balancers close a connection without data, so heartbeats must fill the time
/// before the first token.
#[tokio::test]
async fn silence_before_the_first_token_is_filled_with_heartbeats() {
    let target = ScriptedTarget::start(slow_first_token).await;
    let vm = Harness::start(&target).await;
    let (_, text) = vm.stream_completion().await;
    let (before, _) = text.split_once("id: 0").expect(&text);
    assert!(before.matches(": ping\n\n").count() >= 2, "{text}");
}

/// Guards against generations that continue after their caller has disconnected.
#[tokio::test]
async fn generation_of_a_departed_caller_is_cancelled() {
    let target = ScriptedTarget::start(|request, _| {
        vec![ScriptStep::Send(stream_head(&request.id) + &token_event("g1", 0)), ScriptStep::Hang]
    });
    let target = target.await;
    let vm = Harness::start(&target).await;
    let body = r#"{"model": "model", "prompt": "p"}"#;
    let request = vm.post("/v1/completions", body).send();
    let request = tokio::spawn(request);
    target.wait_for(|request| request.path == "/v1/completions").await;
    request.abort();
    target.wait_for(|request| request.path == "/v1/completions/g1/cancel").await;
}

async fn read_until(answer: &mut reqwest::Response, text: &str) -> String {
    let mut received = String::new();
    while !received.contains(text) {
        let part = tokio::time::timeout(TEST_TIMEOUT, answer.chunk()).await.unwrap();
        received += &String::from_utf8_lossy(&part.unwrap().expect(text));
    }
    received
}

/// A caller that lost its connection resumes after the last event that it received.
#[tokio::test]
async fn caller_comes_back_for_the_rest_of_its_stream() {
    let target = ScriptedTarget::start(|request, _| {
        vec![
            ScriptStep::Send(
                stream_head(&request.id) + &token_event("g1", 0) + &token_event("g1", 1),
            ),
            ScriptStep::Wait(Duration::from_millis(1_500)),
            ScriptStep::Send(final_events(2)),
        ]
    });
    let vm = Harness::start(&target.await).await;
    let body = r#"{"model": "model", "prompt": "p", "stream": true}"#;
    let mut first = vm.post("/v1/completions", body).send().await.unwrap();
    let id = first.headers()["x-request-id"].to_str().unwrap().to_owned();
    read_until(&mut first, "id: 0").await;
    drop(first);
    let url = format!("{}/v1/streams/{id}", vm.url);
    let reattach = vm.client.get(&url).header("last-event-id", "0");
    let other_organisation =
        reattach.try_clone().unwrap().bearer_auth("key-2").send().await.unwrap();
    assert_eq!(other_organisation.status(), 404, "a stream belongs to its organisation");
    let answer = reattach.bearer_auth("key-1").send().await.unwrap();
    assert_eq!(answer.status(), 200, "{}", answer.text().await.unwrap());
    assert_eq!(answer.headers()["x-request-id"].to_str().unwrap(), id);
    let text = tokio::time::timeout(TEST_TIMEOUT, answer.text()).await.unwrap().unwrap();
    assert_eq!(token_texts(&text), "<1><2>", "{text}");
    assert!(text.ends_with(DONE), "{text}");
}

/// A load balancer usually sends the second connection to another VM, which must forward the stream
/// from the VM that holds it.
#[tokio::test]
async fn caller_comes_back_at_another_vm() {
    let target = ScriptedTarget::start(healthy).await;
    let vm = Harness::start(&target).await;
    let other = vm.start_peer().await;
    let body = r#"{"model": "model", "prompt": "p", "stream": true}"#;
    let first = vm.post("/v1/completions", body).send().await.unwrap();
    let id = first.headers()["x-request-id"].to_str().unwrap().to_owned();
    assert!(first.text().await.unwrap().ends_with(DONE));
    let url = format!("{}/v1/streams/{id}", other.url);
    let reattach = other.client.get(&url).header("last-event-id", "1");
    let other_organisation = reattach.try_clone().unwrap().bearer_auth("key-2").send().await;
    assert_eq!(other_organisation.unwrap().status(), 404);
    let answer = reattach.bearer_auth("key-1").send().await.unwrap();
    assert_eq!(answer.headers()["x-request-id"].to_str().unwrap(), id);
    let text = answer.text().await.unwrap();
    assert_eq!(token_texts(&text), "<2>", "{text}");
    assert!(text.ends_with(DONE), "{text}");
}

/// A report without a configured model leads to a load order with the lease holder's fencing token.
#[tokio::test]
async fn engine_is_polled_and_ordered_to_load_its_model() {
    let target = ScriptedTarget::start(healthy).await;
    let _vm = Harness::start(&target).await;
    let is_order = |request: &ReceivedRequest| {
        request.path == "/v1/models/load"
            && request.body == r#"{"model":"m@2"}"#
            && request.head.contains("x-fencing-token: ")
    };
    target.wait_for(is_order).await;
}

/// A stream whose caller does not reconnect is cancelled at its engine.
#[tokio::test]
async fn stream_without_a_caller_is_cancelled_after_the_grace_period() {
    let target = ScriptedTarget::start(|request, _| {
        let pings = [
            ScriptStep::Wait(Duration::from_millis(500)),
            ScriptStep::Send(": ping\n\n".to_owned()),
        ];
        let mut steps = vec![ScriptStep::Send(stream_head(&request.id) + &token_event("g1", 0))];
        steps.extend(std::iter::repeat_n(pings, 120).flatten());
        steps
    });
    let target = target.await;
    let vm = Harness::start(&target).await;
    let body = r#"{"model": "model", "prompt": "p", "stream": true}"#;
    let mut stream = vm.post("/v1/completions", body).send().await.unwrap();
    read_until(&mut stream, "id: 0").await;
    drop(stream);
    target.wait_for(|request| request.path == "/v1/completions/g1/cancel").await;
}

/// Tokens of a stream of 40 MB, which exceeds the capacity of all socket buffers in between.
const TOKEN_COUNT: u64 = 4_000;

/// Guards against a replay buffer that drops events before the caller has read them, and against
/// one that grows without bound instead of slowing the engine down.
#[tokio::test]
async fn slow_caller_holds_its_engine_back_and_gets_every_token() {
    let is_sent = Arc::new(AtomicBool::new(false));
    let flag = is_sent.clone();
    let target = ScriptedTarget::start(move |request, _| {
        let long = format!("\", \"pad\": \"{}", "x".repeat(10_000));
        let events = (0..TOKEN_COUNT)
            .map(|seq| token_event("g1", seq).replace(">\"", &format!(">{long}\"")));
        let tokens: String = events.collect();
        vec![
            ScriptStep::Send(stream_head(&request.id) + &tokens + &final_events(TOKEN_COUNT)),
            ScriptStep::SetFlag(flag.clone()),
        ]
    });
    let vm = Harness::start(&target.await).await;
    let body = r#"{"model": "model", "prompt": "p", "stream": true}"#;
    let mut stream = vm.post("/v1/completions", body).send().await.unwrap();
    let id = stream.headers()["x-request-id"].to_str().unwrap().to_owned();
    let mut text = read_until(&mut stream, "id: 0").await;
    // Long enough for the whole stream to be sent if there were no back-pressure.
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!is_sent.load(Ordering::Relaxed), "the whole stream was buffered");
    let rest = tokio::time::timeout(TEST_TIMEOUT, stream.text()).await.unwrap();
    text += &rest.unwrap();
    let expected: String = (0..=TOKEN_COUNT).map(|seq| format!("<{seq}>")).collect();
    assert!(token_texts(&text) == expected, "{} bytes", text.len());
    assert!(text.ends_with(DONE));
    let reattach = vm.client.get(format!("{}/v1/streams/{id}", vm.url)).bearer_auth("key-1");
    let answer = reattach.header("last-event-id", "0").send().await.unwrap();
    assert_eq!(answer.status(), 410);
}

/// A request that any engine would reject is not retried.
#[tokio::test]
async fn engines_refusal_of_the_content_is_passed_on() {
    let target = ScriptedTarget::start(invalid_request).await;
    let vm = Harness::start(&target).await;
    let body = r#"{"model": "model", "prompt": "p"}"#;
    let answer = vm.post("/v1/completions", body).send().await.unwrap();
    assert_eq!(answer.status(), 400);
    assert_eq!(answer.text().await.unwrap(), "bad temperature");
    assert_eq!(target.requests().len(), 1);
}

/// A response that is not streamed contains all texts, in the form of the caller's request.
#[tokio::test]
async fn caller_without_streaming_gets_one_answer() {
    let target = ScriptedTarget::start(healthy).await;
    let vm = Harness::start(&target).await;
    let body = r#"{"model": "model", "prompt": "p", "temperature": 0.5}"#;
    let answer = vm.post("/v1/completions", body).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    let text = answer.text().await.unwrap();
    assert!(text.contains(r#""text":"<0><1><2>""#), "{text}");
    let forwarded = &target.requests()[0].body;
    for part in [r#""stream":true"#, r#""priority":"#, r#""temperature":0.5"#] {
        assert!(forwarded.contains(part), "{forwarded}");
    }
}
