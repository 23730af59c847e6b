//! The state of a target at the scheduler of its pool.

use std::collections::{BTreeSet, VecDeque};

use crate::backpressure;
use crate::broken_attempt;
use crate::ids::{Millis, Name};
use crate::map::Set;
use crate::peer::Suspect;
use crate::rejections::Rejections;
use crate::request::{Class, End, Id};
use crate::resource;

pub use crate::ramp::Ramp;
pub use crate::report::{CacheBatch, Phase, PollError, Report};

/// Longest time by which a report lags the state of its target.
pub const REPORT_LAG_MS: u64 = 3_000;
/// A first token is slow if it takes more than this many times the median of the warm target.
const SLOW_FIRST_TOKEN_FACTOR: u32 = 4;
/// A first token that takes no longer than this is never slow.
const MIN_SLOW_FIRST_TOKEN_MS: u32 = 1_000;
/// Number of successive slow first tokens after which a warm target counts as cold.
const SLOW_FIRST_TOKENS_LIMIT: u32 = 3;
/// Number of first-token times kept for the median.
const MAX_FIRST_TOKEN_SAMPLES: usize = 32;
/// Period for which `Target.cold_rate` bounds the grants of a cold target.
const COLD_WINDOW_MS: u64 = 1_000;
/// Smallest number of first-token times that gives a median.
const MIN_FIRST_TOKEN_SAMPLES: usize = 8;
/// Number of successive failed polls after which a target gets no new requests.
const FAILED_POLLS_LIMIT: u32 = 3;
/// Start id of a process of which no report was received.
const UNREPORTED_START_ID: u64 = 0;
/// Number of attempts kept that may still run.
const MAX_ORPHANS: usize = 64;
/// Number of releases kept within `REPORT_LAG_MS`.
const MAX_RELEASES: usize = 1_024;
/// Number of prefix hashes kept for one engine; beyond it all are dropped.
const MAX_PREFIXES: usize = 65_536;

/// A report and the time at which it was received.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedReport {
    /// The report.
    pub report: Report,
    /// When it was received.
    pub received_at: Millis,
}

/// What a poll shows about the target's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LivenessChange {
    /// No death that was not known before.
    None,
    /// The process with this start id has died.
    Died(u64),
}

/// Why a target gets no new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Unavailable {
    /// Its resource was deleted.
    pub removed: bool,
    /// The platform's list of VMs marks it as leaving.
    pub listed_leaving: bool,
    /// No process listens at its address.
    pub down: bool,
}

/// A target as the scheduler of its pool sees it.
#[derive(Debug)]
pub struct TargetState {
    /// Its name.
    pub name: Name,
    /// Its specification.
    pub spec: resource::Target,
    /// Requests granted to it and not released.
    pub in_flight: BTreeSet<Id>,
    /// Number of requests of class `Long` among them.
    pub in_flight_long: u32,
    /// Its progress from cold to warm.
    pub ramp: Ramp,
    /// The latest report.
    pub last_report: Option<ReceivedReport>,
    /// Number of requests that it serves beyond those granted here.
    pub untracked: u32,
    /// Projected KV use of the requests in flight, in tokens.
    pub projected_kv: u64,
    /// The part of `projected_kv` that belongs to short requests.
    pub projected_kv_short: u64,
    /// Why it gets no new requests, apart from its specification and report.
    pub unavailable: Unavailable,
    /// Sequence number of its latest grant among the grants of the pool.
    pub last_grant: u64,
    /// It gets no new requests before this time.
    pub paused_until: Millis,
    /// The limit that it names on the rate of its requests.
    pub(crate) limiter: Option<backpressure::Limiter>,
    /// What it bears of rejections, and those that there were.
    pub(crate) rejections: Rejections,
    /// It says in its responses that it leaves.
    pub(crate) says_leaving: bool,
    /// When it was last polled after an attempt that broke.
    pub(crate) contacted_at: Option<Millis>,
    failed_polls: u32,
    dead_start_id: Option<u64>,
    died_at: Option<Millis>,
    awaits_warm_report: bool,
    was_reset: bool,
    inherited_start_id: Option<u64>,
    slow_first_tokens: u32,
    /// Its first tokens were as slow as those of a cold target while it reported warm.
    slow_while_warm: bool,
    first_token_times: VecDeque<u32>,
    releases: VecDeque<Millis>,
    /// When attempts lost their connection that may still run on the target.
    orphans: VecDeque<Millis>,
    /// Attempts whose connection broke; the death of the target may explain them.
    pub(crate) broken_attempts: broken_attempt::Attempts,
    /// An attempt found the process dead before any report of it was received.
    died_unreported: bool,
    cached_prefixes: Set<u64>,
    next_cache_event: u64,
    /// Times of the grants within `COLD_WINDOW_MS` while the target was cold.
    cold_grants: VecDeque<Millis>,
}

