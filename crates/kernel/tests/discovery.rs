//! Targets that the platform's list names.

mod common;

use common::Harness;
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::feed::{Rows, Table};
use hornbeamloom_kernel::ids::{Millis, Revision};
use hornbeamloom_kernel::peer::Delta;
use hornbeamloom_kernel::resource::{Key, Kind, Record, Spec, Target};

/// One step of a script.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The list names a target at a version.
    Found(&'static str, u64),
    /// It names the target as leaving.
    Leaves(&'static str, u64),
    /// It no longer names the target.
    Gone(&'static str, u64),
    /// The whole list at a version, each target with the version of its entry.
    Whole(u64, &'static [(&'static str, u64)]),
    /// The list was read and had nothing new.
    Current,
    /// The list could not be read.
    Down,
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn record(name: &str, version: u64, spec: Option<Spec>) -> Record {
    Record {
        key: Key { kind: Kind::Target, name: name.into() },
        version: Revision(version),
        generation: version,
        labels: Default::default(),
        spec,
    }
}

fn target(leaving: bool) -> Option<Spec> {
    Some(Spec::Target(Target {
        service: "menu".into(),
        zone: "a1".into(),
        address: "127.0.0.1:9".to_owned(),
        cold_limit: 1,
        warm_limit: 8,
        cold_rate: 0,
        kv_tokens: 1_000,
        fencing: false,
        leaving,
        role: None,
    }))
}

fn tell(world: &mut Harness, to: u64, complete: bool, records: Vec<Record>) {
    let delta = Delta { from: Revision(0), to: Revision(to), complete, records };
    world.handle(Event::Discovered(&delta));
}

fn step(world: &mut Harness, step: Step) {
    match step {
        Step::Found(name, at) => tell(world, at, false, vec![record(name, at, target(false))]),
        Step::Leaves(name, at) => tell(world, at, false, vec![record(name, at, target(true))]),
        Step::Gone(name, at) => tell(world, at, false, vec![record(name, at, None)]),
        Step::Whole(at, list) => {
            let records = list.iter().map(|(name, at)| record(name, *at, target(false)));
            tell(world, at, true, records.collect());
        }
        Step::Current => {
            let rows = Rows {
                table: Table::Targets,
                from: Revision(0),
                version: Revision(1),
                is_whole: false,
                rows: Vec::new(),
            };
            let at = Millis(world.now);
            world.handle(Event::RowsRead { rows: &rows, at });
        }
        Step::Down => world.handle(Event::StoreDown),
        Step::Wait(ms) => {
            world.now += ms;
            world.handle(Event::Tick);
        }
    }
}

/// Runs a script and compares the discovered targets in force; a leaving one has a `-`.
fn knows(steps: &[Step], expected: &[&str]) {
    let mut world = Harness::new();
    steps.iter().for_each(|one| step(&mut world, *one));
    let intent = &world.kernel.state().intent;
    let found = intent.targets().into_iter().filter(|(name, _)| name.starts_with('x'));
    let found: Vec<String> = found
        .map(|(name, target)| format!("{name}{}", if target.leaving { "-" } else { "" }))
        .collect();
    assert_eq!(found, expected);
}

use Step::{Current, Down, Found, Gone, Leaves, Wait, Whole};

hornbeamloom_kernel::cases! {
    knows;

    // Requests would have no target although the platform lists some.
    a_listed_target_is_in_force: (&[Found("x1", 5)], &["x1"]);
    // A leaving target would get new work (I7).
    a_notice_of_leaving_is_in_force_at_once: (&[Found("x1", 5), Leaves("x1", 6)], &["x1-"]);
    // A stale read would bring a leaving target back.
    an_older_version_is_ignored: (&[Leaves("x1", 6), Found("x1", 5)], &["x1-"]);
    // Work would go to the address of a target that is gone.
    a_target_that_is_gone_is_dropped: (&[Found("x1", 5), Gone("x1", 6)], &[]);
    // A removal that the feed has skipped would keep a dead target for ever.
    a_whole_list_drops_what_it_does_not_name: (
        &[Found("x1", 5), Found("x2", 6), Whole(9, &[("x2", 6)])],
        &["x2"],
    );
    // A list read before the newest change would drop a target that came after it.
    a_whole_list_keeps_what_is_newer: (&[Found("x1", 12), Whole(9, &[])], &["x1"]);
    // Entries that lapse while the store is away would take live targets out.
    a_removal_after_an_outage_waits: (
        &[Found("x1", 5), Down, Whole(9, &[]), Wait(1_000)],
        &["x1"],
    );
    // A target that does not come back would stay for ever.
    a_removal_after_an_outage_applies_in_the_end: (
        &[Found("x1", 5), Down, Whole(9, &[]), Wait(2_100)],
        &[],
    );
    // A call that fails late would make removals wait once more, beyond the bound of the platform.
    a_late_failure_does_not_make_removals_wait_again: (
        &[Found("x1", 5), Found("x2", 5), Down, Current, Whole(9, &[("x2", 5)]), Wait(100), Down,
          Whole(10, &[("x2", 5)]), Wait(1_950)],
        &["x2"],
    );
    // A removal during an outage would count at once because the list was read before it.
    a_removal_after_an_outage_that_began_after_a_read_waits: (
        &[Found("x1", 5), Current, Wait(1_500), Down, Whole(9, &[])],
        &["x1"],
    );
    // The late removal would drop a target that has come back.
    a_target_that_returns_after_an_outage_stays: (
        &[Found("x1", 5), Down, Whole(9, &[]), Found("x1", 10), Wait(2_100)],
        &["x1"],
    );
    // A known notice of leaving would be forgotten during an outage.
    a_notice_right_after_an_outage_counts_at_once: (
        &[Found("x1", 5), Down, Leaves("x1", 6)],
        &["x1-"],
    );
}

/// Resources that operators declare must not drop what the platform has found, and the reverse.
#[test]
fn declared_and_discovered_targets_do_not_drop_each_other() {
    let mut world = Harness::new();
    step(&mut world, Found("x1", 5));
    world.run(&[common::Step::TargetLeaving("t2")]);
    step(&mut world, Whole(9, &[("x1", 5)]));
    let intent = &world.kernel.state().intent;
    assert!(intent.target("x1").is_some() && intent.target("t1").is_some());
}
