//! How a VM finds out that it reaches no target, and whom it asks to relay its connections.

mod fleet;

use fleet::{name, service, target, zone, Fleet};
use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::pool::Key;
use hornbeamloom_kernel::target::{PollError, Report};

/// An observation of the VM.
#[derive(Debug, Clone, Copy)]
enum Step {
    Reached(&'static str),
    Failed(&'static str),
    PollFailed(&'static str, PollError),
    Polled(&'static str),
    /// Time passes, in milliseconds.
    Wait(u64),
}

use PollError::{Malformed, Timeout};
use Step::{Failed, PollFailed, Polled, Reached, Wait};

/// VMs `a1` and `a2`, and the targets `engine-1` to `engine-3`.
fn start_fleet() -> Fleet {
    let mut fleet = Fleet::of_zone(2);
    let engine = || target("menu-model", "riga-a", "");
    fleet.declare(&[
        ("riga-a", zone()),
        ("menu-model", service()),
        ("engine-1", engine()),
        ("engine-2", engine()),
        ("engine-3", engine()),
    ]);
    fleet.run(3_000);
    fleet
}

fn observe(fleet: &mut Fleet, step: Step) {
    let contact = |target, is_reached| Event::TargetContact { target, is_reached };
    let report = Report { kv_capacity: 1, ..Report::default() };
    match step {
        Reached(target) => fleet.event_at("a1", contact(target, true)),
        Failed(target) => fleet.event_at("a1", contact(target, false)),
        PollFailed(target, error) => {
            fleet.event_at("a1", Event::Report { target, report: Err(error) })
        }
        Polled(target) => fleet.event_at("a1", Event::Report { target, report: Ok(&report) }),
        Wait(ms) => fleet.run(ms),
    }
}

/// Checks whether the VM takes itself for cut off after each step.
fn cut_off_after(steps: &[(Step, bool)]) {
    let mut fleet = start_fleet();
    for (ix, (step, expected)) in steps.iter().enumerate() {
        observe(&mut fleet, *step);
        let is_cut_off = fleet.node("a1").kernel.state().reach.is_cut_off();
        assert_eq!(is_cut_off, *expected, "after step {ix}, {step:?}");
    }
}

cases! {
    cut_off_after;

    failures_of_several_targets: (&[(Failed("engine-1"), false), (Failed("engine-2"), true)]);
    // Guards against a target that died and is taken for a lost path.
    failures_of_one_target: (&[(Failed("engine-1"), false), (Failed("engine-1"), false)]);
    // Guards against a VM that takes dead targets for lost paths while it reaches others.
    failures_beside_a_success: (&[
        (Failed("engine-1"), false), (Reached("engine-3"), false), (Failed("engine-2"), false),
        (Failed("engine-1"), false),
    ]);
    failures_long_after_a_success: (&[
        (Reached("engine-3"), false), (Wait(1_000), false), (Failed("engine-1"), false),
        (Failed("engine-2"), true),
    ]);
    failures_far_apart: (&[
        (Failed("engine-1"), false), (Wait(3_000), false), (Failed("engine-2"), false),
    ]);
    failure_of_an_unknown_target: (&[(Failed("engine-1"), false), (Failed("odd"), false)]);
    failed_polls: (&[(PollFailed("engine-1", Timeout), false), (PollFailed("engine-2", Timeout), true)]);
    // Guards against reports of another form that are taken for lost paths.
    malformed_reports: (&[(PollFailed("engine-1", Malformed), false), (PollFailed("engine-2", Malformed), false)]);
    failed_polls_beside_a_report: (&[
        (Polled("engine-3"), false), (PollFailed("engine-1", Timeout), false),
        (PollFailed("engine-2", Timeout), false),
    ]);
    // Guards against a VM that changes its mind with each connection of a lossy path.
    one_success_does_not_end_it: (&[
        (Failed("engine-1"), false), (Failed("engine-2"), true), (Reached("engine-1"), true),
        (Reached("engine-3"), false),
    ]);
}

/// Guards against a VM with few requests that notices the loss of its paths only after seconds.
#[test]
fn first_failure_probes_another_target() {
    let mut fleet = start_fleet();
    observe(&mut fleet, Failed("engine-1"));
    assert_eq!(fleet.node("a1").probes, vec![name("engine-2")]);
    observe(&mut fleet, Reached("engine-3"));
    observe(&mut fleet, Failed("engine-2"));
    assert_eq!(fleet.node("a1").probes.len(), 1, "a target was reached just before");
}

/// Guards against an owner that takes all its targets for dead because it is cut off from them.
#[test]
fn failed_polls_of_a_cut_off_vm_do_not_count() {
    let mut fleet = start_fleet();
    fleet.run(8_000);
    let pool = Key::new("menu-model", "riga-a");
    let owner = fleet.holder(&pool).expect("the pool has a holder");
    for target in ["engine-1", "engine-2"] {
        fleet.event_at(&owner, Event::TargetContact { target, is_reached: false });
    }
    for _ in 0..5 {
        fleet.run(500);
        for target in ["engine-1", "engine-2", "engine-3"] {
            fleet.event_at(&owner, Event::Report { target, report: Err(Timeout) });
        }
    }
    let now = fleet.clock(&owner);
    let pool = fleet.node(&owner).kernel.state().pools.get(&pool).expect("the owner schedules it");
    assert!(pool.targets.iter().all(|target| target.is_healthy(now)));
}

/// Guards against a cut-off VM that waits for a VM which cannot help it.
#[test]
fn vm_that_could_not_relay_is_left_out_for_a_time() {
    let mut fleet = start_fleet();
    for target in ["engine-1", "engine-2"] {
        observe(&mut fleet, Failed(target));
    }
    let relays = |fleet: &mut Fleet| fleet.node("a1").relays.clone();
    assert_eq!(relays(&mut fleet), vec![name("a2")]);
    fleet.event_at("a1", Event::RelayFailed { vm: "a2" });
    assert_eq!(relays(&mut fleet), vec![]);
    fleet.run(4_000);
    assert_eq!(relays(&mut fleet), vec![name("a2")]);
}
