//! Responses to store for calls that run at most once.

use hornbeamloom_kernel::store::StoredResponse;
use hornbeamloom_wire::openai::{Endpoint, ResponseAssembler};
use hornbeamloom_wire::sse;

use crate::relay::{Relay, TargetResponse};

/// Maximum size of a body that is stored, in bytes.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

fn to_stored(status: u16, content_type: &str, body: Option<Vec<u8>>) -> StoredResponse {
    StoredResponse {
        status,
        content_type: content_type.to_owned(),
        body: body.filter(|body| body.len() <= MAX_STORED_BODY_BYTES),
    }
}

/// The response of a plain service.
pub(crate) fn from_response(response: &TargetResponse) -> StoredResponse {
    let mut headers = response.headers.iter();
    let content_type = headers.find(|(name, _)| name == "content-type");
    let content_type = content_type.and_then(|(_, value)| std::str::from_utf8(value).ok());
    let content_type = content_type.unwrap_or("application/octet-stream");
    to_stored(response.status, content_type, Some(response.body.to_vec()))
}

/// The response of a generation, in the form that its caller requested.
pub(crate) fn from_generation(
    relay: &Relay,
    endpoint: Endpoint,
    is_stream: bool,
) -> StoredResponse {
    match is_stream {
        true => to_stored(200, "text/event-stream", stream_body(relay)),
        false => to_stored(200, "application/json", full_body(relay, endpoint)),
    }
}

fn stream_body(relay: &Relay) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    for (seq, event) in (0..).zip(relay.all_events()?) {
        sse::write_event(&mut body, Some(seq), None, std::str::from_utf8(&event).ok()?);
    }
    sse::write_event(&mut body, None, None, "[DONE]");
    Some(body)
}

fn full_body(relay: &Relay, endpoint: Endpoint) -> Option<Vec<u8>> {
    let mut assembler = ResponseAssembler::new(endpoint);
    for event in relay.all_events()? {
        assembler.push_chunk(std::str::from_utf8(&event).ok()?).ok()?;
    }
    Some(assembler.finish())
}
