//! How many requests a target may get that it may have to reject.
//!
//! Most targets reject any number of requests when they are full. Some say that they fall over if
//! they reject too many in a second. The scheduler of a pool grants no more requests than a target
//! has places, so a rejection shows that its count is wrong. It then sends such a target only so
//! many requests that it may reject all of them, until none has been rejected for some time.

use std::collections::VecDeque;

use crate::ids::Millis;

/// Time in milliseconds after a rejection in which each request may be rejected as well.
const CAUTION_MS: u64 = 3_000;
/// Span in milliseconds over which a target counts its rejections.
const TARGET_WINDOW_MS: u64 = 1_000;
/// Requests may arrive closer together than they are granted, by this time in milliseconds: their
/// delays differ, and times are cut off to whole milliseconds.
const ARRIVAL_SPREAD_MS: u64 = 50;
/// Time in milliseconds between grants that lie in different windows of the target.
const WINDOW_MS: u64 = TARGET_WINDOW_MS + ARRIVAL_SPREAD_MS;
/// A target gets no new request for this time in milliseconds after a rejection.
const BACKOFF_MS: u64 = 500;

/// The rejections of one target and the grants that may lead to more.
#[derive(Debug, Default)]
pub(crate) struct Rejections {
    /// Rejections in a second beyond which the target falls over.
    max: Option<u32>,
    last_at: Option<Millis>,
    /// Times of the grants within the window since a rejection.
    grants: VecDeque<Millis>,
}

impl Rejections {
    /// Sets how many rejections a second the target bears; `None` for any number.
    pub(crate) fn set_max(&mut self, max: Option<u32>) {
        self.max = max;
    }

    /// Records a rejection; returns the time before which the target gets no new request.
    ///
    /// Requests that were granted before it may be rejected as well, so a target that bears few
    /// rejections is left alone until they no longer count.
    pub(crate) fn record(&mut self, now: Millis) -> Millis {
        self.last_at = Some(now);
        match self.max {
            Some(_) => now.after(WINDOW_MS),
            None => now.after(BACKOFF_MS),
        }
    }

    /// Records a grant.
    pub(crate) fn record_grant(&mut self, now: Millis) {
        self.grants.retain(|at| now.since(*at) < WINDOW_MS);
        if self.is_cautious(now) {
            self.grants.push_back(now);
        }
    }

    /// Whether the target may reject one more request. The scheduler uses one part in `divisor` of
    /// what the target bears.
    pub(crate) fn allows_request(&self, now: Millis, divisor: u64) -> bool {
        let max = match self.max {
            Some(max) if self.is_cautious(now) => u64::from(max) / divisor,
            _ => return true,
        };
        let recent = self.grants.iter().filter(|at| now.since(**at) < WINDOW_MS).count();
        (recent as u64) < max.max(1)
    }

    fn is_cautious(&self, now: Millis) -> bool {
        self.max.is_some() && self.last_at.is_some_and(|at| now.since(at) < CAUTION_MS)
    }
}
