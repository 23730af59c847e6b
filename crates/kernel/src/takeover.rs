//! The rights of a scheduler in a pool, and how a new holder learns which requests run there.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::backpressure;
use crate::ids::{Fence, Millis, Name};
use crate::in_flight::InFlightRequest;
use crate::kernel::{Outbox, State};
use crate::length::Lengths;
use crate::outcome::Counter;
use crate::peer::{self, Ask, Message};
use crate::pool::{Key, Pool, Pools};
use crate::target::{Ramp, REPORT_LAG_MS};

/// A snapshot is kept for this time until its receiver becomes the holder.
const SNAPSHOT_TTL_MS: u64 = 30_000;
/// Number of snapshots kept for pools that are not held yet.
const MAX_SNAPSHOTS: usize = 64;
/// After a handover the former holder does not schedule the pool for this time.
pub(crate) const HANDOVER_COOLDOWN_MS: u64 = 10_000;
/// Interval of `Hello` to a VM that has not answered, at first and after `HELLO_FAST_PHASE_MS`.
const HELLO_INTERVAL_MS: u64 = 1_000;
const HELLO_SLOW_INTERVAL_MS: u64 = 10_000;
const HELLO_FAST_PHASE_MS: u64 = 10_000;
/// VMs that left the platform's list are kept for this time.
const DEPARTED_TTL_MS: u64 = 3_600_000;
/// A holder's announcement of warm targets counts by itself only for as long as a report may lag.
/// An older one needs a report that confirms it; otherwise a target that has turned cold since
/// would get the share of a warm one (seed 400005 of the fuzzer).
const HINT_TTL_MS: u64 = REPORT_LAG_MS;

/// What this VM may schedule in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rights {
    /// It holds the lease under this fencing token: all targets.
    Holder(Fence),
    /// Its lease lapsed and no other holder is known: warm targets up to their limits.
    LapsedHolder,
    /// No holder is known, and it never held the pool or another VM did later: warm targets, up to
    /// its share of their limits.
    Fallback {
        /// VMs of the pool's zone.
        vms: u32,
    },
    /// Another VM holds the pool, and this VM cannot reach it: only requests of this VM.
    NonHolder {
        /// VMs of the pool's zone.
        vms: u32,
    },
}

impl Rights {
    /// Returns the fencing token for grants; zero without a lease.
    pub fn fence(self) -> Fence {
        match self {
            Rights::Holder(fence) => fence,
            _ => Fence::default(),
        }
    }

    /// Returns the number of VMs of the pool's zone if this VM schedules beside others.
    pub(crate) fn fallback_vms(self) -> Option<u32> {
        match self {
            Rights::Holder(_) | Rights::LapsedHolder => None,
            Rights::Fallback { vms } | Rights::NonHolder { vms } => Some(vms),
        }
    }
}

/// What a holder knows about requests that earlier schedulers granted.
#[derive(Debug, Clone)]
pub struct Takeover {
    /// When the holder first saw its fencing token.
    pub started_at: Millis,
    /// Every VM that may run requests has sent its inventory or has left the platform's list.
    pub complete: bool,
    answered: BTreeSet<Name>,
    asked_at: BTreeMap<Name, Millis>,
}

/// The platform's list of VMs, which tells whose requests may still run.
#[derive(Debug, Default)]
pub(crate) struct VmList {
    /// A list was received.
    pub(crate) received: bool,
    pub(crate) listed: BTreeSet<Name>,
    pub(crate) departed: BTreeMap<Name, Millis>,
}

impl VmList {
    /// Applies a new list.
    pub(crate) fn update(&mut self, listed: BTreeSet<Name>, now: Millis) {
        for departed in self.listed.difference(&listed) {
            self.departed.insert(departed.clone(), now);
        }
        self.departed.retain(|name, at| !listed.contains(name) && now.since(*at) < DEPARTED_TTL_MS);
        self.listed = listed;
        self.received = true;
    }

    /// Returns whether the VM was listed and no longer is.
    pub(crate) fn is_departed(&self, vm: &str) -> bool {
        self.departed.contains_key(vm)
    }
}

