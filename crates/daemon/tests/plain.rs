//! Calls of plain services, with faults on the way.

mod support;

use support::{whole, Act, Rig, Seen, Target, PATIENCE};

type Script = fn(&Seen, usize) -> Vec<Act>;

/// A call with `method` and perhaps a key gets `status`, the body has `says`, and the service saw
/// the expected number of calls.
#[tokio::main]
async fn answers(script: Script, method: &str, key: &str, status: u16, says: &str, calls: usize) {
    let target = Target::start(script).await;
    let rig = Rig::start(&target).await;
    let answer = call(&rig, method, key, "notice").await;
    assert_eq!((answer.0, target.seen().len()), (status, calls), "{}", answer.1);
    assert!(answer.1.contains(says), "{}", answer.1);
}

async fn call(rig: &Rig, method: &str, key: &str, body: &str) -> (u16, String) {
    let url = format!("{}/services/desk/orders/7?urgent=1", rig.url);
    let mut request =
        rig.client.request(method.parse().unwrap(), url).bearer_auth("key-1").body(body.to_owned());
    if !key.is_empty() {
        request = request.header("idempotency-key", key);
    }
    let answer = tokio::time::timeout(PATIENCE, request.send()).await.unwrap().unwrap();
    (answer.status().as_u16(), answer.text().await.unwrap())
}

/// Answers with what it got.
fn echo(seen: &Seen, _: usize) -> Vec<Act> {
    let text = format!("{} {} {}", seen.method, seen.path, seen.body);
    vec![Act::Send(whole(201, &seen.id, &text))]
}

fn truncated(seen: &Seen, count: usize) -> Vec<Act> {
    let text = whole(200, &seen.id, "the whole answer");
    match count {
        1 => vec![Act::Send(text[..text.len() - 6].to_owned())],
        _ => vec![Act::Send(text)],
    }
}

fn crossed(seen: &Seen, count: usize) -> Vec<Act> {
    match count {
        1 => vec![Act::Send(whole(200, "entry-9-1-1.1", "theirs"))],
        _ => vec![Act::Send(whole(200, &seen.id, "ours"))],
    }
}

hornbeamloom_kernel::cases! {
    answers;
    call_and_answer_pass_through: (echo, "POST", "", 201, "POST /orders/7?urgent=1 notice", 1);
    truncated_answer_is_never_shown: (truncated, "POST", "", 200, "the whole answer", 2);
    answer_of_another_request_is_never_shown: (crossed, "POST", "", 200, "ours", 2);
    truncated_answer_of_a_call_with_a_key_is_not_repeated: (truncated, "POST", "k1", 502, "\"unknown\"", 1);
    crossed_answer_of_a_declared_method_is_not_repeated: (crossed, "PUT", "", 502, "\"unknown\"", 1);
}

/// A repeated key gets the kept answer, and the service runs the call once.
#[tokio::test]
async fn repeated_key_gets_the_kept_answer() {
    let target = Target::start(echo).await;
    let rig = Rig::start(&target).await;
    let first = call(&rig, "POST", "k1", "notice").await;
    let second = call(&rig, "POST", "k1", "notice").await;
    assert_eq!(first, second);
    assert_eq!(first.0, 201);
    assert_eq!(target.seen().len(), 1);
    let (status, text) = call(&rig, "POST", "k1", "another body").await;
    assert_eq!(status, 422, "{text}");
    assert!(text.contains("key_reused"), "{text}");
}
