//! Responses to callers: token streams with heartbeats, full responses, errors.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamloom_kernel::outcome::Ran;
use hornbeamloom_kernel::store::StoredResponse;
use hornbeamloom_wire::openai::{Endpoint, ResponseAssembler};
use hornbeamloom_wire::sse;
use warp::http::{header, HeaderName, HeaderValue, StatusCode};
use warp::reply::{Reply, Response};

use crate::refusal::{ErrorResponse, REQUEST_ID};
use crate::relay::{Finish, ReadItem, Reader, TargetResponse};

/// Time without data on a stream after which a heartbeat comment is sent.
///
/// The head of a stream is sent after the same time at the latest, so that an earlier refusal still
/// gets its own status.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum size of a full response assembled for a caller, in bytes of its events.
const MAX_FULL_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// The body of a token stream on one connection of a caller.
struct StreamBody {
    reader: Reader,
    first_item: Option<ReadItem>,
    is_finished: bool,
}

/// Responds with a token stream, or with a separate status if the request ends before the head is
/// sent.
pub(crate) async fn stream(mut reader: Reader) -> Result<Response, ErrorResponse> {
    let first_item = tokio::time::timeout(HEARTBEAT_INTERVAL, reader.next()).await.ok();
    if let Some(ReadItem::Finish(finish)) = &first_item {
        if let Some(response) = early_response(finish) {
            return response;
        }
    }
    let id = reader.relay.id.to_string();
    let body = StreamBody { reader, first_item, is_finished: false };
    let chunks = futures_util::stream::unfold(body, |mut body| async move {
        let chunk = body.next_chunk().await?;
        Some((Ok::<_, std::convert::Infallible>(chunk), body))
    });
    let mut response = warp::reply::stream(chunks).into_response();
    let headers = response.headers_mut();
    let event_stream = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, event_stream);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(id) = HeaderValue::from_str(&id) {
        headers.insert(REQUEST_ID, id);
    }
    Ok(response)
}

/// The response in place of a stream of which no token was sent.
fn early_response(finish: &Arc<Finish>) -> Option<Result<Response, ErrorResponse>> {
    match &**finish {
        Finish::Complete => None,
        Finish::Refused(refusal) if refusal.ran == Ran::Yes => None,
        Finish::Refused(refusal) => Some(Err(refusal.into())),
        Finish::Stored(stored) => Some(replay_stored(stored)),
        Finish::Forwarded(response) => Some(Ok(target_response(response))),
        Finish::Cancelled => Some(Err(cancelled())),
    }
}

impl StreamBody {
    async fn next_chunk(&mut self) -> Option<Bytes> {
        if self.is_finished {
            return None;
        }
        let item = match self.first_item.take() {
            Some(item) => Some(item),
            None => tokio::time::timeout(HEARTBEAT_INTERVAL, self.reader.next()).await.ok(),
        };
        let mut out = Vec::new();
        match item {
            None => sse::write_comment(&mut out, "ping"),
            Some(ReadItem::Events(first, events)) => {
                for (seq, event) in (first..).zip(&events) {
                    let data = std::str::from_utf8(event).expect("events were read as text");
                    sse::write_event(&mut out, Some(seq), None, data);
                }
            }
            Some(ReadItem::Finish(finish)) => {
                self.is_finished = true;
                self.write_end(&finish, &mut out);
            }
            Some(ReadItem::Replaced) => {
                self.is_finished = true;
                self.write_error(&replaced(), &mut out);
            }
        }
        Some(out.into())
    }

    fn write_end(&self, finish: &Finish, out: &mut Vec<u8>) {
        match finish {
            Finish::Complete => sse::write_event(out, None, None, "[DONE]"),
            Finish::Refused(refusal) => self.write_error(&refusal.into(), out),
            Finish::Stored(StoredResponse { content_type, body: Some(body), .. })
                if content_type == "text/event-stream" =>
            {
                out.extend_from_slice(body);
            }
            Finish::Stored(_) => self.write_error(&response_not_stored(), out),
            Finish::Forwarded(_) => self.write_error(&target_refused(), out),
            Finish::Cancelled => self.write_error(&cancelled(), out),
        }
    }

