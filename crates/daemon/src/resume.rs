//! Goes on with a generation whose target is over or about to be.

use std::future::Future;
use std::time::Duration;

use hornbeamloom_kernel::outcome::Start;
use hornbeamloom_kernel::request::End;
use tokio::time::Instant;

use crate::control::{Decision, Input};
use crate::generation::{Memory, Open, Point};
use crate::session::{Reply, Session};

/// Longest time for which the old target runs on while the standby takes over: the platform allows
/// 400 ms, and the answer of the standby is on its way within one of its steps.
const OVERLAP: Duration = Duration::from_millis(250);
/// Longest wait for a place at the standby of a generation whose target is lost.
const RECOVERY: Duration = Duration::from_secs(2);
/// Times that a generation is offered to its next target and to the one that stopped. Either may
/// refuse while the rest of the memory is on its way, and a refused offer has not run.
const RESUMES: u32 = 3;
/// Time between two such offers, in which a copy of what was made meanwhile arrives.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// The target that a stream comes from.
pub(crate) struct Leg<S> {
    pub(crate) start: Start,
    pub(crate) events: S,
}

impl<S> Leg<S> {
    /// Whether a target holds the copy that was made ahead.
    pub(crate) fn has_standby(&self, target: &str) -> bool {
        self.start.standby.as_ref().is_some_and(|standby| *standby.target == *target)
    }
}

/// How the reading of one leg ended.
pub(crate) enum Next {
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
pub(crate) enum Followed<S> {
    /// The generation goes on.
    On(Leg<S>),
    /// It is lost with the leg of this start; a copy that was not used may be left.
    Lost(Start, Option<String>),
}

/// Goes on with a generation whose leg is over or about to be.
pub(crate) async fn follow<A, S, O, OF>(
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
    session.control.tell(Input::StreamLost(start.id.clone()));
    let end = Instant::now() + RECOVERY;
    while let Ok(Some(verdict)) = tokio::time::timeout_at(end, session.verdicts.recv()).await {
        let Decision::Move(next) = verdict else {
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
