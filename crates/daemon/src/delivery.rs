//! The caller's end of a stream.

use bytes::Bytes;
use hornbeamloom_kernel::outcome::Refusal;
use tokio::sync::{mpsc, oneshot};

use crate::generation::Truncated;

/// Events of a stream that wait for its caller; beyond that the target is read no further.
const MAX_PENDING_EVENTS: usize = 32;

/// The caller's end of a stream.
#[derive(Debug)]
pub struct ResponseSender<A> {
    response: Option<oneshot::Sender<Result<CallerResponse<A>, Refusal>>>,
    chunks: Option<mpsc::Receiver<Result<Bytes, Truncated>>>,
    pub(crate) body: mpsc::Sender<Result<Bytes, Truncated>>,
}

/// What the caller gets.
#[derive(Debug)]
pub enum CallerResponse<A> {
    /// A whole answer.
    Full(A),
    /// The head of a stream and its parts.
    Stream(A, mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl<A> ResponseSender<A> {
    /// A caller's end, and where its answer comes out.
    pub fn new() -> (ResponseSender<A>, oneshot::Receiver<Result<CallerResponse<A>, Refusal>>) {
        let (response, receiver) = oneshot::channel();
        let (body, chunks) = mpsc::channel(MAX_PENDING_EVENTS);
        (ResponseSender { response: Some(response), chunks: Some(chunks), body }, receiver)
    }

    pub(crate) fn start_stream(&mut self, head: A) {
        if let (Some(response), Some(chunks)) = (self.response.take(), self.chunks.take()) {
            // The caller may have left.
            let _ = response.send(Ok(CallerResponse::Stream(head, chunks)));
        }
    }

    pub(crate) fn send_result(&mut self, result: Result<A, Refusal>) {
        if let Some(response) = self.response.take() {
            // The caller may have left.
            let _ = response.send(result.map(CallerResponse::Full));
        }
    }

    /// Resolves when the caller went away.
    pub(crate) async fn closed(&mut self) {
        match &mut self.response {
            Some(response) => response.closed().await,
            None => self.body.closed().await,
        }
    }

    /// Breaks the answer off, so that it cannot pass for a whole one.
    pub(crate) async fn abort(&mut self) {
        // The caller may have left.
        let _ = self.body.send(Err(Truncated)).await;
    }
}
