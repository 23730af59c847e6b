//! Opens a stream at the first target that responds to it.

use std::future::Future;

use hornbeamloom_kernel::outcome::Start;
use hornbeamloom_kernel::request::End;

use crate::control::Decision;
use crate::delivery::ResponseSender;
use crate::generation::{CopyError, CopyRequest, KvCopy, OpenResult, OpenedStream, ResumePoint};
use crate::session::{Session, TargetReply};
use crate::stop::Tracker;

/// Opens the stream at its first target. Returns `None` if the caller already has its response or
/// has disconnected.
pub(crate) async fn open_first<A, S, O, OF, C, R, CF, RF>(
    session: &mut Session,
    open: &O,
    point: Option<&ResumePoint>,
    stops: &mut Tracker<C, R>,
    response: &mut ResponseSender<A>,
) -> Option<(Start, OpenedStream<A, S>)>
where
    O: Fn(Start, Option<ResumePoint>) -> OF,
    OF: Future<Output = OpenResult<A, S>>,
    C: Fn(CopyRequest) -> CF + Clone + Send + 'static,
    CF: Future<Output = Result<KvCopy, CopyError>> + Send,
    R: Fn(Start, String) -> RF + Clone + Send + 'static,
    RF: Future<Output = ()> + Send + 'static,
{
    loop {
        let decision = tokio::select! {
            decision = session.next_decision() => decision,
            _ = response.closed() => return None,
        };
        let start = match decision {
            Decision::Start(start) => start,
            Decision::Refuse(refusal) => {
                session.close();
                response.send_result(Err(refusal));
                return None;
            }
            Decision::Move(_) | Decision::Replay(_) => continue,
        };
        let previous = session.begin_attempt(&start);
        stops.withdraw(&start.target);
        stops.stop_left(&start);
        let opened = tokio::select! {
            opened = open(start.clone(), point.cloned()) => opened,
            _ = response.closed() => return None,
        };
        match opened {
            OpenResult::Stream(opened) => return Some((start, opened)),
            OpenResult::NoStream(reply) => {
                if matches!(reply, TargetReply::Broken) {
                    stops.leave(&start);
                }
                let (end, full_response) = reply.into_parts();
                session.restore_may_have_run(end, previous);
                let Some(full_response) = full_response else {
                    session.end_attempt(&start, end, None);
                    continue;
                };
                // A response without a stream is final; the request is not retried.
                session.end_attempt(&start, End::Complete, None);
                session.close();
                response.send_result(Ok(full_response));
                return None;
            }
        }
    }
}
