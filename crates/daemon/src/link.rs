//! An outbound link to a peer: a bounded send queue and the WebSocket connection that drains it.
//!
//! The queue is shared between the task that routes outcomes and the link's own task. Its lock is
//! held only while frames are moved in memory, never across an await.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::SplitSink;
use futures_util::{SinkExt, StreamExt};
use hornbeamloom_kernel::ids::Name;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::http::header::AUTHORIZATION;
use tokio_tungstenite::tungstenite::http::HeaderValue;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};
use tokio_tungstenite::WebSocketStream;

use crate::jitter;

/// Minimum interval between heartbeats on a link that carries frames.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a link with an unanswered heartbeat is closed and reopened.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for a connection to be established, shorter than the 1 s after which TCP retransmits a
/// lost SYN: after a power loss, the peers of a VM start within some tenths of a second of it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without outgoing frames after which a link is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without a connection after which a link is given up together with its queued frames. A VM
/// that was replaced never comes back to its address.
pub const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Initial reconnect delay; doubles with each failure up to `MAX_BACKOFF`.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum reconnect delay; kept short because the peer may be back at any time.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum number of frames queued on one link.
///
/// A busy link carries a few hundred frames a second, so this is several times what accumulates
/// before an unresponsive link is closed.
pub const MAX_QUEUED_FRAMES: usize = 1_024;
/// Maximum number of bytes queued on one link (4 MiB): at least four frames of maximum size.
pub const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Path of a link on the peer listener.
const FRAMES_PATH: &str = "/peers";
/// Metric label of heartbeats.
const HEARTBEAT_KIND: &str = "heartbeat";
/// Kind of gossip frames, which are dropped first because the next gossip round supersedes them.
const GOSSIP_KIND: &str = "gossip";

/// An encoded frame waiting to be sent.
#[derive(Debug, Clone)]
pub struct OutgoingFrame {
    /// Kind of the message, as used in metric labels.
    pub kind: &'static str,
    /// The encoded message.
    pub bytes: Bytes,
}

#[derive(Debug, Default)]
struct PendingFrames {
    frames: VecDeque<OutgoingFrame>,
    bytes: usize,
    is_closed: bool,
}

/// A bounded queue of frames to one peer.
#[derive(Debug, Default)]
pub struct Queue {
    pending: Mutex<PendingFrames>,
    frame_added: Notify,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Queue {
        Queue::default()
    }

    /// Appends a frame. If a bound is exceeded, drops the oldest gossip frames first, then the
    /// oldest frames of any kind.
    ///
    /// Returns the kinds of the dropped frames, or gives the frame back if the queue is closed.
    ///
    /// ```
    /// use hornbeamloom_daemon::link::{OutgoingFrame, Queue};
    ///
    /// let queue = Queue::new();
    /// let frame = OutgoingFrame { kind: "ask", bytes: vec![1, 2, 3].into() };
    /// assert!(queue.push(frame).unwrap().is_empty());
    /// assert_eq!(queue.pop().unwrap().kind, "ask");
    /// ```
    pub fn push(&self, frame: OutgoingFrame) -> Result<Vec<&'static str>, OutgoingFrame> {
        let mut pending = self.lock();
        if pending.is_closed {
            return Err(frame);
        }
        pending.bytes += frame.bytes.len();
        pending.frames.push_back(frame);
        let mut dropped = Vec::new();
        while pending.frames.len() > MAX_QUEUED_FRAMES || pending.bytes > MAX_QUEUED_BYTES {
            dropped.extend(pending.evict_one());
        }
        drop(pending);
        self.frame_added.notify_one();
        Ok(dropped)
    }

    /// Removes and returns the oldest frame.
    pub fn pop(&self) -> Option<OutgoingFrame> {
        let mut pending = self.lock();
        let frame = pending.frames.pop_front()?;
        pending.bytes -= frame.bytes.len();
        Some(frame)
    }

    /// Whether the link of the queue has ended.
    ///
    /// ```
    /// use hornbeamloom_daemon::link::Queue;
    ///
    /// assert!(!Queue::new().is_closed());
    /// ```
    pub fn is_closed(&self) -> bool {
        self.lock().is_closed
    }

    /// Closes the queue and drops its frames; returns their number.
    fn close(&self) -> usize {
        let mut pending = self.lock();
        pending.is_closed = true;
        pending.bytes = 0;
        let dropped = pending.frames.len();
        pending.frames = VecDeque::new();
        dropped
    }

    /// Closes the queue if it is empty; returns whether it is now closed.
    fn close_if_empty(&self) -> bool {
        let mut pending = self.lock();
        pending.is_closed = pending.frames.is_empty();
        pending.is_closed
    }

    fn lock(&self) -> MutexGuard<'_, PendingFrames> {
        // A poisoned lock is safe to use: no code that holds it can panic between two updates.
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PendingFrames {
    fn evict_one(&mut self) -> Option<&'static str> {
        let gossip = self.frames.iter().position(|frame| frame.kind == GOSSIP_KIND);
        let frame = self.frames.remove(gossip.unwrap_or(0))?;
        self.bytes -= frame.bytes.len();
        Some(frame.kind)
    }
}

