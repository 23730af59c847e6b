//! Table replication: one VM of a zone reads the platform's tables, and the others receive changes
//! from it within the age limit.

mod fleet;

use fleet::{name, zone, Fleet};
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::feed::{FeedSource, Row, Rows, Table, TableUpdate};
use hornbeamloom_kernel::ids::{Incarnation, Revision};
use hornbeamloom_kernel::peer::{Death, Message, Suspect};

/// Interval between the reads of a VM that reads the tables itself.
const READ_INTERVAL_MS: u64 = 1_000;
/// Age at which the copies of the tests are outdated.
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
    /// Reads including those that failed.
    attempt_count: u64,
    /// Most VMs that tried to read within one interval.
    peak_attempts: usize,
    elapsed_ms: u64,
    /// Source of each VM in the previous step.
    sources: Vec<FeedSource>,
}

impl Harness {
    fn new(vms: usize) -> Harness {
        let mut harness = Harness::starting(vms);
        harness.run(SETTLE_MS);
        harness
    }

    /// A zone whose VMs have all just started.
    fn starting(vms: usize) -> Harness {
        let mut fleet = Fleet::of_zone(vms);
        fleet.declare(&[("riga-a", zone())]);
        let rows = vec![(10, "engine-1")];
        let mut harness = Harness {
            fleet,
            rows,
            version: 10,
            vms_without_store: Vec::new(),
            read_count: 0,
            attempt_count: 0,
            peak_attempts: 0,
            elapsed_ms: 0,
            sources: vec![FeedSource::Peer; vms],
        };
        for vm in harness.vms() {
            harness.announce(&vm);
        }
        harness
    }

    /// Announces the tables to a VM, as its adapter does at its start.
    fn announce(&mut self, vm: &str) {
        let age_limit_ms = FEED_AGE_LIMIT_MS;
        self.fleet.event_at(vm, Event::TablesAvailable { age_limit_ms });
    }

