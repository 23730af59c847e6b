//! Judges a version by the outcomes of its requests, compared with those of the old version.

use std::collections::BTreeSet;

use crate::rollout;
use crate::rollout_count::Cell;

/// Bad outcomes from which a version can be bad. The rollback must be complete soon after the 50th.
const MIN_BAD: u32 = 4;
/// The same for the breaker of a scheduler. More, as the judgement needs outcomes of several targets,
/// which end with the exposure.
const BREAKER_MIN_BAD: u32 = 6;
/// Bad outcomes that prevent the finding that a version is good.
const MIN_SUSPECT: u32 = 2;
/// A version is bad if its share of bad outcomes is this many times that of the old version.
const BAD_FACTOR: f64 = 3.0;
/// Added to the old version's share of bad outcomes, which is known only roughly.
const BAD_SHARE: f64 = 0.01;
/// The same for slow outcomes: times vary with the load.
const SLOW_SHARE: f64 = 0.03;
/// Distance in buckets from the old version's median from which a time is slow: a factor of 2.8.
const SLOW_BUCKETS: u8 = 3;
/// Samples of the old version from which its median is used.
const MIN_OLD_SAMPLES: u32 = 20;
/// Outcomes of the new version that are enough at half of the time, and at three quarters of it.
const ENOUGH_AT_HALF: u32 = 30;
const ENOUGH_LATE: u32 = 8;

/// Selects a histogram of a cell.
type Times = fn(&Cell) -> &[(u8, u32)];

/// What is known when a version is judged.
#[derive(Debug, Clone, Copy)]
pub struct Evidence<'a> {
    /// The merged counts.
    pub cells: &'a [Cell],
    /// Number of registered targets of the new version.
    pub new_targets: usize,
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// Time of the roll-out, in milliseconds.
    pub duration_ms: u64,
}

/// The judgement on a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// More outcomes are needed.
    Undecided,
    /// The version serves as well as the old one.
    Good,
    /// The version is bad, for a fixed reason.
    Bad(&'static str),
}

/// Bad outcomes among all, for the old version and for each target of the new one.
struct Comparison {
    old: (u32, u32),
    new: Vec<(u32, u32)>,
}

impl Comparison {
    /// Whether the new version has at least `min_bad` bad outcomes, and more often than the old one.
    ///
    /// If there are other targets than the worst one, the same must hold for them with half as many:
    /// a single target that fails says nothing of its version.
    fn is_worse(&self, min_bad: u32, base_share: f64, has_other_targets: bool) -> bool {
        let old_share = f64::from(self.old.0) / f64::from(self.old.1.max(1));
        let exceeds = |(bad, all): (u32, u32), min_bad: u32| {
            let expected = (old_share + base_share) * f64::from(all);
            bad >= min_bad && f64::from(bad) > BAD_FACTOR * expected
        };
        let total = self.new.iter().fold((0, 0), |(bad, all), next| (bad + next.0, all + next.1));
        let worst = self.new.iter().max_by_key(|(bad, all)| (*bad, *all));
        let worst = worst.copied().unwrap_or((0, 0));
        let others = (total.0 - worst.0, total.1 - worst.1);
        exceeds(total, min_bad) && (!has_other_targets || exceeds(others, min_bad.div_ceil(2)))
    }
}

/// Judges a version.
///
/// ```
/// use hornbeamloom_kernel::rollout_count::Cell;
/// use hornbeamloom_kernel::rollout_judge::{judge, Evidence, Judgement};
///
/// let old = Cell { complete: 500, failed: 2, ..Cell::default() };
/// let new = |target: &str, failed| Cell {
///     target: target.into(),
///     complete: 20,
///     failed,
///     ..Cell::default()
/// };
/// let judge_at = |cells: &[Cell], elapsed_ms| {
///     judge(&Evidence { cells, new_targets: 2, elapsed_ms, duration_ms: 12_000 })
/// };
/// let good = [old.clone(), new("engine-1", 0), new("engine-2", 0)];
/// assert_eq!(judge_at(&good, 1_000), Judgement::Undecided);
/// assert_eq!(judge_at(&good, 6_000), Judgement::Good);
/// let bad = [old, new("engine-1", 9), new("engine-2", 8)];
/// assert_eq!(judge_at(&bad, 1_000), Judgement::Bad("failures"));
/// ```
pub fn judge(evidence: &Evidence<'_>) -> Judgement {
    if let Some(reason) = worse_by(evidence, MIN_BAD) {
        return Judgement::Bad(reason);
    }
    let Evidence { cells, elapsed_ms, duration_ms, .. } = *evidence;
    let is_new = |cell: &&Cell| !cell.target.is_empty();
    let outcomes: u32 = cells.iter().filter(is_new).map(outcomes).sum();
    let enough = match elapsed_ms * 4 / duration_ms.max(1) {
        0 | 1 => u32::MAX,
        2 => ENOUGH_AT_HALF,
        _ => ENOUGH_LATE,
    };
    let is_suspect = worse_by(evidence, MIN_SUSPECT).is_some();
    match outcomes >= enough && !is_suspect {
        true => Judgement::Good,
        false if elapsed_ms >= rollout::deadline_ms(duration_ms) => match is_suspect {
            true => Judgement::Bad("suspect"),
            false => Judgement::Bad("no_evidence"),
        },
        false => Judgement::Undecided,
    }
}

