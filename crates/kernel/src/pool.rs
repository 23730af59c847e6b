//! The owner's side of a request: one pool with its queue, running work and targets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::accounting;
use crate::event::Event;
use crate::ids::{Fence, Millis, Name};
use crate::intent::Intent;
use crate::kernel::{Outbox, State};
use crate::ledger::Ledger;
use crate::length::{Lengths, Survival};
use crate::map::Map;
use crate::peer::{Ask, Message};
use crate::plugin::{control, policy};
use crate::queue::Queue;
use crate::rate::Rate;
use crate::request::{Class, Id};
use crate::resource::{self, Protocol};
use crate::schedule::{self, Stages};
use crate::takeover::{self, Hint, Listing, Rights, Takeover, HANDED_PAUSE};
use crate::target::{Phase, Slot};

pub use crate::ledger::Running;
pub use crate::takeover::Snapshot;

/// Interval of periodic work: deadlines, silence, hellos. A quarter of a second keeps the delay of
/// the queue deadline small against its length.
const PERIOD: u64 = 250;
/// A pool that is neither held nor used is forgotten after this time.
const UNUSED_LIMIT: u64 = 10_000;
/// An output of at most this many tokens makes a request short.
pub(crate) const SHORT_TOKENS: u32 = 128;
/// Memory is kept for short requests for this time after one came, in milliseconds.
const SHORT_EXPECTED: u64 = 60_000;
/// Tokens ahead at which KV use is estimated.
const HORIZONS: [u32; 10] = [0, 16, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096];

/// A pool: one service in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: Name,
    /// The availability zone.
    pub zone: Name,
}

impl Key {
    /// The pool of `service` in `zone`.
    ///
    /// ```
    /// use hornbeamloom_kernel::pool::Key;
    ///
    /// let key = Key::new("pisarz-modelu", "lodz-a");
    /// assert_eq!((&*key.service, &*key.zone), ("pisarz-modelu", "lodz-a"));
    /// ```
    pub fn new(service: &str, zone: &str) -> Key {
        Key { service: service.into(), zone: zone.into() }
    }
}

/// A target whose free memory is kept for one request.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// The request.
    pub id: Id,
    /// Its class.
    pub class: Class,
    /// Index of the target.
    pub target: usize,
}

/// One pool as its scheduler sees it.
#[derive(Debug)]
pub struct Pool {
    /// Which pool.
    pub key: Key,
    /// What this VM may do in it.
    pub rights: Rights,
    /// The newest fencing token under which this VM held it.
    pub held: Option<Fence>,
    /// Knowledge of work started by earlier schedulers.
    pub takeover: Option<Takeover>,
    /// Waiting requests.
    pub queue: Queue,
    /// Running work.
    pub ledger: Ledger,
    /// Arena of targets.
    pub targets: Vec<Slot>,
    /// Limits and policy in force.
    pub config: resource::Configuration,
    /// The availability zone was taken out.
    pub out: bool,
    /// Output lengths seen.
    pub lengths: Lengths,
    /// The target held for a request that was passed too often.
    pub reserved: Option<Reservation>,
    pub(crate) stages: Stages,
    pub(crate) passed: Option<(Id, u32)>,
    /// When a short request was last asked for.
    pub(crate) short_at: Option<Millis>,
    pub(crate) turns: u64,
    pub(crate) used: Millis,
    pub(crate) polled: Option<Millis>,
    pub(crate) told: Option<Millis>,
    pub(crate) rate: Rate,
    protocol: Protocol,
}

/// The pools that this VM schedules.
#[derive(Debug)]
pub struct Set {
    pub(crate) pools: BTreeMap<Key, Pool>,
    pub(crate) listing: Listing,
    pub(crate) snapshots: BTreeMap<Key, (Snapshot, Millis)>,
    pub(crate) hints: Map<Key, Hint>,
    handed: BTreeMap<Key, Millis>,
    policies: Vec<policy::Plugin>,
    generation: u64,
    due: Millis,
}

impl Set {
    pub(crate) fn new(policies: Vec<policy::Plugin>) -> Set {
        Set {
            pools: BTreeMap::new(),
            listing: Listing::default(),
            snapshots: BTreeMap::new(),
            hints: Map::default(),
            handed: BTreeMap::new(),
            policies,
            generation: 0,
            due: Millis(0),
        }
    }

    /// The pool `key`, if it is scheduled here.
    pub fn get(&self, key: &Key) -> Option<&Pool> {
        self.pools.get(key)
    }

