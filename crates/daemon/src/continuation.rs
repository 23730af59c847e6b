//! Continues a generation whose target has failed or is about to stop.

use std::future::Future;
use std::time::Duration;

use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use hornbeamloom_kernel::outcome::Start;
use hornbeamloom_kernel::request::End;
use tokio::time::Instant;

use crate::control::{Decision, Input};
use crate::generation::{
    CopyError, CopyRequest, KvCopy, KvSource, OpenResult, ResumePoint, TargetClient,
};
use crate::handover::wait_until_running;
use crate::session::{Session, TargetReply};
use crate::stop::Tracker;

/// Time limit for the grant of a slot at the standby after the target of a generation was lost.
const STANDBY_GRANT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the last event within which a generation is offered to its next target and to the one
/// that stopped. Either may refuse while the rest of the KV cache waits for the network, and a refused
/// offer has not run. Callers disconnect after a gap of two seconds at the earliest.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Minimum time for these offers if the last event is older, for example because the response to the
/// copy request was late.
const MIN_RESUME_TIME: Duration = Duration::from_millis(300);
/// Delay before the second of these offers, in which the copy of what was generated meanwhile can
/// arrive. It doubles with each further offer up to the maximum, because refused requests count
/// against the retry budget of the service.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RESUME_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The part of a generation that runs at one target.
pub(crate) struct Placement<S> {
    pub(crate) start: Start,
    pub(crate) events: S,
    /// Set if a request to stop the target had no usable response.
    pub(crate) may_be_stopped: bool,
}

impl<S> Placement<S> {
    /// A placement whose target was not asked to stop.
    pub(crate) fn new(start: Start, events: S) -> Placement<S> {
        Placement { start, events, may_be_stopped: false }
    }

    /// Whether `target` is the standby, which holds a copy of the KV cache.
    pub(crate) fn is_standby(&self, target: &str) -> bool {
        self.start.standby.as_ref().is_some_and(|standby| *standby.target == *target)
    }
}

/// Why the events of a placement are no longer forwarded.
pub(crate) enum PlacementEnd {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The stream was truncated and there is no copy to resume from.
    Truncated,
    /// The placement still runs, and its standby, to which this start belongs, may take it over.
    OfferToStandby(Start),
    /// The generation resumes from the copy with this handle, in the placement of this start or at
    /// the source that stopped.
    ResumeFromCopy(Start, String),
}

/// Outcome of continuing a generation elsewhere.
pub(crate) enum Continuation<S> {
    /// The generation continues in this placement.
    Resumed(Placement<S>),
    /// The generation is lost with the placement of this start. The handle, if any, is that of an
    /// unused copy.
    Lost(Start, Option<String>),
}

/// Continues a generation whose placement has ended or is about to end.
pub(crate) async fn continue_elsewhere<A, S, O, OF, C, R, CF, RF, Q, QF>(
    session: &mut Session,
    targets: &TargetClient<O, C, R, Q>,
    stops: &mut Tracker<C, R>,
    placement: Placement<S>,
    placement_end: PlacementEnd,
    last_event: u64,
    last_event_at: Option<Instant>,
) -> Continuation<S>
where
    O: Fn(Start, Option<ResumePoint>) -> OF,
    OF: Future<Output = OpenResult<A, S>>,
    C: Fn(CopyRequest) -> CF + Clone + Send + 'static,
    CF: Future<Output = Result<KvCopy, CopyError>> + Send,
    R: Fn(Start, String) -> RF + Clone + Send + 'static,
    RF: Future<Output = ()> + Send + 'static,
    Q: Fn(Start) -> QF,
    QF: Future<Output = Option<bool>>,
{
    match placement_end {
        PlacementEnd::ResumeFromCopy(next, handle) => {
            let Placement { start, events, .. } = placement;
            let source = start.address.clone();
            // The old connection must be closed before another target continues the generation.
            drop(events);
            let kv = Some(KvSource::Copy { source, handle: handle.clone() });
            let point = ResumePoint { kv, last_event };
            let now = Instant::now();
            let deadline = last_event_at.unwrap_or(now) + RESUME_TIMEOUT;
            let deadline = deadline.max(now + MIN_RESUME_TIME);
            let open = &targets.open;
            let resumed = resume_from_copy(session, open, stops, &start, &next, point, deadline);
            match resumed.await {
                Some(placement) => Continuation::Resumed(placement),
                None => Continuation::Lost(start, Some(handle)),
            }
        }
        _ if placement.start.standby.is_some() => {
            resume_at_standby(session, targets, stops, placement, last_event).await
        }
        _ => Continuation::Lost(placement.start, None),
    }
}

