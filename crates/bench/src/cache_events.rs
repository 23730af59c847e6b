//! Prefix-cache events of the engine stand-in: late and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

/// Age at which an event is published.
const PUBLISH_DELAY: Duration = Duration::from_millis(700);
/// Events kept; older ones are lost to readers that were away.
const EVENTS_MAX: usize = 4_096;

#[derive(Debug)]
struct CacheEvent {
    at: Instant,
    hash: u64,
    evicted: bool,
}

/// The changes of one engine's prefix cache, each with a sequence number.
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

    /// The published changes from sequence number `after` on.
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
