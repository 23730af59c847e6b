//! Table replication: one VM of a zone reads the platform's tables, and the others receive changes
//! from it within the age limit.

mod fleet;

use fleet::{configuration, name, zone, Fleet};
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::feed::{FeedSource, Row, Rows, Table};
use hornbeamloom_kernel::ids::Revision;

/// Interval between the reads of a VM that reads the tables itself.
const READ_INTERVAL_MS: u64 = 1_000;
/// The `feedAgeMs` of the test's configuration.
const FEED_AGE_LIMIT_MS: u64 = 1_400;
const STEP_MS: u64 = 100;
/// Enough for gossip to converge and for the first queries.
const SETTLE_MS: u64 = 4_000;

struct Harness {
    fleet: Fleet,
    /// Version and key of each row of the targets' table.
    rows: Vec<(u64, &'static str)>,
    version: u64,
    /// VMs that cannot reach the store.
    vms_without_store: Vec<String>,
    read_count: u64,
    elapsed_ms: u64,
}

impl Harness {
    fn new(vms: usize) -> Harness {
        let mut fleet = Fleet::of_zone(vms);
        let fields = format!("\"feedAgeMs\": {FEED_AGE_LIMIT_MS}");
        fleet.declare(&[("riga-a", zone()), ("default", configuration(&fields))]);
        let rows = vec![(10, "engine-1")];
        let mut harness = Harness {
            fleet,
            rows,
            version: 10,
            vms_without_store: Vec::new(),
            read_count: 0,
            elapsed_ms: 0,
        };
        harness.run(SETTLE_MS);
        harness
    }

    fn vms(&self) -> Vec<String> {
        self.fleet.nodes.iter().map(|node| node.name.to_string()).collect()
    }

    fn write(&mut self, key: &'static str) {
        self.version += 10;
        self.rows.push((self.version, key));
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.elapsed_ms += STEP_MS;
            for (ix, vm) in self.vms().into_iter().enumerate() {
                let is_due = (self.elapsed_ms + ix as u64 * STEP_MS) % READ_INTERVAL_MS == 0;
                if is_due
                    && self.source(&vm) == FeedSource::Direct
                    && !self.vms_without_store.contains(&vm)
                {
                    self.read(&vm);
                }
            }
            self.fleet.run(STEP_MS);
        }
    }

    fn read(&mut self, vm: &str) {
        if self.fleet.node(vm).is_stopped || self.fleet.node(vm).is_paused {
            return;
        }
        self.read_count += 1;
        let at = self.fleet.clock(vm);
        for table in [Table::Resources, Table::Targets] {
            let from = self.fleet.node(vm).kernel.state().feeds.version(table);
            let rows = match table {
                Table::Resources => Vec::new(),
                Table::Targets => self.rows_since(from),
            };
            let version = Revision(self.version);
            let rows = Rows { table, from, version, is_whole: from == Revision(0), rows };
            self.fleet.event_at(vm, Event::RowsRead { rows: &rows, at });
        }
    }

    fn rows_since(&self, from: Revision) -> Vec<Row> {
        let newer = self.rows.iter().filter(|(version, _)| *version > from.0);
        let row = |(version, key): &(u64, &str)| Row {
            key: name(key),
            version: Revision(*version),
            value: Some(b"{}".to_vec()),
        };
        newer.map(row).collect()
    }

    fn source(&mut self, vm: &str) -> FeedSource {
        self.fleet.node(vm).kernel.state().feeds.source()
    }

    /// The VMs that read the tables themselves.
    fn readers(&mut self) -> Vec<String> {
        let vms = self.vms();
        vms.into_iter().filter(|vm| self.source(vm) == FeedSource::Direct).collect()
    }

    /// Number of VMs whose copy contains everything that was written.
    fn up_to_date(&self) -> usize {
        let nodes = self.fleet.nodes.iter();
        let versions = nodes.map(|node| node.kernel.state().feeds.version(Table::Targets));
        versions.filter(|version| version.0 >= self.version).count()
    }
}

/// Guards against a number of store calls that grows with the number of VMs.
#[test]
fn one_vm_reads_for_its_zone() {
    let mut harness = Harness::new(9);
    assert_eq!(harness.readers().len(), 1);
    harness.read_count = 0;
    harness.run(20_000);
    assert!(harness.read_count <= 20, "{} reads", harness.read_count);
}

/// Guards against subscribers that receive a change only with their next query.
#[test]
fn new_rows_are_passed_on_at_once() {
    let mut harness = Harness::new(3);
    harness.write("engine-2");
    let reader = harness.readers().remove(0);
    harness.read(&reader);
    harness.fleet.run(STEP_MS);
    assert_eq!(harness.up_to_date(), 3);
}

/// Makes the reader of the zone fail.
type ReaderFault = fn(&mut Harness, &str);

/// Checks that the other VMs get a change within the age limit plus one read, however the reader
/// fails.
fn others_learn_the_change(fault: ReaderFault) {
    let mut harness = Harness::new(3);
    let reader = harness.readers().remove(0);
    fault(&mut harness, &reader);
    harness.write("engine-2");
    harness.run(FEED_AGE_LIMIT_MS + STEP_MS);
    harness.vms().iter().filter(|vm| **vm != reader).for_each(|vm| harness.read(vm));
    assert!(harness.up_to_date() >= 2, "{} VMs have the change", harness.up_to_date());
}

hornbeamloom_kernel::cases! {
    others_learn_the_change;

    // Without a fallback, the zone would get no changes after a crash of the reader.
    a_reader_that_dies: (|harness, reader| harness.fleet.node(reader).is_stopped = true);
    a_reader_that_hangs: (|harness, reader| harness.fleet.node(reader).is_paused = true);
    // A reader that still answers but gets no changes itself must not count as current.
    a_reader_that_loses_the_store: (
        |harness, reader| harness.vms_without_store.push(reader.to_owned()),
    );
}

/// Guards against a copy that misses rows permanently after a message was lost.
#[test]
fn rows_beyond_a_gap_are_not_taken_in() {
    let mut harness = Harness::new(3);
    let reader = harness.readers().remove(0);
    let subscriber = harness.vms().into_iter().find(|vm| *vm != reader).unwrap();
    harness.fleet.partition(&[&reader], &[&subscriber]);
    harness.write("engine-2");
    harness.read(&reader);
    harness.fleet.run(STEP_MS);
    harness.fleet.cut_links.clear();
    harness.write("engine-3");
    harness.read(&reader);
    harness.run(FEED_AGE_LIMIT_MS);
    let version = Revision(harness.version);
    let feeds = &harness.fleet.node(&subscriber).kernel.state().feeds;
    assert_eq!(feeds.version(Table::Targets), version);
    assert_eq!(feeds.rows(Table::Targets), 3);
}
