//! A minimal model of a target, which counts concurrent runs and reports its state with a lag.

use std::collections::BTreeMap;

use hornbeamloom_kernel::request::Id;
use hornbeamloom_kernel::target::{Phase, Report};

/// Time from a crash to the next start, in milliseconds.
const RESTART_MS: u64 = 1_000;
/// Number of past states kept for lagging reports.
const MAX_HISTORY: usize = 256;

#[derive(Debug, Clone)]
pub struct Run {
    /// When it completes, unless the target stalls.
    pub ends_at: u64,
    /// When the kernel started the attempt.
    pub started_at: u64,
    /// Whether the request has reached the target.
    pub begun: bool,
}

#[derive(Debug)]
pub struct Target {
    pub name: &'static str,
    pub zone: &'static str,
    pub cold_limit: u32,
    pub start_id: u64,
    pub cold_since: Option<u64>,
    pub down_until: u64,
    pub is_stalled: bool,
    pub is_full: bool,
    pub lag: u64,
    pub runs: BTreeMap<(Id, u32), Run>,
    history: Vec<(u64, Report)>,
}

impl Target {
    pub fn new(name: &'static str, zone: &'static str, cold_limit: u32) -> Target {
        Target {
            name,
            zone,
            cold_limit,
            start_id: 1,
            cold_since: Some(0),
            down_until: 0,
            is_stalled: false,
            is_full: false,
            lag: 0,
            runs: BTreeMap::new(),
            history: Vec::new(),
        }
    }

    pub fn is_down(&self, now: u64) -> bool {
        now < self.down_until
    }

    /// Crashes the process.
    pub fn crash(&mut self, now: u64) {
        self.start_id += 1;
        self.down_until = now + RESTART_MS;
        self.cold_since = Some(self.down_until);
        self.history.clear();
        self.runs.clear();
    }

    pub fn turn_cold(&mut self, now: u64) {
        self.cold_since.get_or_insert(now);
    }

    /// Records the current state for later reports.
    pub fn record_state(&mut self, now: u64) {
        if self.is_down(now) {
            return;
        }
        let phase = match self.cold_since {
            Some(_) => Phase::Cold,
            None => Phase::Warm,
        };
        let report = Report {
            start_id: self.start_id,
            phase,
            running: self.runs.len() as u32,
            kv_capacity: 100_000,
            ..Report::default()
        };
        if self.history.len() == MAX_HISTORY {
            self.history.remove(0);
        }
        self.history.push((now, report));
    }

    /// The state at the time given by the report lag, or the oldest one that this process recorded.
    pub fn report(&self, now: u64) -> Option<Report> {
        let wanted = now.saturating_sub(self.lag);
        let old = self.history.iter().rev().find(|(at, _)| *at <= wanted);
        old.or(self.history.first()).map(|(_, report)| report.clone())
    }
}
