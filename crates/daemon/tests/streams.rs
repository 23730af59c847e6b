//! Token streams from a scripted engine to a caller, with faults on the way.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use support::{head, last, token, tokens, whole, Act, Rig, Seen, Target, PATIENCE};

/// What the engine does for a request; the number counts requests from 1.
type Script = fn(&Seen, usize) -> Vec<Act>;

const DONE: &str = "data: [DONE]\n\n";

/// The caller sees the expected tokens once and in order, and the expected end.
#[tokio::main]
async fn delivers(script: Script, expected: &str, end: &str) {
    let target = Target::start(script).await;
    let rig = Rig::start(&target).await;
    let (status, text) = rig.stream().await;
    assert_eq!(status, 200, "{text}");
    assert_eq!(tokens(&text), expected, "{text}");
    assert!(text.ends_with(end), "{text}");
}

/// The stream ends with a typed error event after the expected tokens, never with `[DONE]`.
#[tokio::main]
async fn breaks(script: Script, expected: &str) {
    let target = Target::start(script).await;
    let rig = Rig::start(&target).await;
    let (status, text) = rig.stream().await;
    assert_eq!(status, 200, "{text}");
    assert_eq!(tokens(&text), expected, "{text}");
    let (_, error) = text.split_once("event: error\ndata: ").expect(&text);
    assert!(error.contains(r#""reason":"target_failed""#), "{text}");
    assert!(error.contains(r#""not_run":false"#), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
}

fn send(text: String) -> Vec<Act> {
    vec![Act::Send(text)]
}

/// Where a resume wants to go on.
fn resume_from(seen: &Seen) -> u64 {
    let after = seen.path.split_once("starting_after=");
    after.map_or(0, |(_, seq)| seq.parse::<u64>().unwrap() + 1)
}

/// The rest of the generation of three tokens.
fn rest(seen: &Seen) -> String {
    let from = resume_from(seen);
    let middle: String = (from..2).map(|seq| token("g1", seq)).collect();
    head(&seen.id) + &middle + &last(2)
}

fn healthy(seen: &Seen, _: usize) -> Vec<Act> {
    send(rest(seen))
}

fn duplicates(seen: &Seen, _: usize) -> Vec<Act> {
    let (first, second) = (token("g1", 0), token("g1", 1));
    send(head(&seen.id) + &first + &first + &second + &first + &second + &last(2))
}

/// The first connection leaves token 1 out; a resume gets everything.
fn missing(seen: &Seen, count: usize) -> Vec<Act> {
    match count {
        1 => send(head(&seen.id) + &token("g1", 0) + &last(2)),
        _ => send(rest(seen)),
    }
}

/// The first connection turns to the tokens of another generation.
fn foreign(seen: &Seen, count: usize) -> Vec<Act> {
    match count {
        1 => {
            send(head(&seen.id) + &token("g1", 0) + &token("g2", 1) + &last(2).replace("g1", "g2"))
        }
        _ => send(rest(seen)),
    }
}

/// The first answer announces the generation and brings another one's tokens from the start.
fn mislabelled(seen: &Seen, count: usize) -> Vec<Act> {
    match count {
        1 => send(head(&seen.id) + &token("g2", 0).replace("<0>", "theirs")),
        _ => send(rest(seen)),
    }
}

/// The first answer belongs to another request.
fn crossed(seen: &Seen, count: usize) -> Vec<Act> {
    match count {
        1 => send(head("entry-9-1-1.1") + &token("g1", 0).replace("<0>", "theirs") + &last(1)),
        _ => send(rest(seen)),
    }
}

/// The first resume gets the answer of another request whose generation has the same name.
fn crossed_resume(seen: &Seen, count: usize) -> Vec<Act> {
    match count {
        1 => send(head(&seen.id) + &token("g1", 0)),
        2 => send(head("entry-9-1-1.1") + &token("g1", 1).replace("<1>", "theirs") + &last(2)),
        _ => send(rest(seen)),
    }
}

/// The first connection goes silent after one token and stays open.
fn silent(seen: &Seen, count: usize) -> Vec<Act> {
    match count {
        1 => vec![Act::Send(head(&seen.id) + &token("g1", 0)), Act::Hang],
        _ => send(rest(seen)),
    }
}

/// The first connection ends in the middle of an event.
fn truncated(seen: &Seen, count: usize) -> Vec<Act> {
    let half = token("g1", 1)[..20].to_owned();
    match count {
        1 => send(head(&seen.id) + &token("g1", 0) + &half),
        _ => send(rest(seen)),
    }
}

/// The first connection ends without its final event.
fn unfinished(seen: &Seen, count: usize) -> Vec<Act> {
    match count {
        1 => send(head(&seen.id) + &token("g1", 0) + "data: [DONE]\n\n"),
        _ => send(rest(seen)),
    }
}

/// The engine refuses once before it runs anything.
fn rejecting(seen: &Seen, count: usize) -> Vec<Act> {
    match count {
        1 => send(whole(503, &seen.id, "full")),
        _ => send(rest(seen)),
    }
}

/// The engine has unloaded the model once.
fn unloaded(seen: &Seen, count: usize) -> Vec<Act> {
    match count {
        1 => send(whole(404, &seen.id, "no such model")),
        _ => send(rest(seen)),
    }
}

/// The engine finds fault with the request itself.
fn invalid(seen: &Seen, _: usize) -> Vec<Act> {
    send(whole(400, &seen.id, "bad temperature"))
}

/// The engine sends heartbeats for longer than the silence deadline before the first token.
fn slow(seen: &Seen, _: usize) -> Vec<Act> {
    let mut acts = vec![Act::Send(head(&seen.id))];
    for _ in 0..6 {
        acts.push(Act::Wait(Duration::from_millis(500)));
        acts.push(Act::Send(": ping\n\n".to_owned()));
    }
    acts.push(Act::Send(token("g1", 0) + &token("g1", 1) + &last(2)));
    acts
}

/// After a cut the engine no longer knows the generation.
fn forgetful(seen: &Seen, _: usize) -> Vec<Act> {
    match seen.method.as_str() {
        "POST" => send(head(&seen.id) + &token("g1", 0)),
        _ => send(whole(404, &seen.id, "")),
    }
}

/// Every connection is cut at the same place.
fn stuck(seen: &Seen, _: usize) -> Vec<Act> {
    match resume_from(seen) {
        0 => send(head(&seen.id) + &token("g1", 0)),
        _ => send(head(&seen.id)),
    }
}

/// Every resumed stream belongs to another generation.
fn impostor(seen: &Seen, _: usize) -> Vec<Act> {
    match seen.method.as_str() {
        "POST" => send(head(&seen.id) + &token("g1", 0)),
        _ => send(head(&seen.id).replace("g1", "g2") + &token("g2", 1) + &last(2)),
    }
}

hornbeamloom_kernel::cases! {
    delivers;
    whole_stream_reaches_the_caller: (healthy, "<0><1><2>", DONE);
    duplicate_tokens_are_dropped: (duplicates, "<0><1><2>", DONE);
    missing_token_is_fetched_by_a_resume: (missing, "<0><1><2>", DONE);
    foreign_generation_is_dropped_and_the_own_resumed: (foreign, "<0><1><2>", DONE);
    tokens_of_another_generation_than_announced_are_dropped: (mislabelled, "<0><1><2>", DONE);
    answer_of_another_request_is_dropped: (crossed, "<0><1><2>", DONE);
    resumed_answer_of_another_request_is_dropped: (crossed_resume, "<0><1><2>", DONE);
    silent_connection_is_resumed: (silent, "<0><1><2>", DONE);
    truncated_event_is_resumed: (truncated, "<0><1><2>", DONE);
    stream_without_final_event_is_resumed: (unfinished, "<0><1><2>", DONE);
    rejected_attempt_is_repeated: (rejecting, "<0><1><2>", DONE);
    attempt_without_the_model_is_repeated: (unloaded, "<0><1><2>", DONE);
    heartbeats_keep_a_slow_engine_connected: (slow, "<0><1><2>", DONE);
}

hornbeamloom_kernel::cases! {
    breaks;
    unknown_generation_after_a_token_is_an_error: (forgetful, "<0>");
    resumes_without_progress_end_in_an_error: (stuck, "<0>");
    resumed_stream_of_another_generation_is_never_shown: (impostor, "<0>");
}

/// Guards against callers and load balancers that give up on a silent connection.
#[tokio::test]
async fn silence_before_the_first_token_is_filled_with_heartbeats() {
    let target = Target::start(slow).await;
    let rig = Rig::start(&target).await;
    let (_, text) = rig.stream().await;
    let (before, _) = text.split_once("id: 0").expect(&text);
    assert!(before.matches(": ping\n\n").count() >= 2, "{text}");
}

/// Guards against tokens generated for nobody.
#[tokio::test]
async fn generation_of_a_departed_caller_is_cancelled() {
    let target =
        Target::start(|seen, _| vec![Act::Send(head(&seen.id) + &token("g1", 0)), Act::Hang]);
    let target = target.await;
    let rig = Rig::start(&target).await;
    let body = r#"{"model": "model", "prompt": "p"}"#;
    let request = rig.post("/v1/completions", body).send();
    let request = tokio::spawn(request);
    target.wait_for(|seen| seen.path == "/v1/completions").await;
    request.abort();
    target.wait_for(|seen| seen.path == "/v1/completions/g1/cancel").await;
}

async fn read_until(answer: &mut reqwest::Response, text: &str) -> String {
    let mut seen = String::new();
    while !seen.contains(text) {
        let part = tokio::time::timeout(PATIENCE, answer.chunk()).await.unwrap();
        seen += &String::from_utf8_lossy(&part.unwrap().expect(text));
    }
    seen
}

/// A caller that lost its connection goes on after the last event it has seen.
#[tokio::test]
async fn caller_comes_back_for_the_rest_of_its_stream() {
    let target = Target::start(|seen, _| {
        vec![
            Act::Send(head(&seen.id) + &token("g1", 0) + &token("g1", 1)),
            Act::Wait(Duration::from_millis(1_500)),
            Act::Send(last(2)),
        ]
    });
    let rig = Rig::start(&target.await).await;
    let body = r#"{"model": "model", "prompt": "p", "stream": true}"#;
    let mut first = rig.post("/v1/completions", body).send().await.unwrap();
    let id = first.headers()["x-request-id"].to_str().unwrap().to_owned();
    read_until(&mut first, "id: 0").await;
    drop(first);
    let url = format!("{}/v1/streams/{id}", rig.url);
    let again = rig.client.get(&url).header("last-event-id", "0");
    let stranger = again.try_clone().unwrap().bearer_auth("key-2").send().await.unwrap();
    assert_eq!(stranger.status(), 404, "a stream belongs to its organisation");
    let answer = again.bearer_auth("key-1").send().await.unwrap();
    assert_eq!(answer.status(), 200, "{}", answer.text().await.unwrap());
    assert_eq!(answer.headers()["x-request-id"].to_str().unwrap(), id);
    let text = tokio::time::timeout(PATIENCE, answer.text()).await.unwrap().unwrap();
    assert_eq!(tokens(&text), "<1><2>", "{text}");
    assert!(text.ends_with(DONE), "{text}");
}

/// The VM that a load balancer picks for the second connection is seldom the first one.
#[tokio::test]
async fn caller_comes_back_at_another_vm() {
    let target = Target::start(healthy).await;
    let rig = Rig::start(&target).await;
    let other = rig.join().await;
    let body = r#"{"model": "model", "prompt": "p", "stream": true}"#;
    let first = rig.post("/v1/completions", body).send().await.unwrap();
    let id = first.headers()["x-request-id"].to_str().unwrap().to_owned();
    assert!(first.text().await.unwrap().ends_with(DONE));
    let url = format!("{}/v1/streams/{id}", other.url);
    let again = other.client.get(&url).header("last-event-id", "1");
    let stranger = again.try_clone().unwrap().bearer_auth("key-2").send().await;
    assert_eq!(stranger.unwrap().status(), 404);
    let answer = again.bearer_auth("key-1").send().await.unwrap();
    assert_eq!(answer.headers()["x-request-id"].to_str().unwrap(), id);
    let text = answer.text().await.unwrap();
    assert_eq!(tokens(&text), "<2>", "{text}");
    assert!(text.ends_with(DONE), "{text}");
}

/// A report that lacks a wanted model leads to an order with the holder's fencing token.
#[tokio::test]
async fn engine_is_polled_and_ordered_to_load_its_model() {
    let target = Target::start(healthy).await;
    let _rig = Rig::start(&target).await;
    let is_order = |seen: &Seen| {
        seen.path == "/v1/models/load"
            && seen.body == r#"{"model":"m@2"}"#
            && seen.head.contains("x-fencing-token: ")
    };
    target.wait_for(is_order).await;
}

/// A stream that nobody came back for ends at its engine too.
#[tokio::test]
async fn stream_without_a_caller_is_cancelled_after_the_grace_period() {
    let target = Target::start(|seen, _| {
        let pings = [Act::Wait(Duration::from_millis(500)), Act::Send(": ping\n\n".to_owned())];
        let mut acts = vec![Act::Send(head(&seen.id) + &token("g1", 0))];
        acts.extend(std::iter::repeat_n(pings, 120).flatten());
        acts
    });
    let target = target.await;
    let rig = Rig::start(&target).await;
    let body = r#"{"model": "model", "prompt": "p", "stream": true}"#;
    let mut stream = rig.post("/v1/completions", body).send().await.unwrap();
    read_until(&mut stream, "id: 0").await;
    drop(stream);
    target.wait_for(|seen| seen.path == "/v1/completions/g1/cancel").await;
}

/// Tokens of a stream of 40 MB, more than all socket buffers on the way hold.
const MANY: u64 = 4_000;

/// Guards against a replay buffer that drops what the caller has not read, and against one that
/// keeps everything.
#[tokio::test]
async fn slow_caller_holds_its_engine_back_and_gets_every_token() {
    let is_sent = Arc::new(AtomicBool::new(false));
    let mark = is_sent.clone();
    let target = Target::start(move |seen, _| {
        let long = format!("\", \"pad\": \"{}", "x".repeat(10_000));
        let many = (0..MANY).map(|seq| token("g1", seq).replace(">\"", &format!(">{long}\"")));
        let tokens: String = many.collect();
        vec![Act::Send(head(&seen.id) + &tokens + &last(MANY)), Act::Mark(mark.clone())]
    });
    let rig = Rig::start(&target.await).await;
    let body = r#"{"model": "model", "prompt": "p", "stream": true}"#;
    let mut stream = rig.post("/v1/completions", body).send().await.unwrap();
    let id = stream.headers()["x-request-id"].to_str().unwrap().to_owned();
    let mut text = read_until(&mut stream, "id: 0").await;
    // Long enough for the whole stream to pass if nothing held it back.
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!is_sent.load(Ordering::Relaxed), "somebody keeps the whole stream");
    let rest = tokio::time::timeout(PATIENCE, stream.text()).await.unwrap();
    text += &rest.unwrap();
    let expected: String = (0..=MANY).map(|seq| format!("<{seq}>")).collect();
    assert!(tokens(&text) == expected, "{} bytes", text.len());
    assert!(text.ends_with(DONE));
    let again = rig.client.get(format!("{}/v1/streams/{id}", rig.url)).bearer_auth("key-1");
    let answer = again.header("last-event-id", "0").send().await.unwrap();
    assert_eq!(answer.status(), 410);
}

/// A request that no engine would take is not tried again.
#[tokio::test]
async fn engines_refusal_of_the_content_is_passed_on() {
    let target = Target::start(invalid).await;
    let rig = Rig::start(&target).await;
    let body = r#"{"model": "model", "prompt": "p"}"#;
    let answer = rig.post("/v1/completions", body).send().await.unwrap();
    assert_eq!(answer.status(), 400);
    assert_eq!(answer.text().await.unwrap(), "bad temperature");
    assert_eq!(target.seen().len(), 1);
}

/// The whole answer has all texts and the caller's own form.
#[tokio::test]
async fn caller_without_streaming_gets_one_answer() {
    let target = Target::start(healthy).await;
    let rig = Rig::start(&target).await;
    let body = r#"{"model": "model", "prompt": "p", "temperature": 0.5}"#;
    let answer = rig.post("/v1/completions", body).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    let text = answer.text().await.unwrap();
    assert!(text.contains(r#""text":"<0><1><2>""#), "{text}");
    let forwarded = &target.seen()[0].body;
    for part in [r#""stream":true"#, r#""priority":"#, r#""temperature":0.5"#] {
        assert!(forwarded.contains(part), "{forwarded}");
    }
}
