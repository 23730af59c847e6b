//! Open-loop load generator: requests start at their planned times, however slow the responses are.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use serde_json::{json, Value};
use tokio::sync::mpsc;

use crate::experiment::{Experiment, RequestType, TrafficClass};

/// Bytes of prompt text that the engine stand-in counts as one token.
const BYTES_PER_TOKEN: usize = 4;
/// A request that takes longer is counted as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(180);

/// A request with its planned start.
#[derive(Debug, Clone)]
pub(crate) struct PlannedRequest {
    /// Offset from the start of the load.
    pub(crate) offset: Duration,
    pub(crate) number: usize,
    pub(crate) organisation_ix: usize,
    pub(crate) traffic_ix: usize,
    pub(crate) output_tokens: u64,
}

/// The outcome of a request for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The response was full and belonged to the request.
    Complete,
    /// The request was refused, or its stream ended with an error, with a reason.
    Refused(String),
    /// The response was truncated, wrong or missing, or the call ran more than once; with the cause.
    Failed(String),
}

/// A caller's measurements of one request.
#[derive(Debug, Clone)]
pub(crate) struct Sample {
    pub(crate) plan: PlannedRequest,
    pub(crate) outcome: Outcome,
    /// Time from the planned start to the first token or plain response.
    pub(crate) time_to_first: Option<Duration>,
    /// Times between consecutive tokens.
    pub(crate) gaps: Vec<Duration>,
    /// Time of the outcome, since the start of the load.
    pub(crate) ended_at: Duration,
    pub(crate) tokens: u64,
}

/// Plans all requests of an experiment with Poisson arrivals; the same seed gives the same plan.
pub(crate) fn plan_requests(experiment: &Experiment) -> Vec<PlannedRequest> {
    let mut rng = fastrand::Rng::with_seed(experiment.seed);
    let total_s = (experiment.warmup_s + experiment.duration_s) as f64;
    let mut requests = Vec::new();
    for (traffic_ix, traffic) in experiment.traffic.iter().enumerate() {
        let mut offset_s = 0.0;
        loop {
            offset_s -= (1.0 - rng.f64()).ln() / traffic.rate;
            if offset_s >= total_s {
                break;
            }
            requests.push(PlannedRequest {
                offset: Duration::from_secs_f64(offset_s),
                number: 0,
                organisation_ix: pick_organisation(experiment, &mut rng),
                traffic_ix,
                output_tokens: sample_output_tokens(traffic, &mut rng),
            });
        }
    }
    requests.sort_by_key(|request| request.offset);
    for (number, request) in requests.iter_mut().enumerate() {
        request.number = number;
    }
    requests
}

fn pick_organisation(experiment: &Experiment, rng: &mut fastrand::Rng) -> usize {
    let total: f64 =
        experiment.organisations.iter().map(|organisation| organisation.load_weight).sum();
    let mut rem = rng.f64() * total;
    for (ix, organisation) in experiment.organisations.iter().enumerate() {
        rem -= organisation.load_weight;
        if rem <= 0.0 {
            return ix;
        }
    }
    experiment.organisations.len() - 1
}

/// Draws an output length from a log-normal distribution (Box-Muller transform).
fn sample_output_tokens(traffic: &TrafficClass, rng: &mut fastrand::Rng) -> u64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
    let tokens = traffic.median_tokens * (traffic.sigma * normal).exp();
    tokens.clamp(1.0, traffic.max_tokens.max(1.0)) as u64
}

/// The receivers of requests.
#[derive(Debug, Clone)]
pub(crate) enum Destination {
    /// The daemons, in rotation.
    Daemons(Vec<SocketAddr>),
    /// The targets of each service, in rotation.
    Targets(Vec<(String, Vec<SocketAddr>)>),
}

impl Destination {
    fn address(&self, service: &str, number: usize) -> Option<SocketAddr> {
        let addresses = match self {
            Destination::Daemons(addresses) => addresses,
            Destination::Targets(services) => &services.iter().find(|(name, _)| name == service)?.1,
        };
        addresses.get(number % addresses.len().max(1)).copied()
    }

    fn path(&self, service: &str, suffix: &str) -> String {
        match self {
            Destination::Daemons(_) => format!("/services/{service}{suffix}"),
            Destination::Targets(_) => suffix.to_owned(),
        }
    }
}

/// Sends the planned requests and returns their samples once all have ended.
pub(crate) async fn run(
    experiment: Arc<Experiment>,
    requests: Vec<PlannedRequest>,
    destination: Destination,
    started: Instant,
) -> Vec<Sample> {
    let client = reqwest::Client::builder().pool_max_idle_per_host(512).build().unwrap_or_default();
    let (sender, mut receiver) = mpsc::unbounded_channel();
    for plan in requests {
        tokio::time::sleep_until((started + plan.offset).into()).await;
        let (experiment, client) = (experiment.clone(), client.clone());
        let (destination, sender) = (destination.clone(), sender.clone());
        tokio::spawn(async move {
            let sample = send_request(&experiment, &client, &destination, plan, started).await;
            // Cannot fail: the receiver outlives all senders.
            let _ = sender.send(sample);
        });
    }
    drop(sender);
    let mut samples = Vec::new();
    while let Some(sample) = receiver.recv().await {
        samples.push(sample);
    }
    samples
}

