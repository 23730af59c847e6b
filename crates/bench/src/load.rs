//! Open-loop load: requests start at their planned times, whatever the answers do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use serde_json::{json, Value};
use tokio::sync::mpsc;

use crate::experiment::{Experiment, RequestType, TrafficClass};

/// Bytes of prompt text that the stand-in counts as one token.
const TOKEN_BYTES: usize = 4;
/// A request that is not over by then is counted as lost.
const REQUEST_MAX: Duration = Duration::from_secs(180);

/// A request planned for one moment.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Offset from the start of the load.
    pub(crate) at: Duration,
    pub(crate) number: usize,
    pub(crate) organisation: usize,
    pub(crate) traffic: usize,
    pub(crate) length: u64,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum End {
    /// Whole and its own.
    Whole,
    /// Refused with a reason.
    Refused(String),
    /// Cut, wrong, repeated or never answered.
    Lost(String),
}

/// What a caller saw of one request.
#[derive(Debug, Clone)]
pub(crate) struct Sample {
    pub(crate) plan: Plan,
    pub(crate) end: End,
    /// From the planned start to the first token or answer.
    pub(crate) first: Option<Duration>,
    /// Times between tokens.
    pub(crate) gaps: Vec<Duration>,
    /// When it was over, since the start of the load.
    pub(crate) ended_at: Duration,
    pub(crate) tokens: u64,
}

/// Plans every request of an experiment; the same seed gives the same plan.
pub(crate) fn plan(experiment: &Experiment) -> Vec<Plan> {
    let mut rng = fastrand::Rng::with_seed(experiment.seed);
    let total = (experiment.warmup_s + experiment.duration_s) as f64;
    let mut plans = Vec::new();
    for (traffic_ix, traffic) in experiment.traffic.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at -= (1.0 - rng.f64()).ln() / traffic.rate;
            if at >= total {
                break;
            }
            plans.push(Plan {
                at: Duration::from_secs_f64(at),
                number: 0,
                organisation: pick(experiment, &mut rng),
                traffic: traffic_ix,
                length: length(traffic, &mut rng),
            });
        }
    }
    plans.sort_by_key(|plan| plan.at);
    for (number, plan) in plans.iter_mut().enumerate() {
        plan.number = number;
    }
    plans
}

fn pick(experiment: &Experiment, rng: &mut fastrand::Rng) -> usize {
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

/// A log-normal output length.
fn length(traffic: &TrafficClass, rng: &mut fastrand::Rng) -> u64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
    let length = traffic.median_tokens * (traffic.sigma * normal).exp();
    length.clamp(1.0, traffic.max_tokens.max(1.0)) as u64
}

/// Where requests go.
#[derive(Debug, Clone)]
pub(crate) enum Route {
    /// To the daemons in turn.
    Daemons(Vec<SocketAddr>),
    /// Straight to the targets of each service in turn.
    Targets(Vec<(String, Vec<SocketAddr>)>),
}

impl Route {
    fn address(&self, service: &str, number: usize) -> Option<SocketAddr> {
        let addresses = match self {
            Route::Daemons(addresses) => addresses,
            Route::Targets(services) => &services.iter().find(|(name, _)| name == service)?.1,
        };
        addresses.get(number % addresses.len().max(1)).copied()
    }

    fn path(&self, service: &str, rest: &str) -> String {
        match self {
            Route::Daemons(_) => format!("/services/{service}{rest}"),
            Route::Targets(_) => rest.to_owned(),
        }
    }
}

/// Runs the planned load to its end.
pub(crate) async fn run(
    experiment: Arc<Experiment>,
    plans: Vec<Plan>,
    route: Route,
    started: Instant,
) -> Vec<Sample> {
    let client = reqwest::Client::builder().pool_max_idle_per_host(512).build().unwrap_or_default();
    let (sender, mut samples) = mpsc::unbounded_channel();
    for plan in plans {
        tokio::time::sleep_until((started + plan.at).into()).await;
        let (experiment, client) = (experiment.clone(), client.clone());
        let (route, sender) = (route.clone(), sender.clone());
        tokio::spawn(async move {
            let sample = request(&experiment, &client, &route, plan, started).await;
            // The receiver lives until every sender is gone.
            let _ = sender.send(sample);
        });
    }
    drop(sender);
    let mut all = Vec::new();
    while let Some(sample) = samples.recv().await {
        all.push(sample);
    }
    all
}

async fn request(
    experiment: &Experiment,
    client: &reqwest::Client,
    route: &Route,
    plan: Plan,
    started: Instant,
) -> Sample {
    let mut sample = Sample {
        end: End::Lost("timeout".to_owned()),
        first: None,
        gaps: Vec::new(),
        ended_at: Duration::ZERO,
        tokens: 0,
        plan,
    };
    let traffic = &experiment.traffic[sample.plan.traffic];
    let exchange = exchange(experiment, client, route, traffic, &mut sample, started);
    if let Ok(end) = tokio::time::timeout(REQUEST_MAX, exchange).await {
        sample.end = end;
    }
    sample.ended_at = started.elapsed();
    sample
}

