//! How often and how soon a failed attempt may be repeated.

use crate::ids::Millis;
use crate::kernel::Identity;
use crate::random;

/// Length of one step of the sliding window, in milliseconds.
const STEP_MS: u64 = 1_000;
/// Steps in the window: 10 s.
const STEPS: usize = 10;
/// Retries allowed in one window however few requests arrive.
const RETRIES_MIN: u32 = 3;
/// One retry is allowed for this many arrivals (10 %).
const ARRIVALS_PER_RETRY: u32 = 10;
/// Upper bound of the first delay, in milliseconds.
const BACKOFF_MIN_MS: u64 = 50;
/// Upper bound of any delay, in milliseconds.
const BACKOFF_MAX_MS: u64 = 1_000;

/// Limits retries to a tenth of the arrivals of the last 10 s, and to at least 3.
///
/// Without the limit, a failing pool would receive each request several times and fail for longer.
///
/// ```
/// use hornbeamloom_kernel::ids::Millis;
/// use hornbeamloom_kernel::retry::Budget;
///
/// let mut budget = Budget::new();
/// let allowed = (0..5).filter(|_| budget.spend(Millis(0))).count();
/// assert_eq!(allowed, 3);
/// assert!(budget.spend(Millis(10_000)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Budget {
    steps: [Step; STEPS],
}

#[derive(Debug, Clone, Copy, Default)]
struct Step {
    index: u64,
    arrivals: u32,
    retries: u32,
}

impl Budget {
    /// A budget without arrivals.
    pub fn new() -> Budget {
        Budget::default()
    }

    /// Counts an arrival.
    pub fn arrive(&mut self, now: Millis) {
        self.step(now).arrivals += 1;
    }

    /// Takes one retry out of the budget; false if none is left.
    pub fn spend(&mut self, now: Millis) -> bool {
        let oldest = (now.0 / STEP_MS).saturating_sub(STEPS as u64 - 1);
        let window = self.steps.iter().filter(|step| step.index >= oldest);
        let (arrivals, retries) = window.fold((0, 0), |(arrivals, retries), step| {
            (arrivals + step.arrivals, retries + step.retries)
        });
        let is_allowed = retries < RETRIES_MIN.max(arrivals / ARRIVALS_PER_RETRY);
        if is_allowed {
            self.step(now).retries += 1;
        }
        is_allowed
    }

    fn step(&mut self, now: Millis) -> &mut Step {
        let index = now.0 / STEP_MS;
        let step = &mut self.steps[(index % STEPS as u64) as usize];
        if step.index != index {
            *step = Step { index, ..Step::default() };
        }
        step
    }
}

/// The delay before retry number `retry` (from 0) in milliseconds.
///
/// The bound doubles from 50 ms to 1 s; the upper half of it is jitter taken from `draw`.
///
/// ```
/// use hornbeamloom_kernel::retry::backoff;
///
/// assert_eq!(backoff(0, 0), 25);
/// assert!((100..=200).contains(&backoff(2, 12_345)));
/// assert!(backoff(60, u64::MAX) <= 1_000);
/// ```
pub fn backoff(retry: u32, draw: u64) -> u64 {
    let bound = BACKOFF_MIN_MS.saturating_mul(1 << retry.min(16)).min(BACKOFF_MAX_MS);
    bound / 2 + draw % (bound / 2 + 1)
}

/// Number `index` of the pseudo-random sequence of `seed` (SplitMix64).
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

/// The seed of one VM, which differs from the others' even where their settings have the same.
pub(crate) fn seed(identity: &Identity) -> u64 {
    identity.seed ^ random::hash(&[&identity.vm])
}
