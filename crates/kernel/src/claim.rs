//! Claims of calls that run at most once.
//!
//! A claim is written to the table before the call may be sent, so that no other VM sends the same
//! call. Writes go in batches: while one is in flight the next gathers.

use std::collections::{BTreeSet, VecDeque};
use std::mem::{discriminant, Discriminant};

use crate::entry;
use crate::event::{Event, Vm};
use crate::ids::{Incarnation, Millis, Name, Revision};
use crate::kernel::{Outbox, State};
use crate::map::{Map, Set};
use crate::outcome::{Counter, Outcome, Ran, Reason, Refusal};
use crate::plugin::control;
use crate::request::{Id, View};
use crate::store::{
    Answer, Call, CallId, Claim, Condition, Key, Op, Record, Stored, Value, Write, Written,
};

/// Writes in one batch.
const BATCH_MAX: usize = 64;
/// Claims that this VM keeps at a time.
const CLAIMS_MAX: usize = 8_192;
/// Failed writes of one claim after which it is left as it stands.
const TRIES_MAX: u32 = 12;
/// Times that a record to be deleted is looked for again after it was not found.
const DELETE_LOOKS: u32 = 2;
/// First delay of a repeated write, in milliseconds; it doubles.
const RETRY_MIN_MS: u64 = 500;
/// Longest delay of a repeated write, in milliseconds.
const RETRY_MAX_MS: u64 = 30_000;
/// Time without an answer after which a call counts as lost, in milliseconds.
const ANSWER_MS: u64 = 10_000;
/// Time for which the answer of a call is still kept after its caller left, in milliseconds.
const ORPHAN_MS: u64 = 60_000;
/// Advice to callers whose key is in use or whose claim cannot be written, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Incarnation in a claim that no process holds any more: it is lower than that of any process.
const NOBODY: Incarnation = Incarnation(0);

/// Claims held or being written by this VM.
#[derive(Debug, Default)]
pub struct Book {
    entries: Map<Id, Entry>,
    keys: Map<Key, Id>,
    ready: VecDeque<Id>,
    delayed: BTreeSet<(Millis, Id)>,
    flight: Option<Flight>,
    reads: Map<CallId, Read>,
    listed: Set<Name>,
    vanished: Set<Name>,
}

/// One claim.
#[derive(Debug)]
struct Entry {
    key: Key,
    fingerprint: u64,
    version: Option<Revision>,
    /// A lost answer left open whether it stands in the table.
    is_uncertain: bool,
    want: Want,
    tries: u32,
}

/// What is to be done about a claim.
#[derive(Debug, Clone, PartialEq)]
enum Want {
    /// Write it, then run the call.
    Create,
    /// Nothing: the call runs.
    Hold,
    /// Nothing yet: the caller left while the call ran, and its answer may still come.
    Orphan,
    /// Keep the outcome.
    Store(Stored),
    /// Delete it: nothing was sent.
    Delete,
    /// Mark it as held by nobody: the call may have run.
    Abandon,
}

/// The batch whose answer is awaited.
#[derive(Debug)]
struct Flight {
    call: CallId,
    sent: Millis,
    writes: Vec<(Id, Discriminant<Want>)>,
}

impl Flight {
    fn has(&self, id: &Id) -> bool {
        self.writes.iter().any(|(written, _)| written == id)
    }
}

/// A record that is read back after a lost answer.
#[derive(Debug)]
struct Read {
    id: Id,
    sent: Millis,
}

/// What a claim in the table means for a new call with its key.
#[derive(Debug, Clone, PartialEq)]
enum Verdict {
    /// It is the call's own claim.
    Own,
    /// An outcome is kept.
    Replay(Stored),
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
    let lost = flight.chain(reads).map(|sent| sent.after(ANSWER_MS));
    lost.chain(delayed).min()
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::Tick => tick(state, now, out),
        Event::Store { call, answer } => answered(state, *call, answer, now, out),
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

    fn is_busy(&self, id: &Id) -> bool {
        let in_flight = self.flight.as_ref().is_some_and(|f| f.has(id));
        in_flight || self.reads.values().any(|read| read.id == *id)
    }

    /// Puts a claim into the next batch.
    fn enqueue(&mut self, id: &Id) {
        if !self.is_busy(id) && !self.ready.contains(id) {
            self.ready.push_back(id.clone());
        }
    }

