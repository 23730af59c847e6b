//! One request on the traffic side: from its arrival over its targets to its answer.
//!
//! [`call`] carries a request whose answer is a whole, [`stream`] one whose answer is a stream of
//! events. A stream may change its target while it runs: the memory of the generation is copied
//! while the old target goes on, the rest is copied when it has stopped, and the stream goes on at
//! the new target after the last event that the caller has. How targets are reached is left to the
//! adapter, which gives it as closures.

use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::outcome::{Ran, Reason, Refusal, Start};
use hornbeamloom_kernel::request::{End, Id, Terms};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::control::{Arrival, Control, Input, Rerun, Verdict};
use crate::metrics;

/// Events of a stream that wait for its caller; beyond that the target is read no further.
const EVENTS_MAX: usize = 32;
/// Longest wait for the last events of a target that has stopped, in milliseconds: they were sent
/// before the answer that says so.
const DRAIN: Duration = Duration::from_millis(300);

/// Silence of a stream after which its standby is asked to go on: engines give an event every few
/// hundredths of a second, and callers leave after two seconds at the least.
const SILENCE: Duration = Duration::from_secs(1);
/// Longest time for which the old target runs on while the standby takes over: the platform allows
/// 400 ms, and the answer of the standby is on its way within one of its steps.
const OVERLAP: Duration = Duration::from_millis(250);
/// Longest wait for a place at the standby of a generation whose target is lost.
const RECOVERY: Duration = Duration::from_secs(2);
/// Times that the last part of a copy is ordered again where its target has no room for it: memory
/// becomes free whenever a generation ends there, and the greater part has been copied.
const LAST_TRIES: u32 = 5;
/// Time between two such orders.
const LAST_PAUSE: Duration = Duration::from_millis(100);
/// Times that a generation is offered to its next target and to the one that stopped. Either may
/// refuse while the rest of the memory is on its way, and a refused offer has not run.
const RESUMES: u32 = 3;
/// Time between two such offers, in which a copy of what was made meanwhile arrives.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// A request as an adapter hands it over.
#[derive(Debug)]
pub struct Request {
    /// Its id.
    pub id: Id,
    /// Organisation of the caller's key.
    pub organisation: Name,
    /// Service called.
    pub service: Name,
    /// Prompt length in tokens; zero for a plain service.
    pub prompt_tokens: u32,
    /// Bound on the output in tokens.
    pub max_tokens: Option<u32>,
    /// Hash of everything that a target runs.
    pub fingerprint: u64,
    /// Whether it may be run again.
    pub rerun: Rerun,
    /// What its route says about it.
    pub terms: Terms,
}

/// A request between its arrival and its answer.
///
/// Dropping it tells the control thread that the caller went away.
#[derive(Debug)]
pub struct Session {
    control: Control,
    id: Id,
    verdicts: mpsc::UnboundedReceiver<Verdict>,
    tokens: Arc<AtomicU32>,
    arrived: Instant,
    may_have_run: Arc<AtomicBool>,
    is_open: bool,
}

impl Session {
    /// Hands a request to the control thread.
    pub fn new(control: &Control, request: Request) -> Session {
        let (sender, verdicts) = mpsc::unbounded_channel();
        let tokens = Arc::new(AtomicU32::new(0));
        let id = request.id.clone();
        control.tell(Input::Arrive(Box::new(Arrival {
            id: request.id,
            organisation: request.organisation,
            service: request.service,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            fingerprint: request.fingerprint,
            prefixes: Vec::new(),
            rerun: request.rerun,
            terms: request.terms,
            verdicts: sender,
            tokens: tokens.clone(),
        })));
        Session {
            control: control.clone(),
            id,
            verdicts,
            tokens,
            arrived: Instant::now(),
            may_have_run: Arc::default(),
            is_open: true,
        }
    }

    /// Becomes true when a byte of the request may have reached a target that did not reject it.
    pub fn may_have_run(&self) -> Arc<AtomicBool> {
        self.may_have_run.clone()
    }

    async fn verdict(&mut self) -> Verdict {
        match self.verdicts.recv().await {
            Some(verdict) => verdict,
            // The control thread is gone: the process is exiting.
            None => Verdict::Refuse(Refusal::new(Reason::ShuttingDown).with_ran(self.ran())),
        }
    }

