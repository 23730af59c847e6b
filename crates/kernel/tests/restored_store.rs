//! Local copies of the platform's tables when the store comes back from an older copy.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::feed::{Row, Rows, Table};
use hornbeamloom_kernel::ids::{Incarnation, Millis, Revision};
use hornbeamloom_kernel::kernel::{Identity, Kernel};
use hornbeamloom_kernel::outcome::Outcome;

/// A row as `(key, version number, value, sequence)`; an empty value stands for a removal.
type Listed = (&'static str, u64, &'static str, u64);
/// A row in force as `(key, value)`.
type InForce = Vec<(&'static str, &'static str)>;

struct Harness {
    kernel: Kernel,
    table: Table,
    now: Millis,
    in_force: Vec<(String, String)>,
}

impl Harness {
    fn new(table: Table) -> Harness {
        let mut kernel = Kernel::new(Identity::new("a1", "riga-a", Incarnation(1)));
        kernel.handle(Event::TablesAvailable { age_limit_ms: 1_400 }, Millis(0), &mut Vec::new());
        Harness { kernel, table, now: Millis(1_000), in_force: Vec::new() }
    }

    /// Handles rows that this VM read; `from` is `None` for the whole table.
    fn read(&mut self, from: Option<Revision>, version: Revision, listed: &[Listed]) {
        let row = |(key, number, value, sequence): &Listed| Row {
            key: (*key).into(),
            version: Revision::new(version.era(), *number),
            value: (!value.is_empty()).then(|| value.as_bytes().to_vec()),
            sequence: (!value.is_empty() && *sequence > 0).then_some(*sequence),
        };
        let rows = Rows {
            table: self.table,
            from: from.unwrap_or_default(),
            version,
            is_whole: from.is_none(),
            rows: listed.iter().map(row).collect(),
        };
        let mut out = Vec::new();
        self.kernel.handle(Event::RowsRead { rows: &rows, at: self.now }, self.now, &mut out);
        for outcome in out {
            if let Outcome::ApplyRows(rows) = outcome {
                self.apply(rows);
            }
        }
    }

    fn apply(&mut self, rows: Rows) {
        if rows.is_whole {
            self.in_force.clear();
        }
        for row in rows.rows {
            self.in_force.retain(|(key, _)| *key != *row.key);
            let value = row.value.map(|value| String::from_utf8(value).unwrap());
            self.in_force.extend(value.map(|value| (row.key.to_string(), value)));
        }
        self.in_force.sort();
    }
}

