//! Targets discovered through the platform's list.

mod common;

use common::Harness;
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::feed::{Rows, Table};
use hornbeamloom_kernel::ids::{Millis, Revision};
use hornbeamloom_kernel::outcome::Outcome;
use hornbeamloom_kernel::peer::Delta;
use hornbeamloom_kernel::resource::{Key, Kind, Record, Spec, Target};

/// A step of a script.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The list contains a target at this version.
    Found(&'static str, u64),
    /// The list contains the target, marked as leaving.
    Leaving(&'static str, u64),
    /// The target was removed from the list.
    Removed(&'static str, u64),
    /// The full list at a version, with the version of each target's entry.
    FullList(u64, &'static [(&'static str, u64)]),
    /// The list was read and has not changed.
    Unchanged,
    /// The list could not be read.
    Unreadable,
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
        start_id: 0,
        kv_tokens: 1_000,
        fencing: false,
        leaving,
        role: None,
        version: None,
    }))
}

fn discover(world: &mut Harness, to: u64, complete: bool, records: Vec<Record>) {
    let delta = Delta { from: Revision(0), to: Revision(to), sequence: 0, complete, records };
    world.handle(Event::TargetsDiscovered(&delta));
}

fn step(world: &mut Harness, step: Step) {
    match step {
        Step::Found(name, at) => discover(world, at, false, vec![record(name, at, target(false))]),
        Step::Leaving(name, at) => discover(world, at, false, vec![record(name, at, target(true))]),
        Step::Removed(name, at) => discover(world, at, false, vec![record(name, at, None)]),
        Step::FullList(at, list) => {
            let records = list.iter().map(|(name, at)| record(name, *at, target(false)));
            discover(world, at, true, records.collect());
        }
        Step::Unchanged => {
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
        Step::Unreadable => world.handle(Event::TableUnavailable),
        Step::Wait(ms) => {
            world.now += ms;
            world.handle(Event::Tick);
        }
    }
}

/// Runs a script and compares the active discovered targets; leaving ones are marked with `-`.
fn discovered_targets_are(steps: &[Step], expected: &[&str]) {
    let mut world = Harness::new();
    steps.iter().for_each(|one| step(&mut world, *one));
    let intent = &world.kernel.state().intent;
    let found = intent.targets().into_iter().filter(|(name, _)| name.starts_with('x'));
    let found: Vec<String> = found
        .map(|(name, target)| format!("{name}{}", if target.leaving { "-" } else { "" }))
        .collect();
    assert_eq!(found, expected);
}

/// Checks whether this VM uses a grant of `x1` after a script.
fn grant_is_used(steps: &[Step], expected: bool) {
    let mut world = Harness::new();
    for one in steps {
        match one {
            // With gossip, so that the other VMs are not taken for dead.
            Wait(ms) => drop(world.run(&[common::Step::Wait(*ms)])),
            _ => step(&mut world, *one),
        }
    }
    world.run(&[common::Step::Arrive(1)]);
    world.grant_in_zone(common::id(1), 1, "e2", "a1", "x1");
    let is_start = |outcome: &Outcome| matches!(outcome, Outcome::Start(_));
    assert_eq!(world.outcomes.iter().any(is_start), expected);
}

hornbeamloom_kernel::cases! {
    grant_is_used;

    // The owner may know a new target before this VM does.
    a_grant_of_an_unknown_target_is_used: (&[], true);
    // Guards against requests to a target that is gone, by a grant of an owner that has lost the
    // store for longer than this VM.
    a_grant_of_a_removed_target_is_not_used: (&[Found("x1", 5), Removed("x1", 6)], false);
    a_grant_of_a_target_that_is_listed_again_is_used: (
        &[Found("x1", 5), Removed("x1", 6), Found("x1", 7)], true,
    );
    // Guards against refusing live targets whose entries expired in an outage of the store.
    a_grant_of_a_target_removed_after_an_outage_is_used: (
        &[Found("x1", 5), Unreadable, FullList(9, &[]), Wait(2_000)], true,
    );
}

use Step::{Found, FullList, Leaving, Removed, Unchanged, Unreadable, Wait};

hornbeamloom_kernel::cases! {
    discovered_targets_are;

    // Otherwise requests would find no target although the platform lists one.
    a_listed_target_is_in_force: (&[Found("x1", 5)], &["x1"]);
    // Otherwise a leaving target would get new work (I7).
    a_notice_of_leaving_is_in_force_at_once: (&[Found("x1", 5), Leaving("x1", 6)], &["x1-"]);
    // Otherwise targets would keep the capacities of an earlier configuration, which is not part of
    // their version.
    a_record_that_changes_under_its_version_is_in_force: (
        &[Found("x1", 5), Leaving("x1", 5)], &["x1-"],
    );
    // Otherwise a stale read would make a leaving target available again.
    an_older_version_is_ignored: (&[Leaving("x1", 6), Found("x1", 5)], &["x1-"]);
    // Otherwise requests would be sent to the address of a removed target.
    a_removed_target_is_dropped: (&[Found("x1", 5), Removed("x1", 6)], &[]);
    // A removal that the feed skipped must not keep a dead target forever.
    a_full_list_drops_targets_that_it_lacks: (
        &[Found("x1", 5), Found("x2", 6), FullList(9, &[("x2", 6)])],
        &["x2"],
    );
    // A list that was read before the newest change must not drop a target added after it.
    a_full_list_keeps_newer_targets: (&[Found("x1", 12), FullList(9, &[])], &["x1"]);
    // Entries that expire while the store is unavailable must not remove live targets.
    a_removal_after_an_outage_is_deferred: (
        &[Found("x1", 5), Unreadable, FullList(9, &[]), Wait(1_000)],
        &["x1"],
    );
    // Otherwise a target that never returns would stay forever.
    a_removal_after_an_outage_applies_in_the_end: (
        &[Found("x1", 5), Unreadable, FullList(9, &[]), Wait(2_100)],
        &[],
    );
    // A call that fails late must not defer removals a second time, beyond the time that the
    // platform allows.
    a_late_failure_does_not_defer_removals_again: (
        &[
            Found("x1", 5), Found("x2", 5), Unreadable, Unchanged, FullList(9, &[("x2", 5)]),
            Wait(100), Unreadable, FullList(10, &[("x2", 5)]), Wait(1_950),
        ],
        &["x2"],
    );
    // A removal during an outage must be deferred even if the list was read shortly before the
    // outage.
    a_removal_after_an_outage_that_began_after_a_read_is_deferred: (
        &[Found("x1", 5), Unchanged, Wait(1_500), Unreadable, FullList(9, &[])],
        &["x1"],
    );
    // The deferred removal must not drop a target that has registered again.
    a_target_that_returns_after_an_outage_stays: (
        &[Found("x1", 5), Unreadable, FullList(9, &[]), Found("x1", 10), Wait(2_100)],
        &["x1"],
    );
    // A notice of leaving must take effect at once, even right after an outage.
    a_notice_right_after_an_outage_is_in_force_at_once: (
        &[Found("x1", 5), Unreadable, Leaving("x1", 6)],
        &["x1-"],
    );
}

/// Declared and discovered targets must not replace or drop each other.
#[test]
fn declared_and_discovered_targets_do_not_drop_each_other() {
    let mut world = Harness::new();
    step(&mut world, Found("x1", 5));
    world.run(&[common::Step::TargetLeaving("t2")]);
    step(&mut world, FullList(9, &[("x1", 5)]));
    let intent = &world.kernel.state().intent;
    assert!(intent.target("x1").is_some() && intent.target("t1").is_some());
}
