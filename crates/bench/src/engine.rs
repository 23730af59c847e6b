//! A stand-in for a model engine.
//!
//! Options in the prompt control its behaviour; the system under test does not interpret prompts.
//! `len=N` sets the output length, `tag=T` the text of the tokens (`T:SEQ `), and `crash-engine`
//! ends the process. `GET /_started` returns the number of generations started, without reporting
//! lag. `POST /_fault` takes `{"cold_s": N}` (re-enter cold start for N s unannounced),
//! `{"phase": "leaving"}`, `{"die": true}`, `{"stall_ms": N}` (run no step for N ms) and
//! `{"report_lag_ms": N}`.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use futures_util::stream::{self, Stream, StreamExt};
use hornbeamloom_daemon::published;
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::sync::{mpsc, oneshot, watch};
use warp::http::StatusCode;
use warp::{sse, Filter, Reply};

use crate::batch::{Batch, BatchConfig, Sequence};
use crate::{role, runtime};

/// Exit status of a simulated crash.
const CRASH_EXIT_STATUS: i32 = 70;
/// Number of generations, running or finished, that can be resumed; the oldest is dropped first.
const MAX_GENERATIONS: usize = 4_096;
/// Number of prompts kept in the prefix cache.
const MAX_CACHED_PROMPTS: usize = 256;
/// Number of bytes of prompt text that are counted as one token.
const BYTES_PER_TOKEN: u64 = 4;

inventory::submit! {
    role::Plugin { name: "engine", help: "stand-in for a model engine", run }
}

/// Stand-in for a model engine.
#[derive(Debug, Clone)]
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// size of the KV memory in tokens
    #[argh(option, default = "20_000")]
    kv_tokens: u64,
    /// largest number of sequences in a batch
    #[argh(option, default = "32")]
    sequences: usize,
    /// duration of a step with an empty batch in microseconds
    #[argh(option, default = "10_000")]
    step_us: u64,
    /// additional duration of a step for each sequence in microseconds
    #[argh(option, default = "200")]
    sequence_us: u64,
    /// prefill time for each prompt token that is not cached in microseconds
    #[argh(option, default = "20")]
    prefill_us: u64,
    /// number of sequences during cold start above which the process crashes
    #[argh(option, default = "2")]
    cold_limit: usize,
    /// duration of the cold start in seconds
    #[argh(option, default = "3.0")]
    cold_s: f64,
    /// delay of the load report in milliseconds
    #[argh(option, default = "300")]
    report_lag_ms: u64,
    /// reject orders with an outdated fencing token
    #[argh(switch)]
    fencing: bool,
    /// base URL of the weight store that models are loaded from
    #[argh(option)]
    weights: Option<String>,
}

fn run(arguments: &[&str]) -> Result<ExitCode, role::Error> {
    let args: Args = runtime::parse_args("engine", arguments)?;
    runtime::block_on(async move {
        let (commands, inbox) = mpsc::unbounded_channel();
        tokio::spawn(Engine::new(&args).run(inbox, commands.clone()));
        runtime::serve(args.listen, routes(commands)).await
    })
}

/// Number of tokens emitted so far, and whether the generation has finished.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    emitted: u64,
    done: bool,
}

/// The part of a generation that response streams use.
#[derive(Debug, Clone)]
struct Generation {
    id: String,
    tag: Arc<str>,
    chat: bool,
    progress: published::Value<Progress>,
}

#[derive(Debug)]
enum Command {
    Submit(Submit, oneshot::Sender<Generation>),
    Find(String, oneshot::Sender<Option<Generation>>),
    Cancel(String),
    Metrics(oneshot::Sender<String>),
    Started(oneshot::Sender<String>),
    CacheEvents(u64, oneshot::Sender<Value>),
    Order(Order, oneshot::Sender<StatusCode>),
    Loaded(String),
    Fault(Fault),
}

#[derive(Debug)]
struct Submit {
    prompt: String,
    priority: i32,
    chat: bool,
}

/// An order to load or unload a model or to set the engine's role.
#[derive(Debug)]
struct Order {
    action: String,
    name: String,
    fencing_token: u64,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    cold_s: Option<f64>,
    phase: Option<String>,
    die: bool,
    stall_ms: u64,
    report_lag_ms: Option<u64>,
}

