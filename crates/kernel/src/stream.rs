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
    /// The token does not follow the one before; resume from the last one delivered.
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

/// Position in a stream whose events are numbered from 1, and which several runs may continue.
///
/// A run may begin with events that the caller has from an earlier one, but the numbers of its own
/// events are consecutive. Any other number shows that an event is missing or that the number is
/// wrong, so the events that follow cannot be told from those that the caller has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    last: Option<u64>,
    run: Option<u64>,
}

impl Position {
    /// The position of a caller that has the events up to `last`, before the first run.
    pub fn new(last: Option<u64>) -> Position {
        Position { last, run: None }
    }

    /// Number of the last event that the caller has, if it has any.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Another run continues the stream.
    pub fn begin_run(&mut self) {
        self.run = None;
    }

    /// Classifies event number `seq` of the current run, and advances if it is the next one.
    ///
    /// ```
    /// use hornbeamloom_kernel::stream::{Accept, Position};
    ///
    /// let mut position = Position::new(Some(7));
    /// assert_eq!(position.accept(7), Accept::Duplicate);
    /// assert_eq!(position.accept(8), Accept::Deliver);
    /// assert_eq!(position.accept(8), Accept::Gap);
    /// position.begin_run();
    /// assert_eq!(position.accept(8), Accept::Duplicate);
    /// assert_eq!(position.last(), Some(8));
    /// ```
    pub fn accept(&mut self, seq: u64) -> Accept {
        let follows = |previous: Option<u64>| previous.unwrap_or(0).checked_add(1) == Some(seq);
        if self.run.is_some() && !follows(self.run) {
            return Accept::Gap;
        }
        match self.last {
            Some(last) if seq <= last => {
                self.run = Some(seq);
                Accept::Duplicate
            }
            last if follows(last) => {
                (self.run, self.last) = (Some(seq), Some(seq));
                Accept::Deliver
            }
            _ => Accept::Gap,
        }
    }

    /// Whether the last event of the run is before the last one that the caller has. A run that ends
    /// there did not continue the same stream.
    ///
    /// ```
    /// use hornbeamloom_kernel::stream::Position;
    ///
    /// let mut position = Position::new(Some(7));
    /// assert!(!position.ends_early());
    /// position.accept(6);
    /// assert!(position.ends_early());
    /// position.accept(7);
    /// assert!(!position.ends_early());
    /// ```
    pub fn ends_early(&self) -> bool {
        matches!((self.run, self.last), (Some(run), Some(last)) if run < last)
    }
}

/// Capacity of the replay buffer of one stream, in bytes.
pub const REPLAY_BUFFER_BYTES: usize = 256 * 1024;
/// Attempts to resume a generation before its stream counts as broken.
pub const MAX_RESUME_ATTEMPTS: u32 = 5;
/// Delay before the first attempt to resume, in milliseconds; it doubles with each attempt.
const MIN_RESUME_DELAY_MS: u64 = 50;

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
    (attempt < MAX_RESUME_ATTEMPTS).then(|| MIN_RESUME_DELAY_MS << attempt)
}
