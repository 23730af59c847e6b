//! Tables of the platform: one VM of a zone reads them, and the others hear of them in time.

mod fleet;

use fleet::{configuration, name, zone, Fleet};
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::feed::{Row, Rows, Table, Way};
use hornbeamloom_kernel::ids::Revision;

/// Time between two reads of a VM that follows the tables itself.
const READ_MS: u64 = 1_000;
/// Age up to which a VM leaves the tables to another, as the test's configuration states it.
const AGE_MS: u64 = 1_400;
const STEP_MS: u64 = 100;
/// Enough for gossip and the first questions.
const SETTLE_MS: u64 = 4_000;

struct Bed {
    fleet: Fleet,
    /// Version and key of each row of the targets' table.
    rows: Vec<(u64, &'static str)>,
    version: u64,
    /// VMs that do not reach the tables.
    cut_off: Vec<String>,
    reads: u64,
    elapsed: u64,
}

impl Bed {
    fn new(vms: usize) -> Bed {
        let mut fleet = Fleet::of_zone(vms);
        let fields = format!("\"feedAgeMs\": {AGE_MS}");
        fleet.declare(&[("riga-a", zone()), ("default", configuration(&fields))]);
        let rows = vec![(10, "engine-1")];
        let mut bed = Bed { fleet, rows, version: 10, cut_off: Vec::new(), reads: 0, elapsed: 0 };
        bed.run(SETTLE_MS);
        bed
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
            self.elapsed += STEP_MS;
            for (ix, vm) in self.vms().into_iter().enumerate() {
                let is_due = (self.elapsed + ix as u64 * STEP_MS) % READ_MS == 0;
                if is_due && self.way(&vm) == Way::Tables && !self.cut_off.contains(&vm) {
                    self.read(&vm);
                }
            }
            self.fleet.run(STEP_MS);
        }
    }

    fn read(&mut self, vm: &str) {
        if self.fleet.node(vm).gone || self.fleet.node(vm).paused {
            return;
        }
        self.reads += 1;
        let at = self.fleet.clock(vm);
        for table in [Table::Resources, Table::Targets] {
            let from = self.fleet.node(vm).kernel.state().feeds.version(table);
            let rows = match table {
                Table::Resources => Vec::new(),
                Table::Targets => self.since(from),
            };
            let version = Revision(self.version);
            let rows = Rows { table, from, version, is_whole: from == Revision(0), rows };
            self.fleet.event_at(vm, Event::RowsRead { rows: &rows, at });
        }
    }

    fn since(&self, from: Revision) -> Vec<Row> {
        let news = self.rows.iter().filter(|(version, _)| *version > from.0);
        let row = |(version, key): &(u64, &str)| Row {
            key: name(key),
            version: Revision(*version),
            value: Some(b"{}".to_vec()),
        };
        news.map(row).collect()
    }

    fn way(&mut self, vm: &str) -> Way {
        self.fleet.node(vm).kernel.state().feeds.way()
    }

    /// VMs that read the tables themselves.
    fn readers(&mut self) -> Vec<String> {
        let vms = self.vms();
        vms.into_iter().filter(|vm| self.way(vm) == Way::Tables).collect()
    }

    /// VMs whose copy has everything that was written.
    fn informed(&self) -> usize {
        let nodes = self.fleet.nodes.iter();
        let versions = nodes.map(|node| node.kernel.state().feeds.version(Table::Targets));
        versions.filter(|version| version.0 >= self.version).count()
    }
}

/// Guards against calls to the store that grow with the number of VMs.
#[test]
fn one_vm_reads_for_its_zone() {
    let mut bed = Bed::new(9);
    assert_eq!(bed.readers().len(), 1);
    bed.reads = 0;
    bed.run(20_000);
    assert!(bed.reads <= 20, "{} reads", bed.reads);
}

/// Guards against VMs that hear of a change only when they ask again.
#[test]
fn new_rows_are_passed_on_at_once() {
    let mut bed = Bed::new(3);
    bed.write("engine-2");
    let reader = bed.readers().remove(0);
    bed.read(&reader);
    bed.fleet.run(STEP_MS);
    assert_eq!(bed.informed(), 3);
}

/// How the reader of the zone fails.
type Fault = fn(&mut Bed, &str);

/// The others have a change within the age limit and one read, whatever the reader does.
fn survives(fault: Fault) {
    let mut bed = Bed::new(3);
    let reader = bed.readers().remove(0);
    fault(&mut bed, &reader);
    bed.write("engine-2");
    bed.run(AGE_MS + STEP_MS);
    bed.vms().iter().filter(|vm| **vm != reader).for_each(|vm| bed.read(vm));
    assert!(bed.informed() >= 2, "{} know of the change", bed.informed());
}

hornbeamloom_kernel::cases! {
    survives;

    // A killed reader would leave its zone without news.
    a_reader_that_dies: (|bed, reader| bed.fleet.node(reader).gone = true);
    a_reader_that_hangs: (|bed, reader| bed.fleet.node(reader).paused = true);
    // A reader that still answers but knows nothing new would pass for a current one.
    a_reader_that_loses_the_store: (|bed, reader| bed.cut_off.push(reader.to_owned()));
}

/// Guards against a copy that skips rows for ever after a message was lost.
#[test]
fn rows_beyond_a_gap_are_not_taken_in() {
    let mut bed = Bed::new(3);
    let reader = bed.readers().remove(0);
    let listener = bed.vms().into_iter().find(|vm| *vm != reader).unwrap();
    bed.fleet.partition(&[&reader], &[&listener]);
    bed.write("engine-2");
    bed.read(&reader);
    bed.fleet.run(STEP_MS);
    bed.fleet.cut.clear();
    bed.write("engine-3");
    bed.read(&reader);
    bed.run(AGE_MS);
    let version = Revision(bed.version);
    let feeds = &bed.fleet.node(&listener).kernel.state().feeds;
    assert_eq!(feeds.version(Table::Targets), version);
    assert_eq!(feeds.rows(Table::Targets), 3);
}
