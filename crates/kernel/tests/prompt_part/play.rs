//! Several schedulers that tell each other of deaths, with engines that a part of a prompt crashes.

use std::collections::{BTreeMap, BTreeSet};

use hornbeamloom_kernel::ids::{Millis, Name};
use hornbeamloom_kernel::peer::{Death, Message, Suspect};
use hornbeamloom_kernel::request::{End, Id};
use hornbeamloom_kernel::target::PollError;

use crate::harness::{self, Harness, ENTRY};

/// Logical time per step.
pub const STEP_MS: u64 = 10;
/// Time from a grant to the first token or the crash.
const FIRST_TOKEN_MS: u64 = 200;
/// Time from a grant to the end of the answer.
const ANSWER_MS: u64 = 1_200;
/// Time for which a crashed engine is down.
const DOWN_MS: u64 = 3_000;

/// Interval between gossip of the entry VM.
const GOSSIP_MS: u64 = 500;

/// Parts that most requests share.
pub const COMMON: [u64; 2] = [101, 102];
/// The part that crashes engines.
pub const DEADLY: u64 = 666;
/// Number of parts that a few sound requests share.
const SESSIONS: u64 = 40;

/// The kind of a request.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// It has the common parts and that of a session.
    Sound,
    /// It has these parts.
    Chosen([u64; 3]),
    /// It has these parts and crashes its engine.
    Deadly([u64; 3]),
}

pub struct Play {
    pub now: u64,
    /// When each engine crashed.
    pub deaths: Vec<u64>,
    pub sound_starts: usize,
    pub refusals: usize,
    pools: Vec<Harness>,
    has_parts: bool,
    deadly: BTreeSet<Id>,
    deadly_starts: Vec<u64>,
    /// When the requests in flight were granted.
    granted: Vec<BTreeMap<Id, u64>>,
    down: Vec<BTreeMap<Name, u64>>,
    parts: BTreeSet<u64>,
    seed: u64,
}

impl Play {
    pub fn new(pools: usize, targets: usize, has_parts: bool) -> Play {
        let pools: Vec<Harness> = (0..pools).map(|pool| new_pool(pool, targets)).collect();
        Play {
            now: 0,
            deaths: Vec::new(),
            sound_starts: 0,
            refusals: 0,
            granted: vec![BTreeMap::new(); pools.len()],
            down: vec![BTreeMap::new(); pools.len()],
            pools,
            has_parts,
            deadly: BTreeSet::new(),
            deadly_starts: Vec::new(),
            parts: BTreeSet::new(),
            seed: 7,
        }
    }

    /// A pseudo-random number.
    pub fn draw(&mut self) -> u64 {
        self.seed += 1;
        hornbeamloom_kernel::retry::draw(self.seed, 1)
    }

    pub fn arrive(&mut self, pool: usize, kind: Kind) {
        let session = 1_000 + self.draw() % SESSIONS;
        let organisation = ["parlour-1", "parlour-2"][(session % 2) as usize];
        let mut ask = self.pools[pool].new_ask(organisation);
        // A number of its own for each request of the play.
        ask.fingerprint += 1_000_000 * (pool as u64 + 1);
        ask.id.counter = ask.fingerprint;
        let parts = match kind {
            Kind::Sound => [COMMON[0], COMMON[1], session],
            Kind::Chosen(parts) => parts,
            Kind::Deadly(parts) => {
                self.deadly.insert(ask.id.clone());
                parts
            }
        };
        ask.max_wait_ms = 2_000;
        if self.has_parts {
            self.parts.extend(parts);
            ask.parts = parts.to_vec();
        }
        self.pools[pool].send(&ask);
    }

    pub fn run(&mut self, ms: u64) {
        (0..ms / STEP_MS).for_each(|_| self.step());
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        for pool in 0..self.pools.len() {
            self.pools[pool].advance(STEP_MS);
            if self.now % GOSSIP_MS == 0 {
                // Messages are only sent to VMs that are known to be alive.
                self.pools[pool].add_vm(ENTRY, 9);
            }
            self.restart_engines(pool);
            self.record_starts(pool);
            self.run_engines(pool);
        }
        self.relay();
    }

    fn restart_engines(&mut self, pool: usize) {
        let now = self.now;
        self.down[pool].retain(|name, until| {
            let engine = self.pools[pool].engines.get_mut(name).expect("an engine");
            if *until <= now {
                engine.silence = None;
                engine.start_id += 1;
            }
            *until > now
        });
    }

    fn record_starts(&mut self, pool: usize) {
        for (id, _) in self.pools[pool].running() {
            if self.granted[pool].contains_key(&id) {
                continue;
            }
            match self.deadly.contains(&id) {
                true => self.deadly_starts.push(self.now),
                false => self.sound_starts += 1,
            }
            self.granted[pool].insert(id, self.now);
        }
    }

