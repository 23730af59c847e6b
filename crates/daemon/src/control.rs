//! The control thread, which runs the actor that owns the kernel.
//!
//! All changes to control state happen on this thread. Adapters send typed inputs; the actor routes
//! the kernel's outcomes back to them. No code here performs network I/O.

use std::sync::atomic::AtomicU32;
use std::sync::Arc;
use std::time::Duration;

use hornbeamloom_kernel::backpressure::Signal;
use hornbeamloom_kernel::event::{Event, TokenCount, Vm};
use hornbeamloom_kernel::ids::{Millis, Name, Revision};
use hornbeamloom_kernel::intent::Intent;
use hornbeamloom_kernel::kernel::{Kernel, State};
use hornbeamloom_kernel::map::Map;
use hornbeamloom_kernel::outcome::{Counter, Outcome, Refusal, Start};
use hornbeamloom_kernel::peer::{Delta, Message};
use hornbeamloom_kernel::reach::Path;
use hornbeamloom_kernel::request::{End, Id, Idempotency, RouteOptions, View};
use hornbeamloom_kernel::store::{Answer, CallId, StoredResponse};
use hornbeamloom_kernel::target::{CacheBatch, PollError, Report};
use hornbeamloom_kernel::{feed, reconcile, rollout};
use tokio::sync::{mpsc, oneshot, watch};
use xtra::prelude::*;

use crate::active_request::ActiveRequest;
use crate::clock::BootInstant;
use crate::published;
use crate::{metrics, pace};

/// Interval between progress reports of running requests to the kernel, in milliseconds.
const PROGRESS_INTERVAL_MS: u64 = 500;

/// A new request, as submitted by an adapter.
#[derive(Debug)]
pub struct Arrival {
    /// Request id.
    pub id: Id,
    /// Organisation that the caller's key belongs to.
    pub organisation: Name,
    /// Requested service.
    pub service: Name,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_tokens: Option<u32>,
    /// Hash of service, method, path and body.
    pub fingerprint: u64,
    /// Hashes of prompt prefixes of increasing length, for prefix-cache lookups.
    pub prefixes: Vec<u64>,
    /// Hashes of the parts of the prompt that other requests may share, in order.
    pub parts: Vec<u64>,
    /// Whether the request may be executed more than once.
    pub rerun: RerunPolicy,
    /// Scheduling terms set by the request's route.
    pub terms: RouteOptions,
    /// Receives the kernel's decisions about the request.
    pub decisions: mpsc::UnboundedSender<Decision>,
    /// Number of output tokens delivered; updated by the traffic task.
    pub tokens: Arc<AtomicU32>,
    /// Gaps between events; updated by the traffic task.
    pub pace: Arc<pace::Meter>,
}

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RerunPolicy {
    /// It may be executed any number of times.
    Allowed,
    /// It is executed at most once, and the caller never resends it under the same id.
    Never,
    /// It is executed at most once for this idempotency key.
    Keyed(Name),
}

impl RerunPolicy {
    fn repeat(&self) -> Idempotency<'_> {
        match self {
            RerunPolicy::Allowed => Idempotency::Idempotent,
            RerunPolicy::Never => Idempotency::AtMostOnce,
            RerunPolicy::Keyed(key) => Idempotency::Keyed { key },
        }
    }
}

/// A decision of the kernel about a request.
#[derive(Debug)]
pub enum Decision {
    /// Start an attempt.
    Start(Start),
    /// Copy the generation's KV cache to another target and continue there.
    Move(Start),
    /// Refuse the request.
    Refuse(Refusal),
    /// Replay the stored response of an earlier execution.
    Replay(StoredResponse),
}

