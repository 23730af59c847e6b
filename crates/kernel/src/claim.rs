//! Claims of calls that run at most once.
//!
//! A claim is written to the table before the call may be sent, so that no other VM sends the same
//! call. Writes are batched: while one batch is in flight, claims queue for the next.

use std::collections::{BTreeSet, VecDeque};
use std::mem::Discriminant;

use crate::claim_table;
use crate::entry;
use crate::event::{Event, Vm};
use crate::ids::{Incarnation, Millis, Name, Revision};
use crate::kernel::{Outbox, State};
use crate::map::{Map, Set};
use crate::outcome::{Ran, Reason, Refusal};
use crate::plugin::control;
use crate::request::{Id, View};
use crate::store::{CallId, Claim, Key, Record, StoredResponse, Value};

/// Limit on the claims that this VM holds concurrently.
const MAX_CLAIMS: usize = 8_192;
/// Time after the caller disconnected during which the answer of its call is still stored, in
/// milliseconds.
const ORPHAN_TIMEOUT_MS: u64 = 60_000;
/// Retry delay sent to callers whose key is in use or whose claim cannot be written, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Incarnation in a claim that no process holds any more. It is lower than that of any process.
pub(crate) const NO_HOLDER: Incarnation = Incarnation(0);

/// Claims that this VM holds or is writing.
#[derive(Debug, Default)]
pub struct Registry {
    pub(crate) entries: Map<Id, Entry>,
    pub(crate) keys: Map<Key, Id>,
    pub(crate) ready: VecDeque<Id>,
    pub(crate) delayed: BTreeSet<(Millis, Id)>,
    pub(crate) in_flight: Option<Batch>,
    pub(crate) pending_reads: Map<CallId, PendingRead>,
    pub(crate) listed_vms: Set<Name>,
    pub(crate) removed_vms: Set<Name>,
}

/// A claim of this VM.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) key: Key,
    pub(crate) fingerprint: u64,
    pub(crate) version: Option<Revision>,
    /// The answer to a write was lost, so it is unknown whether the claim is in the table.
    pub(crate) is_uncertain: bool,
    pub(crate) goal: Goal,
    pub(crate) retries: u32,
}

/// What is to be done with a claim.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Goal {
    /// Write it, then run the call.
    Create,
    /// Nothing; the call is running.
    Hold,
    /// Nothing yet; the caller disconnected during the call, and the answer may still arrive.
    Orphan,
    /// Store the outcome of the call.
    Store(StoredResponse),
    /// Delete the claim; nothing was sent.
    Delete,
    /// Mark the claim as held by no process; the call may have been executed.
    Abandon,
}

/// A batch of writes whose answer is pending.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) call: CallId,
    pub(crate) sent_at: Millis,
    pub(crate) writes: Vec<(Id, Discriminant<Goal>)>,
}

impl Batch {
    pub(crate) fn contains(&self, id: &Id) -> bool {
        self.writes.iter().any(|(written, _)| written == id)
    }
}

/// A read that determines the state of a record after a lost answer.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) id: Id,
    pub(crate) sent_at: Millis,
}

/// What an existing claim means for a new call with the same key.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Resolution {
    /// The claim belongs to the call itself.
    Own,
    /// The outcome of an earlier call is stored.
    Replay(StoredResponse),
    /// The call is refused.
    Refuse(Reason),
}

inventory::submit! {
    control::Plugin { name: "claim", rank: 40, handle, wakeup }
}

fn wakeup(state: &State) -> Option<Millis> {
    let registry = &state.claims;
    let delayed = registry.delayed.first().map(|(at, _)| *at);
    let in_flight = registry.in_flight.iter().map(|batch| batch.sent_at);
    let pending_reads = registry.pending_reads.values().map(|read| read.sent_at);
    let timeouts =
        in_flight.chain(pending_reads).map(|sent_at| sent_at.after(claim_table::CALL_TIMEOUT_MS));
    timeouts.chain(delayed).min()
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::Tick => claim_table::tick(state, now, out),
        Event::StoreAnswered { call, answer } => {
            claim_table::on_answer(state, *call, answer, now, out)
        }
        Event::Vms(vms) => state.claims.update_vms(vms),
        _ => {}
    }
}

