//! Writes of claims to the table: batching, lost answers and retries.

use std::mem::{discriminant, Discriminant};

use crate::claim::{
    apply_resolution, resolve, Batch, Entry, Goal, PendingRead, Resolution, NO_HOLDER,
};
use crate::entry;
use crate::ids::{Millis, Name};
use crate::kernel::{Outbox, State};
use crate::outcome::{Counter, Outcome, Reason};
use crate::request::Id;
use crate::store::{Answer, Call, CallId, Claim, Condition, Op, Record, Value, Write, WriteResult};

/// Maximum number of writes in a batch.
const BATCH_MAX: usize = 64;
/// Number of retries after which a claim is left in its current state.
const RETRIES_MAX: u32 = 12;
/// Retries of creating a claim while the store is unavailable; after them the call is refused.
const CREATE_RETRIES_MAX: u32 = 3;
/// First delay before creating a claim is retried, in milliseconds; it doubles. With three retries
/// a call waits 700 ms, which is long enough to reopen a connection.
const CREATE_RETRY_DELAY_MIN_MS: u64 = 100;
/// Number of times that another VM's claim without an outcome is read again before its key counts
/// as in use. A caller has its answer before the VM that sent it has written the outcome.
const IN_PROGRESS_REREADS: u32 = 3;
/// Number of times that a record to be deleted is read again after it was not found.
const DELETE_REREADS: u32 = 2;
/// First delay before another write is retried, in milliseconds; it doubles.
const RETRY_DELAY_MIN_MS: u64 = 500;
/// Longest delay before a write is retried, in milliseconds.
const RETRY_DELAY_MAX_MS: u64 = 30_000;
/// Time after which an unanswered store call counts as lost, in milliseconds.
pub(crate) const ANSWER_TIMEOUT_MS: u64 = 10_000;

/// Sends the next batch if none is in flight.
pub(crate) fn send_batch(state: &mut State, now: Millis, out: &mut Outbox) {
    if state.claims.in_flight.is_some() {
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
        match build_write(state, &id, entry) {
            Some(write) => {
                writes.push(write);
                pending.push((id, discriminant(&entry.goal)));
            }
            // The version is unknown, so the record has to be read first.
            None => read_record(state, &id, now, out),
        }
    }
    if writes.is_empty() {
        return;
    }
    let call = state.next_call_id();
    state.claims.in_flight = Some(Batch { call, sent_at: now, writes: pending });
    let op = Op::Write(writes);
    out.push(Outcome::Store(Call { id: call, op }));
}

/// The write that brings the record to the entry's goal, or `None` if the record's version has to
/// be read first.
fn build_write(state: &State, id: &Id, entry: &Entry) -> Option<Write> {
    let claim = |incarnation, outcome| {
        Some(Value::Claim(Claim {
            attempt: attempt_id(id),
            vm: state.identity.vm.clone(),
            incarnation,
            fingerprint: entry.fingerprint,
            outcome,
        }))
    };
    let own = state.identity.incarnation;
    let value = match &entry.goal {
        Goal::Create | Goal::Hold | Goal::Orphan => claim(own, None),
        Goal::Store(stored) => claim(own, Some(stored.clone())),
        Goal::Abandon => claim(NO_HOLDER, None),
        Goal::Delete => None,
    };
    let condition = match (&entry.goal, entry.version) {
        (Goal::Create, _) => Condition::Absent,
        (_, Some(version)) => Condition::Version(version),
        (_, None) => return None,
    };
    Some(Write { key: entry.key.clone(), condition, value })
}

/// The attempt id in a claim. It is unique, because no request id is used twice.
pub(crate) fn attempt_id(id: &Id) -> Name {
    id.to_string().into()
}

fn read_record(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(entry) = state.claims.entries.get(id) else {
        return;
    };
    let op = Op::Read(entry.key.clone());
    let call = state.next_call_id();
    let (id, sent_at) = (id.clone(), now);
    state.claims.pending_reads.insert(call, PendingRead { id, sent_at });
    out.push(Outcome::Store(Call { id: call, op }));
}

pub(crate) fn tick(state: &mut State, now: Millis, out: &mut Outbox) {
    let registry = &state.claims;
    let is_timed_out = |sent_at: Millis| now.since(sent_at) >= ANSWER_TIMEOUT_MS;
    let batches = registry.in_flight.iter().filter(|batch| is_timed_out(batch.sent_at));
    let reads = registry.pending_reads.iter().filter(|(_, read)| is_timed_out(read.sent_at));
    let mut timed_out: Vec<CallId> = batches.map(|batch| batch.call).collect();
    timed_out.extend(reads.map(|(call, _)| *call));
    timed_out.sort();
    for call in timed_out {
        on_answer(state, call, &Answer::Unknown, now, out);
    }
    while let Some((at, id)) = state.claims.delayed.first().cloned() {
        if at > now {
            break;
        }
        state.claims.delayed.pop_first();
        if let Some(entry) = state.claims.entries.get_mut(&id) {
            if entry.goal == Goal::Orphan {
                entry.goal = Goal::Abandon;
            }
            state.claims.enqueue(&id);
        }
    }
    send_batch(state, now, out);
}

pub(crate) fn on_answer(
    state: &mut State,
    call: CallId,
    answer: &Answer,
    now: Millis,
    out: &mut Outbox,
) {
    if let Some(found) = state.claims.pending_reads.remove(&call) {
        on_read_answer(state, &found.id, answer, now, out);
    } else if state.claims.in_flight.as_ref().is_some_and(|batch| batch.call == call) {
        let writes = state.claims.in_flight.take().map(|batch| batch.writes);
        on_batch_answer(state, &writes.unwrap_or_default(), answer, now, out);
    } else {
        return;
    }
    send_batch(state, now, out);
}

