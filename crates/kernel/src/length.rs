//! Output lengths seen, by service and organisation, and what they predict.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Name;

/// Four buckets an octave, up to 2^19 tokens: a bucket is at most a quarter wider than it starts.
const BUCKETS: usize = 72;
/// Halving at this weight lets a histogram follow a change within a few thousand answers.
const DECAY_THRESHOLD: u32 = 4_096;
/// Fewer samples above a length than this say too little about it.
const SAMPLES_MIN: u32 = 16;
/// Quantile of the expected final length, in percent.
const QUANTILE_PERCENT: u32 = 70;
/// Expected output in tokens while nothing was learned.
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
    /// Counts one finished output.
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

    /// Outputs counted that are longer than `tokens`, as far as buckets tell.
    fn count_above(&self, tokens: u32) -> u32 {
        let start = bucket_index(tokens.saturating_add(1));
        self.counts.get(start..).unwrap_or_default().iter().sum()
    }

    /// The 0.7 quantile of the lengths above `tokens`, if enough of them were seen.
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
        if total < SAMPLES_MIN {
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

/// The chances that an output still runs after more tokens.
#[derive(Debug, Clone, Copy)]
pub struct Survival<'a> {
    histogram: Option<&'a Histogram>,
    generated: u32,
    total_bound: u32,
}

impl Survival<'_> {
    /// Tokens from now to the end, where a bound on the output is known.
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

    /// The chance, from 0 to 1, that the output is longer than it is now by `ahead` tokens.
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

/// The bucket of a length: exact below eight tokens, then four an octave.
fn bucket_index(tokens: u32) -> usize {
    if tokens < 4 {
        return tokens as usize;
    }
    let log = tokens.ilog2();
    let quarter = (tokens >> (log - 2)) & 3;
    let ix = 4 * (log - 1) + quarter;
    (ix as usize).min(BUCKETS - 1)
}

/// The greatest length in a bucket.
fn bucket_upper_bound(ix: usize) -> u32 {
    if ix < 4 {
        return ix as u32;
    }
    let (log, quarter) = (ix as u32 / 4 + 1, ix as u32 % 4);
    ((quarter + 5) << (log - 2)) - 1
}

/// The lengths of one service's answers in one pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lengths {
    service: Histogram,
    organisations: BTreeMap<Name, Histogram>,
}

impl Lengths {
    /// Counts a complete answer to `organisation`.
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

    /// The expected final length of an output that has `tokens` so far.
    ///
    /// With too few samples of the organisation, those of the whole service count.
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

    /// The expected final length, if enough comparable answers were seen.
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

    /// How long an output that has `tokens` so far is likely to go on.
    pub fn survival(
        &self,
        organisation: &str,
        tokens: u32,
        max_tokens: Option<u32>,
    ) -> Survival<'_> {
        let own = self.organisations.get(organisation);
        let known = own.into_iter().chain([&self.service]);
        let histogram =
            known.into_iter().find(|lengths| lengths.count_above(tokens) >= SAMPLES_MIN);
        let end = match histogram {
            Some(_) => max_tokens.unwrap_or(u32::MAX),
            None => self.expected(organisation, tokens, max_tokens),
        };
        Survival { histogram, generated: tokens, total_bound: end }
    }

    /// Forgets the organisations that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.organisations.retain(|name, _| keep(name));
    }
}
