//! Runs a stream of a resumable route again at another target, after its target broke off and no copy
//! of its KV cache could be continued.

use std::future::Future;

use hornbeamloom_kernel::outcome::Start;
use hornbeamloom_kernel::request::End;

use crate::continuation::Placement;
use crate::control::Decision;
use crate::generation::{CopyError, CopyRequest, KvCopy, OpenResult, ResumePoint};
use crate::session::{Session, TargetReply};
use crate::stop::Tracker;
use crate::stream_proxy::StreamProxy;

/// Waits until the kernel grants another target and that target continues the stream after `point`, if
/// the caller has any event. Returns `None` if the stream must be truncated.
///
/// The connection to the target that broke off must be closed, and its attempt must have ended.
async fn run<A, S, O, OF, C, R, CF, RF>(
    session: &mut Session,
    open: &O,
    stops: &mut Tracker<C, R>,
    point: Option<&ResumePoint>,
) -> Option<Placement<S>>
where
    O: Fn(Start, Option<ResumePoint>) -> OF,
    OF: Future<Output = OpenResult<A, S>>,
    C: Fn(CopyRequest) -> CF + Clone + Send + 'static,
    CF: Future<Output = Result<KvCopy, CopyError>> + Send,
    R: Fn(Start, String) -> RF + Clone + Send + 'static,
    RF: Future<Output = ()> + Send + 'static,
{
    let last_event = point.map(|point| point.last_event);
    loop {
        let start = match session.next_decision().await {
            Decision::Start(start) => start,
            Decision::Refuse(refusal) => {
                session.close();
                count("refused");
                log::info!(
                    "request={} rerun refused: {} last={last_event:?} ms={}",
                    session.id(),
                    refusal.reason.as_str(),
                    session.arrived_at.elapsed().as_millis()
                );
                return None;
            }
            // A move that was granted before the attempt ended has been released with it.
            Decision::Move(_) | Decision::Replay(_) => continue,
        };
        let previous = session.begin_attempt(&start);
        stops.withdraw(&start.target);
        stops.stop_left(&start);
        let end = match open(start.clone(), point.cloned()).await {
            OpenResult::Stream(opened) => {
                count("continued");
                log::info!(
                    "request={} rerun at target={} last={last_event:?} ms={}",
                    start.id,
                    start.target,
                    session.arrived_at.elapsed().as_millis()
                );
                return Some(Placement::new(start, opened.events));
            }
            OpenResult::NoStream(reply) => {
                if matches!(reply, TargetReply::Broken) {
                    stops.leave(&start);
                }
                match reply.into_parts() {
                    // The caller has the head of a stream, which no other response can follow.
                    (End::Complete, _) => End::Failed,
                    (end, _) => end,
                }
            }
        };
        count("failed");
        log::info!(
            "request={} rerun failed at target={}: {end:?} last={last_event:?}",
            start.id,
            start.target
        );
        session.restore_may_have_run(end, previous);
        session.end_attempt(&start, end, None);
    }
}

impl<A, C, R, CF, RF> StreamProxy<A, C, R>
where
    C: Fn(CopyRequest) -> CF + Clone + Send + 'static,
    CF: Future<Output = Result<KvCopy, CopyError>> + Send,
    R: Fn(Start, String) -> RF + Clone + Send + 'static,
    RF: Future<Output = ()> + Send + 'static,
{
    /// Runs a stream that broke off again at another target. Returns `None` once the stream was
    /// truncated or the caller has disconnected. The connection to the old target must be closed.
    pub(crate) async fn rerun<S, O, OF>(&mut self, open: &O, broken: &Start) -> Option<Placement<S>>
    where
        O: Fn(Start, Option<ResumePoint>) -> OF,
        OF: Future<Output = OpenResult<A, S>>,
    {
        if self.resumable.is_none() {
            self.fail(broken).await;
            return None;
        }
        let first_event_ms = self.unreported_first_event_ms();
        self.session.end_attempt(broken, End::Broken, first_event_ms);
        self.stops.leave(broken);
        self.is_first_event_reported = self.first_event_ms.is_some();
        let last_event = self.position.last();
        let point = last_event.map(|last_event| ResumePoint { kv: None, last_event });
        let rerun = tokio::select! {
            rerun = run(&mut self.session, open, &mut self.stops, point.as_ref()) => rerun,
            _ = self.response.closed() => return None,
        };
        if rerun.is_none() {
            self.log_end(broken, "lost");
            self.response.abort().await;
        }
        rerun
    }
}

impl<A, C, R> StreamProxy<A, C, R> {
    /// The time of the first event, unless it was reported for an earlier attempt.
    pub(crate) fn unreported_first_event_ms(&self) -> Option<u32> {
        self.first_event_ms.filter(|_| !self.is_first_event_reported)
    }
}

fn count(result: &'static str) {
    ::metrics::counter!("hornbeamloom_stream_reruns_total", "result" => result).increment(1);
}