impl TargetState {
    /// Returns the state of a target of which nothing is known.
    pub(crate) fn new(name: &Name, spec: &resource::Target) -> TargetState {
        TargetState {
            name: name.clone(),
            spec: spec.clone(),
            in_flight: BTreeSet::new(),
            in_flight_long: 0,
            ramp: Ramp::cold(spec),
            last_report: None,
            untracked: 0,
            projected_kv: 0,
            projected_kv_short: 0,
            unavailable: Unavailable::default(),
            last_grant: 0,
            paused_until: Millis(0),
            limiter: None,
            rejections: Rejections::default(),
            says_leaving: false,
            contacted_at: None,
            failed_polls: 0,
            dead_start_id: None,
            died_at: None,
            awaits_warm_report: false,
            was_reset: false,
            inherited_start_id: None,
            slow_first_tokens: 0,
            slow_while_warm: false,
            first_token_times: VecDeque::new(),
            releases: VecDeque::new(),
            orphans: VecDeque::new(),
            broken_attempts: broken_attempt::Attempts::default(),
            died_unreported: false,
            cached_prefixes: Set::default(),
            next_cache_event: 0,
            cold_grants: VecDeque::new(),
        }
    }

    /// Returns the number of requests granted to it and not released.
    pub fn in_flight_count(&self) -> u32 {
        self.in_flight.len() as u32
    }

    /// Returns whether its ramp has not started, was never reset, and no death is known.
    pub(crate) fn has_no_history(&self) -> bool {
        self.ramp == Ramp::cold(&self.spec) && !self.was_reset && self.dead_start_id.is_none()
    }

    /// Returns whether it may be given its full load.
    pub fn is_warm(&self) -> bool {
        self.ramp.warm
    }

    /// Returns whether it reports warm, has no slow first tokens, and has not completed its ramp.
    pub fn is_ramping(&self) -> bool {
        !self.ramp.warm && !self.slow_while_warm && self.phase() == Some(Phase::Warm)
    }

    /// Returns whether its resource, its report, its responses or the platform's list say that it is
    /// leaving.
    pub fn is_leaving(&self) -> bool {
        self.spec.leaving
            || self.unavailable.removed
            || self.unavailable.listed_leaving
            || self.says_leaving
            || self.phase() == Some(Phase::Leaving)
    }

    /// Returns whether its polls and its latest answers allow new requests.
    pub fn is_healthy(&self, now: Millis) -> bool {
        !self.unavailable.down && self.failed_polls < FAILED_POLLS_LIMIT && self.paused_until <= now
    }

    /// Returns whether its process is known to have died, or may have: an attempt has just broken.
    pub(crate) fn may_have_died(&self, now: Millis) -> bool {
        self.unavailable.down || self.broken_attempts.has_recent(now)
    }

    /// Returns the phase in the latest report.
    pub fn phase(&self) -> Option<Phase> {
        self.last_report.as_ref().map(|last| last.report.phase)
    }

    /// Returns the KV capacity in tokens; zero if it has no limit.
    pub fn kv_capacity(&self) -> u64 {
        let reported = self.last_report.as_ref().map(|last| last.report.kv_capacity);
        reported.filter(|&capacity| capacity > 0).unwrap_or(self.spec.kv_tokens)
    }

    /// Returns the KV use in tokens in a recent report; zero without one.
    pub fn reported_kv(&self, now: Millis) -> u64 {
        let fresh =
            self.last_report.as_ref().filter(|last| now.since(last.received_at) <= REPORT_LAG_MS);
        fresh.map_or(0, |last| last.report.kv_used)
    }

