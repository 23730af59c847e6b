//! How fast targets deliver, as measured by the VMs that read their streams.

use crate::ids::{Millis, Name};
use crate::map::Map;
use crate::peer::TargetPace;

/// Age from which a measurement is ignored, in milliseconds. Engines are slow for a few seconds at a
/// time.
const MAX_AGE_MS: u64 = 4_000;
/// Number of events that weigh as much as everything measured before: the streams of one target
/// deliver about as many in half a second.
const HALF_WEIGHT_EVENTS: u64 = 32;
/// Time in which the worst pause counts half, in milliseconds.
const WORST_HALF_LIFE_MS: u64 = 1_000;
/// Time per event while a prompt is processed beside a stream, in percent of that without one: an
/// interval of progress contains events of both kinds.
const MIXED_PERCENT: u64 = 180;
/// Mean time per event, in percent of the known one, up to which an interval counts as one without a
/// prompt.
const CALM_PERCENT: u64 = 130;
/// Time of the one event during which a chunk of a prompt is processed, in percent of the time per
/// event without one. Measured: 30 ms without, 70 to 80 ms with one.
const PREFILL_PERCENT: u64 = 250;

/// Events of one stream within an interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reading {
    /// Number of gaps between events.
    pub gaps: u32,
    /// Sum of these gaps, in milliseconds.
    pub total_ms: u32,
    /// The longest of them, in milliseconds.
    pub worst_ms: u32,
}

/// What is known of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pace {
    /// Mean time per event without a prompt beside it, in microseconds, and when it was measured.
    event: Option<(u64, Millis)>,
    /// Mean time per prompt token up to the first event, in microseconds, and when it was measured.
    prompt: Option<(u64, Millis)>,
    /// The worst recent pause in milliseconds, and when it was reported.
    worst: Option<(u64, Millis)>,
}

impl Pace {
    /// Records events that a VM read within an interval; `beside_prompt` says whether the target
    /// processed a prompt meanwhile.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Millis;
    /// use hornbeamloom_kernel::pace::{Pace, Reading};
    ///
    /// let mut pace = Pace::default();
    /// let reading = Reading { gaps: 10, total_ms: 300, worst_ms: 40 };
    /// pace.record_events(reading, false, Millis(500));
    /// assert_eq!(pace.event_us(Millis(600)), Some(30_000));
    /// assert_eq!(pace.event_us(Millis(9_000)), None);
    /// ```
    pub fn record_events(&mut self, reading: Reading, beside_prompt: bool, now: Millis) {
        if reading.gaps == 0 {
            return;
        }
        let gaps = u64::from(reading.gaps);
        let mean_us = u64::from(reading.total_ms) * 1_000 / gaps;
        let known_us = self.event_us(now);
        // The prompt may have come at the end of the interval or be waiting for another one.
        let is_slower = known_us.is_none_or(|us| mean_us * 100 > us * CALM_PERCENT);
        let calm_us = match beside_prompt && is_slower {
            true => mean_us * 100 / MIXED_PERCENT,
            false => mean_us,
        };
        let known_us = known_us.unwrap_or(calm_us);
        let mixed = known_us * HALF_WEIGHT_EVENTS + calm_us * gaps;
        self.event = Some((mixed / (HALF_WEIGHT_EVENTS + gaps), now));
        let worst_ms = u64::from(reading.worst_ms).max(self.worst_ms(now));
        self.worst = Some((worst_ms, now));
    }

    /// Records the time from the start of a request to its first event.
    pub fn record_first_event(&mut self, first_ms: u32, prompt_tokens: u32, now: Millis) {
        if let Some(us) = (u64::from(first_ms) * 1_000).checked_div(u64::from(prompt_tokens)) {
            let known_us = self.prompt_us(now).unwrap_or(us);
            self.prompt = Some(((known_us + us) / 2, now));
        }
    }

    /// The recent mean time per event without a prompt beside it, in microseconds.
    pub fn event_us(&self, now: Millis) -> Option<u64> {
        recent(self.event, now)
    }

    /// The recent mean time per prompt token up to the first event, in microseconds.
    pub fn prompt_us(&self, now: Millis) -> Option<u64> {
        recent(self.prompt, now)
    }

    /// The worst recent pause in milliseconds, which counts less as it ages.
    pub fn worst_ms(&self, now: Millis) -> u64 {
        self.worst
            .map_or(0, |(ms, at)| ms * WORST_HALF_LIFE_MS / (WORST_HALF_LIFE_MS + now.since(at)))
    }

    /// Time since the last events were reported, in milliseconds.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.event.map(|(_, at)| now.since(at))
    }

    /// The pause in milliseconds that a stream on the target is likely to see while a prompt is
    /// processed beside it.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Millis;
    /// use hornbeamloom_kernel::pace::{Pace, Reading};
    ///
    /// let mut pace = Pace::default();
    /// let reading = Reading { gaps: 10, total_ms: 300, worst_ms: 40 };
    /// pace.record_events(reading, false, Millis(500));
    /// assert_eq!(pace.pause_beside_prompt_ms(Millis(500)), Some(75));
    /// ```
    pub fn pause_beside_prompt_ms(&self, now: Millis) -> Option<u64> {
        let event_us = self.event_us(now)?;
        Some((event_us * PREFILL_PERCENT / 100_000).max(self.worst_ms(now)))
    }
}

fn recent(value: Option<(u64, Millis)>, now: Millis) -> Option<u64> {
    value.filter(|(_, at)| now.since(*at) <= MAX_AGE_MS).map(|(value, _)| value)
}

/// The pace of the targets of a pool.
#[derive(Debug, Default)]
pub struct Paces {
    /// Longest pause that the pool's streams may have, in milliseconds, if there is a limit.
    pub bound_ms: Option<u64>,
    targets: Map<Name, Pace>,
}

impl Paces {
    /// The pace of a target.
    pub fn get(&self, target: &str) -> Option<&Pace> {
        self.targets.get(target)
    }

    /// The pace of a target to be changed.
    pub(crate) fn entry(&mut self, target: &Name) -> &mut Pace {
        self.targets.entry(target.clone()).or_default()
    }

    /// Drops the targets that `keep` rejects.
    pub(crate) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.targets.retain(|name, _| keep(name));
    }

    /// The shortest recent times of any target, per event and per prompt token.
    pub fn best_us(&self, now: Millis) -> (Option<u64>, Option<u64>) {
        let events = self.targets.values().filter_map(|pace| pace.event_us(now));
        let prompts = self.targets.values().filter_map(|pace| pace.prompt_us(now));
        (events.min(), prompts.min())
    }
}

/// Adds a reading of a stream on `target` to the readings of an interval.
pub(crate) fn add_reading(readings: &mut Vec<TargetPace>, target: &Name, reading: Reading) {
    if reading.gaps == 0 {
        return;
    }
    match readings.iter_mut().find(|known| known.target == *target) {
        Some(known) => {
            known.gaps = known.gaps.saturating_add(reading.gaps);
            known.total_ms = known.total_ms.saturating_add(reading.total_ms);
            known.worst_ms = known.worst_ms.max(reading.worst_ms);
        }
        None => readings.push(TargetPace {
            target: target.clone(),
            gaps: reading.gaps,
            total_ms: reading.total_ms,
            worst_ms: reading.worst_ms,
        }),
    }
}
