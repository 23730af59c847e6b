//! Answers to keep for calls that run at most once.

use hornbeamloom_kernel::store::StoredResponse;
use hornbeamloom_wire::openai::{Form, Whole};
use hornbeamloom_wire::sse;

use crate::relay::{Answer, Relay};

/// Longest body kept, in bytes.
const BODY_BYTES: usize = 64 * 1024;

fn stored(status: u16, content_type: &str, body: Option<Vec<u8>>) -> StoredResponse {
    StoredResponse {
        status,
        content_type: content_type.to_owned(),
        body: body.filter(|body| body.len() <= BODY_BYTES),
    }
}

/// A plain service's answer.
pub(crate) fn answer(answer: &Answer) -> StoredResponse {
    let mut headers = answer.headers.iter();
    let content_type = headers.find(|(name, _)| name == "content-type");
    let content_type = content_type.and_then(|(_, value)| std::str::from_utf8(value).ok());
    let content_type = content_type.unwrap_or("application/octet-stream");
    stored(answer.status, content_type, Some(answer.body.to_vec()))
}

/// A generation's answer in the form that its caller asked for.
pub(crate) fn generation(relay: &Relay, form: Form, is_stream: bool) -> StoredResponse {
    match is_stream {
        true => stored(200, "text/event-stream", stream(relay)),
        false => stored(200, "application/json", whole(relay, form)),
    }
}

fn stream(relay: &Relay) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    for (seq, event) in (0..).zip(relay.events()?) {
        sse::write(&mut body, Some(seq), None, std::str::from_utf8(&event).ok()?);
    }
    sse::write(&mut body, None, None, "[DONE]");
    Some(body)
}

fn whole(relay: &Relay, form: Form) -> Option<Vec<u8>> {
    let mut whole = Whole::new(form);
    for event in relay.events()? {
        whole.push(std::str::from_utf8(&event).ok()?).ok()?;
    }
    Some(whole.finish())
}
