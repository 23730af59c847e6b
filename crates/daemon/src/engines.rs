//! Traffic towards targets: one task per request carries out the kernel's verdicts.

use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::map::Map;
use hornbeamloom_kernel::outcome::{Outcome, Ran, Reason, Refusal, Start};
use hornbeamloom_kernel::request::{End, Id};
use hornbeamloom_kernel::store::Stored;
use hornbeamloom_wire::openai::Form;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::control::{Decision, Input};
use crate::poll::Poller;
use crate::relay::{Finish, Relay, GRACE};
use crate::settings::Settings;
use crate::{adapter, attempt, http, orders, plain};

/// Time beyond the service's queue limit after which a missing verdict is taken for a refusal.
/// The kernel refuses in time by itself; this bounds the caller's wait if it cannot.
const VERDICT_SLACK: Duration = Duration::from_secs(10);

inventory::submit! {
    adapter::Plugin {
        name: "engines",
        rank: 30,
        is_enabled: Settings::uses_native_interface,
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
                Outcome::Poll { target, address } => poller.start(target, address),
                Outcome::Order(order) => orders.push(order),
                _ => {}
            }
        }
    });
    Ok(())
}

/// What all requests of this VM share.
#[derive(Debug)]
pub(crate) struct Traffic {
    pub(crate) context: adapter::Context,
    pub(crate) client: reqwest::Client,
    pub(crate) counter: AtomicU64,
    streams: Mutex<Map<Id, Arc<Relay>>>,
    callers: Arc<AtomicUsize>,
}

/// One caller's place under the connection limit.
#[derive(Debug)]
pub(crate) struct Place(Arc<AtomicUsize>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Traffic {
    pub(crate) fn new(context: adapter::Context, client: reqwest::Client) -> Traffic {
        Traffic {
            context,
            client,
            counter: AtomicU64::new(1),
            streams: Mutex::default(),
            callers: Arc::default(),
        }
    }

    /// Takes a place under the connection limit, if there is one.
    pub(crate) fn enter(&self) -> Option<Place> {
        let limit = self.context.settings.borrow().limits.connections;
        let place = Place(self.callers.clone());
        let others = self.callers.fetch_add(1, Ordering::Relaxed);
        (others < limit).then_some(place)
    }

    /// The stream of a request, while it is held here.
    pub(crate) fn stream(&self, id: &Id) -> Option<Arc<Relay>> {
        self.streams.lock().expect("no holder of the lock panics").get(id).cloned()
    }

    fn keep(&self, relay: &Arc<Relay>) {
        let mut streams = self.streams.lock().expect("no holder of the lock panics");
        streams.insert(relay.id.clone(), relay.clone());
    }

    fn forget(&self, id: &Id) {
        self.streams.lock().expect("no holder of the lock panics").remove(id);
    }
}

/// What is asked of the target.
#[derive(Debug)]
pub(crate) enum Job {
    /// A generation.
    Generate { form: Form, stream: bool },
    /// A call of a plain service.
    Call(plain::Call),
}

/// A request as its traffic task needs it.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) id: Id,
    pub(crate) service: Name,
    pub(crate) body: Bytes,
    pub(crate) job: Job,
    /// The idempotency key of a call that runs at most once.
    pub(crate) once: Option<Name>,
    pub(crate) arrived: Instant,
    pub(crate) tokens: Arc<AtomicU32>,
}

impl Work {
    /// Whether a caller that lost its connection can come back.
    pub(crate) fn is_resumable(&self) -> bool {
        matches!(self.job, Job::Generate { stream: true, .. })
    }

    fn delivered(&self) -> u32 {
        self.tokens.load(Ordering::Relaxed)
    }
}

/// How one attempt ended.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) end: End,
    pub(crate) first_token_ms: Option<u32>,
    pub(crate) stored: Option<Stored>,
    pub(crate) finish: Option<Finish>,
}

impl Ended {
    /// An attempt that ended this way, without a token.
    pub(crate) fn new(end: End) -> Ended {
        Ended { end, first_token_ms: None, stored: None, finish: None }
    }

    /// The same attempt with an answer to keep.
    pub(crate) fn with_stored(self, stored: Option<Stored>) -> Ended {
        Ended { stored, ..self }
    }

