//! Sequence logic of one response stream, used by the traffic threads.

use std::collections::VecDeque;

/// Position in a stream: its generation and the next token.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cursor {
    generation: Option<String>,
    next: u64,
}

/// How to handle a token event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accept {
    /// It is the next token.
    Deliver,
    /// The token was delivered before; drop it.
    Duplicate,
    /// Earlier tokens are missing; resume from the cursor.
    Gap,
    /// The token belongs to another generation; drop it and the connection.
    OtherGeneration,
}

impl Cursor {
    /// A cursor before the first token of any generation.
    pub fn new() -> Cursor {
        Cursor::default()
    }

    /// Sequence number of the next expected token, from 0.
    ///
    /// ```
    /// use hornbeamloom_kernel::stream::Cursor;
    ///
    /// let mut cursor = Cursor::new();
    /// cursor.accept("g1", 0);
    /// assert_eq!(cursor.next(), 1);
    /// ```
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Classifies token number `seq` of `generation`, and advances if it is the expected one.
    ///
    /// ```
    /// use hornbeamloom_kernel::stream::{Accept, Cursor};
    ///
    /// let mut cursor = Cursor::new();
    /// assert_eq!(cursor.accept("g1", 0), Accept::Deliver);
    /// assert_eq!(cursor.accept("g1", 0), Accept::Duplicate);
    /// assert_eq!(cursor.accept("g1", 2), Accept::Gap);
    /// assert_eq!(cursor.accept("g2", 1), Accept::OtherGeneration);
    /// assert_eq!(cursor.next(), 1);
    /// ```
    pub fn accept(&mut self, generation: &str, seq: u64) -> Accept {
        match &self.generation {
            Some(current) if current != generation => return Accept::OtherGeneration,
            Some(_) => {}
            None => self.generation = Some(generation.to_owned()),
        }
        match seq.cmp(&self.next) {
            std::cmp::Ordering::Less => Accept::Duplicate,
            std::cmp::Ordering::Greater => Accept::Gap,
            std::cmp::Ordering::Equal => {
                self.next += 1;
                Accept::Deliver
            }
        }
    }
}

/// Capacity of the replay buffer of one stream, in bytes.
pub const REPLAY_BUFFER_BYTES: usize = 256 * 1024;
/// Attempts to resume a generation before its stream counts as broken.
pub const RESUME_ATTEMPTS_MAX: u32 = 5;
/// Delay before the first attempt to resume, in milliseconds; it doubles with each attempt.
const RESUME_DELAY_MIN_MS: u64 = 50;

/// The most recent events of a response, for a caller that reconnects.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplayBuffer {
    events: VecDeque<Vec<u8>>,
    first: u64,
    bytes: usize,
}

/// The requested events are no longer in the buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("events before number {first} have been evicted from the replay buffer")]
pub struct TooOld {
    /// Sequence number of the oldest event in the buffer.
    pub first: u64,
}

impl ReplayBuffer {
    /// An empty buffer; its first event gets number 0.
    pub fn new() -> ReplayBuffer {
        ReplayBuffer::default()
    }

    /// Appends an event, evicts the oldest ones beyond 256 KiB, and returns the event's sequence
    /// number.
    pub fn push(&mut self, event: &[u8]) -> u64 {
        self.events.push_back(event.to_owned());
        self.bytes += event.len();
        while self.bytes > REPLAY_BUFFER_BYTES {
            let Some(dropped) = self.events.pop_front() else {
                break;
            };
            self.bytes -= dropped.len();
            self.first += 1;
        }
        self.next().saturating_sub(1)
    }

    /// Sequence number of the next event.
    pub fn next(&self) -> u64 {
        self.first + self.events.len() as u64
    }

    /// The events after number `seq`, or all events for `None`, in order and with their numbers.
    ///
    /// # Errors
    ///
    /// [`TooOld`] if one of these events has been evicted.
    ///
    /// ```
    /// use hornbeamloom_kernel::stream::ReplayBuffer;
    ///
    /// let mut replay = ReplayBuffer::new();
    /// replay.push(b"a");
    /// replay.push(b"b");
    /// let kept: Vec<_> = replay.after(Some(0)).unwrap().collect();
    /// assert_eq!(kept, [(1, b"b".as_slice())]);
    /// ```
    pub fn after(&self, seq: Option<u64>) -> Result<impl Iterator<Item = (u64, &[u8])>, TooOld> {
        let from = seq.map_or(0, |seq| seq.saturating_add(1));
        let first = self.first;
        if from < first {
            return Err(TooOld { first });
        }
        let skipped = usize::try_from(from - first).unwrap_or(usize::MAX);
        let events = self.events.iter().enumerate().skip(skipped);
        Ok(events.map(move |(ix, event)| (first + ix as u64, event.as_slice())))
    }
}

/// The delay before attempt number `attempt` to resume, counted from 0, in milliseconds; `None`
/// after the last one.
///
/// ```
/// use hornbeamloom_kernel::stream::resume_delay;
///
/// assert_eq!(resume_delay(0), Some(50));
/// assert_eq!(resume_delay(4), Some(800));
/// assert_eq!(resume_delay(5), None);
/// ```
pub fn resume_delay(attempt: u32) -> Option<u64> {
    (attempt < RESUME_ATTEMPTS_MAX).then(|| RESUME_DELAY_MIN_MS << attempt)
}
