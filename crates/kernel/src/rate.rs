//! Measures how fast a pool starts waiting requests, and predicts the wait of a new one.

use std::collections::VecDeque;

use crate::ids::Millis;
use crate::peer::Ask;
use crate::queue::Queue;
use crate::request::Class;

/// Number of starts over which the rate is measured.
const MAX_STARTS: usize = 64;
/// Smallest number of starts that gives a rate.
const MIN_STARTS: usize = 8;
/// Bounds of the delay after which a caller is told to retry.
const MIN_RETRY_AFTER_MS: u64 = 1_000;
const MAX_RETRY_AFTER_MS: u64 = 60_000;
/// Without a measured rate, each waiting request adds this to the retry delay.
const RETRY_AFTER_PER_REQUEST_MS: u64 = 50;

/// The latest starts since the queue was last empty.
#[derive(Debug, Default)]
pub struct StartRate {
    starts: VecDeque<Millis>,
}

impl StartRate {
    /// Records a start.
    pub(crate) fn record(&mut self, now: Millis) {
        if self.starts.len() == MAX_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Drops the starts: without a backlog they show the demand and not the capacity.
    pub(crate) fn reset(&mut self) {
        self.starts.clear();
    }

    /// Returns the milliseconds that `starts` starts are expected to take.
    fn time_for_starts(&self, starts: u64, now: Millis) -> Option<u64> {
        let oldest = self.starts.front()?;
        if self.starts.len() < MIN_STARTS {
            return None;
        }
        let seen = self.starts.len() as u64 - 1;
        Some(starts.saturating_mul(now.since(*oldest)) / seen)
    }

    /// Returns the expected wait of a new request in milliseconds; `None` without a measured rate.
    pub(crate) fn expected_wait(&self, queue: &Queue, ask: &Ask, now: Millis) -> Option<u64> {
        let total = queue.len() as u64 + 1;
        let own = queue.get(&ask.organisation);
        let ahead = own.map_or(0, |own| match ask.class {
            Class::Short => own.waiting(Class::Short).len(),
            Class::Long => own.len(),
        });
        let weight = u64::from(own.map_or(1, |own| own.weight)).max(1);
        let others = queue.organisations.iter();
        let others = others.filter(|other| !other.is_empty() && other.name != ask.organisation);
        let weights: u64 = others.map(|other| u64::from(other.weight)).sum();
        let starts = (ahead as u64 + 1) * (weights + weight) / weight;
        self.time_for_starts(starts.min(total), now)
    }

    /// Returns the milliseconds after which a refused request may be retried.
    pub(crate) fn retry_after(&self, queue: &Queue, now: Millis) -> u64 {
        let waiting = queue.len() as u64;
        let guess = MIN_RETRY_AFTER_MS + waiting * RETRY_AFTER_PER_REQUEST_MS;
        let time = self.time_for_starts(waiting, now).unwrap_or(guess);
        time.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }
}