/// Address of a peer and the key presented to it.
#[derive(Clone)]
pub struct Endpoint {
    /// The peer's `IP:port`.
    pub address: Name,
    /// The peer key to present.
    pub key: String,
}

/// The reason why a link was closed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum Error {
    /// No frame was sent for [`IDLE_TIMEOUT`].
    #[error("unused")]
    Idle,
    /// The peer did not respond within [`HEARTBEAT_TIMEOUT`].
    #[error("no response within {} s", HEARTBEAT_TIMEOUT.as_secs())]
    TimedOut,
    /// The peer closed the connection.
    #[error("closed by the peer")]
    Closed,
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The WebSocket connection failed.
    #[error("{0}")]
    WebSocket(#[from] tungstenite::Error),
}

impl Error {
    fn label(&self) -> &'static str {
        match self {
            Error::Idle => "link_unused",
            Error::TimedOut => "link_silent",
            Error::Closed => "link_closed",
            Error::Connect(_) => "link_refused",
            Error::WebSocket(_) => "link_broken",
        }
    }
}

/// Maintains a link to `endpoint` until it is unused or unreachable, reconnecting whenever it fails.
///
/// `endpoint` is evaluated at each attempt, so that a replaced key is used immediately.
pub async fn run(endpoint: impl Fn() -> Endpoint, queue: Arc<Queue>) {
    let mut backoff = MIN_BACKOFF;
    let mut unreachable_since: Option<Instant> = None;
    loop {
        let opened_at = Instant::now();
        let error = match open(&endpoint(), FRAMES_PATH).await {
            Ok(socket) => {
                unreachable_since = None;
                run_connection(socket, &queue).await
            }
            Err(error) => {
                unreachable_since.get_or_insert(opened_at);
                error
            }
        };
        count_event(error.label());
        let is_unused = matches!(error, Error::Idle) || opened_at.elapsed() > IDLE_TIMEOUT;
        if is_unused && queue.close_if_empty() {
            return;
        }
        if unreachable_since.is_some_and(|at| at.elapsed() >= UNREACHABLE_TIMEOUT) {
            let frames = queue.close();
            log::info!("peer={} link given up frames={frames}: {error}", endpoint().address);
            return count_event("link_unreachable");
        }
        if opened_at.elapsed() > HEARTBEAT_TIMEOUT {
            backoff = MIN_BACKOFF;
        }
        let level = match error {
            // Frames sent meanwhile may be lost.
            Error::TimedOut => log::Level::Info,
            _ => log::Level::Debug,
        };
        log::log!(level, "peer={} link ended: {error}", endpoint().address);
        tokio::time::sleep(jitter::shortened(backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Buffer size for each direction of a link, in bytes.
///
/// The library's default of 128 KiB would use 60 MiB for the links of one VM at the two-year scale.
const BUFFER_BYTES: usize = 4 << 10;

/// Returns a WebSocket configuration that rejects messages larger than the maximum frame size.
pub(crate) fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(hornbeamloom_wire::frame::MAX_BYTES))
        .max_frame_size(Some(hornbeamloom_wire::frame::MAX_BYTES))
}

/// Opens a WebSocket connection to a peer under the given path.
pub(crate) async fn open(
    endpoint: &Endpoint,
    path: &str,
) -> Result<WebSocketStream<TcpStream>, Error> {
    let connect = async {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(&*endpoint.address))
            .await
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        let mut request = format!("ws://{}{path}", endpoint.address).into_client_request()?;
        let key = HeaderValue::from_str(&format!("Bearer {}", endpoint.key))
            .map_err(tungstenite::http::Error::from)
            .map_err(tungstenite::Error::from)?;
        request.headers_mut().insert(AUTHORIZATION, key);
        let (socket, _) =
            tokio_tungstenite::client_async_with_config(request, stream, Some(websocket_config()))
                .await?;
        Ok(socket)
    };
    timeout(HEARTBEAT_TIMEOUT, connect).await.unwrap_or(Err(Error::TimedOut))
}

/// Heartbeat state of an open link.
struct Liveness {
    /// When the last frame was sent.
    last_frame_at: Instant,
    /// Whether frames have been sent since the last heartbeat.
    needs_heartbeat: bool,
    /// When the last heartbeat was sent.
    last_heartbeat_at: Instant,
    /// Whether the last heartbeat is still unanswered.
    awaits_pong: bool,
}

impl Liveness {
    fn new(now: Instant) -> Liveness {
        Liveness {
            last_frame_at: now,
            needs_heartbeat: true,
            last_heartbeat_at: now - HEARTBEAT_INTERVAL,
            awaits_pong: false,
        }
    }

    /// Returns the time of the next heartbeat timeout, heartbeat or idle timeout.
    fn next_deadline(&self) -> Instant {
        match (self.awaits_pong, self.needs_heartbeat) {
            (true, _) => self.last_heartbeat_at + HEARTBEAT_TIMEOUT,
            (false, true) => self.last_heartbeat_at + HEARTBEAT_INTERVAL,
            (false, false) => self.last_frame_at + IDLE_TIMEOUT,
        }
    }
}

/// Sends queued frames until the connection fails or is unused.
///
/// Heartbeats are sent only after frames, at most one every [`HEARTBEAT_INTERVAL`]. A link without
/// traffic therefore costs nothing, and a fleet keeps hundreds of them open for gossip.
async fn run_connection(socket: WebSocketStream<TcpStream>, queue: &Queue) -> Error {
    let (mut sink, mut stream) = socket.split();
    let mut liveness = Liveness::new(Instant::now());
    loop {
        tokio::select! {
            read = stream.next() => match read {
                Some(Ok(message)) => {
                    count_bytes("received", HEARTBEAT_KIND, message.len());
                    liveness.awaits_pong = false;
                    continue;
                }
                Some(Err(error)) => return error.into(),
                None => return Error::Closed,
            },
            _ = queue.frame_added.notified() => {}
            _ = tokio::time::sleep_until(liveness.next_deadline()) => {
                if liveness.awaits_pong {
                    return Error::TimedOut;
                }
                if !liveness.needs_heartbeat {
                    return Error::Idle;
                }
            }
        }
        // A socket buffer that stays full is treated like an unanswered heartbeat.
        match timeout(HEARTBEAT_TIMEOUT, send_pending(&mut sink, queue, &mut liveness)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error.into(),
            Err(_) => return Error::TimedOut,
        }
    }
}

type Sink = SplitSink<WebSocketStream<TcpStream>, Message>;

/// Sends all queued frames, and a heartbeat if one is due.
async fn send_pending(
    sink: &mut Sink,
    queue: &Queue,
    liveness: &mut Liveness,
) -> Result<(), tungstenite::Error> {
    while let Some(frame) = queue.pop() {
        liveness.last_frame_at = Instant::now();
        liveness.needs_heartbeat = true;
        count_bytes("sent", frame.kind, frame.bytes.len());
        sink.feed(Message::Binary(frame.bytes)).await?;
    }
    let now = Instant::now();
    if liveness.needs_heartbeat
        && !liveness.awaits_pong
        && now >= liveness.last_heartbeat_at + HEARTBEAT_INTERVAL
    {
        count_bytes("sent", HEARTBEAT_KIND, 0);
        sink.feed(Message::Ping(Bytes::new())).await?;
        liveness.last_heartbeat_at = now;
        liveness.awaits_pong = true;
        liveness.needs_heartbeat = false;
    }
    sink.flush().await
}

/// Counts the payload bytes of one message.
pub(crate) fn count_bytes(direction: &'static str, kind: &'static str, bytes: usize) {
    metrics::counter!("hornbeamloom_peer_bytes_total", "direction" => direction, "kind" => kind)
        .increment(bytes as u64);
}

/// Increments the event counter; `event` is a metric label.
pub(crate) fn count_event(event: &'static str) {
    metrics::counter!("hornbeamloom_events_total", "event" => event).increment(1);
}

/// Increments the counter of ignored inputs; `input` is a metric label.
pub(crate) fn count_ignored(input: &'static str) {
    metrics::counter!("hornbeamloom_ignored_total", "input" => input).increment(1);
}