/// Resumes from a copy at the target of `next`, or at the stopped target if that one does not
/// resume it. Both are asked once at least, and those that refuse again until `deadline`.
///
/// A target that does not respond may only be silent for a while. Its connection stays open while
/// the other one is asked, and after `deadline`: a handle can be used once, so that only one of them
/// resumes the generation.
async fn resume_from_copy<A, S, O, OF, C, R, CF, RF>(
    session: &mut Session,
    open: &O,
    stops: &mut Tracker<C, R>,
    stopped: &Start,
    next: &Start,
    point: ResumePoint,
    deadline: Instant,
) -> Option<Placement<S>>
where
    O: Fn(Start, Option<ResumePoint>) -> OF,
    OF: Future<Output = OpenResult<A, S>>,
    C: Fn(CopyRequest) -> CF + Clone + Send + 'static,
    CF: Future<Output = Result<KvCopy, CopyError>> + Send,
    R: Fn(Start, String) -> RF + Clone + Send + 'static,
    RF: Future<Output = ()> + Send + 'static,
{
    // A move that was requested before a takeover may have the id of the present placement.
    let is_other_placement = next.id != stopped.id;
    let ask = |candidate: Start| {
        let opened = open(candidate.clone(), Some(point.clone()));
        async move { (candidate, opened.await) }
    };
    let mut offers =
        Offers { pending: FuturesUnordered::new(), refusing: Vec::new(), broken: Vec::new() };
    let mut candidates = vec![next.clone(), stopped.clone()];
    let mut delay = RESUME_RETRY_DELAY;
    let mut resumed = None;
    // Whether the stop of the old target is unconfirmed. It matters again if the other one resumes.
    let mut has_open_order = false;
    while resumed.is_none() && !candidates.is_empty() {
        for candidate in std::mem::take(&mut candidates) {
            let is_withdrawn = stops.withdraw(&candidate.target);
            has_open_order |= is_withdrawn && candidate.target == stopped.target;
            offers.pending.push(ask(candidate.clone()));
            let limit = deadline.max(Instant::now() + MIN_RESUME_TIME);
            resumed = offers.wait_for(&candidate, limit).await;
            if resumed.is_some() {
                break;
            }
        }
        let is_retried = !offers.refusing.is_empty() && Instant::now() + delay <= deadline;
        if resumed.is_none() && is_retried {
            candidates = std::mem::take(&mut offers.refusing);
            let has_pending = !offers.pending.is_empty();
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                placement = offers.next_resumed(), if has_pending => resumed = placement,
            }
            delay = (delay * 2).min(MAX_RESUME_RETRY_DELAY);
        }
    }
    while resumed.is_none() && !offers.pending.is_empty() {
        resumed = offers.next_resumed().await;
    }
    if is_other_placement && resumed.as_ref().is_none_or(|placement| placement.start.id != next.id)
    {
        session.end_attempt(next, End::Unsent, None);
    }
    offers.broken.iter().for_each(|start| stops.leave(start));
    if has_open_order {
        stops.leave(stopped);
    }
    let placement = resumed?;
    stops.stop_left(&placement.start);
    if placement.start.id != stopped.id {
        session.switch_placement(next);
    }
    Some(placement)
}

/// Offers of a generation to targets that can resume it from a copy.
struct Offers<F> {
    /// Offers without a response.
    pending: FuturesUnordered<F>,
    /// Targets that have not run their offer, and may take another one.
    refusing: Vec<Start>,
    /// Targets whose connection broke, which may have taken their offer.
    broken: Vec<Start>,
}