    fn ran(&self) -> Ran {
        match self.may_have_run.load(Ordering::Relaxed) {
            true => Ran::Unknown,
            false => Ran::No,
        }
    }

    /// A byte of the request may leave from now on; gives back what was known before.
    fn began(&mut self, start: &Start) -> bool {
        let before = self.may_have_run.swap(true, Ordering::Relaxed);
        self.control.tell(Input::Began { id: start.id.clone(), attempt: start.attempt });
        before
    }

    /// Takes back that a byte may have left, where the target did not run it.
    fn settle(&self, end: End, before: bool) {
        if matches!(end, End::Rejected | End::Unsent) {
            self.may_have_run.store(before, Ordering::Relaxed);
        }
    }

    fn ended(&mut self, start: &Start, end: End, first_token_ms: Option<u32>) {
        self.control.tell(Input::Ended {
            id: start.id.clone(),
            attempt: start.attempt,
            end,
            first_token_ms,
            stored: None,
        });
    }

    /// The generation goes on in the leg of `start`.
    fn moved(&mut self, start: &Start) {
        let (from, to) = (self.id.clone(), start.id.clone());
        self.id = to.clone();
        self.control.tell(Input::Moved { from, to });
    }

    fn close(&mut self) {
        self.is_open = false;
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if self.is_open {
            self.control.tell(Input::Departed(self.id.clone()));
        }
    }
}

/// What came of sending a request to a target.
#[derive(Debug)]
pub enum Reply<A> {
    /// A whole answer.
    Answer(A),
    /// A whole answer that says that the target failed.
    Failed(A),
    /// The target says that it did not run the request.
    Rejected,
    /// No byte of the request left.
    Unsent,
    /// The connection broke, or the answer was not one: the request may have run.
    Broken,
}

impl<A> Reply<A> {
    /// How the attempt ended, and the answer if there is one.
    fn split(self) -> (End, Option<A>) {
        match self {
            Reply::Answer(answer) => (End::Complete, Some(answer)),
            Reply::Failed(answer) => (End::Failed, Some(answer)),
            Reply::Rejected => (End::Rejected, None),
            Reply::Unsent => (End::Unsent, None),
            Reply::Broken => (End::Broken, None),
        }
    }
}

/// Carries a request whose answer is a whole; a failed answer is given to the caller if the kernel
/// does not start the request again.
///
/// # Errors
///
/// The refusal of the kernel.
pub async fn call<A, F>(session: &mut Session, send: impl Fn(Start) -> F) -> Result<A, Refusal>
where
    F: Future<Output = Reply<A>>,
{
    let mut failed = None;
    loop {
        match session.verdict().await {
            Verdict::Start(start) => {
                let before = session.began(&start);
                let (end, answer) = send(start.clone()).await.split();
                session.settle(end, before);
                session.ended(&start, end, None);
                if end == End::Complete {
                    session.close();
                }
                match answer {
                    Some(answer) if end == End::Complete => return Ok(answer),
                    Some(answer) => failed = Some(answer),
                    None => {}
                }
            }
            Verdict::Refuse(refusal) => {
                session.close();
                return failed.ok_or(refusal);
            }
            Verdict::Move(_) | Verdict::Replay(_) => {}
        }
    }
}

/// One event of a stream.
#[derive(Debug, Clone)]
pub struct Event {
    /// Its place in the stream; grows by one.
    pub seq: u64,
    /// Tokens in it.
    pub tokens: u32,
    /// The bytes for the caller.
    pub bytes: Bytes,
}

/// The stream broke off before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the stream broke off")]
pub struct Cut;

/// A stream that a target has begun.
#[derive(Debug)]
pub struct Opened<A, S> {
    /// The head of the answer.
    pub head: A,
    /// Its events; it ends without an error only if the target has said that it is complete.
    pub events: S,
}

/// What came of opening a stream.
#[derive(Debug)]
pub enum Open<A, S> {
    /// It has begun.
    Stream(Opened<A, S>),
    /// There is no stream.
    Other(Reply<A>),
}

/// The memory that a generation goes on from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Memory {
    /// A copy that was ordered, by its handle.
    Copy(String),
    /// The copy of the run that its standby holds.
    Standby,
}

