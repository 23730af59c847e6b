//! Prefix-cache events of the engine stand-in, published with a delay and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

/// Delay between a change of the cache and the publication of its event.
const PUBLISH_DELAY: Duration = Duration::from_millis(700);
/// Number of events kept; readers that fall further behind miss the older ones.
const EVENTS_MAX: usize = 4_096;

#[derive(Debug)]
struct CacheEvent {
    at: Instant,
    hash: u64,
    evicted: bool,
}

/// Events of one engine's prefix cache, numbered consecutively.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    first_sequence: u64,
    events: VecDeque<CacheEvent>,
}

impl EventLog {
    pub(crate) fn store(&mut self, hashes: &[u64]) {
        self.push(hashes, false);
    }

    pub(crate) fn evict(&mut self, hashes: &[u64]) {
        self.push(hashes, true);
    }

    fn push(&mut self, hashes: &[u64], evicted: bool) {
        for &hash in hashes {
            if self.events.len() == EVENTS_MAX {
                self.events.pop_front();
                self.first_sequence += 1;
            }
            self.events.push_back(CacheEvent { at: Instant::now(), hash, evicted });
        }
    }

    /// The published events with sequence numbers of at least `from`, as JSON.
    pub(crate) fn events_from(&self, from: u64) -> Value {
        let first_sequence = from.max(self.first_sequence);
        let skip = usize::try_from(first_sequence - self.first_sequence).unwrap_or(usize::MAX);
        let published =
            self.events.iter().skip(skip).take_while(|event| event.at.elapsed() >= PUBLISH_DELAY);
        let (mut stored, mut evicted) = (Vec::new(), Vec::new());
        for event in published {
            let hashes = if event.evicted { &mut evicted } else { &mut stored };
            hashes.push(format!("{:016x}", event.hash));
        }
        json!({"first": first_sequence, "stored": stored, "evicted": evicted})
    }
}
