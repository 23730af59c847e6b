//! Carries a stream of events from its targets to its caller.
//!
//! A stream may change its target while it runs: the memory of the generation is copied while the
//! old target goes on, the rest is copied when it has stopped, and the stream goes on at the new
//! target after the last event that the caller has. Where a standby holds the memory, the stream
//! goes on there without a copy. How targets are reached is left to the adapter, which gives it as
//! closures.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_util::{Stream, StreamExt};
use hornbeamloom_kernel::outcome::Start;
use hornbeamloom_kernel::request::End;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::control::{Decision, Input};
use crate::delivery::Caller;
use crate::generation::{Copied, Copy, CopyFault, Cut, Event, Link, Open, Opened, Point};
use crate::metrics;
use crate::resume::{follow, Followed, Leg, Next};
use crate::session::Session;

/// Longest wait for the last events of a target that has stopped, in milliseconds: they were sent
/// before the answer that says so.
const DRAIN: Duration = Duration::from_millis(300);

/// Silence of a stream after which its standby is asked to go on: engines give an event every few
/// hundredths of a second, and callers leave after two seconds at the least.
const SILENCE: Duration = Duration::from_secs(1);
/// Times that the last part of a copy is ordered again where its target has no room for it: memory
/// becomes free whenever a generation ends there, and the greater part has been copied.
const LAST_TRIES: u32 = 5;
/// Time between two such orders.
const LAST_PAUSE: Duration = Duration::from_millis(100);

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
            Decision::Start(start) => start,
            Decision::Refuse(refusal) => {
                session.close();
                caller.give(Err(refusal));
                return None;
            }
            Decision::Move(_) | Decision::Replay(_) => continue,
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
        // The silence of an earlier target is not that of this one.
        let began = Instant::now();
        loop {
            let silent_at = self.event_at.map_or(began, |at| at.max(began)) + SILENCE;
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
                    Some(Decision::Move(start)) if leg.has_standby(&start.target) => {
                        return Next::Standby(start);
                    }
                    Some(Decision::Move(start)) => {
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
                    self.session.control.tell(Input::StreamLost(start.id.clone()));
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
            metrics::record_first_token(since);
            self.first = Some(u32::try_from(since.as_millis()).unwrap_or(u32::MAX));
        }
        let now = Instant::now();
        if let Some(before) = self.event_at.replace(now) {
            let gap = now - before;
            metrics::record_token_gap(gap);
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
