//! A stand-in for a model engine.
//!
//! The prompt tells it what to do, which the system under test never reads: `len=N` sets the
//! output length, `tag=T` the text of its tokens (`T:SEQ `), `crash-engine` ends the process.
//! `GET /_started` counts generations without lag. `POST /_fault` takes `{"cold_s": N}` (turn cold for N s without notice), `{"phase": "leaving"}`,
//! `{"die": true}`, `{"stall_ms": N}` (no step for N ms) and `{"report_lag_ms": N}`.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use futures_util::stream::{self, Stream, StreamExt};
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::sync::{mpsc, oneshot, watch};
use warp::http::StatusCode;
use warp::{sse, Filter, Reply};

use crate::batch::{Batch, Sequence, Shape};
use crate::{role, runtime};

/// Exit status after a crash that the stand-in plays.
const CRASH: i32 = 70;
/// Finished generations that can still be resumed.
const KEPT_GENERATIONS: usize = 4_096;
/// Prefix blocks kept by the prefix cache.
const CACHED_PROMPTS: usize = 256;
/// Bytes of prompt text that count as one token.
const TOKEN_BYTES: u64 = 4;

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
    /// KV memory in tokens
    #[argh(option, default = "20_000")]
    kv_tokens: u64,
    /// sequences that decode together
    #[argh(option, default = "32")]
    sequences: usize,
    /// duration of a step in microseconds
    #[argh(option, default = "10_000")]
    step_us: u64,
    /// added duration of a step for each sequence in microseconds
    #[argh(option, default = "200")]
    sequence_us: u64,
    /// duration of prefill for each prompt token in microseconds
    #[argh(option, default = "20")]
    prefill_us: u64,
    /// sequences that it can carry in cold start; more end the process
    #[argh(option, default = "2")]
    cold_limit: usize,
    /// duration of the cold start in seconds
    #[argh(option, default = "3.0")]
    cold_s: f64,
    /// age of the load report in milliseconds
    #[argh(option, default = "300")]
    report_lag_ms: u64,
    /// refuse orders with an old fencing token
    #[argh(switch)]
    fencing: bool,
    /// base URL of the weight store that loads read from
    #[argh(option)]
    weights: Option<String>,
}

fn run(words: &[&str]) -> Result<ExitCode, role::Error> {
    let args: Args = runtime::parse_args("engine", words)?;
    runtime::block_on(async move {
        let (commands, inbox) = mpsc::unbounded_channel();
        tokio::spawn(Core::new(&args).run(inbox, commands.clone()));
        runtime::serve(args.listen, routes(commands)).await
    })
}

/// Tokens emitted so far, and whether there will be more.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    emitted: u64,
    done: bool,
}

/// A generation as its readers see it.
#[derive(Debug, Clone)]
struct Generation {
    name: String,
    tag: Arc<str>,
    chat: bool,
    progress: watch::Receiver<Progress>,
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

#[derive(Debug)]
struct Order {
    verb: String,
    name: String,
    fence: u64,
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
struct Core {
    args: Args,
    batch: Batch,
    start_id: u128,
    next_generation: u64,
    writers: HashMap<u64, watch::Sender<Progress>>,
    generations: VecDeque<(u64, Generation)>,
    cold_until: Instant,
    leaving: bool,
    reports: VecDeque<(Instant, String)>,
    prompts: VecDeque<String>,
    cache: crate::cache::Log,
    loaded: Vec<String>,
    loading: Vec<String>,
    role: Option<String>,
    fence: u64,
    stall_until: Option<Instant>,
}

impl Core {
    fn new(args: &Args) -> Core {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let shape = Shape {
            kv_tokens: args.kv_tokens,
            sequences_max: args.sequences,
            step_us: args.step_us,
            sequence_us: args.sequence_us,
            prefill_us: args.prefill_us,
            cold_limit: args.cold_limit,
            cold_factor: 4,
        };
        Core {
            args: args.clone(),
            batch: Batch::new(shape),
            start_id: since_epoch.unwrap_or_default().as_millis(),
            next_generation: 0,
            writers: HashMap::new(),
            generations: VecDeque::new(),
            cold_until: Instant::now() + Duration::from_secs_f64(args.cold_s),
            leaving: false,
            reports: VecDeque::new(),
            prompts: VecDeque::new(),
            cache: crate::cache::Log::default(),
            loaded: Vec::new(),
            loading: Vec::new(),
            role: None,
            fence: 0,
            stall_until: None,
        }
    }