    /// Starts a VM again, with a clock that starts at zero.
    fn restart_vm(&mut self, vm: &str) {
        self.fleet.restart_vm(vm, "riga-a", 2);
        self.announce(vm);
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
            self.peak_attempts = self.peak_attempts.max(self.readers().len());
            for (ix, vm) in self.vms().into_iter().enumerate() {
                let source = self.source(&vm);
                let is_new = std::mem::replace(&mut self.sources[ix], source) != source;
                let is_due = (self.elapsed_ms + ix as u64 * STEP_MS) % READ_INTERVAL_MS == 0;
                if source != FeedSource::Direct || !(is_due || is_new) {
                    continue;
                }
                self.attempt_count += 1;
                if !self.vms_without_store.contains(&vm) {
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
            sequence: None,
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

    /// The given VM and those that `selects` selects by their number.
    fn select(&self, vm: &str, selects: fn(usize) -> bool) -> Vec<String> {
        let vms = self.vms().into_iter().enumerate();
        vms.filter(|(ix, other)| selects(*ix) || *other == *vm).map(|(_, vm)| vm).collect()
    }

    /// Makes the store turn away a VM and those that `selects` selects.
    fn turn_away(&mut self, vm: &str, selects: fn(usize) -> bool) {
        self.vms_without_store = self.select(vm, selects);
    }

    /// Stops a VM and those that `selects` selects.
    fn stop(&mut self, vm: &str, selects: fn(usize) -> bool) {
        for vm in self.select(vm, selects) {
            self.fleet.node(&vm).is_stopped = true;
        }
    }

    /// Drops the messages between the pairs of VMs that `selects` selects by their numbers.
    fn silence(&mut self, selects: fn(usize, usize) -> bool) {
        let vms = self.vms();
        for (ix, vm) in vms.iter().enumerate() {
            for (other_ix, other) in vms.iter().enumerate().skip(ix + 1) {
                if selects(ix, other_ix) {
                    self.fleet.partition(&[vm], &[other]);
                }
            }
        }
    }

    /// Whether a running VM that reaches the store lacks changes.
    fn lacks_changes(&mut self, vm: &str) -> bool {
        let is_connected = !self.vms_without_store.iter().any(|other| other == vm);
        let version = Revision(self.version);
        let node = self.fleet.node(vm);
        let known = node.kernel.state().feeds.version(Table::Targets);
        is_connected && !node.is_stopped && known < version
    }

    /// Whether a VM takes its resources for current enough to accept keys.
    fn accepts_keys(&mut self, vm: &str) -> bool {
        let now = self.fleet.clock(vm);
        let freshness = &self.fleet.node(vm).kernel.state().freshness;
        freshness.accepts_keys(FEED_AGE_LIMIT_MS as u32, now)
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

/// Number of VMs of a zone of the largest deployment.
const LARGE_ZONE_VMS: usize = 60;

/// Guards against all VMs of a large zone reading the tables when they start together.
#[test]
fn vms_that_start_together_do_not_all_read() {
    let mut harness = Harness::starting(LARGE_ZONE_VMS);
    harness.run(10_000);
    assert_eq!(harness.up_to_date(), LARGE_ZONE_VMS);
    // The hash order settles while gossip spreads, so another VM may read for a short time.
    assert!(harness.peak_attempts <= 3, "{} VMs read at a time", harness.peak_attempts);
}

/// Checks that few VMs of a large zone try to read while the store turns the given share of them
/// away, and that all are up to date with the last change where any VM can read.
fn store_turns_vms_away(turns_away: fn(usize) -> bool, max_readers: usize, is_served: bool) {
    let mut harness = Harness::new(LARGE_ZONE_VMS);
    let reader = harness.readers().remove(0);
    harness.turn_away(&reader, turns_away);
    harness.peak_attempts = 0;
    harness.run(10_000);
    harness.write("engine-2");
    harness.run(10_000);
    assert!(harness.peak_attempts <= max_readers, "{} VMs read", harness.peak_attempts);
    let expected = if is_served { LARGE_ZONE_VMS } else { 0 };
    assert_eq!(harness.up_to_date(), expected);
    harness.vms_without_store.clear();
    harness.run(10_000);
    assert_eq!(harness.up_to_date(), LARGE_ZONE_VMS, "after the outage");
    harness.attempt_count = 0;
    harness.run(20_000);
    assert!(harness.attempt_count <= 40, "{} reads after the outage", harness.attempt_count);
}

hornbeamloom_kernel::cases! {
    store_turns_vms_away;

    // Without a common order, every VM would look for a substitute of its own.
    only_the_reader_is_turned_away: (|_| false, 3, true);
    a_third_of_the_vms_is_turned_away: (|ix| ix % 3 == 0, 6, true);
    all_vms_are_turned_away: (|_| true, 8, false);
}

/// Time in milliseconds within which a change is in force, from which the age limit of the copies
/// follows.
const APPLY_LIMIT_MS: u64 = 2_000;

/// Checks that all VMs which reach the store have a change in time although others of the zone fail
/// right after a read and right before the change.
fn change_reaches_the_zone_in_time(vms: usize, fail: fn(&mut Harness, &str)) {
    let mut harness = Harness::new(vms);
    harness.run(10_000);
    let reader = harness.readers().remove(0);
    harness.read(&reader);
    harness.fleet.run(STEP_MS);
    fail(&mut harness, &reader);
    harness.write("engine-2");
    harness.run(APPLY_LIMIT_MS);
    let late: Vec<String> =
        harness.vms().into_iter().filter(|vm| harness.lacks_changes(vm)).collect();
    assert!(late.is_empty(), "{} of {vms} VMs lack the change: {late:?}", late.len());
}

hornbeamloom_kernel::cases! {
    change_reaches_the_zone_in_time;

    // A search that asks one VM at a time meets those that fail one after the other.
    with_three_vms_of_which_one_reads: (3, |zone, reader| zone.turn_away(reader, |ix| ix != 2));
    with_three_vms_of_which_two_read: (3, |zone, reader| zone.turn_away(reader, |_| false));
    with_a_third_turned_away: (27, |zone, reader| zone.turn_away(reader, |ix| ix % 3 == 0));
    with_half_turned_away: (27, |zone, reader| zone.turn_away(reader, |ix| ix % 2 == 0));
    with_two_thirds_turned_away: (27, |zone, reader| zone.turn_away(reader, |ix| ix % 3 != 0));
    in_the_largest_zone_with_a_third_turned_away:
        (LARGE_ZONE_VMS, |zone, reader| zone.turn_away(reader, |ix| ix % 3 == 0));
    in_the_largest_zone_with_two_thirds_turned_away:
        (LARGE_ZONE_VMS, |zone, reader| zone.turn_away(reader, |ix| ix % 3 != 0));
    with_the_reader_gone: (27, |zone, reader| zone.stop(reader, |_| false));
    with_the_reader_and_a_third_gone: (27, |zone, reader| zone.stop(reader, |ix| ix % 3 == 0));
    in_the_largest_zone_with_the_reader_and_a_third_gone:
        (LARGE_ZONE_VMS, |zone, reader| zone.stop(reader, |ix| ix % 3 == 0));
    // A search that relies on connections between VMs fails if these are silent.
    with_the_connections_of_one_vm_silent: (27, |zone, _| zone.silence(|_, ix| ix == 26));
    with_all_connections_silent: (27, |zone, _| zone.silence(|_, _| true));
    with_two_thirds_of_the_connections_silent:
        (27, |zone, _| zone.silence(|ix, other| (ix + other) % 3 != 0));
    in_the_largest_zone_with_half_of_the_connections_silent:
        (LARGE_ZONE_VMS, |zone, _| zone.silence(|ix, other| (ix ^ other) % 2 == 0));
}

/// Guards against a VM that waits for its next round of queries, and asks nobody meanwhile, when the
/// store is back but the connections between VMs are silent.
#[test]
fn change_after_an_outage_reaches_vms_with_silent_connections_in_time() {
    let mut harness = Harness::new(27);
    harness.vms_without_store = harness.vms();
    harness.run(6_000);
    harness.silence(|_, _| true);
    harness.run(STEP_MS);
    harness.vms_without_store.clear();
    harness.write("engine-2");
    harness.run(APPLY_LIMIT_MS);
    let late: Vec<String> =
        harness.vms().into_iter().filter(|vm| harness.lacks_changes(vm)).collect();
    assert!(late.is_empty(), "{} VMs lack the change: {late:?}", late.len());
}

/// Guards against a VM that waits for its zone forever although no other VM answers it.
#[test]
fn isolated_vm_reads_for_itself() {
    let mut harness = Harness::new(5);
    let reader = harness.readers().remove(0);
    let alone = harness.vms().into_iter().find(|vm| *vm != reader).unwrap();
    let others: Vec<String> = harness.vms().into_iter().filter(|vm| *vm != alone).collect();
    let others: Vec<&str> = others.iter().map(String::as_str).collect();
    harness.fleet.partition(&[&alone], &others);
    harness.run(8_000);
    assert_eq!(harness.source(&alone), FeedSource::Direct);
    harness.fleet.cut_links.clear();
    harness.run(20_000);
    assert_eq!(harness.readers(), vec![reader]);
}

/// Guards against a VM that starts and sends a quarantined body to targets because it does not list
/// the records itself.
#[test]
fn starting_vm_learns_of_quarantined_bodies() {
    const FINGERPRINT: u64 = 7;
    let mut harness = Harness::new(5);
    // The VMs that list the records send them to the others only every 30 s.
    harness.run(10_000);
    for start_id in 1..=2 {
        let running = vec![Suspect {
            fingerprint: FINGERPRINT,
            organisation: name("school-1"),
            service: name("menu-model"),
            parts: Vec::new(),
            granted_ago_ms: 0,
        }];
        let death = Message::Death(Death { target: name("t1"), start_id, running, age_ms: 0 });
        for vm in harness.vms() {
            harness.fleet.event_at(&vm, Event::Peer { from: "a1", message: &death });
        }
    }
    harness.fleet.start_vm("a3", "riga-a", 2);
    harness.announce("a3");
    harness.run(2_000);
    let now = harness.fleet.clock("a3");
    let registry = &harness.fleet.node("a3").kernel.state().quarantine;
    assert!(registry.is_quarantined(FINGERPRINT, now));
}

/// Guards against a reader that sends each row to all VMs of its zone: on a slow link, a large
/// configuration then takes longer than the time within which it must be in force.
#[test]
fn rows_are_passed_on_through_a_tree() {
    let mut harness = Harness::new(LARGE_ZONE_VMS);
    harness.run(10_000);
    let reader = harness.readers().remove(0);
    harness.fleet.traced_vm = Some(reader.as_str().into());
    harness.write("engine-2");
    harness.read(&reader);
    harness.fleet.run(5 * STEP_MS);
    assert_eq!(harness.up_to_date(), LARGE_ZONE_VMS);
    let has_rows = |message: &&Message| match message {
        Message::TableUpdates { updates, .. } => {
            updates.iter().any(|update| !update.rows.rows.is_empty())
        }
        _ => false,
    };
    let copies = harness.fleet.trace.iter().filter(has_rows).count();
    assert!(copies <= 10, "{copies} copies of the row sent by the reader");
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

/// Guards against a target that is gone and comes back, because a late update of a peer contains its
/// row from before the whole table was read.
#[test]
fn late_update_brings_no_removed_row_back() {
    let mut harness = Harness::new(2);
    let reader = harness.readers().remove(0);
    let at = harness.fleet.clock(&reader);
    let row = |key, version| Row {
        key: name(key),
        version: Revision(version),
        value: Some(b"{}".to_vec()),
        sequence: None,
    };
    let whole = Rows {
        table: Table::Targets,
        from: Revision(0),
        version: Revision(50),
        is_whole: true,
        rows: vec![row("engine-2", 40)],
    };
    harness.fleet.event_at(&reader, Event::RowsRead { rows: &whole, at });
    let late = Rows { from: Revision(5), version: Revision(20), is_whole: false, ..whole };
    let late = Rows { rows: vec![row("engine-1", 10), row("engine-3", 60)], ..late };
    let updates = vec![TableUpdate { rows: late, age_ms: None }];
    let message = &Message::TableUpdates { sent: at, incarnation: Incarnation(1), updates };
    harness.fleet.event_at(&reader, Event::Peer { from: "a2", message });
    // The newer row is not known from the whole table.
    assert_eq!(harness.fleet.node(&reader).kernel.state().feeds.rows(Table::Targets), 2);
}

/// Guards against a VM that reads rows which it then drops, since its copy is of a later era of the
/// store, and takes its copy for current all the same.
#[test]
fn read_of_an_earlier_era_makes_no_copy_current() {
    let mut harness = Harness::new(2);
    let reader = harness.readers().remove(0);
    let sent = harness.fleet.clock(&reader);
    let update = |table| {
        let version = Revision::new(1, 5);
        let rows = Rows { table, from: Revision(0), version, is_whole: true, rows: Vec::new() };
        TableUpdate { rows, age_ms: None }
    };
    let updates = vec![update(Table::Resources), update(Table::Targets)];
    let message = &Message::TableUpdates { sent, incarnation: Incarnation(1), updates };
    harness.fleet.event_at(&reader, Event::Peer { from: "a2", message });
    assert!(harness.accepts_keys(&reader));
    harness.run(2 * FEED_AGE_LIMIT_MS);
    assert!(!harness.accepts_keys(&reader));
}

/// Guards against a VM that applies updates meant for its earlier process to the clock of its new
/// one. Its copies then seem to be current for as long as the earlier process ran, as do those of
/// the VMs that it passes them on to: the zone keeps old resources and accepts revoked keys.
#[test]
fn updates_for_an_earlier_process_make_no_copy_current() {
    let mut harness = Harness::new(3);
    let reader = harness.readers().remove(0);
    // While the reader restarts, the third VM subscribes at the second one.
    harness.fleet.node(&reader).is_stopped = true;
    harness.run(20_000);
    let second = harness.readers().into_iter().find(|vm| *vm != reader).unwrap();
    let third = harness.vms().into_iter().find(|vm| *vm != reader && *vm != second).unwrap();
    harness.restart_vm(&reader);
    harness.run(2_000);
    harness.restart_vm(&third);
    harness.run(3_000);
    harness.vms_without_store = harness.vms();
    harness.run(2 * FEED_AGE_LIMIT_MS);
    for vm in harness.vms() {
        assert!(!harness.accepts_keys(&vm), "{vm} accepts keys");
    }
}
