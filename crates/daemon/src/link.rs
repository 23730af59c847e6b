//! One link to a peer: a bounded send queue and the WebSocket that empties it.
//!
//! The queue is shared between the task that routes outcomes and the task of the link. Its lock is
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

/// Time between two heartbeats on a link in use.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// A link on which a heartbeat has no answer for this long is abandoned.
pub const SILENCE: Duration = Duration::from_secs(2);
/// A link without messages for this long is closed.
pub const UNUSED: Duration = Duration::from_secs(30);
/// First wait before a link is opened again; doubles up to `BACKOFF_MAX`.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest wait before a link is opened again; the other end may be back at any time.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Frames waiting on one link. A busy link carries some hundred frames a second, so this is
/// several times what accumulates before a silent link is abandoned.
pub const QUEUE_FRAMES: usize = 1_024;
/// Bytes waiting on one link (4 MiB): at least four frames of the largest size.
pub const QUEUE_BYTES: usize = 4 << 20;
/// Label of heartbeats in the metrics.
const HEARTBEAT_KIND: &str = "heartbeat";
/// Label of gossip, which is the first to be dropped: the next round replaces it.
const GOSSIP_KIND: &str = "gossip";

/// An encoded frame waiting to be sent.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// Kind of its message.
    pub kind: &'static str,
    /// The frame.
    pub bytes: Bytes,
}

#[derive(Debug, Default)]
struct Waiting {
    frames: VecDeque<Outgoing>,
    bytes: usize,
    is_closed: bool,
}

/// A bounded queue of frames to one peer.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: Mutex<Waiting>,
    added: Notify,
}

impl Queue {
    /// An empty queue.
    pub fn new() -> Queue {
        Queue::default()
    }

    /// Adds a frame and drops others where a bound is exceeded, the oldest gossip first.
    ///
    /// Returns the kinds dropped, or gives the frame back if the queue was closed.
    ///
    /// ```
    /// use hornbeamloom_daemon::link::{Outgoing, Queue};
    ///
    /// let queue = Queue::new();
    /// let frame = Outgoing { kind: "ask", bytes: vec![1, 2, 3].into() };
    /// assert!(queue.push(frame).unwrap().is_empty());
    /// assert_eq!(queue.pop().unwrap().kind, "ask");
    /// ```
    pub fn push(&self, frame: Outgoing) -> Result<Vec<&'static str>, Outgoing> {
        let mut waiting = self.lock();
        if waiting.is_closed {
            return Err(frame);
        }
        waiting.bytes += frame.bytes.len();
        waiting.frames.push_back(frame);
        let mut dropped = Vec::new();
        while waiting.frames.len() > QUEUE_FRAMES || waiting.bytes > QUEUE_BYTES {
            dropped.extend(waiting.drop_one());
        }
        drop(waiting);
        self.added.notify_one();
        Ok(dropped)
    }

    /// Takes the oldest frame.
    pub fn pop(&self) -> Option<Outgoing> {
        let mut waiting = self.lock();
        let frame = waiting.frames.pop_front()?;
        waiting.bytes -= frame.bytes.len();
        Some(frame)
    }

    /// Closes the queue if it is empty; returns whether it did.
    fn close_if_empty(&self) -> bool {
        let mut waiting = self.lock();
        waiting.is_closed = waiting.frames.is_empty();
        waiting.is_closed
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        // The lock is held only for moves that cannot panic half-way.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiting {
    fn drop_one(&mut self) -> Option<&'static str> {
        let gossip = self.frames.iter().position(|frame| frame.kind == GOSSIP_KIND);
        let frame = self.frames.remove(gossip.unwrap_or(0))?;
        self.bytes -= frame.bytes.len();
        Some(frame.kind)
    }
}

/// Where a link leads and how it introduces itself.
#[derive(Clone)]
pub struct Peer {
    /// Its `IP:port`.
    pub address: Name,
    /// The peer key to present.
    pub key: String,
}

/// Why a link ended.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum Error {
    /// Nothing was to be sent for [`UNUSED`].
    #[error("unused")]
    Unused,
    /// A heartbeat had no answer for [`SILENCE`].
    #[error("no answer for {} s", SILENCE.as_secs())]
    Silent,
    /// The other end closed it.
    #[error("closed by the peer")]
    Closed,
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke.
    #[error("{0}")]
    Broken(#[from] tungstenite::Error),
}

impl Error {
    fn as_str(&self) -> &'static str {
        match self {
            Error::Unused => "link_unused",
            Error::Silent => "link_silent",
            Error::Closed => "link_closed",
            Error::Connect(_) => "link_refused",
            Error::Broken(_) => "link_broken",
        }
    }
}

/// Keeps a link to `peer` until it is unused, and opens it again whenever it fails.
///
/// `peer` gives the address and key at each attempt, so that a replaced key is used at once.
pub async fn run(peer: impl Fn() -> Peer, queue: Arc<Queue>) {
    let mut backoff = BACKOFF_MIN;
    loop {
        let opened = Instant::now();
        let error = match open(&peer()).await {
            Ok(socket) => send_all(socket, &queue).await,
            Err(error) => error,
        };
        count_event(error.as_str());
        let is_idle = matches!(error, Error::Unused) || opened.elapsed() > UNUSED;
        if is_idle && queue.close_if_empty() {
            return;
        }
        if opened.elapsed() > SILENCE {
            backoff = BACKOFF_MIN;
        }
        log::debug!("peer={} link ended: {error}", peer().address);
        tokio::time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

/// Buffer of each direction of a link in bytes; the library's 128 KiB would take 60 MiB for the
/// links of one VM at the two-year scale.
const BUFFER_BYTES: usize = 4 << 10;

/// Limits of the WebSocket layer: nothing larger than a frame is read into memory.
pub(crate) fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(hornbeamloom_wire::frame::MAX_BYTES))
        .max_frame_size(Some(hornbeamloom_wire::frame::MAX_BYTES))
}

