//! Predicts output lengths from those observed, by service and organisation.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Name;

/// Four buckets for each power of two, up to 2^19 tokens: the width of a bucket is at most a
/// quarter of its lower bound.
const BUCKETS: usize = 72;
/// Number of samples at which all counts are halved, so that a histogram follows a change within a
/// few thousand answers.
const DECAY_THRESHOLD: u32 = 4_096;
/// Smallest number of samples above a length that gives a prediction.
const MIN_SAMPLES: u32 = 16;
/// Quantile that is taken as the expected final length.
const QUANTILE_PERCENT: u32 = 70;
/// Expected output length without enough samples.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// A logarithmic histogram of output lengths in tokens, with decay.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Histogram {
    counts: Vec<u32>,
    total: u32,
}

impl Default for Histogram {
    fn default() -> Histogram {
        Histogram { counts: vec![0; BUCKETS], total: 0 }
    }
}

impl Histogram {
    /// Records the length of a complete output.
    pub fn record(&mut self, tokens: u32) {
        if self.total >= DECAY_THRESHOLD {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        if let Some(count) = self.counts.get_mut(bucket_index(tokens)) {
            *count += 1;
            self.total += 1;
        }
    }

    /// Returns the number of samples longer than `tokens`, up to the resolution of the buckets.
    fn count_above(&self, tokens: u32) -> u32 {
        let start = bucket_index(tokens.saturating_add(1));
        self.counts.get(start..).unwrap_or_default().iter().sum()
    }

    /// Returns the 0.7 quantile of the lengths above `tokens`, if there are enough samples.
    ///
    /// ```
    /// use hornbeamloom_kernel::length::Histogram;
    ///
    /// let mut lengths = Histogram::default();
    /// (0..50).for_each(|_| lengths.record(100));
    /// (0..50).for_each(|_| lengths.record(1_000));
    /// assert!(lengths.expected(0).unwrap() >= 1_000);
    /// assert_eq!(lengths.expected(2_000), None);
    /// ```
    pub fn expected(&self, tokens: u32) -> Option<u32> {
        let start = bucket_index(tokens.saturating_add(1));
        let above = self.counts.get(start..).unwrap_or_default();
        let total: u32 = above.iter().sum();
        if total < MIN_SAMPLES {
            return None;
        }
        let wanted = (total * QUANTILE_PERCENT).div_ceil(100);
        let mut seen = 0;
        let offset = above.iter().position(|count| {
            seen += count;
            seen >= wanted
        })?;
        Some(bucket_upper_bound(start + offset).max(tokens.saturating_add(1)))
    }
}

/// The probabilities that an output continues for a number of further tokens.
#[derive(Debug, Clone, Copy)]
pub struct Survival<'a> {
    histogram: Option<&'a Histogram>,
    generated: u32,
    total_bound: u32,
}

impl Survival<'_> {
    /// Returns the largest number of further tokens, if the output is bounded.
    ///
    /// ```
    /// use hornbeamloom_kernel::length::Lengths;
    ///
    /// let lengths = Lengths::default();
    /// assert_eq!(lengths.survival("school-1", 10, Some(50)).remaining_bound(), Some(40));
    /// ```
    pub fn remaining_bound(&self) -> Option<u32> {
        (self.total_bound != u32::MAX).then(|| self.total_bound.saturating_sub(self.generated))
    }

    /// Returns the probability, from 0 to 1, that the output gets more than `ahead` further tokens.
    ///
    /// ```
    /// use hornbeamloom_kernel::length::Lengths;
    ///
    /// let mut lengths = Lengths::default();
    /// (0..20).for_each(|_| lengths.record(&"school-1".into(), 10));
    /// (0..20).for_each(|_| lengths.record(&"school-1".into(), 1_000));
    /// let survival = lengths.survival("school-1", 0, None);
    /// assert_eq!(survival.probability(0), 1.0);
    /// assert_eq!(survival.probability(100), 0.5);
    /// assert_eq!(survival.probability(2_000), 0.0);
    /// ```
    pub fn probability(&self, ahead: u32) -> f64 {
        let then = self.generated.saturating_add(ahead);
        if ahead > 0 && then > self.total_bound {
            return 0.0;
        }
        match self.histogram {
            Some(lengths) => {
                f64::from(lengths.count_above(then))
                    / f64::from(lengths.count_above(self.generated))
            }
            None => 1.0,
        }
    }
}

