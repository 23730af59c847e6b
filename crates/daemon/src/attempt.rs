//! One attempt at a generation on one engine: open the stream, resume it, cancel it.

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
use crate::engines::{Ended, Traffic, Work};
use crate::http::{self, Fault, SILENCE};
use crate::refusal::REQUEST_ID;
use crate::relay::{Answer, Finish, Relay};
use crate::{kept, metrics};

/// Longest event accepted from an engine, in bytes.
const EVENT_BYTES: usize = 256 * 1024;

/// Longest error body of an engine that is passed on, in bytes.
const ERROR_BYTES: usize = 64 * 1024;

/// Header that names the generation.
const GENERATION_ID: &str = "x-generation-id";

/// Why reading a stream stopped.
enum Stop {
    /// Its final event arrived.
    Final,
    /// The link was lost, or delivered something that is not the next token.
    Lost,
    /// The caller is gone.
    Departed,
}

/// The state of one attempt.
struct Attempt<'a> {
    traffic: &'a Traffic,
    work: &'a Work,
    start: &'a Start,
    relay: &'a Relay,
    cursor: Cursor,
    generation: Option<String>,
    echo: String,
    sent: Instant,
    last_token: Option<Instant>,
    first_token_ms: Option<u32>,
    is_last: bool,
    resumes: u32,
}

/// Runs one attempt to its end.
pub(crate) async fn run(
    traffic: &Traffic,
    work: &Work,
    form: openai::Form,
    is_stream: bool,
    start: &Start,
    relay: &Relay,
) -> Ended {
    let mut attempt = Attempt {
        traffic,
        work,
        start,
        relay,
        cursor: Cursor::new(),
        generation: None,
        echo: format!("{}.{}", start.id, start.attempt),
        sent: Instant::now(),
        last_token: None,
        first_token_ms: None,
        is_last: false,
        resumes: 0,
    };
    let (end, finish) = attempt.drive(form).await;
    let is_kept = work.once.is_some() && matches!(finish, Some(Finish::Done));
    Ended {
        end,
        first_token_ms: attempt.first_token_ms,
        stored: is_kept.then(|| kept::generation(relay, form, is_stream)),
        finish,
    }
}