/// Where a generation goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Point {
    /// `IP:port` of the target that the memory comes from.
    pub source: String,
    /// Which memory.
    pub memory: Memory,
    /// The last event that the caller has.
    pub last: u64,
}

/// An order to copy the memory of a running generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Copy {
    /// `IP:port` of the target that runs it.
    pub source: String,
    /// `IP:port` of the target that gets the copy.
    pub destination: String,
    /// The source stops the generation before it copies.
    pub stops: bool,
}

/// Memory that was copied, or is kept by a target that has stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Copied {
    /// Names the copy.
    pub handle: String,
    /// The last event that the source has made.
    pub made: u64,
}

/// Why memory was not copied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyFault {
    /// There is no room or no way; with a handle where the source has stopped and keeps the memory.
    Refused(Option<String>),
    /// No answer: the source may have stopped.
    Unknown,
}

/// How an adapter reaches targets.
///
/// `open` starts a stream or goes on from a point, `copy` carries out an order, `release` frees the
/// copy that a source's address and a handle name.
#[derive(Debug, Clone)]
pub struct Link<O, C, R> {
    /// Starts a stream or goes on with it.
    pub open: O,
    /// Copies memory.
    pub copy: C,
    /// Frees a copy.
    pub release: R,
}

/// The caller's end of a stream.
#[derive(Debug)]
pub struct Caller<A> {
    answer: Option<oneshot::Sender<Result<Answer<A>, Refusal>>>,
    events: Option<mpsc::Receiver<Result<Bytes, Cut>>>,
    body: mpsc::Sender<Result<Bytes, Cut>>,
}

/// What the caller gets.
#[derive(Debug)]
pub enum Answer<A> {
    /// A whole answer.
    Whole(A),
    /// The head of a stream and its parts.
    Stream(A, mpsc::Receiver<Result<Bytes, Cut>>),
}

impl<A> Caller<A> {
    /// A caller's end, and where its answer comes out.
    pub fn new() -> (Caller<A>, oneshot::Receiver<Result<Answer<A>, Refusal>>) {
        let (answer, receiver) = oneshot::channel();
        let (body, events) = mpsc::channel(EVENTS_MAX);
        (Caller { answer: Some(answer), events: Some(events), body }, receiver)
    }

    fn begin(&mut self, head: A) {
        if let (Some(answer), Some(events)) = (self.answer.take(), self.events.take()) {
            // The caller may have left.
            let _ = answer.send(Ok(Answer::Stream(head, events)));
        }
    }

    fn give(&mut self, result: Result<A, Refusal>) {
        if let Some(answer) = self.answer.take() {
            // The caller may have left.
            let _ = answer.send(result.map(Answer::Whole));
        }
    }

    /// Resolves when the caller went away.
    async fn left(&mut self) {
        match &mut self.answer {
            Some(answer) => answer.closed().await,
            None => self.body.closed().await,
        }
    }

    /// Breaks the answer off, so that it cannot pass for a whole one.
    async fn cut(&mut self) {
        // The caller may have left.
        let _ = self.body.send(Err(Cut)).await;
    }
}

/// The target that a stream comes from.
struct Leg<S> {
    start: Start,
    events: S,
}

impl<S> Leg<S> {
    /// Whether a target holds the copy that was made ahead.
    fn has_standby(&self, target: &str) -> bool {
        self.start.standby.as_ref().is_some_and(|standby| *standby.target == *target)
    }
}

/// What has been reached of a move.
#[derive(Debug)]
struct Transfer {
    start: Start,
    stops: bool,
    /// Orders of this kind before this one.
    tries: u32,
    /// The copy made while the source went on.
    handle: Option<String>,
    /// The generation goes on from the copy without the answer to this order.
    is_used: Arc<AtomicBool>,
    result: oneshot::Receiver<Result<Copied, CopyFault>>,
}

/// How the reading of one leg ended.
enum Next {
    /// The stream is complete.
    Complete,
    /// The caller went away.
    Left,
    /// The leg broke off and no copy was ordered.
    Cut,
    /// The generation goes on in another leg, or at a source that had stopped, from a copy.
    Go(Start, String),
    /// It goes on at the standby, while the leg still runs.
    Standby(Start),
}

