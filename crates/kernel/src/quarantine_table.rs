//! Quarantine records in the table: writes, reads and deletions.

use crate::ids::{Millis, Revision};
use crate::kernel::{Outbox, State};
use crate::map::Set;
use crate::outcome::{Counter, Outcome};
use crate::peer::Suspect;
use crate::quarantine::{
    Body, LiftedQuarantine, PendingCall, Registry, LIST_INTERVAL_MS, QUARANTINE_MS,
};
use crate::retry::{draw, seed};
use crate::store::{
    self, Answer, Call, CallId, Condition, Family, Key, Op, Value, Write, WriteResult,
};
use crate::{quarantine, rank};

/// Time after which a failed store call is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 5_000;

fn send_call(state: &mut State, op: Op, pending: PendingCall, out: &mut Outbox) {
    let id = state.next_call_id();
    state.quarantine.pending_calls.insert(id, pending);
    out.push(Outcome::Store(Call { id, op }));
}

/// Number of VMs of a zone that list the records while the zone replicates the platform's tables.
const LISTING_VMS: usize = 2;
/// Takes the place of the service name in the rendezvous hash that selects these VMs.
const LISTING_RANK_KEY: &str = "quarantine";
/// Delay of the first list in such a zone, in milliseconds, so that the VM first learns of the
/// others.
const FIRST_LIST_DELAY_MS: u64 = 1_500;

pub(crate) fn list_entries(state: &mut State, now: Millis, out: &mut Outbox) {
    if now < state.quarantine.next_list_at {
        return;
    }
    if state.feeds.is_replicated() {
        let is_first = std::mem::replace(&mut state.quarantine.has_delayed_list, true);
        if !is_first {
            state.quarantine.next_list_at = now.after(FIRST_LIST_DELAY_MS);
            return;
        }
        if !is_lister(state) {
            state.quarantine.next_list_at = now.after(LIST_INTERVAL_MS);
            return;
        }
        send_entries(state, now, out);
    }
    // Drops earlier list calls that were never answered, which would otherwise accumulate.
    state
        .quarantine
        .pending_calls
        .retain(|_, pending| !matches!(pending, PendingCall::List { .. }));
    let jitter = draw(seed(&state.identity), now.0) % (LIST_INTERVAL_MS / 10);
    state.quarantine.next_list_at = now.after(LIST_INTERVAL_MS - jitter);
    let list = Op::List(Family::Quarantine);
    send_call(state, list, PendingCall::List { sent_at: now }, out);
}

fn is_lister(state: &State) -> bool {
    let order = rank::ordered(&state.members, &state.identity.zone, LISTING_RANK_KEY);
    order.iter().take(LISTING_VMS).any(|vm| **vm == state.identity.vm)
}

/// Sends the quarantined bodies to the VMs of the zone, which do not list them.
fn send_entries(state: &State, now: Millis, out: &mut Outbox) {
    let messages = quarantine::active_messages(&state.quarantine, now);
    for member in state.members.in_zone(&state.identity.zone) {
        if member.entry.vm != state.identity.vm {
            messages.iter().for_each(|message| out.send(&member.entry.vm, message.clone()));
        }
    }
}

/// Writes and deletes the records that are due and forgets expired entries.
pub(crate) fn sweep(state: &mut State, now: Millis, out: &mut Outbox) {
    state.quarantine.last_sweep = now;
    let mut due: Vec<(u64, DueAction)> = Vec::new();
    for (fingerprint, body) in &state.quarantine.bodies {
        due.extend(body.due_action(now).map(|due| (*fingerprint, due)));
    }
    for (fingerprint, lift) in &state.quarantine.lifted {
        due.extend(lift.due_action(now).map(|due| (*fingerprint, due)));
    }
    due.sort_by_key(|(fingerprint, _)| *fingerprint);
    for (fingerprint, due) in due {
        perform(state, fingerprint, due, now, out);
    }
}

/// The action that is due for one body.
#[derive(Debug, Clone, Copy)]
enum DueAction {
    Write,
    DeleteExpired(Revision),
    Forget,
    DeleteLifted,
    ForgetLifted,
}

impl Body {
    fn due_action(&self, now: Millis) -> Option<DueAction> {
        let Some(until) = self.quarantined_until else {
            return (!self.is_suspect(now)).then_some(DueAction::Forget);
        };
        if now < until {
            let is_due = self.write_at.is_some_and(|at| at <= now);
            return is_due.then_some(DueAction::Write);
        }
        match self.table_version {
            None => Some(DueAction::Forget),
            Some((version, _)) if now >= until.after(self.delete_delay_ms) => {
                Some(DueAction::DeleteExpired(version))
            }
            Some(_) => None,
        }
    }
}

impl LiftedQuarantine {
    fn due_action(&self, now: Millis) -> Option<DueAction> {
        if self.delete_at.is_some_and(|at| at <= now) {
            return Some(DueAction::DeleteLifted);
        }
        (now.since(self.lifted_at) >= QUARANTINE_MS).then_some(DueAction::ForgetLifted)
    }
}