/// The engine's state, owned by one task.
struct Engine {
    args: Args,
    batch: Batch,
    start_id: u128,
    generations_started: u64,
    progress_senders: HashMap<u64, watch::Sender<Progress>>,
    generations: VecDeque<(u64, Generation)>,
    cold_until: Instant,
    leaving: bool,
    reports: VecDeque<(Instant, String)>,
    cached_prompts: VecDeque<String>,
    cache_events: crate::cache_events::EventLog,
    loaded: Vec<String>,
    loading: Vec<String>,
    role: Option<String>,
    fencing_token: u64,
    stall_until: Option<Instant>,
}

impl Engine {
    fn new(args: &Args) -> Engine {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let config = BatchConfig {
            kv_tokens: args.kv_tokens,
            sequences_max: args.sequences,
            step_us: args.step_us,
            sequence_us: args.sequence_us,
            prefill_us: args.prefill_us,
            cold_limit: args.cold_limit,
            cold_slowdown: 4,
        };
        Engine {
            args: args.clone(),
            batch: Batch::new(config),
            start_id: since_epoch.unwrap_or_default().as_millis(),
            generations_started: 0,
            progress_senders: HashMap::new(),
            generations: VecDeque::new(),
            cold_until: Instant::now() + Duration::from_secs_f64(args.cold_s),
            leaving: false,
            reports: VecDeque::new(),
            cached_prompts: VecDeque::new(),
            cache_events: crate::cache_events::EventLog::default(),
            loaded: Vec::new(),
            loading: Vec::new(),
            role: None,
            fencing_token: 0,
            stall_until: None,
        }
    }

    async fn run(
        mut self,
        mut inbox: mpsc::UnboundedReceiver<Command>,
        commands: mpsc::UnboundedSender<Command>,
    ) {
        let mut next_step = tokio::time::Instant::now();
        loop {
            tokio::select! {
                biased;
                _ = tokio::time::sleep_until(next_step), if !self.batch.is_idle() => {
                    next_step = tokio::time::Instant::now() + self.step();
                }
                command = inbox.recv() => match command {
                    Some(command) => {
                        if self.batch.is_idle() {
                            next_step = tokio::time::Instant::now();
                        }
                        self.handle(command, &commands);
                    }
                    None => return,
                },
            }
        }
    }

    fn is_cold(&self) -> bool {
        Instant::now() < self.cold_until
    }

    fn step(&mut self) -> Duration {
        if let Some(until) = self.stall_until.take() {
            return until.saturating_duration_since(Instant::now());
        }
        let step = self.batch.step(self.is_cold());
        if step.overloaded {
            eprintln!("engine: more sequences than --cold-limit during cold start");
            std::process::exit(CRASH_EXIT_STATUS);
        }
        for id in &step.emitted {
            let done = step.finished.contains(id);
            if let Some(progress_sender) = self.progress_senders.get(id) {
                // A single update: between two updates, a reader would send the last token without
                // its finish reason.
                progress_sender.send_modify(|progress| {
                    progress.emitted += 1;
                    progress.done = done;
                });
            }
            if done {
                self.progress_senders.remove(id);
            }
        }
        Duration::from_micros(step.duration_us)
    }

    fn handle(&mut self, command: Command, commands: &mpsc::UnboundedSender<Command>) {
        match command {
            Command::Submit(submit, reply) => self.submit(submit, reply),
            Command::Find(generation_id, reply) => {
                drop(reply.send(self.find(&generation_id).cloned()))
            }
            Command::Cancel(generation_id) => self.cancel(&generation_id),
            Command::Metrics(reply) => drop(reply.send(self.lagged_report())),
            Command::Started(reply) => drop(reply.send(self.generations_started.to_string())),
            Command::CacheEvents(from, reply) => {
                drop(reply.send(self.cache_events.events_from(from)))
            }
            Command::Order(order, reply) => drop(reply.send(self.order(order, commands))),
            Command::Loaded(model) => {
                self.loading.retain(|loading| *loading != model);
                self.loaded.push(model);
            }
            Command::Fault(fault) => self.apply_fault(&fault),
        }
    }

