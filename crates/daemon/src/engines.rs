//! Traffic to targets: one task per request carries out the kernel's decisions.

use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::map::Map;
use hornbeamloom_kernel::outcome::{Outcome, Ran, Reason, Refusal, Start};
use hornbeamloom_kernel::request::{End, Id};
use hornbeamloom_kernel::store::StoredResponse;
use hornbeamloom_wire::openai::Endpoint;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::control::{Decision, Input};
use crate::poll::Poller;
use crate::relay::{Finish, Relay, REATTACH_GRACE};
use crate::settings::Settings;
use crate::{adapter, attempt, http, orders, plain};

/// Time beyond the service's queue limit after which a missing decision counts as a refusal. The
/// kernel normally refuses in time; this bounds the caller's wait if it cannot.
const DECISION_MARGIN: Duration = Duration::from_secs(10);

inventory::submit! {
    adapter::Plugin {
        name: "engines",
        rank: 30,
        is_enabled: Settings::uses_native_interface,
        check: |_| Ok(()),
        accepts: |outcome| matches!(outcome, Outcome::Poll { .. } | Outcome::Order(_)),
        start,
    }
}

fn start(context: adapter::Context, mut inbox: adapter::Inbox) -> Result<(), adapter::Error> {
    let client = http::client().map_err(|error| adapter::Error::Startup(error.to_string()))?;
    let poller = Poller::new(&context, &client);
    let orders = orders::Queue::new(&context.control, &client);
    tokio::spawn(async move {
        while let Some(outcome) = inbox.recv().await {
            match outcome {
                Outcome::Poll { target, address, .. } => poller.spawn_poll(target, address),
                Outcome::Order(order) => orders.push(order),
                _ => {}
            }
        }
    });
    Ok(())
}

/// State shared by all requests of this VM.
#[derive(Debug)]
pub(crate) struct Traffic {
    pub(crate) context: adapter::Context,
    pub(crate) client: reqwest::Client,
    pub(crate) next_request: AtomicU64,
    held_streams: Mutex<Map<Id, Arc<Relay>>>,
    connections: Arc<AtomicUsize>,
}

/// A caller's share of the connection limit, returned on drop.
#[derive(Debug)]
pub(crate) struct ConnectionPermit(Arc<AtomicUsize>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Traffic {
    pub(crate) fn new(context: adapter::Context, client: reqwest::Client) -> Traffic {
        Traffic {
            context,
            client,
            next_request: AtomicU64::new(1),
            held_streams: Mutex::default(),
            connections: Arc::default(),
        }
    }

    /// Counts a caller against the connection limit; `None` if the limit is reached.
    pub(crate) fn acquire_connection(&self) -> Option<ConnectionPermit> {
        let limit = self.context.settings.get().limits.connections;
        let permit = ConnectionPermit(self.connections.clone());
        let others = self.connections.fetch_add(1, Ordering::Relaxed);
        (others < limit).then_some(permit)
    }

    /// The stream of a request, while this VM holds it.
    pub(crate) fn held_stream(&self, id: &Id) -> Option<Arc<Relay>> {
        self.held_streams.lock().expect("no holder of the lock panics").get(id).cloned()
    }

    fn hold_stream(&self, relay: &Arc<Relay>) {
        let mut held_streams = self.held_streams.lock().expect("no holder of the lock panics");
        held_streams.insert(relay.id.clone(), relay.clone());
    }

    fn drop_stream(&self, id: &Id) {
        self.held_streams.lock().expect("no holder of the lock panics").remove(id);
    }
}

/// The kind of call made to the target.
#[derive(Debug)]
pub(crate) enum Job {
    /// A generation.
    Generate { endpoint: Endpoint, stream: bool },
    /// A call of a plain service.
    Call(plain::Call),
}

/// The data that a traffic task needs to run a request.
#[derive(Debug)]
pub(crate) struct RequestTask {
    pub(crate) id: Id,
    pub(crate) service: Name,
    pub(crate) body: Bytes,
    pub(crate) job: Job,
    /// The idempotency key of a call that runs at most once.
    pub(crate) idempotency_key: Option<Name>,
    pub(crate) arrived_at: Instant,
    pub(crate) delivered_tokens: Arc<AtomicU32>,
}

impl RequestTask {
    /// Whether a caller that lost its connection can reattach to the stream.
    pub(crate) fn is_resumable(&self) -> bool {
        matches!(self.job, Job::Generate { stream: true, .. })
    }

    fn delivered(&self) -> u32 {
        self.delivered_tokens.load(Ordering::Relaxed)
    }
}

/// The result of one attempt.
#[derive(Debug)]
pub(crate) struct AttemptResult {
    pub(crate) end: End,
    pub(crate) first_token_ms: Option<u32>,
    pub(crate) stored: Option<StoredResponse>,
    pub(crate) finish: Option<Finish>,
}

impl AttemptResult {
    /// The result of an attempt that ended without a token.
    pub(crate) fn new(end: End) -> AttemptResult {
        AttemptResult { end, first_token_ms: None, stored: None, finish: None }
    }

    /// Adds the response to store.
    pub(crate) fn with_stored(self, stored: Option<StoredResponse>) -> AttemptResult {
        AttemptResult { stored, ..self }
    }

    /// Adds the end of the caller's response.
    pub(crate) fn with_finish(self, finish: Finish) -> AttemptResult {
        let finish = Some(finish);
        AttemptResult { finish, ..self }
    }
}

/// Runs a request to its end in a separate task.
pub(crate) fn spawn(
    traffic: &Arc<Traffic>,
    task: RequestTask,
    relay: Arc<Relay>,
    decisions: mpsc::UnboundedReceiver<Decision>,
) {
    let traffic = traffic.clone();
    let is_resumable = task.is_resumable();
    if is_resumable {
        traffic.hold_stream(&relay);
    }
    tokio::spawn(async move {
        let finish = run(&traffic, &task, &relay, decisions).await;
        log::info!(
            "request done id={} organisation={} service={} result={} tokens={} ms={}",
            task.id,
            relay.organisation,
            task.service,
            result_label(&finish),
            task.delivered(),
            task.arrived_at.elapsed().as_millis()
        );
        relay.finish(finish);
        let id = task.id.clone();
        // The body is not needed while the replay buffer is held.
        drop(task);
        if is_resumable {
            // A caller whose connection broke near the end may still reattach.
            tokio::time::sleep(REATTACH_GRACE).await;
            traffic.drop_stream(&id);
        }
    });
}

fn result_label(finish: &Finish) -> &'static str {
    match finish {
        Finish::Complete => "complete",
        Finish::Refused(refusal) => refusal.reason.as_str(),
        Finish::Stored(_) => "replay",
        Finish::Forwarded(_) => "passed",
        Finish::Cancelled => "cancelled",
    }
}

