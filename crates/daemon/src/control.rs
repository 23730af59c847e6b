//! The control thread: an actor that owns the kernel.
//!
//! Every change of control state happens here. Adapters send typed inputs, and the actor passes
//! the kernel's outcomes on to them. Nothing here waits for a socket.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hornbeamloom_kernel::event::{Event, TokenCount, Vm};
use hornbeamloom_kernel::feed;
use hornbeamloom_kernel::ids::{Millis, Name, Revision};
use hornbeamloom_kernel::intent::Intent;
use hornbeamloom_kernel::kernel::{Kernel, State};
use hornbeamloom_kernel::map::Map;
use hornbeamloom_kernel::outcome::{Counter, Outcome, Refusal, Start};
use hornbeamloom_kernel::peer::{Delta, Message};
use hornbeamloom_kernel::reconcile;
use hornbeamloom_kernel::request::{End, Id, Idempotency, RouteOptions, View};
use hornbeamloom_kernel::store::{Answer, CallId, Stored};
use hornbeamloom_kernel::target::{CacheBatch, Report, Silence};
use tokio::sync::{mpsc, oneshot, watch};
use xtra::prelude::*;

use crate::clock::Moment;

/// Time between two accounts of running requests, in milliseconds.
const PROGRESS_MS: u64 = 500;

/// A request as the caller adapter hands it over.
#[derive(Debug)]
pub struct Arrival {
    /// Its id.
    pub id: Id,
    /// Organisation of the caller's key.
    pub organisation: Name,
    /// Service called.
    pub service: Name,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Bound on the output in tokens.
    pub max_tokens: Option<u32>,
    /// Hash of service, method, path and body.
    pub fingerprint: u64,
    /// Hashes of growing prompt prefixes.
    pub prefixes: Vec<u64>,
    /// Whether it may be run again.
    pub rerun: Rerun,
    /// What its route says about it.
    pub terms: RouteOptions,
    /// Where verdicts go.
    pub verdicts: mpsc::UnboundedSender<Verdict>,
    /// Output tokens delivered, counted by the traffic task.
    pub tokens: Arc<AtomicU32>,
}

/// Whether a request may be run again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rerun {
    /// Any number of times.
    Allowed,
    /// It runs at most once, and its caller never sends it again under the same id.
    Never,
    /// It runs at most once under this idempotency key.
    Keyed(Name),
}

impl Rerun {
    fn repeat(&self) -> Idempotency<'_> {
        match self {
            Rerun::Allowed => Idempotency::Idempotent,
            Rerun::Never => Idempotency::AtMostOnce,
            Rerun::Keyed(key) => Idempotency::Keyed { key },
        }
    }
}

/// What the kernel decided about a request.
#[derive(Debug)]
pub enum Verdict {
    /// Start an attempt.
    Start(Start),
    /// Copy the memory of the running generation to another target and go on there.
    Move(Start),
    /// Refuse it.
    Refuse(Refusal),
    /// Answer from a kept outcome.
    Replay(Stored),
}

/// An owned input for the control thread.
#[derive(Debug)]
pub enum Input {
    /// A wake-up.
    Tick,
    /// A request arrived.
    Arrive(Box<Arrival>),
    /// The first byte of an attempt may have left.
    Began {
        /// The request.
        id: Id,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        id: Id,
        /// The attempt.
        attempt: u32,
        /// How.
        end: End,
        /// Time to the first token in milliseconds.
        first_token_ms: Option<u32>,
        /// The answer to keep.
        stored: Option<Stored>,
    },
    /// A generation broke off and has a standby.
    Lost(Id),
    /// A generation goes on at another target.
    Moved {
        /// The leg that ended.
        from: Id,
        /// The leg that carries on.
        to: Id,
    },
    /// The caller went away.
    Departed(Id),
    /// A target's report.
    Report(Name, Result<Report, Silence>),
    /// Prefix-cache events.
    Cache(Name, CacheBatch),
    /// The answer to an order.
    Ordered(reconcile::Order, reconcile::Answer),
    /// A message from a peer.
    Peer(Name, Message),
    /// The answer to a store call.
    Store(CallId, Answer),
    /// Resources from the table.
    Changes(Delta),
    /// Targets that the platform has found.
    Discovered(Delta),
    /// Rows of a table that was read here, and a time at which it had no newer ones.
    Fed(feed::Rows, Moment),
    /// The head revision, not newer than ours.
    Head(Revision),
    /// No newer resources were in the table at this time.
    Current(Moment),
    /// The table could not be read.
    StoreDown,
    /// The platform's list.
    Vms(Vec<Vm>),
    /// Lift a quarantine.
    Lift(u64),
    /// A graceful shutdown has begun.
    Leaving,
    /// Callers have noticed it: hand everything over and finish what runs.
    Stop,
    /// Read something from the control state.
    Read(Read),
}