    fn submit(&mut self, submit: Submit, reply: oneshot::Sender<Generation>) {
        if submit.prompt.contains("crash-engine") {
            eprintln!("engine: crash requested by a prompt");
            std::process::exit(CRASH_EXIT_STATUS);
        }
        self.generations_started += 1;
        let id = self.generations_started;
        let output_length =
            prompt_option(&submit.prompt, "len=").and_then(|text| text.parse().ok()).unwrap_or(32);
        let prompt_tokens = submit.prompt.len() as u64 / BYTES_PER_TOKEN + 1;
        let cached_bytes = self.cache_prompt(&submit.prompt);
        let sequence = Sequence::new(id, submit.priority, prompt_tokens, output_length)
            .with_cached_tokens(cached_bytes / BYTES_PER_TOKEN);
        self.batch.push(sequence);
        let (progress_sender, progress) = published::channel(Progress::default());
        self.progress_senders.insert(id, progress_sender);
        let generation = Generation {
            id: format!("gen-{}-{id}", self.start_id),
            tag: prompt_option(&submit.prompt, "tag=").unwrap_or("t").into(),
            chat: submit.chat,
            progress,
        };
        if self.generations.len() == MAX_GENERATIONS {
            self.generations.pop_front();
        }
        self.generations.push_back((id, generation.clone()));
        // The caller may have disconnected; the generation runs until it finishes or is cancelled.
        let _ = reply.send(generation);
    }

    /// Adds a prompt to the prefix cache and returns how many of its bytes were already cached.
    fn cache_prompt(&mut self, prompt: &str) -> u64 {
        let common_prefix = |other: &String| {
            other.bytes().zip(prompt.bytes()).take_while(|(left, right)| left == right).count()
        };
        let cached_bytes = self.cached_prompts.iter().map(common_prefix).max().unwrap_or(0);
        self.cache_events.store(&prefix_hashes(prompt));
        if self.cached_prompts.len() == MAX_CACHED_PROMPTS {
            if let Some(evicted) = self.cached_prompts.pop_front() {
                self.cache_events.evict(&prefix_hashes(&evicted));
            }
        }
        self.cached_prompts.push_back(prompt.to_owned());
        cached_bytes as u64
    }

    fn find(&self, generation_id: &str) -> Option<&Generation> {
        let found = self.generations.iter().find(|(_, generation)| generation.id == generation_id);
        found.map(|(_, generation)| generation)
    }

    fn cancel(&mut self, generation_id: &str) {
        let found =
            self.generations.iter().position(|(_, generation)| generation.id == generation_id);
        let Some((id, _)) = found.and_then(|ix| self.generations.remove(ix)) else {
            return;
        };
        self.batch.cancel(id);
        self.progress_senders.remove(&id);
    }

    fn order(&mut self, order: Order, commands: &mpsc::UnboundedSender<Command>) -> StatusCode {
        if self.args.fencing && order.fencing_token < self.fencing_token {
            return StatusCode::CONFLICT;
        }
        self.fencing_token = self.fencing_token.max(order.fencing_token);
        match order.action.as_str() {
            "role" => self.role = Some(order.name),
            "unload" => self.loaded.retain(|loaded| *loaded != order.name),
            _ => self.load(order.name, commands.clone()),
        }
        StatusCode::ACCEPTED
    }

    fn load(&mut self, name: String, commands: mpsc::UnboundedSender<Command>) {
        if self.loaded.contains(&name) || self.loading.contains(&name) {
            return;
        }
        self.loading.push(name.clone());
        let weights = self.args.weights.clone();
        tokio::spawn(async move {
            if let Some(base) = weights {
                let response = reqwest::get(format!("{base}/weights/{name}")).await;
                if let Ok(response) = response {
                    drop(response.bytes().await);
                }
            }
            // Cannot fail: the engine's task runs until the process exits.
            let _ = commands.send(Command::Loaded(name));
        });
    }

    fn apply_fault(&mut self, fault: &Fault) {
        if fault.die {
            std::process::exit(CRASH_EXIT_STATUS);
        }
        if let Some(cold_s) = fault.cold_s {
            self.cold_until = Instant::now() + Duration::from_secs_f64(cold_s);
        }
        if let Some(phase) = &fault.phase {
            self.leaving = phase == "leaving";
        }
        if fault.stall_ms > 0 {
            self.stall_until = Some(Instant::now() + Duration::from_millis(fault.stall_ms));
        }
        if let Some(lag) = fault.report_lag_ms {
            self.args.report_lag_ms = lag;
        }
    }