/// An input to the control thread.
#[derive(Debug)]
pub enum Input {
    /// A timer fired; a wake-up requested by the kernel may be due.
    Tick,
    /// A caller's request arrived.
    RequestArrived(Box<Arrival>),
    /// The first byte of an attempt may have been sent to the target.
    SendStarted {
        /// The request.
        id: Id,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: Id,
        /// The attempt.
        attempt: u32,
        /// How the attempt ended.
        end: End,
        /// Time to the first token in milliseconds.
        first_token_ms: Option<u32>,
        /// The response to store, for a request that is executed at most once.
        stored: Option<StoredResponse>,
    },
    /// A generation's stream was interrupted; its standby holds a copy of the KV cache.
    GenerationLost(Id),
    /// A generation continues on another target.
    GenerationMoved {
        /// The placement that ended.
        from: Id,
        /// The placement that continues it.
        to: Id,
    },
    /// The caller disconnected.
    CallerDisconnected(Id),
    /// A target's load report, or why none was received.
    Report(Name, Result<Report, PollError>),
    /// What a target says about new requests in a response.
    TargetSignal {
        /// The target.
        target: Name,
        /// What it says.
        signal: Signal,
        /// Whether the response is that to a control call.
        is_control: bool,
    },
    /// Whether this VM could open a connection to a target itself.
    TargetContact {
        /// The target.
        target: Name,
        /// Whether the connection was established.
        is_reached: bool,
    },
    /// A VM could not relay a connection.
    RelayFailed(Name),
    /// Prefix-cache events of an engine.
    CacheEvents(Name, CacheBatch),
    /// An engine's response to an order.
    OrderAnswered(reconcile::Order, reconcile::Answer),
    /// A message from a peer.
    Peer(Name, Message),
    /// The result of a store call.
    StoreAnswered(CallId, Answer),
    /// Resource changes read from the table or from a snapshot of it.
    Changes(Delta),
    /// Targets discovered by the platform.
    TargetsDiscovered(Delta),
    /// The platform has tables; a copy of one is outdated beyond this age in milliseconds.
    TablesAvailable {
        /// Zero if every VM reads the tables itself.
        age_limit_ms: u64,
    },
    /// Rows of a platform table read by this VM, and a time at which it contained no newer rows.
    RowsRead(feed::Rows, BootInstant),
    /// Rows of a platform table that the kernel has passed on are applied.
    RowsApplied(feed::Table),
    /// The table's head revision was read and is not newer than the revision in force.
    TableHead(Revision),
    /// The table contained no newer resources at this time.
    TableCurrent(BootInstant),
    /// The table could not be read.
    TableUnavailable,
    /// The platform's list of VMs.
    Vms(Vec<Vm>),
    /// The roll-out orders in the operator's table.
    Rollouts(Vec<rollout::Order>),
    /// An operator lifted the quarantine of the body with this fingerprint.
    LiftQuarantine(u64),
    /// A graceful shutdown has begun; callers are directed to other VMs. If it has a limit, every
    /// request needs its response within this time.
    ShutdownStarted(Option<Duration>),
    /// The settle time has passed: hand over everything this VM holds and finish running requests.
    Drain,
    /// Evaluate a query on the control state.
    Query(StateQuery),
}

type QueryFn = dyn FnOnce(&State, Millis) + Send;

/// A closure that reads the control state and sends the result to the requester.
pub struct StateQuery(Box<QueryFn>);

impl std::fmt::Debug for StateQuery {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Read")
    }
}

/// A handle to the control thread.
///
/// Inputs cross threads through a tokio channel and are moved to the actor's mailbox on the control
/// thread. Sending to the mailbox from another thread would make the control thread spin: the
/// mailbox wakes its receiver while holding a spin lock, and a receiver on another core would spin
/// on that lock until the sender returns from the wake-up.
#[derive(Debug, Clone)]
pub struct Control {
    inputs: mpsc::UnboundedSender<Input>,
}

impl Control {
    /// Queues an input and returns without waiting for it to be handled.
    pub fn tell(&self, input: Input) {
        // A closed channel means that the process is exiting.
        let _ = self.inputs.send(input);
    }

    /// Evaluates `read` on the control state; returns `None` if the process is exiting.
    ///
    /// `read` runs on the control thread and must be short.
    pub async fn ask<T: Send + 'static>(
        &self,
        read: fn(&State, Millis, &str) -> T,
        argument: &str,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let argument = argument.to_owned();
        let input = Input::Query(StateQuery(Box::new(move |state, now| {
            // The requester may have been dropped.
            let _ = reply.send(read(state, now, &argument));
        })));
        self.inputs.send(input).ok()?;
        answer.await.ok()
    }
}

