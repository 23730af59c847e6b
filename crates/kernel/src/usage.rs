//! Usage of pools, as computed by their owners and as last reported with a grant to this VM.

use std::collections::VecDeque;

use crate::ids::{Millis, Name};
use crate::map::Map;
use crate::peer::UsageReport;
use crate::pool::{self, Pool};
use crate::spread::Shift;

/// Age from which a reported usage is ignored, in milliseconds. A long answer takes ten seconds,
/// and a sixth of the engines may leave within three.
const MAX_AGE_MS: u64 = 5_000;
/// Limit on the pools whose usage is stored.
const MAX_POOLS: usize = 1_024;
/// Age at which an estimate lies half way between the report and the mean, in milliseconds. A
/// pool's usage changes by a fifth within a second when a burst starts.
const HALF_LIFE_MS: u64 = 1_000;
/// Limit on the sends to one pool that are kept; one VM sends a few requests per second.
const MAX_SENDS: usize = 64;

/// The last report of a pool and what this VM sent there since.
#[derive(Debug, Default)]
struct Report {
    usage: u32,
    at: Millis,
    /// Asks sent since the report, with their size in thousandths of the pool.
    sends: VecDeque<(Millis, u32)>,
}

/// What a VM assumes of a pool's usage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// Usage in thousandths.
    pub usage: u32,
    /// Age of the report it is based on, in milliseconds; `None` without a recent report.
    pub age_ms: Option<u64>,
}

/// Last reported usage by pool, in thousandths.
#[derive(Debug, Default)]
pub struct PoolUsage {
    reports: Map<pool::Key, Report>,
    /// Shift of load to other zones by service.
    shifts: Map<Name, Shift>,
}

impl PoolUsage {
    /// Records the usage of a pool as of the time `at`, unless a later one is known.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Millis;
    /// use hornbeamloom_kernel::pool::Key;
    /// use hornbeamloom_kernel::usage::PoolUsage;
    ///
    /// let mut usage = PoolUsage::default();
    /// let pool = Key::new("menu-model", "riga-a");
    /// usage.record(&pool, 400, Millis(100));
    /// usage.record(&pool, 900, Millis(50));
    /// assert_eq!(usage.get(&pool, Millis(120)), Some(400));
    /// ```
    pub fn record(&mut self, pool: &pool::Key, usage: u32, at: Millis) {
        if let Some(report) = self.reports.get_mut(pool) {
            if at >= report.at {
                report.usage = usage;
                report.at = at;
                report.sends.retain(|(sent_at, _)| *sent_at > at);
            }
            return;
        }
        if self.reports.len() >= MAX_POOLS {
            self.reports.clear();
        }
        self.reports.insert(pool.clone(), Report { usage, at, sends: VecDeque::new() });
    }

    /// Records that this VM sent a request of `size` thousandths of the pool to it, which no report
    /// up to the time `at` contains.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Millis;
    /// use hornbeamloom_kernel::pool::Key;
    /// use hornbeamloom_kernel::usage::PoolUsage;
    ///
    /// let mut usage = PoolUsage::default();
    /// let pool = Key::new("menu-model", "riga-a");
    /// usage.record(&pool, 400, Millis(100));
    /// usage.record_send(&pool, 30, Millis(110));
    /// assert_eq!(usage.estimates(&[pool], Millis(110))[0].usage, 430);
    /// ```
    pub fn record_send(&mut self, pool: &pool::Key, size: u32, at: Millis) {
        if let Some(report) = self.reports.get_mut(pool) {
            if report.sends.len() == MAX_SENDS {
                report.sends.pop_front();
            }
            report.sends.push_back((at, size));
        }
    }

    /// The usage of a pool, if it was reported recently.
    pub fn get(&self, pool: &pool::Key, now: Millis) -> Option<u32> {
        Some(self.recent_report(pool, now)?.usage)
    }

    fn recent_report(&self, pool: &pool::Key, now: Millis) -> Option<&Report> {
        self.reports.get(pool).filter(|report| now.since(report.at) <= MAX_AGE_MS)
    }