/// A change in the era after the return: time in milliseconds after the return, and rows.
type Change = (u64, &'static [Listed]);

/// Checks which rows are in force after the store came back from an older copy, at version 50, and
/// after each of the changes that follow. Before, the rows are at version 90.
fn rows_in_force(
    table: Table,
    before: &[Listed],
    copy: &[Listed],
    changes: &[Change],
    expected: &[InForce],
) {
    let mut harness = Harness::new(table);
    harness.read(None, Revision(30), &[]);
    harness.read(Some(Revision(30)), Revision(90), before);
    harness.now = harness.now.after(2_000);
    let returned_at = harness.now;
    let mut version = Revision::new(1, 50);
    harness.read(None, version, copy);
    let mut steps = vec![harness.in_force.clone()];
    for (after_ms, rows) in changes {
        harness.now = returned_at.after(*after_ms);
        let next = Revision::new(1, version.number() + 10);
        harness.read(Some(version), next, rows);
        version = next;
        steps.push(harness.in_force.clone());
    }
    let owned = |rows: &InForce| -> Vec<(String, String)> {
        rows.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect()
    };
    assert_eq!(steps, expected.iter().map(owned).collect::<Vec<_>>());
}

use Table::{Resources, Targets};

cases! {
    rows_in_force;

    // Guards against a configuration from before a change that had been confirmed.
    newer_configuration_stays_until_a_newer_one: (
        Resources, &[("config", 80, "v7", 7)], &[("config", 40, "v5", 5)],
        &[(500, &[("config", 55, "v6", 6)]), (30_000, &[]), (31_000, &[("config", 75, "v8", 8)])],
        &[vec![("config", "v7")], vec![("config", "v7")], vec![("config", "v7")], vec![("config", "v8")]]
    );
    // Guards against a number that was issued again and is taken for the change of before.
    reissued_version_is_a_change: (
        Resources, &[("config", 80, "v7", 7)], &[("config", 40, "v5", 5)],
        &[(500, &[]), (600, &[]), (700, &[("config", 80, "v9", 9)])],
        &[vec![("config", "v7")], vec![("config", "v7")], vec![("config", "v7")], vec![("config", "v9")]]
    );
    // Guards against the use of a zone whose evacuation the store has lost.
    lost_evacuation_holds_until_written_again: (
        Resources, &[("evacuate/a", 80, "{}", 0)], &[],
        &[(500, &[("evacuate/a", 55, "{}", 0)]), (20_000, &[]), (21_000, &[("evacuate/a", 75, "", 0)])],
        &[vec![("evacuate/a", "{}")], vec![("evacuate/a", "{}")], vec![("evacuate/a", "{}")], vec![]]
    );
    // Guards against an evacuation that holds forever because nobody writes it again.
    lost_evacuation_ends_after_a_time: (
        Resources, &[("evacuate/a", 80, "{}", 0)], &[], &[(9_000, &[]), (10_000, &[])],
        &[vec![("evacuate/a", "{}")], vec![("evacuate/a", "{}")], vec![]]
    );
    // Guards against new requests to a target that is known to leave.
    draining_target_stays_draining: (
        Targets, &[("engine-1", 80, "draining", 21)], &[("engine-1", 40, "ready", 20)],
        &[(500, &[]), (900, &[("engine-1", 65, "", 0)])],
        &[vec![("engine-1", "draining")], vec![("engine-1", "draining")], vec![]]
    );
    // Guards against a target that is out of use although it has started again.
    restarted_target_is_used: (
        Targets, &[("engine-1", 80, "draining", 21)], &[("engine-1", 40, "ready", 20)],
        &[(500, &[("engine-1", 55, "restarted", 40)])],
        &[vec![("engine-1", "draining")], vec![("engine-1", "restarted")]]
    );
    // Guards against the removal of live targets that have not registered again yet.
    lost_registration_holds_for_a_time: (
        Targets, &[("engine-1", 80, "ready", 20)], &[], &[(1_900, &[]), (2_000, &[])],
        &[vec![("engine-1", "ready")], vec![("engine-1", "ready")], vec![]]
    );
    // Guards against requests to a target that was removed in the time that the store has lost.
    removed_target_stays_removed_for_a_time: (
        Targets, &[("engine-1", 60, "ready", 20), ("engine-1", 80, "", 0)], &[("engine-1", 40, "ready", 20)],
        &[(5_900, &[]), (6_000, &[])],
        &[vec![], vec![], vec![("engine-1", "ready")]]
    );
    registration_written_again_is_used: (
        Targets, &[("engine-1", 60, "ready", 20), ("engine-1", 80, "", 0)], &[("engine-1", 40, "ready", 20)],
        &[(500, &[("engine-1", 55, "ready", 20)])],
        &[vec![], vec![("engine-1", "ready")]]
    );
}

/// Guards against a second return that ends the protection of the first one.
#[test]
fn configuration_stays_after_a_second_return() {
    let mut harness = Harness::new(Table::Resources);
    harness.read(None, Revision(90), &[("config", 80, "v7", 7), ("evacuate/a", 85, "{}", 0)]);
    harness.read(None, Revision::new(1, 50), &[("config", 40, "v5", 5)]);
    harness.now = harness.now.after(9_000);
    harness.read(None, Revision::new(2, 45), &[("config", 40, "v5", 5)]);
    harness.now = harness.now.after(9_000);
    harness.read(Some(Revision::new(2, 45)), Revision::new(2, 48), &[]);
    let expected = [("config", "v7"), ("evacuate/a", "{}")];
    assert_eq!(harness.in_force, expected.map(|(key, value)| (key.to_owned(), value.to_owned())));
}
