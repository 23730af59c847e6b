//! Local copies of the platform's tables, and the rows that VMs send each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Millis, Name, Revision};

/// Maximum number of removed rows that are remembered. VMs that lag further behind get whole
/// tables.
const MAX_REMOVED_ROWS: usize = 256;
/// Time in milliseconds after the store came back from an older copy for which resources stay in
/// force that the copy lacks, so that operators can write them again.
const MISSING_RESOURCE_GRACE_MS: u64 = 10_000;
/// The same for targets; the platform states that live ones have registered again by then.
const MISSING_TARGET_GRACE_MS: u64 = 2_000;
/// Time in milliseconds after such a return for which a target that had been removed stays removed
/// although the copy has it. Entries of targets that are gone have expired by then.
const REMOVED_TARGET_GRACE_MS: u64 = 6_000;

/// A table that is replicated to all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Table {
    /// Resources declared by operators.
    Resources,
    /// State that targets publish about themselves.
    Targets,
}

/// All tables.
pub(crate) const TABLES: [Table; 2] = [Table::Resources, Table::Targets];

/// A row. Its value is opaque to the kernel and interpreted by the adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: Name,
    /// Its version.
    pub version: Revision,
    /// Its value; `None` if the row was removed.
    #[serde(with = "crate::compact::bytes")]
    pub value: Option<Vec<u8>>,
    /// The order that the writer gives to its values of this row, if it keeps one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sequence: Option<u64>,
}

/// A set of rows of one table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rows {
    /// The table.
    pub table: Table,
    /// The rows include all changes after this version; a copy at an older version cannot apply
    /// them.
    pub from: Revision,
    /// The version of the table with these rows applied.
    pub version: Revision,
    /// Whether the rows are the whole table.
    pub is_whole: bool,
    /// The rows.
    pub rows: Vec<Row>,
}

/// A peer's update of one table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TableUpdate {
    /// The rows that the receiver lacks.
    pub rows: Rows,
    /// How long before the arrival of the query the rows were known to be the newest, in
    /// milliseconds. Negative for a time after its arrival; `None` if unknown.
    pub age_ms: Option<i64>,
}

/// A row of a local copy.
#[derive(Debug)]
pub(crate) struct StoredRow {
    pub(crate) version: Revision,
    pub(crate) value: Option<Vec<u8>>,
    /// Of the value, or of the last one if the row was removed.
    sequence: Option<u64>,
    /// Era of the store in which the value was written.
    era: u64,
}

/// What the store's older copy says of a row, which does not apply yet.
#[derive(Debug)]
struct PendingRow {
    /// The row in the store; without a value if it is missing there.
    row: Row,
    until: Millis,
}

/// A local copy of a table.
///
/// When the store comes back from an older copy, it lacks what was written last until the writers
/// have written it again. Three rules keep a VM from going back with it:
///
/// - A value stays if the writer ordered it after the one in the store ([`Row::sequence`]).
/// - Rows that the store lacks stay for a time.
/// - Targets that had been removed are not used again for a time, unless they have restarted.
#[derive(Debug, Default)]
pub(crate) struct TableCopy {
    pub(crate) rows: BTreeMap<Name, StoredRow>,
    pub(crate) version: Revision,
    /// Removed rows up to this version are no longer remembered.
    pruned_version: Revision,
    /// Rows that differ from those of the store for a time after its return.
    pending: BTreeMap<Name, PendingRow>,
    /// When the copy was last known to be the newest.
    pub(crate) current_at: Option<Millis>,
    /// The same, according to updates from peers only.
    pub(crate) peer_current_at: Option<Millis>,
}

impl TableCopy {
    /// Merges rows into the copy and returns those that are in force from now on, if any changed.
    pub(crate) fn merge(&mut self, rows: &Rows, now: Millis) -> Option<Rows> {
        let is_older = rows.is_whole && rows.version < self.version;
        if is_older || self.version < rows.from {
            return None;
        }
        let is_restored = self.version > Revision(0) && rows.version.era() > self.version.era();
        let is_new = |row: &&Row| match (self.pending.get(&row.key), self.rows.get(&row.key)) {
            (Some(pending), _) => pending.row.version < row.version,
            (None, Some(known)) => known.version < row.version,
            // An unknown row of that age has been removed since.
            (None, None) => rows.is_whole || row.version > self.pruned_version,
        };
        let mut new_rows: Vec<Row> = rows.rows.iter().filter(is_new).cloned().collect();
        if is_restored && rows.is_whole {
            self.defer_older(rows, &mut new_rows, now);
        }
        self.pending.retain(|key, pending| {
            let is_replaced = new_rows.iter().any(|row| row.key == *key);
            !is_replaced && self.rows.contains_key(&pending.row.key)
        });
        new_rows.extend(self.take_due(rows.version, now));
        if rows.is_whole {
            let pending = &self.pending;
            let is_listed = |key: &Name| rows.rows.iter().any(|row| row.key == *key);
            self.rows.retain(|key, _| is_listed(key) || pending.contains_key(key));
            self.pruned_version = rows.version;
        }
        let new_rows: Vec<Row> = new_rows.into_iter().map(|row| self.store(row)).collect();
        self.version = self.version.max(rows.version);
        self.prune();
        // Rows missing from a whole table have been removed, so it is returned unfiltered.
        match (rows.is_whole, new_rows.is_empty()) {
            (true, _) => Some(self.whole(rows.table)),
            (false, true) => None,
            (false, false) => Some(Rows { rows: new_rows, ..rows.clone() }),
        }
    }