type Reader = dyn FnOnce(&State, Millis) + Send;

/// Reads something from the control state and sends it where it was asked for.
pub struct Read(Box<Reader>);

impl std::fmt::Debug for Read {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Read")
    }
}

/// The way to the control thread.
///
/// Inputs cross threads through a channel of tokio and reach the actor's mailbox on the control
/// thread: the mailbox wakes its receiver while it holds a spin lock, on which a receiver that
/// runs on another core would spin until the sender is back from the wake-up.
#[derive(Debug, Clone)]
pub struct Control {
    inputs: mpsc::UnboundedSender<Input>,
}

impl Control {
    /// Queues an input; never waits for it to be handled.
    pub fn tell(&self, input: Input) {
        // A closed channel means that the process is exiting.
        let _ = self.inputs.send(input);
    }

    /// Computes an answer from the control state; `None` while exiting.
    ///
    /// `read` runs on the control thread and should be short.
    pub async fn ask<T: Send + 'static>(
        &self,
        read: fn(&State, Millis, &str) -> T,
        argument: &str,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let argument = argument.to_owned();
        let input = Input::Read(Read(Box::new(move |state, now| {
            // Whoever asked may have left.
            let _ = reply.send(read(state, now, &argument));
        })));
        self.inputs.send(input).ok()?;
        answer.await.ok()
    }
}

/// One running request of this VM.
struct Running {
    verdicts: mpsc::UnboundedSender<Verdict>,
    tokens: Arc<AtomicU32>,
    /// Tokens that earlier legs of the generation have delivered.
    made: u32,
}

impl Running {
    /// Tokens that the present leg has delivered.
    fn delivered(&self) -> u32 {
        self.tokens.load(Ordering::Relaxed).saturating_sub(self.made)
    }
}

/// Where outcomes go.
pub(crate) struct Port {
    pub(crate) takes: fn(&Outcome) -> bool,
    pub(crate) inbox: mpsc::UnboundedSender<Outcome>,
}

/// The actor that owns the kernel.
#[derive(xtra::Actor)]
pub(crate) struct Actor {
    kernel: Kernel,
    started: Moment,
    requests: Map<Id, Running>,
    ports: Vec<Port>,
    intent: watch::Sender<Arc<Intent>>,
    wakeup: watch::Sender<Option<Millis>>,
    drained: Option<oneshot::Sender<()>>,
    progress_at: Millis,
    outcomes: Vec<Outcome>,
}

/// The far ends of the actor's channels.
pub(crate) struct Ends {
    pub(crate) intent: watch::Receiver<Arc<Intent>>,
    pub(crate) drained: oneshot::Receiver<()>,
}

/// Starts the control thread.
pub(crate) fn spawn(kernel: Kernel, ports: Vec<Port>) -> std::io::Result<(Control, Ends)> {
    let (intent_sender, intent) = watch::channel(Arc::new(Intent::default()));
    let (wakeup_sender, wakeup) = watch::channel(Some(Millis(0)));
    let (drained_sender, drained) = oneshot::channel();
    let (address, mailbox) = Mailbox::<Actor>::unbounded();
    let started = Moment::now();
    let (inputs, inbox) = mpsc::unbounded_channel();
    let control = Control { inputs };
    let ticker = control.clone();
    let actor = Actor {
        kernel,
        started,
        requests: Map::default(),
        ports,
        intent: intent_sender,
        wakeup: wakeup_sender,
        drained: Some(drained_sender),
        progress_at: Millis(0),
        outcomes: Vec::new(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        runtime.block_on(async move {
            tokio::spawn(tick(ticker, wakeup, started));
            tokio::spawn(pass_on(inbox, address));
            xtra::run(mailbox, actor).await;
        });
    })?;
    Ok((control, Ends { intent, drained }))
}

