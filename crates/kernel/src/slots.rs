//! Load slots: the table's bound on how many engines load from the weight store at a time.
//!
//! A slot is a record that names the loading target. Its holder renews it while the load goes on; a
//! slot that stands still is free, and a slot of a target goes with the target to a new holder of
//! its pool.

use std::collections::BTreeMap;

use crate::ids::{Millis, Name, Revision};
use crate::kernel::Outbox;
use crate::outcome::{Counter, Outcome};
use crate::store::{
    self, Answer, Call, CallId, Condition, Family, Op, Slot, Value, Write, WriteResult,
};

/// A slot that stood still for this long on the observer's clock is free: six renewals.
pub(crate) const EXPIRY_MS: u64 = 30_000;
/// Time between two renewals of a slot.
const RENEW_MS: u64 = 5_000;
/// Time between two lists while slots are wanted.
const READ_MS: u64 = 2_000;
/// A call without an answer for this long counts as lost.
const ANSWER_MS: u64 = 3_000;

/// What was last seen of a slot.
#[derive(Debug)]
struct Sight {
    version: Revision,
    slot: Option<Slot>,
    since: Millis,
}

/// A slot held for one target.
#[derive(Debug)]
struct Held {
    number: u32,
    version: Revision,
    renewal: u64,
    renew_at: Millis,
}

/// A write that is not decided.
#[derive(Debug)]
struct Attempt {
    call: CallId,
    sent: Millis,
    number: u32,
    target: Name,
    /// `None` for a release.
    slot: Option<Slot>,
}

/// The slots seen and held.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    sights: BTreeMap<u32, Sight>,
    held: BTreeMap<Name, Held>,
    /// Targets that want a slot, with the bound that applies to them.
    wanted: BTreeMap<Name, u32>,
    reading: Option<(CallId, Millis)>,
    /// When the last list was sent that was answered.
    read: Option<Millis>,
    read_at: Millis,
    attempt: Option<Attempt>,
}

impl Slots {
    /// Whether a slot is held for `target`; if not, one is wanted from now on.
    pub(crate) fn want(&mut self, target: &Name, limit: u32) -> bool {
        if self.held.contains_key(target) {
            return true;
        }
        self.wanted.insert(target.clone(), limit);
        false
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.held.is_empty() && self.wanted.is_empty() && self.attempt.is_none()
    }

    /// Forgets the slot of a target that another VM may order by now; it goes over or expires.
    pub(crate) fn abandon(&mut self, target: &str) {
        self.held.remove(target);
        self.wanted.remove(target);
    }