/// The state of a pool that a holder sends to its successor.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The pool.
    pub pool: Key,
    /// The former holder's fencing token.
    pub fence: Fence,
    /// The former holder knew all requests that run in the pool.
    pub complete: bool,
    /// The virtual time of the queue.
    #[serde(rename = "reached")]
    pub virtual_time: u64,
    /// Service counters by organisation.
    #[serde(rename = "served")]
    pub service_counters: Vec<(Name, u64)>,
    /// Waiting requests, in order.
    pub waiting: Vec<Ask>,
    /// Running requests.
    pub running: Vec<peer::Running>,
    /// Target, start id of its process, and the ramp of this process.
    pub ramps: Vec<(Name, u64, Ramp)>,
    /// Output lengths observed so far.
    pub lengths: Lengths,
}

/// The warm targets of a pool as its holder last announced them.
#[derive(Debug, Clone)]
pub(crate) struct Hint {
    pub(crate) warm: BTreeSet<Name>,
    pub(crate) received_at: Millis,
}

impl Hint {
    pub(crate) fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.received_at) <= HINT_TTL_MS
    }
}

/// Returns what this VM may schedule in the pool `key` at `now`.
pub(crate) fn rights(state: &State, key: &Key, now: Millis) -> Rights {
    let handed_over = state.pools.was_handed_over(key, now);
    if let Some(fence) = state.leases.fence(key, now).filter(|_| !handed_over) {
        return Rights::Holder(fence);
    }
    let vms = state.members.in_zone(&key.zone).count().max(1) as u32;
    let held_fence = state.pools.get(key).and_then(|pool| pool.held_fence);
    let owner = state.members.owner(key).map(|(vm, _)| vm);
    if handed_over || owner.is_some_and(|vm| *vm != state.identity.vm) {
        return Rights::NonHolder { vms };
    }
    match held_fence.is_some() && state.leases.last_fence(key) == held_fence {
        true => Rights::LapsedHolder,
        false => Rights::Fallback { vms },
    }
}

/// Hands over the pools for which a successor was chosen.
pub(crate) fn hand_over(state: &mut State, now: Millis, out: &mut Outbox) {
    let State { pools, leases, .. } = state;
    let outgoing: Vec<(Key, Name)> = pools
        .iter()
        .filter_map(|pool| Some((pool.key.clone(), leases.successor(&pool.key)?.clone())))
        .filter(|(key, _)| !pools.was_handed_over(key, now))
        .collect();
    for (key, successor) in outgoing {
        if let Some(snapshot) = pools.hand_over(&key, now) {
            out.send(&successor, Message::Handover(snapshot));
        }
    }
}

/// Returns the names of all known VMs, sorted.
pub(crate) fn known_vms(state: &State) -> Vec<Name> {
    let mut vms: Vec<Name> = state.members.iter().map(|member| member.entry.vm.clone()).collect();
    vms.sort();
    vms
}

/// Updates this VM's rights in a pool; starts a takeover with a new lease, and drops what only a
/// holder may use without one.
pub(crate) fn update_rights(state: &mut State, key: &Key, now: Millis, out: &mut Outbox) {
    if state.pools.get(key).is_none() {
        return;
    }
    let rights = rights(state, key, now);
    let own = state.identity.vm.clone();
    let Some(pool) = state.pools.get_mut(key) else {
        return;
    };
    pool.rights = rights;
    backpressure::refresh_limits(pool, now);
    match rights {
        Rights::Holder(fence) if pool.held_fence != Some(fence) => {
            pool.held_fence = Some(fence);
            pool.takeover = Some(Takeover::new(now));
            apply_snapshot(state, key, fence, now);
            request_inventories(state, key, now, out);
        }
        Rights::Fallback { .. } => {
            pool.takeover = None;
            pool.held_fence = None;
        }
        Rights::NonHolder { .. } => {
            pool.takeover = None;
            pool.held_fence = None;
            // Other VMs now send their requests to the holder.
            for id in pool.queue.select(|queued| queued.ask.id.vm != own) {
                pool.queue.remove(&id);
            }
        }
        _ => {}
    }
}

/// Returns the VMs that may run requests: all members, and listed VMs that are not targets.
fn possible_entry_vms(state: &State) -> BTreeSet<Name> {
    let listed = state.pools.vm_list.listed.iter();
    let vms = listed.filter(|name| state.intent.target(name).is_none());
    vms.cloned().chain(member_names(state)).collect()
}

fn member_names(state: &State) -> impl Iterator<Item = Name> + '_ {
    state.members.iter().map(|member| member.entry.vm.clone())
}

impl Takeover {
    fn new(started_at: Millis) -> Takeover {
        Takeover {
            started_at,
            complete: false,
            answered: BTreeSet::new(),
            asked_at: BTreeMap::new(),
        }
    }

