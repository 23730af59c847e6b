//! Requests, chunks and full responses of both endpoints.

use hornbeamloom_wire::openai::{
    parse_chunk, parse_request, prefix_hashes, to_engine_body, Endpoint, ResponseAssembler,
    PREFIX_BYTES,
};
use quickcheck::{Arbitrary, Gen};

/// Fixed, so that every run tests the same inputs.
const SEED: u64 = 13;
const RUNS: usize = 20_000;

/// Guards against a request body that is misread or wrongly accepted. The expected values are the
/// prompt tokens, the maximum output tokens and the stream flag; `None` if it is rejected.
fn parses_to(endpoint: Endpoint, body: &str, expected: Option<(u32, Option<u32>, bool)>) {
    let request = parse_request(endpoint, body.as_bytes()).ok();
    let got =
        request.map(|request| (request.prompt_tokens(), request.max_tokens(), request.stream));
    assert_eq!(got, expected);
}

use Endpoint::{Chat, Completion};

hornbeamloom_kernel::cases! {
    parses_to;
    text_prompt_counts_four_bytes_a_token: (Completion, r#"{"model": "m", "prompt": "12345678"}"#, Some((2, None, false)));
    token_prompt_counts_its_tokens: (Completion, r#"{"model": "m", "prompt": [1, 2, 3]}"#, Some((3, None, false)));
    list_of_texts_is_counted: (Completion, r#"{"model": "m", "prompt": ["1234", "5678"]}"#, Some((2, None, false)));
    list_of_token_lists_is_counted: (Completion, r#"{"model": "m", "prompt": [[1], [2, 3]]}"#, Some((3, None, false)));
    empty_prompt_counts_one_token: (Completion, r#"{"model": "m", "prompt": ""}"#, Some((1, None, false)));
    escaped_text_is_counted_unescaped: (Completion, r#"{"model": "m", "prompt": "\u0041\u0041\u0041\u0041"}"#, Some((1, None, false)));
    chat_counts_roles_and_contents: (Chat, r#"{"model": "m", "messages": [{"role": "user", "content": "1234567890"}], "stream": true}"#, Some((4, None, true)));
    chat_parts_are_counted: (Chat, r#"{"model": "m", "messages": [{"role": "user", "content": [{"type": "text", "text": "1234567890"}]}]}"#, Some((4, None, false)));
    newer_bound_is_preferred: (Chat, r#"{"model": "m", "messages": [{}], "max_tokens": 5, "max_completion_tokens": 6}"#, Some((1, Some(6), false)));
    unknown_members_are_kept_for_the_engine: (Completion, r#"{"model": "m", "prompt": "a", "logit_bias": {"1": 2}}"#, Some((1, None, false)));
    chat_without_messages_is_refused: (Chat, r#"{"model": "m", "prompt": "a"}"#, None);
    chat_with_no_message_is_refused: (Chat, r#"{"model": "m", "messages": []}"#, None);
    completion_without_prompt_is_refused: (Completion, r#"{"model": "m", "messages": [{}]}"#, None);
    body_without_model_is_refused: (Completion, r#"{"prompt": "a"}"#, None);
    zero_bound_is_refused: (Completion, r#"{"model": "m", "prompt": "a", "max_tokens": 0}"#, None);
    negative_bound_is_refused: (Completion, r#"{"model": "m", "prompt": "a", "max_tokens": -1}"#, None);
    duplicate_model_is_refused: (Completion, r#"{"model": "m", "model": "n", "prompt": "a"}"#, None);
}

/// Guards against chunks that are not assembled into the full response.
fn assembles_to(endpoint: Endpoint, chunks: &[&str], expected: &str) {
    let mut assembler = ResponseAssembler::new(endpoint);
    for chunk in chunks {
        assembler.push_chunk(chunk).unwrap();
    }
    let got: serde_json::Value = serde_json::from_slice(&assembler.finish()).unwrap();
    let expected: serde_json::Value = serde_json::from_str(expected).unwrap();
    assert_eq!(got, expected);
}

hornbeamloom_kernel::cases! {
    assembles_to;
    completion_texts_are_joined: (
        Completion,
        &[r#"{"id": "g", "object": "x", "choices": [{"index": 0, "text": "a", "finish_reason": null}]}"#,
          r#"{"id": "g", "object": "x", "choices": [{"index": 0, "text": "b", "finish_reason": "stop"}], "usage": {"completion_tokens": 2}}"#],
        r#"{"id": "g", "object": "text_completion", "choices": [{"index": 0, "text": "ab", "finish_reason": "stop"}], "usage": {"completion_tokens": 2}}"#
    );
    choices_are_joined_by_index: (
        Completion,
        &[r#"{"id": "g", "choices": [{"index": 1, "text": "x"}]}"#,
          r#"{"id": "g", "choices": [{"index": 0, "text": "a"}, {"index": 1, "text": "y"}]}"#],
        r#"{"id": "g", "object": "text_completion", "choices": [{"index": 1, "text": "xy"}, {"index": 0, "text": "a"}]}"#
    );
    chat_deltas_become_a_message: (
        Chat,
        &[r#"{"id": "g", "choices": [{"index": 0, "delta": {"role": "assistant", "content": "a"}}]}"#,
          r#"{"id": "g", "choices": [{"index": 0, "delta": {"content": "b"}, "finish_reason": "length"}]}"#],
        r#"{"id": "g", "object": "chat.completion", "choices": [{"index": 0, "message": {"role": "assistant", "content": "ab"}, "finish_reason": "length"}]}"#
    );
    tool_calls_are_joined: (
        Chat,
        &[r#"{"id": "g", "choices": [{"index": 0, "delta": {"tool_calls": [{"index": 0, "id": "t", "function": {"name": "f", "arguments": "{"}}]}}]}"#,
          r#"{"id": "g", "choices": [{"index": 0, "delta": {"tool_calls": [{"index": 0, "function": {"arguments": "}"}}]}}]}"#],
        r#"{"id": "g", "object": "chat.completion", "choices": [{"index": 0, "message": {"tool_calls": [{"index": 0, "id": "t", "function": {"name": "f", "arguments": "{}"}}]}}]}"#
    );
}

/// Guards against a shared prefix that is not recognised because the prompt continues after it.
#[test]
fn prefix_hashes_of_a_longer_prompt_continue_those_of_its_beginning() {
    let prompt = |length: usize| format!(r#"{{"model": "m", "prompt": "{}"}}"#, "x".repeat(length));
    let hashes =
        |length| parse_request(Completion, prompt(length).as_bytes()).unwrap().prefix_hashes();
    assert!(hashes(PREFIX_BYTES - 1).is_empty());
    let (short, long) = (hashes(2 * PREFIX_BYTES), hashes(3 * PREFIX_BYTES));
    assert_eq!((short.len(), long.len()), (2, 3));
    assert_eq!(short, long[..2]);
    assert_eq!(prefix_hashes(&"x".repeat(2 * PREFIX_BYTES)), short);
    assert!(hashes(1_000 * PREFIX_BYTES).len() <= 64);
}

/// Guards against panics on malformed bodies and chunks, and against rewritten bodies that the
/// engine cannot parse.
#[test]
fn any_body_is_read_or_refused() {
    let parts = [
        "{",
        "}",
        "[",
        "]",
        ",",
        ":",
        "\"model\"",
        "\"m\"",
        "\"prompt\"",
        "\"stream\"",
        "true",
        "1",
        "\"priority\"",
        "\"\\u00e9\"",
        "null",
        " ",
    ];
    let mut g = Gen::from_size_and_seed(16, SEED);
    for _ in 0..RUNS {
        let text: String = Vec::<u8>::arbitrary(&mut g)
            .iter()
            .map(|byte| parts[usize::from(*byte) % parts.len()])
            .collect();
        for endpoint in [Completion, Chat] {
            if let Ok(request) = parse_request(endpoint, text.as_bytes()) {
                let _ = (request.prompt_tokens(), request.prefix_hashes());
            }
        }
        let _ = parse_chunk(&text);
        let _ = ResponseAssembler::new(Chat).push_chunk(&text);
        if let Ok(body) = to_engine_body(text.as_bytes(), -2) {
            let body: serde_json::Value = serde_json::from_slice(&body).expect(&text);
            assert_eq!((&body["stream"], &body["priority"]), (&true.into(), &(-2).into()));
        }
    }
}
