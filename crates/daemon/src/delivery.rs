//! The channel that carries a response from a traffic task to its caller.

use bytes::Bytes;
use hornbeamloom_kernel::outcome::Refusal;
use tokio::sync::{mpsc, oneshot};

use crate::generation::Truncated;

/// Events buffered for a slow caller. While the buffer is full, the target is not read.
const MAX_PENDING_EVENTS: usize = 32;

/// Sends one response to a caller: a full one, or a head followed by the chunks of a stream.
#[derive(Debug)]
pub struct ResponseSender<A> {
    response: Option<oneshot::Sender<Result<CallerResponse<A>, Refusal>>>,
    chunks: Option<mpsc::Receiver<Result<Bytes, Truncated>>>,
    pub(crate) body: mpsc::Sender<Result<Bytes, Truncated>>,
}

/// A response to a caller.
#[derive(Debug)]
pub enum CallerResponse<A> {
    /// A full response.
    Full(A),
    /// The head of a streamed response, and the chunks of its body.
    Stream(A, mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl<A> ResponseSender<A> {
    /// Creates a sender and the receiver for its response.
    pub fn new() -> (ResponseSender<A>, oneshot::Receiver<Result<CallerResponse<A>, Refusal>>) {
        let (response, receiver) = oneshot::channel();
        let (body, chunks) = mpsc::channel(MAX_PENDING_EVENTS);
        (ResponseSender { response: Some(response), chunks: Some(chunks), body }, receiver)
    }

    pub(crate) fn start_stream(&mut self, head: A) {
        if let (Some(response), Some(chunks)) = (self.response.take(), self.chunks.take()) {
            // Fails only if the caller has disconnected.
            let _ = response.send(Ok(CallerResponse::Stream(head, chunks)));
        }
    }

    pub(crate) fn send_result(&mut self, result: Result<A, Refusal>) {
        if let Some(response) = self.response.take() {
            // Fails only if the caller has disconnected.
            let _ = response.send(result.map(CallerResponse::Full));
        }
    }

    /// Resolves when the caller has disconnected.
    pub(crate) async fn closed(&mut self) {
        match &mut self.response {
            Some(response) => response.closed().await,
            None => self.body.closed().await,
        }
    }

    /// Ends the body with an error, so that the caller cannot take it for a complete response.
    pub(crate) async fn abort(&mut self) {
        // Fails only if the caller has disconnected.
        let _ = self.body.send(Err(Truncated)).await;
    }
}