/// Whether a scheduler that sees only its own releases stops granting the new version. The worst
/// target counts too: a grant that is withheld does no harm.
///
/// ```
/// use hornbeamloom_kernel::rollout_judge::trips_breaker;
///
/// assert!(trips_breaker((1, 100), (6, 12)));
/// assert!(!trips_breaker((50, 100), (6, 12)));
/// ```
pub fn trips_breaker(old: (u32, u32), new: (u32, u32)) -> bool {
    Comparison { old, new: vec![new] }.is_worse(BREAKER_MIN_BAD, BAD_SHARE, false)
}

/// Requests with a known outcome: a first event or an end.
fn outcomes(cell: &Cell) -> u32 {
    samples(&cell.first).max(cell.complete + cell.failed)
}

fn samples(times: &[(u8, u32)]) -> u32 {
    times.iter().map(|(_, count)| count).sum()
}

/// Why the new version is worse than the old one, on all routes together or on any of them.
fn worse_by(evidence: &Evidence<'_>, min_bad: u32) -> Option<&'static str> {
    let routes: BTreeSet<u32> = evidence.cells.iter().map(|cell| cell.route).collect();
    let groups = [None].into_iter().chain(routes.iter().copied().map(Some));
    let has_other_targets = evidence.new_targets > 1;
    for route in groups {
        let cells: Vec<&Cell> = evidence
            .cells
            .iter()
            .filter(|cell| route.is_none_or(|route| route == cell.route))
            .collect();
        let failures = compare(&cells, |cell| (cell.failed, cell.failed + cell.complete));
        if failures.is_worse(min_bad, BAD_SHARE, has_other_targets) {
            return Some("failures");
        }
        // Times of different routes are not comparable.
        if route.is_none() {
            continue;
        }
        let times: [(&'static str, Times); 2] =
            [("slow_first_event", |cell| &cell.first), ("slow_pace", |cell| &cell.pace)];
        for (reason, times) in times {
            let old: Vec<(u8, u32)> = cells
                .iter()
                .filter(|cell| cell.target.is_empty())
                .flat_map(|cell| times(cell))
                .copied()
                .collect();
            let Some(median) = median(&old) else {
                continue;
            };
            let slow = compare(&cells, |cell| {
                let is_slow = |(bucket, _): &&(u8, u32)| *bucket >= median + SLOW_BUCKETS;
                let slow = times(cell).iter().filter(is_slow).map(|(_, count)| count).sum();
                (slow, samples(times(cell)))
            });
            if slow.is_worse(min_bad, SLOW_SHARE, has_other_targets) {
                return Some(reason);
            }
        }
    }
    None
}

/// Sums up the outcomes of the old version, and those of each target of the new one.
fn compare(cells: &[&Cell], outcomes: impl Fn(&Cell) -> (u32, u32)) -> Comparison {
    let mut old = (0, 0);
    let mut new = std::collections::BTreeMap::new();
    for cell in cells {
        let (bad, all) = outcomes(cell);
        let sum = match cell.target.is_empty() {
            true => &mut old,
            false => new.entry(&cell.target).or_insert((0, 0)),
        };
        *sum = (sum.0 + bad, sum.1 + all);
    }
    Comparison { old, new: new.into_values().collect() }
}

/// The bucket of the median; `None` with too few samples.
fn median(times: &[(u8, u32)]) -> Option<u8> {
    let all = samples(times);
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let mut seen = 0;
    let reaches_half = |(_, count): &&(u8, u32)| {
        seen += count;
        2 * seen >= all
    };
    (all >= MIN_OLD_SAMPLES).then(|| sorted.iter().find(reaches_half))?.map(|(bucket, _)| *bucket)
}