    /// The newest report that is at least as old as the reporting lag, or else the oldest one.
    fn lagged_report(&mut self) -> String {
        let now = Instant::now();
        self.reports.push_back((now, self.render_report()));
        let lag = Duration::from_millis(self.args.report_lag_ms);
        while self.reports.len() > 1 && now.duration_since(self.reports[1].0) >= lag {
            self.reports.pop_front();
        }
        self.reports[0].1.clone()
    }

    fn render_report(&self) -> String {
        let phase = match (self.leaving, self.is_cold()) {
            (true, _) => "leaving",
            (_, true) => "cold",
            _ => "warm",
        };
        let kv_usage = self.batch.kv_used() as f64 / self.args.kv_tokens.max(1) as f64;
        let mut text = format!(
            "engine_start_id {}\nengine_phase{{phase=\"{phase}\"}} 1\n\
             vllm:num_requests_running {}\nvllm:num_requests_waiting {}\n\
             vllm:kv_cache_usage_perc {kv_usage:.6}\nengine_kv_tokens {}\n\
             vllm:num_preemptions_total {}\nengine_fence {}\n",
            self.start_id,
            self.batch.running(),
            self.batch.waiting(),
            self.args.kv_tokens,
            self.batch.preemptions,
            self.fencing_token,
        );
        for model in &self.loaded {
            text += &format!("engine_loaded{{name=\"{model}\"}} 1\n");
        }
        for model in &self.loading {
            text += &format!("engine_loading{{name=\"{model}\"}} 1\n");
        }
        if let Some(role) = &self.role {
            text += &format!("engine_role{{role=\"{role}\"}} 1\n");
        }
        text
    }
}

/// Hashes of the prefixes of a prompt for the cache events; this stand-in publishes none.
fn prefix_hashes(_prompt: &str) -> Vec<u64> {
    Vec::new()
}

/// The text between `key` and the next whitespace in a prompt.
fn prompt_option<'a>(prompt: &'a str, key: &str) -> Option<&'a str> {
    let start = prompt.find(key)? + key.len();
    prompt[start..].split_whitespace().next()
}

fn routes(
    commands: mpsc::UnboundedSender<Command>,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
    let with_commands = warp::any().map(move || commands.clone());
    let submit = warp::path!("v1" / "completions")
        .map(|| false)
        .or(warp::path!("v1" / "chat" / "completions").map(|| true))
        .unify()
        .and(warp::post())
        .and(warp::header::optional::<String>("x-request-id"))
        .and(warp::body::json())
        .and(with_commands.clone())
        .then(submit);
    let resume = warp::path!("v1" / "completions" / String)
        .and(warp::get())
        .and(warp::query::<ResumeQuery>())
        .and(warp::header::optional::<String>("x-request-id"))
        .and(with_commands.clone())
        .then(resume);
    let cancel = warp::path!("v1" / "completions" / String / "cancel")
        .and(warp::post())
        .and(with_commands.clone())
        .map(|generation_id, commands: mpsc::UnboundedSender<Command>| {
            let _ = commands.send(Command::Cancel(generation_id));
            StatusCode::OK
        });
    let metrics = warp::path!("metrics")
        .and(with_commands.clone())
        .then(|commands| async move { ask(&commands, Command::Metrics).await.unwrap_or_default() });
    let started = warp::path!("_started")
        .and(with_commands.clone())
        .then(|commands| async move { ask(&commands, Command::Started).await.unwrap_or_default() });
    let cache = warp::path!("v1" / "cache_events")
        .and(warp::query::<CacheEventsQuery>())
        .and(with_commands.clone())
        .then(|query: CacheEventsQuery, commands| async move {
            let response = ask(&commands, |reply| Command::CacheEvents(query.after, reply)).await;
            warp::reply::json(&response.unwrap_or_default())
        });
    let order = warp::path!("v1" / "models" / String)
        .or(warp::path!("v1" / String))
        .unify()
        .and(warp::post())
        .and(warp::header::optional::<u64>("x-fencing-token"))
        .and(warp::body::json())
        .and(with_commands.clone())
        .then(order);
    let fault =
        warp::path!("_fault").and(warp::post()).and(warp::body::json()).and(with_commands).map(
            |fault, commands: mpsc::UnboundedSender<Command>| {
                let _ = commands.send(Command::Fault(fault));
                StatusCode::OK
            },
        );
    submit.or(resume).or(cancel).or(metrics).or(started).or(cache).or(fault).or(order)
}