async fn run(
    traffic: &Traffic,
    task: &RequestTask,
    relay: &Relay,
    mut decisions: mpsc::UnboundedReceiver<Decision>,
) -> Finish {
    let control = &traffic.context.control;
    loop {
        let start = match next_start(traffic, task, relay, &mut decisions).await {
            Ok(start) => start,
            Err(finish) => return finish,
        };
        let result = run_attempt(traffic, task, &start, relay).await;
        control.tell(Input::AttemptEnded {
            id: task.id.clone(),
            attempt: start.attempt,
            end: result.end,
            first_token_ms: result.first_token_ms,
            stored: result.stored,
        });
        match (result.end, result.finish) {
            (_, Some(finish)) => return finish,
            (End::Cancelled, None) => return Finish::Cancelled,
            (_, None) if task.delivered() > 0 => {
                // Tokens of another generation must not follow those already delivered, whatever
                // the kernel decides.
                control.tell(Input::CallerDisconnected(task.id.clone()));
                return Finish::Refused(Refusal::new(Reason::TargetFailed).with_ran(Ran::Yes));
            }
            (_, None) => {}
        }
    }
}

/// Waits for the next start; any other decision ends the request.
async fn next_start(
    traffic: &Traffic,
    task: &RequestTask,
    relay: &Relay,
    decisions: &mut mpsc::UnboundedReceiver<Decision>,
) -> Result<Start, Finish> {
    let queue_ms = {
        let intent = traffic.context.intent.get();
        intent.service(&task.service).map_or(0, |service| service.queue_ms)
    };
    let decision_timeout = Duration::from_millis(queue_ms) + DECISION_MARGIN;
    let decision = tokio::select! {
        decision = decisions.recv() => decision,
        _ = relay.abandoned() => {
            traffic.context.control.tell(Input::CallerDisconnected(task.id.clone()));
            return Err(Finish::Cancelled);
        }
        _ = tokio::time::sleep(decision_timeout) => None,
    };
    match decision {
        // The kernel moves only relocatable generations, and this adapter declares none as such.
        Some(Decision::Start(start) | Decision::Move(start)) => Ok(start),
        Some(Decision::Refuse(refusal)) => Err(Finish::Refused(refusal)),
        Some(Decision::Replay(stored)) => Err(Finish::Stored(stored)),
        None => {
            traffic.context.control.tell(Input::CallerDisconnected(task.id.clone()));
            let ran = Ran::Unknown;
            Err(Finish::Refused(Refusal::new(Reason::NoTarget).with_ran(ran)))
        }
    }
}

async fn run_attempt(
    traffic: &Traffic,
    task: &RequestTask,
    start: &Start,
    relay: &Relay,
) -> AttemptResult {
    match &task.job {
        Job::Generate { endpoint, stream } => {
            attempt::run(traffic, task, *endpoint, *stream, start, relay).await
        }
        Job::Call(call) => plain::run(traffic, task, call, start, relay).await,
    }
}