impl Registry {
    /// Whether no claim has a write outstanding.
    pub fn has_no_pending_writes(&self) -> bool {
        let is_idle = |entry: &Entry| matches!(entry.goal, Goal::Hold | Goal::Orphan);
        self.entries.values().all(is_idle)
    }

    /// Number of claims that this VM holds or is writing.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether this VM neither holds nor writes a claim.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn update_vms(&mut self, vms: &[Vm]) {
        let listed_vms: Set<Name> = vms.iter().map(|vm| vm.name.clone()).collect();
        let removed_vms = self.listed_vms.difference(&listed_vms).cloned();
        self.removed_vms.extend(removed_vms);
        self.removed_vms.retain(|vm| !listed_vms.contains(vm));
        if self.removed_vms.len() > MAX_CLAIMS {
            self.removed_vms.clear();
        }
        self.listed_vms = listed_vms;
    }

    pub(crate) fn has_pending_call(&self, id: &Id) -> bool {
        let in_flight = self.in_flight.as_ref().is_some_and(|batch| batch.contains(id));
        in_flight || self.pending_reads.values().any(|read| read.id == *id)
    }

    /// Queues a claim for the next batch.
    pub(crate) fn enqueue(&mut self, id: &Id) {
        if !self.has_pending_call(id) && !self.ready.contains(id) {
            self.ready.push_back(id.clone());
        }
    }

    pub(crate) fn remove(&mut self, id: &Id) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        self.keys.remove(&entry.key);
        Some(entry)
    }
}

/// Starts to claim a call. The result is reported through `entry::on_claimed`, `entry::replay` or
/// `entry::refuse`.
pub(crate) fn begin(state: &mut State, view: &View<'_>, key: &str, now: Millis, out: &mut Outbox) {
    let key = Key::Claim {
        organisation: view.organisation.into(),
        service: view.service.into(),
        key: key.into(),
    };
    if let Some(holder) = state.claims.keys.get(&key) {
        let resolution = state.claims.entries.get(holder).map(|held| resolve_local(held, view));
        return apply_resolution(state, view.id, resolution.unwrap_or(Resolution::Own), now, out);
    }
    if state.claims.entries.len() >= MAX_CLAIMS {
        let resolution = Resolution::Refuse(Reason::StoreUnavailable);
        return apply_resolution(state, view.id, resolution, now, out);
    }
    let entry = Entry {
        key: key.clone(),
        fingerprint: view.fingerprint,
        version: None,
        is_uncertain: false,
        goal: Goal::Create,
        retries: 0,
    };
    state.claims.keys.insert(key, view.id.clone());
    state.claims.entries.insert(view.id.clone(), entry);
    state.claims.enqueue(view.id);
    claim_table::send_batch(state, now, out);
}

/// Resolves a further call whose key is already claimed in this VM's registry.
fn resolve_local(held: &Entry, view: &View<'_>) -> Resolution {
    match &held.goal {
        _ if held.fingerprint != view.fingerprint => Resolution::Refuse(Reason::KeyReused),
        Goal::Store(stored) => Resolution::Replay(stored.clone()),
        Goal::Abandon => Resolution::Refuse(Reason::OutcomeUnknown),
        Goal::Create | Goal::Hold | Goal::Orphan | Goal::Delete => {
            Resolution::Refuse(Reason::InProgress)
        }
    }
}

/// Stores the outcome of a call, or marks the outcome as unknown if there is none.
pub(crate) fn complete(
    state: &mut State,
    id: &Id,
    stored: Option<&StoredResponse>,
    now: Millis,
    out: &mut Outbox,
) {
    let goal = match stored {
        Some(stored) => Goal::Store(stored.clone()),
        None => Goal::Abandon,
    };
    set_goal(state, id, goal, now, out);
}

/// Stores the outcome of an attempt that ended after its caller disconnected.
pub(crate) fn complete_orphan(
    state: &mut State,
    id: &Id,
    stored: Option<&StoredResponse>,
    now: Millis,
    out: &mut Outbox,
) {
    let entry = state.claims.entries.get(id);
    if entry.is_some_and(|entry| entry.goal == Goal::Orphan) {
        complete(state, id, stored, now, out);
    }
}

