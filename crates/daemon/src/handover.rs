//! Offers a running generation to its standby.

use std::future::Future;
use std::time::Duration;

use futures_util::{Stream, StreamExt};
use hornbeamloom_kernel::outcome::Start;
use hornbeamloom_kernel::request::End;

use crate::continuation::Placement;
use crate::generation::{
    CopyError, CopyRequest, Event, KvCopy, KvSource, OpenResult, ResumePoint, StreamEnd,
    TargetClient,
};
use crate::session::TargetReply;
use crate::stream_proxy::{Delivery, StreamProxy};

/// Interval at which a standby that does not answer is asked whether it runs the generation. The
/// platform allows two targets to run it for 400 ms.
const RUN_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Outcome of offering a generation to its standby.
pub(crate) enum Handover<S> {
    /// The generation continues in this placement at the standby.
    Continued(Placement<S>),
    /// The standby refused, and the generation continues in the old placement.
    Kept(Placement<S>),
    /// The old placement, that of this start, completed the generation before the standby answered.
    Complete(Start),
    /// The caller disconnected.
    CallerGone,
    /// The old placement broke off, or was given up for the standby, which then refused.
    Lost(Start),
}

impl<A, C, R, CF, RF> StreamProxy<A, C, R>
where
    C: Fn(CopyRequest) -> CF + Clone + Send + 'static,
    CF: Future<Output = Result<KvCopy, CopyError>> + Send,
    R: Fn(Start, String) -> RF + Clone + Send + 'static,
    RF: Future<Output = ()> + Send + 'static,
{
    /// Offers the generation to its standby and keeps forwarding events of the old target until the
    /// standby has answered.
    ///
    /// A standby that holds no copy refuses, however late: it may be silent for a while, like the old
    /// target. The old target is therefore given up only once the standby responds with a stream, or
    /// reports that it runs the generation, and is then told to stop.
    pub(crate) async fn offer_to_standby<S, O, OF, Q, QF>(
        &mut self,
        targets: &TargetClient<O, C, R, Q>,
        placement: Placement<S>,
        next: Start,
    ) -> Handover<S>
    where
        S: Stream<Item = Result<Event, StreamEnd>> + Unpin,
        O: Fn(Start, Option<ResumePoint>) -> OF,
        OF: Future<Output = OpenResult<A, S>>,
        Q: Fn(Start) -> QF,
        QF: Future<Output = Option<bool>>,
    {
        let kv = Some(KvSource::Standby { source: next.address.clone() });
        let point = ResumePoint { kv, last_event: self.last_event() };
        self.stops.withdraw(&next.target);
        let offer = (targets.open)(next.clone(), Some(point));
        let run_check = wait_until_running(&targets.is_running, next.clone());
        tokio::pin!(offer, run_check);
        let Placement { start, events, may_be_stopped } = placement;
        let mut old_events = Some(events);
        loop {
            // While the caller reads too slowly, the answer of the standby must still be noticed.
            let has_room = self.response.body.capacity() > 0;
            let is_old_open = old_events.is_some();
            let room = async { drop(self.response.body.reserve().await) };
            let old_event = async {
                match &mut old_events {
                    Some(events) if has_room => events.next().await,
                    _ => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                opened = &mut offer => return match (opened, old_events) {
                    (OpenResult::Stream(opened), old_events) => {
                        drop(old_events);
                        self.stops.leave(&start);
                        self.stops.stop_left(&next);
                        self.session.switch_placement(&next);
                        Handover::Continued(Placement::new(next, opened.events))
                    }
                    (OpenResult::NoStream(reply), old_events) => {
                        log::info!("request={} standby={} refused", next.id, next.target);
                        if matches!(reply, TargetReply::Broken) {
                            self.stops.leave(&next);
                        }
                        self.session.end_attempt(&next, End::Unsent, None);
                        match old_events {
                            Some(events) => {
                                self.stops.stop_left(&start);
                                let start = Start { standby: None, ..start };
                                Handover::Kept(Placement { start, events, may_be_stopped })
                            }
                            None => Handover::Lost(start),
                        }
                    }
                },
                () = &mut run_check, if is_old_open => {
                    let Start { id, target, .. } = &next;
                    log::info!("request={id} standby={target} runs without a response");
                    old_events = None;
                    self.stops.leave(&start);
                    self.stops.stop_left(&next);
                }
                event = old_event => match event {
                    Some(Ok(event)) => match self.deliver(event).await {
                        Delivery::Delivered => {}
                        Delivery::CallerGone => return Handover::CallerGone,
                        Delivery::Gap => old_events = None,
                    },
                    Some(Err(StreamEnd::Truncated)) => old_events = None,
                    Some(Err(StreamEnd::Closed)) if may_be_stopped => old_events = None,
                    Some(Err(StreamEnd::Closed)) | None if self.position.ends_early() => old_events = None,
                    Some(Err(StreamEnd::Closed)) | None => return Handover::Complete(start),
                },
                () = room, if !has_room => {}
                () = self.response.body.closed() => {
                    return Handover::CallerGone;
                }
            }
        }
    }
}

/// Resolves when a target reports that it runs the request. A silent one reports nothing, and does
/// not run the request either.
pub(crate) async fn wait_until_running<Q, QF>(is_running: &Q, start: Start)
where
    Q: Fn(Start) -> QF,
    QF: Future<Output = Option<bool>>,
{
    loop {
        tokio::time::sleep(RUN_CHECK_INTERVAL).await;
        if is_running(start.clone()).await == Some(true) {
            return;
        }
    }
}
