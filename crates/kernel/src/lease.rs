//! Pool ownership through leases in the platform's store.
//!
//! A holder acts on a lease until [`LEASE_VALID_MS`] after it sent its last successful renewal.
//! Another VM takes the pool over once it has seen the record unchanged for [`TAKEOVER_MS`] on its
//! own clock. The holder's write precedes the observer's first read of it, so the two never act at
//! the same time.
//!
//! The records are observed by listing the leases of the zone. All writes that are due are sent in
//! one call. After a write whose answer was lost, the record is read back by the next list before
//! anything else is written for its pool.

use std::collections::BTreeMap;

use crate::event::Event;
use crate::ids::{Fence, Incarnation, Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::member::{self, Membership};
use crate::outcome::Outcome;
use crate::peer::{MemberStatus, Message};
use crate::plugin::control;
use crate::pool::Key;
use crate::pool_lease::{Handover, PoolLease, VersionedLease, WriteContext, HANDOVER_DELAY_MS};
use crate::random::hash;
use crate::rank;
use crate::store::{self, Answer, Call, CallId, Family, Op, Value, Write, WriteResult};

pub use crate::pool_lease::{LEASE_VALID_MS, RENEW_INTERVAL_MS, TAKEOVER_MS};

/// Interval between lists of the zone's leases.
const LIST_INTERVAL_MS: u64 = 1_000;
/// The same interval in fleets of more than [`LARGE_FLEET_VMS`] VMs, to limit the load on the
/// store.
const LIST_INTERVAL_LARGE_FLEET_MS: u64 = 2_000;
/// The same interval while every pool is held by this VM or by a VM that sends heartbeats, since a
/// list would only show renewals.
const LIST_INTERVAL_STABLE_MS: u64 = 4_000;
/// Number of highest-ranked candidates, not counting the holder, that keep listing leases while a
/// pool's holder is alive.
const LISTING_CANDIDATES: u64 = 2;
/// Number of highest-ranked candidates that list leases as soon as a pool has no live holder.
const TAKEOVER_CANDIDATES: u64 = 3;
/// Additional time without a live holder after which each further candidate starts to list leases.
/// All candidates of a large zone together would overload the store.
const LIST_RANK_DELAY_MS: u64 = 1_000;
/// Fleet size above which leases are listed less often.
const LARGE_FLEET_VMS: usize = 32;
/// Maximum time between two lists from which a VM concludes that a record has not changed in
/// between. While the store is unavailable, the holder cannot renew its lease either and must get
/// the time to do so afterwards.
const MAX_LIST_GAP_MS: u64 = 6_000;
/// Time after which the answer to a call counts as lost.
const CALL_TIMEOUT_MS: u64 = 3_000;
/// Delay after a call that had no effect.
const RETRY_DELAY_MS: u64 = 500;
/// Time that a stopping VM allows for releases; after that, the leases simply expire.
const RELEASE_TIMEOUT_MS: u64 = 5_000;
/// Delay after its start before a VM with seeds takes free pools, so that it first learns which
/// other VMs may own them.
const JOIN_DELAY_MS: u64 = 2_000;
/// Delay after its start before such a VM lists leases. Before it knows the others, each VM would
/// take itself for the first candidate.
const FIRST_LIST_DELAY_MS: u64 = 600;
/// Number of pools that a VM may hold above the zone's average.
const MAX_EXCESS_POOLS: usize = 2;
/// Time for which an excess must last before a pool is handed over, and interval between handovers.
const REBALANCE_INTERVAL_MS: u64 = 10_000;
/// Maximum number of writes in one call.
const MAX_BATCH_WRITES: usize = 64;
/// Minimum time between two wake-ups.
const MIN_WAKE_INTERVAL_MS: u64 = 20;

/// The leases held by this VM and the observed lease records of its zone.
#[derive(Debug, Default)]
pub struct LeaseManager {
    pool_leases: BTreeMap<Key, PoolLease>,
    /// Generation of the resources from which the set of pools was derived.
    intent_generation: u64,
    started_at: Option<Millis>,
    stopping_since: Option<Millis>,
    next_list_at: Millis,
    /// When the last list was sent.
    last_list_at: Option<Millis>,
    /// When the last list that was answered was sent.
    last_answered_list_at: Option<Millis>,
    /// The list in flight and when it was sent.
    list_call: Option<(CallId, Millis)>,
    write_calls: Map<CallId, Vec<Key>>,
    /// Since when a lease of the zone may change hands.
    unstable_since: Option<Millis>,
    excess_since: Option<Millis>,
    wake_at: Option<Millis>,
}

impl LeaseManager {
    /// The fencing token for `pool` if this VM holds a lease that is valid at `now`.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Millis;
    /// use hornbeamloom_kernel::lease::LeaseManager;
    /// use hornbeamloom_kernel::pool::Key;
    ///
    /// let leases = LeaseManager::default();
    /// assert_eq!(leases.fence(&Key::new("menu-model", "riga-a"), Millis(5)), None);
    /// ```
    pub fn fence(&self, pool: &Key, now: Millis) -> Option<Fence> {
        let held = self.pool_leases.get(pool)?.held.as_ref()?;
        held.is_valid(now).then_some(held.fence)
    }

    /// The pools with a lease that is valid at `now`, in order.
    pub fn held(&self, now: Millis) -> Vec<(&Key, Fence)> {
        let pool_leases = self.pool_leases.iter();
        pool_leases
            .filter_map(|(pool, pool_lease)| Some((pool, pool_lease.held.as_ref()?)))
            .filter(|(_, held)| held.is_valid(now))
            .map(|(pool, held)| (pool, held.fence))
            .collect()
    }

    /// The fencing token of the lease that this VM was the last known holder of, valid or not.
    ///
    /// While the store is unavailable, the last holder continues to schedule requests on warm
    /// targets.
    pub fn last_fence(&self, pool: &Key) -> Option<Fence> {
        let held = self.pool_leases.get(pool)?.held.as_ref()?;
        let is_released = held.handover.as_ref().is_some_and(|handover| handover.release_sent);
        (!is_released).then_some(held.fence)
    }

    /// The VM to which a pool held here is being handed over.
    ///
    /// From then on, the pool issues no more grants and its state is sent to the successor; the
    /// lease is released shortly after.
    pub fn successor(&self, pool: &Key) -> Option<&Name> {
        let held = self.pool_leases.get(pool)?.held.as_ref()?;
        held.handover.as_ref()?.successor.as_ref()
    }

    /// Whether a stopping VM has no lease left to release, or the release timed out.
    pub fn is_released(&self, now: Millis) -> bool {
        let gave_up = self.stopping_since.is_some_and(|at| now.since(at) >= RELEASE_TIMEOUT_MS);
        gave_up || self.pool_leases.values().all(PoolLease::is_idle)
    }
}

impl LeaseManager {
    /// Drops calls whose writes have all been resolved by reading back.
    fn forget_decided_calls(&mut self) {
        let pool_leases = &self.pool_leases;
        let is_open = |call: &CallId, pool: &Key| {
            let pending = pool_leases.get(pool).and_then(|pool_lease| pool_lease.pending.as_ref());
            pending.is_some_and(|pending| pending.call == *call)
        };
        self.write_calls.retain(|call, pools| pools.iter().any(|pool| is_open(call, pool)));
    }
}

inventory::submit! {
    control::Plugin { name: "lease", rank: 30, handle, wakeup: |state| state.leases.wake_at }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    if state.leases.started_at.is_none() {
        state.leases.started_at = Some(now);
        if !state.identity.seeds.is_empty() {
            state.leases.next_list_at = now.after(FIRST_LIST_DELAY_MS);
        }
    }
    let is_own_event = match event {
        Event::StoreAnswered { call, answer } => handle_answer(state, *call, answer, now, out),
        Event::Drain => {
            state.leases.stopping_since.get_or_insert(now);
            true
        }
        Event::Peer { message: Message::Handover(snapshot), .. } => {
            accept_handover(&mut state.leases, &snapshot.pool, now)
        }
        _ => false,
    };
    let is_due = state.leases.wake_at.is_some_and(|at| now >= at);
    if is_own_event || is_due || state.intent.generation != state.leases.intent_generation {
        run_due(state, now, out);
    }
}

/// Handles the pool state sent by a holder that is about to release the pool to this VM.
fn accept_handover(manager: &mut LeaseManager, pool: &Key, now: Millis) -> bool {
    let Some(pool_lease) = manager.pool_leases.get_mut(pool) else {
        return false;
    };
    pool_lease.is_successor = true;
    manager.next_list_at = manager.next_list_at.min(now.after(2 * HANDOVER_DELAY_MS));
    true
}

/// Starts the handover of every pool if the VM is stopping.
fn hand_over_all(state: &mut State, now: Millis) {
    if state.leases.stopping_since.is_none() {
        return;
    }
    let own = state.identity.vm.clone();
    let candidates = rank::candidates(&state.members, &state.identity.zone);
    let is_busy = !state.entry.is_empty();
    for (pool, pool_lease) in &mut state.leases.pool_leases {
        let Some(held) = &mut pool_lease.held else { continue };
        let successor = rank::successor(pool, &own, &candidates);
        // Without a successor, no other VM could grant cold starts to the requests waiting here.
        if successor.is_some() || !is_busy {
            held.handover.get_or_insert(Handover::new(successor, now));
        }
    }
}

/// Performs all actions that are due.
fn run_due(state: &mut State, now: Millis, out: &mut Outbox) {
    sync_pools(state, now);
    drop_superseded(state, out);
    expire_calls(&mut state.leases, now);
    hand_over_all(state, now);
    rebalance(state, now);
    list_leases(state, now, out);
    send_writes(state, now, out);
    advertise_held(state);
    state.leases.wake_at = next_wake(state, now);
}

/// Tracks exactly the pools of the own zone that have targets.
fn sync_pools(state: &mut State, now: Millis) {
    let State { intent, leases, identity, .. } = state;
    if leases.intent_generation == intent.generation {
        return;
    }
    leases.intent_generation = intent.generation;
    let pools = intent.pools_in_zone(&identity.zone);
    for (pool, pool_lease) in &mut leases.pool_leases {
        pool_lease.has_targets = pools.contains(&pool);
        if let (Some(held), false) = (&mut pool_lease.held, pool_lease.has_targets) {
            held.handover.get_or_insert(Handover::new(None, now));
        }
    }
    leases.pool_leases.retain(|_, pool_lease| pool_lease.held.is_some() || pool_lease.has_targets);
    for pool in pools {
        leases.pool_leases.entry(pool.clone()).or_default().has_targets = true;
    }
}

/// Drops leases for which gossip has reported a higher fencing token.
fn drop_superseded(state: &mut State, out: &mut Outbox) {
    let State { leases, members, .. } = state;
    for (pool, pool_lease) in &mut leases.pool_leases {
        let higher = members.highest_fence(pool);
        if pool_lease.held.as_ref().is_some_and(|held| held.fence < higher) {
            pool_lease.mark_lost(out);
        }
    }
}

fn expire_calls(manager: &mut LeaseManager, now: Millis) {
    if manager.list_call.is_some_and(|(_, sent_at)| now.since(sent_at) >= CALL_TIMEOUT_MS) {
        manager.list_call = None;
    }
    for pool_lease in manager.pool_leases.values_mut() {
        let Some(pending) = &mut pool_lease.pending else {
            continue;
        };
        if pending.lost_at.is_none() && now.since(pending.sent_at) >= CALL_TIMEOUT_MS {
            pending.lost_at = Some(now);
            manager.next_list_at = now;
        }
    }
}

/// Hands over one pool if this VM holds too many.
fn rebalance(state: &mut State, now: Millis) {
    let candidates = rank::candidates(&state.members, &state.identity.zone);
    let manager = &state.leases;
    let held_count =
        manager.pool_leases.values().filter(|pool_lease| pool_lease.held.is_some()).count();
    let vms = candidates.len().max(1);
    let is_excess = held_count * vms > manager.pool_leases.len() + MAX_EXCESS_POOLS * vms;
    if !is_excess || manager.stopping_since.is_some() {
        state.leases.excess_since = None;
        return;
    }
    let since = *state.leases.excess_since.get_or_insert(now);
    let least = least_loaded(&state.members, &candidates);
    let Some(successor) = least.filter(|_| now.since(since) >= REBALANCE_INTERVAL_MS) else {
        return;
    };
    let mut held =
        state.leases.pool_leases.values_mut().filter_map(|pool_lease| pool_lease.held.as_mut());
    if let Some(held) = held.find(|held| held.handover.is_none() && held.is_valid(now)) {
        held.handover = Some(Handover::new(Some(successor), now));
        state.leases.excess_since = Some(now);
    }
}

fn least_loaded(members: &Membership, candidates: &[&Name]) -> Option<Name> {
    let others = candidates.iter().filter(|vm| **vm != members.own());
    let load = |vm: &Name| members.get(vm).map_or(0, |member| member.entry.pools.len());
    let least = others.min_by_key(|vm| (load(vm), (**vm).clone()));
    least.map(|vm| (*vm).clone())
}

/// Lists the zone's leases if due.
fn list_leases(state: &mut State, now: Millis, out: &mut Outbox) {
    state.leases.unstable_since = match is_stable(state, now) {
        true => None,
        false => state.leases.unstable_since.or(Some(now)),
    };
    let manager = &state.leases;
    if manager.pool_leases.is_empty() || manager.list_call.is_some() || now < manager.next_list_at {
        return;
    }
    let interval = list_interval(state);
    if !needs_list(state, now) {
        state.leases.next_list_at = now.after(interval);
        return;
    }
    let id = state.next_call_id();
    let zone = state.identity.zone.clone();
    // The jitter keeps VMs from listing at the same time.
    let jitter = hash(&[&state.identity.vm]).wrapping_add(id.0) % (interval / 4);
    state.leases.list_call = Some((id, now));
    state.leases.last_list_at = Some(now);
    state.leases.next_list_at = now.after(interval - jitter);
    let op = Op::List(Family::Leases { zone });
    out.push(Outcome::Store(Call { id, op }));
}

fn list_interval(state: &State) -> u64 {
    match state.members.members.len() > LARGE_FLEET_VMS {
        true => LIST_INTERVAL_LARGE_FLEET_MS,
        false => LIST_INTERVAL_MS,
    }
}

/// Whether the leases of the zone concern this VM: it may have to take one over, or it needs the
/// result of a write.
fn needs_list(state: &State, now: Millis) -> bool {
    let manager = &state.leases;
    let concerns_own_lease = |pool_lease: &PoolLease| {
        pool_lease.pending.is_some() || pool_lease.is_successor || pool_lease.held.is_some()
    };
    let Some(unstable_since) = manager.unstable_since else {
        let is_recent =
            manager.last_list_at.is_some_and(|at| now.since(at) < LIST_INTERVAL_STABLE_MS);
        return !is_recent && best_rank(state, now, true) < LISTING_CANDIDATES;
    };
    if manager.pool_leases.values().any(concerns_own_lease) {
        return true;
    }
    let further = best_rank(state, now, false).saturating_sub(TAKEOVER_CANDIDATES - 1);
    now.since(unstable_since) >= further * LIST_RANK_DELAY_MS
}

/// The best rank of this VM for any pool of the zone that it doesn't hold.
fn best_rank(state: &State, now: Millis, excludes_holder: bool) -> u64 {
    let candidates = rank::candidates(&state.members, &state.identity.zone);
    let own = &state.identity.vm;
    let other_pools =
        state.leases.pool_leases.iter().filter(|(_, pool_lease)| {
            !pool_lease.held.as_ref().is_some_and(|held| held.is_valid(now))
        });
    let ranks = other_pools.map(|(pool, _)| {
        let holder = state.members.owner(pool).map(|(vm, _)| &**vm);
        rank::rank(pool, own, &candidates, holder.filter(|_| excludes_holder))
    });
    ranks.min().unwrap_or(u64::MAX)
}

/// Whether no lease of the zone is likely to change hands.
fn is_stable(state: &State, now: Millis) -> bool {
    let is_alive = |pool: &Key| {
        let owner = state.members.owner(pool).and_then(|(vm, _)| state.members.get(vm));
        owner.is_some_and(|owner| {
            now.since(owner.heartbeat_at) <= member::OWN_ZONE_SUSPECT_MS
                && owner.entry.status == MemberStatus::Serving
        })
    };
    state.leases.pool_leases.iter().all(|(pool, pool_lease)| {
        let is_held = pool_lease.held.as_ref().is_some_and(|held| held.is_valid(now));
        pool_lease.pending.is_none() && !pool_lease.is_successor && (is_held || is_alive(pool))
    })
}

/// Sends all writes that are due in one call.
fn send_writes(state: &mut State, now: Millis, out: &mut Outbox) {
    let id = state.next_call_id();
    let State { leases, members, identity, .. } = state;
    let context = WriteContext {
        candidates: rank::candidates(members, &identity.zone),
        members,
        own: &identity.vm,
        incarnation: identity.incarnation,
        is_stopping: leases.stopping_since.is_some(),
        is_observing: leases
            .last_answered_list_at
            .is_some_and(|at| now.since(at) <= MAX_LIST_GAP_MS),
        claim_free_after: match identity.seeds.is_empty() {
            true => Millis(0),
            false => leases.started_at.unwrap_or(now).after(JOIN_DELAY_MS),
        },
    };
    let mut writes = Vec::new();
    let mut pools = Vec::new();
    for (pool, pool_lease) in &mut leases.pool_leases {
        if writes.len() == MAX_BATCH_WRITES {
            break;
        }
        let Some((condition, lease)) = pool_lease.next_write(pool, &context, now) else {
            continue;
        };
        pool_lease.begin_write(id, &lease, now);
        pools.push(pool.clone());
        writes.push(Write {
            key: store::Key::Lease(pool.clone()),
            condition,
            value: Some(Value::Lease(lease)),
        });
    }
    if !writes.is_empty() {
        leases.write_calls.insert(id, pools);
        let op = Op::Write(writes);
        out.push(Outcome::Store(Call { id, op }));
    }
}

/// Handles the answer to a call. Returns whether the call was sent by this module.
fn handle_answer(
    state: &mut State,
    call: CallId,
    answer: &Answer,
    now: Millis,
    out: &mut Outbox,
) -> bool {
    if let Some((_, sent_at)) = state.leases.list_call.filter(|(list_call, _)| *list_call == call) {
        state.leases.list_call = None;
        match answer {
            Answer::Listed(records) => handle_listed(state, records, sent_at, now, out),
            _ => {
                let delay = RETRY_DELAY_MS.max(list_interval(state) / 2);
                state.leases.next_list_at = now.after(delay);
            }
        }
        return true;
    }
    let Some(pools) = state.leases.write_calls.remove(&call) else {
        return false;
    };
    let own = state.identity.vm.clone();
    let mut needs_read_back = false;
    for (ix, pool) in pools.iter().enumerate() {
        let Some(pool_lease) = state.leases.pool_leases.get_mut(pool) else {
            continue;
        };
        // A write that was read back has been resolved already.
        let Some(pending) = pool_lease.pending.as_mut().filter(|pending| pending.call == call)
        else {
            continue;
        };
        let written = match answer {
            Answer::Written(written) => written.get(ix),
            _ => None,
        };
        match (answer, written) {
            (_, Some(WriteResult::Applied(version))) => pool_lease.on_applied(*version, now, out),
            (_, Some(WriteResult::Conflict(record))) => {
                let found = record.as_ref().map(versioned_lease);
                pool_lease.on_not_applied(found, &own, now, out);
            }
            (Answer::Unavailable, None) => {
                pool_lease.pending = None;
                pool_lease.retry_at = now.after(RETRY_DELAY_MS);
            }
            _ => {
                pending.lost_at = Some(now);
                needs_read_back = true;
            }
        }
    }
    if needs_read_back {
        state.leases.next_list_at = now;
    }
    raise_incarnation(state, out);
    true
}

fn versioned_lease(record: &store::Record) -> VersionedLease {
    match &record.value {
        Some(Value::Lease(lease)) => (record.version, Some(lease.clone())),
        _ => (record.version, None),
    }
}

/// Processes the leases of the zone as of some time after `sent_at`.
fn handle_listed(
    state: &mut State,
    records: &[store::Record],
    sent_at: Millis,
    now: Millis,
    out: &mut Outbox,
) {
    let own = state.identity.vm.clone();
    let previous = state.leases.last_answered_list_at.replace(sent_at);
    let is_continuous = previous.is_some_and(|at| sent_at.since(at) <= MAX_LIST_GAP_MS);
    if !is_continuous {
        for pool_lease in state.leases.pool_leases.values_mut() {
            pool_lease.restart_observation(now);
        }
    }
    let mut found: Map<&Key, VersionedLease> = Map::default();
    for record in records {
        if let store::Key::Lease(pool) = &record.key {
            found.insert(pool, versioned_lease(record));
        }
    }
    for (pool, pool_lease) in &mut state.leases.pool_leases {
        let found = found.remove(pool);
        match &pool_lease.pending {
            Some(pending) if pending.lost_at.is_some_and(|lost_at| lost_at <= sent_at) => {
                let is_applied =
                    found.as_ref().filter(|(_, lease)| lease.as_ref() == Some(&pending.lease));
                match is_applied {
                    Some((version, _)) => pool_lease.on_applied(*version, now, out),
                    None => pool_lease.on_not_applied(found, &own, now, out),
                }
            }
            // The answer to the pending write is more conclusive than the list.
            Some(_) => {}
            None => pool_lease.observe_listed(found, &own, now, out),
        }
    }
    state.leases.forget_decided_calls();
    raise_incarnation(state, out);
}

/// Raises the incarnation if a record names a later start of this VM than the current one, which
/// means that the clock went backwards between two starts.
fn raise_incarnation(state: &mut State, out: &mut Outbox) {
    let State { leases, identity, .. } = state;
    let leases = leases
        .pool_leases
        .values()
        .filter_map(|pool_lease| pool_lease.observed.as_ref()?.lease.as_ref());
    let own = leases.filter(|lease| lease.vm == identity.vm);
    let highest = own.map(|lease| lease.incarnation).max().unwrap_or_default();
    if highest > identity.incarnation {
        member::raise_incarnation(state, Incarnation(highest.0 + 1), out);
    }
}

/// Advertises the pools held here in this VM's membership entry.
fn advertise_held(state: &mut State) {
    let manager = &state.leases;
    let pools = manager.pool_leases.keys();
    let advertised = pools.filter_map(|pool| Some((pool.clone(), manager.last_fence(pool)?)));
    state.members.set_owned_pools(advertised.collect());
}

/// The time of the next action that is due.
fn next_wake(state: &State, now: Millis) -> Option<Millis> {
    let manager = &state.leases;
    if manager.pool_leases.is_empty() {
        return None;
    }
    let mut at = match manager.list_call {
        Some((_, sent_at)) => sent_at.after(CALL_TIMEOUT_MS),
        None => manager.next_list_at,
    };
    let soonest = manager.pool_leases.values().filter_map(|pool_lease| {
        let due = match (&pool_lease.pending, &pool_lease.held) {
            (Some(pending), _) if pending.lost_at.is_none() => {
                pending.sent_at.after(CALL_TIMEOUT_MS)
            }
            (Some(_), _) => return None,
            (None, Some(held)) => match &held.handover {
                Some(handover) => handover.release_at.min(held.renew_at),
                None => held.renew_at,
            },
            // Observed records and ranks only change with lists, which are frequent enough.
            (None, None) => return None,
        };
        Some(due.max(pool_lease.retry_at))
    });
    at = soonest.fold(at, Millis::min);
    Some(at.max(now.after(MIN_WAKE_INTERVAL_MS)))
}
