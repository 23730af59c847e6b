//! Quarantine entries in the table: written, read back, ended.

use crate::ids::{Millis, Revision};
use crate::kernel::{Outbox, State};
use crate::map::Set;
use crate::outcome::{Counter, Outcome};
use crate::peer::Suspect;
use crate::quarantine::{Body, Lift, Pending, Registry, LIST_MS, QUARANTINE_MS};
use crate::retry::{draw, seed};
use crate::store::{self, Answer, Call, CallId, Condition, Family, Key, Op, Value, Write, Written};

/// Time after which a failed store call is repeated, in milliseconds.
const RETRY_MS: u64 = 5_000;

fn call(state: &mut State, op: Op, pending: Pending, out: &mut Outbox) {
    let id = state.next_call_id();
    state.quarantine.calls.insert(id, pending);
    out.push(Outcome::Store(Call { id, op }));
}

pub(crate) fn list(state: &mut State, now: Millis, out: &mut Outbox) {
    if now < state.quarantine.list_at {
        return;
    }
    // Answers that never came would otherwise be waited for without a bound.
    state.quarantine.calls.retain(|_, pending| !matches!(pending, Pending::List { .. }));
    let jitter = draw(seed(&state.identity), now.0) % (LIST_MS / 10);
    state.quarantine.list_at = now.after(LIST_MS - jitter);
    let list = Op::List(Family::Quarantine);
    call(state, list, Pending::List { sent: now }, out);
}

/// Writes and deletes what is due and drops what has expired.
pub(crate) fn sweep(state: &mut State, now: Millis, out: &mut Outbox) {
    state.quarantine.swept = now;
    let mut due: Vec<(u64, Due)> = Vec::new();
    for (fingerprint, body) in &state.quarantine.bodies {
        due.extend(body.due(now).map(|due| (*fingerprint, due)));
    }
    for (fingerprint, lift) in &state.quarantine.lifted {
        due.extend(lift.due(now).map(|due| (*fingerprint, due)));
    }
    due.sort_by_key(|(fingerprint, _)| *fingerprint);
    for (fingerprint, due) in due {
        act(state, fingerprint, due, now, out);
    }
}

/// What is due for one body.
#[derive(Debug, Clone, Copy)]
enum Due {
    Store,
    Expire(Revision),
    Drop,
    DeleteLifted,
    DropLifted,
}

impl Body {
    fn due(&self, now: Millis) -> Option<Due> {
        let Some(until) = self.until else {
            return (!self.is_suspect(now)).then_some(Due::Drop);
        };
        if now < until {
            let is_due = self.store_at.is_some_and(|at| at <= now);
            return is_due.then_some(Due::Store);
        }
        match self.stored {
            None => Some(Due::Drop),
            Some((version, _)) if now >= until.after(self.delete_after_ms) => {
                Some(Due::Expire(version))
            }
            Some(_) => None,
        }
    }
}

impl Lift {
    fn due(&self, now: Millis) -> Option<Due> {
        if self.delete_at.is_some_and(|at| at <= now) {
            return Some(Due::DeleteLifted);
        }
        (now.since(self.at) >= QUARANTINE_MS).then_some(Due::DropLifted)
    }
}