    /// Returns whether a report received at `reported_at` shows all requests granted before the
    /// takeover.
    pub fn shows_earlier_work(&self, reported_at: Millis) -> bool {
        reported_at >= self.started_at.after(REPORT_LAG_MS)
    }

    /// Returns whether the takeover began recently.
    pub(crate) fn is_recent(&self, now: Millis) -> bool {
        now.since(self.started_at) < HELLO_FAST_PHASE_MS
    }

    /// Requests the inventory of a VM again, since it reports a request that is not known here.
    pub(crate) fn reopen_inventory(&mut self, vm: &str, now: Millis) {
        let is_due = self.asked_at.get(vm).is_none_or(|at| now.since(*at) >= HELLO_INTERVAL_MS);
        if is_due && self.answered.remove(vm) {
            self.asked_at.remove(vm);
            self.complete = false;
        }
    }

    fn is_inquiry_due(&self, vm: &Name, now: Millis) -> bool {
        let interval = match now.since(self.started_at) < HELLO_FAST_PHASE_MS {
            true => HELLO_INTERVAL_MS,
            false => HELLO_SLOW_INTERVAL_MS,
        };
        !self.answered.contains(vm)
            && self.asked_at.get(vm).is_none_or(|at| now.since(*at) >= interval)
    }
}

/// Checks whether all inventories have arrived, and requests the missing ones.
pub(crate) fn request_inventories(state: &mut State, key: &Key, now: Millis, out: &mut Outbox) {
    let entry_vms = possible_entry_vms(state);
    let reachable = known_vms(state);
    let State { pools, .. } = state;
    let Pools { pools, vm_list, .. } = pools;
    let Some(pool) = pools.get_mut(key) else {
        return;
    };
    let (Rights::Holder(fence), Some(takeover)) = (pool.rights, pool.takeover.as_mut()) else {
        return;
    };
    let is_missing = |vm: &Name| !takeover.answered.contains(vm) && !vm_list.is_departed(vm);
    takeover.complete = vm_list.received && !entry_vms.iter().any(is_missing);
    takeover.asked_at.retain(|vm, _| entry_vms.contains(vm));
    for vm in reachable {
        if takeover.is_inquiry_due(&vm, now) && !vm_list.is_departed(&vm) {
            takeover.asked_at.insert(vm.clone(), now);
            let pool = key.clone();
            out.send(&vm, Message::Hello { pool, fence });
        }
    }
}

/// Sends a new holder the warm targets that its predecessor announced.
pub(crate) fn forward_hint(state: &State, from: &str, key: &Key, now: Millis, out: &mut Outbox) {
    let hint = state.pools.hints.get(key);
    let Some(hint) = hint.filter(|hint| hint.is_fresh(now) && *from != *state.identity.vm) else {
        return;
    };
    let message = Message::Targets {
        pool: key.clone(),
        warm: hint.warm.iter().cloned().collect(),
        cold: Vec::new(),
        usage: Vec::new(),
    };
    out.send(&from.into(), message);
}

/// Stores which targets the holder announced as warm, for fallback and for a takeover.
pub(crate) fn store_hint(state: &mut State, key: &Key, warm: &[Name], now: Millis) {
    if state.intent.service(&key.service).is_none() || key.zone != state.identity.zone {
        return;
    }
    let hint = Hint { warm: warm.iter().cloned().collect(), received_at: now };
    if let Some(pool) = state.pools.get_mut(key) {
        pool.apply_hint(&hint, now);
    }
    state.pools.hints.insert(key.clone(), hint);
}

/// Handles the list of requests that a VM runs in a pool.
pub(crate) fn handle_inventory(
    state: &mut State,
    from: &str,
    key: &Key,
    fence: Fence,
    running: &[peer::Running],
    now: Millis,
    out: &mut Outbox,
) {
    let Some(pool) = state.pools.get_mut(key) else {
        return out.count(Counter::Ignored("inventory_without_pool"));
    };
    if pool.held_fence != Some(fence) {
        return out.count(Counter::Ignored("inventory_of_other_lease"));
    }
    for reported in running.iter().filter(|reported| *reported.ask.id.vm == *from) {
        if !restore_request(pool, reported, now) {
            out.count(Counter::Ignored("inventory_entry"));
        }
    }
    if let Some(takeover) = &mut pool.takeover {
        takeover.answered.insert(from.into());
    }
    request_inventories(state, key, now, out);
}

