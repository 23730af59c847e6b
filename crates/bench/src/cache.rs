//! Prefix-cache events of the engine stand-in: late and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

/// Age at which an event is published.
const LAG: Duration = Duration::from_millis(700);
/// Events kept; older ones are lost to readers that were away.
const KEPT: usize = 4_096;

#[derive(Debug)]
struct Change {
    at: Instant,
    hash: u64,
    evicted: bool,
}

/// The changes of one engine's prefix cache, each with a sequence number.
#[derive(Debug, Default)]
pub(crate) struct Log {
    first: u64,
    changes: VecDeque<Change>,
}

impl Log {
    pub(crate) fn store(&mut self, hashes: &[u64]) {
        self.push(hashes, false);
    }

    pub(crate) fn evict(&mut self, hashes: &[u64]) {
        self.push(hashes, true);
    }

    fn push(&mut self, hashes: &[u64], evicted: bool) {
        for &hash in hashes {
            if self.changes.len() == KEPT {
                self.changes.pop_front();
                self.first += 1;
            }
            self.changes.push_back(Change { at: Instant::now(), hash, evicted });
        }
    }

    /// The published changes from sequence number `after` on.
    pub(crate) fn since(&self, after: u64) -> Value {
        let first = after.max(self.first);
        let skip = usize::try_from(first - self.first).unwrap_or(usize::MAX);
        let ripe = self.changes.iter().skip(skip).take_while(|change| change.at.elapsed() >= LAG);
        let (mut stored, mut evicted) = (Vec::new(), Vec::new());
        for change in ripe {
            let list = if change.evicted { &mut evicted } else { &mut stored };
            list.push(format!("{:016x}", change.hash));
        }
        json!({"first": first, "stored": stored, "evicted": evicted})
    }
}