    fn run_engines(&mut self, pool: usize) {
        for (id, target) in self.pools[pool].running() {
            // It may have ended with its target in this step.
            let is_running = self.pools[pool].granted(&id).is_some();
            let Some(&granted) = self.granted[pool].get(&id).filter(|_| is_running) else {
                continue;
            };
            if self.down[pool].contains_key(&target) {
                self.pools[pool].end_attempt(&id, End::Unsent, 0, None);
                self.granted[pool].remove(&id);
            } else if self.now - granted >= ANSWER_MS {
                self.pools[pool].finish(&id);
            } else if self.now - granted >= FIRST_TOKEN_MS {
                match self.deadly.contains(&id) {
                    true => self.crash(pool, &target),
                    false => drop(self.pools[pool].tokens.insert(id, 5)),
                }
            }
        }
    }

    /// Crashes an engine; the requests that run there are lost.
    fn crash(&mut self, pool: usize, target: &Name) {
        self.deaths.push(self.now);
        self.down[pool].insert(target.clone(), self.now + DOWN_MS);
        let harness = &mut self.pools[pool];
        harness.engines.get_mut(target).expect("an engine").silence = Some(PollError::Refused);
        for id in harness.running_on(target) {
            let tokens = harness.tokens.get(&id).copied().unwrap_or(0);
            harness.end_attempt(&id, End::Broken, tokens, None);
        }
    }

    /// Crashes `count` engines of each pool.
    pub fn kill(&mut self, count: usize) {
        for pool in 0..self.pools.len() {
            let up =
                self.pools[pool].engines.keys().filter(|name| !self.down[pool].contains_key(*name));
            let names: Vec<Name> = up.take(count).cloned().collect();
            names.iter().for_each(|name| self.crash(pool, name));
        }
    }

    /// Passes the messages about deaths and quarantines on to the other schedulers.
    fn relay(&mut self) {
        for from in 0..self.pools.len() {
            let sent = std::mem::take(&mut self.pools[from].sent);
            for (_, message) in sent {
                self.refusals += usize::from(matches!(message, Message::Refuse { .. }));
                if !matches!(message, Message::Death(_) | Message::Quarantine { .. }) {
                    continue;
                }
                for to in (0..self.pools.len()).filter(|to| *to != from) {
                    self.pools[to].receive("entry-9", message.clone());
                }
            }
        }
    }

    /// The pool's scheduler goes on without a lease.
    pub fn lose_lease(&mut self, pool: usize) {
        self.pools[pool].store_up = false;
        self.run(7_000);
    }

    pub fn quarantine(&mut self, pool: usize, part: u64) {
        let message = Message::Quarantine {
            fingerprint: part,
            organisation: "parlour-1".into(),
            service: harness::SERVICE.into(),
            deaths: 3,
            remaining_ms: 60_000,
        };
        self.pools[pool].receive("entry-9", message);
    }

    /// Reports a death in another pool that makes the part a suspect, and returns whether the first
    /// pool's scheduler clears it.
    pub fn clears_after_death_elsewhere(&mut self, part: u64) -> bool {
        let suspect = Suspect {
            fingerprint: part,
            organisation: "parlour-1".into(),
            service: harness::SERVICE.into(),
            parts: vec![part],
            granted_ago_ms: 100,
        };
        let target = format!("elsewhere-{part}").as_str().into();
        let death = Death { target, start_id: 1, running: vec![suspect], age_ms: 0 };
        self.pools[0].sent.clear();
        self.pools[0].receive("entry-9", Message::Death(death));
        let mut sent = self.pools[0].sent.iter();
        sent.any(|(_, message)| {
            matches!(message, Message::Quarantine { fingerprint, deaths: 0, .. } if *fingerprint == part)
        })
    }

    /// Starts of deadly requests later than `window_ms` after the fifth death.
    pub fn late_starts(&self, window_ms: u64) -> usize {
        let Some(fifth) = self.deaths.get(4) else {
            return 0;
        };
        self.deadly_starts.iter().filter(|at| **at > fifth + window_ms).count()
    }

    pub fn starts_of_deadly(&self) -> usize {
        self.deadly_starts.len()
    }

    pub fn is_quarantined(&self, part: u64) -> bool {
        self.pools.iter().any(|pool| {
            let registry = &pool.kernel.state().quarantine;
            registry.is_quarantined(part, Millis(pool.now.0))
        })
    }

    pub fn is_suspect(&self, part: u64) -> bool {
        self.pools.iter().any(|pool| pool.kernel.state().quarantine.parts().is_suspect(part))
    }

    /// The parts that a scheduler quarantines.
    pub fn quarantined(&self) -> Vec<u64> {
        self.parts.iter().copied().filter(|part| self.is_quarantined(*part)).collect()
    }
}

fn new_pool(pool: usize, targets: usize) -> Harness {
    let names: Vec<String> = (1..=targets).map(|ix| format!("p{pool}-t{ix}")).collect();
    let target = |name: &'_ String| (name.clone(), harness::target(8, 8, 100_000));
    let named: Vec<_> = names.iter().map(target).collect();
    let targets: Vec<_> = named.iter().map(|(name, spec)| (&**name, spec.clone())).collect();
    let config = harness::config("fair", &["least_outstanding"], &[]);
    let mut harness = Harness::warm(&targets, config);
    harness.add_vm(ENTRY, 9);
    harness
}