/// Routes the outcomes that an adapter accepts to its inbox.
pub(crate) struct OutcomeRoute {
    pub(crate) accepts: fn(&Outcome) -> bool,
    pub(crate) inbox: mpsc::UnboundedSender<Outcome>,
}

/// The actor that owns the kernel.
#[derive(xtra::Actor)]
pub(crate) struct Actor {
    kernel: Kernel,
    started_at: BootInstant,
    requests: Map<Id, ActiveRequest>,
    routes: Vec<OutcomeRoute>,
    intent: watch::Sender<Arc<Intent>>,
    path: watch::Sender<Path>,
    wakeup: watch::Sender<Option<Millis>>,
    drained: Option<oneshot::Sender<()>>,
    last_progress_at: Millis,
    outcomes: Vec<Outcome>,
}

/// The receiving ends of the actor's output channels.
pub(crate) struct Receivers {
    pub(crate) intent: published::Value<Arc<Intent>>,
    pub(crate) path: published::Value<Path>,
    pub(crate) drained: oneshot::Receiver<()>,
}

/// Spawns the control thread.
pub(crate) fn spawn(
    kernel: Kernel,
    routes: Vec<OutcomeRoute>,
) -> std::io::Result<(Control, Receivers)> {
    let (intent_sender, intent) = published::channel(Arc::new(Intent::default()));
    let (path_sender, path) = published::channel(Path::Direct);
    let (wakeup_sender, wakeup) = published::channel(Some(Millis(0)));
    let (drained_sender, drained) = oneshot::channel();
    let (address, mailbox) = Mailbox::<Actor>::unbounded();
    let started_at = BootInstant::now();
    let (inputs, inbox) = mpsc::unbounded_channel();
    let control = Control { inputs };
    let ticker = control.clone();
    let actor = Actor {
        kernel,
        started_at,
        requests: Map::default(),
        routes,
        intent: intent_sender,
        path: path_sender,
        wakeup: wakeup_sender,
        drained: Some(drained_sender),
        last_progress_at: Millis(0),
        outcomes: Vec::new(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        runtime.block_on(async move {
            tokio::spawn(tick(ticker, wakeup, started_at));
            tokio::spawn(forward_inputs(inbox, address));
            xtra::run(mailbox, actor).await;
        });
    })?;
    Ok((control, Receivers { intent, path, drained }))
}

/// Forwards inputs to the actor's mailbox; runs on the control thread.
async fn forward_inputs(mut inbox: mpsc::UnboundedReceiver<Input>, address: Address<Actor>) {
    while let Some(input) = inbox.recv().await {
        // A closed mailbox means that the process is exiting.
        if address.send(input).await.is_err() {
            return;
        }
    }
}

/// Sends a `Tick` whenever the kernel's wake-up time or the next progress report is due.
async fn tick(
    control: Control,
    mut wakeup: published::Value<Option<Millis>>,
    started_at: BootInstant,
) {
    let mut progress_timer = tokio::time::interval(Duration::from_millis(PROGRESS_INTERVAL_MS));
    progress_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let due = wakeup.get_and_update();
        let sleep = async {
            match due {
                Some(at) => {
                    let remaining_ms = started_at.after(at.0.max(1)).since(BootInstant::now());
                    tokio::time::sleep(Duration::from_millis(remaining_ms)).await;
                }
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = sleep => {
                control.tell(Input::Tick);
                // The next wake-up time is known only after the tick has been handled.
                if wakeup.changed().await.is_err() { return; }
            }
            _ = progress_timer.tick() => control.tell(Input::Tick),
            changed = wakeup.changed() => if changed.is_err() { return; },
        }
    }
}

impl Actor {
    fn now(&self) -> Millis {
        self.to_kernel_time(BootInstant::now())
    }

    fn to_kernel_time(&self, at: BootInstant) -> Millis {
        Millis(at.since(self.started_at))
    }

    fn handle_event(&mut self, event: Event<'_>) {
        let now = self.now();
        self.kernel.handle(event, now, &mut self.outcomes);
    }

