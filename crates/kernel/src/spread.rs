//! Chooses the pool of a request from usage reports that are up to some seconds old, so that many
//! VMs that act on the same reports do not move to the same pool at once.

use crate::ids::{Millis, Name};
use crate::intent::Intent;
use crate::peer::Ask;
use crate::usage::Estimate;

/// Name of this choice in `Configuration.policy.pools`.
pub(crate) const NAME: &str = "spread";
/// Difference in usage, in thousandths, up to which a request stays in its zone. Two long prompts
/// take 25 thousandths of twelve engines; 100 left the busiest pool 3 % further above the mean in
/// `tests/spread.rs`.
const OWN_ZONE_MARGIN: u32 = 60;
/// Change of the shift per second, in thousandths of the relative difference in usage. Twice as
/// much moved more requests and was no more even with reports that are 1 s old.
const SHIFT_PERMILLE_PER_S: i64 = 400;
/// Part of the relative difference in usage that is moved at once. More makes requests that last
/// two seconds or less move back and forth with reports that are 1 s old.
const EXCESS_DIVISOR: u64 = 2;
/// Age of a report from which a pool may be probed, in milliseconds.
const PROBE_AGE_MS: u64 = 1_000;
/// One in this many requests probes the pool with the oldest report. VMs pass reports on, so that a
/// zone with ten requests per second learns of another one about every other second, and of the
/// others through it.
const PROBE_INTERVAL: u64 = 16;
/// Longest time for which one difference in usage changes the shift, in milliseconds.
const MAX_SHIFT_INTERVAL_MS: u64 = 2_000;
/// Output tokens assumed for a request without a limit on them.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The part of its zone's requests that a VM sends to other zones, in thousandths.
///
/// It follows the difference in usage slowly and keeps its value while the difference is small, so
/// that a lasting skew of the arrivals is evened out without a lasting difference.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shift {
    /// The part, in millionths, since a single change may be less than a thousandth.
    micros: u32,
    /// When it was last changed.
    at: Millis,
}

impl Shift {
    /// The part in thousandths.
    pub fn permille(&self) -> u32 {
        self.micros / 1_000
    }

    /// The part after the usages in `pools` were seen at `now`; the first is that of the own zone.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Millis;
    /// use hornbeamloom_kernel::spread::Shift;
    /// use hornbeamloom_kernel::usage::Estimate;
    ///
    /// let pools = [800, 300].map(|usage| Estimate { usage, age_ms: Some(50) });
    /// let shift = Shift::default().next(&pools, Millis(500)).next(&pools, Millis(1_500));
    /// assert!(shift.permille() > 50);
    /// ```
    #[must_use]
    pub fn next(self, pools: &[Estimate], now: Millis) -> Shift {
        let Some((own, others)) = pools.split_first() else {
            return self;
        };
        let Some(other) = others.iter().map(|estimate| estimate.usage).min() else {
            return Shift { micros: 0, at: now };
        };
        let elapsed_ms = i64::try_from(now.since(self.at).min(MAX_SHIFT_INTERVAL_MS)).unwrap_or(0);
        let own = i64::from(own.usage);
        let excess = own - i64::from(other) - i64::from(OWN_ZONE_MARGIN);
        let change = excess * SHIFT_PERMILLE_PER_S * elapsed_ms / own.max(1);
        let micros = (i64::from(self.micros) + change).clamp(0, 1_000_000);
        Shift { micros: u32::try_from(micros).unwrap_or(0), at: now }
    }
}

/// What the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The usable pools near the VM. If `has_own` is set, the first one is that of its own zone; the
    /// others are in random order.
    pub pools: &'a [Estimate],
    /// Whether the pool of the VM's own zone is usable.
    pub has_own: bool,
    /// The part of the requests that leaves the zone.
    pub shift: Shift,
    /// Two random numbers of the request.
    pub draws: [u64; 2],
}

/// Index of the pool to ask first.
///
/// The pool of the own zone is compared with the less used of two others. A request leaves its zone
/// with the probability `shift` and one that grows with the difference in usage, so that a
/// small difference does not move all requests of a zone at once.
///
/// ```
/// use hornbeamloom_kernel::spread::{choose, Shift, View};
/// use hornbeamloom_kernel::usage::Estimate;
///
/// let pools = [800, 300, 900].map(|usage| Estimate { usage, age_ms: Some(50) });
/// let view = View { pools: &pools, has_own: true, shift: Shift::default(), draws: [1, 0] };
/// assert_eq!(choose(&view), 1);
/// assert_eq!(choose(&View { draws: [1, 999], ..view }), 0);
/// ```
pub fn choose(view: &View<'_>) -> usize {
    let [probe_draw, move_draw] = view.draws;
    let others = usize::from(view.has_own)..view.pools.len();
    if probe_draw % PROBE_INTERVAL == 0 {
        let age_ms = |ix: &usize| view.pools[*ix].age_ms.unwrap_or(u64::MAX);
        if let Some(oldest) = others.clone().max_by_key(age_ms) {
            if age_ms(&oldest) >= PROBE_AGE_MS {
                return oldest;
            }
        }
    }
    let Some(other) = others.take(2).min_by_key(|&ix| view.pools[ix].usage) else {
        return 0;
    };
    if !view.has_own {
        return other;
    }
    let own = u64::from(view.pools[0].usage);
    let other_usage = u64::from(view.pools[other].usage);
    if other_usage >= own {
        return 0;
    }
    let excess = own.saturating_sub(other_usage + u64::from(OWN_ZONE_MARGIN));
    let at_once = excess * 1_000 / own.max(1) / EXCESS_DIVISOR;
    let permille = u64::from(view.shift.permille()) + at_once;
    match move_draw % 1_000 < permille {
        true => other,
        false => 0,
    }
}

/// The part of a pool that a request is likely to take, in thousandths.
pub(crate) fn size_permille(intent: &Intent, ask: &Ask, zone: &str) -> u32 {
    let targets = intent.pool_targets(&ask.pool.service, zone);
    let usable = targets.filter(|(_, target)| !target.leaving);
    let (kv, slots) = usable.fold((0, 0), |(kv, slots), (_, target)| {
        (kv + target.kv_tokens, slots + u64::from(target.warm_limit))
    });
    let output = ask.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let tokens = u64::from(ask.prompt_tokens) + u64::from(output);
    let (size, capacity) = if kv > 0 { (tokens, kv) } else { (1, slots) };
    u32::try_from((size * 1_000).checked_div(capacity).unwrap_or(0)).unwrap_or(u32::MAX)
}

/// Describes the estimates that a choice was based on, for the log of the request.
pub(crate) fn describe(zones: &[Name], estimates: &[Estimate]) -> String {
    let pools = zones.iter().zip(estimates).map(|(zone, estimate)| match estimate.age_ms {
        Some(age_ms) => format!("{zone} {} at {age_ms} ms", estimate.usage),
        None => format!("{zone} {} unknown", estimate.usage),
    });
    pools.collect::<Vec<_>>().join(", ")
}
