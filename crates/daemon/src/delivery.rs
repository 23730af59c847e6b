//! The caller's end of a stream.

use bytes::Bytes;
use hornbeamloom_kernel::outcome::Refusal;
use tokio::sync::{mpsc, oneshot};

use crate::generation::Truncated;

/// Events of a stream that wait for its caller; beyond that the target is read no further.
const EVENTS_MAX: usize = 32;

/// The caller's end of a stream.
#[derive(Debug)]
pub struct Caller<A> {
    answer: Option<oneshot::Sender<Result<Answer<A>, Refusal>>>,
    events: Option<mpsc::Receiver<Result<Bytes, Truncated>>>,
    pub(crate) body: mpsc::Sender<Result<Bytes, Truncated>>,
}

/// What the caller gets.
#[derive(Debug)]
pub enum Answer<A> {
    /// A whole answer.
    Whole(A),
    /// The head of a stream and its parts.
    Stream(A, mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl<A> Caller<A> {
    /// A caller's end, and where its answer comes out.
    pub fn new() -> (Caller<A>, oneshot::Receiver<Result<Answer<A>, Refusal>>) {
        let (answer, receiver) = oneshot::channel();
        let (body, events) = mpsc::channel(EVENTS_MAX);
        (Caller { answer: Some(answer), events: Some(events), body }, receiver)
    }

    pub(crate) fn begin(&mut self, head: A) {
        if let (Some(answer), Some(events)) = (self.answer.take(), self.events.take()) {
            // The caller may have left.
            let _ = answer.send(Ok(Answer::Stream(head, events)));
        }
    }

    pub(crate) fn give(&mut self, result: Result<A, Refusal>) {
        if let Some(answer) = self.answer.take() {
            // The caller may have left.
            let _ = answer.send(result.map(Answer::Whole));
        }
    }

    /// Resolves when the caller went away.
    pub(crate) async fn left(&mut self) {
        match &mut self.answer {
            Some(answer) => answer.closed().await,
            None => self.body.closed().await,
        }
    }

    /// Breaks the answer off, so that it cannot pass for a whole one.
    pub(crate) async fn cut(&mut self) {
        // The caller may have left.
        let _ = self.body.send(Err(Truncated)).await;
    }
}