    /// Every pool scheduled here, by key.
    pub fn iter(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    pub(crate) fn get_mut(&mut self, key: &Key) -> Option<&mut Pool> {
        self.pools.get_mut(key)
    }

    /// Gives up a pool and returns its state for `Message::Handover` to the successor.
    ///
    /// From now on this VM schedules the pool no more, for 10 s even while its lease is valid; the
    /// caller then writes the lease as released. `None` if this VM does not hold the pool.
    pub fn hand_over(&mut self, key: &Key, now: Millis) -> Option<Snapshot> {
        let snapshot = takeover::snapshot(self.pools.get(key)?, now)?;
        self.pools.remove(key);
        self.handed.insert(key.clone(), now);
        Some(snapshot)
    }

    /// Whether the pool was handed over a short time ago.
    pub fn is_handed(&self, key: &Key, now: Millis) -> bool {
        self.handed.get(key).is_some_and(|at| now.since(*at) < HANDED_PAUSE)
    }

    /// The pool `key`, created if this VM has not scheduled it so far.
    pub(crate) fn ensure(&mut self, key: &Key, intent: &Intent, now: Millis) -> &mut Pool {
        let Set { pools, policies, hints, .. } = self;
        pools.entry(key.clone()).or_insert_with(|| {
            let mut pool = Pool::new(key, now);
            pool.refresh(intent, policies, hints.get(key), now);
            pool
        })
    }
}

inventory::submit! {
    control::Plugin { name: "pool", rank: 60, handle, wakeup }
}

fn wakeup(state: &State) -> Option<Millis> {
    let pools = &state.pools;
    (!pools.pools.is_empty()).then_some(pools.due)
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    if state.pools.generation != state.intent.generation {
        refresh(state, now);
    }
    takeover::hand_over(state, now, out);
    match event {
        Event::Peer { from, message } => hear(state, from, message, now, out),
        Event::Report { target, report } => accounting::report(state, target, *report, now, out),
        Event::CacheEvents { target, batch } => accounting::cache(state, target, batch),
        Event::Vms(vms) => accounting::vms(state, vms, now, out),
        Event::Store { .. } => discover(state, now, out),
        _ => {}
    }
    if state.pools.due <= now {
        state.pools.due = now.after(PERIOD);
        discover(state, now, out);
        periodic(state, now, out);
    }
}

fn hear(state: &mut State, from: &str, message: &Message, now: Millis, out: &mut Outbox) {
    match message {
        Message::Ask(ask) => accounting::asked(state, from, ask, now, out),
        Message::Withdraw { pool, id } => accounting::withdrawn(state, pool, id, now, out),
        Message::Progress { pool, entries } => {
            accounting::progress(state, from, pool, entries, now, out);
        }
        Message::Release(release) => accounting::released(state, release, now, out),
        Message::Inventory { pool, fence, running } => {
            takeover::inventory(state, from, pool, *fence, running, now, out);
            schedule::run(state, pool, now, out);
        }
        Message::Handover(snapshot) => takeover::receive(&mut state.pools, snapshot, now, out),
        Message::Targets { pool, warm, .. } => hint(state, pool, warm, now),
        Message::Hello { pool, .. } => takeover::forward_hint(state, from, pool, now, out),
        _ => {}
    }
}

/// Keeps the holder's description of its targets, for fallback and take-over.
fn hint(state: &mut State, key: &Key, warm: &[Name], now: Millis) {
    if state.intent.service(&key.service).is_none() || key.zone != state.identity.zone {
        return;
    }
    let hint = Hint { warm: warm.iter().cloned().collect(), at: now };
    if let Some(pool) = state.pools.get_mut(key) {
        pool.apply_hint(&hint, now);
    }
    state.pools.hints.insert(key.clone(), hint);
}

/// Brings every pool up to date with the resources in force.
fn refresh(state: &mut State, now: Millis) {
    let State { pools, intent, .. } = state;
    let Set { pools, policies, hints, generation, .. } = pools;
    *generation = intent.generation;
    hints.retain(|key, _| intent.service(&key.service).is_some());
    for pool in pools.values_mut() {
        pool.refresh(intent, policies, hints.get(&pool.key), now);
    }
}

/// Starts to schedule pools whose lease this VM got.
fn discover(state: &mut State, now: Millis, out: &mut Outbox) {
    let held = state.leases.held(now).into_iter();
    let keys: Vec<Key> = held.map(|(key, _)| key.clone()).collect();
    for key in keys {
        if !state.pools.is_handed(&key, now) {
            let State { pools, intent, .. } = state;
            pools.ensure(&key, intent, now);
        }
        takeover::check(state, &key, now, out);
    }
}

fn periodic(state: &mut State, now: Millis, out: &mut Outbox) {
    let keys: Vec<Key> = state.pools.pools.keys().cloned().collect();
    for key in &keys {
        takeover::check(state, key, now, out);
        takeover::inquire(state, key, now, out);
        accounting::expire(state, key, now, out);
        accounting::poll(state, key, now, out);
        accounting::describe_targets(state, key, now, out);
        schedule::run(state, key, now, out);
    }
    let pools = &mut state.pools;
    pools.handed.retain(|_, at| now.since(*at) < HANDED_PAUSE);
    pools.pools.retain(|_, pool| !pool.is_unused(now));
}

impl Pool {
    fn new(key: &Key, now: Millis) -> Pool {
        Pool {
            key: key.clone(),
            rights: Rights::Fallback { vms: 1 },
            held: None,
            takeover: None,
            queue: Queue::default(),
            ledger: Ledger::default(),
            targets: Vec::new(),
            config: resource::Configuration::default(),
            out: false,
            lengths: Lengths::default(),
            reserved: None,
            stages: Stages::default(),
            passed: None,
            short_at: None,
            turns: 0,
            used: now,
            polled: None,
            told: None,
            protocol: Protocol::Model,
            rate: Rate::default(),
        }
    }

