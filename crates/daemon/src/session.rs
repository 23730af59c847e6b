//! The traffic side of a request, from its arrival to its response.

use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;

use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::outcome::{Ran, Reason, Refusal, Start};
use hornbeamloom_kernel::request::{End, Id, RouteOptions};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::control::{Arrival, Control, Decision, Input, RerunPolicy};
use crate::pace::Meter;

/// A request as an adapter submits it.
#[derive(Debug)]
pub struct Request {
    /// Id of the request.
    pub id: Id,
    /// Organisation that the caller's key belongs to.
    pub organisation: Name,
    /// The requested service.
    pub service: Name,
    /// Prompt length in tokens; zero for a plain service.
    pub prompt_tokens: u32,
    /// Upper bound on the output, in tokens.
    pub max_tokens: Option<u32>,
    /// Hash of everything that determines what a target executes.
    pub fingerprint: u64,
    /// Hashes of the parts of the prompt that other requests may share, in order.
    pub parts: Vec<u64>,
    /// Whether the request may be executed again.
    pub rerun: RerunPolicy,
    /// Limits and policies set by the request's route.
    pub terms: RouteOptions,
}

/// A request in progress on the traffic side.
///
/// Dropping a session that is still open tells the control thread that the caller disconnected.
#[derive(Debug)]
pub struct Session {
    pub(crate) control: Control,
    id: Id,
    pub(crate) decisions: mpsc::UnboundedReceiver<Decision>,
    pub(crate) delivered_tokens: Arc<AtomicU32>,
    pub(crate) pace: Arc<Meter>,
    pub(crate) arrived_at: Instant,
    may_have_run: Arc<AtomicBool>,
    is_open: bool,
}

impl Session {
    /// Submits a request to the control thread.
    pub fn new(control: &Control, request: Request) -> Session {
        let (sender, decisions) = mpsc::unbounded_channel();
        let delivered_tokens = Arc::new(AtomicU32::new(0));
        let pace = Arc::<Meter>::default();
        let id = request.id.clone();
        control.tell(Input::RequestArrived(Box::new(Arrival {
            id: request.id,
            organisation: request.organisation,
            service: request.service,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            fingerprint: request.fingerprint,
            prefixes: Vec::new(),
            parts: request.parts,
            rerun: request.rerun,
            terms: request.terms,
            decisions: sender,
            tokens: delivered_tokens.clone(),
            pace: pace.clone(),
        })));
        Session {
            control: control.clone(),
            id,
            decisions,
            delivered_tokens,
            pace,
            arrived_at: Instant::now(),
            may_have_run: Arc::default(),
            is_open: true,
        }
    }

    /// Becomes true when a byte of the request may have reached a target that did not reject it.
    pub fn may_have_run(&self) -> Arc<AtomicBool> {
        self.may_have_run.clone()
    }

    pub(crate) async fn next_decision(&mut self) -> Decision {
        match self.decisions.recv().await {
            Some(decision) => decision,
            // The control thread has ended because the process is exiting.
            None => Decision::Refuse(Refusal::new(Reason::ShuttingDown).with_ran(self.ran())),
        }
    }

    fn ran(&self) -> Ran {
        match self.may_have_run.load(Ordering::Relaxed) {
            true => Ran::Unknown,
            false => Ran::No,
        }
    }

    /// Records that bytes of the request may be sent from now on; returns the previous value of
    /// `may_have_run`.
    pub(crate) fn begin_attempt(&mut self, start: &Start) -> bool {
        let previous = self.may_have_run.swap(true, Ordering::Relaxed);
        self.control.tell(Input::SendStarted { id: start.id.clone(), attempt: start.attempt });
        previous
    }

    /// Restores the previous value of `may_have_run` if the target did not run the request.
    pub(crate) fn restore_may_have_run(&self, end: End, previous: bool) {
        if matches!(end, End::Rejected | End::Unsent) {
            self.may_have_run.store(previous, Ordering::Relaxed);
        }
    }

    pub(crate) fn end_attempt(&mut self, start: &Start, end: End, first_token_ms: Option<u32>) {
        self.control.tell(Input::AttemptEnded {
            id: start.id.clone(),
            attempt: start.attempt,
            end,
            first_token_ms,
            stored: None,
        });
    }

    /// Continues the generation as the placement of `start`, under the id of that placement.
    pub(crate) fn switch_placement(&mut self, start: &Start) {
        let (from, to) = (self.id.clone(), start.id.clone());
        self.id = to.clone();
        self.control.tell(Input::GenerationMoved { from, to });
    }

    /// The id of the current placement.
    pub(crate) fn id(&self) -> &Id {
        &self.id
    }

    pub(crate) fn close(&mut self) {
        self.is_open = false;
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if self.is_open {
            self.control.tell(Input::CallerDisconnected(self.id.clone()));
        }
    }
}

/// Outcome of sending a request to a target.
#[derive(Debug)]
pub enum TargetReply<A> {
    /// A complete response.
    Complete(A),
    /// A complete response that reports a failure of the target.
    Failed(A),
    /// The target reported that it did not run the request.
    Rejected,
    /// No byte of the request was sent.
    Unsent,
    /// The connection broke or the response was invalid; the request may have run.
    Broken,
}

impl<A> TargetReply<A> {
    /// How the attempt ended, and the response if there is one.
    pub(crate) fn into_parts(self) -> (End, Option<A>) {
        match self {
            TargetReply::Complete(response) => (End::Complete, Some(response)),
            TargetReply::Failed(response) => (End::Failed, Some(response)),
            TargetReply::Rejected => (End::Rejected, None),
            TargetReply::Unsent => (End::Unsent, None),
            TargetReply::Broken => (End::Broken, None),
        }
    }
}

/// Runs a request whose response is not streamed.
///
/// A response that reports a failure is returned if the kernel does not retry the request.
///
/// # Errors
///
/// The kernel's refusal, if no target sent a response.
pub async fn call<A, F>(session: &mut Session, send: impl Fn(Start) -> F) -> Result<A, Refusal>
where
    F: Future<Output = TargetReply<A>>,
{
    let mut failed = None;
    loop {
        match session.next_decision().await {
            Decision::Start(start) => {
                let previous = session.begin_attempt(&start);
                let (end, response) = send(start.clone()).await.into_parts();
                session.restore_may_have_run(end, previous);
                session.end_attempt(&start, end, None);
                if end == End::Complete {
                    session.close();
                }
                match response {
                    Some(response) if end == End::Complete => return Ok(response),
                    Some(response) => failed = Some(response),
                    None => {}
                }
            }
            Decision::Refuse(refusal) => {
                session.close();
                return failed.ok_or(refusal);
            }
            Decision::Move(_) | Decision::Replay(_) => {}
        }
    }
}