async fn exchange(
    experiment: &Experiment,
    client: &reqwest::Client,
    route: &Route,
    traffic: &TrafficClass,
    sample: &mut Sample,
    started: Instant,
) -> End {
    let plan = sample.plan.clone();
    let Some(address) = route.address(&traffic.service, plan.number) else {
        return End::Lost("no address".to_owned());
    };
    let key = format!("{}-key", experiment.organisations[plan.organisation].name);
    let builder = match traffic.request_type {
        RequestType::Completion => client
            .post(format!("http://{address}/v1/completions"))
            .json(&completion(traffic, &plan)),
        RequestType::IdempotentPost => client
            .post(format!("http://{address}{}", route.path(&traffic.service, "/notices")))
            .header("idempotency-key", format!("k{}", plan.number))
            .body(format!("n{}", plan.number)),
        RequestType::Get => {
            let path = format!("/notices/n{}", plan.number);
            client.get(format!("http://{address}{}", route.path(&traffic.service, &path)))
        }
    };
    let answer = match builder.bearer_auth(key).send().await {
        Ok(answer) => answer,
        Err(error) => return End::Lost(format!("connection: {}", error.without_url())),
    };
    if !answer.status().is_success() {
        return refused(answer).await;
    }
    let planned = started + plan.at;
    match traffic.request_type {
        RequestType::Completion => read_stream(answer, sample, planned).await,
        RequestType::IdempotentPost | RequestType::Get => read_whole(answer, sample, planned).await,
    }
}

fn completion(traffic: &TrafficClass, plan: &Plan) -> Value {
    let head = format!("len={} tag=r{} ", plan.length, plan.number);
    let filler = (traffic.prompt_tokens as usize * TOKEN_BYTES).saturating_sub(head.len());
    let prompt = head + &"x".repeat(filler);
    json!({"model": traffic.service, "prompt": prompt, "stream": true})
}

async fn refused(answer: reqwest::Response) -> End {
    let status = answer.status();
    let body: Value = answer.json().await.unwrap_or_default();
    match body["error"]["reason"].as_str() {
        Some(reason) => End::Refused(reason.to_owned()),
        None => End::Refused(status.as_u16().to_string()),
    }
}

async fn read_whole(answer: reqwest::Response, sample: &mut Sample, planned: Instant) -> End {
    let number = sample.plan.number;
    match answer.json::<Value>().await {
        Ok(body) if body.to_string().contains(&format!("n{number}\"")) => {
            sample.first = Some(planned.elapsed());
            match body["run"].as_u64() {
                Some(2..) if body["method"] == "POST" => End::Lost("repeated".to_owned()),
                _ => End::Whole,
            }
        }
        Ok(_) => End::Lost("another's answer".to_owned()),
        Err(_) => End::Lost("cut".to_owned()),
    }
}

async fn read_stream(answer: reqwest::Response, sample: &mut Sample, planned: Instant) -> End {
    let mut body = answer.bytes_stream();
    let mut buf = String::new();
    let mut last: Option<Instant> = None;
    while let Some(chunk) = body.next().await {
        let Ok(chunk) = chunk else {
            return End::Lost("cut".to_owned());
        };
        buf.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = buf.find('\n') {
            let line: String = buf.drain(..=end).collect();
            let Some(data) = line.trim().strip_prefix("data:") else {
                continue;
            };
            let now = Instant::now();
            match read_event(data.trim(), sample) {
                Read::Token => {}
                Read::Other => continue,
                Read::End(end) => return end,
            }
            match last {
                None => sample.first = Some(now.duration_since(planned)),
                Some(last) => sample.gaps.push(now.duration_since(last)),
            }
            last = Some(now);
        }
    }
    End::Lost("no end mark".to_owned())
}

enum Read {
    Token,
    Other,
    End(End),
}

fn read_event(data: &str, sample: &mut Sample) -> Read {
    if data == "[DONE]" {
        return Read::End(match sample.tokens == sample.plan.length {
            true => End::Whole,
            false => End::Lost("short".to_owned()),
        });
    }
    let Ok(event) = serde_json::from_str::<Value>(data) else {
        return Read::Other;
    };
    if event.get("error").is_some() {
        let reason = event["error"]["reason"].as_str().unwrap_or("error");
        return Read::End(End::Refused(format!("broken_{reason}")));
    }
    let Some(text) = event["choices"][0]["text"].as_str() else {
        return Read::Other;
    };
    let expected = format!("r{}:{} ", sample.plan.number, sample.tokens);
    if text != expected {
        return Read::End(End::Lost("wrong token".to_owned()));
    }
    sample.tokens += 1;
    Read::Token
}