impl<A, S, F> Offers<F>
where
    F: Future<Output = (Start, OpenResult<A, S>)>,
{
    /// Waits until `candidate` responds or another target resumes the generation, at most until
    /// `limit`.
    async fn wait_for(&mut self, candidate: &Start, limit: Instant) -> Option<Placement<S>> {
        let is_pending = |offers: &Offers<F>| {
            let is_refusing = offers.refusing.iter().any(|start| start.target == candidate.target);
            !offers.pending.is_empty() && !is_refusing
        };
        while is_pending(self) {
            match tokio::time::timeout_at(limit, self.next_resumed()).await {
                Ok(None) => {}
                Ok(resumed) => return resumed,
                Err(_) => return None,
            }
        }
        None
    }

    /// Waits for the next response, and returns the placement if the generation is resumed.
    async fn next_resumed(&mut self) -> Option<Placement<S>> {
        let (start, opened) = self.pending.next().await?;
        match opened {
            OpenResult::Stream(opened) => return Some(Placement::new(start, opened.events)),
            OpenResult::NoStream(TargetReply::Rejected | TargetReply::Unsent) => {
                self.refusing.push(start.clone());
            }
            // The target may have taken the generation, or closed the connection because it has too
            // many. It is not asked again, but the other one is: if this target has taken the
            // generation, the other one refuses without running it.
            OpenResult::NoStream(_) => self.broken.push(start.clone()),
        }
        log::warn!("request={} target={} did not resume from the copy", start.id, start.target);
        None
    }
}

/// Resumes at the standby of a truncated placement, once the owner of the pool has granted a slot.
///
/// The old target may run the generation on if only its connection broke. It is told to stop once the
/// standby runs the generation, and not before, because its stop order could release the copy.
async fn resume_at_standby<A, S, O, OF, C, R, CF, RF, Q, QF>(
    session: &mut Session,
    targets: &TargetClient<O, C, R, Q>,
    stops: &mut Tracker<C, R>,
    placement: Placement<S>,
    last_event: u64,
) -> Continuation<S>
where
    O: Fn(Start, Option<ResumePoint>) -> OF,
    OF: Future<Output = OpenResult<A, S>>,
    C: Fn(CopyRequest) -> CF + Clone + Send + 'static,
    CF: Future<Output = Result<KvCopy, CopyError>> + Send,
    R: Fn(Start, String) -> RF + Clone + Send + 'static,
    RF: Future<Output = ()> + Send + 'static,
    Q: Fn(Start) -> QF,
    QF: Future<Output = Option<bool>>,
{
    let Placement { start, events, .. } = placement;
    drop(events);
    stops.leave(&start);
    log::info!(
        "request={} target={} lost; requesting takeover by its standby",
        start.id,
        start.target
    );
    session.control.tell(Input::GenerationLost(start.id.clone()));
    let deadline = Instant::now() + STANDBY_GRANT_TIMEOUT;
    while let Ok(Some(decision)) = tokio::time::timeout_at(deadline, session.decisions.recv()).await
    {
        let Decision::Move(next) = decision else {
            continue;
        };
        let is_standby =
            start.standby.as_ref().is_some_and(|standby| standby.target == next.target);
        if !is_standby {
            // The target of a move requested earlier, or one granted while the standby has no slot.
            // The kernel asks again without it.
            session.end_attempt(&next, End::Unsent, None);
            continue;
        }
        let kv = Some(KvSource::Standby { source: next.address.clone() });
        let point = ResumePoint { kv, last_event };
        stops.withdraw(&next.target);
        let offer = (targets.open)(next.clone(), Some(point));
        let run_check = wait_until_running(&targets.is_running, next.clone());
        tokio::pin!(offer, run_check);
        let opened = tokio::select! {
            biased;
            opened = &mut offer => opened,
            () = &mut run_check => {
                stops.stop_left(&next);
                offer.await
            }
        };
        match opened {
            OpenResult::Stream(opened) => {
                stops.stop_left(&next);
                session.switch_placement(&next);
                return Continuation::Resumed(Placement::new(next, opened.events));
            }
            OpenResult::NoStream(TargetReply::Broken) => stops.leave(&next),
            OpenResult::NoStream(_) => {}
        }
        session.end_attempt(&next, End::Unsent, None);
        break;
    }
    Continuation::Lost(start, None)
}