    fn dispatch_outcomes(&mut self) {
        let mut outcomes = std::mem::take(&mut self.outcomes);
        for outcome in outcomes.drain(..) {
            self.deliver(outcome);
        }
        self.outcomes = outcomes;
        self.wakeup.send_replace(self.kernel.next_wakeup());
    }

    fn deliver(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Start(start) => {
                if let Some(request) = self.requests.get_mut(&start.id) {
                    request.begin_attempt();
                }
                self.send_decision(&start.id.clone(), Decision::Start(start));
            }
            Outcome::Move { from, start } => self.relocate(&from, start),
            Outcome::Refuse { id, refusal } => {
                self.send_decision(&id, Decision::Refuse(refusal));
                self.requests.remove(&id);
            }
            Outcome::Replay { id, stored } => {
                self.send_decision(&id, Decision::Replay(stored));
                self.requests.remove(&id);
            }
            Outcome::Count(counter) => metrics::count(counter),
            Outcome::Log { warn: true, text } => log::warn!("{text}"),
            Outcome::Log { warn: false, text } => log::info!("{text}"),
            Outcome::Publish => {
                self.intent.send_replace(Arc::new(self.kernel.state().intent.clone()));
            }
            Outcome::SetPath(path) => drop(self.path.send_replace(path)),
            Outcome::Drained => {
                if let Some(drained) = self.drained.take() {
                    // The receiver is dropped only when the process is already exiting.
                    let _ = drained.send(());
                }
            }
            other => self.forward(other),
        }
    }

    fn forward(&self, outcome: Outcome) {
        let route = self.routes.iter().find(|route| (route.accepts)(&outcome));
        match route {
            // An inbox is closed only when its adapter has stopped, which happens only on exit.
            Some(route) => drop(route.inbox.send(outcome)),
            None => metrics::count(Counter::Ignored("outcome_without_adapter")),
        }
    }

    fn send_decision(&self, id: &Id, decision: Decision) {
        if let Some(request) = self.requests.get(id) {
            // The receiver is dropped when the caller has disconnected; the kernel learns of that
            // through `CallerDisconnected`.
            let _ = request.decisions.send(decision);
        }
    }

    fn report_progress(&mut self) {
        let now = self.now();
        if now.since(self.last_progress_at) < PROGRESS_INTERVAL_MS {
            return;
        }
        self.last_progress_at = now;
        let counts: Vec<TokenCount> =
            self.requests.iter().map(|(id, request)| request.count(id)).collect();
        if !counts.is_empty() {
            self.handle_event(Event::Progress(&counts));
        }
    }

    fn accept_request(&mut self, arrival: Arrival) {
        self.requests.insert(arrival.id.clone(), ActiveRequest::new(&arrival));
        self.handle_event(Event::RequestArrived(View {
            id: &arrival.id,
            organisation: &arrival.organisation,
            service: &arrival.service,
            prompt_tokens: arrival.prompt_tokens,
            max_tokens: arrival.max_tokens,
            fingerprint: arrival.fingerprint,
            prefixes: &arrival.prefixes,
            parts: &arrival.parts,
            idempotency: arrival.rerun.repeat(),
            options: arrival.terms,
        }));
    }

    fn end_attempt(
        &mut self,
        id: &Id,
        attempt: u32,
        end: End,
        first_token_ms: Option<u32>,
        stored: Option<&StoredResponse>,
    ) {
        let tokens = self.requests.get(id).map_or(0, ActiveRequest::delivered);
        self.handle_event(Event::AttemptEnded { id, attempt, end, tokens, first_token_ms, stored });
        if matches!(end, End::Complete | End::Cancelled) {
            self.requests.remove(id);
            self.requests.remove(&id.next_placement());
        }
    }

    /// Sends the traffic task of a running generation the start of its next placement.
    fn relocate(&mut self, from: &Id, start: Start) {
        let Some(request) = self.requests.get(from) else {
            return;
        };
        let next = request.next_placement();
        self.requests.insert(start.id.clone(), next);
        self.send_decision(from, Decision::Move(start));
    }

    fn complete_move(&mut self, from: &Id, to: &Id) {
        let Some(request) = self.requests.remove(from) else {
            return;
        };
        let tokens = request.delivered();
        if let Some(next) = self.requests.get_mut(to) {
            next.continue_from(&request);
        }
        self.handle_event(Event::GenerationMoved { from, to, tokens });
    }

    fn apply(&mut self, input: Input) {
        match input {
            Input::Tick => self.handle_event(Event::Tick),
            Input::RequestArrived(arrival) => self.accept_request(*arrival),
            Input::SendStarted { id, attempt } => {
                self.handle_event(Event::SendStarted { id: &id, attempt })
            }
            Input::AttemptEnded { id, attempt, end, first_token_ms, stored } => {
                self.end_attempt(&id, attempt, end, first_token_ms, stored.as_ref());
            }
            Input::GenerationLost(id) => {
                let tokens = self.requests.get(&id).map_or(0, ActiveRequest::delivered);
                self.handle_event(Event::GenerationLost { id: &id, tokens });
            }
            Input::GenerationMoved { from, to } => self.complete_move(&from, &to),
            Input::CallerDisconnected(id) => {
                self.handle_event(Event::CallerDisconnected { id: &id });
                self.requests.remove(&id);
                self.requests.remove(&id.next_placement());
            }
            Input::Report(target, report) => {
                let report = report.as_ref().map_err(|silence| *silence);
                self.handle_event(Event::Report { target: &target, report });
            }
            Input::TargetSignal { target, signal, is_control } => {
                let (target, signal) = (&*target, &signal);
                self.handle_event(Event::TargetSignal { target, signal, is_control });
            }
            Input::TargetContact { target, is_reached } => {
                self.handle_event(Event::TargetContact { target: &target, is_reached });
            }
            Input::RelayFailed(vm) => self.handle_event(Event::RelayFailed { vm: &vm }),
            Input::CacheEvents(target, batch) => {
                self.handle_event(Event::CacheEvents { target: &target, batch: &batch });
            }
            Input::OrderAnswered(order, answer) => {
                let target = &order.target;
                self.handle_event(Event::OrderAnswered { target, order: &order, answer });
            }
            Input::Peer(from, message) => {
                self.handle_event(Event::Peer { from: &from, message: &message });
            }
            Input::StoreAnswered(call, answer) => {
                self.handle_event(Event::StoreAnswered { call, answer: &answer });
            }
            Input::Changes(delta) => self.handle_event(Event::Changes(&delta)),
            Input::TargetsDiscovered(delta) => self.handle_event(Event::TargetsDiscovered(&delta)),
            Input::TablesAvailable { age_limit_ms } => {
                self.handle_event(Event::TablesAvailable { age_limit_ms });
            }
            Input::RowsRead(rows, at) => {
                let at = self.to_kernel_time(at);
                self.handle_event(Event::RowsRead { rows: &rows, at });
            }
            Input::RowsApplied(table) => self.handle_event(Event::RowsApplied { table }),
            Input::TableHead(revision) => self.handle_event(Event::TableHead(revision)),
            Input::TableCurrent(at) => {
                let at = self.to_kernel_time(at);
                self.handle_event(Event::TableCurrent { at });
            }
            Input::TableUnavailable => self.handle_event(Event::TableUnavailable),
            Input::Vms(vms) => self.handle_event(Event::Vms(&vms)),
            Input::Rollouts(orders) => self.handle_event(Event::Rollouts(&orders)),
            Input::LiftQuarantine(fingerprint) => {
                self.handle_event(Event::LiftQuarantine { fingerprint })
            }
            Input::ShutdownStarted(answer_within) => {
                let answer_within_ms = answer_within
                    .map(|within| u64::try_from(within.as_millis()).unwrap_or(u64::MAX));
                self.handle_event(Event::ShutdownStarted { answer_within_ms });
            }
            Input::Drain => self.handle_event(Event::Drain),
            Input::Query(query) => (query.0)(self.kernel.state(), self.now()),
        }
    }
}

impl Handler<Input> for Actor {
    type Return = ();

    async fn handle(&mut self, input: Input, _ctx: &mut Context<Self>) {
        self.apply(input);
        self.report_progress();
        self.dispatch_outcomes();
    }
}
