//! One answer on its way from a traffic task to its caller, with a bounded replay buffer.
//!
//! The traffic task pushes token events, one caller connection reads them. When the connection is
//! lost, another one may go on from any event still held. Unlike `stream::Replay`, the buffer never
//! drops an event that no connection has read: the traffic task waits instead.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::outcome::Refusal;
use hornbeamloom_kernel::request::Id;
use hornbeamloom_kernel::store::Stored;
use hornbeamloom_kernel::stream::REPLAY_BUFFER_BYTES;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::engines::Place;

/// Time for a caller to come back before its generation is cancelled.
pub(crate) const GRACE: Duration = Duration::from_secs(10);

/// Time for a connected caller to make room in a full buffer. A caller that reads nothing for
/// this long keeps engine memory in use for nobody.
const STUCK: Duration = Duration::from_secs(30);

/// An answer passed through as a whole.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) body: Bytes,
}

/// How an answer ends.
#[derive(Debug)]
pub(crate) enum Finish {
    /// All tokens were pushed.
    Done,
    /// It was refused, or broke after some tokens.
    Refused(Refusal),
    /// A kept answer takes its place.
    Replay(Stored),
    /// The target's own answer, not a token stream.
    Passed(Answer),
    /// Nobody waits for it any more.
    Cancelled,
}

/// The caller is gone for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Departed;

/// The wanted event is no longer held, or was never sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Missing;

#[derive(Debug, Default)]
struct Buffer {
    events: VecDeque<Bytes>,
    /// Sequence number of the first event held.
    first: u64,
    /// Sequence number of the next event to read.
    read: u64,
    bytes: usize,
    unread: usize,
    finish: Option<Arc<Finish>>,
    /// Counts connections; only the newest one reads.
    reader: u64,
}

impl Buffer {
    fn end(&self) -> u64 {
        self.first + self.events.len() as u64
    }

    /// Drops events that were read, oldest first, until the rest fits.
    fn trim(&mut self) {
        while self.bytes > REPLAY_BUFFER_BYTES && self.first < self.read {
            let Some(event) = self.events.pop_front() else {
                return;
            };
            self.bytes -= event.len();
            self.first += 1;
        }
    }
}

/// The meeting point of one traffic task and the connections of its caller.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) id: Id,
    pub(crate) organisation: Name,
    grace: Duration,
    buffer: Mutex<Buffer>,
    changed: watch::Sender<()>,
    /// When the caller's connection was lost; `None` while there is one. Apart from `changed`, so
    /// that the traffic task does not wake up for each event that the caller takes.
    detached: watch::Sender<Option<Instant>>,
}

impl Relay {
    /// A relay whose caller may stay away for `grace`.
    pub(crate) fn new(id: &Id, organisation: &str, grace: Duration) -> Relay {
        Relay {
            id: id.clone(),
            organisation: organisation.into(),
            grace,
            buffer: Mutex::default(),
            changed: watch::Sender::new(()),
            detached: watch::Sender::new(None),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        // A panic while the lock is held is a broken invariant already.
        self.buffer.lock().expect("no holder of the lock panics")
    }

    /// Adds the next token event; waits while the caller has not read `REPLAY_BYTES`.
    pub(crate) async fn push(&self, event: Bytes) -> Result<(), Departed> {
        let mut changed = self.changed.subscribe();
        let limit = tokio::time::sleep(STUCK);
        tokio::pin!(limit);
        loop {
            {
                let mut buffer = self.lock();
                if buffer.unread < REPLAY_BUFFER_BYTES {
                    buffer.bytes += event.len();
                    buffer.unread += event.len();
                    buffer.events.push_back(event);
                    buffer.trim();
                    break;
                }
            }
            tokio::select! {
                _ = changed.changed() => {}
                _ = self.departed() => return Err(Departed),
                _ = &mut limit => return Err(Departed),
            }
        }
        self.changed.send_replace(());
        Ok(())
    }

    /// All events since the first one, if they are still held.
    pub(crate) fn events(&self) -> Option<Vec<Bytes>> {
        let buffer = self.lock();
        (buffer.first == 0).then(|| buffer.events.iter().cloned().collect())
    }

    /// Ends the answer; later calls have no effect.
    pub(crate) fn finish(&self, finish: Finish) {
        self.lock().finish.get_or_insert_with(|| Arc::new(finish));
        self.changed.send_replace(());
    }

    /// Resolves when the caller has been away for the whole grace period.
    pub(crate) async fn departed(&self) {
        let mut changed = self.detached.subscribe();
        loop {
            let detached = *changed.borrow_and_update();
            match detached {
                Some(since) if since.elapsed() >= self.grace => return,
                Some(since) => {
                    tokio::select! {
                        _ = changed.changed() => {}
                        _ = tokio::time::sleep_until(since + self.grace) => {}
                    }
                }
                // The sender lives in `self`, so this ends only with a change.
                None => drop(changed.changed().await),
            }
        }
    }

    /// Connects a caller that wants event `next` first; an earlier connection stops reading.
    pub(crate) fn attach(self: &Arc<Relay>, next: u64, place: Place) -> Result<Reader, Missing> {
        let number = {
            let mut buffer = self.lock();
            if next < buffer.first || next > buffer.end() {
                return Err(Missing);
            }
            buffer.reader += 1;
            self.detached.send_replace(None);
            buffer.read = next;
            let skipped = (next - buffer.first) as usize;
            buffer.unread = buffer.events.iter().skip(skipped).map(Bytes::len).sum();
            buffer.reader
        };
        self.changed.send_replace(());
        Ok(Reader { number, changed: self.changed.subscribe(), relay: self.clone(), _place: place })
    }
}

/// What a caller's connection gets next.
#[derive(Debug)]
pub(crate) enum Step {
    /// Token events; the first has this sequence number.
    Events(u64, Vec<Bytes>),
    /// The end.
    Finish(Arc<Finish>),
    /// A newer connection of the caller took over.
    Replaced,
}

/// One caller connection; dropping it starts the grace period.
#[derive(Debug)]
pub(crate) struct Reader {
    number: u64,
    changed: watch::Receiver<()>,
    pub(crate) relay: Arc<Relay>,
    _place: Place,
}

impl Reader {
    /// Waits for the next events or the end. Safe to drop and call again.
    pub(crate) async fn next(&mut self) -> Step {
        loop {
            self.changed.borrow_and_update();
            if let Some(step) = self.take() {
                return step;
            }
            // The sender lives in `relay`, so this ends only with a change.
            drop(self.changed.changed().await);
        }
    }

    fn take(&mut self) -> Option<Step> {
        let mut buffer = self.relay.lock();
        if buffer.reader != self.number {
            return Some(Step::Replaced);
        }
        let next = buffer.read;
        if next == buffer.end() {
            return buffer.finish.clone().map(Step::Finish);
        }
        let skipped = (next - buffer.first) as usize;
        let events: Vec<Bytes> = buffer.events.iter().skip(skipped).cloned().collect();
        buffer.read = buffer.end();
        buffer.unread = 0;
        buffer.trim();
        drop(buffer);
        self.relay.changed.send_replace(());
        Some(Step::Events(next, events))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let buffer = self.relay.lock();
        if buffer.reader == self.number {
            self.relay.detached.send_replace(Some(Instant::now()));
        }
    }
}