    /// The same attempt with the caller's answer.
    pub(crate) fn with_finish(self, finish: Finish) -> Ended {
        let finish = Some(finish);
        Ended { finish, ..self }
    }
}

/// Runs a request to its end in a task of its own.
pub(crate) fn spawn(
    traffic: &Arc<Traffic>,
    work: Work,
    relay: Arc<Relay>,
    verdicts: mpsc::UnboundedReceiver<Decision>,
) {
    let traffic = traffic.clone();
    let is_resumable = work.is_resumable();
    if is_resumable {
        traffic.keep(&relay);
    }
    tokio::spawn(async move {
        let finish = run(&traffic, &work, &relay, verdicts).await;
        log::info!(
            "request done id={} organisation={} service={} result={} tokens={} ms={}",
            work.id,
            relay.organisation,
            work.service,
            name(&finish),
            work.delivered(),
            work.arrived.elapsed().as_millis()
        );
        relay.finish(finish);
        let id = work.id.clone();
        // The body is not needed while the replay buffer waits.
        drop(work);
        if is_resumable {
            // A caller whose connection broke near the end may still come back.
            tokio::time::sleep(GRACE).await;
            traffic.forget(&id);
        }
    });
}

fn name(finish: &Finish) -> &'static str {
    match finish {
        Finish::Done => "complete",
        Finish::Refused(refusal) => refusal.reason.as_str(),
        Finish::Replay(_) => "replay",
        Finish::Passed(_) => "passed",
        Finish::Cancelled => "cancelled",
    }
}

async fn run(
    traffic: &Traffic,
    work: &Work,
    relay: &Relay,
    mut verdicts: mpsc::UnboundedReceiver<Decision>,
) -> Finish {
    let control = &traffic.context.control;
    loop {
        let start = match next_verdict(traffic, work, relay, &mut verdicts).await {
            Ok(start) => start,
            Err(finish) => return finish,
        };
        let ended = attempt(traffic, work, &start, relay).await;
        control.tell(Input::AttemptEnded {
            id: work.id.clone(),
            attempt: start.attempt,
            end: ended.end,
            first_token_ms: ended.first_token_ms,
            stored: ended.stored,
        });
        match (ended.end, ended.finish) {
            (_, Some(finish)) => return finish,
            (End::Cancelled, None) => return Finish::Cancelled,
            (_, None) if work.delivered() > 0 => {
                // Tokens of another generation must not follow, whatever the kernel decides.
                control.tell(Input::CallerDisconnected(work.id.clone()));
                return Finish::Refused(Refusal::new(Reason::TargetFailed).with_ran(Ran::Yes));
            }
            (_, None) => {}
        }
    }
}

/// Waits for the next start; anything else ends the request.
async fn next_verdict(
    traffic: &Traffic,
    work: &Work,
    relay: &Relay,
    verdicts: &mut mpsc::UnboundedReceiver<Decision>,
) -> Result<Start, Finish> {
    let queue_ms = {
        let intent = traffic.context.intent.borrow();
        intent.service(&work.service).map_or(0, |service| service.queue_ms)
    };
    let patience = Duration::from_millis(queue_ms) + VERDICT_SLACK;
    let verdict = tokio::select! {
        verdict = verdicts.recv() => verdict,
        _ = relay.departed() => {
            traffic.context.control.tell(Input::CallerDisconnected(work.id.clone()));
            return Err(Finish::Cancelled);
        }
        _ = tokio::time::sleep(patience) => None,
    };
    match verdict {
        // Only generations that are declared to move are, which none of this adapter is.
        Some(Decision::Start(start) | Decision::Move(start)) => Ok(start),
        Some(Decision::Refuse(refusal)) => Err(Finish::Refused(refusal)),
        Some(Decision::Replay(stored)) => Err(Finish::Replay(stored)),
        None => {
            traffic.context.control.tell(Input::CallerDisconnected(work.id.clone()));
            let ran = Ran::Unknown;
            Err(Finish::Refused(Refusal::new(Reason::NoTarget).with_ran(ran)))
        }
    }
}

async fn attempt(traffic: &Traffic, work: &Work, start: &Start, relay: &Relay) -> Ended {
    match &work.job {
        Job::Generate { form, stream } => {
            attempt::run(traffic, work, *form, *stream, start, relay).await
        }
        Job::Call(call) => plain::run(traffic, work, call, start, relay).await,
    }
}
