//! Forwards an event stream from its targets to its caller.
//!
//! A stream can move to another target while it runs. The KV cache of the generation is copied
//! while the old target keeps generating, the rest is copied after the old target has stopped, and
//! the stream resumes at the new target after the last event delivered to the caller. If a standby
//! holds the KV cache, the stream resumes there without a copy. A stream of a resumable route that
//! broke off without a copy is run again after the last event delivered to the caller. The adapter
//! supplies the calls to targets as closures.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_util::{Stream, StreamExt};
use hornbeamloom_kernel::outcome::Start;
use hornbeamloom_kernel::request::End;
use hornbeamloom_kernel::stream::{Accept, Position};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::continuation::{continue_elsewhere, Continuation, Placement, PlacementEnd};
use crate::control::{Decision, Input};
use crate::delivery::ResponseSender;
use crate::generation::{
    CopyError, CopyRequest, Event, KvCopy, OpenResult, Resumable, ResumePoint, StreamEnd,
    TargetClient,
};
use crate::handover::Handover;
use crate::metrics;
use crate::opening::open_first;
use crate::session::Session;
use crate::stop::Tracker;

/// Time limit for the last events of a stopped target, which were sent before the response that
/// reports the stop.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for a target whose stream has ended to refuse a request to stop it. A target that has
/// stopped may need longer, because it responds only after the copy.
const STOP_REFUSAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without an event after which the standby is asked to take over. Engines send an event
/// every few hundredths of a second, but a sound one may be silent for a second or so. Callers
/// disconnect after two seconds at the earliest.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_250);
/// Retries of the final part of a copy while the destination has no room for it. Memory becomes
/// free whenever a generation ends there, and the greater part has already been copied.
const MAX_FINAL_COPY_RETRIES: u32 = 5;
/// Delay before each of these retries.
const FINAL_COPY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The copy in progress during a move to another target.
#[derive(Debug)]
struct PendingCopy {
    start: Start,
    stops_source: bool,
    /// Number of earlier requests for this part of the copy.
    retries: u32,
    /// Handle of the copy made while the source kept generating.
    live_copy: Option<String>,
    /// Set when the generation resumes before this request is answered; the copy that it makes must
    /// then not be released.
    is_in_use: Arc<AtomicBool>,
    result: oneshot::Receiver<Result<KvCopy, CopyError>>,
}

