//! The pools that this VM schedules: each has a queue, requests in flight and targets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::accounting;
use crate::event::Event;
use crate::ids::{Fence, Millis, Name};
use crate::in_flight::InFlight;
use crate::intent::Intent;
use crate::kernel::{Outbox, State};
use crate::kv_growth::{likely_kv_use, KvGrowth};
use crate::length::Lengths;
use crate::map::Map;
use crate::pace::Paces;
use crate::peer::{Ask, Message};
use crate::plugin::{control, policy};
use crate::polling;
use crate::queue::Queue;
use crate::rate::StartRate;
use crate::request::{Class, Id};
use crate::resource::{self, Protocol};
use crate::rollout_pool::{Exposure, Plan};
use crate::schedule::{self, ActivePolicies};
use crate::slack::Outlook;
use crate::slack_queue;
use crate::takeover::{self, Hint, Rights, Takeover, VmList, HANDOVER_COOLDOWN_MS};
use crate::target::{Phase, TargetState};

pub use crate::in_flight::InFlightRequest;
pub use crate::takeover::Snapshot;

/// Interval of periodic work. Queue deadlines are noticed up to this late, so it is kept short.
const PERIODIC_INTERVAL_MS: u64 = 250;
/// Time without an ask after which a pool that this VM does not hold is dropped.
const UNUSED_POOL_TTL_MS: u64 = 10_000;
/// A request that is expected to generate at most this many tokens is of class `Short`.
pub(crate) const SHORT_TOKENS: u32 = 128;
/// KV memory stays reserved for short requests for this time after the last one arrived.
const SHORT_RESERVE_TTL_MS: u64 = 60_000;
/// Token counts ahead of the current outputs at which KV use is estimated.
const KV_HORIZONS_TOKENS: [u32; 10] = [0, 16, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096];

/// Identifies a pool: one service in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: Name,
    /// The availability zone.
    pub zone: Name,
}

impl Key {
    /// Returns the key of the pool of `service` in `zone`.
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

/// A target whose free KV memory is reserved for one request.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// The request.
    pub id: Id,
    /// Its class.
    pub class: Class,
    /// Index of the target.
    pub target_ix: usize,
}

/// A pool as its scheduler sees it.
#[derive(Debug)]
pub struct Pool {
    /// The service and the availability zone.
    pub key: Key,
    /// What this VM may schedule in the pool.
    pub rights: Rights,
    /// The latest fencing token under which this VM held the pool.
    pub held_fence: Option<Fence>,
    /// What a new holder knows of requests that earlier schedulers granted.
    pub takeover: Option<Takeover>,
    /// Waiting requests.
    pub queue: Queue,
    /// Requests granted and not released.
    pub in_flight: InFlight,
    /// The targets; other state refers to them by index.
    pub targets: Vec<TargetState>,
    /// Limits and policy in force.
    pub config: resource::Configuration,
    /// The availability zone is set to `out`.
    pub zone_is_out: bool,
    /// Output lengths observed so far.
    pub lengths: Lengths,
    /// The target reserved for a request that was bypassed too often.
    pub reservation: Option<Reservation>,
    pub(crate) policies: ActivePolicies,
    /// The request that was bypassed last, and how often in succession.
    pub(crate) bypassed: Option<(Id, u32)>,
    pub(crate) last_short_at: Option<Millis>,
    pub(crate) grants: u64,
    pub(crate) last_used: Millis,
    pub(crate) last_polled: Option<Millis>,
    pub(crate) last_announced: Option<Millis>,
    pub(crate) start_rate: StartRate,
    pub(crate) outlook: Outlook,
    /// The roll-out of the service, if one was ordered.
    pub(crate) exposure: Option<Exposure>,
    /// How fast the targets deliver.
    pub paces: Paces,
    pub(crate) protocol: Protocol,
}

/// The pools that this VM schedules.
#[derive(Debug)]
pub struct Pools {
    pub(crate) pools: BTreeMap<Key, Pool>,
    pub(crate) vm_list: VmList,
    pub(crate) snapshots: BTreeMap<Key, (Snapshot, Millis)>,
    pub(crate) hints: Map<Key, Hint>,
    /// Roll-out plans by service.
    pub(crate) plans: Map<Name, Plan>,
    handed_over: BTreeMap<Key, Millis>,
    policy_plugins: Vec<policy::Plugin>,
    intent_generation: u64,
    next_periodic: Millis,
    pub(crate) next_waiting_run: Option<Millis>,
}

