//! One attempt at a generation on one engine: opens, resumes and cancels the stream.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hornbeamloom_kernel::outcome::Start;
use hornbeamloom_kernel::request::End;
use hornbeamloom_kernel::stream::{self, Accept, Cursor};
use hornbeamloom_wire::{openai, sse};
use reqwest::{Response, StatusCode};
use tokio::time::Instant;

use crate::control::Input;
use crate::engines::{AttemptResult, RequestTask, Traffic};
use crate::http::{self, ExchangeError, IDLE_TIMEOUT};
use crate::memory::Account;
use crate::refusal::REQUEST_ID;
use crate::relay::{Finish, Relay, TargetResponse};
use crate::{metrics, stored_response};

/// Maximum size of an event from an engine, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Maximum size of an engine's error body that is forwarded, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;

/// Response header that contains the id of the generation.
const GENERATION_ID: &str = "x-generation-id";

/// Why reading a stream stopped.
enum ReadEnd {
    /// The final event arrived.
    Complete,
    /// The connection was lost, or delivered something other than the next token.
    ConnectionLost,
    /// The caller abandoned the request.
    Abandoned,
}

/// The state of one attempt.
struct Attempt<'a> {
    traffic: &'a Traffic,
    task: &'a RequestTask,
    start: &'a Start,
    relay: &'a Relay,
    cursor: Cursor,
    generation: Option<String>,
    request_id: String,
    sent_at: Instant,
    last_token_at: Option<Instant>,
    first_token_ms: Option<u32>,
    has_final_event: bool,
    resumes: u32,
}

/// Runs one attempt to its end.
pub(crate) async fn run(
    traffic: &Traffic,
    task: &RequestTask,
    endpoint: openai::Endpoint,
    is_stream: bool,
    start: &Start,
    relay: &Relay,
) -> AttemptResult {
    let mut attempt = Attempt {
        traffic,
        task,
        start,
        relay,
        cursor: Cursor::new(),
        generation: None,
        request_id: format!("{}.{}", start.id, start.attempt),
        sent_at: Instant::now(),
        last_token_at: None,
        first_token_ms: None,
        has_final_event: false,
        resumes: 0,
    };
    let (end, finish) = attempt.execute(endpoint).await;
    let is_stored = task.idempotency_key.is_some() && matches!(finish, Some(Finish::Complete));
    AttemptResult {
        end,
        first_token_ms: attempt.first_token_ms,
        stored: is_stored.then(|| stored_response::from_generation(relay, endpoint, is_stream)),
        finish,
    }
}