fn perform(state: &mut State, fingerprint: u64, due: DueAction, now: Millis, out: &mut Outbox) {
    let write = |condition, value| {
        let key = Key::Quarantine(fingerprint);
        Op::Write(vec![Write { key, condition, value }])
    };
    let registry = &mut state.quarantine;
    match due {
        DueAction::Forget => drop(registry.bodies.remove(&fingerprint)),
        DueAction::ForgetLifted => drop(registry.lifted.remove(&fingerprint)),
        DueAction::DeleteLifted => {
            if let Some(lift) = registry.lifted.get_mut(&fingerprint) {
                lift.delete_at = Some(now.after(RETRY_DELAY_MS));
            }
            let op = write(Condition::Any, None);
            send_call(state, op, PendingCall::DeleteLifted(fingerprint), out);
        }
        DueAction::DeleteExpired(version) => {
            if let Some(body) = registry.bodies.get_mut(&fingerprint) {
                body.delete_delay_ms =
                    now.after(RETRY_DELAY_MS).since(body.quarantined_until.unwrap_or(now));
            }
            let op = write(Condition::Version(version), None);
            send_call(state, op, PendingCall::DeleteExpired(fingerprint), out);
        }
        DueAction::Write => {
            let Some(body) = registry.bodies.get_mut(&fingerprint) else {
                return;
            };
            body.write_at = Some(now.after(RETRY_DELAY_MS));
            let value = Value::Quarantine(store::Quarantine {
                deaths: body.deaths,
                organisation: body.organisation.clone(),
                service: body.service.clone(),
                remaining_s: body
                    .quarantined_until
                    .map_or(0, |until| until.since(now))
                    .div_ceil(1_000),
            });
            let op = write(Condition::Absent, Some(value));
            send_call(state, op, PendingCall::Write(fingerprint), out);
        }
    }
}

pub(crate) fn on_answer(
    state: &mut State,
    id: CallId,
    answer: &Answer,
    now: Millis,
    out: &mut Outbox,
) {
    let Some(pending) = state.quarantine.pending_calls.remove(&id) else {
        return;
    };
    let registry = &mut state.quarantine;
    match (pending, answer) {
        (PendingCall::List { sent_at }, Answer::Listed(records)) => {
            on_listed(registry, records, sent_at, now, out);
        }
        (PendingCall::List { .. }, _) => registry.next_list_at = now.after(RETRY_DELAY_MS),
        (PendingCall::Write(fingerprint), Answer::Written(written)) => {
            let version = match written.first() {
                Some(WriteResult::Applied(version)) => Some(*version),
                Some(WriteResult::Conflict(Some(record))) => Some(record.version),
                _ => None,
            };
            if let (Some(version), Some(body)) = (version, registry.bodies.get_mut(&fingerprint)) {
                body.table_version = Some((version, now));
                body.write_at = None;
            }
        }
        (PendingCall::DeleteExpired(fingerprint), Answer::Written(_)) => {
            registry.bodies.remove(&fingerprint);
        }
        (PendingCall::DeleteLifted(fingerprint), Answer::Written(_)) => {
            if let Some(lift) = registry.lifted.get_mut(&fingerprint) {
                lift.delete_at = None;
            }
        }
        // Without an answer the write is retried when it is next due.
        _ => {}
    }
}

/// Merges the records of the table, as returned by a call sent at `sent_at`.
fn on_listed(
    registry: &mut Registry,
    records: &[store::Record],
    sent_at: Millis,
    now: Millis,
    out: &mut Outbox,
) {
    let mut found = Set::default();
    for record in records {
        match (&record.key, &record.value) {
            (Key::Quarantine(fingerprint), Some(Value::Quarantine(value))) => {
                found.insert(*fingerprint);
                merge_record(registry, *fingerprint, value, record.version, now);
            }
            _ => out.count(Counter::Ignored("quarantine_record")),
        }
    }
    // A record that is no longer in the table was lifted or has expired.
    registry.bodies.retain(|fingerprint, body| {
        let was_stored = body.table_version.is_some_and(|(_, learned)| learned < sent_at);
        found.contains(fingerprint) || !was_stored
    });
}

fn merge_record(
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
        parts: Vec::new(),
        granted_ago_ms: 0,
    };
    let body = registry.body_entry(fingerprint, &suspect, now);
    body.write_at = None;
    let is_new = body.table_version.is_none_or(|(known, _)| known != version);
    body.table_version = Some((version, now));
    if !is_new {
        // The remaining time counts from the write of the record, so it is used only once per
        // version.
        return;
    }
    let remaining = value.remaining_s.saturating_mul(1_000).min(QUARANTINE_MS);
    let until = now.after(remaining);
    body.quarantined_until =
        Some(body.quarantined_until.map_or(until, |current| current.min(until)));
    body.deaths = body.deaths.max(value.deaths);
    body.delete_delay_ms = body.delete_delay_ms.max(LIST_INTERVAL_MS);
}
