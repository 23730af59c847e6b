//! Load slots: they bound how many engines load from the weight store at a time.
//!
//! A slot is a record in the store that names the loading target. The holder of the target's pool
//! renews it during the load. A slot that is not renewed becomes free, and a new holder of the pool
//! takes over the slots of its targets.

use std::collections::BTreeMap;

use crate::ids::{Millis, Name, Revision};
use crate::kernel::Outbox;
use crate::outcome::{Counter, Outcome};
use crate::store::{
    self, Answer, Call, CallId, Condition, Family, Op, Slot, Value, Write, WriteResult,
};

/// A slot that did not change for this long on the observer's clock, six renewals, is free.
pub(crate) const EXPIRY_MS: u64 = 30_000;
const RENEW_INTERVAL_MS: u64 = 5_000;
/// Interval at which slots are listed while any is held or requested.
const LIST_INTERVAL_MS: u64 = 2_000;
/// A store call without an answer for this time counts as lost.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// The last observed state of a slot, and since when it has not changed.
#[derive(Debug)]
struct ObservedSlot {
    version: Revision,
    slot: Option<Slot>,
    unchanged_since: Millis,
}

/// A slot held for one target.
#[derive(Debug)]
struct HeldSlot {
    number: u32,
    version: Revision,
    renewal: u64,
    renew_at: Millis,
}

/// A write of a slot without an answer so far.
#[derive(Debug)]
struct PendingWrite {
    call: CallId,
    sent: Millis,
    number: u32,
    target: Name,
    /// `None` for a release.
    slot: Option<Slot>,
}

/// The observed slots, and those held and requested here.
#[derive(Debug, Default)]
pub(crate) struct LoadSlots {
    observed: BTreeMap<u32, ObservedSlot>,
    held: BTreeMap<Name, HeldSlot>,
    /// Targets for which a slot is requested, with the bound on the number of slots.
    requested: BTreeMap<Name, u32>,
    pending_list: Option<(CallId, Millis)>,
    /// When the last list that was answered was sent.
    listed_at: Option<Millis>,
    next_list_at: Millis,
    pending_write: Option<PendingWrite>,
}

impl LoadSlots {
    /// Returns whether a slot is held for `target`, and requests one if not.
    pub(crate) fn request(&mut self, target: &Name, limit: u32) -> bool {
        if self.held.contains_key(target) {
            return true;
        }
        self.requested.insert(target.clone(), limit);
        false
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.held.is_empty() && self.requested.is_empty() && self.pending_write.is_none()
    }

    /// Drops the slot of a target whose pool another VM may hold by now; that VM takes the slot
    /// over, or it expires.
    pub(crate) fn drop_target(&mut self, target: &str) {
        self.held.remove(target);
        self.requested.remove(target);
    }

    /// Sends the store calls that are due. `is_needed` tells for which targets a slot is still
    /// needed.
    pub(crate) fn advance(
        &mut self,
        own: &Name,
        mut call_id: impl FnMut() -> CallId,
        is_needed: impl Fn(&Name) -> bool,
        now: Millis,
        out: &mut Outbox,
    ) {
        self.requested.retain(|target, _| is_needed(target));
        self.expire_calls(now);
        if self.is_idle() {
            return;
        }
        if self.pending_list.is_none() && now >= self.next_list_at {
            let id = call_id();
            self.pending_list = Some((id, now));
            self.next_list_at = now.after(LIST_INTERVAL_MS);
            let op = Op::List(Family::Slots);
            out.push(Outcome::Store(Call { id, op }));
        }
        if self.pending_write.is_some() {
            return;
        }
        let Some((target, number, condition, slot)) = self.next_write(own, &is_needed, now) else {
            return;
        };
        let id = call_id();
        let write = Write {
            key: store::Key::Slot(number),
            condition,
            value: slot.clone().map(Value::Slot),
        };
        self.pending_write = Some(PendingWrite { call: id, sent: now, number, target, slot });
        let op = Op::Write(vec![write]);
        out.push(Outcome::Store(Call { id, op }));
    }

    fn expire_calls(&mut self, now: Millis) {
        if self.pending_list.is_some_and(|(_, sent)| now.since(sent) >= CALL_TIMEOUT_MS) {
            self.pending_list = None;
        }
        let is_lost = |write: &PendingWrite| now.since(write.sent) >= CALL_TIMEOUT_MS;
        if self.pending_write.as_ref().is_some_and(is_lost) {
            self.abandon_write();
        }
    }

    /// Gives up a write without an answer: the next list shows whether it was applied, and a slot
    /// that already names a requested target is then taken over.
    fn abandon_write(&mut self) {
        let Some(write) = self.pending_write.take() else {
            return;
        };
        self.listed_at = None;
        self.next_list_at = Millis(0);
        if write.slot.is_none() {
            // The release may have been applied; otherwise the slot expires.
            self.held.remove(&write.target);
        }
    }