/// Returns the bucket of a length: exact below eight tokens, then four for each power of two.
fn bucket_index(tokens: u32) -> usize {
    if tokens < 4 {
        return tokens as usize;
    }
    let log = tokens.ilog2();
    let quarter = (tokens >> (log - 2)) & 3;
    let ix = 4 * (log - 1) + quarter;
    (ix as usize).min(BUCKETS - 1)
}

/// Returns the greatest length in a bucket.
fn bucket_upper_bound(ix: usize) -> u32 {
    if ix < 4 {
        return ix as u32;
    }
    let (log, quarter) = (ix as u32 / 4 + 1, ix as u32 % 4);
    ((quarter + 5) << (log - 2)) - 1
}

/// The output lengths of one service in one pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lengths {
    service: Histogram,
    organisations: BTreeMap<Name, Histogram>,
}

impl Lengths {
    /// Records the length of a complete output for `organisation`.
    ///
    /// ```
    /// use hornbeamloom_kernel::length::Lengths;
    ///
    /// let mut lengths = Lengths::default();
    /// (0..16).for_each(|_| lengths.record(&"school-1".into(), 6));
    /// assert_eq!(lengths.expected_from_samples("school-1", 0), Some(6));
    /// ```
    pub fn record(&mut self, organisation: &Name, tokens: u32) {
        self.service.record(tokens);
        self.organisations.entry(organisation.clone()).or_default().record(tokens);
    }

    /// Returns the expected final length of an output that has `tokens` so far.
    ///
    /// The samples of the whole service are used if the organisation has too few.
    ///
    /// ```
    /// use hornbeamloom_kernel::length::Lengths;
    ///
    /// let lengths = Lengths::default();
    /// assert_eq!(lengths.expected("school-1", 0, Some(40)), 40);
    /// assert!(lengths.expected("school-1", 500, None) >= 500);
    /// ```
    pub fn expected(&self, organisation: &str, tokens: u32, max_tokens: Option<u32>) -> u32 {
        let expected = self
            .expected_from_samples(organisation, tokens)
            .unwrap_or_else(|| DEFAULT_OUTPUT_TOKENS.max(tokens.saturating_add(tokens / 2)));
        expected.min(max_tokens.unwrap_or(u32::MAX)).max(tokens)
    }

    /// Returns the expected final length, if there are enough samples above `tokens`.
    ///
    /// ```
    /// use hornbeamloom_kernel::length::Lengths;
    ///
    /// assert_eq!(Lengths::default().expected_from_samples("school-1", 0), None);
    /// ```
    pub fn expected_from_samples(&self, organisation: &str, tokens: u32) -> Option<u32> {
        self.organisations
            .get(organisation)
            .and_then(|lengths| lengths.expected(tokens))
            .or_else(|| self.service.expected(tokens))
    }

    /// Returns how long an output that has `tokens` so far is likely to continue.
    pub fn survival(
        &self,
        organisation: &str,
        tokens: u32,
        max_tokens: Option<u32>,
    ) -> Survival<'_> {
        let own = self.organisations.get(organisation);
        let known = own.into_iter().chain([&self.service]);
        let histogram =
            known.into_iter().find(|lengths| lengths.count_above(tokens) >= MIN_SAMPLES);
        let end = match histogram {
            Some(_) => max_tokens.unwrap_or(u32::MAX),
            None => self.expected(organisation, tokens, max_tokens),
        };
        Survival { histogram, generated: tokens, total_bound: end }
    }

    /// Drops the samples of organisations that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.organisations.retain(|name, _| keep(name));
    }
}