/// Passes inputs on to the actor's mailbox, on the control thread.
async fn pass_on(mut inbox: mpsc::UnboundedReceiver<Input>, address: Address<Actor>) {
    while let Some(input) = inbox.recv().await {
        // A closed mailbox means that the process is exiting.
        if address.send(input).await.is_err() {
            return;
        }
    }
}

/// Sends a `Tick` whenever the kernel's wake-up time or the next progress account is due.
async fn tick(control: Control, mut wakeup: watch::Receiver<Option<Millis>>, started: Moment) {
    let mut accounts = tokio::time::interval(Duration::from_millis(PROGRESS_MS));
    accounts.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let due = *wakeup.borrow_and_update();
        let sleep = async {
            match due {
                Some(at) => {
                    let left = started.after(at.0.max(1)).since(Moment::now());
                    tokio::time::sleep(Duration::from_millis(left)).await;
                }
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = sleep => {
                control.tell(Input::Tick);
                // The next wake-up is known once the tick was handled.
                if wakeup.changed().await.is_err() { return; }
            }
            _ = accounts.tick() => control.tell(Input::Tick),
            changed = wakeup.changed() => if changed.is_err() { return; },
        }
    }
}

impl Actor {
    fn now(&self) -> Millis {
        self.millis(Moment::now())
    }

    fn millis(&self, at: Moment) -> Millis {
        Millis(at.since(self.started))
    }

    fn handle_event(&mut self, event: Event<'_>) {
        let now = self.now();
        self.kernel.handle(event, now, &mut self.outcomes);
    }

