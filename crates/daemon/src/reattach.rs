//! Lets callers that lost their connection resume a stream held by this or another VM.

use std::time::Duration;

use futures_util::TryStreamExt;
use hornbeamloom_kernel::ids::{Millis, Name};
use hornbeamloom_kernel::kernel::State;
use hornbeamloom_kernel::outcome::Ran;
use hornbeamloom_kernel::request::Id;
use warp::http::{header, HeaderMap, HeaderValue, StatusCode};
use warp::reply::{Reply, Response};

use crate::engines::{ConnectionPermit, Traffic};
use crate::refusal::{ErrorResponse, REQUEST_ID};
use crate::{http, response};

/// Header of a request forwarded by another VM. Such a request is not forwarded again.
const FORWARDED_BY_VM: &str = "x-forwarded-by-vm";

/// Header that contains the id of the last event received.
const LAST_EVENT_ID: &str = "last-event-id";

/// Time limit for the head of the holder's response, which it sends after 1 s at the latest.
const HOLDER_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Responds to `GET /v1/streams/{id}`.
pub(crate) async fn reattach(
    traffic: &Traffic,
    organisation: &str,
    id: &str,
    headers: &HeaderMap,
    permit: ConnectionPermit,
) -> Result<Response, ErrorResponse> {
    let id: Id = id.parse().map_err(|_| stream_not_found())?;
    let next_seq = next_seq(headers)?;
    if let Some(relay) = traffic.held_stream(&id) {
        // The response must not reveal that a stream of another organisation exists.
        if &*relay.organisation != organisation {
            return Err(stream_not_found());
        }
        let reader = relay.attach(next_seq, permit).map_err(|_| events_not_held())?;
        return response::stream(reader).await;
    }
    if id.vm == traffic.context.identity.vm || headers.contains_key(FORWARDED_BY_VM) {
        return Err(stream_not_found());
    }
    forward_to_holder(traffic, &id, headers).await
}

/// The sequence number of the first event requested.
fn next_seq(headers: &HeaderMap) -> Result<u64, ErrorResponse> {
    let Some(last) = headers.get(LAST_EVENT_ID) else {
        return Ok(0);
    };
    let last = last.to_str().ok().and_then(|last| last.parse::<u64>().ok());
    last.and_then(|last| last.checked_add(1)).ok_or(ErrorResponse::new(
        StatusCode::BAD_REQUEST,
        "invalid_last_event_id",
        "Last-Event-ID is not a number",
    ))
}

/// The address of a VM for callers.
fn caller_address_of(state: &State, _now: Millis, vm: &str) -> Option<Name> {
    let mut members = state.members.iter();
    let member = members.find(|member| &*member.entry.vm == vm)?;
    Some(member.entry.caller_address.clone())
}

async fn forward_to_holder(
    traffic: &Traffic,
    id: &Id,
    headers: &HeaderMap,
) -> Result<Response, ErrorResponse> {
    let address = traffic.context.control.ask(caller_address_of, &id.vm).await;
    let address = address.flatten().ok_or(stream_not_found())?;
    let mut request = traffic
        .client
        .get(format!("http://{address}/v1/streams/{id}"))
        .header(FORWARDED_BY_VM, &*traffic.context.identity.vm);
    for name in ["authorization", LAST_EVENT_ID] {
        if let Some(value) = headers.get(name) {
            request = request.header(name, value);
        }
    }
    let sent = http::send(request, Default::default(), HOLDER_HEAD_TIMEOUT, || {}).await;
    let holder_response = sent.map_err(|_| holder_unreachable())?;
    let status = holder_response.status();
    let content_type = holder_response.headers().get(header::CONTENT_TYPE).cloned();
    let chunks = holder_response.bytes_stream().map_err(std::io::Error::other);
    let mut response = warp::reply::stream(chunks).into_response();
    *response.status_mut() = status;
    if let Some(content_type) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    Ok(response)
}

fn stream_not_found() -> ErrorResponse {
    ErrorResponse::new(StatusCode::NOT_FOUND, "stream_not_found", "no such stream is held")
        .with_ran(Ran::Unknown)
}

fn events_not_held() -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::GONE,
        "events_not_held",
        "the events after this one are no longer held",
    )
    .with_ran(Ran::Yes)
}

fn holder_unreachable() -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::BAD_GATEWAY,
        "holder_unreachable",
        "the VM that holds the stream does not answer",
    )
    .with_ran(Ran::Unknown)
}
