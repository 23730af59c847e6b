//! Guards against policies that cannot be selected by configuration alone.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::resource::{Configuration, Spec};
use hornbeamloom_kernel::target::Phase;

use crate::harness::{config, target, Harness};

/// Checks the targets of successive requests; the third target has a lower limit than the others.
fn spread(score: &[&str], expected: &[&str]) {
    let targets = [
        ("engine-1", target(1, 40, 0)),
        ("engine-2", target(1, 40, 0)),
        ("engine-3", target(1, 4, 0)),
    ];
    let mut harness = Harness::warm(&targets, config("fair", score, &[]));
    let taken: Vec<Name> = (0..expected.len())
        .filter_map(|_| {
            let id = harness.ask("parlour-1");
            harness.granted(&id)
        })
        .collect();
    let taken: Vec<&str> = taken.iter().map(|name| &**name).collect();
    assert_eq!(taken, expected);
}

cases! {
    spread;
    round_robin_takes_the_targets_in_turn: (
        &["round-robin"],
        &["engine-1", "engine-2", "engine-3", "engine-1", "engine-2", "engine-3"],
    );
    least_outstanding_evens_out_the_number_of_requests: (
        &["least-outstanding"],
        &["engine-1", "engine-2", "engine-3", "engine-1", "engine-2", "engine-3"],
    );
    kvload_evens_out_the_share_of_each_target: (
        &["kvload"],
        &["engine-1", "engine-2", "engine-3", "engine-1", "engine-2", "engine-1"],
    );
    without_scores_the_first_target_is_taken: (&[], &["engine-1", "engine-1"]);
}

/// Round-robin and least-outstanding differ once a request has completed.
fn after_finish(score: &[&str], expected: &str) {
    let targets = [("engine-1", target(1, 40, 0)), ("engine-2", target(1, 40, 0))];
    let mut harness = Harness::warm(&targets, config("fair", score, &[]));
    let ids = harness.ask_many("parlour-1", 3);
    harness.finish(&ids[0]);
    harness.finish(&ids[2]);
    let id = harness.ask("parlour-1");
    assert_eq!(harness.granted(&id).as_deref(), Some(expected));
}

cases! {
    after_finish;
    round_robin_uses_only_the_order_of_grants: (&["round-robin"], "engine-2");
    least_outstanding_uses_only_the_number_of_requests: (&["least-outstanding"], "engine-1");
}

/// FIFO order ignores organisations and classes.
fn order(name: &str, expected: &str) {
    let mut harness =
        Harness::warm(&[("engine-1", target(1, 1, 0))], config(name, &["kvload"], &[]));
    let first = harness.ask("busy");
    for organisation in ["busy", "busy", "quiet"] {
        harness.advance(10);
        harness.ask(organisation);
    }
    harness.finish(&first);
    let id = harness.running()[0].0.clone();
    let running = harness.pool().in_flight.get(&id).unwrap();
    assert_eq!(&*running.ask.organisation, expected);
}

cases! {
    order;
    fifo_serves_the_request_that_came_first: ("fifo", "busy");
    fair_serves_the_organisation_that_got_least: ("fair", "quiet");
}

/// Without the ramp a new target gets as many requests as its warm limit allows at once.
fn ramp(off: &[&str], expected: usize) {
    let mut harness = Harness::holder(
        &[("engine-1", target(1, 8, 0))],
        Phase::Warm,
        config("fair", &["kvload"], off),
    );
    harness.ask_many("parlour-1", 20);
    assert_eq!(harness.running().len(), expected);
}

cases! {
    ramp;
    ramp_is_on_by_default: (&[], 1);
    ramp_can_be_switched_off: (&["ramp"], 8);
}

/// A change of configuration must reach pools that are already scheduled.
#[test]
fn changed_configuration_applies_to_a_running_pool() {
    let mut harness =
        Harness::holder(&[("engine-1", target(1, 8, 0))], Phase::Warm, Configuration::default());
    harness.ask_many("parlour-1", 8);
    assert_eq!(harness.running().len(), 1);
    let off = config("fair", &["kvload"], &["ramp"]);
    harness.declare("default", Spec::Configuration(off));
    harness.apply_resources();
    harness.advance(500);
    assert_eq!(harness.running().len(), 8);
}

/// Every target must be polled twice a second.
#[test]
fn targets_are_polled_every_500_ms() {
    let targets = [("engine-1", target(1, 8, 0)), ("engine-2", target(1, 8, 0))];
    let mut harness = Harness::holder(&targets, Phase::Warm, Configuration::default());
    harness.polled.clear();
    harness.advance(5_000);
    let polls = harness.polled.iter().filter(|name| ***name == *"engine-1");
    assert_eq!(polls.count(), 10);
    assert_eq!(harness.polled.len(), 20);
}
