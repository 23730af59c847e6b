//! One attempt at a call of a plain service: body and answer are passed through as wholes.

use std::time::Duration;

use hornbeamloom_kernel::outcome::Start;
use hornbeamloom_kernel::request::End;
use reqwest::Response;
use warp::http::{HeaderMap, Method, StatusCode};

use crate::control::Input;
use crate::engines::{Ended, Traffic, Work};
use crate::http::{self, Fault};
use crate::refusal::REQUEST_ID;
use crate::relay::{Answer, Finish, Relay};
use crate::{kept, metrics};

/// Longest wait for the head of an answer. A plain service sends no heartbeats.
const HEAD: Duration = Duration::from_secs(30);

/// Longest silence between two parts of an answer's body.
const PART: Duration = Duration::from_secs(5);

/// Longest answer passed through, in bytes.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Header of a call that runs at most once.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Headers that the daemon sets itself.
const OWN_HEADERS: [&str; 4] = ["authorization", "expect", "host", REQUEST_ID];

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
    work: &Work,
    call: &Call,
    start: &Start,
    relay: &Relay,
) -> Ended {
    // A call that runs at most once goes on without its caller, so that its outcome is known.
    let departed = async {
        match work.once {
            Some(_) => std::future::pending().await,
            None => relay.departed().await,
        }
    };
    let exchanged = tokio::select! {
        exchanged = exchange(traffic, work, call, start) => exchanged,
        _ = departed => return Ended::new(End::Cancelled),
    };
    match exchanged {
        Ok(answer) if is_rejection(&answer) => Ended::new(End::Rejected),
        Ok(answer) => {
            let stored = work.once.is_some().then(|| kept::answer(&answer));
            Ended::new(End::Complete).with_stored(stored).with_finish(Finish::Passed(answer))
        }
        Err(Fault::Unsent | Fault::Refused) => Ended::new(End::Unsent),
        Err(Fault::Broken) if http::is_refusing(&start.address).await => Ended::new(End::Died),
        Err(_) => Ended::new(End::Broken),
    }
}

/// Whether the service took nothing of the call, as 429 and 503 say by protocol.
fn is_rejection(answer: &Answer) -> bool {
    [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE]
        .iter()
        .any(|status| status.as_u16() == answer.status)
}

async fn exchange(
    traffic: &Traffic,
    work: &Work,
    call: &Call,
    start: &Start,
) -> Result<Answer, Fault> {
    let echo = format!("{}.{}", start.id, start.attempt);
    let url = format!("http://{}{}", start.address, call.path);
    let mut request = traffic.client.request(call.method.clone(), url);
    for (name, value) in passed_on(&call.headers) {
        request = request.header(name, value);
    }
    if let (Some(key), false) = (&work.once, call.headers.contains_key(IDEMPOTENCY_KEY)) {
        request = request.header(IDEMPOTENCY_KEY, &**key);
    }
    let request = http::with_length(request.header(REQUEST_ID, &echo), &work.body);
    let control = traffic.context.control.clone();
    let (id, attempt) = (start.id.clone(), start.attempt);
    let began = move || control.tell(Input::AttemptStarted { id, attempt });
    let response = http::send(request, work.body.clone(), HEAD, began).await?;
    if http::echo(&response) != Some(&echo) {
        metrics::count_misdirected_answer();
        return Err(Fault::Crossed);
    }
    receive(response).await
}

async fn receive(response: Response) -> Result<Answer, Fault> {
    let status = response.status().as_u16();
    let headers = passed_on(response.headers())
        .map(|(name, value)| (name.to_owned(), value.as_bytes().to_vec()))
        .collect();
    let body = http::body(response, ANSWER_BYTES, PART).await?;
    Ok(Answer { status, headers, body })
}

/// The headers that travel from end to end.
fn passed_on(headers: &HeaderMap) -> impl Iterator<Item = (&str, &warp::http::HeaderValue)> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str(), value))
        .filter(|(name, _)| !OWN_HEADERS.contains(name) && !http::HOP.contains(name))
}