    /// What was asked by each request that runs on the target with this index.
    pub fn running_on(&self, target: usize) -> impl Iterator<Item = &Ask> {
        let slot = self.targets.get(target).into_iter();
        slot.flat_map(|slot| &slot.work)
            .filter_map(|id| self.ledger.get(id))
            .map(|running| &running.ask)
    }

    /// Whether all work that earlier schedulers started is known.
    pub fn is_complete(&self) -> bool {
        self.takeover.as_ref().is_some_and(|takeover| takeover.complete)
    }

    /// Whether a new holder does not yet know all work that earlier schedulers started.
    pub(crate) fn is_learning(&self) -> bool {
        self.is_holder() && !self.is_complete()
    }

    fn is_holder(&self) -> bool {
        matches!(self.rights, Rights::Holder(_))
    }

    /// Concurrent requests that may run on a target under this VM's rights.
    ///
    /// A cold target needs a valid lease and knowledge of all work that may run there. The last
    /// holder goes on with targets that report warm when the store is down.
    pub fn limit(&self, slot: &Slot) -> u32 {
        let warm = slot.spec.warm_limit;
        match self.rights {
            Rights::Holder(_) if slot.is_warm() => warm,
            Rights::Holder(_) if self.is_counted(slot) => slot.ramp.limit.min(warm),
            Rights::Last if slot.is_warm() => warm,
            // By its own account it is past its cold start; only the ramp is not complete.
            Rights::Last if slot.is_ramping() => slot.ramp.limit.min(warm),
            Rights::Fallback { vms } | Rights::Other { vms } if slot.is_warm() => {
                (warm / vms.max(1)).max(1)
            }
            _ => 0,
        }
    }

    /// Whether the work on a target is known: from all VMs, or from a report late enough.
    fn is_counted(&self, slot: &Slot) -> bool {
        self.takeover.as_ref().is_some_and(|takeover| {
            takeover.complete || slot.seen.as_ref().is_some_and(|seen| takeover.covers(seen.at))
        })
    }

    /// Requests that count against the limit of the target with this index.
    pub fn occupied(&self, target: usize) -> u32 {
        let slot = &self.targets[target];
        match slot.is_warm() && !self.is_learning() {
            true => slot.running(),
            false => slot.running() + slot.foreign,
        }
    }

    /// Projected KV use of a request that has not started, in tokens.
    pub fn projected(&self, ask: &Ask) -> u64 {
        self.projected_at(ask, 0)
    }

    fn projected_at(&self, ask: &Ask, tokens: u32) -> u64 {
        let made = ask.made + tokens;
        let output = self.lengths.expected(&ask.organisation, made, ask.max_tokens);
        // The prompt contains what earlier targets have made.
        u64::from(ask.prompt_tokens) + u64::from(output.saturating_sub(ask.made))
    }

