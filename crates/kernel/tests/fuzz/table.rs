//! A minimal conditional store: resources with revisions, and the records of store calls.

use std::collections::BTreeMap;

use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::peer::Delta;
use hornbeamloom_kernel::resource::{self, Record, Spec};
use hornbeamloom_kernel::store::{
    self, Answer, Condition, Family, Key, Op, Value, Write, WriteResult,
};

/// The guarantees that the store breaks, for negative controls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BrokenGuarantees {
    /// Claims are acknowledged but not stored.
    pub forgets_claims: bool,
    /// Lease writes are applied regardless of their condition.
    pub ignores_conditions: bool,
    /// Fencing tokens of leases start over.
    pub forgets_leases: bool,
}

#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, store::Record>,
    revision: u64,
    /// Revision of the newest resource.
    pub head: Revision,
    records: BTreeMap<resource::Key, Record>,
    pub broken: BrokenGuarantees,
}

impl Table {
    /// Writes a resource and returns the revision at which it was accepted.
    pub fn put(&mut self, name: &str, spec: Spec) -> Revision {
        self.revision += 1;
        self.head = Revision(self.revision);
        let key = resource::Key { kind: spec.kind(), name: name.into() };
        let record = Record {
            key: key.clone(),
            version: self.head,
            generation: self.revision,
            labels: BTreeMap::new(),
            spec: Some(spec),
        };
        self.records.insert(key, record);
        self.head
    }

    /// The resources changed after revision `from`.
    pub fn changes(&self, from: Revision) -> Delta {
        let changed = self.records.values().filter(|record| record.version > from);
        Delta {
            from,
            to: self.head,
            sequence: 0,
            complete: false,
            records: changed.cloned().collect(),
        }
    }

    pub fn perform(&mut self, op: &Op) -> Answer {
        match op {
            Op::Read(key) => Answer::Read(self.rows.get(&row_key(key)).cloned()),
            Op::List(family) => {
                let rows = self.rows.values().filter(|row| is_in_family(&row.key, family));
                Answer::Listed(rows.cloned().collect())
            }
            Op::Write(writes) => {
                Answer::Written(writes.iter().map(|write| self.write(write)).collect())
            }
        }
    }

    fn write(&mut self, write: &Write) -> WriteResult {
        let found = self.rows.get(&row_key(&write.key)).cloned();
        let version = found.as_ref().map(|row| row.version);
        let is_lease = matches!(write.key, Key::Lease(_));
        let holds = match write.condition {
            _ if is_lease && self.broken.ignores_conditions => true,
            Condition::Absent => version.is_none(),
            Condition::Version(wanted) => version == Some(wanted),
            Condition::Any => true,
        };
        if !holds {
            return WriteResult::Conflict(found);
        }
        self.revision += 1;
        let version = Revision(self.revision);
        if self.broken.forgets_claims && matches!(write.key, Key::Claim { .. }) {
            return WriteResult::Applied(version);
        }
        match &write.value {
            Some(value) => {
                let row =
                    store::Record { key: write.key.clone(), version, value: Some(value.clone()) };
                self.rows.insert(row_key(&write.key), row);
            }
            None => {
                self.rows.remove(&row_key(&write.key));
            }
        }
        WriteResult::Applied(version)
    }

    /// Drops the leases of a replaced VM, if the store is configured to.
    pub fn vm_replaced(&mut self, vm: &str) {
        if self.broken.forgets_leases {
            let is_of =
                |row: &store::Record| matches!(&row.value, Some(Value::Lease(l)) if *l.vm == *vm);
            self.rows.retain(|_, row| !is_of(row));
        }
    }
}

fn row_key(key: &Key) -> String {
    format!("{key:?}")
}

fn is_in_family(key: &Key, family: &Family) -> bool {
    match (key, family) {
        (Key::Lease(pool), Family::Leases { zone }) => pool.zone == *zone,
        (Key::Quarantine(_), Family::Quarantine) | (Key::Slot(_), Family::Slots) => true,
        _ => false,
    }
}