impl Pools {
    pub(crate) fn new(policy_plugins: Vec<policy::Plugin>) -> Pools {
        Pools {
            pools: BTreeMap::new(),
            vm_list: VmList::default(),
            snapshots: BTreeMap::new(),
            hints: Map::default(),
            plans: Map::default(),
            handed_over: BTreeMap::new(),
            policy_plugins,
            intent_generation: 0,
            next_periodic: Millis(0),
            next_waiting_run: None,
        }
    }

    /// Returns the pool `key` if this VM schedules it.
    pub fn get(&self, key: &Key) -> Option<&Pool> {
        self.pools.get(key)
    }

    /// Forgets the failed polls of all targets, which were no fault of theirs.
    pub(crate) fn forget_failed_polls(&mut self) {
        let targets = self.pools.values_mut().flat_map(|pool| &mut pool.targets);
        targets.for_each(TargetState::forget_failed_polls);
    }

    /// Iterates over the pools that this VM schedules, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    pub(crate) fn get_mut(&mut self, key: &Key) -> Option<&mut Pool> {
        self.pools.get_mut(key)
    }

    /// Stops scheduling a pool and returns its state for `Message::Handover` to the successor.
    ///
    /// For the next 10 s this VM does not schedule the pool, even while its lease is valid. The
    /// caller then writes the lease as released. Returns `None` if this VM does not hold the pool.
    pub fn hand_over(&mut self, key: &Key, now: Millis) -> Option<Snapshot> {
        let snapshot = takeover::snapshot(self.pools.get(key)?, now)?;
        self.pools.remove(key);
        self.handed_over.insert(key.clone(), now);
        Some(snapshot)
    }

    /// Returns whether this VM handed the pool over within the last 10 s.
    pub fn was_handed_over(&self, key: &Key, now: Millis) -> bool {
        self.handed_over.get(key).is_some_and(|at| now.since(*at) < HANDOVER_COOLDOWN_MS)
    }

    /// Returns the pool `key` and creates it if this VM does not schedule it yet.
    pub(crate) fn get_or_create(&mut self, key: &Key, intent: &Intent, now: Millis) -> &mut Pool {
        let Pools { pools, policy_plugins, hints, plans, .. } = self;
        pools.entry(key.clone()).or_insert_with(|| {
            let mut pool = Pool::new(key, now);
            pool.refresh(intent, policy_plugins, hints.get(key), now);
            pool.apply_plan(plans.get(&key.service));
            pool
        })
    }
}

inventory::submit! {
    control::Plugin { name: "pool", rank: 60, handle, wakeup }
}

fn wakeup(state: &State) -> Option<Millis> {
    let pools = &state.pools;
    let periodic = (!pools.pools.is_empty()).then_some(pools.next_periodic);
    periodic.into_iter().chain(pools.next_waiting_run).min()
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    if state.pools.intent_generation != state.intent.generation {
        refresh_pools(state, now);
    }
    takeover::hand_over(state, now, out);
    match event {
        Event::Peer { from, message } => handle_message(state, from, message, now, out),
        Event::Report { target, report } => {
            accounting::handle_report(state, target, *report, now, out)
        }
        Event::CacheEvents { target, batch } => {
            accounting::handle_cache_events(state, target, batch)
        }
        Event::Vms(vms) => accounting::handle_vm_list(state, vms, now, out),
        Event::StoreAnswered { .. } => activate_held_pools(state, now, out),
        _ => {}
    }
    if state.pools.next_periodic <= now {
        state.pools.next_periodic = now.after(PERIODIC_INTERVAL_MS);
        activate_held_pools(state, now, out);
        run_periodic(state, now, out);
    }
    slack_queue::run_waiting(state, now, out);
}

fn handle_message(state: &mut State, from: &str, message: &Message, now: Millis, out: &mut Outbox) {
    match message {
        Message::Ask(ask) => accounting::handle_ask(state, from, ask, now, out),
        Message::Withdraw { pool, id } => accounting::handle_withdraw(state, pool, id, now, out),
        Message::Progress { pool, entries, .. } => {
            accounting::handle_progress(state, from, pool, entries, now, out);
        }
        Message::Release(release) => accounting::handle_release(state, release, now, out),
        Message::Inventory { pool, fence, running } => {
            takeover::handle_inventory(state, from, pool, *fence, running, now, out);
            schedule::run(state, pool, now, out);
        }
        Message::Handover(snapshot) => {
            takeover::store_snapshot(&mut state.pools, snapshot, now, out)
        }
        Message::Targets { pool, warm, .. } => takeover::store_hint(state, pool, warm, now),
        Message::Load { pool, load } => slack_queue::record_load(state, pool, *load, now),
        Message::Hello { pool, .. } => takeover::forward_hint(state, from, pool, now, out),
        _ => {}
    }
}