    /// Estimates the usage of `pools`, in their order.
    ///
    /// A report is corrected by what this VM sent since, and moves towards the mean of all reports
    /// as it ages, because the other VMs act on the same reports. A pool without a recent report
    /// counts with the mean.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Millis;
    /// use hornbeamloom_kernel::pool::Key;
    /// use hornbeamloom_kernel::usage::PoolUsage;
    ///
    /// let mut usage = PoolUsage::default();
    /// let pools = [Key::new("menu-model", "riga-a"), Key::new("menu-model", "riga-b")];
    /// usage.record(&pools[0], 800, Millis(0));
    /// usage.record(&pools[1], 200, Millis(0));
    /// let estimates = usage.estimates(&pools, Millis(1_000));
    /// assert_eq!((estimates[0].usage, estimates[1].usage), (650, 350));
    /// ```
    pub fn estimates(&self, pools: &[pool::Key], now: Millis) -> Vec<Estimate> {
        let corrected = |report: &Report| {
            let sent: u64 = report.sends.iter().map(|(_, size)| u64::from(*size)).sum();
            u64::from(report.usage) + sent
        };
        let reports: Vec<Option<&Report>> =
            pools.iter().map(|pool| self.recent_report(pool, now)).collect();
        let known: Vec<u64> = reports.iter().flatten().map(|report| corrected(report)).collect();
        let mean = known.iter().sum::<u64>().checked_div(known.len() as u64).unwrap_or(0);
        let estimate = |report: Option<&Report>| match report {
            Some(report) => {
                let age_ms = now.since(report.at);
                let weighted = corrected(report) * HALF_LIFE_MS + mean * age_ms;
                let usage = u32::try_from(weighted / (HALF_LIFE_MS + age_ms)).unwrap_or(u32::MAX);
                Estimate { usage, age_ms: Some(age_ms) }
            }
            None => Estimate { usage: u32::try_from(mean).unwrap_or(u32::MAX), age_ms: None },
        };
        reports.into_iter().map(estimate).collect()
    }

    /// The part of the requests for a service that leaves the zone.
    pub(crate) fn shift(&self, service: &str) -> Shift {
        self.shifts.get(service).copied().unwrap_or_default()
    }

    /// Sets the part of the requests for a service that leaves the zone.
    pub fn set_shift(&mut self, service: &Name, shift: Shift) {
        if let Some(known) = self.shifts.get_mut(service) {
            *known = shift;
            return;
        }
        if self.shifts.len() >= MAX_POOLS {
            self.shifts.clear();
        }
        self.shifts.insert(service.clone(), shift);
    }

    /// The recent reports of a service's pools, to be sent to another VM with their ages.
    pub fn reports(&self, service: &str, now: Millis) -> Vec<UsageReport> {
        let recent = self
            .reports
            .iter()
            .filter(|(key, report)| *key.service == *service && now.since(report.at) <= MAX_AGE_MS);
        let mut reports: Vec<UsageReport> = recent
            .map(|(key, report)| UsageReport {
                zone: key.zone.clone(),
                usage: report.usage,
                age_ms: now.since(report.at),
            })
            .collect();
        reports.sort_by(|a, b| a.zone.cmp(&b.zone));
        reports
    }

    /// Records the reports that another VM sent of a service's pools.
    pub fn record_reports(&mut self, service: &str, reports: &[UsageReport], now: Millis) {
        for report in reports.iter().filter(|report| report.age_ms <= MAX_AGE_MS) {
            let at = Millis(now.0.saturating_sub(report.age_ms));
            self.record(&pool::Key::new(service, &report.zone), report.usage, at);
        }
    }
}

impl Pool {
    /// Part of the KV memory of the targets that is in use, in thousandths. Targets without KV
    /// memory count their request slots instead.
    pub fn usage_permille(&self, now: Millis) -> u32 {
        let usable = self.targets.iter().filter(|slot| !slot.is_leaving());
        let sums = usable.map(|slot| match slot.kv_capacity() {
            0 => (u64::from(slot.in_flight_count()), u64::from(slot.spec.warm_limit)),
            capacity => (slot.estimated_kv(now), capacity),
        });
        let (used, capacity) =
            sums.fold((0, 0), |(used, all), (more, size)| (used + more, all + size));
        let usage = (used * 1_000).checked_div(capacity).unwrap_or(0);
        u32::try_from(usage).unwrap_or(u32::MAX)
    }
}
