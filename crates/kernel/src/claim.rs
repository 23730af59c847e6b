//! Claims of calls that run at most once.
//!
//! A claim is written to the table before the call may be sent, so that no other VM sends the same
//! call. Writes go in batches: while one is in flight the next gathers.

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

/// Claims that this VM keeps at a time.
const CLAIMS_MAX: usize = 8_192;
/// Time for which the answer of a call is still kept after its caller left, in milliseconds.
const ORPHAN_MS: u64 = 60_000;
/// Advice to callers whose key is in use or whose claim cannot be written, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Incarnation in a claim that no process holds any more: it is lower than that of any process.
pub(crate) const NOBODY: Incarnation = Incarnation(0);

/// Claims held or being written by this VM.
#[derive(Debug, Default)]
pub struct Book {
    pub(crate) entries: Map<Id, Entry>,
    pub(crate) keys: Map<Key, Id>,
    pub(crate) ready: VecDeque<Id>,
    pub(crate) delayed: BTreeSet<(Millis, Id)>,
    pub(crate) flight: Option<Flight>,
    pub(crate) reads: Map<CallId, Read>,
    pub(crate) listed: Set<Name>,
    pub(crate) vanished: Set<Name>,
}

/// One claim.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) key: Key,
    pub(crate) fingerprint: u64,
    pub(crate) version: Option<Revision>,
    /// A lost answer left open whether it stands in the table.
    pub(crate) is_uncertain: bool,
    pub(crate) want: Want,
    pub(crate) tries: u32,
}

/// What is to be done about a claim.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Want {
    /// Write it, then run the call.
    Create,
    /// Nothing: the call runs.
    Hold,
    /// Nothing yet: the caller left while the call ran, and its answer may still come.
    Orphan,
    /// Keep the outcome.
    Store(StoredResponse),
    /// Delete it: nothing was sent.
    Delete,
    /// Mark it as held by nobody: the call may have run.
    Abandon,
}

/// The batch whose answer is awaited.
#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) call: CallId,
    pub(crate) sent: Millis,
    pub(crate) writes: Vec<(Id, Discriminant<Want>)>,
}

impl Flight {
    pub(crate) fn has(&self, id: &Id) -> bool {
        self.writes.iter().any(|(written, _)| written == id)
    }
}

/// A record that is read back after a lost answer.
#[derive(Debug)]
pub(crate) struct Read {
    pub(crate) id: Id,
    pub(crate) sent: Millis,
}

/// What a claim in the table means for a new call with its key.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Verdict {
    /// It is the call's own claim.
    Own,
    /// An outcome is kept.
    Replay(StoredResponse),
    /// The call must be refused.
    Refuse(Reason),
}

inventory::submit! {
    control::Plugin { name: "claim", rank: 40, handle, wakeup }
}

fn wakeup(state: &State) -> Option<Millis> {
    let book = &state.claims;
    let delayed = book.delayed.first().map(|(at, _)| *at);
    let flight = book.flight.iter().map(|flight| flight.sent);
    let reads = book.reads.values().map(|read| read.sent);
    let lost = flight.chain(reads).map(|sent| sent.after(claim_table::ANSWER_MS));
    lost.chain(delayed).min()
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::Tick => claim_table::tick(state, now, out),
        Event::Store { call, answer } => claim_table::answered(state, *call, answer, now, out),
        Event::Vms(vms) => state.claims.list(vms),
        _ => {}
    }
}

impl Book {
    /// Whether no write is outstanding.
    pub fn is_settled(&self) -> bool {
        let rests = |entry: &Entry| matches!(entry.want, Want::Hold | Want::Orphan);
        self.entries.values().all(rests)
    }

    /// Number of claims that are held or being written.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no claim is held or being written.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn list(&mut self, vms: &[Vm]) {
        let listed: Set<Name> = vms.iter().map(|vm| vm.name.clone()).collect();
        let vanished = self.listed.difference(&listed).cloned();
        self.vanished.extend(vanished);
        self.vanished.retain(|vm| !listed.contains(vm));
        if self.vanished.len() > CLAIMS_MAX {
            self.vanished.clear();
        }
        self.listed = listed;
    }

    pub(crate) fn is_busy(&self, id: &Id) -> bool {
        let in_flight = self.flight.as_ref().is_some_and(|f| f.has(id));
        in_flight || self.reads.values().any(|read| read.id == *id)
    }

    /// Puts a claim into the next batch.
    pub(crate) fn enqueue(&mut self, id: &Id) {
        if !self.is_busy(id) && !self.ready.contains(id) {
            self.ready.push_back(id.clone());
        }
    }

    pub(crate) fn remove(&mut self, id: &Id) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        self.keys.remove(&entry.key);
        Some(entry)
    }
}