/// Runs a request whose response is an event stream. `resumable` is given on a resumable route.
pub async fn run<A, S, O, C, R, Q, OF, CF, RF, QF>(
    mut session: Session,
    targets: TargetClient<O, C, R, Q>,
    resumable: Option<Resumable>,
    mut response: ResponseSender<A>,
) where
    S: Stream<Item = Result<Event, StreamEnd>> + Unpin,
    O: Fn(Start, Option<ResumePoint>) -> OF,
    OF: Future<Output = OpenResult<A, S>>,
    C: Fn(CopyRequest) -> CF + Clone + Send + 'static,
    CF: Future<Output = Result<KvCopy, CopyError>> + Send,
    R: Fn(Start, String) -> RF + Clone + Send + 'static,
    RF: Future<Output = ()> + Send + 'static,
    Q: Fn(Start) -> QF,
    QF: Future<Output = Option<bool>>,
{
    let caller_last_event = resumable.and_then(|resumable| resumable.last_event);
    let point = caller_last_event.map(|last_event| ResumePoint { kv: None, last_event });
    let mut stops = Tracker::new(targets.copy.clone(), targets.release.clone());
    let first =
        open_first(&mut session, &targets.open, point.as_ref(), &mut stops, &mut response).await;
    let Some((start, opened)) = first else {
        return;
    };
    response.start_stream(opened.head);
    let mut proxy = StreamProxy {
        session,
        response,
        copy: targets.copy.clone(),
        release: targets.release.clone(),
        stops,
        resumable,
        position: Position::new(caller_last_event),
        first_event_ms: None,
        is_first_event_reported: false,
        last_event_at: None,
        longest_gap: Duration::ZERO,
        is_first_event: true,
    };
    let mut placement = Placement::new(start, opened.events);
    loop {
        proxy.is_first_event = true;
        let placement_end = match proxy.forward_events(&mut placement).await {
            PlacementEnd::OfferToStandby(next) => {
                match proxy.offer_to_standby(&targets, placement, next).await {
                    Handover::Continued(continued) => placement = continued,
                    Handover::Kept(kept) => {
                        placement = kept;
                        continue;
                    }
                    Handover::Complete(start) => return proxy.complete(&start),
                    Handover::CallerGone => return,
                    Handover::Lost(start) => match proxy.rerun(&targets.open, &start).await {
                        Some(rerun) => placement = rerun,
                        None => return,
                    },
                }
                proxy.position.begin_run();
                continue;
            }
            PlacementEnd::Complete => return proxy.complete(&placement.start),
            PlacementEnd::CallerGone => return,
            placement_end => placement_end,
        };
        let unused_copy = match &placement_end {
            PlacementEnd::ResumeFromCopy(_, handle) => Some(handle.clone()),
            _ => None,
        };
        let source = placement.start.clone();
        let last_event = proxy.last_event();
        let continuation = tokio::select! {
            continuation = continue_elsewhere(
                &mut proxy.session,
                &targets,
                &mut proxy.stops,
                placement,
                placement_end,
                last_event,
                proxy.last_event_at,
            ) => continuation,
            _ = proxy.response.closed() => return proxy.release_handle(&source, unused_copy),
        };
        placement = match continuation {
            Continuation::Resumed(placement) => placement,
            Continuation::Lost(start, handle) => {
                proxy.release_handle(&start, handle);
                match proxy.rerun(&targets.open, &start).await {
                    Some(rerun) => rerun,
                    None => return,
                }
            }
        };
        proxy.position.begin_run();
    }
}

/// A stream that has started.
pub(crate) struct StreamProxy<A, C, R> {
    pub(crate) session: Session,
    pub(crate) response: ResponseSender<A>,
    copy: C,
    release: R,
    /// Targets that the generation has left.
    pub(crate) stops: Tracker<C, R>,
    /// Set on a resumable route.
    pub(crate) resumable: Option<Resumable>,
    /// What the caller has, from this response or an earlier one, and what the current target has
    /// sent.
    pub(crate) position: Position,
    /// Time from the arrival of the request to the first event, in milliseconds.
    pub(crate) first_event_ms: Option<u32>,
    /// The first event belongs to an attempt whose end was reported.
    pub(crate) is_first_event_reported: bool,
    /// When the last event arrived.
    last_event_at: Option<Instant>,
    /// Longest time between two events.
    longest_gap: Duration,
    /// The current target has not sent an event yet.
    is_first_event: bool,
}

/// What became of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// The caller has it.
    Delivered,
    /// The caller has disconnected.
    CallerGone,
    /// It was not delivered, because it does not follow the one before.
    Gap,
}

impl<A, C, R> StreamProxy<A, C, R> {
    /// Forwards one event, unless the caller already has it. Targets that resume from a copy, or that
    /// ignore the point from which a rerun resumes, may repeat events.
    pub(crate) async fn deliver(&mut self, event: Event) -> Delivery {
        let before = self.position;
        match self.position.accept(event.seq) {
            Accept::Deliver => {}
            Accept::Duplicate => return Delivery::Delivered,
            Accept::Gap | Accept::OtherGeneration => {
                let id = self.session.id();
                log::warn!("request={id} event {} does not follow: {before:?}", event.seq);
                return Delivery::Gap;
            }
        }
        if self.first_event_ms.is_none() {
            let since = self.session.arrived_at.elapsed();
            metrics::record_first_token(since);
            self.first_event_ms = Some(u32::try_from(since.as_millis()).unwrap_or(u32::MAX));
        }
        let now = Instant::now();
        if let Some(previous) = self.last_event_at.replace(now) {
            let gap = now - previous;
            metrics::record_token_gap(gap);
            self.longest_gap = self.longest_gap.max(gap);
            // The gap before the first event of a next target is not that target's pace.
            if !self.is_first_event {
                self.session.pace.record(gap);
            }
        }
        self.is_first_event = false;
        self.session.delivered_tokens.fetch_add(event.tokens, Ordering::Relaxed);
        match self.response.body.send(Ok(event.bytes)).await {
            Ok(()) => Delivery::Delivered,
            Err(_) => Delivery::CallerGone,
        }
    }

