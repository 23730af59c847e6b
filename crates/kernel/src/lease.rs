//! Pool ownership by leases in the platform's table.
//!
//! A holder acts until [`HOLD_MS`] after it sent its last successful renewal; another VM takes over
//! when it saw the record unchanged for [`TAKEOVER_MS`] on its own clock. The holder's write
//! precedes the observer's first read of it, so the two never act at the same time.
//!
//! The record of each pool is watched by a list of the zone's leases. All writes that are due leave
//! in one call; a write whose answer is lost is read back by the next list before anything else is
//! written for its pool.

use std::collections::BTreeMap;

use crate::event::Event;
use crate::ids::{Fence, Incarnation, Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::member::{self, Table};
use crate::outcome::Outcome;
use crate::peer::{Message, Standing};
use crate::plugin::control;
use crate::pool::Key;
use crate::random::hash;
use crate::rank;
use crate::store::{self, Answer, Call, CallId, Family, Op, Value, Write, Written};
use crate::watch::{Found, Handover, View, Watch, HANDOVER_MS};

pub use crate::watch::{HOLD_MS, RENEW_MS, TAKEOVER_MS};

/// Time between two lists of the zone's leases.
const READ_MS: u64 = 1_000;
/// The same in a fleet of more than [`LARGE_FLEET`] VMs, to spare the table.
const READ_LARGE_MS: u64 = 2_000;
/// The same while every pool is held here or by a VM whose heartbeats come: a list would only show
/// renewals.
const READ_QUIET_MS: u64 = 4_000;
/// First candidates of a pool, which go on listing while its holder is alive. The others begin when it
/// is not, and wait longer for their turn than that costs them.
const SUCCESSORS: u64 = 3;
/// VMs above which reads are rarer.
const LARGE_FLEET: usize = 32;
/// A call without an answer for this long counts as lost.
const ANSWER_MS: u64 = 3_000;
/// Wait after a call that had no effect.
const RETRY_MS: u64 = 500;
/// A stopping VM gives its releases this long; after that the leases expire by themselves.
const RELEASE_LIMIT_MS: u64 = 5_000;
/// A VM with seeds waits this long after its start before it takes free pools, so that it has heard
/// who else may own them.
const JOIN_MS: u64 = 2_000;
/// Pools that a VM may hold above the zone's average.
const EXCESS: usize = 2;
/// How long the excess must last before a pool is handed over, and the time between handovers.
const BALANCE_MS: u64 = 10_000;
/// Writes in one call.
const BATCH: usize = 64;
/// Shortest time between two wake-ups.
const WAKE_MS: u64 = 20;

/// The leases held here and the records watched.
#[derive(Debug, Default)]
pub struct Keeper {
    watches: BTreeMap<Key, Watch>,
    /// The resources that the watches follow.
    generation: u64,
    started: Option<Millis>,
    stopped: Option<Millis>,
    read_at: Millis,
    /// When the last list was sent.
    listed_at: Option<Millis>,
    /// The list in flight and when it was sent.
    reading: Option<(CallId, Millis)>,
    writing: Map<CallId, Vec<Key>>,
    excess_since: Option<Millis>,
    wake: Option<Millis>,
}

impl Keeper {
    /// The fencing token of a lease that is valid at `now`, if this VM holds it.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Millis;
    /// use hornbeamloom_kernel::lease::Keeper;
    /// use hornbeamloom_kernel::pool::Key;
    ///
    /// let keeper = Keeper::default();
    /// assert_eq!(keeper.fence(&Key::new("menu-model", "riga-a"), Millis(5)), None);
    /// ```
    pub fn fence(&self, pool: &Key, now: Millis) -> Option<Fence> {
        let mine = self.watches.get(pool)?.mine.as_ref()?;
        mine.is_valid(now).then_some(mine.fence)
    }

    /// The pools with a valid lease at `now`, in order.
    pub fn held(&self, now: Millis) -> Vec<(&Key, Fence)> {
        let watches = self.watches.iter();
        watches
            .filter_map(|(pool, watch)| Some((pool, watch.mine.as_ref()?)))
            .filter(|(_, mine)| mine.is_valid(now))
            .map(|(pool, mine)| (pool, mine.fence))
            .collect()
    }

    /// The token under which this VM was the last known holder, valid or not.
    ///
    /// While the store is down the last holder goes on scheduling warm targets.
    pub fn last_fence(&self, pool: &Key) -> Option<Fence> {
        let mine = self.watches.get(pool)?.mine.as_ref()?;
        let is_released = mine.handover.as_ref().is_some_and(|handover| handover.is_sent);
        (!is_released).then_some(mine.fence)
    }

    /// The VM that a pool held here is being handed to.
    ///
    /// From when this is known the pool grants nothing more and sends its state there; the lease is
    /// released shortly after.
    pub fn successor(&self, pool: &Key) -> Option<&Name> {
        let mine = self.watches.get(pool)?.mine.as_ref()?;
        mine.handover.as_ref()?.to.as_ref()
    }

    /// Whether a stopping VM has no lease left to release, or gave up releasing.
    pub fn is_released(&self, now: Millis) -> bool {
        let gave_up = self.stopped.is_some_and(|at| now.since(at) >= RELEASE_LIMIT_MS);
        gave_up || self.watches.values().all(Watch::is_idle)
    }
}

impl Keeper {
    /// Forgets calls all of whose writes were read back.
    fn forget_decided(&mut self) {
        let watches = &self.watches;
        let is_open = |call: &CallId, pool: &Key| {
            let attempt = watches.get(pool).and_then(|watch| watch.attempt.as_ref());
            attempt.is_some_and(|attempt| attempt.call == *call)
        };
        self.writing.retain(|call, pools| pools.iter().any(|pool| is_open(call, pool)));
    }
}

inventory::submit! {
    control::Plugin { name: "lease", rank: 30, handle, wakeup: |state| state.leases.wake }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    state.leases.started.get_or_insert(now);
    let is_mine = match event {
        Event::Store { call, answer } => answered(state, *call, answer, now, out),
        Event::Drain => {
            state.leases.stopped.get_or_insert(now);
            true
        }
        Event::Peer { message: Message::Handover(snapshot), .. } => {
            succeed(&mut state.leases, &snapshot.pool, now)
        }
        _ => false,
    };
    let is_due = state.leases.wake.is_some_and(|at| now >= at);
    if is_mine || is_due || state.intent.generation != state.leases.generation {
        drive(state, now, out);
    }
}

/// The holder that releases the pool sent its state here.
fn succeed(keeper: &mut Keeper, pool: &Key, now: Millis) -> bool {
    let Some(watch) = keeper.watches.get_mut(pool) else {
        return false;
    };
    watch.is_successor = true;
    keeper.read_at = keeper.read_at.min(now.after(2 * HANDOVER_MS));
    true
}

/// Hands over every pool of a stopping VM.
fn hand_over(state: &mut State, now: Millis) {
    if state.leases.stopped.is_none() {
        return;
    }
    let own = state.identity.vm.clone();
    let candidates = rank::candidates(&state.members, &state.identity.zone);
    let is_busy = !state.entry.is_empty();
    for (pool, watch) in &mut state.leases.watches {
        let Some(mine) = &mut watch.mine else { continue };
        let to = rank::successor(pool, &own, &candidates);
        // Without a successor nobody else could grant cold starts to the requests that wait here.
        if to.is_some() || !is_busy {
            mine.handover.get_or_insert(Handover::new(to, now));
        }
    }
}

/// Does everything that is due.
fn drive(state: &mut State, now: Millis, out: &mut Outbox) {
    follow_intent(state, now);
    yield_to_higher(state, out);
    give_up_waiting(&mut state.leases, now);
    hand_over(state, now);
    balance(state, now);
    read(state, now, out);
    write(state, now, out);
    publish(state);
    state.leases.wake = wake(state, now);
}

/// Watches exactly the pools of the own zone that have targets.
fn follow_intent(state: &mut State, now: Millis) {
    let State { intent, leases, identity, .. } = state;
    if leases.generation == intent.generation {
        return;
    }
    leases.generation = intent.generation;
    let pools = intent.pools_in(&identity.zone);
    for (pool, watch) in &mut leases.watches {
        watch.is_wanted = pools.contains(&pool);
        if let (Some(mine), false) = (&mut watch.mine, watch.is_wanted) {
            mine.handover.get_or_insert(Handover::new(None, now));
        }
    }
    leases.watches.retain(|_, watch| watch.mine.is_some() || watch.is_wanted);
    for pool in pools {
        leases.watches.entry(pool.clone()).or_default().is_wanted = true;
    }
}

/// Gives up pools for which a later holder is known by gossip.
fn yield_to_higher(state: &mut State, out: &mut Outbox) {
    let State { leases, members, .. } = state;
    for (pool, watch) in &mut leases.watches {
        let higher = members.highest_fence(pool);
        if watch.mine.as_ref().is_some_and(|mine| mine.fence < higher) {
            watch.lose(out);
        }
    }
}

fn give_up_waiting(keeper: &mut Keeper, now: Millis) {
    if keeper.reading.is_some_and(|(_, sent)| now.since(sent) >= ANSWER_MS) {
        keeper.reading = None;
    }
    for watch in keeper.watches.values_mut() {
        let Some(attempt) = &mut watch.attempt else {
            continue;
        };
        if attempt.lost.is_none() && now.since(attempt.sent) >= ANSWER_MS {
            attempt.lost = Some(now);
            keeper.read_at = now;
        }
    }
}

/// Hands one pool over where this VM holds too many.
fn balance(state: &mut State, now: Millis) {
    let candidates = rank::candidates(&state.members, &state.identity.zone);
    let keeper = &state.leases;
    let held = keeper.watches.values().filter(|watch| watch.mine.is_some()).count();
    let vms = candidates.len().max(1);
    let is_excess = held * vms > keeper.watches.len() + EXCESS * vms;
    if !is_excess || keeper.stopped.is_some() {
        state.leases.excess_since = None;
        return;
    }
    let since = *state.leases.excess_since.get_or_insert(now);
    let least = least_loaded(&state.members, &candidates);
    let Some(to) = least.filter(|_| now.since(since) >= BALANCE_MS) else {
        return;
    };
    let mut mine = state.leases.watches.values_mut().filter_map(|watch| watch.mine.as_mut());
    if let Some(mine) = mine.find(|mine| mine.handover.is_none() && mine.is_valid(now)) {
        mine.handover = Some(Handover::new(Some(to), now));
        state.leases.excess_since = Some(now);
    }
}

fn least_loaded(members: &Table, candidates: &[&Name]) -> Option<Name> {
    let others = candidates.iter().filter(|vm| **vm != members.own());
    let load = |vm: &Name| members.get(vm).map_or(0, |member| member.entry.pools.len());
    let least = others.min_by_key(|vm| (load(vm), (**vm).clone()));
    least.map(|vm| (*vm).clone())
}

/// Lists the zone's leases when that is due.
fn read(state: &mut State, now: Millis, out: &mut Outbox) {
    let keeper = &state.leases;
    if keeper.watches.is_empty() || keeper.reading.is_some() || now < keeper.read_at {
        return;
    }
    let interval = match state.members.members.len() > LARGE_FLEET {
        true => READ_LARGE_MS,
        false => READ_MS,
    };
    let is_recent = keeper.listed_at.is_some_and(|at| now.since(at) < READ_QUIET_MS);
    let is_far = keeper.listed_at.is_some() && is_far(state);
    if (is_recent || is_far) && is_quiet(state, now) {
        state.leases.read_at = now.after(interval);
        return;
    }
    let id = state.next_call_id();
    let zone = state.identity.zone.clone();
    // The table is not asked by all VMs in step.
    let jitter = hash(&[&state.identity.vm]).wrapping_add(id.0) % (interval / 4);
    state.leases.reading = Some((id, now));
    state.leases.listed_at = Some(now);
    state.leases.read_at = now.after(interval - jitter);
    let op = Op::List(Family::Leases { zone });
    out.push(Outcome::Store(Call { id, op }));
}

/// Whether others go before this VM in every pool that is not its own.
fn is_far(state: &State) -> bool {
    let candidates = rank::candidates(&state.members, &state.identity.zone);
    let own = &state.identity.vm;
    let is_near = |pool: &Key| rank::rank(pool, own, &candidates, None) < SUCCESSORS;
    !state.leases.watches.keys().any(is_near)
}

/// Whether no lease of the zone is likely to change hands.
fn is_quiet(state: &State, now: Millis) -> bool {
    let is_alive = |pool: &Key| {
        let owner = state.members.owner(pool).and_then(|(vm, _)| state.members.get(vm));
        owner.is_some_and(|owner| {
            now.since(owner.moved) <= member::OWN_ZONE_SUSPECT_MS
                && owner.entry.standing == Standing::Serving
        })
    };
    state.leases.watches.iter().all(|(pool, watch)| {
        let is_held = watch.mine.as_ref().is_some_and(|mine| mine.is_valid(now));
        watch.attempt.is_none() && !watch.is_successor && (is_held || is_alive(pool))
    })
}

/// Sends every write that is due, in one call.
fn write(state: &mut State, now: Millis, out: &mut Outbox) {
    let id = state.next_call_id();
    let State { leases, members, identity, .. } = state;
    let view = View {
        candidates: rank::candidates(members, &identity.zone),
        members,
        own: &identity.vm,
        incarnation: identity.incarnation,
        is_stopping: leases.stopped.is_some(),
        joined: match identity.seeds.is_empty() {
            true => Millis(0),
            false => leases.started.unwrap_or(now).after(JOIN_MS),
        },
    };
    let mut writes = Vec::new();
    let mut pools = Vec::new();
    for (pool, watch) in &mut leases.watches {
        if writes.len() == BATCH {
            break;
        }
        let Some((condition, lease)) = watch.next_write(pool, &view, now) else {
            continue;
        };
        watch.try_write(id, &lease, now);
        pools.push(pool.clone());
        writes.push(Write {
            key: store::Key::Lease(pool.clone()),
            condition,
            value: Some(Value::Lease(lease)),
        });
    }
    if !writes.is_empty() {
        leases.writing.insert(id, pools);
        let op = Op::Write(writes);
        out.push(Outcome::Store(Call { id, op }));
    }
}

/// Takes the answer to a call; returns whether the call was made here.
fn answered(
    state: &mut State,
    call: CallId,
    answer: &Answer,
    now: Millis,
    out: &mut Outbox,
) -> bool {
    if let Some((_, sent)) = state.leases.reading.filter(|(reading, _)| *reading == call) {
        state.leases.reading = None;
        match answer {
            Answer::Listed(records) => listed(state, records, sent, now, out),
            _ => state.leases.read_at = now.after(RETRY_MS),
        }
        return true;
    }
    let Some(pools) = state.leases.writing.remove(&call) else {
        return false;
    };
    let own = state.identity.vm.clone();
    let mut read_back = false;
    for (ix, pool) in pools.iter().enumerate() {
        let Some(watch) = state.leases.watches.get_mut(pool) else {
            continue;
        };
        // After a read back the attempt is decided already.
        let Some(attempt) = watch.attempt.as_mut().filter(|attempt| attempt.call == call) else {
            continue;
        };
        let written = match answer {
            Answer::Written(written) => written.get(ix),
            _ => None,
        };
        match (answer, written) {
            (_, Some(Written::Applied(version))) => watch.applied(*version, now, out),
            (_, Some(Written::Conflict(record))) => {
                let found = record.as_ref().map(content);
                watch.refused(found, &own, now, out);
            }
            (Answer::Unavailable, None) => {
                watch.attempt = None;
                watch.retry_at = now.after(RETRY_MS);
            }
            _ => {
                attempt.lost = Some(now);
                read_back = true;
            }
        }
    }
    if read_back {
        state.leases.read_at = now;
    }
    raise(state, out);
    true
}

fn content(record: &store::Record) -> Found {
    match &record.value {
        Some(Value::Lease(lease)) => (record.version, Some(lease.clone())),
        _ => (record.version, None),
    }
}

/// The leases of the zone as they stood after `sent`.
fn listed(
    state: &mut State,
    records: &[store::Record],
    sent: Millis,
    now: Millis,
    out: &mut Outbox,
) {
    let own = state.identity.vm.clone();
    let mut found: Map<&Key, Found> = Map::default();
    for record in records {
        if let store::Key::Lease(pool) = &record.key {
            found.insert(pool, content(record));
        }
    }
    for (pool, watch) in &mut state.leases.watches {
        let found = found.remove(pool);
        match &watch.attempt {
            Some(attempt) if attempt.lost.is_some_and(|lost| lost <= sent) => {
                let is_applied =
                    found.as_ref().filter(|(_, lease)| lease.as_ref() == Some(&attempt.lease));
                match is_applied {
                    Some((version, _)) => watch.applied(*version, now, out),
                    None => watch.refused(found, &own, now, out),
                }
            }
            // The answer to the write tells more.
            Some(_) => {}
            None => watch.look(found, &own, now, out),
        }
    }
    state.leases.forget_decided();
    raise(state, out);
}

/// A record of a later start of this VM than its own: the clock went back between two starts.
fn raise(state: &mut State, out: &mut Outbox) {
    let State { leases, identity, .. } = state;
    let leases = leases.watches.values().filter_map(|watch| watch.sight.as_ref()?.lease.as_ref());
    let own = leases.filter(|lease| lease.vm == identity.vm);
    let highest = own.map(|lease| lease.incarnation).max().unwrap_or_default();
    if highest > identity.incarnation {
        member::raise(state, Incarnation(highest.0 + 1), out);
    }
}

/// Lists the pools held here in this VM's own entry.
fn publish(state: &mut State) {
    let keeper = &state.leases;
    let pools = keeper.watches.keys();
    let held = pools.filter_map(|pool| Some((pool.clone(), keeper.last_fence(pool)?)));
    state.members.hold(held.collect());
}

/// When something is due next.
fn wake(state: &State, now: Millis) -> Option<Millis> {
    let keeper = &state.leases;
    if keeper.watches.is_empty() {
        return None;
    }
    let mut at = match keeper.reading {
        Some((_, sent)) => sent.after(ANSWER_MS),
        None => keeper.read_at,
    };
    let soonest = keeper.watches.values().filter_map(|watch| {
        let due = match (&watch.attempt, &watch.mine) {
            (Some(attempt), _) if attempt.lost.is_none() => attempt.sent.after(ANSWER_MS),
            (Some(_), _) => return None,
            (None, Some(mine)) => match &mine.handover {
                Some(handover) => handover.release_at.min(mine.renew_at),
                None => mine.renew_at,
            },
            // Records change and ranks move with every list, which comes often enough.
            (None, None) => return None,
        };
        Some(due.max(watch.retry_at))
    });
    at = soonest.fold(at, Millis::min);
    Some(at.max(now.after(WAKE_MS)))
}