    /// Returns the larger of the projected and the recently reported KV use, in tokens.
    pub fn estimated_kv(&self, now: Millis) -> u64 {
        self.projected_kv.max(self.reported_kv(now))
    }

    /// Records the time of a grant, for `Target.cold_rate`.
    pub(crate) fn record_grant(&mut self, now: Millis) {
        while self.cold_grants.front().is_some_and(|&at| now.since(at) >= COLD_WINDOW_MS) {
            self.cold_grants.pop_front();
        }
        if self.phase() == Some(Phase::Cold) && self.spec.cold_rate > 0 {
            self.cold_grants.push_back(now);
        }
    }

    /// Returns whether a cold target got as many grants in the last second as its cold rate allows.
    pub(crate) fn is_cold_rate_reached(&self, now: Millis) -> bool {
        let recent = self.cold_grants.iter().filter(|&&at| now.since(at) < COLD_WINDOW_MS).count();
        self.phase() == Some(Phase::Cold)
            && self.spec.cold_rate > 0
            && recent >= self.spec.cold_rate as usize
    }

    /// Adds a granted request.
    pub(crate) fn add_request(&mut self, id: &Id, class: Class, kv: u64) {
        if self.in_flight.insert(id.clone()) {
            self.in_flight_long += u32::from(class == Class::Long);
            self.adjust_kv(class, kv, 0);
        }
    }

    /// Removes a granted request; the time is kept since later reports may still contain it.
    pub(crate) fn remove_request(&mut self, id: &Id, class: Class, kv: u64, now: Millis) {
        if self.in_flight.remove(id) {
            self.in_flight_long -= u32::from(class == Class::Long);
            self.adjust_kv(class, 0, kv);
            self.record_release(now);
        }
    }

    /// Adds `added` to the projected KV use and then subtracts `removed`.
    pub(crate) fn adjust_kv(&mut self, class: Class, added: u64, removed: u64) {
        self.projected_kv = (self.projected_kv + added).saturating_sub(removed);
        if class == Class::Short {
            self.projected_kv_short = (self.projected_kv_short + added).saturating_sub(removed);
        }
    }

    /// Returns how many of the prefixes, from the shortest, the engine is likely to have cached.
    pub fn cached_prefix_count(&self, prefixes: &[u64]) -> usize {
        prefixes.iter().take_while(|&prefix| self.cached_prefixes.contains(prefix)).count()
    }

    /// Restarts the ramp of the target.
    pub(crate) fn reset_ramp(&mut self) {
        self.ramp = Ramp::cold(&self.spec);
        self.awaits_warm_report = false;
        self.was_reset = true;
        self.slow_first_tokens = 0;
        self.first_token_times.clear();
    }

    /// Applies a changed specification.
    pub(crate) fn update_spec(&mut self, spec: &resource::Target) {
        let has_returned = self.spec.leaving && !spec.leaving;
        let has_moved = self.spec.address != spec.address;
        let limits = (self.spec.cold_limit, self.spec.warm_limit);
        self.spec = spec.clone();
        if has_moved {
            self.last_report = None;
            self.clear_prefixes();
        }
        if has_returned || has_moved || self.unavailable.removed {
            self.reset_ramp();
        } else if limits != (spec.cold_limit, spec.warm_limit) {
            self.ramp = match self.ramp.warm {
                true => Ramp::warm(spec),
                false => Ramp::cold(spec),
            };
        }
        self.unavailable.removed = false;
    }

    /// Records whether the platform's list marks the target as leaving.
    pub(crate) fn set_listed_leaving(&mut self, leaving: bool) {
        if self.unavailable.listed_leaving && !leaving {
            self.reset_ramp();
        }
        self.unavailable.listed_leaving = leaving;
    }