/// Applies the resources in force to every pool.
fn refresh_pools(state: &mut State, now: Millis) {
    let State { pools, intent, .. } = state;
    let Pools { pools, policy_plugins, hints, intent_generation, .. } = pools;
    *intent_generation = intent.generation;
    hints.retain(|key, _| intent.service(&key.service).is_some());
    for pool in pools.values_mut() {
        pool.refresh(intent, policy_plugins, hints.get(&pool.key), now);
    }
}

/// Creates the pools whose leases this VM holds and updates its rights in them.
fn activate_held_pools(state: &mut State, now: Millis, out: &mut Outbox) {
    let keys: Vec<Key> = state.leases.held(now).iter().map(|(key, _)| (*key).clone()).collect();
    for key in keys {
        if !state.pools.was_handed_over(&key, now) {
            let State { pools, intent, .. } = state;
            pools.get_or_create(&key, intent, now);
        }
        takeover::update_rights(state, &key, now, out);
    }
}

fn run_periodic(state: &mut State, now: Millis, out: &mut Outbox) {
    let keys: Vec<Key> = state.pools.pools.keys().cloned().collect();
    for key in &keys {
        takeover::update_rights(state, key, now, out);
        takeover::request_inventories(state, key, now, out);
        accounting::expire(state, key, now, out);
        polling::poll_targets(state, key, now, out);
        accounting::announce_targets(state, key, now, out);
        schedule::run(state, key, now, out);
        slack_queue::run_periodic(state, key, now, out);
    }
    let pools = &mut state.pools;
    pools.handed_over.retain(|_, at| now.since(*at) < HANDOVER_COOLDOWN_MS);
    pools.pools.retain(|_, pool| !pool.is_unused(now));
}

impl Pool {
    fn new(key: &Key, now: Millis) -> Pool {
        Pool {
            key: key.clone(),
            rights: Rights::Fallback { vms: 1 },
            held_fence: None,
            takeover: None,
            queue: Queue::default(),
            in_flight: InFlight::default(),
            targets: Vec::new(),
            config: resource::Configuration::default(),
            zone_is_out: false,
            lengths: Lengths::default(),
            reservation: None,
            policies: ActivePolicies::default(),
            bypassed: None,
            last_short_at: None,
            grants: 0,
            last_used: now,
            last_polled: None,
            last_announced: None,
            protocol: Protocol::Model,
            start_rate: StartRate::default(),
            outlook: Outlook::default(),
            exposure: None,
            paces: Paces::default(),
        }
    }

    /// Iterates over the requests in flight on the target with index `ix`.
    pub fn requests_on(&self, ix: usize) -> impl Iterator<Item = &Ask> {
        let target = self.targets.get(ix).into_iter();
        target
            .flat_map(|target| &target.in_flight)
            .filter_map(|id| self.in_flight.get(id))
            .map(|running| &running.ask)
    }

    /// Returns whether all requests that earlier schedulers granted are known.
    pub fn is_inventory_complete(&self) -> bool {
        self.takeover.as_ref().is_some_and(|takeover| takeover.complete)
    }

    /// Returns whether this VM is a new holder that does not know all earlier requests yet.
    pub(crate) fn is_taking_over(&self) -> bool {
        self.is_holder() && !self.is_inventory_complete()
    }

    fn is_holder(&self) -> bool {
        matches!(self.rights, Rights::Holder(_))
    }

    /// Returns how many requests may run on a target at a time under this VM's rights.
    ///
    /// A cold target needs a valid lease and knowledge of all requests that may run there. While
    /// the store is down, the last holder continues with targets that report warm.
    pub fn concurrency_limit(&self, target: &TargetState) -> u32 {
        let warm = target.spec.warm_limit;
        match self.rights {
            Rights::Holder(_) if target.is_warm() => warm,
            Rights::Holder(_) if self.is_work_known(target) => target.ramp.limit.min(warm),
            Rights::LapsedHolder if target.is_warm() => warm,
            // The target reports warm, so only its ramp is incomplete.
            Rights::LapsedHolder if target.is_ramping() => target.ramp.limit.min(warm),
            Rights::Fallback { vms } | Rights::NonHolder { vms } if target.is_warm() => {
                (warm / vms.max(1)).max(1)
            }
            _ => 0,
        }
    }