    /// The largest KV use in tokens that the work on a target is likely to reach, with `more`.
    ///
    /// Requests grow together and free their memory when they end, so the sum of their final
    /// lengths is never in use at one time. The use is estimated at several times ahead, as its mean
    /// and one standard deviation over the chances that each request still runs then.
    pub fn peak(&self, target: usize, more: Option<&Ask>) -> u64 {
        let running = self.targets[target].work.iter();
        let running = running.filter_map(|id| self.ledger.get(id));
        let mut growths: Vec<Growth<'_>> =
            running.map(|running| self.growth(&running.ask, running.tokens)).collect();
        growths.extend(more.map(|ask| self.growth(ask, 0)));
        let bounds = growths.iter().filter_map(|growth| growth.survival.bound());
        let ahead = HORIZONS.into_iter().chain(bounds);
        ahead.map(|ahead| likely_use(&growths, ahead)).max().unwrap_or(0)
    }

    /// KV use in tokens of the granted work as it is now.
    pub fn used(&self, target: usize) -> u64 {
        let running = self.targets[target].work.iter().filter_map(|id| self.ledger.get(id));
        running.map(|running| self.growth(&running.ask, running.tokens).used).sum()
    }

    /// KV use in tokens that a fresh report of a target shows beyond the granted work.
    pub fn unknown_kv(&self, target: usize, now: Millis) -> u64 {
        self.targets[target].kv_shown(now).saturating_sub(self.used(target))
    }

    /// Whether a short request came lately.
    pub fn expects_short(&self, now: Millis) -> bool {
        self.short_at.is_some_and(|at| now.since(at) < SHORT_EXPECTED)
    }

    fn growth<'a>(&'a self, ask: &'a Ask, tokens: u32) -> Growth<'a> {
        Growth {
            used: u64::from(ask.prompt_tokens) + u64::from(tokens),
            survival: self.lengths.survival(&ask.organisation, ask.made + tokens, ask.max_tokens),
        }
    }

    /// The class of a request, from its service, its own bound and the lengths seen.
    pub(crate) fn class(&self, ask: &Ask) -> Class {
        if self.protocol == Protocol::Plain || ask.class == Class::Short {
            return ask.class;
        }
        let learned = self.lengths.learned(&ask.organisation, 0);
        let expected = learned.into_iter().chain(ask.max_tokens).min();
        match expected.is_some_and(|tokens| tokens <= SHORT_TOKENS) {
            true => Class::Short,
            false => Class::Long,
        }
    }

    pub(crate) fn position(&self, target: &str) -> Option<usize> {
        self.targets.iter().position(|slot| *slot.name == *target)
    }

    /// Enters running work in the ledger.
    pub(crate) fn record(&mut self, mut running: Running) {
        running.kv = self.projected_at(&running.ask, running.tokens);
        let slot = &mut self.targets[running.target];
        slot.add(&running.ask.id, running.ask.class, running.kv);
        self.ledger.insert(running);
    }

    /// Takes running work out of the ledger.
    pub(crate) fn forget(&mut self, id: &Id, now: Millis) -> Option<Running> {
        let running = self.ledger.remove(id)?;
        let slot = &mut self.targets[running.target];
        slot.remove(id, running.ask.class, running.kv, now);
        Some(running)
    }

    /// Takes in how many tokens a running request has put out.
    pub(crate) fn advance(&mut self, id: &Id, tokens: u32, now: Millis) {
        let Some(running) = self.ledger.get(id) else {
            return;
        };
        let kv = self.projected_at(&running.ask, tokens.max(running.tokens));
        let (name, before) = (running.ask.organisation.clone(), running.tokens);
        let slot = &mut self.targets[running.target];
        slot.adjust_kv(running.ask.class, kv, running.kv);
        if let Some(running) = self.ledger.get_mut(id) {
            running.kv = kv;
            running.tokens = tokens.max(before);
        }
        let grown = u64::from(tokens.saturating_sub(before));
        self.queue.charge(&name, 2 * grown, now);
    }

    /// Gives up a reservation whose request or target is no longer waited for.
    pub(crate) fn check_reservation(&mut self) {
        let is_void = |held: &Reservation| {
            self.queue.find(&held.id).is_none()
                || self.targets.get(held.target).is_none_or(Slot::is_leaving)
        };
        if self.reserved.as_ref().is_some_and(is_void) {
            self.reserved = None;
        }
    }

