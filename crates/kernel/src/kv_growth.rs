//! How the KV use of running requests grows.

use crate::length::Survival;

/// The current KV use of one request in tokens, and how long the request is likely to run.
pub(crate) struct KvGrowth<'a> {
    pub(crate) used: u64,
    pub(crate) survival: Survival<'a>,
}

/// Returns the mean KV use after `ahead` more tokens, plus one standard deviation.
pub(crate) fn likely_kv_use(growths: &[KvGrowth<'_>], ahead: u32) -> u64 {
    let (mut mean, mut variance) = (0.0, 0.0);
    for growth in growths {
        let chance = growth.survival.probability(ahead);
        let used = growth.used as f64 + f64::from(ahead);
        mean += chance * used;
        variance += chance * (1.0 - chance) * used * used;
    }
    (mean + variance.sqrt()) as u64
}