    /// Applies a report.
    pub(crate) fn apply_report(&mut self, report: &Report, now: Millis) -> LivenessChange {
        self.failed_polls = 0;
        let previous =
            self.last_report.replace(ReceivedReport { report: report.clone(), received_at: now });
        let inherited_start_id = self.inherited_start_id.take();
        let known_start_id = previous.as_ref().map(|last| last.report.start_id);
        let known_start_id = known_start_id.or(inherited_start_id);
        let was_leaving = previous.is_some_and(|last| last.report.phase == Phase::Leaving);
        let has_restarted =
            known_start_id.is_some_and(|known_start_id| known_start_id != report.start_id);
        let has_returned = was_leaving && report.phase != Phase::Leaving;
        if has_restarted || has_returned || report.phase == Phase::Cold {
            self.reset_ramp();
        }
        if has_restarted {
            self.clear_prefixes();
            self.limiter = None;
            self.rejections = Rejections::default();
            self.says_leaving = false;
        }
        if std::mem::take(&mut self.awaits_warm_report)
            && report.phase == Phase::Warm
            && !has_restarted
        {
            self.ramp = Ramp::warm(&self.spec);
        }
        if report.phase == Phase::Warm && !self.slow_while_warm {
            self.ramp.promote_at_warm_limit(&self.spec);
        }
        self.unavailable.down = false;
        self.untracked = self.count_untracked(report, now);
        match known_start_id {
            Some(start_id) if has_restarted && self.dead_start_id != Some(start_id) => {
                self.dead_start_id = Some(start_id);
                LivenessChange::Died(start_id)
            }
            None => self.take_unreported_death(),
            _ => LivenessChange::None,
        }
    }

    /// Returns, once, the death of a process that an attempt found before any report of it.
    fn take_unreported_death(&mut self) -> LivenessChange {
        match std::mem::take(&mut self.died_unreported) {
            true => LivenessChange::Died(UNREPORTED_START_ID),
            false => LivenessChange::None,
        }
    }

    /// Applies a holder's announcement that it is warm, at once if fresh, else on a warm report.
    pub(crate) fn apply_warm_hint(&mut self, is_fresh: bool) {
        match is_fresh {
            true => self.ramp = Ramp::warm(&self.spec),
            false => self.awaits_warm_report = true,
        }
    }

    /// Returns how many requests a report shows beyond those granted here within the report's lag.
    fn count_untracked(&mut self, report: &Report, now: Millis) -> u32 {
        while self.releases.front().is_some_and(|&at| now.since(at) > REPORT_LAG_MS) {
            self.releases.pop_front();
        }
        let granted = self.in_flight_count() + self.releases.len() as u32;
        (report.running + report.waiting).saturating_sub(granted).max(self.count_orphans(now))
    }

    /// Returns how many attempts broke so recently that a report may not show them yet.
    fn count_orphans(&mut self, now: Millis) -> u32 {
        while self.orphans.front().is_some_and(|&at| now.since(at) > REPORT_LAG_MS) {
            self.orphans.pop_front();
        }
        self.orphans.len() as u32
    }

    /// Keeps an attempt whose connection broke counted, since the target may continue it.
    fn record_orphan(&mut self, now: Millis) {
        self.releases.pop_back();
        if self.orphans.len() == MAX_ORPHANS {
            self.orphans.pop_front();
        }
        self.orphans.push_back(now);
        self.untracked = self.untracked.max(self.count_orphans(now));
    }

    /// Keeps the previous count of untracked requests as far as the new report can contain them.
    ///
    /// Requests of earlier schedulers and of broken attempts end without a release here. A lagging
    /// report can show granted requests that have ended, or miss later grants, so a lower count does
    /// not prove that an untracked request ended. The report must contain `reportable` of the grants.
    pub(crate) fn retain_untracked(&mut self, previous: u32, report: &Report, reportable: u32) {
        let shown = (report.running + report.waiting).saturating_sub(reportable);
        self.untracked = self.untracked.max(previous.min(shown));
    }

    /// Forgets failed polls, which were no fault of the target.
    pub(crate) fn forget_failed_polls(&mut self) {
        self.failed_polls = 0;
        self.unavailable.down = false;
    }

    /// Applies a failed poll.
    pub(crate) fn poll_failed(&mut self, error: PollError, now: Millis) -> LivenessChange {
        self.failed_polls = self.failed_polls.saturating_add(1);
        if error != PollError::Refused {
            return LivenessChange::None;
        }
        self.unavailable.down = true;
        let start_id = self.last_report.as_ref().map(|last| last.report.start_id);
        match start_id {
            Some(start_id) if self.dead_start_id != Some(start_id) => {
                // A target that was leaving has stopped as announced; its requests are no suspects.
                let is_crash = !self.is_leaving();
                self.dead_start_id = Some(start_id);
                self.reset_ramp();
                match is_crash {
                    true => LivenessChange::Died(start_id),
                    false => LivenessChange::None,
                }
            }
            None if self.broken_attempts.has_recent(now) && !self.is_leaving() => {
                self.died_unreported = false;
                LivenessChange::Died(UNREPORTED_START_ID)
            }
            None => self.take_unreported_death(),
            _ => LivenessChange::None,
        }
    }