    /// Stores a row and returns it as it is in force.
    fn store(&mut self, row: Row) -> Row {
        let Row { key, version, value, sequence } = row;
        let mut stored = StoredRow { version, value, sequence, era: version.era() };
        if let Some(known) = self.rows.get(&key) {
            let is_outdated = known.era < stored.era
                && known.value.is_some()
                && stored.sequence.is_some_and(|sequence| Some(sequence) < known.sequence);
            if stored.value.is_none() {
                stored.sequence = known.sequence;
            } else if is_outdated {
                stored.value.clone_from(&known.value);
                (stored.sequence, stored.era) = (known.sequence, known.era);
            }
        }
        let in_force = to_row(&key, &stored);
        self.rows.insert(key, stored);
        in_force
    }

    /// Defers what the store's older copy says of rows that it lacks and of targets that had been
    /// removed.
    fn defer_older(&mut self, rows: &Rows, new_rows: &mut Vec<Row>, now: Millis) {
        let (missing_grace_ms, removed_grace_ms) = match rows.table {
            Table::Resources => (MISSING_RESOURCE_GRACE_MS, 0),
            Table::Targets => (MISSING_TARGET_GRACE_MS, REMOVED_TARGET_GRACE_MS),
        };
        let pending = &mut self.pending;
        for (key, known) in &mut self.rows {
            if known.value.is_some() && rows.rows.iter().all(|row| row.key != *key) {
                let version = rows.version;
                known.version = version;
                let row = Row { key: key.clone(), version, value: None, sequence: None };
                pending.insert(key.clone(), PendingRow { row, until: now.after(missing_grace_ms) });
            }
        }
        new_rows.retain(|row| {
            let known = self.rows.get(&row.key).filter(|known| known.value.is_none());
            let is_same_start =
                known.is_some_and(|known| row.sequence.is_some() && row.sequence <= known.sequence);
            if is_same_start && removed_grace_ms > 0 {
                let until = now.after(removed_grace_ms);
                pending.insert(row.key.clone(), PendingRow { row: row.clone(), until });
            }
            !is_same_start || removed_grace_ms == 0
        });
    }

    /// Removes and returns the pending rows that apply now. They get the version of the table, which
    /// only a later version can give to the VMs that have the present one.
    fn take_due(&mut self, version: Revision, now: Millis) -> Vec<Row> {
        if version <= self.version {
            return Vec::new();
        }
        let is_due = |pending: &PendingRow| now >= pending.until;
        let due: Vec<Name> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_due(pending))
            .map(|(key, _)| key.clone())
            .collect();
        let due = due.iter().filter_map(|key| self.pending.remove(key));
        due.map(|pending| Row { version, ..pending.row }).collect()
    }

    /// All rows that are in force.
    fn whole(&self, table: Table) -> Rows {
        let rows = self.rows.iter().filter(|(_, stored)| stored.value.is_some());
        let rows = rows.map(|(key, stored)| to_row(key, stored)).collect();
        Rows { table, from: Revision(0), version: self.version, is_whole: true, rows }
    }

    /// Drops the oldest removed rows.
    fn prune(&mut self) {
        let removed = self.rows.iter().filter(|(_, stored)| stored.value.is_none());
        let mut removed: Vec<(Revision, Name)> =
            removed.map(|(key, stored)| (stored.version, key.clone())).collect();
        if removed.len() <= MAX_REMOVED_ROWS {
            return;
        }
        removed.sort();
        for (version, key) in &removed[..removed.len() - MAX_REMOVED_ROWS / 2] {
            self.pruned_version = self.pruned_version.max(*version);
            self.rows.remove(key);
        }
    }

    /// The rows that a copy at version `known` lacks.
    pub(crate) fn rows_since(&self, table: Table, known: Revision) -> Rows {
        if known < self.pruned_version {
            return self.whole(table);
        }
        let rows = self.rows.iter().filter(|(_, stored)| stored.version > known);
        let rows = rows.map(|(key, stored)| to_row(key, stored)).collect();
        Rows { table, from: known, version: self.version, is_whole: false, rows }
    }

    /// Milliseconds between the time at which the copy was the newest and `then`.
    pub(crate) fn age(&self, then: Millis) -> Option<i64> {
        let millis = |at: Millis| i64::try_from(at.0).unwrap_or(i64::MAX);
        self.current_at.map(|at| millis(then) - millis(at))
    }
}

fn to_row(key: &Name, stored: &StoredRow) -> Row {
    let StoredRow { version, value, sequence, .. } = stored;
    let sequence = sequence.filter(|_| value.is_some());
    Row { key: key.clone(), version: *version, value: value.clone(), sequence }
}
