//! Limits and delays of retries.

use crate::ids::Millis;
use crate::kernel::Identity;
use crate::random;
use crate::resource::Configuration;

/// Length of one bucket of the sliding window, in milliseconds.
const BUCKET_MS: u64 = 1_000;
/// Number of buckets in the window of 10 s.
const BUCKETS: usize = 10;
/// Retries that a VM may make per window regardless of its arrivals, if the configuration has no
/// limit for the fleet.
const MIN_RETRIES: u32 = 3;
/// Upper limit of the first delay, in milliseconds.
const MIN_BACKOFF_MS: u64 = 50;
/// Upper limit of every delay, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;

/// The retries that a VM may make within 10 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryLimit {
    /// Limit in percent of the arrivals.
    pub percent: u32,
    /// Retries that are allowed regardless of the arrivals.
    pub min_retries: u32,
}

impl RetryLimit {
    /// The limit of one VM among `vms`: a percentage of its own arrivals, or an equal share of the
    /// fleet's slack if that is more.
    ///
    /// The shares together never exceed the slack, whichever VMs fail or are partitioned.
    ///
    /// ```
    /// use hornbeamloom_kernel::resource::Configuration;
    /// use hornbeamloom_kernel::retry::RetryLimit;
    ///
    /// let config = Configuration { retry_slack: Some(54), ..Configuration::default() };
    /// assert_eq!(RetryLimit::new(&config, 7).min_retries, 7);
    /// ```
    pub fn new(config: &Configuration, vms: usize) -> RetryLimit {
        let vms = u32::try_from(vms.max(1)).unwrap_or(u32::MAX);
        let min_retries = config.retry_slack.map_or(MIN_RETRIES, |slack| slack / vms);
        RetryLimit { percent: config.retry_percent, min_retries }
    }
}

/// Limits retries to a percentage of the arrivals of the last 10 s.
///
/// Without a limit, a failing pool would receive each request several times and take longer to
/// recover.
///
/// ```
/// use hornbeamloom_kernel::ids::Millis;
/// use hornbeamloom_kernel::retry::{RetryLimit, Budget};
///
/// let limit = RetryLimit { percent: 10, min_retries: 3 };
/// let mut budget = Budget::new();
/// let allowed = (0..5).filter(|_| budget.try_spend(Millis(0), limit)).count();
/// assert_eq!(allowed, 3);
/// assert!(budget.try_spend(Millis(10_000), limit));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Budget {
    buckets: [Bucket; BUCKETS],
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    arrivals: u32,
    retries: u32,
}

impl Budget {
    /// A budget without arrivals.
    pub fn new() -> Budget {
        Budget::default()
    }

    /// Records an arrival.
    pub fn record_arrival(&mut self, now: Millis) {
        self.bucket(now).arrivals += 1;
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_spend(&mut self, now: Millis, limit: RetryLimit) -> bool {
        let oldest = (now.0 / BUCKET_MS).saturating_sub(BUCKETS as u64 - 1);
        let window = self.buckets.iter().filter(|bucket| bucket.index >= oldest);
        let (arrivals, retries) = window.fold((0, 0), |(arrivals, retries), bucket| {
            (arrivals + bucket.arrivals, retries + bucket.retries)
        });
        let share = u64::from(arrivals) * u64::from(limit.percent) / 100;
        let is_allowed = u64::from(retries) < share.max(u64::from(limit.min_retries));
        if is_allowed {
            self.bucket(now).retries += 1;
        }
        is_allowed
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let index = now.0 / BUCKET_MS;
        let bucket = &mut self.buckets[(index % BUCKETS as u64) as usize];
        if bucket.index != index {
            *bucket = Bucket { index, ..Bucket::default() };
        }
        bucket
    }
}

/// The delay before retry number `retry`, counted from 0, in milliseconds.
///
/// The limit doubles from 50 ms to 1 s. The upper half of each delay is jitter derived from `draw`.
///
/// ```
/// use hornbeamloom_kernel::retry::backoff;
///
/// assert_eq!(backoff(0, 0), 25);
/// assert!((100..=200).contains(&backoff(2, 12_345)));
/// assert!(backoff(60, u64::MAX) <= 1_000);
/// ```
pub fn backoff(retry: u32, draw: u64) -> u64 {
    let bound = MIN_BACKOFF_MS.saturating_mul(1 << retry.min(16)).min(MAX_BACKOFF_MS);
    bound / 2 + draw % (bound / 2 + 1)
}

/// Element `index` of the pseudo-random sequence with the given seed (SplitMix64).
///
/// ```
/// use hornbeamloom_kernel::retry::draw;
///
/// assert_eq!(draw(1, 1), draw(1, 1));
/// assert_ne!(draw(1, 1), draw(1, 2));
/// ```
pub fn draw(seed: u64, index: u64) -> u64 {
    random::mix(seed.wrapping_add(index.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
}

/// The random seed of one VM; it differs between VMs that are configured with the same seed.
pub(crate) fn seed(identity: &Identity) -> u64 {
    identity.seed ^ random::hash(&[&identity.vm])
}