    /// Applies the end of an attempt that was granted at `granted_at`.
    pub(crate) fn attempt_ended(
        &mut self,
        end: End,
        suspect: Suspect,
        granted_at: Millis,
        now: Millis,
    ) {
        self.died_unreported |= end == End::Died && self.last_report.is_none();
        if end == End::Broken {
            self.record_orphan(now);
        }
        match end {
            End::Complete if self.phase() == Some(Phase::Warm) => {
                self.slow_while_warm = false;
                self.ramp.record_success(&self.spec);
            }
            End::Rejected => self.paused_until = self.rejections.record(now),
            End::Broken | End::Died if !self.is_covered_by_death(granted_at) => {
                self.broken_attempts.record(suspect, now)
            }
            _ => {}
        }
    }

    /// Records the time to a first token in milliseconds; successive slow ones restart the ramp.
    pub(crate) fn record_first_token(&mut self, first_ms: u32) {
        if !self.ramp.warm {
            return;
        }
        let median = self.first_token_median();
        let limit = median.map(|median| {
            median.saturating_mul(SLOW_FIRST_TOKEN_FACTOR).max(MIN_SLOW_FIRST_TOKEN_MS)
        });
        if limit.is_some_and(|limit| first_ms > limit) {
            self.slow_first_tokens += 1;
        } else {
            self.slow_first_tokens = 0;
            if self.first_token_times.len() == MAX_FIRST_TOKEN_SAMPLES {
                self.first_token_times.pop_front();
            }
            self.first_token_times.push_back(first_ms);
        }
        if self.slow_first_tokens >= SLOW_FIRST_TOKENS_LIMIT {
            self.reset_ramp();
            self.slow_while_warm = true;
        }
    }

    fn first_token_median(&self) -> Option<u32> {
        if self.first_token_times.len() < MIN_FIRST_TOKEN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<u32> = self.first_token_times.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied()
    }

    fn record_release(&mut self, now: Millis) {
        if self.releases.len() == MAX_RELEASES {
            self.releases.pop_front();
        }
        self.releases.push_back(now);
    }

    /// Returns whether requests granted at `granted_at` are already part of a reported death.
    pub(crate) fn is_covered_by_death(&self, granted_at: Millis) -> bool {
        self.died_at.is_some_and(|died_at| granted_at <= died_at)
    }

    /// Removes and returns the recently broken attempts, which a death at `now` explains.
    pub(crate) fn take_broken_attempts(&mut self, now: Millis) -> Vec<Suspect> {
        self.died_at = Some(now);
        self.broken_attempts.take(now)
    }

    /// Applies prefix-cache events; a gap in their sequence drops all cached prefixes.
    pub(crate) fn apply_cache_events(&mut self, batch: &CacheBatch) {
        if batch.first != self.next_cache_event {
            self.cached_prefixes.clear();
        }
        let events = batch.stored.len() + batch.evicted.len();
        self.next_cache_event = batch.first + events as u64;
        self.cached_prefixes.extend(&batch.stored);
        for prefix in &batch.evicted {
            self.cached_prefixes.remove(prefix);
        }
        if self.cached_prefixes.len() > MAX_PREFIXES {
            self.cached_prefixes.clear();
        }
    }

    fn clear_prefixes(&mut self) {
        self.cached_prefixes.clear();
        self.next_cache_event = 0;
    }
}

impl TargetState {
    /// Takes over the ramp that an earlier scheduler recorded for the process `start_id`.
    pub(crate) fn inherit_ramp(&mut self, start_id: u64, ramp: Ramp) {
        match &self.last_report {
            Some(last) if last.report.start_id != start_id => {}
            Some(last) if last.report.phase == Phase::Cold => {}
            Some(_) => self.ramp = ramp,
            None => {
                self.ramp = ramp;
                self.inherited_start_id = Some(start_id);
            }
        }
    }
}