    fn is_unused(&self, now: Millis) -> bool {
        // The last holder keeps what it knows: no other VM can learn it while the store is down.
        !matches!(self.rights, Rights::Holder(_) | Rights::Last)
            && self.queue.is_empty()
            && self.ledger.is_empty()
            && now.since(self.used) >= UNUSED_LIMIT
    }

    /// Brings the pool up to date with the resources in force.
    fn refresh(
        &mut self,
        intent: &Intent,
        policies: &[policy::Plugin],
        hint: Option<&Hint>,
        now: Millis,
    ) {
        let service = intent.service(&self.key.service);
        let config = intent.governing(&self.key.service);
        self.config = config.cloned().unwrap_or_default();
        self.protocol = service.map_or(Protocol::Model, |service| service.protocol);
        self.stages = Stages::new(policies, &self.config.policy);
        let out = intent.is_out(&self.key.zone);
        if self.out && !out {
            self.targets.iter_mut().for_each(Slot::reset_ramp);
        }
        self.out = out;
        self.refresh_weights(intent);
        self.refresh_targets(intent, hint, now);
    }

    pub(crate) fn refresh_weights(&mut self, intent: &Intent) {
        for organisation in &mut self.queue.organisations {
            organisation.weight = weight(intent, &organisation.name);
        }
    }

    fn refresh_targets(&mut self, intent: &Intent, hint: Option<&Hint>, now: Millis) {
        let own: Vec<(&Name, &resource::Target)> =
            intent.pool_targets(&self.key.service, &self.key.zone).collect();
        for &(name, spec) in &own {
            if let Some(ix) = self.position(name) {
                self.targets[ix].respecify(spec);
                continue;
            }
            let mut slot = Slot::new(name, spec);
            if let Some(hint) = hint.filter(|hint| hint.warm.contains(name)) {
                slot.hint_warm(hint.is_fresh(now));
            }
            self.targets.push(slot);
        }
        for slot in &mut self.targets {
            slot.absence.removed = !own.iter().any(|(name, _)| **name == slot.name);
        }
        self.drop_removed();
    }

    /// Drops targets whose resource is gone and on which nothing runs.
    pub(crate) fn drop_removed(&mut self) {
        let is_gone = |slot: &Slot| slot.absence.removed && slot.work.is_empty();
        while let Some(gone) = self.targets.iter().position(is_gone) {
            self.targets.remove(gone);
            for running in self.ledger.values_mut() {
                running.target -= usize::from(running.target > gone);
            }
            self.reserved = None;
        }
    }

    /// Takes over the holder's description of warm targets, where this VM knows nothing itself.
    ///
    /// A new holder gets its predecessor's description from others; then reports must confirm it.
    fn apply_hint(&mut self, hint: &Hint, now: Millis) {
        if self.is_holder() {
            let is_new = self.takeover.as_ref().is_some_and(|new| new.is_recent(hint.at));
            let targets = self.targets.iter_mut().filter(|slot| is_new && slot.is_new());
            for slot in targets.filter(|slot| hint.warm.contains(&slot.name)) {
                slot.hint_warm(false);
            }
            return;
        }
        let is_recent = hint.is_fresh(now);
        for slot in &mut self.targets {
            match hint.warm.contains(&slot.name) {
                // A holder that was paused describes the past, which does not override a
                // report that says cold; it counts once a report confirms it.
                true if !slot.is_warm() => {
                    slot.hint_warm(is_recent && slot.phase() != Some(Phase::Cold));
                }
                false if slot.is_warm() => slot.reset_ramp(),
                _ => {}
            }
        }
    }
}

/// KV use of one request in tokens, and how long it is likely to run.
struct Growth<'a> {
    used: u64,
    survival: Survival<'a>,
}

/// The KV use that is likely `ahead` tokens from now.
fn likely_use(growths: &[Growth<'_>], ahead: u32) -> u64 {
    let (mut mean, mut variance) = (0.0, 0.0);
    for growth in growths {
        let chance = growth.survival.chance(ahead);
        let used = growth.used as f64 + f64::from(ahead);
        mean += chance * used;
        variance += chance * (1.0 - chance) * used * used;
    }
    (mean + variance.sqrt()) as u64
}

/// The weight of an organisation; one that is not declared has weight 1.
pub(crate) fn weight(intent: &Intent, organisation: &str) -> u32 {
    intent.organisation(organisation).map_or(1, |organisation| organisation.weight.max(1))
}