/// What came of going on elsewhere.
enum Followed<S> {
    /// The generation goes on.
    On(Leg<S>),
    /// It is lost with the leg of this start; a copy that was not used may be left.
    Lost(Start, Option<String>),
}

/// Carries a request whose answer is a stream.
pub async fn stream<A, S, O, C, R, OF, CF, RF>(
    mut session: Session,
    link: Link<O, C, R>,
    mut caller: Caller<A>,
) where
    S: Stream<Item = Result<Event, Cut>> + Unpin,
    O: Fn(Start, Option<Point>) -> OF,
    OF: Future<Output = Open<A, S>>,
    C: Fn(Copy) -> CF + Clone + Send + 'static,
    CF: Future<Output = Result<Copied, CopyFault>> + Send,
    R: Fn(String, String) -> RF + Clone + Send + 'static,
    RF: Future<Output = ()> + Send + 'static,
{
    let Some((start, opened)) = first(&mut session, &link.open, &mut caller).await else {
        return;
    };
    caller.begin(opened.head);
    let mut run = Run {
        session,
        caller,
        copy: link.copy,
        release: link.release,
        last: 0,
        first: None,
        event_at: None,
        longest_gap: Duration::ZERO,
    };
    let mut leg = Leg { start, events: opened.events };
    loop {
        let next = match run.read(&mut leg).await {
            Next::Complete => return run.complete(&leg.start),
            Next::Left => return,
            next => next,
        };
        let followed = tokio::select! {
            followed = follow(&mut run.session, &link.open, leg, next, run.last) => followed,
            _ = run.caller.left() => return,
        };
        leg = match followed {
            Followed::On(leg) => leg,
            Followed::Lost(start, handle) => {
                run.free(&start, handle);
                return run.fail(&start).await;
            }
        };
    }
}

/// Goes on with a generation whose leg is over or about to be.
async fn follow<A, S, O, OF>(
    session: &mut Session,
    open: &O,
    leg: Leg<S>,
    next: Next,
    last: u64,
) -> Followed<S>
where
    O: Fn(Start, Option<Point>) -> OF,
    OF: Future<Output = Open<A, S>>,
{
    match next {
        Next::Go(next, handle) => {
            let Leg { start, events } = leg;
            let source = start.address.clone();
            // The old connection must be gone before another target carries the generation.
            drop(events);
            let point = Point { source, memory: Memory::Copy(handle.clone()), last };
            go_on(session, open, start, next, point, handle).await
        }
        Next::Standby(next) => overlap(session, open, leg, next, last).await,
        _ if leg.start.standby.is_some() => recover(session, open, leg, last).await,
        _ => Followed::Lost(leg.start, None),
    }
}

/// Goes on from a copy at the target of `next`, or where that refuses at the one that had stopped.
async fn go_on<A, S, O, OF>(
    session: &mut Session,
    open: &O,
    stopped: Start,
    next: Start,
    point: Point,
    handle: String,
) -> Followed<S>
where
    O: Fn(Start, Option<Point>) -> OF,
    OF: Future<Output = Open<A, S>>,
{
    let is_elsewhere = next.id != stopped.id;
    for round in 0..RESUMES {
        if round > 0 {
            tokio::time::sleep(RESUME_PAUSE).await;
        }
        match open(next.clone(), Some(point.clone())).await {
            Open::Stream(opened) => {
                if is_elsewhere {
                    session.moved(&next);
                }
                return Followed::On(Leg { start: next, events: opened.events });
            }
            Open::Other(Reply::Rejected | Reply::Unsent) => {}
            Open::Other(_) => break,
        }
        log::warn!("request={} target={} did not go on with the copy", next.id, next.target);
        if !is_elsewhere {
            continue;
        }
        match open(stopped.clone(), Some(point.clone())).await {
            Open::Stream(opened) => {
                session.ended(&next, End::Unsent, None);
                return Followed::On(Leg { start: stopped, events: opened.events });
            }
            Open::Other(Reply::Rejected | Reply::Unsent) => {}
            Open::Other(_) => break,
        }
    }
    if is_elsewhere {
        session.ended(&next, End::Unsent, None);
    }
    Followed::Lost(stopped, Some(handle))
}