async fn send_request(
    experiment: &Experiment,
    client: &reqwest::Client,
    destination: &Destination,
    plan: PlannedRequest,
    started: Instant,
) -> Sample {
    let mut sample = Sample {
        outcome: Outcome::Failed("timeout".to_owned()),
        time_to_first: None,
        gaps: Vec::new(),
        ended_at: Duration::ZERO,
        tokens: 0,
        plan,
    };
    let traffic = &experiment.traffic[sample.plan.traffic_ix];
    let exchange = perform_request(experiment, client, destination, traffic, &mut sample, started);
    if let Ok(outcome) = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await {
        sample.outcome = outcome;
    }
    sample.ended_at = started.elapsed();
    sample
}

async fn perform_request(
    experiment: &Experiment,
    client: &reqwest::Client,
    destination: &Destination,
    traffic: &TrafficClass,
    sample: &mut Sample,
    started: Instant,
) -> Outcome {
    let plan = sample.plan.clone();
    let Some(address) = destination.address(&traffic.service, plan.number) else {
        return Outcome::Failed("no address".to_owned());
    };
    let key = format!("{}-key", experiment.organisations[plan.organisation_ix].name);
    let builder = match traffic.request_type {
        RequestType::Completion => client
            .post(format!("http://{address}/v1/completions"))
            .json(&completion_body(traffic, &plan)),
        RequestType::IdempotentPost => client
            .post(format!("http://{address}{}", destination.path(&traffic.service, "/notices")))
            .header("idempotency-key", format!("k{}", plan.number))
            .body(format!("n{}", plan.number)),
        RequestType::Get => {
            let path = format!("/notices/n{}", plan.number);
            client.get(format!("http://{address}{}", destination.path(&traffic.service, &path)))
        }
    };
    let response = match builder.bearer_auth(key).send().await {
        Ok(response) => response,
        Err(error) => return Outcome::Failed(format!("connection: {}", error.without_url())),
    };
    if !response.status().is_success() {
        return refusal_outcome(response).await;
    }
    let planned_at = started + plan.offset;
    match traffic.request_type {
        RequestType::Completion => read_stream(response, sample, planned_at).await,
        RequestType::IdempotentPost | RequestType::Get => {
            read_plain_response(response, sample, planned_at).await
        }
    }
}

fn completion_body(traffic: &TrafficClass, plan: &PlannedRequest) -> Value {
    let directives = format!("len={} tag=r{} ", plan.output_tokens, plan.number);
    let filler =
        (traffic.prompt_tokens as usize * BYTES_PER_TOKEN).saturating_sub(directives.len());
    let prompt = directives + &"x".repeat(filler);
    json!({"model": traffic.service, "prompt": prompt, "stream": true})
}

async fn refusal_outcome(response: reqwest::Response) -> Outcome {
    let status = response.status();
    let body: Value = response.json().await.unwrap_or_default();
    match body["error"]["reason"].as_str() {
        Some(reason) => Outcome::Refused(reason.to_owned()),
        None => Outcome::Refused(status.as_u16().to_string()),
    }
}

async fn read_plain_response(
    response: reqwest::Response,
    sample: &mut Sample,
    planned_at: Instant,
) -> Outcome {
    let number = sample.plan.number;
    match response.json::<Value>().await {
        Ok(body) if body.to_string().contains(&format!("n{number}\"")) => {
            sample.time_to_first = Some(planned_at.elapsed());
            match body["run"].as_u64() {
                Some(2..) if body["method"] == "POST" => Outcome::Failed("repeated".to_owned()),
                _ => Outcome::Complete,
            }
        }
        Ok(_) => Outcome::Failed("another's answer".to_owned()),
        Err(_) => Outcome::Failed("cut".to_owned()),
    }
}

async fn read_stream(
    response: reqwest::Response,
    sample: &mut Sample,
    planned_at: Instant,
) -> Outcome {
    let mut body = response.bytes_stream();
    let mut buf = String::new();
    let mut last_token_at: Option<Instant> = None;
    while let Some(chunk) = body.next().await {
        let Ok(chunk) = chunk else {
            return Outcome::Failed("cut".to_owned());
        };
        buf.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = buf.find('\n') {
            let line: String = buf.drain(..=end).collect();
            let Some(data) = line.trim().strip_prefix("data:") else {
                continue;
            };
            let now = Instant::now();
            match check_event(data.trim(), sample) {
                StreamItem::Token => {}
                StreamItem::Ignored => continue,
                StreamItem::Finished(outcome) => return outcome,
            }
            match last_token_at {
                None => sample.time_to_first = Some(now.duration_since(planned_at)),
                Some(last_token_at) => sample.gaps.push(now.duration_since(last_token_at)),
            }
            last_token_at = Some(now);
        }
    }
    Outcome::Failed("no end mark".to_owned())
}

enum StreamItem {
    Token,
    Ignored,
    Finished(Outcome),
}

fn check_event(data: &str, sample: &mut Sample) -> StreamItem {
    if data == "[DONE]" {
        return StreamItem::Finished(match sample.tokens == sample.plan.output_tokens {
            true => Outcome::Complete,
            false => Outcome::Failed("short".to_owned()),
        });
    }
    let Ok(event) = serde_json::from_str::<Value>(data) else {
        return StreamItem::Ignored;
    };
    if event.get("error").is_some() {
        let reason = event["error"]["reason"].as_str().unwrap_or("error");
        return StreamItem::Finished(Outcome::Refused(format!("broken_{reason}")));
    }
    let Some(text) = event["choices"][0]["text"].as_str() else {
        return StreamItem::Ignored;
    };
    let expected = format!("r{}:{} ", sample.plan.number, sample.tokens);
    if text != expected {
        return StreamItem::Finished(Outcome::Failed("wrong token".to_owned()));
    }
    sample.tokens += 1;
    StreamItem::Token
}