impl Attempt<'_> {
    async fn execute(&mut self, endpoint: openai::Endpoint) -> (End, Option<Finish>) {
        let relay = self.relay;
        let opened = tokio::select! {
            opened = self.open(endpoint) => opened,
            _ = relay.abandoned() => return (End::Cancelled, None),
        };
        let mut response = match opened {
            Ok(response) => response,
            Err(error) => return (self.end_for_error(error).await, None),
        };
        match response.status() {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                return (End::Rejected, None);
            }
            // The engine does not hold the model (any more), but another engine may.
            StatusCode::NOT_FOUND => return (End::Rejected, None),
            status if status.is_client_error() => {
                return forward_rejection(response, &self.traffic.context.memory).await
            }
            _ => return (End::Broken, None),
        }
        loop {
            match self.read_events(response).await {
                ReadEnd::Complete => return (End::Complete, Some(Finish::Complete)),
                ReadEnd::Abandoned => {
                    self.spawn_cancel();
                    return (End::Cancelled, None);
                }
                ReadEnd::ConnectionLost => {}
            }
            response = match self.resume().await {
                Ok(response) => response,
                Err(end) => return (end, None),
            };
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.start.address)
    }

    async fn open(&mut self, endpoint: openai::Endpoint) -> Result<Response, ExchangeError> {
        let forwarded = openai::to_engine_body(&self.task.body, self.start.priority);
        let body = Bytes::from(forwarded.map_err(|_| ExchangeError::Unsent)?);
        let request = self
            .traffic
            .client
            .post(self.url(endpoint.path()))
            .header(REQUEST_ID, &self.request_id)
            .header(reqwest::header::CONTENT_TYPE, "application/json");
        let request = http::with_content_length(request, &body);
        let control = self.traffic.context.control.clone();
        let (id, attempt) = (self.start.id.clone(), self.start.attempt);
        let on_send = move || control.tell(Input::SendStarted { id, attempt });
        let response = http::send(request, body, IDLE_TIMEOUT, on_send).await?;
        if http::echoed_request_id(&response) != Some(&self.request_id) {
            metrics::count_misdirected_answer();
            return Err(ExchangeError::RequestIdMismatch);
        }
        self.generation = generation_id(&response).map(ToOwned::to_owned);
        Ok(response)
    }

    /// The end of an attempt that received no usable response.
    async fn end_for_error(&self, error: ExchangeError) -> End {
        match error {
            ExchangeError::Unsent | ExchangeError::ConnectionRefused => End::Unsent,
            ExchangeError::Broken if http::refuses_connections(&self.start.address).await => {
                End::Died
            }
            _ => End::Broken,
        }
    }

    /// Reads token events until the stream ends or fails.
    async fn read_events(&mut self, mut response: Response) -> ReadEnd {
        let mut parser = sse::Parser::new(MAX_EVENT_BYTES);
        loop {
            let chunk = tokio::select! {
                chunk = tokio::time::timeout(IDLE_TIMEOUT, response.chunk()) => chunk,
                _ = self.relay.abandoned() => return ReadEnd::Abandoned,
            };
            match chunk {
                Ok(Ok(Some(chunk))) => parser.push(&chunk),
                Ok(Ok(None)) | Ok(Err(_)) => return self.connection_lost("cut"),
                Err(_) => return self.connection_lost("silent"),
            }
            loop {
                match parser.next_item() {
                    Ok(Some(sse::Item::Event(event))) => {
                        if let Some(read_end) = self.handle_event(&event).await {
                            return read_end;
                        }
                    }
                    Ok(Some(sse::Item::Comment)) => {}
                    Ok(None) => break,
                    Err(_) => return self.connection_lost("malformed"),
                }
            }
        }
    }

    fn connection_lost(&self, cause: &'static str) -> ReadEnd {
        ::metrics::counter!("hornbeamloom_links_lost_total", "cause" => cause).increment(1);
        log::info!(
            "connection to target lost request={} target={} cause={cause} next={}",
            self.request_id,
            self.start.target,
            self.cursor.next()
        );
        ReadEnd::ConnectionLost
    }

    async fn handle_event(&mut self, event: &sse::Event<'_>) -> Option<ReadEnd> {
        if event.data == "[DONE]" {
            return Some(match self.has_final_event {
                true => ReadEnd::Complete,
                false => self.connection_lost("no_final_event"),
            });
        }
        let seq = event.id.and_then(|id| id.parse().ok());
        let (Some(seq), Ok(token)) = (seq, openai::parse_chunk(&event.data)) else {
            return Some(self.connection_lost("malformed"));
        };
        if self.generation.as_deref().is_some_and(|id| id != token.id) {
            return Some(self.connection_lost("foreign"));
        }
        match self.cursor.accept(&token.id, seq) {
            Accept::Deliver => {}
            Accept::Duplicate => {
                ::metrics::counter!("hornbeamloom_duplicate_tokens_total").increment(1);
                return None;
            }
            Accept::Gap => return Some(self.connection_lost("gap")),
            Accept::OtherGeneration => return Some(self.connection_lost("foreign")),
        }
        if self.generation.is_none() {
            self.generation = Some(token.id.to_string());
        }
        self.has_final_event |= token.is_final();
        self.deliver(&event.data).await.err()
    }

    async fn deliver(&mut self, data: &str) -> Result<(), ReadEnd> {
        let now = Instant::now();
        match self.last_token_at.replace(now) {
            Some(last) => metrics::record_token_gap(now - last),
            None => {
                let ms = (now - self.sent_at).as_millis();
                self.first_token_ms = Some(u32::try_from(ms).unwrap_or(u32::MAX));
                metrics::record_first_token(now - self.task.arrived_at);
            }
        }
        self.resumes = 0;
        let event = Bytes::copy_from_slice(data.as_bytes());
        self.relay.push(event).await.map_err(|_| ReadEnd::Abandoned)?;
        self.task.delivered_tokens.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    /// Reconnects to the same generation after the last token delivered.
    async fn resume(&mut self) -> Result<Response, End> {
        let Some(generation) = self.generation.clone() else {
            return Err(self.end_for_error(ExchangeError::Broken).await);
        };
        while let Some(wait_ms) = stream::resume_delay(self.resumes) {
            let wait = Duration::from_millis(wait_ms);
            self.resumes += 1;
            tokio::select! {
                _ = tokio::time::sleep(wait) => {}
                _ = self.relay.abandoned() => {
                    self.spawn_cancel();
                    return Err(End::Cancelled);
                }
            }
            ::metrics::counter!("hornbeamloom_resumes_total").increment(1);
            match self.reopen(&generation).await {
                Ok(response) if response.status() == StatusCode::OK => return Ok(response),
                Ok(response) if response.status() == StatusCode::NOT_FOUND => {
                    return Err(End::Broken);
                }
                Err(ExchangeError::ConnectionRefused) => return Err(End::Died),
                _ => {}
            }
        }
        self.spawn_cancel();
        Err(End::Broken)
    }

    /// Requests the events of generation `own` after the last token delivered.
    async fn reopen(&self, own: &str) -> Result<Response, ExchangeError> {
        let path = match self.cursor.next().checked_sub(1) {
            Some(last) => format!("/v1/completions/{own}?starting_after={last}"),
            None => format!("/v1/completions/{own}"),
        };
        let request = self.traffic.client.get(self.url(&path)).header(REQUEST_ID, &self.request_id);
        let response = http::send(request, Bytes::new(), IDLE_TIMEOUT, || {}).await?;
        let is_mismatch = generation_id(&response).is_some_and(|id| id != own)
            || http::echoed_request_id(&response)
                .is_some_and(|request_id| request_id != self.request_id);
        match is_mismatch {
            true => Err(ExchangeError::RequestIdMismatch),
            false => Ok(response),
        }
    }

    /// Cancels the generation at its engine, in a separate task.
    fn spawn_cancel(&self) {
        let Some(generation) = &self.generation else {
            return;
        };
        let url = self.url(&format!("/v1/completions/{generation}/cancel"));
        let request = self.traffic.client.post(url).header(REQUEST_ID, &self.request_id);
        tokio::spawn(async move {
            if http::send(request, Bytes::new(), IDLE_TIMEOUT, || {}).await.is_err() {
                ::metrics::counter!("hornbeamloom_cancels_failed_total").increment(1);
            }
        });
    }
}

fn generation_id(response: &Response) -> Option<&str> {
    response.headers().get(GENERATION_ID)?.to_str().ok()
}

/// Forwards an engine's rejection of the request's content to the caller.
async fn forward_rejection(response: Response, account: &Account) -> (End, Option<Finish>) {
    let status = response.status().as_u16();
    let content_type = response.headers().get(reqwest::header::CONTENT_TYPE);
    let headers = content_type
        .map(|value| ("content-type".to_owned(), value.as_bytes().to_vec()))
        .into_iter()
        .collect();
    let buffer = account.buffer(MAX_ERROR_BODY_BYTES);
    match http::read_body(response, buffer, IDLE_TIMEOUT).await {
        Ok(body) => {
            let forwarded = TargetResponse { status, headers, body };
            (End::Complete, Some(Finish::Forwarded(forwarded)))
        }
        Err(_) => (End::Broken, None),
    }
}
