//! The bounded replay buffer between the traffic task of a response and its caller.
//!
//! The traffic task pushes token events and one caller connection reads them. After the connection
//! is lost, another one can resume from any event still held. Unlike `stream::Replay`, the buffer
//! never drops an event that no connection has read; the traffic task waits instead.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::outcome::Refusal;
use hornbeamloom_kernel::request::Id;
use hornbeamloom_kernel::store::StoredResponse;
use hornbeamloom_kernel::stream::REPLAY_BUFFER_BYTES;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::engines::ConnectionPermit;
use crate::memory::Charge;
use crate::published;

/// Time for a disconnected caller to reconnect before its generation is cancelled.
pub(crate) const REATTACH_GRACE: Duration = Duration::from_secs(10);

/// Time for a connected caller to make room in a full buffer. A caller that reads nothing for this
/// long occupies engine memory without using it.
const READ_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A target's complete response, to be forwarded to the caller.
#[derive(Debug, Clone)]
pub(crate) struct TargetResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) body: Bytes,
}

/// How a response ends.
#[derive(Debug)]
pub(crate) enum Finish {
    /// All token events were pushed.
    Complete,
    /// The request was refused, or its attempt failed after some tokens.
    Refused(Refusal),
    /// A stored response is sent instead.
    Stored(StoredResponse),
    /// The target's own response, which is not a token stream.
    Forwarded(TargetResponse),
    /// The request was cancelled because its caller abandoned it.
    Cancelled,
}

/// The caller stayed away for the whole grace period, or stopped reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Abandoned;

/// The requested event is no longer held, or was never sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventsUnavailable;

#[derive(Debug, Default)]
struct Buffer {
    events: VecDeque<Bytes>,
    /// Sequence number of the first event held.
    first_seq: u64,
    /// Sequence number of the next event to read.
    next_read: u64,
    bytes: usize,
    unread_bytes: usize,
    finish: Option<Arc<Finish>>,
    /// Number of the newest connection, which is the only one that reads.
    connection: u64,
    /// Memory of the events held.
    charge: Option<Charge>,
}

impl Buffer {
    fn update_charge(&mut self) {
        let bytes = self.bytes;
        if let Some(charge) = &mut self.charge {
            charge.set(bytes);
        }
    }

    fn end_seq(&self) -> u64 {
        self.first_seq + self.events.len() as u64
    }

    /// Drops events that were read, oldest first, until the rest fits into `REPLAY_BYTES`.
    fn trim(&mut self) {
        while self.bytes > REPLAY_BUFFER_BYTES && self.first_seq < self.next_read {
            let Some(event) = self.events.pop_front() else {
                break;
            };
            self.bytes -= event.len();
            self.first_seq += 1;
        }
        self.update_charge();
    }
}

/// Connects one traffic task with the connections of its caller.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) id: Id,
    pub(crate) organisation: Name,
    grace_period: Duration,
    buffer: Mutex<Buffer>,
    changed: watch::Sender<()>,
    /// When the caller's connection was lost; `None` while there is one. Separate from `changed`,
    /// so that the traffic task does not wake up for each event that the caller reads.
    detached_at: watch::Sender<Option<Instant>>,
}

impl Relay {
    /// Creates a relay whose caller may stay disconnected for `grace_period`.
    pub(crate) fn new(id: &Id, organisation: &str, grace_period: Duration) -> Relay {
        Relay {
            id: id.clone(),
            organisation: organisation.into(),
            grace_period,
            buffer: Mutex::default(),
            changed: watch::Sender::new(()),
            detached_at: watch::Sender::new(None),
        }
    }

    /// Charges the events held to `charge`.
    pub(crate) fn with_charge(self, charge: Charge) -> Relay {
        self.lock().charge = Some(charge);
        self
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        // The lock is poisoned only after an invariant was already broken.
        self.buffer.lock().expect("no holder of the lock panics")
    }

