//! Attempts on a target whose connection broke, until the death of the target explains them.

use std::collections::VecDeque;

use crate::ids::Millis;
use crate::peer::Suspect;

/// Broken attempts are kept for this time, since a death found later may explain them.
const ATTEMPT_TTL_MS: u64 = 10_000;
/// An attempt that broke without output counts as running for this time, until its target is known
/// to have died. Reports of targets are requested every 500 ms.
const UNEXPLAINED_MS: u64 = 1_000;
/// Number of broken attempts kept.
const MAX_ATTEMPTS: usize = 64;

/// The broken attempts of one target, in the order in which they ended.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    attempts: VecDeque<(Millis, Suspect)>,
}

impl Attempts {
    /// Adds an attempt that ended at `now`.
    pub(crate) fn record(&mut self, suspect: Suspect, now: Millis) {
        if self.attempts.len() == MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back((now, suspect));
    }

    /// Removes all attempts and returns the recent ones.
    pub(crate) fn take(&mut self, now: Millis) -> Vec<Suspect> {
        let broken = std::mem::take(&mut self.attempts);
        let recent = broken.into_iter().filter(|(at, _)| now.since(*at) <= ATTEMPT_TTL_MS);
        let suspects = recent.map(|(at, suspect)| {
            let granted_ago_ms = suspect.granted_ago_ms + now.since(at);
            Suspect { granted_ago_ms, ..suspect }
        });
        suspects.collect()
    }

    /// Returns whether an attempt broke so recently that the death of the target may not be known
    /// yet.
    pub(crate) fn has_recent(&self, now: Millis) -> bool {
        self.attempts.iter().any(|(at, _)| now.since(*at) < UNEXPLAINED_MS)
    }

    /// Returns whether an attempt with the prompt part broke without output so recently that the
    /// death of the target may not be known yet.
    pub(crate) fn has_unexplained(&self, part: u64, now: Millis) -> bool {
        self.attempts
            .iter()
            .any(|(at, suspect)| now.since(*at) < UNEXPLAINED_MS && suspect.parts.contains(&part))
    }
}