fn act(state: &mut State, fingerprint: u64, due: Due, now: Millis, out: &mut Outbox) {
    let write = |condition, value| {
        let key = Key::Quarantine(fingerprint);
        Op::Write(vec![Write { key, condition, value }])
    };
    let registry = &mut state.quarantine;
    match due {
        Due::Drop => drop(registry.bodies.remove(&fingerprint)),
        Due::DropLifted => drop(registry.lifted.remove(&fingerprint)),
        Due::DeleteLifted => {
            if let Some(lift) = registry.lifted.get_mut(&fingerprint) {
                lift.delete_at = Some(now.after(RETRY_MS));
            }
            let op = write(Condition::Any, None);
            call(state, op, Pending::Lift(fingerprint), out);
        }
        Due::Expire(version) => {
            if let Some(body) = registry.bodies.get_mut(&fingerprint) {
                body.delete_after_ms = now.after(RETRY_MS).since(body.until.unwrap_or(now));
            }
            let op = write(Condition::Version(version), None);
            call(state, op, Pending::Expire(fingerprint), out);
        }
        Due::Store => {
            let Some(body) = registry.bodies.get_mut(&fingerprint) else {
                return;
            };
            body.store_at = Some(now.after(RETRY_MS));
            let value = Value::Quarantine(store::Quarantine {
                deaths: body.deaths,
                organisation: body.organisation.clone(),
                service: body.service.clone(),
                remaining_s: body.until.map_or(0, |until| until.since(now)).div_ceil(1_000),
            });
            let op = write(Condition::Absent, Some(value));
            call(state, op, Pending::Store(fingerprint), out);
        }
    }
}

pub(crate) fn answered(
    state: &mut State,
    id: CallId,
    answer: &Answer,
    now: Millis,
    out: &mut Outbox,
) {
    let Some(pending) = state.quarantine.calls.remove(&id) else {
        return;
    };
    let registry = &mut state.quarantine;
    match (pending, answer) {
        (Pending::List { sent }, Answer::Listed(records)) => {
            listed(registry, records, sent, now, out);
        }
        (Pending::List { .. }, _) => registry.list_at = now.after(RETRY_MS),
        (Pending::Store(fingerprint), Answer::Written(written)) => {
            let version = match written.first() {
                Some(Written::Applied(version)) => Some(*version),
                Some(Written::Conflict(Some(record))) => Some(record.version),
                _ => None,
            };
            if let (Some(version), Some(body)) = (version, registry.bodies.get_mut(&fingerprint)) {
                body.stored = Some((version, now));
                body.store_at = None;
            }
        }
        (Pending::Expire(fingerprint), Answer::Written(_)) => {
            registry.bodies.remove(&fingerprint);
        }
        (Pending::Lift(fingerprint), Answer::Written(_)) => {
            if let Some(lift) = registry.lifted.get_mut(&fingerprint) {
                lift.delete_at = None;
            }
        }
        // Without an answer the write is repeated when it is due again.
        _ => {}
    }
}

/// The entries of the table as they were read by a call sent at `sent`.
fn listed(
    registry: &mut Registry,
    records: &[store::Record],
    sent: Millis,
    now: Millis,
    out: &mut Outbox,
) {
    let mut found = Set::default();
    for record in records {
        match (&record.key, &record.value) {
            (Key::Quarantine(fingerprint), Some(Value::Quarantine(value))) => {
                found.insert(*fingerprint);
                adopt(registry, *fingerprint, value, record.version, now);
            }
            _ => out.count(Counter::Ignored("quarantine_record")),
        }
    }
    // What was in the table and is not any more was lifted or has expired.
    registry.bodies.retain(|fingerprint, body| {
        let was_stored = body.stored.is_some_and(|(_, learned)| learned < sent);
        found.contains(fingerprint) || !was_stored
    });
}

fn adopt(
    registry: &mut Registry,
    fingerprint: u64,
    value: &store::Quarantine,
    version: Revision,
    now: Millis,
) {
    if registry.lifted.contains_key(&fingerprint) {
        return;
    }
    let suspect = Suspect {
        fingerprint,
        organisation: value.organisation.clone(),
        service: value.service.clone(),
    };
    let body = registry.body(fingerprint, &suspect, now);
    body.store_at = None;
    let is_new = body.stored.is_none_or(|(known, _)| known != version);
    body.stored = Some((version, now));
    if !is_new {
        // The remaining time counts from the write, so it is taken only once.
        return;
    }
    let remaining = value.remaining_s.saturating_mul(1_000).min(QUARANTINE_MS);
    let until = now.after(remaining);
    body.until = Some(body.until.map_or(until, |current| current.min(until)));
    body.deaths = body.deaths.max(value.deaths);
    body.delete_after_ms = body.delete_after_ms.max(LIST_MS);
}