    fn dispatch(&mut self) {
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
                let id = start.id.clone();
                self.verdict(&id, Verdict::Start(start));
            }
            Outcome::Move { from, start } => self.relocate(&from, start),
            Outcome::Refuse { id, refusal } => {
                self.verdict(&id, Verdict::Refuse(refusal));
                self.requests.remove(&id);
            }
            Outcome::Replay { id, stored } => {
                self.verdict(&id, Verdict::Replay(stored));
                self.requests.remove(&id);
            }
            Outcome::Count(counter) => count(counter),
            Outcome::Log { warn: true, text } => log::warn!("{text}"),
            Outcome::Log { warn: false, text } => log::info!("{text}"),
            Outcome::Publish => {
                self.intent.send_replace(Arc::new(self.kernel.state().intent.clone()));
            }
            Outcome::Drained => {
                if let Some(drained) = self.drained.take() {
                    // The receiver is gone only when the process is exiting anyway.
                    let _ = drained.send(());
                }
            }
            other => self.forward(other),
        }
    }

    fn forward(&self, outcome: Outcome) {
        let port = self.ports.iter().find(|port| (port.takes)(&outcome));
        match port {
            // A closed inbox means that the adapter is gone, which happens only on exit.
            Some(port) => drop(port.inbox.send(outcome)),
            None => count(Counter::Ignored("outcome_without_adapter")),
        }
    }

    fn verdict(&self, id: &Id, verdict: Verdict) {
        if let Some(running) = self.requests.get(id) {
            // The task is gone when its caller left; the kernel hears of that by `Departed`.
            let _ = running.verdicts.send(verdict);
        }
    }

    fn account(&mut self) {
        let now = self.now();
        if now.since(self.progress_at) < PROGRESS_MS {
            return;
        }
        self.progress_at = now;
        let counts: Vec<TokenCount> = self
            .requests
            .iter()
            .map(|(id, running)| TokenCount { id: id.clone(), tokens: running.delivered() })
            .collect();
        if !counts.is_empty() {
            self.handle_event(Event::Progress(&counts));
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let running =
            Running { verdicts: arrival.verdicts.clone(), tokens: arrival.tokens.clone(), made: 0 };
        self.requests.insert(arrival.id.clone(), running);
        self.handle_event(Event::RequestArrived(View {
            id: &arrival.id,
            organisation: &arrival.organisation,
            service: &arrival.service,
            prompt_tokens: arrival.prompt_tokens,
            max_tokens: arrival.max_tokens,
            fingerprint: arrival.fingerprint,
            prefixes: &arrival.prefixes,
            idempotency: arrival.rerun.repeat(),
            options: arrival.terms,
        }));
    }

    fn ended(
        &mut self,
        id: &Id,
        attempt: u32,
        end: End,
        first_token_ms: Option<u32>,
        stored: Option<&Stored>,
    ) {
        let tokens = self.requests.get(id).map_or(0, Running::delivered);
        self.handle_event(Event::AttemptEnded { id, attempt, end, tokens, first_token_ms, stored });
        if matches!(end, End::Complete | End::Cancelled) {
            self.requests.remove(id);
            self.requests.remove(&id.next_placement());
        }
    }

    /// Tells the traffic task of a running generation where its next leg starts.
    fn relocate(&mut self, from: &Id, start: Start) {
        let Some(running) = self.requests.get(from) else {
            return;
        };
        let next = Running {
            verdicts: running.verdicts.clone(),
            tokens: running.tokens.clone(),
            made: running.tokens.load(Ordering::Relaxed),
        };
        self.requests.insert(start.id.clone(), next);
        self.verdict(from, Verdict::Move(start));
    }

    fn moved(&mut self, from: &Id, to: &Id) {
        let Some(running) = self.requests.remove(from) else {
            return;
        };
        let tokens = running.delivered();
        if let Some(next) = self.requests.get_mut(to) {
            next.made = running.tokens.load(Ordering::Relaxed);
        }
        self.handle_event(Event::GenerationMoved { from, to, tokens });
    }

    fn apply(&mut self, input: Input) {
        match input {
            Input::Tick => self.handle_event(Event::Tick),
            Input::Arrive(arrival) => self.arrive(*arrival),
            Input::Began { id, attempt } => {
                self.handle_event(Event::SendStarted { id: &id, attempt })
            }
            Input::Ended { id, attempt, end, first_token_ms, stored } => {
                self.ended(&id, attempt, end, first_token_ms, stored.as_ref());
            }
            Input::Lost(id) => self.handle_event(Event::GenerationLost { id: &id }),
            Input::Moved { from, to } => self.moved(&from, &to),
            Input::Departed(id) => {
                self.handle_event(Event::CallerDisconnected { id: &id });
                self.requests.remove(&id);
                self.requests.remove(&id.next_placement());
            }
            Input::Report(target, report) => {
                let report = report.as_ref().map_err(|silence| *silence);
                self.handle_event(Event::Report { target: &target, report });
            }
            Input::Cache(target, batch) => {
                self.handle_event(Event::CacheEvents { target: &target, batch: &batch });
            }
            Input::Ordered(order, answer) => {
                let target = &order.target;
                self.handle_event(Event::OrderAnswered { target, order: &order, answer });
            }
            Input::Peer(from, message) => {
                self.handle_event(Event::Peer { from: &from, message: &message });
            }
            Input::Store(call, answer) => {
                self.handle_event(Event::Store { call, answer: &answer });
            }
            Input::Changes(delta) => self.handle_event(Event::Changes(&delta)),
            Input::Discovered(delta) => self.handle_event(Event::Discovered(&delta)),
            Input::Fed(rows, at) => {
                let at = self.millis(at);
                self.handle_event(Event::RowsRead { rows: &rows, at });
            }
            Input::Head(revision) => self.handle_event(Event::TableHead(revision)),
            Input::Current(at) => {
                let at = self.millis(at);
                self.handle_event(Event::TableCurrent { at });
            }
            Input::StoreDown => self.handle_event(Event::StoreDown),
            Input::Vms(vms) => self.handle_event(Event::Vms(&vms)),
            Input::Lift(fingerprint) => self.handle_event(Event::LiftQuarantine { fingerprint }),
            Input::Leaving => self.handle_event(Event::Leaving),
            Input::Stop => self.handle_event(Event::Drain),
            Input::Read(read) => (read.0)(self.kernel.state(), self.now()),
        }
    }
}

impl Handler<Input> for Actor {
    type Return = ();

    async fn handle(&mut self, input: Input, _ctx: &mut Context<Self>) {
        self.apply(input);
        self.account();
        self.dispatch();
    }
}

/// Increments the metric of a kernel counter.
fn count(counter: Counter) {
    match counter {
        Counter::Refusal(reason) => {
            metrics::counter!("hornbeamloom_refusals_total", "reason" => reason.as_str())
                .increment(1);
        }
        Counter::Retry(retry) => {
            metrics::counter!("hornbeamloom_retries_total", "reason" => retry.as_str())
                .increment(1);
        }
        Counter::Ignored(what) => {
            metrics::counter!("hornbeamloom_ignored_total", "input" => what).increment(1);
        }
        Counter::Event(what) => {
            metrics::counter!("hornbeamloom_events_total", "event" => what).increment(1);
        }
    }
}
