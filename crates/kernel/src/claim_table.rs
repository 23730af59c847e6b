//! The writes of claims to the table: batches, lost answers and repetitions.

use std::mem::{discriminant, Discriminant};

use crate::claim::{conclude, judge, Entry, Flight, Read, Verdict, Want, NOBODY};
use crate::entry;
use crate::ids::{Millis, Name};
use crate::kernel::{Outbox, State};
use crate::outcome::{Counter, Outcome, Reason};
use crate::request::Id;
use crate::store::{Answer, Call, CallId, Claim, Condition, Op, Record, Value, Write, Written};

/// Writes in one batch.
const BATCH_MAX: usize = 64;
/// Failed writes of one claim after which it is left as it stands.
const TRIES_MAX: u32 = 12;
/// Tries to create a claim while the store has no effect to offer; then the call is refused.
const CREATE_TRIES: u32 = 3;
/// First delay before a claim is created again, in milliseconds; it doubles. With three tries a call
/// waits 700 ms, long enough for a connection to be opened again.
const CREATE_RETRY_MS: u64 = 100;
/// Times that a claim of another VM without an outcome is read again before its key counts as in use:
/// a caller has its answer before the VM that answered has written the outcome.
const HELD_LOOKS: u32 = 3;
/// Times that a record to be deleted is looked for again after it was not found.
const DELETE_LOOKS: u32 = 2;
/// First delay of a repeated write, in milliseconds; it doubles.
const RETRY_MIN_MS: u64 = 500;
/// Longest delay of a repeated write, in milliseconds.
const RETRY_MAX_MS: u64 = 30_000;
/// Time without an answer after which a call counts as lost, in milliseconds.
pub(crate) const ANSWER_MS: u64 = 10_000;

/// Sends the next batch if none is in flight.
pub(crate) fn pump(state: &mut State, now: Millis, out: &mut Outbox) {
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
    let call = state.next_call_id();
    state.claims.flight = Some(Flight { call, sent: now, writes: pending });
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
    Some(Write { key: entry.key.clone(), condition, value })
}

/// The attempt id in a claim: unique, because no request id is used twice.
pub(crate) fn attempt(id: &Id) -> Name {
    id.to_string().into()
}

fn read(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(entry) = state.claims.entries.get(id) else {
        return;
    };
    let op = Op::Read(entry.key.clone());
    let call = state.next_call_id();
    let (id, sent) = (id.clone(), now);
    state.claims.reads.insert(call, Read { id, sent });
    out.push(Outcome::Store(Call { id: call, op }));
}

pub(crate) fn tick(state: &mut State, now: Millis, out: &mut Outbox) {
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

pub(crate) fn answered(
    state: &mut State,
    call: CallId,
    answer: &Answer,
    now: Millis,
    out: &mut Outbox,
) {
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
        return entry::on_claimed(state, id, now, out);
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
        (Want::Create, Verdict::Refuse(Reason::InProgress)) if entry.tries < HELD_LOOKS => {
            delay(state, id, now, out);
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
        (Want::Create, true) if entry.tries < CREATE_TRIES => delay(state, id, now, out),
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
    let first_ms = match entry.want {
        Want::Create => CREATE_RETRY_MS,
        _ => RETRY_MIN_MS,
    };
    let ms = (first_ms << (entry.tries - 1)).min(RETRY_MAX_MS);
    state.claims.delayed.insert((now.after(ms), id.clone()));
}
