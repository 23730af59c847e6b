//! Local copies of the platform's tables, and the rows that VMs send each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Millis, Name, Revision};

/// Maximum number of removed rows that are remembered. VMs that lag further behind get whole
/// tables.
const MAX_REMOVED_ROWS: usize = 256;
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

/// A local copy of a table.
#[derive(Debug, Default)]
pub(crate) struct TableCopy {
    pub(crate) rows: BTreeMap<Name, (Revision, Option<Vec<u8>>)>,
    pub(crate) version: Revision,
    /// Removed rows up to this version are no longer remembered.
    pruned_version: Revision,
    /// When the copy was last known to be the newest.
    pub(crate) current_at: Option<Millis>,
    /// The same, according to updates from peers only.
    pub(crate) peer_current_at: Option<Millis>,
}

impl TableCopy {
    /// Merges rows into the copy and returns those that are new, if any.
    pub(crate) fn merge(&mut self, rows: &Rows) -> Option<Rows> {
        let is_older = rows.is_whole && rows.version < self.version;
        if is_older || self.version < rows.from {
            return None;
        }
        let is_new = |row: &&Row| match self.rows.get(&row.key) {
            Some((version, _)) => *version < row.version,
            // An unknown row of that age has been removed since.
            None => rows.is_whole || row.version > self.pruned_version,
        };
        let new_rows: Vec<Row> = rows.rows.iter().filter(is_new).cloned().collect();
        if rows.is_whole {
            self.rows.retain(|key, _| rows.rows.iter().any(|row| row.key == *key));
            self.pruned_version = rows.version;
        }
        for row in &new_rows {
            self.rows.insert(row.key.clone(), (row.version, row.value.clone()));
        }
        self.version = self.version.max(rows.version);
        self.prune();
        // Rows missing from a whole table have been removed, so it is returned unfiltered.
        match (rows.is_whole, new_rows.is_empty()) {
            (true, _) => Some(rows.clone()),
            (false, true) => None,
            (false, false) => Some(Rows { rows: new_rows, ..rows.clone() }),
        }
    }

    /// Drops the oldest removed rows.
    fn prune(&mut self) {
        let removed = self.rows.iter().filter(|(_, (_, value))| value.is_none());
        let mut removed: Vec<(Revision, Name)> =
            removed.map(|(key, (version, _))| (*version, key.clone())).collect();
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
        let is_whole = known < self.pruned_version;
        let rows = self.rows.iter().filter(|(_, (version, value))| match is_whole {
            true => value.is_some(),
            false => *version > known,
        });
        let rows = rows.map(|(key, (version, value))| Row {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        });
        let from = if is_whole { Revision(0) } else { known };
        Rows { table, from, version: self.version, is_whole, rows: rows.collect() }
    }

    /// Milliseconds between the time at which the copy was the newest and `then`.
    pub(crate) fn age(&self, then: Millis) -> Option<i64> {
        let millis = |at: Millis| i64::try_from(at.0).unwrap_or(i64::MAX);
        self.current_at.map(|at| millis(then) - millis(at))
    }
}