async fn open(peer: &Peer) -> Result<WebSocketStream<TcpStream>, Error> {
    let opening = async {
        let stream = TcpStream::connect(&*peer.address).await?;
        stream.set_nodelay(true)?;
        let mut request = format!("ws://{}/peers", peer.address).into_client_request()?;
        let key = HeaderValue::from_str(&format!("Bearer {}", peer.key))
            .map_err(tungstenite::http::Error::from)
            .map_err(tungstenite::Error::from)?;
        request.headers_mut().insert(AUTHORIZATION, key);
        let (socket, _) =
            tokio_tungstenite::client_async_with_config(request, stream, Some(limits())).await?;
        Ok(socket)
    };
    timeout(SILENCE, opening).await.unwrap_or(Err(Error::Silent))
}

/// What is known about an open link.
struct Health {
    /// When the last frame was sent.
    used: Instant,
    /// Frames were sent after the last heartbeat.
    is_unconfirmed: bool,
    /// When the last heartbeat was sent.
    beat: Instant,
    /// The last heartbeat has no answer yet.
    is_waiting: bool,
}

impl Health {
    fn new(now: Instant) -> Health {
        Health { used: now, is_unconfirmed: true, beat: now - HEARTBEAT, is_waiting: false }
    }

    /// When something is due: the end of the wait for an answer, the next heartbeat or the end of
    /// an unused link.
    fn due(&self) -> Instant {
        match (self.is_waiting, self.is_unconfirmed) {
            (true, _) => self.beat + SILENCE,
            (false, true) => self.beat + HEARTBEAT,
            (false, false) => self.used + UNUSED,
        }
    }
}

/// Sends what the queue holds until the link fails or is unused.
///
/// Heartbeats follow frames, at most one every [`HEARTBEAT`]: a link without traffic costs nothing,
/// and a fleet keeps hundreds of them open for its gossip.
async fn send_all(socket: WebSocketStream<TcpStream>, queue: &Queue) -> Error {
    let (mut sink, mut stream) = socket.split();
    let mut health = Health::new(Instant::now());
    loop {
        tokio::select! {
            read = stream.next() => match read {
                Some(Ok(message)) => {
                    count_bytes("received", HEARTBEAT_KIND, message.len());
                    health.is_waiting = false;
                    continue;
                }
                Some(Err(error)) => return error.into(),
                None => return Error::Closed,
            },
            _ = queue.added.notified() => {}
            _ = tokio::time::sleep_until(health.due()) => {
                if health.is_waiting {
                    return Error::Silent;
                }
                if !health.is_unconfirmed {
                    return Error::Unused;
                }
            }
        }
        // A full socket buffer that does not empty is the same fault as a link without answers.
        match timeout(SILENCE, send_waiting(&mut sink, queue, &mut health)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error.into(),
            Err(_) => return Error::Silent,
        }
    }
}

type Sink = SplitSink<WebSocketStream<TcpStream>, Message>;

/// Sends all waiting frames and a heartbeat if one is due.
async fn send_waiting(
    sink: &mut Sink,
    queue: &Queue,
    health: &mut Health,
) -> Result<(), tungstenite::Error> {
    while let Some(frame) = queue.pop() {
        health.used = Instant::now();
        health.is_unconfirmed = true;
        count_bytes("sent", frame.kind, frame.bytes.len());
        sink.feed(Message::Binary(frame.bytes)).await?;
    }
    let now = Instant::now();
    if health.is_unconfirmed && !health.is_waiting && now >= health.beat + HEARTBEAT {
        count_bytes("sent", HEARTBEAT_KIND, 0);
        sink.feed(Message::Ping(Bytes::new())).await?;
        health.beat = now;
        health.is_waiting = true;
        health.is_unconfirmed = false;
    }
    sink.flush().await
}

/// Between half of `wait` and all of it, so that many VMs do not reconnect at the same instant.
fn jittered(wait: Duration) -> Duration {
    // Without random bytes the full wait is used.
    let random = getrandom::u32().unwrap_or(u32::MAX);
    wait.mul_f64(0.5 + 0.5 * f64::from(random) / f64::from(u32::MAX))
}

/// Counts the payload bytes of one message.
pub(crate) fn count_bytes(direction: &'static str, kind: &'static str, bytes: usize) {
    metrics::counter!("hornbeamloom_peer_bytes_total", "direction" => direction, "kind" => kind)
        .increment(bytes as u64);
}

/// Counts an event by a fixed label.
pub(crate) fn count_event(event: &'static str) {
    metrics::counter!("hornbeamloom_events_total", "event" => event).increment(1);
}

/// Counts an ignored input by a fixed label.
pub(crate) fn count_ignored(input: &'static str) {
    metrics::counter!("hornbeamloom_ignored_total", "input" => input).increment(1);
}
