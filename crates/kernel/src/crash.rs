//! Evidence of targets' deaths: what ran on a target when its process ended.
//!
//! The owner of a pool sees reports and ledger; it attributes a death to the bodies that ran there
//! and to those whose attempts broke there shortly before the evidence.

use std::collections::VecDeque;

use crate::ids::{Millis, Name};
use crate::kernel::State;
use crate::map::Map;
use crate::peer::{Death, Release, Suspect};
use crate::request::End;
use crate::target::{Report, Silence};

/// Time between a broken attempt and the evidence of its target's death, in milliseconds.
const BROKEN_MS: u64 = 10_000;
/// Broken attempts that are remembered.
const BROKEN_MAX: usize = 1_024;
/// Targets whose start is remembered.
const STARTS_MAX: usize = 4_096;

/// What this VM has seen of targets that may die.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    starts: Map<Name, u64>,
    broken: VecDeque<Broken>,
}

/// An attempt that broke.
#[derive(Debug)]
struct Broken {
    target: Name,
    suspect: Suspect,
    at: Millis,
}

impl Watch {
    /// Remembers an attempt that broke. Its ledger entry is gone when the evidence arrives.
    fn remember(&mut self, target: &Name, suspect: Suspect, now: Millis) {
        if self.broken.len() == BROKEN_MAX {
            self.broken.pop_front();
        }
        let target = target.clone();
        self.broken.push_back(Broken {
            target,
            suspect,
            at: now,
        });
    }

    /// Takes the bodies whose attempts broke on a target lately.
    fn take_broken(&mut self, target: &str, now: Millis) -> Vec<Suspect> {
        self.broken
            .retain(|broken| now.since(broken.at) < BROKEN_MS);
        let (taken, kept): (Vec<_>, Vec<_>) = self
            .broken
            .drain(..)
            .partition(|broken| *broken.target == *target);
        self.broken = kept.into();
        taken.into_iter().map(|broken| broken.suspect).collect()
    }

    /// The start of the target's process that a report shows to have ended, if it does.
    fn ended_start(&mut self, target: &str, report: Result<&Report, Silence>) -> Option<u64> {
        match report {
            Ok(report) => {
                if self.starts.len() >= STARTS_MAX && !self.starts.contains_key(target) {
                    self.starts.clear();
                }
                let last = self.starts.insert(target.into(), report.start_id);
                last.filter(|last| *last != report.start_id)
            }
            // Nobody listens at the address any more.
            Err(Silence::Refused) => self.starts.get(target).copied(),
            Err(Silence::Timeout | Silence::Malformed) => None,
        }
    }
}

/// Remembers an attempt that the entry VM reports as broken, from the ledger of its pool.
pub(crate) fn released(state: &mut State, release: &Release, now: Millis) {
    if !matches!(release.end, End::Broken | End::Died) {
        return;
    }
    let pool = state.pools.get(&release.pool);
    let Some(running) = pool.and_then(|pool| pool.ledger.get(&release.id)) else {
        return;
    };
    let suspect = suspect(&running.ask);
    let watch = &mut state.quarantine.watch;
    watch.remember(&release.target, suspect, now);
}

/// The death that a report or its absence shows, if bodies ran on the target.
pub(crate) fn reported(
    state: &mut State,
    target: &str,
    report: Result<&Report, Silence>,
    now: Millis,
) -> Option<Death> {
    let watch = &mut state.quarantine.watch;
    let start_id = watch.ended_start(target, report)?;
    let mut running = watch.take_broken(target, now);
    running.extend(running_on(state, target));
    running.sort_by_key(|suspect| suspect.fingerprint);
    running.dedup_by_key(|suspect| suspect.fingerprint);
    let death = Death {
        target: target.into(),
        start_id,
        running,
        age_ms: 0,
    };
    Some(death).filter(|death| !death.running.is_empty())
}

fn running_on(state: &State, target: &str) -> Vec<Suspect> {
    let Some(spec) = state.intent.target(target) else {
        return Vec::new();
    };
    let key = crate::pool::Key::new(&spec.service, &spec.zone);
    let Some(pool) = state.pools.get(&key) else {
        return Vec::new();
    };
    let runs_there = |running: &&crate::ledger::Running| {
        let slot = pool.targets.get(running.target);
        slot.is_some_and(|slot| *slot.name == *target)
    };
    let running = pool
        .ledger
        .iter()
        .map(|(_, running)| running)
        .filter(runs_there);
    running.map(|running| suspect(&running.ask)).collect()
}

fn suspect(ask: &crate::peer::Ask) -> Suspect {
    Suspect {
        fingerprint: ask.fingerprint,
        organisation: ask.organisation.clone(),
        service: ask.pool.service.clone(),
    }
}