    /// Appends the next token event; waits while `REPLAY_BYTES` or more are unread.
    pub(crate) async fn push(&self, event: Bytes) -> Result<(), Abandoned> {
        let mut changed = self.changed.subscribe();
        let stall_timeout = tokio::time::sleep(READ_STALL_TIMEOUT);
        tokio::pin!(stall_timeout);
        loop {
            {
                let mut buffer = self.lock();
                if buffer.unread_bytes < REPLAY_BUFFER_BYTES {
                    buffer.bytes += event.len();
                    buffer.unread_bytes += event.len();
                    buffer.events.push_back(event);
                    buffer.trim();
                    break;
                }
            }
            tokio::select! {
                _ = changed.changed() => {}
                _ = self.abandoned() => return Err(Abandoned),
                _ = &mut stall_timeout => return Err(Abandoned),
            }
        }
        self.changed.send_replace(());
        Ok(())
    }

    /// All events from the first one on, if they are still held.
    pub(crate) fn all_events(&self) -> Option<Vec<Bytes>> {
        let buffer = self.lock();
        (buffer.first_seq == 0).then(|| buffer.events.iter().cloned().collect())
    }

    /// Ends the response; later calls have no effect.
    pub(crate) fn finish(&self, finish: Finish) {
        self.lock().finish.get_or_insert_with(|| Arc::new(finish));
        self.changed.send_replace(());
    }

    /// Resolves when the caller has been disconnected for the whole grace period.
    pub(crate) async fn abandoned(&self) {
        let mut detached_at = published::Value::new(&self.detached_at);
        loop {
            match detached_at.get_and_update() {
                Some(since) if since.elapsed() >= self.grace_period => return,
                Some(since) => {
                    tokio::select! {
                        _ = detached_at.changed() => {}
                        _ = tokio::time::sleep_until(since + self.grace_period) => {}
                    }
                }
                // `self` owns the sender, so this returns only after a change.
                None => drop(detached_at.changed().await),
            }
        }
    }

    /// Connects a caller that reads from event `next` on; an earlier connection stops reading.
    pub(crate) fn attach(
        self: &Arc<Relay>,
        next: u64,
        permit: ConnectionPermit,
    ) -> Result<Reader, EventsUnavailable> {
        let connection = {
            let mut buffer = self.lock();
            if next < buffer.first_seq || next > buffer.end_seq() {
                return Err(EventsUnavailable);
            }
            buffer.connection += 1;
            self.detached_at.send_replace(None);
            buffer.next_read = next;
            let skipped = (next - buffer.first_seq) as usize;
            buffer.unread_bytes = buffer.events.iter().skip(skipped).map(Bytes::len).sum();
            buffer.connection
        };
        self.changed.send_replace(());
        Ok(Reader {
            connection,
            changed: self.changed.subscribe(),
            relay: self.clone(),
            _permit: permit,
        })
    }
}

/// What a caller's connection reads next.
#[derive(Debug)]
pub(crate) enum ReadItem {
    /// Token events; the first has this sequence number.
    Events(u64, Vec<Bytes>),
    /// The end of the response.
    Finish(Arc<Finish>),
    /// A newer connection of the caller has taken over.
    Replaced,
}

/// One caller connection; dropping it starts the grace period.
#[derive(Debug)]
pub(crate) struct Reader {
    connection: u64,
    changed: watch::Receiver<()>,
    pub(crate) relay: Arc<Relay>,
    _permit: ConnectionPermit,
}

impl Reader {
    /// Waits for the next events or the end. This method is cancel safe.
    pub(crate) async fn next(&mut self) -> ReadItem {
        loop {
            self.changed.mark_unchanged();
            if let Some(item) = self.try_next() {
                return item;
            }
            // `relay` owns the sender, so this returns only after a change.
            drop(self.changed.changed().await);
        }
    }

    fn try_next(&mut self) -> Option<ReadItem> {
        let mut buffer = self.relay.lock();
        if buffer.connection != self.connection {
            return Some(ReadItem::Replaced);
        }
        let next = buffer.next_read;
        if next == buffer.end_seq() {
            return buffer.finish.clone().map(ReadItem::Finish);
        }
        let skipped = (next - buffer.first_seq) as usize;
        let events: Vec<Bytes> = buffer.events.iter().skip(skipped).cloned().collect();
        buffer.next_read = buffer.end_seq();
        buffer.unread_bytes = 0;
        buffer.trim();
        drop(buffer);
        self.relay.changed.send_replace(());
        Some(ReadItem::Events(next, events))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let buffer = self.relay.lock();
        if buffer.connection == self.connection {
            self.relay.detached_at.send_replace(Some(Instant::now()));
        }
    }
}
