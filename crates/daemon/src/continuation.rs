//! Goes on with a generation whose target is over or about to be.

use std::future::Future;
use std::time::Duration;

use hornbeamloom_kernel::outcome::Start;
use hornbeamloom_kernel::request::End;
use tokio::time::Instant;

use crate::control::{Input, Verdict};
use crate::generation::{KvSource, OpenResult, ResumePoint};
use crate::session::{Session, TargetReply};

/// Longest time for which the old target runs on while the standby takes over: the platform allows
/// 400 ms, and the answer of the standby is on its way within one of its steps.
const STANDBY_OVERLAP: Duration = Duration::from_millis(250);
/// Longest wait for a place at the standby of a generation whose target is lost.
const STANDBY_GRANT_TIMEOUT: Duration = Duration::from_secs(2);
/// Times that a generation is offered to its next target and to the one that stopped. Either may
/// refuse while the rest of the memory is on its way, and a refused offer has not run.
const MAX_RESUME_ROUNDS: u32 = 3;
/// Time between two such offers, in which a copy of what was made meanwhile arrives.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The target that a stream comes from.
pub(crate) struct Leg<S> {
    pub(crate) start: Start,
    pub(crate) events: S,
}

impl<S> Leg<S> {
    /// Whether a target holds the copy that was made ahead.
    pub(crate) fn is_standby(&self, target: &str) -> bool {
        self.start.standby.as_ref().is_some_and(|standby| *standby.target == *target)
    }
}

/// How the reading of one leg ended.
pub(crate) enum LegEnd {
    /// The stream is complete.
    Complete,
    /// The caller went away.
    CallerGone,
    /// The leg broke off and no copy was ordered.
    Truncated,
    /// The generation goes on in another leg, or at a source that had stopped, from a copy.
    ResumeFromCopy(Start, String),
    /// It goes on at the standby, while the leg still runs.
    SwitchToStandby(Start),
}

/// What came of going on elsewhere.
pub(crate) enum Continuation<S> {
    /// The generation goes on.
    Resumed(Leg<S>),
    /// It is lost with the leg of this start; a copy that was not used may be left.
    Lost(Start, Option<String>),
}

/// Goes on with a generation whose leg is over or about to be.
pub(crate) async fn continue_elsewhere<A, S, O, OF>(
    session: &mut Session,
    open: &O,
    leg: Leg<S>,
    leg_end: LegEnd,
    last_event: u64,
) -> Continuation<S>
where
    O: Fn(Start, Option<ResumePoint>) -> OF,
    OF: Future<Output = OpenResult<A, S>>,
{
    match leg_end {
        LegEnd::ResumeFromCopy(next, handle) => {
            let Leg { start, events } = leg;
            let source = start.address.clone();
            // The old connection must be gone before another target carries the generation.
            drop(events);
            let point = ResumePoint { source, kv: KvSource::Copy(handle.clone()), last_event };
            resume_from_copy(session, open, start, next, point, handle).await
        }
        LegEnd::SwitchToStandby(next) => {
            switch_to_standby(session, open, leg, next, last_event).await
        }
        _ if leg.start.standby.is_some() => resume_at_standby(session, open, leg, last_event).await,
        _ => Continuation::Lost(leg.start, None),
    }
}