    /// Sequence number of the last event that the caller has, or 0.
    pub(crate) fn last_event(&self) -> u64 {
        self.position.last().unwrap_or(0)
    }

    pub(crate) fn log_end(&self, start: &Start, end: &'static str) {
        log::info!(
            "request={} stream={end} target={} events={} first_ms={} longest_gap_ms={}",
            start.id,
            start.target,
            self.last_event(),
            self.first_event_ms.unwrap_or(0),
            self.longest_gap.as_millis()
        );
    }

    pub(crate) async fn fail(&mut self, start: &Start) {
        self.log_end(start, "lost");
        self.session.end_attempt(start, End::Broken, self.first_event_ms);
        self.session.close();
        self.response.abort().await;
    }
}

impl<A, C, R, CF, RF> StreamProxy<A, C, R>
where
    C: Fn(CopyRequest) -> CF + Clone + Send + 'static,
    CF: Future<Output = Result<KvCopy, CopyError>> + Send,
    R: Fn(Start, String) -> RF + Clone + Send + 'static,
    RF: Future<Output = ()> + Send + 'static,
{
    /// Forwards events until the placement ends.
    async fn forward_events<S>(&mut self, placement: &mut Placement<S>) -> PlacementEnd
    where
        S: Stream<Item = Result<Event, StreamEnd>> + Unpin,
    {
        let mut pending: Option<PendingCopy> = None;
        let mut may_request_standby = placement.start.standby.is_some();
        // A stall of an earlier target does not count against this one.
        let placement_started_at = Instant::now();
        loop {
            let stalls_at =
                self.last_event_at.map_or(placement_started_at, |at| at.max(placement_started_at))
                    + STALL_TIMEOUT;
            let no_copy_pending = pending.is_none();
            let copied = async {
                match &mut pending {
                    Some(pending) => (&mut pending.result).await.ok(),
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                event = placement.events.next() => match event {
                    Some(Ok(event)) => match self.deliver(event).await {
                        Delivery::Delivered => {}
                        Delivery::CallerGone => return PlacementEnd::CallerGone,
                        Delivery::Gap => return self.on_truncated(placement, pending),
                    },
                    Some(Err(StreamEnd::Truncated)) => {
                        return self.on_truncated(placement, pending);
                    }
                    Some(Err(StreamEnd::Closed)) => {
                        return self.on_closed(placement, pending).await;
                    }
                    None if self.position.ends_early() => return self.on_truncated(placement, pending),
                    None => {
                        self.release_pending(placement, pending);
                        return PlacementEnd::Complete;
                    }
                },
                copied = copied => {
                    let Some(done) = pending.take() else {
                        continue;
                    };
                    placement.may_be_stopped |= done.stops_source
                        && matches!(copied, None | Some(Err(CopyError::Unknown)));
                    match self.on_copy_done(placement, done, copied).await {
                        CopyStep::KeepReading(next) => pending = next,
                        CopyStep::EndPlacement(placement_end) => return placement_end,
                    }
                }
                decision = self.session.decisions.recv(), if no_copy_pending => match decision {
                    // A late stop order would end the new run as well. The kernel asks again.
                    Some(Decision::Move(start)) if self.stops.is_stopping(&start.target) => {
                        self.session.end_attempt(&start, End::Unsent, None);
                    }
                    Some(Decision::Move(start)) if placement.is_standby(&start.target) => {
                        return PlacementEnd::OfferToStandby(start);
                    }
                    Some(Decision::Move(start)) => {
                        pending = Some(self.spawn_copy(placement, start, false, 0, None));
                    }
                    // A move that is given up leaves the generation where it is.
                    Some(_) => {}
                    None => return PlacementEnd::Truncated,
                },
                () = tokio::time::sleep_until(stalls_at),
                    if may_request_standby && no_copy_pending =>
                {
                    // The connection or the target may have failed without a reset; the standby can
                    // determine that.
                    may_request_standby = false;
                    let start = &placement.start;
                    log::info!(
                        "request={} target={} stream stalled; requesting takeover by its standby",
                        start.id,
                        start.target
                    );
                    self.session.control.tell(Input::GenerationLost(start.id.clone()));
                }
                _ = self.response.closed() => {
                    self.release_pending(placement, pending);
                    return PlacementEnd::CallerGone;
                }
            }
        }
    }

    /// Requests a copy in a separate task, which releases it if nothing waits for it any more.
    fn spawn_copy<S>(
        &self,
        placement: &Placement<S>,
        start: Start,
        stops_source: bool,
        retries: u32,
        live_copy: Option<String>,
    ) -> PendingCopy {
        let (done, result) = oneshot::channel();
        let source = placement.start.clone();
        log::info!(
            "request={} copy from={} to={} stops={stops_source} last={}",
            start.id,
            placement.start.target,
            start.target,
            self.last_event()
        );
        let request = CopyRequest {
            source_target: source.target.clone(),
            source: source.address.clone(),
            destination: start.address.clone(),
            stops_source,
        };
        let (copy, release) = (self.copy.clone(), self.release.clone());
        let is_in_use = Arc::new(AtomicBool::new(false));
        let in_use = is_in_use.clone();
        tokio::spawn(async move {
            if retries > 0 {
                tokio::time::sleep(FINAL_COPY_RETRY_DELAY).await;
            }
            let result = copy(request).await;
            let orphan = done.send(result).err().and_then(Result::ok);
            if let Some(orphan) = orphan.filter(|_| !in_use.load(Ordering::Relaxed)) {
                release(source, orphan.handle).await;
            }
        });
        PendingCopy { start, stops_source, retries, live_copy, is_in_use, result }
    }

    /// Continues after a copy was made or refused.
    async fn on_copy_done<S>(
        &mut self,
        placement: &mut Placement<S>,
        done: PendingCopy,
        copied: Option<Result<KvCopy, CopyError>>,
    ) -> CopyStep
    where
        S: Stream<Item = Result<Event, StreamEnd>> + Unpin,
    {
        match copied {
            Some(Ok(copied)) if !done.stops_source => {
                let next = self.spawn_copy(placement, done.start, true, 0, Some(copied.handle));
                CopyStep::KeepReading(Some(next))
            }
            Some(Ok(copied)) => {
                let is_caller_connected = self.drain(placement, copied.last_generated).await;
                CopyStep::EndPlacement(match is_caller_connected {
                    true => PlacementEnd::ResumeFromCopy(done.start, copied.handle),
                    false => self.free_copy(placement, copied.handle),
                })
            }
            Some(Err(CopyError::Refused(Some(handle)))) if done.stops_source => {
                // The source has stopped. It retains the KV cache, and the destination holds the
                // first copy and can read the rest by itself.
                let is_caller_connected = self.drain(placement, u64::MAX).await;
                CopyStep::EndPlacement(match is_caller_connected {
                    true => PlacementEnd::ResumeFromCopy(done.start, handle),
                    false => self.free_copy(placement, handle),
                })
            }
            // An engine that gave no response may be gone. The first copy is kept until its stream
            // shows that: the end of the stream can be noticed later than that of the request.
            Some(Err(CopyError::NotRunning | CopyError::Refused(None) | CopyError::Unknown))
                if done.stops_source && done.retries < MAX_FINAL_COPY_RETRIES =>
            {
                let retries = done.retries + 1;
                CopyStep::KeepReading(Some(self.spawn_copy(
                    placement,
                    done.start,
                    true,
                    retries,
                    done.live_copy,
                )))
            }
            _ => {
                self.session.end_attempt(&done.start, End::Unsent, None);
                self.release_handle(&placement.start, done.live_copy);
                CopyStep::KeepReading(None)
            }
        }
    }

    /// Forwards the remaining events of a stopped target. Returns false if the caller has
    /// disconnected.
    async fn drain<S>(&mut self, placement: &mut Placement<S>, last_generated: u64) -> bool
    where
        S: Stream<Item = Result<Event, StreamEnd>> + Unpin,
    {
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while self.last_event() < last_generated {
            match tokio::time::timeout_at(deadline, placement.events.next()).await {
                Ok(Some(Ok(event))) => match self.deliver(event).await {
                    Delivery::Delivered => {}
                    Delivery::CallerGone => return false,
                    Delivery::Gap => break,
                },
                // A stopped target ends its stream without completing it.
                Ok(Some(Err(_)) | None) | Err(_) => break,
            }
        }
        true
    }

    /// Decides how a truncated placement continues: from a copy, if there is one.
    fn on_truncated<S>(
        &mut self,
        placement: &Placement<S>,
        pending: Option<PendingCopy>,
    ) -> PlacementEnd {
        let Some(pending) = pending else {
            return PlacementEnd::Truncated;
        };
        // A target that stops on request ends its stream at once, while the rest of its KV cache
        // may wait a long time for the network. The next target reads what the copy lacks by
        // itself.
        match pending.live_copy {
            Some(handle) => {
                pending.is_in_use.store(true, Ordering::Relaxed);
                self.stops.ensure_stopped(&placement.start, &pending.start, pending.result);
                PlacementEnd::ResumeFromCopy(pending.start, handle)
            }
            None => PlacementEnd::Truncated,
        }
    }

    /// Decides whether a stream that ended with its connection is complete or was stopped for a
    /// move. A target that completed the generation first refuses to stop it.
    async fn on_closed<S>(
        &mut self,
        placement: &Placement<S>,
        pending: Option<PendingCopy>,
    ) -> PlacementEnd {
        let stop = pending.filter(|pending| pending.stops_source);
        if placement.may_be_stopped || self.position.ends_early() {
            return self.on_truncated(placement, stop);
        }
        let Some(mut stop) = stop else {
            return PlacementEnd::Complete;
        };
        let answer = tokio::time::timeout(STOP_REFUSAL_TIMEOUT, &mut stop.result).await;
        log::info!(
            "request={} target={} connection closed during a move last={} copy={answer:?}",
            placement.start.id,
            placement.start.target,
            self.last_event()
        );
        match answer {
            Ok(Ok(Ok(KvCopy { handle, .. }) | Err(CopyError::Refused(Some(handle))))) => {
                PlacementEnd::ResumeFromCopy(stop.start, handle)
            }
            Ok(Ok(Err(CopyError::NotRunning | CopyError::Refused(None)))) => {
                self.release_pending(placement, Some(stop));
                PlacementEnd::Complete
            }
            Ok(Ok(Err(CopyError::Unknown)) | Err(_)) | Err(_) => {
                self.on_truncated(placement, Some(stop))
            }
        }
    }

    /// Releases the copy of a generation that has ended.
    fn release_pending<S>(&self, placement: &Placement<S>, pending: Option<PendingCopy>) {
        self.release_handle(&placement.start, pending.and_then(|pending| pending.live_copy));
    }

    /// Releases a copy whose generation has no caller any more.
    fn free_copy<S>(&self, placement: &Placement<S>, handle: String) -> PlacementEnd {
        self.release_handle(&placement.start, Some(handle));
        PlacementEnd::CallerGone
    }

    fn release_handle(&self, source: &Start, handle: Option<String>) {
        if let Some(handle) = handle {
            let release = (self.release)(source.clone(), handle);
            tokio::spawn(release);
        }
    }

    fn complete(&mut self, start: &Start) {
        self.log_end(start, "complete");
        let first_event_ms = self.unreported_first_event_ms();
        self.session.end_attempt(start, End::Complete, first_event_ms);
        self.session.close();
    }
}

/// How to continue after a copy request.
enum CopyStep {
    /// Keep reading from the source; another copy may be in progress.
    KeepReading(Option<PendingCopy>),
    /// The placement has ended.
    EndPlacement(PlacementEnd),
}