/// Handles the answer to a batch.
fn on_batch_answer(
    state: &mut State,
    writes: &[(Id, Discriminant<Goal>)],
    answer: &Answer,
    now: Millis,
    out: &mut Outbox,
) {
    match answer {
        Answer::Written(written) if written.len() == writes.len() => {
            for ((id, kind), written) in writes.iter().zip(written) {
                on_write_result(state, id, *kind, written, now, out);
            }
        }
        Answer::Unavailable => {
            for (id, _) in writes {
                on_write_failed(state, id, now, out);
            }
        }
        _ => {
            out.count(Counter::Event("claim_answer_lost"));
            for (id, _) in writes {
                if let Some(entry) = state.claims.entries.get_mut(id) {
                    entry.is_uncertain = true;
                }
                read_record(state, id, now, out);
            }
        }
    }
}

/// Handles the result of one write of a batch.
fn on_write_result(
    state: &mut State,
    id: &Id,
    kind: Discriminant<Goal>,
    written: &WriteResult,
    now: Millis,
    out: &mut Outbox,
) {
    let Some(entry) = state.claims.entries.get_mut(id) else {
        return;
    };
    match written {
        WriteResult::Applied(version) => {
            let is_finished = entry.version.is_some() && discriminant(&entry.goal) == kind;
            if is_finished {
                state.claims.remove(id);
                return;
            }
            entry.version = Some(*version);
            on_claim_written(state, id, now, out);
        }
        WriteResult::Conflict(record) => on_record(state, id, record.as_ref(), now, out),
    }
}

/// The claim is in the table. Lets the call run, unless it has ended meanwhile.
fn on_claim_written(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(entry) = state.claims.entries.get_mut(id) else {
        return;
    };
    if entry.goal == Goal::Create {
        entry.goal = Goal::Hold;
        return entry::on_claimed(state, id, now, out);
    }
    state.claims.enqueue(id);
}

/// Handles the record found under a claim's key after a conflict or a lost answer.
fn on_record(state: &mut State, id: &Id, record: Option<&Record>, now: Millis, out: &mut Outbox) {
    let Some(entry) = state.claims.entries.get_mut(id) else {
        return;
    };
    let Some(record) = record else {
        // A write whose answer was lost may still be applied, so a deletion reads the record again.
        let must_reread = entry.goal == Goal::Delete && entry.retries < DELETE_REREADS;
        return match entry.goal == Goal::Create || must_reread {
            true => retry_later(state, id, now, out),
            false => drop(state.claims.remove(id)),
        };
    };
    let resolution = resolve(state, id, record);
    let Some(entry) = state.claims.entries.get_mut(id) else {
        return;
    };
    match (&entry.goal, resolution) {
        (_, Resolution::Own) if is_up_to_date(&entry.goal, record) => drop(state.claims.remove(id)),
        (_, Resolution::Own) => {
            entry.version = Some(record.version);
            on_claim_written(state, id, now, out);
        }
        (Goal::Create, Resolution::Refuse(Reason::InProgress))
            if entry.retries < IN_PROGRESS_REREADS =>
        {
            retry_later(state, id, now, out);
        }
        (Goal::Create, resolution) => {
            state.claims.remove(id);
            apply_resolution(state, id, resolution, now, out);
        }
        (_, _) => drop(state.claims.remove(id)),
    }
}

/// Whether the record already matches the goal.
fn is_up_to_date(goal: &Goal, record: &Record) -> bool {
    let Some(Value::Claim(claim)) = &record.value else {
        return false;
    };
    match goal {
        Goal::Store(_) => claim.outcome.is_some(),
        Goal::Abandon => claim.incarnation == NO_HOLDER,
        _ => false,
    }
}

fn on_read_answer(state: &mut State, id: &Id, answer: &Answer, now: Millis, out: &mut Outbox) {
    match answer {
        Answer::Read(record) => on_record(state, id, record.as_ref(), now, out),
        _ => retry_later(state, id, now, out),
    }
}

/// Handles a write that had no effect.
fn on_write_failed(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(entry) = state.claims.entries.get(id) else {
        return;
    };
    let is_unwritten = entry.version.is_none() && !entry.is_uncertain;
    match (&entry.goal, is_unwritten) {
        (Goal::Create, true) if entry.retries < CREATE_RETRIES_MAX => {
            retry_later(state, id, now, out)
        }
        (Goal::Create, true) => {
            state.claims.remove(id);
            let resolution = Resolution::Refuse(Reason::StoreUnavailable);
            apply_resolution(state, id, resolution, now, out);
        }
        (_, true) => drop(state.claims.remove(id)),
        _ => retry_later(state, id, now, out),
    }
}

/// Retries after a delay, or gives up after `RETRIES_MAX` retries.
fn retry_later(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(entry) = state.claims.entries.get_mut(id) else {
        return;
    };
    entry.retries += 1;
    if entry.retries > RETRIES_MAX {
        out.count(Counter::Event("claim_given_up"));
        out.warn(format!("gave up on the claim of {id} after {RETRIES_MAX} retries"));
        state.claims.remove(id);
        let resolution = Resolution::Refuse(Reason::StoreUnavailable);
        return apply_resolution(state, id, resolution, now, out);
    }
    let first_ms = match entry.goal {
        Goal::Create => CREATE_RETRY_DELAY_MIN_MS,
        _ => RETRY_DELAY_MIN_MS,
    };
    let ms = (first_ms << (entry.retries - 1)).min(RETRY_DELAY_MAX_MS);
    state.claims.delayed.insert((now.after(ms), id.clone()));
}
