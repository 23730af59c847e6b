//! One attempt at a call of a plain service; neither body nor response is streamed.

use std::time::Duration;

use hornbeamloom_kernel::outcome::Start;
use hornbeamloom_kernel::request::End;
use reqwest::Response;
use warp::http::{HeaderMap, Method, StatusCode};

use crate::control::Input;
use crate::engines::{AttemptResult, RequestTask, Traffic};
use crate::http::{self, ExchangeError};
use crate::memory::Account;
use crate::refusal::REQUEST_ID;
use crate::relay::{Finish, Relay, TargetResponse};
use crate::{metrics, stored_response};

/// Time limit for the head of a response. A plain service sends no heartbeats.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time between two chunks of a response body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a forwarded response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Header that contains the idempotency key of a call that runs at most once.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Headers that are not forwarded, because the daemon sets or evaluates them itself.
const REPLACED_HEADERS: [&str; 4] = ["authorization", "expect", "host", REQUEST_ID];

/// A call as the caller made it.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    /// Path and query at the service.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
}

/// Runs one attempt to its end.
pub(crate) async fn run(
    traffic: &Traffic,
    task: &RequestTask,
    call: &Call,
    start: &Start,
    relay: &Relay,
) -> AttemptResult {
    // A call that runs at most once continues without its caller, so that its outcome is known.
    let abandoned = async {
        match task.idempotency_key {
            Some(_) => std::future::pending().await,
            None => relay.abandoned().await,
        }
    };
    let result = tokio::select! {
        result = exchange(traffic, task, call, start) => result,
        _ = abandoned => return AttemptResult::new(End::Cancelled),
    };
    match result {
        Ok(response) if is_rejection(&response) => AttemptResult::new(End::Rejected),
        Ok(response) => {
            let stored =
                task.idempotency_key.is_some().then(|| stored_response::from_response(&response));
            AttemptResult::new(End::Complete)
                .with_stored(stored)
                .with_finish(Finish::Forwarded(response))
        }
        Err(ExchangeError::Unsent | ExchangeError::ConnectionRefused) => {
            AttemptResult::new(End::Unsent)
        }
        Err(ExchangeError::Broken) if http::refuses_connections(&start.address).await => {
            AttemptResult::new(End::Died)
        }
        Err(_) => AttemptResult::new(End::Broken),
    }
}

/// Whether the service did not run any of the call, which 429 and 503 mean by protocol.
fn is_rejection(response: &TargetResponse) -> bool {
    [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE]
        .iter()
        .any(|status| status.as_u16() == response.status)
}

async fn exchange(
    traffic: &Traffic,
    task: &RequestTask,
    call: &Call,
    start: &Start,
) -> Result<TargetResponse, ExchangeError> {
    let request_id = format!("{}.{}", start.id, start.attempt);
    let url = format!("http://{}{}", start.address, call.path);
    let mut request = traffic.client.request(call.method.clone(), url);
    for (name, value) in end_to_end_headers(&call.headers) {
        request = request.header(name, value);
    }
    if let (Some(key), false) = (&task.idempotency_key, call.headers.contains_key(IDEMPOTENCY_KEY))
    {
        request = request.header(IDEMPOTENCY_KEY, &**key);
    }
    let request = http::with_content_length(request.header(REQUEST_ID, &request_id), &task.body);
    let control = traffic.context.control.clone();
    let (id, attempt) = (start.id.clone(), start.attempt);
    let on_send = move || control.tell(Input::SendStarted { id, attempt });
    let response = http::send(request, task.body.clone(), RESPONSE_HEAD_TIMEOUT, on_send).await?;
    if http::echoed_request_id(&response) != Some(&request_id) {
        metrics::count_misdirected_answer();
        return Err(ExchangeError::RequestIdMismatch);
    }
    read_response(response, &traffic.context.memory).await
}

async fn read_response(
    response: Response,
    account: &Account,
) -> Result<TargetResponse, ExchangeError> {
    let status = response.status().as_u16();
    let headers = end_to_end_headers(response.headers())
        .map(|(name, value)| (name.to_owned(), value.as_bytes().to_vec()))
        .collect();
    let body =
        http::read_body(response, account.buffer(MAX_RESPONSE_BYTES), BODY_IDLE_TIMEOUT).await?;
    Ok(TargetResponse { status, headers, body })
}

/// The end-to-end headers, without those in [`REPLACED_HEADERS`].
fn end_to_end_headers(
    headers: &HeaderMap,
) -> impl Iterator<Item = (&str, &warp::http::HeaderValue)> {
    headers.iter().map(|(name, value)| (name.as_str(), value)).filter(|(name, _)| {
        !REPLACED_HEADERS.contains(name) && !http::HOP_BY_HOP_HEADERS.contains(name)
    })
}