/// Adds a request that another scheduler granted; returns whether it is in flight afterwards.
fn restore_request(pool: &mut Pool, reported: &peer::Running, now: Millis) -> bool {
    let id = &reported.ask.id;
    let Some(target_ix) = pool.target_index(&reported.target) else {
        return false;
    };
    if pool.in_flight.is_ended(id, reported.ask.attempt) {
        return false;
    }
    if pool.in_flight.get(id).is_some_and(|current| current.ask.attempt >= reported.ask.attempt) {
        return true;
    }
    pool.remove_request(id, now);
    pool.queue.remove(id);
    let mut running = InFlightRequest::new(reported.ask.clone(), target_ix, now);
    running.tokens = reported.tokens;
    running.confirmed = true;
    pool.add_request(running);
    true
}

/// Returns the state of a pool for its handover; `None` if this VM does not hold it.
pub(crate) fn snapshot(pool: &Pool, now: Millis) -> Option<Snapshot> {
    let fence = pool.held_fence?;
    let organisations = pool.queue.organisations.iter();
    let waiting = pool.queue.iter().map(|queued| {
        let mut ask = queued.ask.clone();
        ask.waited_ms = now.since(queued.arrived);
        ask.max_wait_ms = queued.deadline.since(now);
        ask
    });
    let running = pool.in_flight.iter().map(|(_, running)| peer::Running {
        ask: running.ask.clone(),
        target: pool.targets[running.target_ix].name.clone(),
        tokens: running.tokens,
    });
    let ramps = pool.targets.iter().filter_map(|target| {
        let start_id = target.last_report.as_ref()?.report.start_id;
        Some((target.name.clone(), start_id, target.ramp))
    });
    Some(Snapshot {
        pool: pool.key.clone(),
        fence,
        complete: pool.is_inventory_complete(),
        virtual_time: pool.queue.virtual_time(),
        service_counters: organisations
            .map(|organisation| (organisation.name.clone(), organisation.service_counter))
            .collect(),
        waiting: waiting.collect(),
        running: running.collect(),
        ramps: ramps.collect(),
        lengths: pool.lengths.clone(),
    })
}

/// Stores a snapshot until this VM becomes the holder.
pub(crate) fn store_snapshot(
    pools: &mut Pools,
    snapshot: &Snapshot,
    now: Millis,
    out: &mut Outbox,
) {
    let snapshots = &mut pools.snapshots;
    snapshots.retain(|_, (_, at)| now.since(*at) < SNAPSHOT_TTL_MS);
    if snapshots.len() >= MAX_SNAPSHOTS && !snapshots.contains_key(&snapshot.pool) {
        return out.count(Counter::Ignored("handover"));
    }
    snapshots.insert(snapshot.pool.clone(), (snapshot.clone(), now));
}

/// Applies the stored snapshot of a pool if it comes from the direct predecessor.
fn apply_snapshot(state: &mut State, key: &Key, fence: Fence, now: Millis) {
    let entry_vms = possible_entry_vms(state);
    let State { pools, intent, .. } = state;
    let Some((snapshot, received_at)) = pools.snapshots.remove(key) else {
        return;
    };
    let is_direct = snapshot.fence.0.checked_add(1) == Some(fence.0);
    if !is_direct || now.since(received_at) >= SNAPSHOT_TTL_MS {
        return;
    }
    let Some(pool) = pools.get_mut(key) else {
        return;
    };
    pool.queue.restore_counters(snapshot.virtual_time, &snapshot.service_counters, now);
    pool.lengths = snapshot.lengths;
    let mut is_complete = snapshot.complete;
    for reported in &snapshot.running {
        is_complete &= restore_request(pool, reported, now);
    }
    for ask in snapshot.waiting {
        if pool.in_flight.get(&ask.id).is_none() && pool.queue.find(&ask.id).is_none() {
            pool.queue.push(ask, now);
        }
    }
    for (name, start_id, ramp) in snapshot.ramps {
        if let Some(ix) = pool.target_index(&name) {
            pool.targets[ix].inherit_ramp(start_id, ramp);
        }
    }
    if let Some(takeover) = pool.takeover.as_mut().filter(|_| is_complete) {
        // The predecessor knew all requests of these VMs.
        takeover.answered = entry_vms;
    }
    pool.refresh_weights(intent);
}