async fn ask<T>(
    commands: &mpsc::UnboundedSender<Command>,
    command: impl FnOnce(oneshot::Sender<T>) -> Command,
) -> Option<T> {
    let (reply, response) = oneshot::channel();
    commands.send(command(reply)).ok()?;
    response.await.ok()
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ResumeQuery {
    starting_after: Option<u64>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct CacheEventsQuery {
    #[serde(default)]
    after: u64,
}

async fn submit(
    chat: bool,
    request_id: Option<String>,
    body: Value,
    commands: mpsc::UnboundedSender<Command>,
) -> warp::reply::Response {
    let prompt = match body["prompt"].as_str() {
        Some(prompt) => prompt.to_owned(),
        None => body["messages"].to_string(),
    };
    let priority = body["priority"].as_i64().unwrap_or(0) as i32;
    let submit = Submit { prompt, priority, chat };
    match ask(&commands, |reply| Command::Submit(submit, reply)).await {
        Some(generation) => stream_response(generation, 0, request_id),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn resume(
    generation_id: String,
    query: ResumeQuery,
    request_id: Option<String>,
    commands: mpsc::UnboundedSender<Command>,
) -> warp::reply::Response {
    match ask(&commands, |reply| Command::Find(generation_id, reply)).await.flatten() {
        Some(generation) => {
            stream_response(generation, query.starting_after.map_or(0, |seq| seq + 1), request_id)
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn order(
    action: String,
    fencing_token: Option<u64>,
    body: Value,
    commands: mpsc::UnboundedSender<Command>,
) -> StatusCode {
    let name = body["model"].as_str().or(body["role"].as_str()).unwrap_or_default().to_owned();
    let order = Order { action, name, fencing_token: fencing_token.unwrap_or(0) };
    let response = ask(&commands, |reply| Command::Order(order, reply)).await;
    response.unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
}

fn stream_response(
    generation: Generation,
    from: u64,
    request_id: Option<String>,
) -> warp::reply::Response {
    let id = generation.id.clone();
    let events = sse::keep_alive()
        .interval(Duration::from_millis(400))
        .text("ping")
        .stream(token_events(generation, from));
    let reply = warp::reply::with_header(sse::reply(events), "x-generation-id", id);
    warp::reply::with_header(reply, "x-request-id", request_id.unwrap_or_default()).into_response()
}

/// The server-sent events of a generation, starting with token number `from`.
fn token_events(
    generation: Generation,
    from: u64,
) -> impl Stream<Item = Result<sse::Event, std::convert::Infallible>> {
    let start = (generation, from, false);
    stream::unfold(start, |(mut generation, next, ended)| async move {
        if ended {
            return None;
        }
        // An error means that the generation was cancelled: the stream ends without `[DONE]`.
        let ready = |progress: &Progress| progress.emitted > next || progress.done;
        let progress = generation.progress.wait_for(ready).await.ok()?;
        if next >= progress.emitted {
            return Some((sse::Event::default().data("[DONE]"), (generation, next, true)));
        }
        let is_last = progress.done && next + 1 == progress.emitted;
        let event = token_event(&generation, next, is_last);
        Some((event, (generation, next + 1, false)))
    })
    .map(Ok)
}

fn token_event(generation: &Generation, seq: u64, is_last: bool) -> sse::Event {
    let text = format!("{}:{seq} ", generation.tag);
    let finish_reason = is_last.then_some("stop");
    let choice = match generation.chat {
        true => json!({"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}),
        false => json!({"index": 0, "text": text, "finish_reason": finish_reason}),
    };
    let data = json!({"id": generation.id, "object": "text_completion", "choices": [choice]});
    sse::Event::default().id(seq.to_string()).data(data.to_string())
}