    fn next_write(
        &self,
        own: &Name,
        is_needed: &impl Fn(&Name) -> bool,
        now: Millis,
    ) -> Option<(Name, u32, Condition, Option<Slot>)> {
        for (target, held) in &self.held {
            let condition = Condition::Version(held.version);
            if !is_needed(target) {
                return Some((target.clone(), held.number, condition, None));
            }
            if now >= held.renew_at {
                let slot =
                    Slot { target: target.clone(), vm: own.clone(), renewal: held.renewal + 1 };
                return Some((target.clone(), held.number, condition, Some(slot)));
            }
        }
        self.listed_at?;
        let mut requested = self.requested.iter();
        requested.find_map(|(target, limit)| {
            let (number, condition) = self.find_free(target, *limit, now)?;
            let renewal = self.observed.get(&number).and_then(|seen| seen.slot.as_ref());
            let slot = Slot {
                target: target.clone(),
                vm: own.clone(),
                renewal: renewal.map_or(0, |slot| slot.renewal) + 1,
            };
            Some((target.clone(), number, condition, Some(slot)))
        })
    }

    /// Returns the slot that already names the target, or else a free one.
    fn find_free(&self, target: &Name, limit: u32, now: Millis) -> Option<(u32, Condition)> {
        let names_target =
            |seen: &ObservedSlot| seen.slot.as_ref().is_some_and(|slot| slot.target == *target);
        let own = self.observed.iter().find(|(_, seen)| names_target(seen));
        if let Some((number, seen)) = own {
            return Some((*number, Condition::Version(seen.version)));
        }
        let is_held = |number: &u32| self.held.values().any(|held| held.number == *number);
        (0..limit).filter(|number| !is_held(number)).find_map(|number| {
            match self.observed.get(&number) {
                None => Some((number, Condition::Absent)),
                Some(seen) if now.since(seen.unchanged_since) >= EXPIRY_MS => {
                    Some((number, Condition::Version(seen.version)))
                }
                Some(_) => None,
            }
        })
    }

    /// Handles the answer to a store call; returns whether the call was made here.
    pub(crate) fn handle_answer(
        &mut self,
        call: CallId,
        answer: &Answer,
        now: Millis,
        out: &mut Outbox,
    ) -> bool {
        if let Some((_, sent)) = self.pending_list.filter(|(call_id, _)| *call_id == call) {
            self.pending_list = None;
            if let Answer::Listed(records) = answer {
                self.handle_list(records, sent, now);
            }
            return true;
        }
        if self.pending_write.as_ref().is_none_or(|write| write.call != call) {
            return false;
        }
        match answer {
            Answer::Written(written) => match written.first() {
                Some(WriteResult::Applied(version)) => self.write_applied(*version, now),
                Some(WriteResult::Conflict(record)) => {
                    self.write_conflicted(record.as_ref(), now, out)
                }
                None => self.abandon_write(),
            },
            Answer::Unavailable => self.pending_write = None,
            _ => self.abandon_write(),
        }
        true
    }

    fn handle_list(&mut self, records: &[store::Record], sent: Millis, now: Millis) {
        let mut records_by_number: BTreeMap<u32, &store::Record> = BTreeMap::new();
        for record in records {
            if let store::Key::Slot(number) = record.key {
                records_by_number.insert(number, record);
            }
        }
        self.observed.retain(|number, _| records_by_number.contains_key(number));
        for (number, record) in records_by_number {
            self.observe(number, record, now);
        }
        self.listed_at = Some(sent);
    }

    fn observe(&mut self, number: u32, record: &store::Record, now: Millis) {
        let known_version = self.observed.get(&number).map(|seen| seen.version);
        if known_version == Some(record.version) {
            return;
        }
        let slot = match &record.value {
            Some(Value::Slot(slot)) => Some(slot.clone()),
            _ => None,
        };
        let seen = ObservedSlot { version: record.version, slot, unchanged_since: now };
        self.observed.insert(number, seen);
    }

    fn write_applied(&mut self, version: Revision, now: Millis) {
        let Some(write) = self.pending_write.take() else {
            return;
        };
        let Some(slot) = write.slot else {
            self.held.remove(&write.target);
            self.observed.remove(&write.number);
            return;
        };
        let held = HeldSlot {
            number: write.number,
            version,
            renewal: slot.renewal,
            renew_at: write.sent.after(RENEW_INTERVAL_MS),
        };
        let seen = ObservedSlot { version, slot: Some(slot), unchanged_since: now };
        self.observed.insert(write.number, seen);
        self.requested.remove(&write.target);
        self.held.insert(write.target, held);
    }

    fn write_conflicted(&mut self, found: Option<&store::Record>, now: Millis, out: &mut Outbox) {
        let Some(write) = self.pending_write.take() else {
            return;
        };
        if self.held.remove(&write.target).is_some() && write.slot.is_some() {
            out.count(Counter::Event("slot_lost"));
        }
        match found {
            Some(record) => self.observe(write.number, record, now),
            None => drop(self.observed.remove(&write.number)),
        }
    }
}