    fn write_error(&self, error: &ErrorResponse, out: &mut Vec<u8>) {
        let text = error.json_body(&self.reader.relay.id.to_string());
        sse::write_event(out, None, Some("error"), &text);
    }
}

/// Waits for the end and responds with the full text.
pub(crate) async fn full(
    mut reader: Reader,
    endpoint: Endpoint,
) -> Result<Response, ErrorResponse> {
    let mut assembler = ResponseAssembler::new(endpoint);
    let mut length = 0;
    loop {
        match reader.next().await {
            ReadItem::Events(_, events) => {
                length += events.iter().map(Bytes::len).sum::<usize>();
                if length > MAX_FULL_RESPONSE_BYTES {
                    return Err(invalid_target_response());
                }
                for event in &events {
                    let text = std::str::from_utf8(event).expect("events were read as text");
                    assembler.push_chunk(text).map_err(|_| invalid_target_response())?;
                }
            }
            ReadItem::Replaced => return Err(replaced()),
            ReadItem::Finish(finish) => {
                return match &*finish {
                    Finish::Complete => Ok(json(assembler.finish())),
                    Finish::Refused(refusal) => Err(refusal.into()),
                    Finish::Stored(stored) => replay_stored(stored),
                    Finish::Forwarded(response) => Ok(target_response(response)),
                    Finish::Cancelled => Err(cancelled()),
                };
            }
        }
    }
}

/// Waits for the response of a plain service.
pub(crate) async fn forwarded(mut reader: Reader) -> Result<Response, ErrorResponse> {
    loop {
        match reader.next().await {
            // The response of a plain service has no events.
            ReadItem::Events(..) => {}
            ReadItem::Replaced => return Err(replaced()),
            ReadItem::Finish(finish) => {
                return match &*finish {
                    Finish::Complete => Err(invalid_target_response()),
                    Finish::Refused(refusal) => Err(refusal.into()),
                    Finish::Stored(stored) => replay_stored(stored),
                    Finish::Forwarded(response) => Ok(target_response(response)),
                    Finish::Cancelled => Err(cancelled()),
                };
            }
        }
    }
}

fn json(body: Vec<u8>) -> Response {
    let mut response = Response::new(body.into());
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn replay_stored(stored: &StoredResponse) -> Result<Response, ErrorResponse> {
    let Some(body) = &stored.body else {
        return Err(response_not_stored());
    };
    let response = TargetResponse {
        status: stored.status,
        headers: vec![(header::CONTENT_TYPE.to_string(), stored.content_type.clone().into_bytes())],
        body: body.clone().into(),
    };
    Ok(target_response(&response))
}

fn target_response(received: &TargetResponse) -> Response {
    let mut response = Response::new(received.body.clone().into());
    *response.status_mut() =
        StatusCode::from_u16(received.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &received.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

fn cancelled() -> ErrorResponse {
    let message = "the caller was away for too long";
    ErrorResponse::new(StatusCode::GONE, "cancelled", message).with_ran(Ran::Unknown)
}

fn replaced() -> ErrorResponse {
    let message = "a newer connection reads this stream";
    ErrorResponse::new(StatusCode::CONFLICT, "replaced", message).with_ran(Ran::Yes)
}

fn response_not_stored() -> ErrorResponse {
    let message = "the call ran, but its answer was too long to be kept";
    ErrorResponse::new(StatusCode::CONFLICT, "outcome_not_kept", message).with_ran(Ran::Yes)
}

fn target_refused() -> ErrorResponse {
    let message = "the target refused the request";
    ErrorResponse::new(StatusCode::BAD_REQUEST, "target_refused", message).with_ran(Ran::Unknown)
}

fn invalid_target_response() -> ErrorResponse {
    let message = "the target's answer cannot be put together";
    ErrorResponse::new(StatusCode::BAD_GATEWAY, "target_failed", message).with_ran(Ran::Yes)
}
