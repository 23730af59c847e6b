//! An in-memory table that answers store calls, with outages and lost answers.

use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::ids::{Incarnation, Revision};
use hornbeamloom_kernel::store::{
    Answer, Call, Claim, Condition, Family, Key, Op, Record as Row, Value, Write, WriteResult,
};

use super::{stored, Harness, StoreMode};

impl Harness {
    fn claim_key(key: &str) -> Key {
        Key::Claim { organisation: "school".into(), service: "menu".into(), key: key.into() }
    }

    pub fn add_claim(&mut self, key: &str, vm: &str, incarnation: u64, fingerprint: u64) {
        let claim = Claim {
            attempt: format!("{vm}-{incarnation}-99").into(),
            vm: vm.into(),
            incarnation: Incarnation(incarnation),
            fingerprint,
            outcome: None,
        };
        let row = (900, Value::Claim(claim));
        self.table.insert(Harness::claim_key(key), row);
    }

    pub fn complete_claim(&mut self, key: &str) {
        if let Some((_, Value::Claim(claim))) = self.table.get_mut(&Harness::claim_key(key)) {
            claim.outcome = Some(stored());
        }
    }

    pub fn show_claim(&mut self, key: &str) {
        let text = match self.table.get(&Harness::claim_key(key)) {
            Some((_, Value::Claim(claim))) if claim.outcome.is_some() => "has an outcome",
            Some((_, Value::Claim(claim))) if claim.incarnation == Incarnation(0) => "is abandoned",
            Some(_) => "is held",
            None => "is absent",
        };
        self.trace.push(format!("claim {key} {text}"));
    }

    pub fn answer_call(&mut self, call: &Call) -> Option<Answer> {
        let is_known = |key: &Key| matches!(key, Key::Claim { .. } | Key::Quarantine(_));
        let is_served = match &call.op {
            Op::Read(key) => is_known(key),
            Op::List(family) => *family == Family::Quarantine,
            Op::Write(writes) => writes.iter().all(|write| is_known(&write.key)),
        };
        if !is_served {
            return None;
        }
        match self.store_mode {
            StoreMode::Silent => {
                self.unanswered_calls.push(call.clone());
                return None;
            }
            StoreMode::Down => return Some(Answer::Unavailable),
            _ => {}
        }
        let row = |(key, (version, value)): (&Key, &(u64, Value))| Row {
            key: key.clone(),
            version: Revision(*version),
            value: Some(value.clone()),
        };
        match &call.op {
            Op::Read(key) => Some(Answer::Read(self.table.get_key_value(key).map(row))),
            Op::List(_) => {
                let is_listed =
                    |(key, _): &(&Key, &(u64, Value))| matches!(key, Key::Quarantine(_));
                let rows = self.table.iter().filter(is_listed).map(row);
                Some(Answer::Listed(rows.collect()))
            }
            Op::Write(writes) => {
                let mode = std::mem::replace(&mut self.store_mode, StoreMode::Up);
                if mode == StoreMode::LoseWrite {
                    self.lost_writes.clone_from(writes);
                    return Some(Answer::Unknown);
                }
                let written = writes.iter().map(|write| self.apply_write(write)).collect();
                match mode {
                    StoreMode::LoseAnswer => Some(Answer::Unknown),
                    _ => Some(Answer::Written(written)),
                }
            }
        }
    }

    /// Answers the calls that arrived while the table did not answer.
    pub fn answer_held_calls(&mut self) {
        for call in std::mem::take(&mut self.unanswered_calls) {
            if let Some(answer) = self.answer_call(&call) {
                let (call, answer) = (call.id, &answer);
                self.handle(Event::StoreAnswered { call, answer });
            }
        }
    }

    /// Applies the writes that were lost.
    pub fn apply_lost_writes(&mut self) {
        for write in std::mem::take(&mut self.lost_writes) {
            self.apply_write(&write);
        }
    }

    fn apply_write(&mut self, write: &Write) -> WriteResult {
        let current = self.table.get(&write.key).cloned();
        let applies = match write.condition {
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current.as_ref().map(|row| row.0) == Some(version.0),
            Condition::Any => true,
        };
        if !applies {
            return WriteResult::Conflict(current.map(|(version, value)| Row {
                key: write.key.clone(),
                version: Revision(version),
                value: Some(value),
            }));
        }
        let version = 1_000 + self.heartbeat + self.outcomes.len() as u64;
        match &write.value {
            Some(value) => self.table.insert(write.key.clone(), (version, value.clone())),
            None => self.table.remove(&write.key),
        };
        WriteResult::Applied(Revision(version))
    }
}
