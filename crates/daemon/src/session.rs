//! A request on the traffic side, between its arrival and its answer.

use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;

use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::outcome::{Ran, Reason, Refusal, Start};
use hornbeamloom_kernel::request::{End, Id, RouteOptions};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::control::{Arrival, Control, Input, Rerun, Verdict};

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
    pub terms: RouteOptions,
}

/// A request between its arrival and its answer.
///
/// Dropping it tells the control thread that the caller went away.
#[derive(Debug)]
pub struct Session {
    pub(crate) control: Control,
    id: Id,
    pub(crate) verdicts: mpsc::UnboundedReceiver<Verdict>,
    pub(crate) tokens: Arc<AtomicU32>,
    pub(crate) arrived: Instant,
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

    pub(crate) async fn verdict(&mut self) -> Verdict {
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
    pub(crate) fn began(&mut self, start: &Start) -> bool {
        let before = self.may_have_run.swap(true, Ordering::Relaxed);
        self.control.tell(Input::Began { id: start.id.clone(), attempt: start.attempt });
        before
    }

    /// Takes back that a byte may have left, where the target did not run it.
    pub(crate) fn settle(&self, end: End, before: bool) {
        if matches!(end, End::Rejected | End::Unsent) {
            self.may_have_run.store(before, Ordering::Relaxed);
        }
    }

    pub(crate) fn ended(&mut self, start: &Start, end: End, first_token_ms: Option<u32>) {
        self.control.tell(Input::Ended {
            id: start.id.clone(),
            attempt: start.attempt,
            end,
            first_token_ms,
            stored: None,
        });
    }

    /// The generation goes on in the leg of `start`.
    pub(crate) fn moved(&mut self, start: &Start) {
        let (from, to) = (self.id.clone(), start.id.clone());
        self.id = to.clone();
        self.control.tell(Input::Moved { from, to });
    }

    pub(crate) fn close(&mut self) {
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
    pub(crate) fn split(self) -> (End, Option<A>) {
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