    fn remove(&mut self, id: &Id) -> Option<Entry> {
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
        let verdict = state
            .claims
            .entries
            .get(holder)
            .map(|held| local(held, view));
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
    pump(state, now, out);
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
    stored: Option<&Stored>,
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
    stored: Option<&Stored>,
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
    pump(state, now, out);
}

/// Sends the next batch if none is in flight.
fn pump(state: &mut State, now: Millis, out: &mut Outbox) {
    if state.claims.flight.is_some() {
        return;
    }
    let mut pending = Vec::new();
    let mut writes = Vec::new();
    while writes.len() < BATCH_MAX {
        let Some(id) = state.claims.ready.pop_front() else {
            break;
        };
        let Some(entry) = state.claims.entries.get(&id) else {
            continue;
        };
        match write(state, &id, entry) {
            Some(write) => {
                writes.push(write);
                pending.push((id, discriminant(&entry.want)));
            }
            // Its version is not known: the record has to be read first.
            None => read(state, &id, now, out),
        }
    }
    if writes.is_empty() {
        return;
    }
    let call = state.call_id();
    state.claims.flight = Some(Flight {
        call,
        sent: now,
        writes: pending,
    });
    let op = Op::Write(writes);
    out.push(Outcome::Store(Call { id: call, op }));
}

/// The write that `entry` waits for, or `None` if the record's version is needed first.
fn write(state: &State, id: &Id, entry: &Entry) -> Option<Write> {
    let claim = |incarnation, outcome| {
        Some(Value::Claim(Claim {
            attempt: attempt(id),
            vm: state.identity.vm.clone(),
            incarnation,
            fingerprint: entry.fingerprint,
            outcome,
        }))
    };
    let own = state.identity.incarnation;
    let value = match &entry.want {
        Want::Create | Want::Hold | Want::Orphan => claim(own, None),
        Want::Store(stored) => claim(own, Some(stored.clone())),
        Want::Abandon => claim(NOBODY, None),
        Want::Delete => None,
    };
    let condition = match (&entry.want, entry.version) {
        (Want::Create, _) => Condition::Absent,
        (_, Some(version)) => Condition::Version(version),
        (_, None) => return None,
    };
    Some(Write {
        key: entry.key.clone(),
        condition,
        value,
    })
}

/// The attempt id in a claim: unique, because no request id is used twice.
fn attempt(id: &Id) -> Name {
    id.to_string().into()
}

fn read(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(entry) = state.claims.entries.get(id) else {
        return;
    };
    let op = Op::Read(entry.key.clone());
    let call = state.call_id();
    let (id, sent) = (id.clone(), now);
    state.claims.reads.insert(call, Read { id, sent });
    out.push(Outcome::Store(Call { id: call, op }));
}

fn tick(state: &mut State, now: Millis, out: &mut Outbox) {
    let book = &state.claims;
    let is_lost = |sent: Millis| now.since(sent) >= ANSWER_MS;
    let flight = book.flight.iter().filter(|flight| is_lost(flight.sent));
    let reads = book.reads.iter().filter(|(_, read)| is_lost(read.sent));
    let mut lost: Vec<CallId> = flight.map(|flight| flight.call).collect();
    lost.extend(reads.map(|(call, _)| *call));
    lost.sort();
    for call in lost {
        answered(state, call, &Answer::Unknown, now, out);
    }
    while let Some((at, id)) = state.claims.delayed.first().cloned() {
        if at > now {
            break;
        }
        state.claims.delayed.pop_first();
        if let Some(entry) = state.claims.entries.get_mut(&id) {
            if entry.want == Want::Orphan {
                entry.want = Want::Abandon;
            }
            state.claims.enqueue(&id);
        }
    }
    pump(state, now, out);
}

fn answered(state: &mut State, call: CallId, answer: &Answer, now: Millis, out: &mut Outbox) {
    if let Some(found) = state.claims.reads.remove(&call) {
        read_back(state, &found.id, answer, now, out);
    } else if state.claims.flight.as_ref().is_some_and(|f| f.call == call) {
        let writes = state.claims.flight.take().map(|flight| flight.writes);
        landed(state, &writes.unwrap_or_default(), answer, now, out);
    } else {
        return;
    }
    pump(state, now, out);
}

/// The answer to a batch.
fn landed(
    state: &mut State,
    writes: &[(Id, Discriminant<Want>)],
    answer: &Answer,
    now: Millis,
    out: &mut Outbox,
) {
    match answer {
        Answer::Written(written) if written.len() == writes.len() => {
            for ((id, kind), written) in writes.iter().zip(written) {
                wrote(state, id, *kind, written, now, out);
            }
        }
        Answer::Unavailable => {
            for (id, _) in writes {
                failed(state, id, now, out);
            }
        }
        _ => {
            out.count(Counter::Event("claim_answer_lost"));
            for (id, _) in writes {
                if let Some(entry) = state.claims.entries.get_mut(id) {
                    entry.is_uncertain = true;
                }
                read(state, id, now, out);
            }
        }
    }
}

/// One write of a batch was decided by the table.
fn wrote(
    state: &mut State,
    id: &Id,
    kind: Discriminant<Want>,
    written: &Written,
    now: Millis,
    out: &mut Outbox,
) {
    let Some(entry) = state.claims.entries.get_mut(id) else {
        return;
    };
    match written {
        Written::Applied(version) => {
            let is_settled = entry.version.is_some() && discriminant(&entry.want) == kind;
            if is_settled {
                state.claims.remove(id);
                return;
            }
            entry.version = Some(*version);
            created(state, id, now, out);
        }
        Written::Conflict(record) => found(state, id, record.as_ref(), now, out),
    }
}

/// The claim stands in the table: lets the call run, unless it has been given up meanwhile.
fn created(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(entry) = state.claims.entries.get_mut(id) else {
        return;
    };
    if entry.want == Want::Create {
        entry.want = Want::Hold;
        return entry::claimed(state, id, now, out);
    }
    state.claims.enqueue(id);
}

/// The record under the key of a claim after a conflict or a lost answer.
fn found(state: &mut State, id: &Id, record: Option<&Record>, now: Millis, out: &mut Outbox) {
    let Some(entry) = state.claims.entries.get_mut(id) else {
        return;
    };
    let Some(record) = record else {
        // A write whose answer was lost may still take effect, so a deletion looks again.
        let looks_again = entry.want == Want::Delete && entry.tries < DELETE_LOOKS;
        return match entry.want == Want::Create || looks_again {
            true => delay(state, id, now, out),
            false => drop(state.claims.remove(id)),
        };
    };
    let verdict = judge(state, id, record);
    let Some(entry) = state.claims.entries.get_mut(id) else {
        return;
    };
    match (&entry.want, verdict) {
        (_, Verdict::Own) if is_done(&entry.want, record) => drop(state.claims.remove(id)),
        (_, Verdict::Own) => {
            entry.version = Some(record.version);
            created(state, id, now, out);
        }
        (Want::Create, verdict) => {
            state.claims.remove(id);
            conclude(state, id, verdict, now, out);
        }
        (_, _) => drop(state.claims.remove(id)),
    }
}

/// Whether the record already says what is wanted.
fn is_done(want: &Want, record: &Record) -> bool {
    let Some(Value::Claim(claim)) = &record.value else {
        return false;
    };
    match want {
        Want::Store(_) => claim.outcome.is_some(),
        Want::Abandon => claim.incarnation == NOBODY,
        _ => false,
    }
}

fn judge(state: &State, id: &Id, record: &Record) -> Verdict {
    let fingerprint = state.claims.entries.get(id).map(|entry| entry.fingerprint);
    let Some(Value::Claim(claim)) = &record.value else {
        // It cannot be read, so it may belong to a call that ran.
        return Verdict::Refuse(Reason::OutcomeUnknown);
    };
    match &claim.outcome {
        _ if claim.attempt == attempt(id) => Verdict::Own,
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
    let member = state
        .members
        .iter()
        .find(|member| member.entry.vm == claim.vm);
    let is_restarted = member.is_some_and(|member| member.entry.incarnation > claim.incarnation);
    let book = &state.claims;
    let is_unknown =
        member.is_none() && !book.listed.is_empty() && !book.listed.contains(&claim.vm);
    let is_gone = book.vanished.contains(&claim.vm) || is_unknown;
    claim.incarnation != NOBODY && !is_restarted && !is_gone
}

fn read_back(state: &mut State, id: &Id, answer: &Answer, now: Millis, out: &mut Outbox) {
    match answer {
        Answer::Read(record) => found(state, id, record.as_ref(), now, out),
        _ => delay(state, id, now, out),
    }
}

/// A write had no effect.
fn failed(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(entry) = state.claims.entries.get(id) else {
        return;
    };
    let is_unwritten = entry.version.is_none() && !entry.is_uncertain;
    match (&entry.want, is_unwritten) {
        (Want::Create, true) => {
            state.claims.remove(id);
            let verdict = Verdict::Refuse(Reason::StoreUnavailable);
            conclude(state, id, verdict, now, out);
        }
        (_, true) => drop(state.claims.remove(id)),
        _ => delay(state, id, now, out),
    }
}

/// Tries again later; gives up after some attempts.
fn delay(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(entry) = state.claims.entries.get_mut(id) else {
        return;
    };
    entry.tries += 1;
    if entry.tries > TRIES_MAX {
        out.count(Counter::Event("claim_given_up"));
        out.warn(format!("claim of {id} could not be settled"));
        state.claims.remove(id);
        let verdict = Verdict::Refuse(Reason::StoreUnavailable);
        return conclude(state, id, verdict, now, out);
    }
    let ms = (RETRY_MIN_MS << (entry.tries - 1)).min(RETRY_MAX_MS);
    state.claims.delayed.insert((now.after(ms), id.clone()));
}

/// Answers a call that will not run under a claim of its own.
fn conclude(state: &mut State, id: &Id, verdict: Verdict, now: Millis, out: &mut Outbox) {
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
