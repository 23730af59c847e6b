//! Outcomes of requests by version, route and target, as totals that VMs send to the deciding VM.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, Millis, Name};
use crate::rollout::Phase;

/// Limit on the cells of one service on one VM. Further routes and targets share one cell.
const MAX_CELLS: usize = 128;
/// Number of time buckets: up to 2 to the power of 17 milliseconds.
const BUCKETS: u8 = 34;

/// Counts of the outcomes of one route on one target of the new version, or on all targets of other
/// versions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cell {
    /// Identifies the route.
    pub route: u32,
    /// The target; empty for other versions, whose targets are counted together.
    pub target: Name,
    /// Responses received completely.
    pub complete: u32,
    /// Failed or broken responses.
    pub failed: u32,
    /// Times to the first event, or to the response: bucket and count, in order.
    pub first: Vec<(u8, u32)>,
    /// Times per token of running streams in microseconds, in the same form.
    pub pace: Vec<(u8, u32)>,
}

/// The bucket of a duration; two buckets span a factor of two.
///
/// ```
/// use hornbeamloom_kernel::rollout_count::bucket;
///
/// assert_eq!(bucket(0), 0);
/// assert_eq!(bucket(200) - bucket(100), 2);
/// assert!(bucket(u64::MAX) > bucket(60_000));
/// ```
pub fn bucket(amount: u64) -> u8 {
    if amount == 0 {
        return 0;
    }
    let octave = amount.ilog2();
    // 181/128 approximates the square root of two.
    let is_upper = u128::from(amount) * 128 >= (1_u128 << octave) * 181;
    let bucket = 2 * octave + u32::from(is_upper);
    bucket.min(u32::from(BUCKETS) - 1) as u8
}

/// Adds `count` samples to a bucket of a histogram.
///
/// ```
/// use hornbeamloom_kernel::rollout_count::add;
///
/// let mut times = vec![(3, 1)];
/// add(&mut times, 3, 2);
/// add(&mut times, 1, 1);
/// assert_eq!(times, [(1, 1), (3, 3)]);
/// ```
pub fn add(times: &mut Vec<(u8, u32)>, bucket: u8, count: u32) {
    match times.binary_search_by_key(&bucket, |(known, _)| *known) {
        Ok(ix) => times[ix].1 = times[ix].1.saturating_add(count),
        Err(ix) => times.insert(ix, (bucket, count)),
    }
}

/// The cells of one service on one VM.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    cells: BTreeMap<(u32, Name), Cell>,
    /// Increases with every change.
    pub(crate) sequence: u64,
}

impl Counts {
    /// The cell to count in; `target` is `None` for other versions than the new one.
    pub(crate) fn cell(&mut self, route: u32, target: Option<&Name>) -> &mut Cell {
        self.sequence += 1;
        let target = target.cloned().unwrap_or_else(|| "".into());
        let mut key = (route, target);
        if !self.cells.contains_key(&key) && self.cells.len() >= MAX_CELLS {
            let is_new = !key.1.is_empty();
            key = (0, if is_new { "other".into() } else { key.1 });
        }
        let (route, target) = key.clone();
        self.cells.entry(key).or_insert_with(|| Cell { route, target, ..Cell::default() })
    }

    pub(crate) fn cells(&self) -> Vec<Cell> {
        self.cells.values().cloned().collect()
    }
}

/// What a VM tells the deciding VM. All numbers are totals since the order, so that a report that is
/// lost, or arrives twice, does no harm.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The process that counts.
    pub incarnation: Incarnation,
    /// Send time on the sender's clock; the answer repeats it.
    pub sent: Millis,
    /// Increases with every change of the counts.
    pub sequence: u64,
    /// The phase that the sender knows.
    pub phase: Phase,
    /// Time since the order as known to the sender, in milliseconds.
    pub elapsed_ms: u64,
    /// Requests of the sender that run on the old version.
    pub running_old: u32,
    /// The counts.
    pub cells: Vec<Cell>,
}

/// The latest reports of all VMs.
#[derive(Debug, Default)]
pub struct Ledger {
    latest: BTreeMap<Name, (Report, Millis)>,
    /// Counts of processes that were restarted since.
    earlier: Vec<Cell>,
}

impl Ledger {
    /// Takes in a report; returns whether it is newer than the known one of its VM.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Millis;
    /// use hornbeamloom_kernel::rollout_count::{Cell, Ledger, Report};
    ///
    /// let cells = vec![Cell { failed: 3, ..Cell::default() }];
    /// let report = Report { sequence: 2, cells, ..Report::default() };
    /// let mut ledger = Ledger::default();
    /// assert!(ledger.record("entry-1", &report, Millis(5)));
    /// ledger.record("entry-1", &report, Millis(9));
    /// assert_eq!(ledger.merged()[0].failed, 3);
    /// ```
    pub fn record(&mut self, vm: &str, report: &Report, now: Millis) -> bool {
        if let Some((known, _)) = self.latest.get(vm) {
            let order = |report: &Report| (report.incarnation, report.sequence, report.phase);
            if order(report) < order(known) {
                return false;
            }
            if report.incarnation > known.incarnation {
                self.earlier.extend(known.cells.iter().cloned());
            }
        }
        self.latest.insert(vm.into(), (report.clone(), now));
        true
    }

    /// The counts of all VMs, one cell for each route and target.
    ///
    /// ```
    /// use hornbeamloom_kernel::rollout_count::Ledger;
    ///
    /// assert!(Ledger::default().merged().is_empty());
    /// ```
    pub fn merged(&self) -> Vec<Cell> {
        let mut merged: BTreeMap<(u32, &Name), Cell> = BTreeMap::new();
        let latest = self.latest.values().flat_map(|(report, _)| &report.cells);
        for cell in latest.chain(&self.earlier) {
            let sum = merged.entry((cell.route, &cell.target)).or_insert_with(|| Cell {
                route: cell.route,
                target: cell.target.clone(),
                ..Cell::default()
            });
            sum.complete = sum.complete.saturating_add(cell.complete);
            sum.failed = sum.failed.saturating_add(cell.failed);
            cell.first.iter().for_each(|&(bucket, count)| add(&mut sum.first, bucket, count));
            cell.pace.iter().for_each(|&(bucket, count)| add(&mut sum.pace, bucket, count));
        }
        merged.into_values().collect()
    }

    /// The number of requests that `vm` runs on the old version, if it has told since it knows that
    /// the version was found good.
    ///
    /// ```
    /// use hornbeamloom_kernel::rollout_count::Ledger;
    ///
    /// assert_eq!(Ledger::default().running_old("entry-1"), None);
    /// ```
    pub fn running_old(&self, vm: &str) -> Option<u32> {
        let (report, _) = self.latest.get(vm)?;
        (report.phase >= Phase::Promoting).then_some(report.running_old)
    }

    /// The age of the oldest of the latest reports, in milliseconds.
    pub(crate) fn oldest_ms(&self, now: Millis) -> u64 {
        self.latest.values().map(|(_, at)| now.since(*at)).max().unwrap_or(0)
    }
}
