//! Answers to callers: token streams with heartbeats, whole answers, refusals.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamloom_kernel::outcome::Ran;
use hornbeamloom_kernel::store::StoredResponse;
use hornbeamloom_wire::openai::{Form, Whole};
use hornbeamloom_wire::sse;
use warp::http::{header, HeaderName, HeaderValue, StatusCode};
use warp::reply::{Reply, Response};

use crate::refusal::{Problem, REQUEST_ID};
use crate::relay::{Answer, Finish, Reader, Step};

/// Silence on a stream after which a heartbeat comment is sent.
///
/// The head of a stream is sent after the same time, so that an earlier refusal still gets its
/// own status.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Longest whole answer put together for a caller, in bytes of chunks.
const WHOLE_BYTES: usize = 32 * 1024 * 1024;

/// The caller's connection of a token stream.
struct Body {
    reader: Reader,
    ready: Option<Step>,
    is_over: bool,
}

/// Answers with a token stream, or with a status of its own if the end is near enough.
pub(crate) async fn stream(mut reader: Reader) -> Result<Response, Problem> {
    let ready = tokio::time::timeout(HEARTBEAT, reader.next()).await.ok();
    if let Some(Step::Finish(finish)) = &ready {
        if let Some(early) = unstreamed(finish) {
            return early;
        }
    }
    let id = reader.relay.id.to_string();
    let body = Body { reader, ready, is_over: false };
    let parts = futures_util::stream::unfold(body, |mut body| async move {
        let part = body.next().await?;
        Some((Ok::<_, std::convert::Infallible>(part), body))
    });
    let mut response = warp::reply::stream(parts).into_response();
    let headers = response.headers_mut();
    let event_stream = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, event_stream);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(id) = HeaderValue::from_str(&id) {
        headers.insert(REQUEST_ID, id);
    }
    Ok(response)
}

/// The answer in place of a stream of which no token was sent.
fn unstreamed(finish: &Arc<Finish>) -> Option<Result<Response, Problem>> {
    match &**finish {
        Finish::Done => None,
        Finish::Refused(refusal) if refusal.ran == Ran::Yes => None,
        Finish::Refused(refusal) => Some(Err(refusal.into())),
        Finish::Replay(stored) => Some(replay(stored)),
        Finish::Passed(answer) => Some(Ok(passed(answer))),
        Finish::Cancelled => Some(Err(cancelled())),
    }
}

impl Body {
    async fn next(&mut self) -> Option<Bytes> {
        if self.is_over {
            return None;
        }
        let step = match self.ready.take() {
            Some(step) => Some(step),
            None => tokio::time::timeout(HEARTBEAT, self.reader.next()).await.ok(),
        };
        let mut out = Vec::new();
        match step {
            None => sse::comment(&mut out, "ping"),
            Some(Step::Events(first, events)) => {
                for (seq, event) in (first..).zip(&events) {
                    let data = std::str::from_utf8(event).expect("events were read as text");
                    sse::write(&mut out, Some(seq), None, data);
                }
            }
            Some(Step::Finish(finish)) => {
                self.is_over = true;
                self.end(&finish, &mut out);
            }
            Some(Step::Replaced) => {
                self.is_over = true;
                self.fail(&replaced(), &mut out);
            }
        }
        Some(out.into())
    }

    fn end(&self, finish: &Finish, out: &mut Vec<u8>) {
        match finish {
            Finish::Done => sse::write(out, None, None, "[DONE]"),
            Finish::Refused(refusal) => self.fail(&refusal.into(), out),
            Finish::Replay(StoredResponse { content_type, body: Some(body), .. })
                if content_type == "text/event-stream" =>
            {
                out.extend_from_slice(body);
            }
            Finish::Replay(_) => self.fail(&not_kept(), out),
            Finish::Passed(_) => self.fail(&target_refused(), out),
            Finish::Cancelled => self.fail(&cancelled(), out),
        }
    }

    fn fail(&self, problem: &Problem, out: &mut Vec<u8>) {
        let text = problem.body(&self.reader.relay.id.to_string());
        sse::write(out, None, Some("error"), &text);
    }
}

/// Waits for the end and answers with the whole text.
pub(crate) async fn whole(mut reader: Reader, form: Form) -> Result<Response, Problem> {
    let mut whole = Whole::new(form);
    let mut length = 0;
    loop {
        match reader.next().await {
            Step::Events(_, events) => {
                length += events.iter().map(Bytes::len).sum::<usize>();
                if length > WHOLE_BYTES {
                    return Err(unreadable());
                }
                for event in &events {
                    let text = std::str::from_utf8(event).expect("events were read as text");
                    whole.push(text).map_err(|_| unreadable())?;
                }
            }
            Step::Replaced => return Err(replaced()),
            Step::Finish(finish) => {
                return match &*finish {
                    Finish::Done => Ok(json(whole.finish())),
                    Finish::Refused(refusal) => Err(refusal.into()),
                    Finish::Replay(stored) => replay(stored),
                    Finish::Passed(answer) => Ok(passed(answer)),
                    Finish::Cancelled => Err(cancelled()),
                };
            }
        }
    }
}

/// Waits for the answer of a plain service.
pub(crate) async fn passed_on(mut reader: Reader) -> Result<Response, Problem> {
    loop {
        match reader.next().await {
            // A plain service's answer has no events.
            Step::Events(..) => {}
            Step::Replaced => return Err(replaced()),
            Step::Finish(finish) => {
                return match &*finish {
                    Finish::Done => Err(unreadable()),
                    Finish::Refused(refusal) => Err(refusal.into()),
                    Finish::Replay(stored) => replay(stored),
                    Finish::Passed(answer) => Ok(passed(answer)),
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

fn replay(stored: &StoredResponse) -> Result<Response, Problem> {
    let Some(body) = &stored.body else {
        return Err(not_kept());
    };
    let answer = Answer {
        status: stored.status,
        headers: vec![(header::CONTENT_TYPE.to_string(), stored.content_type.clone().into_bytes())],
        body: body.clone().into(),
    };
    Ok(passed(&answer))
}

fn passed(answer: &Answer) -> Response {
    let mut response = Response::new(answer.body.clone().into());
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

fn cancelled() -> Problem {
    let message = "the caller was away for too long";
    Problem::new(StatusCode::GONE, "cancelled", message).with_ran(Ran::Unknown)
}

fn replaced() -> Problem {
    let message = "a newer connection reads this stream";
    Problem::new(StatusCode::CONFLICT, "replaced", message).with_ran(Ran::Yes)
}

fn not_kept() -> Problem {
    let message = "the call ran, but its answer was too long to be kept";
    Problem::new(StatusCode::CONFLICT, "outcome_not_kept", message).with_ran(Ran::Yes)
}

fn target_refused() -> Problem {
    let message = "the target refused the request";
    Problem::new(StatusCode::BAD_REQUEST, "target_refused", message).with_ran(Ran::Unknown)
}

fn unreadable() -> Problem {
    let message = "the target's answer cannot be put together";
    Problem::new(StatusCode::BAD_GATEWAY, "target_failed", message).with_ran(Ran::Yes)
}