    /// Sends what is due. `is_needed` says for which targets a slot is still needed.
    pub(crate) fn drive(
        &mut self,
        own: &Name,
        mut call_id: impl FnMut() -> CallId,
        is_needed: impl Fn(&Name) -> bool,
        now: Millis,
        out: &mut Outbox,
    ) {
        self.wanted.retain(|target, _| is_needed(target));
        self.give_up_waiting(now);
        if self.is_idle() {
            return;
        }
        if self.reading.is_none() && now >= self.read_at {
            let id = call_id();
            self.reading = Some((id, now));
            self.read_at = now.after(READ_MS);
            let op = Op::List(Family::Slots);
            out.push(Outcome::Store(Call { id, op }));
        }
        if self.attempt.is_some() {
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
        self.attempt = Some(Attempt { call: id, sent: now, number, target, slot });
        let op = Op::Write(vec![write]);
        out.push(Outcome::Store(Call { id, op }));
    }

    fn give_up_waiting(&mut self, now: Millis) {
        if self.reading.is_some_and(|(_, sent)| now.since(sent) >= ANSWER_MS) {
            self.reading = None;
        }
        let is_lost = |attempt: &Attempt| now.since(attempt.sent) >= ANSWER_MS;
        if self.attempt.as_ref().is_some_and(is_lost) {
            self.forget_attempt();
        }
    }

    /// Gives an undecided write up: the next list shows whether it took effect, and a slot of a
    /// wanted target is taken over as it stands.
    fn forget_attempt(&mut self) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.read = None;
        self.read_at = Millis(0);
        if attempt.slot.is_none() {
            // The release may have taken effect; otherwise the slot expires.
            self.held.remove(&attempt.target);
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
        self.read?;
        let mut wanted = self.wanted.iter();
        wanted.find_map(|(target, limit)| {
            let (number, condition) = self.free(target, *limit, now)?;
            let renewal = self.sights.get(&number).and_then(|sight| sight.slot.as_ref());
            let slot = Slot {
                target: target.clone(),
                vm: own.clone(),
                renewal: renewal.map_or(0, |slot| slot.renewal) + 1,
            };
            Some((target.clone(), number, condition, Some(slot)))
        })
    }

    /// The slot that already names the target, else one that is free.
    fn free(&self, target: &Name, limit: u32, now: Millis) -> Option<(u32, Condition)> {
        let names_target =
            |sight: &Sight| sight.slot.as_ref().is_some_and(|slot| slot.target == *target);
        let own = self.sights.iter().find(|(_, sight)| names_target(sight));
        if let Some((number, sight)) = own {
            return Some((*number, Condition::Version(sight.version)));
        }
        let is_held = |number: &u32| self.held.values().any(|held| held.number == *number);
        (0..limit).filter(|number| !is_held(number)).find_map(|number| {
            match self.sights.get(&number) {
                None => Some((number, Condition::Absent)),
                Some(sight) if now.since(sight.since) >= EXPIRY_MS => {
                    Some((number, Condition::Version(sight.version)))
                }
                Some(_) => None,
            }
        })
    }

    /// Takes the answer to a call; returns whether the call was made here.
    pub(crate) fn answered(
        &mut self,
        call: CallId,
        answer: &Answer,
        now: Millis,
        out: &mut Outbox,
    ) -> bool {
        if let Some((_, sent)) = self.reading.filter(|(reading, _)| *reading == call) {
            self.reading = None;
            if let Answer::Listed(records) = answer {
                self.listed(records, sent, now);
            }
            return true;
        }
        if self.attempt.as_ref().is_none_or(|attempt| attempt.call != call) {
            return false;
        }
        match answer {
            Answer::Written(written) => match written.first() {
                Some(WriteResult::Applied(version)) => self.applied(*version, now),
                Some(WriteResult::Conflict(record)) => self.refused(record.as_ref(), now, out),
                None => self.forget_attempt(),
            },
            Answer::Unavailable => self.attempt = None,
            _ => self.forget_attempt(),
        }
        true
    }

    fn listed(&mut self, records: &[store::Record], sent: Millis, now: Millis) {
        let mut seen: BTreeMap<u32, &store::Record> = BTreeMap::new();
        for record in records {
            if let store::Key::Slot(number) = record.key {
                seen.insert(number, record);
            }
        }
        self.sights.retain(|number, _| seen.contains_key(number));
        for (number, record) in seen {
            self.see(number, record, now);
        }
        self.read = Some(sent);
    }

    fn see(&mut self, number: u32, record: &store::Record, now: Millis) {
        let known = self.sights.get(&number).map(|sight| sight.version);
        if known == Some(record.version) {
            return;
        }
        let slot = match &record.value {
            Some(Value::Slot(slot)) => Some(slot.clone()),
            _ => None,
        };
        let sight = Sight { version: record.version, slot, since: now };
        self.sights.insert(number, sight);
    }

    fn applied(&mut self, version: Revision, now: Millis) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let Some(slot) = attempt.slot else {
            self.held.remove(&attempt.target);
            self.sights.remove(&attempt.number);
            return;
        };
        let held = Held {
            number: attempt.number,
            version,
            renewal: slot.renewal,
            renew_at: attempt.sent.after(RENEW_MS),
        };
        let sight = Sight { version, slot: Some(slot), since: now };
        self.sights.insert(attempt.number, sight);
        self.wanted.remove(&attempt.target);
        self.held.insert(attempt.target, held);
    }

    fn refused(&mut self, found: Option<&store::Record>, now: Millis, out: &mut Outbox) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        if self.held.remove(&attempt.target).is_some() && attempt.slot.is_some() {
            out.count(Counter::Event("slot_lost"));
        }
        match found {
            Some(record) => self.see(attempt.number, record, now),
            None => drop(self.sights.remove(&attempt.number)),
        }
    }
}