/// Goes on at the standby and leaves the old target as soon as that has taken over.
///
/// The standby may hold nothing and refuse; the generation then stays where it is.
async fn overlap<A, S, O, OF>(
    session: &mut Session,
    open: &O,
    leg: Leg<S>,
    next: Start,
    last: u64,
) -> Followed<S>
where
    O: Fn(Start, Option<Point>) -> OF,
    OF: Future<Output = Open<A, S>>,
{
    let point = Point { source: next.address.clone(), memory: Memory::Standby, last };
    let opening = open(next.clone(), Some(point));
    tokio::pin!(opening);
    let mut old = Some(leg.events);
    let opened = tokio::select! {
        opened = &mut opening => opened,
        () = tokio::time::sleep(OVERLAP) => {
            // It has been taken over, or it would have been refused by now.
            old = None;
            opening.await
        }
    };
    match (opened, old) {
        (Open::Stream(opened), _) => {
            session.moved(&next);
            Followed::On(Leg { start: next, events: opened.events })
        }
        (Open::Other(_), Some(events)) => {
            log::info!("request={} standby={} holds no copy", next.id, next.target);
            session.ended(&next, End::Unsent, None);
            let start = Start { standby: None, ..leg.start };
            Followed::On(Leg { start, events })
        }
        (Open::Other(_), None) => {
            session.ended(&next, End::Unsent, None);
            Followed::Lost(leg.start, None)
        }
    }
}

/// Goes on at the standby of a leg that broke off, once its owner has granted the place.
async fn recover<A, S, O, OF>(
    session: &mut Session,
    open: &O,
    leg: Leg<S>,
    last: u64,
) -> Followed<S>
where
    O: Fn(Start, Option<Point>) -> OF,
    OF: Future<Output = Open<A, S>>,
{
    let Leg { start, events } = leg;
    drop(events);
    log::info!("request={} target={} lost: asks for its standby", start.id, start.target);
    session.control.tell(Input::Lost(start.id.clone()));
    let end = Instant::now() + RECOVERY;
    while let Ok(Some(verdict)) = tokio::time::timeout_at(end, session.verdicts.recv()).await {
        let Verdict::Move(next) = verdict else {
            continue;
        };
        let is_standby =
            start.standby.as_ref().is_some_and(|standby| standby.target == next.target);
        if is_standby {
            let point = Point { source: next.address.clone(), memory: Memory::Standby, last };
            if let Open::Stream(opened) = open(next.clone(), Some(point)).await {
                session.moved(&next);
                return Followed::On(Leg { start: next, events: opened.events });
            }
        }
        session.ended(&next, End::Unsent, None);
        break;
    }
    Followed::Lost(start, None)
}

/// Opens the stream at its first target; `None` if the caller has its answer or went away.
async fn first<A, S, O, OF>(
    session: &mut Session,
    open: &O,
    caller: &mut Caller<A>,
) -> Option<(Start, Opened<A, S>)>
where
    O: Fn(Start, Option<Point>) -> OF,
    OF: Future<Output = Open<A, S>>,
{
    loop {
        let verdict = tokio::select! {
            verdict = session.verdict() => verdict,
            _ = caller.left() => return None,
        };
        let start = match verdict {
            Verdict::Start(start) => start,
            Verdict::Refuse(refusal) => {
                session.close();
                caller.give(Err(refusal));
                return None;
            }
            Verdict::Move(_) | Verdict::Replay(_) => continue,
        };
        let before = session.began(&start);
        let opened = tokio::select! {
            opened = open(start.clone(), None) => opened,
            _ = caller.left() => return None,
        };
        match opened {
            Open::Stream(opened) => return Some((start, opened)),
            Open::Other(reply) => {
                let (end, answer) = reply.split();
                session.settle(end, before);
                let Some(answer) = answer else {
                    session.ended(&start, end, None);
                    continue;
                };
                // An answer without a stream is the target's last word about the request.
                session.ended(&start, End::Complete, None);
                session.close();
                caller.give(Ok(answer));
                return None;
            }
        }
    }
}

/// A stream that has begun.
struct Run<A, C, R> {
    session: Session,
    caller: Caller<A>,
    copy: C,
    release: R,
    /// The last event that the caller has.
    last: u64,
    /// Time to the first event in milliseconds.
    first: Option<u32>,
    /// When the last event came.
    event_at: Option<Instant>,
    /// Longest time between two events.
    longest_gap: Duration,
}