    /// Returns whether all requests on a target are known, by inventories or a late enough report.
    fn is_work_known(&self, target: &TargetState) -> bool {
        self.takeover.as_ref().is_some_and(|takeover| {
            takeover.complete
                || target
                    .last_report
                    .as_ref()
                    .is_some_and(|last| takeover.shows_earlier_work(last.received_at))
        })
    }

    /// Returns the number of requests that count against the limit of the target with index `ix`.
    pub fn occupancy(&self, ix: usize) -> u32 {
        let target = &self.targets[ix];
        match target.is_warm() && !self.is_taking_over() {
            true => target.in_flight_count(),
            false => target.in_flight_count() + target.untracked,
        }
    }

    /// Returns the projected KV use of a request that has not started, in tokens.
    pub fn projected_kv(&self, ask: &Ask) -> u64 {
        self.projected_kv_at(ask, 0)
    }

    fn projected_kv_at(&self, ask: &Ask, tokens: u32) -> u64 {
        let made = ask.generated_tokens + tokens;
        let output = self.lengths.expected(&ask.organisation, made, ask.max_tokens);
        // The prompt contains the tokens that earlier targets generated.
        u64::from(ask.prompt_tokens) + u64::from(output.saturating_sub(ask.generated_tokens))
    }

    /// Returns the peak KV use in tokens that a target is likely to reach, `extra` included.
    ///
    /// Requests grow together and free their memory when they end, so the sum of their final
    /// lengths is never in use at one time. The use is estimated at several token counts ahead, as
    /// the mean plus one standard deviation over the probabilities that each request still runs.
    pub fn projected_peak_kv(&self, ix: usize, extra: Option<&Ask>) -> u64 {
        let running = self.targets[ix].in_flight.iter();
        let running = running.filter_map(|id| self.in_flight.get(id));
        let mut growths: Vec<KvGrowth<'_>> =
            running.map(|running| self.kv_growth(&running.ask, running.tokens)).collect();
        growths.extend(extra.map(|ask| self.kv_growth(ask, 0)));
        let bounds = growths.iter().filter_map(|growth| growth.survival.remaining_bound());
        let ahead = KV_HORIZONS_TOKENS.into_iter().chain(bounds);
        ahead.map(|ahead| likely_kv_use(&growths, ahead)).max().unwrap_or(0)
    }

    /// Returns the current KV use of the requests in flight on a target, in tokens.
    pub fn in_flight_kv(&self, ix: usize) -> u64 {
        let running = self.targets[ix].in_flight.iter().filter_map(|id| self.in_flight.get(id));
        running.map(|running| self.kv_growth(&running.ask, running.tokens).used).sum()
    }

    /// Returns the KV use in tokens that a recent report shows beyond the requests in flight.
    pub fn untracked_kv(&self, ix: usize, now: Millis) -> u64 {
        self.targets[ix].reported_kv(now).saturating_sub(self.in_flight_kv(ix))
    }

    /// Returns whether a short request arrived recently, so that more are expected.
    pub fn expects_short_requests(&self, now: Millis) -> bool {
        self.last_short_at.is_some_and(|at| now.since(at) < SHORT_RESERVE_TTL_MS)
    }

    fn kv_growth<'a>(&'a self, ask: &'a Ask, tokens: u32) -> KvGrowth<'a> {
        KvGrowth {
            used: u64::from(ask.prompt_tokens) + u64::from(tokens),
            survival: self.lengths.survival(
                &ask.organisation,
                ask.generated_tokens + tokens,
                ask.max_tokens,
            ),
        }
    }

    /// Returns the class of a request, from its service, its `max_tokens` and the lengths observed.
    pub(crate) fn classify(&self, ask: &Ask) -> Class {
        if self.protocol == Protocol::Plain || ask.class == Class::Short {
            return ask.class;
        }
        let learned = self.lengths.expected_from_samples(&ask.organisation, 0);
        let expected = learned.into_iter().chain(ask.max_tokens).min();
        match expected.is_some_and(|tokens| tokens <= SHORT_TOKENS) {
            true => Class::Short,
            false => Class::Long,
        }
    }

    pub(crate) fn target_index(&self, name: &str) -> Option<usize> {
        self.targets.iter().position(|target| *target.name == *name)
    }

    /// Adds a granted request to the pool and to its target.
    pub(crate) fn add_request(&mut self, mut running: InFlightRequest) {
        running.projected_kv = self.projected_kv_at(&running.ask, running.tokens);
        let target = &mut self.targets[running.target_ix];
        target.add_request(&running.ask.id, running.ask.class, running.projected_kv);
        self.in_flight.insert(running);
    }