/// Deletes the claim of a call of which nothing was sent.
pub(crate) fn discard(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    set_goal(state, id, Goal::Delete, now, out);
}

/// Marks the claim of a call that may have been executed and whose outcome will remain unknown.
pub(crate) fn abandon(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    set_goal(state, id, Goal::Abandon, now, out);
}

/// Holds the claim of a running call after its caller disconnected, because the call may still
/// complete.
pub(crate) fn orphan(state: &mut State, id: &Id, now: Millis) {
    if let Some(entry) = state.claims.entries.get_mut(id) {
        entry.goal = Goal::Orphan;
        let due = (now.after(ORPHAN_TIMEOUT_MS), id.clone());
        state.claims.delayed.insert(due);
    }
}

fn set_goal(state: &mut State, id: &Id, goal: Goal, now: Millis, out: &mut Outbox) {
    let Some(entry) = state.claims.entries.get_mut(id) else {
        return;
    };
    let is_unwritten = entry.version.is_none() && !entry.is_uncertain;
    entry.goal = goal;
    entry.retries = 0;
    if state.claims.has_pending_call(id) {
        return;
    }
    state.claims.delayed.retain(|(_, delayed)| delayed != id);
    if is_unwritten {
        state.claims.ready.retain(|ready| ready != id);
        state.claims.remove(id);
        return;
    }
    state.claims.enqueue(id);
    claim_table::send_batch(state, now, out);
}

pub(crate) fn resolve(state: &State, id: &Id, record: &Record) -> Resolution {
    let fingerprint = state.claims.entries.get(id).map(|entry| entry.fingerprint);
    let Some(Value::Claim(claim)) = &record.value else {
        // The record is unreadable, so it may belong to a call that was executed.
        return Resolution::Refuse(Reason::OutcomeUnknown);
    };
    match &claim.outcome {
        _ if claim.attempt == claim_table::attempt_id(id) => Resolution::Own,
        _ if Some(claim.fingerprint) != fingerprint => Resolution::Refuse(Reason::KeyReused),
        Some(stored) => Resolution::Replay(stored.clone()),
        None if may_still_run(state, claim) => Resolution::Refuse(Reason::InProgress),
        None => Resolution::Refuse(Reason::OutcomeUnknown),
    }
}

/// Whether the process that wrote a claim may still run its call.
fn may_still_run(state: &State, claim: &Claim) -> bool {
    if claim.vm == state.identity.vm {
        // All calls that this process runs are in its registry, and the key is not.
        return false;
    }
    let member = state.members.iter().find(|member| member.entry.vm == claim.vm);
    let is_restarted = member.is_some_and(|member| member.entry.incarnation > claim.incarnation);
    let registry = &state.claims;
    let is_unknown = member.is_none()
        && !registry.listed_vms.is_empty()
        && !registry.listed_vms.contains(&claim.vm);
    let is_gone = registry.removed_vms.contains(&claim.vm) || is_unknown;
    claim.incarnation != NO_HOLDER && !is_restarted && !is_gone
}

/// Answers a call that does not run under a claim of its own.
pub(crate) fn apply_resolution(
    state: &mut State,
    id: &Id,
    resolution: Resolution,
    now: Millis,
    out: &mut Outbox,
) {
    let reason = match resolution {
        Resolution::Replay(stored) => return entry::replay(state, id, stored, now, out),
        Resolution::Refuse(reason) => reason,
        Resolution::Own => Reason::InProgress,
    };
    // An earlier call with the key may have been executed; this one was not.
    let ran = match reason {
        Reason::InProgress | Reason::OutcomeUnknown => Ran::Unknown,
        _ => Ran::No,
    };
    let refusal = Refusal::new(reason).with_ran(ran);
    let refusal = match reason {
        Reason::InProgress | Reason::StoreUnavailable => refusal.with_retry_after(RETRY_AFTER_MS),
        _ => refusal,
    };
    entry::refuse(state, id, refusal, now, out);
}