impl<A, C, R, CF, RF> Run<A, C, R>
where
    C: Fn(Copy) -> CF + Clone + Send + 'static,
    CF: Future<Output = Result<Copied, CopyFault>> + Send,
    R: Fn(String, String) -> RF + Clone + Send + 'static,
    RF: Future<Output = ()> + Send + 'static,
{
    /// Passes events on until the leg ends in some way.
    async fn read<S>(&mut self, leg: &mut Leg<S>) -> Next
    where
        S: Stream<Item = Result<Event, Cut>> + Unpin,
    {
        let mut transfer: Option<Transfer> = None;
        let mut may_ask = leg.start.standby.is_some();
        loop {
            let silent_at = self.event_at.unwrap_or_else(Instant::now) + SILENCE;
            let is_still = transfer.is_none();
            let copied = async {
                match &mut transfer {
                    Some(transfer) => (&mut transfer.result).await.ok(),
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                event = leg.events.next() => match event {
                    Some(Ok(event)) => {
                        if !self.deliver(event).await {
                            return Next::Left;
                        }
                    }
                    Some(Err(Cut)) => return self.broke(transfer),
                    None => {
                        self.drop_copy(leg, transfer);
                        return Next::Complete;
                    }
                },
                copied = copied => {
                    let Some(done) = transfer.take() else {
                        continue;
                    };
                    match self.advance(leg, done, copied).await {
                        Step::Wait(next) => transfer = next,
                        Step::Go(next) => return next,
                    }
                }
                verdict = self.session.verdicts.recv(), if is_still => match verdict {
                    Some(Verdict::Move(start)) if leg.has_standby(&start.target) => {
                        return Next::Standby(start);
                    }
                    Some(Verdict::Move(start)) => {
                        transfer = Some(self.transfer(leg, start, false, 0, None));
                    }
                    // A leg that is given up leaves the generation where it is.
                    Some(_) => {}
                    None => return Next::Cut,
                },
                () = tokio::time::sleep_until(silent_at), if may_ask && is_still => {
                    // The link or the target may be dead without a reset; the standby can tell.
                    may_ask = false;
                    let start = &leg.start;
                    log::info!("request={} target={} silent: asks for its standby", start.id, start.target);
                    self.session.control.tell(Input::Lost(start.id.clone()));
                }
                _ = self.caller.left() => {
                    self.drop_copy(leg, transfer);
                    return Next::Left;
                }
            }
        }
    }

    /// Passes one event on; false if the caller went away.
    async fn deliver(&mut self, event: Event) -> bool {
        // A target that goes on from a copy may repeat what the caller has.
        if event.seq <= self.last && self.last > 0 {
            return true;
        }
        if self.first.is_none() {
            let since = self.session.arrived.elapsed();
            metrics::first_token(since);
            self.first = Some(u32::try_from(since.as_millis()).unwrap_or(u32::MAX));
        }
        let now = Instant::now();
        if let Some(before) = self.event_at.replace(now) {
            let gap = now - before;
            metrics::token_gap(gap);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.last = event.seq;
        self.session.tokens.fetch_add(event.tokens, Ordering::Relaxed);
        self.caller.body.send(Ok(event.bytes)).await.is_ok()
    }

    /// Orders a copy in a task of its own, which frees it if nobody waits for it any more.
    fn transfer<S>(
        &self,
        leg: &Leg<S>,
        start: Start,
        stops: bool,
        tries: u32,
        handle: Option<String>,
    ) -> Transfer {
        let (done, result) = oneshot::channel();
        let source = leg.start.address.clone();
        let destination = start.address.clone();
        log::info!(
            "request={} copy from={} to={} stops={stops} last={}",
            start.id,
            leg.start.target,
            start.target,
            self.last
        );
        let order = Copy { source: source.clone(), destination, stops };
        let (copy, release) = (self.copy.clone(), self.release.clone());
        let is_used = Arc::new(AtomicBool::new(false));
        let is_needed = is_used.clone();
        tokio::spawn(async move {
            if tries > 0 {
                tokio::time::sleep(LAST_PAUSE).await;
            }
            let result = copy(order).await;
            let unused = done.send(result).err().and_then(Result::ok);
            if let Some(unused) = unused.filter(|_| !is_needed.load(Ordering::Relaxed)) {
                release(source, unused.handle).await;
            }
        });
        Transfer { start, stops, tries, handle, is_used, result }
    }

    /// Goes on after a copy was made or refused.
    async fn advance<S>(
        &mut self,
        leg: &mut Leg<S>,
        done: Transfer,
        copied: Option<Result<Copied, CopyFault>>,
    ) -> Step
    where
        S: Stream<Item = Result<Event, Cut>> + Unpin,
    {
        match copied {
            Some(Ok(copied)) if !done.stops => {
                let next = self.transfer(leg, done.start, true, 0, Some(copied.handle));
                Step::Wait(Some(next))
            }
            Some(Ok(copied)) => Step::Go(match self.drain(leg, copied.made).await {
                true => Next::Go(done.start, copied.handle),
                false => Next::Left,
            }),
            Some(Err(CopyFault::Refused(Some(handle)))) if done.stops => {
                // The source has stopped and keeps the memory.
                self.session.ended(&done.start, End::Unsent, None);
                let is_here = self.drain(leg, u64::MAX).await;
                Step::Go(match is_here {
                    true => Next::Go(leg.start.clone(), handle),
                    false => Next::Left,
                })
            }
            Some(Err(CopyFault::Refused(None))) if done.stops && done.tries < LAST_TRIES => {
                let tries = done.tries + 1;
                Step::Wait(Some(self.transfer(leg, done.start, true, tries, done.handle)))
            }
            _ => {
                self.session.ended(&done.start, End::Unsent, None);
                self.free(&leg.start, done.handle);
                Step::Wait(None)
            }
        }
    }

    /// Passes on what a target that has stopped had made; false if the caller went away.
    async fn drain<S>(&mut self, leg: &mut Leg<S>, made: u64) -> bool
    where
        S: Stream<Item = Result<Event, Cut>> + Unpin,
    {
        let end = Instant::now() + DRAIN;
        while self.last < made {
            match tokio::time::timeout_at(end, leg.events.next()).await {
                Ok(Some(Ok(event))) => {
                    if !self.deliver(event).await {
                        return false;
                    }
                }
                // The stream of a target that has stopped breaks off.
                Ok(Some(Err(Cut)) | None) | Err(_) => break,
            }
        }
        true
    }

    /// The leg broke off: goes on from a copy if there is one.
    fn broke(&self, transfer: Option<Transfer>) -> Next {
        let Some(transfer) = transfer else {
            return Next::Cut;
        };
        // A target that has stopped by order breaks its stream off at once, while the rest of its
        // memory may wait long for the link. The next target reads what the copy lacks by itself.
        match transfer.handle {
            Some(handle) => {
                transfer.is_used.store(true, Ordering::Relaxed);
                Next::Go(transfer.start, handle)
            }
            None => Next::Cut,
        }
    }

    /// Frees the copy of a generation that ended.
    fn drop_copy<S>(&self, leg: &Leg<S>, transfer: Option<Transfer>) {
        self.free(&leg.start, transfer.and_then(|transfer| transfer.handle));
    }

    fn free(&self, source: &Start, handle: Option<String>) {
        if let Some(handle) = handle {
            let release = (self.release)(source.address.clone(), handle);
            tokio::spawn(release);
        }
    }

    fn complete(&mut self, start: &Start) {
        self.note(start, "complete");
        self.session.ended(start, End::Complete, self.first);
        self.session.close();
    }

    fn note(&self, start: &Start, end: &'static str) {
        log::info!(
            "request={} stream={end} target={} events={} first_ms={} longest_gap_ms={}",
            start.id,
            start.target,
            self.last,
            self.first.unwrap_or(0),
            self.longest_gap.as_millis()
        );
    }

    async fn fail(&mut self, start: &Start) {
        self.note(start, "lost");
        self.session.ended(start, End::Broken, self.first);
        self.session.close();
        self.caller.cut().await;
    }
}

/// What follows from a copy.
enum Step {
    /// The source goes on; another copy may be on its way.
    Wait(Option<Transfer>),
    /// The leg is over.
    Go(Next),
}
