//! The search of a VM with outdated tables for one that has current ones.
//!
//! It proceeds in rounds of a few attempts, each of which asks twice as many VMs as the one before.
//! All VMs of a zone ask in the same order. An answer that is not current shows that the connection
//! works, and that the tables will arrive once the VM asked has them. If most of the VMs asked do
//! not answer at all, the connections to peers are lost or silent, and the VM reads the tables for
//! itself.

use std::fmt;

use crate::ids::{Millis, Name};
use crate::map::Map;

/// Number of attempts in a round. The first one asks a single VM.
const ATTEMPTS_PER_ROUND: u32 = 3;
/// Time in milliseconds in which an answer is expected. It covers a read of the tables. The age
/// limit leaves a part of the time within which a change must be in force, and the first round has
/// to end within that part.
const ANSWER_LIMIT_MS: u64 = 150;
/// Time in milliseconds between the last attempt of a round and the first one of the next. The VMs
/// asked in vain no longer read when the next round begins, so the number of VMs of a zone that read
/// at a time is limited.
const ROUND_PAUSE_MS: u64 = crate::feed::SUBSTITUTE_MS;
/// Interval in milliseconds at which the connection to the parent is probed between the rounds.
const PROBE_INTERVAL_MS: u64 = 500;

/// A query for the tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Query {
    /// The VM that is asked.
    pub(crate) vm: Name,
    /// Whether it has to read the tables if its own copies are not current.
    pub(crate) needs_read: bool,
}

/// What the searching VM has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// Send these queries. A query to itself makes this VM read the tables.
    Ask(Vec<Query>),
    /// Read the tables, because most of the VMs asked have not answered.
    Read,
    /// Nothing until the next step.
    Wait,
}

#[derive(Debug, Clone, Copy)]
enum Phase {
    /// The next attempt is due.
    Attempt,
    /// The answers to the latest queries are due.
    Check,
    /// The parent is to be probed.
    Probe,
}

/// A search for a provider.
#[derive(Debug)]
pub(crate) struct Search {
    own: Name,
    attempt: u32,
    phase: Phase,
    next_at: Millis,
    /// When the next round begins.
    round_at: Millis,
    /// VMs asked since the latest check, and whether they have answered.
    asked: Map<Name, bool>,
}

impl Search {
    /// A search of the VM `own` whose first step is due.
    pub(crate) fn new(own: &Name, now: Millis) -> Search {
        Search {
            own: own.clone(),
            attempt: 0,
            phase: Phase::Attempt,
            next_at: now,
            round_at: now,
            asked: Map::default(),
        }
    }

    /// Whether nobody has been asked yet.
    pub(crate) fn is_new(&self) -> bool {
        self.attempt == 0
    }

    /// When the next step is due.
    pub(crate) fn next_at(&self) -> Millis {
        self.next_at
    }

    /// Puts the next step off.
    pub(crate) fn postpone(&mut self, at: Millis) {
        self.next_at = at;
    }

    /// Records that a VM has answered.
    pub(crate) fn record_answer(&mut self, vm: &str) {
        if let Some(has_answered) = self.asked.get_mut(vm) {
            *has_answered = true;
        }
    }

    /// Takes the step that is due. `order` contains the VMs of the zone, which all VMs ask in the
    /// same order.
    pub(crate) fn advance(&mut self, order: &[&Name], parent: Option<&Name>, now: Millis) -> Step {
        match self.phase {
            Phase::Attempt => self.ask(order, parent, now),
            Phase::Check => {
                let is_silent = self.is_silent();
                self.phase = Phase::Probe;
                self.next_at = now.after(PROBE_INTERVAL_MS - ANSWER_LIMIT_MS);
                if self.round_at <= self.next_at {
                    self.phase = Phase::Attempt;
                    self.next_at = self.round_at;
                }
                if is_silent {
                    Step::Read
                } else {
                    Step::Wait
                }
            }
            Phase::Probe => {
                self.phase = Phase::Check;
                self.next_at = now.after(ANSWER_LIMIT_MS);
                self.asked.clear();
                let queries = parent.map(|vm| self.query(vm, false));
                Step::Ask(queries.into_iter().collect())
            }
        }
    }

    fn ask(&mut self, order: &[&Name], parent: Option<&Name>, now: Millis) -> Step {
        let attempt = self.attempt;
        self.attempt = attempt.saturating_add(1);
        self.next_at = now.after(ANSWER_LIMIT_MS);
        if attempt % ATTEMPTS_PER_ROUND == 0 {
            self.asked.clear();
        }
        if (attempt + 1) % ATTEMPTS_PER_ROUND == 0 {
            self.phase = Phase::Check;
            self.round_at = now.after(ROUND_PAUSE_MS);
        }
        let parent = parent.filter(|_| attempt == 0).map(|vm| self.query(vm, false));
        let vms = vms_of_attempt(order, attempt).map(|vm| self.query(vm, true));
        Step::Ask(parent.into_iter().chain(vms).collect())
    }

    fn query(&mut self, vm: &Name, needs_read: bool) -> Query {
        if *vm != self.own {
            self.asked.insert(vm.clone(), false);
        }
        Query { vm: vm.clone(), needs_read }
    }

    /// Whether most of the VMs asked have not answered.
    fn is_silent(&self) -> bool {
        let answers = self.asked.values().filter(|has_answered| **has_answered).count();
        answers * 2 < self.asked.len()
    }
}

/// The number of attempts, and the VMs that have not answered, for the log.
impl fmt::Display for Search {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unanswered = self.asked.iter().filter(|(_, has_answered)| !**has_answered);
        let mut unanswered: Vec<&str> = unanswered.map(|(vm, _)| &**vm).collect();
        unanswered.sort_unstable();
        let Search { attempt, asked, .. } = self;
        write!(f, "attempts={attempt} asked={} unanswered={}", asked.len(), unanswered.join(","))
    }
}

/// The VMs that an attempt asks to read the tables.
fn vms_of_attempt<'a>(order: &'a [&'a Name], attempt: u32) -> impl Iterator<Item = &'a Name> {
    let vms_per_round = (1_usize << ATTEMPTS_PER_ROUND) - 1;
    let (round, attempt) = (attempt / ATTEMPTS_PER_ROUND, attempt % ATTEMPTS_PER_ROUND);
    let count = 1_usize << attempt;
    let first = (round as usize).saturating_mul(vms_per_round).saturating_add(count - 1);
    // An order that is shorter than a round starts again.
    order.iter().copied().cycle().skip(first % order.len().max(1)).take(count.min(order.len()))
}