    async fn run(
        mut self,
        mut inbox: mpsc::UnboundedReceiver<Command>,
        own: mpsc::UnboundedSender<Command>,
    ) {
        let mut due = tokio::time::Instant::now();
        loop {
            tokio::select! {
                biased;
                _ = tokio::time::sleep_until(due), if !self.batch.is_idle() => {
                    due = tokio::time::Instant::now() + self.step();
                }
                command = inbox.recv() => match command {
                    Some(command) => {
                        if self.batch.is_idle() {
                            due = tokio::time::Instant::now();
                        }
                        self.handle(command, &own);
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
            eprintln!("engine: overloaded in cold start");
            std::process::exit(CRASH);
        }
        for generation in &step.emitted {
            let done = step.finished.contains(generation);
            if let Some(writer) = self.writers.get(generation) {
                // One change: a reader between two would send the last token without its mark.
                writer.send_modify(|progress| {
                    progress.emitted += 1;
                    progress.done = done;
                });
            }
            if done {
                self.writers.remove(generation);
            }
        }
        Duration::from_micros(step.duration_us)
    }

    fn handle(&mut self, command: Command, own: &mpsc::UnboundedSender<Command>) {
        match command {
            Command::Submit(submit, reply) => self.submit(submit, reply),
            Command::Find(name, reply) => drop(reply.send(self.find(&name).cloned())),
            Command::Cancel(name) => self.cancel(&name),
            Command::Metrics(reply) => drop(reply.send(self.report())),
            Command::Started(reply) => drop(reply.send(self.next_generation.to_string())),
            Command::CacheEvents(after, reply) => drop(reply.send(self.cache.since(after))),
            Command::Order(order, reply) => drop(reply.send(self.order(order, own))),
            Command::Loaded(name) => {
                self.loading.retain(|loading| *loading != name);
                self.loaded.push(name);
            }
            Command::Fault(fault) => self.fault(&fault),
        }
    }

    fn submit(&mut self, submit: Submit, reply: oneshot::Sender<Generation>) {
        if submit.prompt.contains("crash-engine") {
            eprintln!("engine: crashed by a prompt");
            std::process::exit(CRASH);
        }
        self.next_generation += 1;
        let id = self.next_generation;
        let length = word(&submit.prompt, "len=").and_then(|text| text.parse().ok()).unwrap_or(32);
        let prompt = submit.prompt.len() as u64 / TOKEN_BYTES + 1;
        let cached = self.remember(&submit.prompt);
        let sequence =
            Sequence::new(id, submit.priority, prompt, length).with_cached(cached / TOKEN_BYTES);
        self.batch.push(sequence);
        let (writer, progress) = watch::channel(Progress::default());
        self.writers.insert(id, writer);
        let generation = Generation {
            name: format!("gen-{}-{id}", self.start_id),
            tag: word(&submit.prompt, "tag=").unwrap_or("t").into(),
            chat: submit.chat,
            progress,
        };
        if self.generations.len() == KEPT_GENERATIONS {
            self.generations.pop_front();
        }
        self.generations.push_back((id, generation.clone()));
        // The caller may be gone by now; the generation runs until it is cancelled or ends.
        let _ = reply.send(generation);
    }

    /// Adds a prompt to the prefix cache; returns the bytes of it that were cached.
    fn remember(&mut self, prompt: &str) -> u64 {
        let shared = |other: &String| {
            other.bytes().zip(prompt.bytes()).take_while(|(left, right)| left == right).count()
        };
        let cached = self.prompts.iter().map(shared).max().unwrap_or(0);
        self.cache.store(&prefix_hashes(prompt));
        if self.prompts.len() == CACHED_PROMPTS {
            if let Some(evicted) = self.prompts.pop_front() {
                self.cache.evict(&prefix_hashes(&evicted));
            }
        }
        self.prompts.push_back(prompt.to_owned());
        cached as u64
    }

    fn find(&self, name: &str) -> Option<&Generation> {
        let found = self.generations.iter().find(|(_, generation)| generation.name == name);
        found.map(|(_, generation)| generation)
    }

    fn cancel(&mut self, name: &str) {
        let found = self.generations.iter().position(|(_, generation)| generation.name == name);
        let Some((id, _)) = found.and_then(|ix| self.generations.remove(ix)) else {
            return;
        };
        self.batch.cancel(id);
        self.writers.remove(&id);
    }

    fn order(&mut self, order: Order, own: &mpsc::UnboundedSender<Command>) -> StatusCode {
        if self.args.fencing && order.fence < self.fence {
            return StatusCode::CONFLICT;
        }
        self.fence = self.fence.max(order.fence);
        match order.verb.as_str() {
            "role" => self.role = Some(order.name),
            "unload" => self.loaded.retain(|loaded| *loaded != order.name),
            _ => self.load(order.name, own.clone()),
        }
        StatusCode::ACCEPTED
    }

    fn load(&mut self, name: String, own: mpsc::UnboundedSender<Command>) {
        if self.loaded.contains(&name) || self.loading.contains(&name) {
            return;
        }
        self.loading.push(name.clone());
        let weights = self.args.weights.clone();
        tokio::spawn(async move {
            if let Some(base) = weights {
                let answer = reqwest::get(format!("{base}/weights/{name}")).await;
                if let Ok(answer) = answer {
                    drop(answer.bytes().await);
                }
            }
            // The engine's task ends only with the process.
            let _ = own.send(Command::Loaded(name));
        });
    }

    fn fault(&mut self, fault: &Fault) {
        if fault.die {
            std::process::exit(CRASH);
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

    /// The newest report that is at least as old as the reporting lag, or the oldest kept.
    fn report(&mut self) -> String {
        let now = Instant::now();
        self.reports.push_back((now, self.write_report()));
        let lag = Duration::from_millis(self.args.report_lag_ms);
        while self.reports.len() > 1 && now.duration_since(self.reports[1].0) >= lag {
            self.reports.pop_front();
        }
        self.reports[0].1.clone()
    }

    fn write_report(&self) -> String {
        let phase = match (self.leaving, self.is_cold()) {
            (true, _) => "leaving",
            (_, true) => "cold",
            _ => "warm",
        };
        let usage = self.batch.kv_used() as f64 / self.args.kv_tokens.max(1) as f64;
        let mut text = format!(
            "engine_start_id {}\nengine_phase{{phase=\"{phase}\"}} 1\n\
             vllm:num_requests_running {}\nvllm:num_requests_waiting {}\n\
             vllm:kv_cache_usage_perc {usage:.6}\nengine_kv_tokens {}\n\
             vllm:num_preemptions_total {}\nengine_fence {}\n",
            self.start_id,
            self.batch.running(),
            self.batch.waiting(),
            self.args.kv_tokens,
            self.batch.preemptions,
            self.fence,
        );
        for name in &self.loaded {
            text += &format!("engine_loaded{{name=\"{name}\"}} 1\n");
        }
        for name in &self.loading {
            text += &format!("engine_loading{{name=\"{name}\"}} 1\n");
        }
        if let Some(role) = &self.role {
            text += &format!("engine_role{{role=\"{role}\"}} 1\n");
        }
        text
    }
}

/// Hashes of growing prefixes of a prompt, as the engine publishes them.
fn prefix_hashes(_prompt: &str) -> Vec<u64> {
    Vec::new()
}

/// The rest of the word that follows `label`.
fn word<'a>(text: &'a str, label: &str) -> Option<&'a str> {
    let start = text.find(label)? + label.len();
    text[start..].split_whitespace().next()
}

fn routes(
    commands: mpsc::UnboundedSender<Command>,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
    let core = warp::any().map(move || commands.clone());
    let submit = warp::path!("v1" / "completions")
        .map(|| false)
        .or(warp::path!("v1" / "chat" / "completions").map(|| true))
        .unify()
        .and(warp::post())
        .and(warp::header::optional::<String>("x-request-id"))
        .and(warp::body::json())
        .and(core.clone())
        .then(submit);
    let resume = warp::path!("v1" / "completions" / String)
        .and(warp::get())
        .and(warp::query::<Resume>())
        .and(warp::header::optional::<String>("x-request-id"))
        .and(core.clone())
        .then(resume);
    let cancel = warp::path!("v1" / "completions" / String / "cancel")
        .and(warp::post())
        .and(core.clone())
        .map(|name, core: mpsc::UnboundedSender<Command>| {
            let _ = core.send(Command::Cancel(name));
            StatusCode::OK
        });
    let metrics = warp::path!("metrics")
        .and(core.clone())
        .then(|core| async move { ask(&core, Command::Metrics).await.unwrap_or_default() });
    let started = warp::path!("_started")
        .and(core.clone())
        .then(|core| async move { ask(&core, Command::Started).await.unwrap_or_default() });
    let cache = warp::path!("v1" / "cache_events")
        .and(warp::query::<Events>())
        .and(core.clone())
        .then(|events: Events, core| async move {
            let answer = ask(&core, |reply| Command::CacheEvents(events.after, reply)).await;
            warp::reply::json(&answer.unwrap_or_default())
        });
    let order = warp::path!("v1" / "models" / String)
        .or(warp::path!("v1" / String))
        .unify()
        .and(warp::post())
        .and(warp::header::optional::<u64>("x-fencing-token"))
        .and(warp::body::json())
        .and(core.clone())
        .then(order);
    let fault = warp::path!("_fault").and(warp::post()).and(warp::body::json()).and(core).map(
        |fault, core: mpsc::UnboundedSender<Command>| {
            let _ = core.send(Command::Fault(fault));
            StatusCode::OK
        },
    );
    submit.or(resume).or(cancel).or(metrics).or(started).or(cache).or(fault).or(order)
}

async fn ask<T>(
    core: &mpsc::UnboundedSender<Command>,
    command: impl FnOnce(oneshot::Sender<T>) -> Command,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    core.send(command(reply)).ok()?;
    answer.await.ok()
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Resume {
    starting_after: Option<u64>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Events {
    #[serde(default)]
    after: u64,
}

async fn submit(
    chat: bool,
    request_id: Option<String>,
    body: Value,
    core: mpsc::UnboundedSender<Command>,
) -> warp::reply::Response {
    let prompt = match body["prompt"].as_str() {
        Some(prompt) => prompt.to_owned(),
        None => body["messages"].to_string(),
    };
    let priority = body["priority"].as_i64().unwrap_or(0) as i32;
    let submit = Submit { prompt, priority, chat };
    match ask(&core, |reply| Command::Submit(submit, reply)).await {
        Some(generation) => answer(generation, 0, request_id),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn resume(
    name: String,
    query: Resume,
    request_id: Option<String>,
    core: mpsc::UnboundedSender<Command>,
) -> warp::reply::Response {
    match ask(&core, |reply| Command::Find(name, reply)).await.flatten() {
        Some(generation) => {
            answer(generation, query.starting_after.map_or(0, |seq| seq + 1), request_id)
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn order(
    verb: String,
    fence: Option<u64>,
    body: Value,
    core: mpsc::UnboundedSender<Command>,
) -> StatusCode {
    let name = body["model"].as_str().or(body["role"].as_str()).unwrap_or_default().to_owned();
    let order = Order { verb, name, fence: fence.unwrap_or(0) };
    let answer = ask(&core, |reply| Command::Order(order, reply)).await;
    answer.unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
}

fn answer(generation: Generation, from: u64, request_id: Option<String>) -> warp::reply::Response {
    let name = generation.name.clone();
    let events = sse::keep_alive()
        .interval(Duration::from_millis(400))
        .text("ping")
        .stream(events(generation, from));
    let reply = warp::reply::with_header(sse::reply(events), "x-generation-id", name);
    warp::reply::with_header(reply, "x-request-id", request_id.unwrap_or_default()).into_response()
}

/// The events of a generation from token number `from`.
fn events(
    generation: Generation,
    from: u64,
) -> impl Stream<Item = Result<sse::Event, std::convert::Infallible>> {
    let last = (generation, from, false);
    stream::unfold(last, |(mut generation, next, ended)| async move {
        if ended {
            return None;
        }
        // An error means that the generation was cancelled: the stream ends without its end mark.
        let ready = |progress: &Progress| progress.emitted > next || progress.done;
        let progress = *generation.progress.wait_for(ready).await.ok()?;
        if next >= progress.emitted {
            return Some((sse::Event::default().data("[DONE]"), (generation, next, true)));
        }
        let is_last = progress.done && next + 1 == progress.emitted;
        let event = chunk(&generation, next, is_last);
        Some((event, (generation, next + 1, false)))
    })
    .map(Ok)
}

fn chunk(generation: &Generation, seq: u64, is_last: bool) -> sse::Event {
    let text = format!("{}:{seq} ", generation.tag);
    let finish = is_last.then_some("stop");
    let choice = match generation.chat {
        true => json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
        false => json!({"index": 0, "text": text, "finish_reason": finish}),
    };
    let data = json!({"id": generation.name, "object": "text_completion", "choices": [choice]});
    sse::Event::default().id(seq.to_string()).data(data.to_string())
}
