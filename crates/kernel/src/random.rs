//! Seeded pseudo-random numbers and a stable hash of names.

/// SplitMix64. Uniform enough for shuffles and jitter; not suitable for secrets.
#[derive(Debug, Clone)]
pub(crate) struct Random(u64);

impl Random {
    /// Creates a sequence that differs between VMs even if they share the seed.
    pub(crate) fn new(seed: u64, vm: &str) -> Random {
        Random(seed ^ hash(&[vm]))
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    /// Returns a number below `bound`; a `bound` of 0 counts as 1.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        let bound = bound.max(1) as u64;
        usize::try_from(self.next() % bound).unwrap_or(0)
    }
}

/// A hash that is stable across VMs and versions: FNV-1a with a final mix.
pub(crate) fn hash(parts: &[&str]) -> u64 {
    let mut sum = 0xcbf2_9ce4_8422_2325_u64;
    for part in parts {
        // 0xff never occurs in UTF-8, so it separates the parts unambiguously.
        for byte in part.bytes().chain([0xff]) {
            sum = (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    mix(sum)
}

pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