/// Starts to claim a call; `entry::claimed`, `entry::replay` or `entry::refuse` follows.
pub(crate) fn begin(state: &mut State, view: &View<'_>, key: &str, now: Millis, out: &mut Outbox) {
    let key = Key::Claim {
        organisation: view.organisation.into(),
        service: view.service.into(),
        key: key.into(),
    };
    if let Some(holder) = state.claims.keys.get(&key) {
        let verdict = state.claims.entries.get(holder).map(|held| local(held, view));
        return conclude(state, view.id, verdict.unwrap_or(Verdict::Own), now, out);
    }
    if state.claims.entries.len() >= CLAIMS_MAX {
        let verdict = Verdict::Refuse(Reason::StoreUnavailable);
        return conclude(state, view.id, verdict, now, out);
    }
    let entry = Entry {
        key: key.clone(),
        fingerprint: view.fingerprint,
        version: None,
        is_uncertain: false,
        want: Want::Create,
        tries: 0,
    };
    state.claims.keys.insert(key, view.id.clone());
    state.claims.entries.insert(view.id.clone(), entry);
    state.claims.enqueue(view.id);
    claim_table::pump(state, now, out);
}

/// Judges a second call with the key of a claim in this VM's own book.
fn local(held: &Entry, view: &View<'_>) -> Verdict {
    match &held.want {
        _ if held.fingerprint != view.fingerprint => Verdict::Refuse(Reason::KeyReused),
        Want::Store(stored) => Verdict::Replay(stored.clone()),
        Want::Abandon => Verdict::Refuse(Reason::OutcomeUnknown),
        Want::Create | Want::Hold | Want::Orphan | Want::Delete => {
            Verdict::Refuse(Reason::InProgress)
        }
    }
}

/// Keeps the outcome of a call; without one the claim says that the outcome is unknown.
pub(crate) fn complete(
    state: &mut State,
    id: &Id,
    stored: Option<&StoredResponse>,
    now: Millis,
    out: &mut Outbox,
) {
    let want = match stored {
        Some(stored) => Want::Store(stored.clone()),
        None => Want::Abandon,
    };
    settle(state, id, want, now, out);
}

/// An attempt ended whose caller had left before.
pub(crate) fn late(
    state: &mut State,
    id: &Id,
    stored: Option<&StoredResponse>,
    now: Millis,
    out: &mut Outbox,
) {
    let entry = state.claims.entries.get(id);
    if entry.is_some_and(|entry| entry.want == Want::Orphan) {
        complete(state, id, stored, now, out);
    }
}

/// Deletes the claim of a call of which nothing was sent.
pub(crate) fn discard(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    settle(state, id, Want::Delete, now, out);
}

/// Marks the claim of a call that may have run and whose outcome will not be known.
pub(crate) fn abandon(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    settle(state, id, Want::Abandon, now, out);
}

/// Keeps the claim of a running call whose caller left, for the case that it still completes.
pub(crate) fn orphan(state: &mut State, id: &Id, now: Millis) {
    if let Some(entry) = state.claims.entries.get_mut(id) {
        entry.want = Want::Orphan;
        let due = (now.after(ORPHAN_MS), id.clone());
        state.claims.delayed.insert(due);
    }
}

fn settle(state: &mut State, id: &Id, want: Want, now: Millis, out: &mut Outbox) {
    let Some(entry) = state.claims.entries.get_mut(id) else {
        return;
    };
    let is_unwritten = entry.version.is_none() && !entry.is_uncertain;
    entry.want = want;
    entry.tries = 0;
    if state.claims.is_busy(id) {
        return;
    }
    state.claims.delayed.retain(|(_, delayed)| delayed != id);
    if is_unwritten {
        state.claims.ready.retain(|ready| ready != id);
        state.claims.remove(id);
        return;
    }
    state.claims.enqueue(id);
    claim_table::pump(state, now, out);
}

pub(crate) fn judge(state: &State, id: &Id, record: &Record) -> Verdict {
    let fingerprint = state.claims.entries.get(id).map(|entry| entry.fingerprint);
    let Some(Value::Claim(claim)) = &record.value else {
        // It cannot be read, so it may belong to a call that ran.
        return Verdict::Refuse(Reason::OutcomeUnknown);
    };
    match &claim.outcome {
        _ if claim.attempt == claim_table::attempt(id) => Verdict::Own,
        _ if Some(claim.fingerprint) != fingerprint => Verdict::Refuse(Reason::KeyReused),
        Some(stored) => Verdict::Replay(stored.clone()),
        None if is_held(state, claim) => Verdict::Refuse(Reason::InProgress),
        None => Verdict::Refuse(Reason::OutcomeUnknown),
    }
}

/// Whether the process that wrote a claim may still run its call.
fn is_held(state: &State, claim: &Claim) -> bool {
    if claim.vm == state.identity.vm {
        // Every call that this process runs is in its book, which has no such key.
        return false;
    }
    let member = state.members.iter().find(|member| member.entry.vm == claim.vm);
    let is_restarted = member.is_some_and(|member| member.entry.incarnation > claim.incarnation);
    let book = &state.claims;
    let is_unknown =
        member.is_none() && !book.listed.is_empty() && !book.listed.contains(&claim.vm);
    let is_gone = book.vanished.contains(&claim.vm) || is_unknown;
    claim.incarnation != NOBODY && !is_restarted && !is_gone
}

/// Answers a call that will not run under a claim of its own.
pub(crate) fn conclude(
    state: &mut State,
    id: &Id,
    verdict: Verdict,
    now: Millis,
    out: &mut Outbox,
) {
    let reason = match verdict {
        Verdict::Replay(stored) => return entry::replay(state, id, stored, now, out),
        Verdict::Refuse(reason) => reason,
        Verdict::Own => Reason::InProgress,
    };
    // An earlier call with the key may have run; this attempt did not.
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