    /// Removes a request in flight from the pool and from its target.
    pub(crate) fn remove_request(&mut self, id: &Id, now: Millis) -> Option<InFlightRequest> {
        let running = self.in_flight.remove(id)?;
        let target = &mut self.targets[running.target_ix];
        target.remove_request(id, running.ask.class, running.projected_kv, now);
        Some(running)
    }

    /// Records the tokens that a request has generated and charges them to its organisation.
    pub(crate) fn record_progress(&mut self, id: &Id, tokens: u32, now: Millis) {
        let Some(running) = self.in_flight.get(id) else {
            return;
        };
        let projected = self.projected_kv_at(&running.ask, tokens.max(running.tokens));
        let (name, before) = (running.ask.organisation.clone(), running.tokens);
        let target = &mut self.targets[running.target_ix];
        target.adjust_kv(running.ask.class, projected, running.projected_kv);
        if let Some(running) = self.in_flight.get_mut(id) {
            running.projected_kv = projected;
            running.tokens = tokens.max(before);
        }
        let grown = u64::from(tokens.saturating_sub(before));
        self.queue.charge(&name, 2 * grown, now);
    }

    fn is_unused(&self, now: Millis) -> bool {
        // The last holder keeps its state: no other VM can take it over while the store is down.
        !matches!(self.rights, Rights::Holder(_) | Rights::LapsedHolder)
            && self.queue.is_empty()
            && self.in_flight.is_empty()
            && now.since(self.last_used) >= UNUSED_POOL_TTL_MS
    }

    /// Applies the resources in force to the pool.
    fn refresh(
        &mut self,
        intent: &Intent,
        policy_plugins: &[policy::Plugin],
        hint: Option<&Hint>,
        now: Millis,
    ) {
        let service = intent.service(&self.key.service);
        let config = intent.configuration_for(&self.key.service);
        self.config = config.cloned().unwrap_or_default();
        self.protocol = service.map_or(Protocol::Model, |service| service.protocol);
        self.policies = ActivePolicies::new(policy_plugins, &self.config.policy);
        let out = intent.is_zone_out(&self.key.zone);
        if self.zone_is_out && !out {
            self.targets.iter_mut().for_each(TargetState::reset_ramp);
        }
        self.zone_is_out = out;
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
            if let Some(ix) = self.target_index(name) {
                self.targets[ix].update_spec(spec);
                continue;
            }
            let mut target = TargetState::new(name, spec);
            if let Some(hint) = hint.filter(|hint| hint.warm.contains(name)) {
                target.apply_warm_hint(hint.is_fresh(now));
            }
            self.targets.push(target);
        }
        for target in &mut self.targets {
            target.unavailable.removed = !own.iter().any(|(name, _)| **name == target.name);
        }
        self.drop_removed_targets();
    }

    /// Removes the targets whose resource was deleted and that have no requests in flight.
    pub(crate) fn drop_removed_targets(&mut self) {
        let is_gone =
            |target: &TargetState| target.unavailable.removed && target.in_flight.is_empty();
        while let Some(removed_ix) = self.targets.iter().position(is_gone) {
            self.targets.remove(removed_ix);
            for running in self.in_flight.values_mut() {
                running.target_ix -= usize::from(running.target_ix > removed_ix);
            }
            self.reservation = None;
        }
    }

    /// Applies the holder's announcement of warm targets where this VM has no knowledge of its own.
    ///
    /// A new holder gets its predecessor's announcement from others; reports must then confirm it.
    pub(crate) fn apply_hint(&mut self, hint: &Hint, now: Millis) {
        if self.is_holder() {
            let is_new = self.takeover.as_ref().is_some_and(|new| new.is_recent(hint.received_at));
            let targets =
                self.targets.iter_mut().filter(|target| is_new && target.has_no_history());
            for target in targets.filter(|target| hint.warm.contains(&target.name)) {
                target.apply_warm_hint(false);
            }
            return;
        }
        let is_recent = hint.is_fresh(now);
        for target in &mut self.targets {
            match hint.warm.contains(&target.name) {
                // The announcement of a holder that was paused may be outdated. It does not
                // override a report that says cold, and counts once a report confirms it.
                true if !target.is_warm() => {
                    target.apply_warm_hint(is_recent && target.phase() != Some(Phase::Cold));
                }
                false if target.is_warm() => target.reset_ramp(),
                _ => {}
            }
        }
    }
}

/// Returns the weight of an organisation; one that is not declared has weight 1.
pub(crate) fn weight(intent: &Intent, organisation: &str) -> u32 {
    intent.organisation(organisation).map_or(1, |organisation| organisation.weight.max(1))
}
