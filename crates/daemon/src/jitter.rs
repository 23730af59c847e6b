//! Random jitter for periodic work, so that VMs do not act in lockstep.

use std::time::Duration;

/// A duration between 80 % and 120 % of `base`.
pub(crate) fn around(base: Duration) -> Duration {
    base.mul_f64(0.8 + 0.4 * random_fraction())
}

/// A random duration between half of `limit` and `limit`.
///
/// ```
/// use std::time::Duration;
///
/// use hornbeamloom_daemon::jitter;
///
/// let delay = jitter::shortened(Duration::from_millis(200));
/// assert!((100..=200).contains(&delay.as_millis()));
/// ```
pub fn shortened(limit: Duration) -> Duration {
    limit.mul_f64(0.5 + 0.5 * random_fraction())
}

/// A random index below `count`, zero if there is none.
pub(crate) fn index(count: usize) -> usize {
    (random_fraction() * count as f64) as usize % count.max(1)
}

/// A random number from 0 to 1. A failure of the random source only removes the jitter.
fn random_fraction() -> f64 {
    match getrandom::u32() {
        Ok(number) => f64::from(number) / f64::from(u32::MAX),
        Err(_) => 0.5,
    }
}