impl Attempt<'_> {
    async fn drive(&mut self, form: openai::Form) -> (End, Option<Finish>) {
        let relay = self.relay;
        let opened = tokio::select! {
            opened = self.open(form) => opened,
            _ = relay.departed() => return (End::Cancelled, None),
        };
        let mut response = match opened {
            Ok(response) => response,
            Err(fault) => return (self.end_of(fault).await, None),
        };
        match response.status() {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                return (End::Rejected, None);
            }
            // The engine does not have the model (any more), but another one may.
            StatusCode::NOT_FOUND => return (End::Rejected, None),
            status if status.is_client_error() => return pass(response).await,
            _ => return (End::Broken, None),
        }
        loop {
            match self.read(response).await {
                Stop::Final => return (End::Complete, Some(Finish::Done)),
                Stop::Departed => {
                    self.cancel();
                    return (End::Cancelled, None);
                }
                Stop::Lost => {}
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

    async fn open(&mut self, form: openai::Form) -> Result<Response, Fault> {
        let forwarded = openai::forward(&self.work.body, self.start.priority);
        let body = Bytes::from(forwarded.map_err(|_| Fault::Unsent)?);
        let request = self
            .traffic
            .client
            .post(self.url(form.path()))
            .header(REQUEST_ID, &self.echo)
            .header(reqwest::header::CONTENT_TYPE, "application/json");
        let request = http::with_length(request, &body);
        let control = self.traffic.context.control.clone();
        let (id, attempt) = (self.start.id.clone(), self.start.attempt);
        let began = move || control.tell(Input::Began { id, attempt });
        let response = http::send(request, body, SILENCE, began).await?;
        if http::echo(&response) != Some(&self.echo) {
            metrics::crossed();
            return Err(Fault::Crossed);
        }
        self.generation = generation(&response).map(ToOwned::to_owned);
        Ok(response)
    }

    /// How an attempt ended that got no usable answer.
    async fn end_of(&self, fault: Fault) -> End {
        match fault {
            Fault::Unsent | Fault::Refused => End::Unsent,
            Fault::Broken if http::is_refusing(&self.start.address).await => End::Died,
            _ => End::Broken,
        }
    }

    /// Reads token events until the stream ends in some way.
    async fn read(&mut self, mut response: Response) -> Stop {
        let mut parser = sse::Parser::new(EVENT_BYTES);
        loop {
            let part = tokio::select! {
                part = tokio::time::timeout(SILENCE, response.chunk()) => part,
                _ = self.relay.departed() => return Stop::Departed,
            };
            match part {
                Ok(Ok(Some(part))) => parser.push(&part),
                Ok(Ok(None)) | Ok(Err(_)) => return self.lost("cut"),
                Err(_) => return self.lost("silent"),
            }
            loop {
                match parser.next_item() {
                    Ok(Some(sse::Item::Event(event))) => {
                        if let Some(stop) = self.event(&event).await {
                            return stop;
                        }
                    }
                    Ok(Some(sse::Item::Comment)) => {}
                    Ok(None) => break,
                    Err(_) => return self.lost("malformed"),
                }
            }
        }
    }

    fn lost(&self, cause: &'static str) -> Stop {
        ::metrics::counter!("hornbeamloom_links_lost_total", "cause" => cause).increment(1);
        log::info!(
            "link lost request={} target={} cause={cause} next={}",
            self.echo,
            self.start.target,
            self.cursor.next()
        );
        Stop::Lost
    }

    async fn event(&mut self, event: &sse::Event<'_>) -> Option<Stop> {
        if event.data == "[DONE]" {
            return Some(match self.is_last {
                true => Stop::Final,
                false => self.lost("no_final_event"),
            });
        }
        let seq = event.id.and_then(|id| id.parse().ok());
        let (Some(seq), Ok(chunk)) = (seq, openai::chunk(&event.data)) else {
            return Some(self.lost("malformed"));
        };
        if self.generation.as_deref().is_some_and(|own| own != chunk.id) {
            return Some(self.lost("foreign"));
        }
        match self.cursor.accept(&chunk.id, seq) {
            Accept::Deliver => {}
            Accept::Duplicate => {
                ::metrics::counter!("hornbeamloom_duplicate_tokens_total").increment(1);
                return None;
            }
            Accept::Gap => return Some(self.lost("gap")),
            Accept::OtherGeneration => return Some(self.lost("foreign")),
        }
        if self.generation.is_none() {
            self.generation = Some(chunk.id.to_string());
        }
        self.is_last |= chunk.is_last();
        self.deliver(&event.data).await.err()
    }

    async fn deliver(&mut self, data: &str) -> Result<(), Stop> {
        let now = Instant::now();
        match self.last_token.replace(now) {
            Some(last) => metrics::token_gap(now - last),
            None => {
                let ms = (now - self.sent).as_millis();
                self.first_token_ms = Some(u32::try_from(ms).unwrap_or(u32::MAX));
                metrics::first_token(now - self.work.arrived);
            }
        }
        self.resumes = 0;
        let event = Bytes::copy_from_slice(data.as_bytes());
        self.relay.push(event).await.map_err(|_| Stop::Departed)?;
        self.work.tokens.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    /// Opens a new connection to the same generation after the last token delivered.
    async fn resume(&mut self) -> Result<Response, End> {
        let Some(generation) = self.generation.clone() else {
            return Err(self.end_of(Fault::Broken).await);
        };
        while let Some(wait_ms) = stream::resume_delay(self.resumes) {
            let wait = Duration::from_millis(wait_ms);
            self.resumes += 1;
            tokio::select! {
                _ = tokio::time::sleep(wait) => {}
                _ = self.relay.departed() => {
                    self.cancel();
                    return Err(End::Cancelled);
                }
            }
            ::metrics::counter!("hornbeamloom_resumes_total").increment(1);
            match self.reopen(&generation).await {
                Ok(response) if response.status() == StatusCode::OK => return Ok(response),
                Ok(response) if response.status() == StatusCode::NOT_FOUND => {
                    return Err(End::Broken);
                }
                Err(Fault::Refused) => return Err(End::Died),
                _ => {}
            }
        }
        self.cancel();
        Err(End::Broken)
    }

    async fn reopen(&self, own: &str) -> Result<Response, Fault> {
        let path = match self.cursor.next().checked_sub(1) {
            Some(last) => format!("/v1/completions/{own}?starting_after={last}"),
            None => format!("/v1/completions/{own}"),
        };
        let request = self.traffic.client.get(self.url(&path)).header(REQUEST_ID, &self.echo);
        let response = http::send(request, Bytes::new(), SILENCE, || {}).await?;
        let is_foreign = generation(&response).is_some_and(|other| other != own)
            || http::echo(&response).is_some_and(|echo| echo != self.echo);
        match is_foreign {
            true => Err(Fault::Crossed),
            false => Ok(response),
        }
    }

    /// Tells the engine, in a task of its own, that nobody wants the generation any more.
    fn cancel(&self) {
        let Some(generation) = &self.generation else {
            return;
        };
        let url = self.url(&format!("/v1/completions/{generation}/cancel"));
        let request = self.traffic.client.post(url).header(REQUEST_ID, &self.echo);
        tokio::spawn(async move {
            if http::send(request, Bytes::new(), SILENCE, || {}).await.is_err() {
                ::metrics::counter!("hornbeamloom_cancels_failed_total").increment(1);
            }
        });
    }
}

fn generation(response: &Response) -> Option<&str> {
    response.headers().get(GENERATION_ID)?.to_str().ok()
}

/// Passes an engine's own refusal of the request's content to the caller.
async fn pass(response: Response) -> (End, Option<Finish>) {
    let status = response.status().as_u16();
    let content_type = response.headers().get(reqwest::header::CONTENT_TYPE);
    let headers = content_type
        .map(|value| ("content-type".to_owned(), value.as_bytes().to_vec()))
        .into_iter()
        .collect();
    match http::body(response, ERROR_BYTES, SILENCE).await {
        Ok(body) => {
            let answer = Answer { status, headers, body };
            (End::Complete, Some(Finish::Passed(answer)))
        }
        Err(_) => (End::Broken, None),
    }
}