/// Goes on from a copy at the target of `next`, or where that refuses at the one that had stopped.
async fn resume_from_copy<A, S, O, OF>(
    session: &mut Session,
    open: &O,
    stopped: Start,
    next: Start,
    point: ResumePoint,
    handle: String,
) -> Continuation<S>
where
    O: Fn(Start, Option<ResumePoint>) -> OF,
    OF: Future<Output = OpenResult<A, S>>,
{
    let is_other_leg = next.id != stopped.id;
    for round in 0..MAX_RESUME_ROUNDS {
        if round > 0 {
            tokio::time::sleep(RESUME_RETRY_DELAY).await;
        }
        match open(next.clone(), Some(point.clone())).await {
            OpenResult::Stream(opened) => {
                if is_other_leg {
                    session.switch_leg(&next);
                }
                return Continuation::Resumed(Leg { start: next, events: opened.events });
            }
            OpenResult::NoStream(TargetReply::Rejected | TargetReply::Unsent) => {}
            OpenResult::NoStream(_) => break,
        }
        log::warn!("request={} target={} did not go on with the copy", next.id, next.target);
        if !is_other_leg {
            continue;
        }
        match open(stopped.clone(), Some(point.clone())).await {
            OpenResult::Stream(opened) => {
                session.end_attempt(&next, End::Unsent, None);
                return Continuation::Resumed(Leg { start: stopped, events: opened.events });
            }
            OpenResult::NoStream(TargetReply::Rejected | TargetReply::Unsent) => {}
            OpenResult::NoStream(_) => break,
        }
    }
    if is_other_leg {
        session.end_attempt(&next, End::Unsent, None);
    }
    Continuation::Lost(stopped, Some(handle))
}

/// Goes on at the standby and leaves the old target as soon as that has taken over.
///
/// The standby may hold nothing and refuse; the generation then stays where it is.
async fn switch_to_standby<A, S, O, OF>(
    session: &mut Session,
    open: &O,
    leg: Leg<S>,
    next: Start,
    last_event: u64,
) -> Continuation<S>
where
    O: Fn(Start, Option<ResumePoint>) -> OF,
    OF: Future<Output = OpenResult<A, S>>,
{
    let point = ResumePoint { source: next.address.clone(), kv: KvSource::Standby, last_event };
    let open_standby = open(next.clone(), Some(point));
    tokio::pin!(open_standby);
    let mut old_events = Some(leg.events);
    let opened = tokio::select! {
        opened = &mut open_standby => opened,
        () = tokio::time::sleep(STANDBY_OVERLAP) => {
            // It has been taken over, or it would have been refused by now.
            old_events = None;
            open_standby.await
        }
    };
    match (opened, old_events) {
        (OpenResult::Stream(opened), _) => {
            session.switch_leg(&next);
            Continuation::Resumed(Leg { start: next, events: opened.events })
        }
        (OpenResult::NoStream(_), Some(events)) => {
            log::info!("request={} standby={} holds no copy", next.id, next.target);
            session.end_attempt(&next, End::Unsent, None);
            let start = Start { standby: None, ..leg.start };
            Continuation::Resumed(Leg { start, events })
        }
        (OpenResult::NoStream(_), None) => {
            session.end_attempt(&next, End::Unsent, None);
            Continuation::Lost(leg.start, None)
        }
    }
}

/// Goes on at the standby of a leg that broke off, once its owner has granted the place.
async fn resume_at_standby<A, S, O, OF>(
    session: &mut Session,
    open: &O,
    leg: Leg<S>,
    last_event: u64,
) -> Continuation<S>
where
    O: Fn(Start, Option<ResumePoint>) -> OF,
    OF: Future<Output = OpenResult<A, S>>,
{
    let Leg { start, events } = leg;
    drop(events);
    log::info!("request={} target={} lost: asks for its standby", start.id, start.target);
    session.control.tell(Input::Lost(start.id.clone()));
    let deadline = Instant::now() + STANDBY_GRANT_TIMEOUT;
    while let Ok(Some(verdict)) = tokio::time::timeout_at(deadline, session.verdicts.recv()).await {
        let Verdict::Move(next) = verdict else {
            continue;
        };
        let is_standby =
            start.standby.as_ref().is_some_and(|standby| standby.target == next.target);
        if is_standby {
            let point =
                ResumePoint { source: next.address.clone(), kv: KvSource::Standby, last_event };
            if let OpenResult::Stream(opened) = open(next.clone(), Some(point)).await {
                session.switch_leg(&next);
                return Continuation::Resumed(Leg { start: next, events: opened.events });
            }
        }
        session.end_attempt(&next, End::Unsent, None);
        break;
    }
    Continuation::Lost(start, None)
}
