//! Guards against cold targets that get more requests than they can serve (invariant I2).

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::event::{Event, Vm};
use hornbeamloom_kernel::request::End;
use hornbeamloom_kernel::resource::{Configuration, ZoneState};
use hornbeamloom_kernel::target::{Phase, PollError};

use crate::harness::{target, Harness};

fn cold(limit: u32, warm: u32, phase: Phase) -> Harness {
    Harness::holder(&[("engine-1", target(limit, warm, 0))], phase, Configuration::default())
}

/// Without the ramp a cold target would get all eight requests.
fn cold_limit_holds(limit: u32, phase: Phase) {
    let mut harness = cold(limit, 32, phase);
    harness.ask_many("parlour-1", 8);
    harness.advance(2_000);
    assert_eq!(harness.running().len(), limit as usize);
}

cases! {
    cold_limit_holds;
    cold_limit_of_one_holds_while_the_report_says_cold: (1, Phase::Cold);
    cold_limit_of_two_holds_while_the_report_says_cold: (2, Phase::Cold);
    cold_limit_of_one_holds_for_a_new_target_that_reports_warm: (1, Phase::Warm);
    cold_limit_of_two_holds_for_a_new_target_that_reports_warm: (2, Phase::Warm);
}

/// Returns the number of requests in flight in each round; all of them complete at its end.
fn running_per_round(harness: &mut Harness, rounds: usize) -> Vec<usize> {
    harness.ask_many("parlour-1", 60);
    (0..rounds)
        .map(|_| {
            harness.advance(600);
            harness.finish_all()
        })
        .collect()
}

/// A ramp that grows too fast, or while the target reports cold, overloads the target.
fn ramp_doubles(limit: u32, warm: u32, phase: Phase, expected: &[usize]) {
    let mut harness = cold(limit, warm, phase);
    assert_eq!(running_per_round(&mut harness, expected.len()), expected);
}

cases! {
    ramp_doubles;
    ramp_doubles_from_one_to_the_warm_limit: (1, 8, Phase::Warm, &[1, 2, 4, 8, 8]);
    ramp_doubles_from_two_to_the_warm_limit: (2, 6, Phase::Warm, &[2, 4, 6, 6]);
    ramp_does_not_grow_while_the_report_says_cold: (2, 8, Phase::Cold, &[2, 2, 2, 2]);
}

/// Failed attempts must not advance the ramp: they do not show what a cold target can serve.
fn ramp_ignores(end: End) {
    let mut harness = cold(1, 8, Phase::Warm);
    harness.ask_many("parlour-1", 4);
    for _ in 0..3 {
        harness.advance(600);
        let running = harness.running();
        running.iter().for_each(|(id, _)| harness.end_attempt(id, end, 0, None));
        assert!(running.len() <= 1);
    }
}

cases! {
    ramp_ignores;
    ramp_ignores_broken_attempts: (End::Broken);
    ramp_ignores_rejected_attempts: (End::Rejected);
    ramp_ignores_cancelled_attempts: (End::Cancelled);
}

/// A change that makes a target cold or unavailable.
type Change = fn(&mut Harness);

/// Without detection a target that has turned cold would keep its warm limit of 8.
fn ramp_restarts(change: Change) {
    let mut harness = Harness::warm(&[("engine-1", target(1, 8, 0))], Configuration::default());
    harness.ask_many("parlour-1", 8);
    harness.advance(600);
    assert_eq!(harness.running().len(), 8, "the target starts warm");
    harness.finish_all();
    change(&mut harness);
    harness.advance(4_000);
    harness.finish_all();
    harness.ask_many("parlour-1", 30);
    let mut ramp = Vec::new();
    for _ in 0..4 {
        harness.advance(1_000);
        ramp.push(harness.finish_all());
    }
    assert_eq!(ramp, [1, 2, 4, 8]);
}

fn restart(harness: &mut Harness) {
    harness.engines.get_mut("engine-1").unwrap().start_id = 2;
}

fn report_cold(harness: &mut Harness) {
    harness.engines.get_mut("engine-1").unwrap().phase = Phase::Cold;
    harness.advance(1_000);
    harness.engines.get_mut("engine-1").unwrap().phase = Phase::Warm;
}

fn report_leaving(harness: &mut Harness) {
    harness.engines.get_mut("engine-1").unwrap().phase = Phase::Leaving;
    harness.advance(1_000);
    harness.engines.get_mut("engine-1").unwrap().phase = Phase::Warm;
}

fn refuse_polls(harness: &mut Harness) {
    harness.engines.get_mut("engine-1").unwrap().silence = Some(PollError::Refused);
    harness.advance(1_000);
    harness.engines.get_mut("engine-1").unwrap().silence = None;
}

fn slow_first_tokens(harness: &mut Harness) {
    let ids = harness.ask_many("parlour-2", 3);
    for id in ids {
        harness.end_attempt(&id, End::Complete, 50, Some(1_500));
    }
}

fn zone_out_and_in(harness: &mut Harness) {
    harness.set_zone(ZoneState::OutOfService);
    harness.advance(1_000);
    harness.set_zone(ZoneState::InService);
}

fn leaving_and_back(harness: &mut Harness) {
    let mut spec = target(1, 8, 0);
    spec.leaving = true;
    harness.set_target("engine-1", spec);
    harness.advance(1_000);
    harness.set_target("engine-1", target(1, 8, 0));
}

fn listed_as_leaving(harness: &mut Harness) {
    for leaving in [true, false] {
        let name = "engine-1".into();
        harness.handle(Event::Vms(&[Vm { name, leaving }]));
        harness.advance(1_000);
    }
    harness.list_vms(&["entry-1", "engine-1"]);
}

cases! {
    ramp_restarts;
    warm_target_is_ramped_again_after_its_start_id_changed: (restart);
    warm_target_is_ramped_again_after_it_reported_cold: (report_cold);
    warm_target_is_ramped_again_after_it_reported_leaving: (report_leaving);
    warm_target_is_ramped_again_after_it_refused_polls: (refuse_polls);
    warm_target_is_ramped_again_after_three_slow_first_tokens: (slow_first_tokens);
    warm_target_is_ramped_again_after_its_zone_was_out: (zone_out_and_in);
    warm_target_is_ramped_again_after_its_resource_was_leaving: (leaving_and_back);
    warm_target_is_ramped_again_after_the_platform_listed_it_as_leaving: (listed_as_leaving);
}

/// Requests of other clients must count against the cold limit.
#[test]
fn reported_untracked_requests_count_against_the_cold_limit() {
    let mut harness = cold(2, 8, Phase::Cold);
    harness.engines.get_mut("engine-1").unwrap().untracked = 1;
    harness.advance(4_000);
    harness.ask_many("parlour-1", 4);
    harness.advance(2_000);
    assert_eq!(harness.running().len(), 1);
}

/// Requests that start after their target was taken out of service break invariants I3 and I7.
fn gets_nothing(change: Change) {
    let mut harness = Harness::warm(&[("engine-1", target(1, 8, 0))], Configuration::default());
    change(&mut harness);
    harness.advance(600);
    harness.ask_many("parlour-1", 4);
    harness.advance(5_000);
    assert_eq!(harness.running(), []);
}

cases! {
    gets_nothing;
    zone_that_is_out_gets_nothing: (|harness| harness.set_zone(ZoneState::OutOfService));
    target_whose_resource_is_leaving_gets_nothing: (|harness| {
        let mut spec = target(1, 8, 0);
        spec.leaving = true;
        harness.set_target("engine-1", spec);
    });
    target_that_reports_leaving_gets_nothing: (|harness| {
        harness.engines.get_mut("engine-1").unwrap().phase = Phase::Leaving;
    });
    target_that_the_platform_lists_as_leaving_gets_nothing: (|harness| {
        let (name, leaving) = ("engine-1".into(), true);
        harness.handle(Event::Vms(&[Vm { name, leaving }]));
    });
    target_that_refuses_polls_gets_nothing: (|harness| {
        harness.engines.get_mut("engine-1").unwrap().silence = Some(PollError::Refused);
    });
}

/// In fallback, an outdated announcement of a holder that was paused would start as many requests
/// as the warm limit allows on a target that reports cold.
fn announcement_starts(phase: Phase, expected: usize) {
    let targets = [("engine-1", target(1, 8, 0))];
    let mut harness = Harness::idle(&targets, phase, Configuration::default());
    harness.ask_many("parlour-1", 4);
    harness.advance(2_000);
    harness.announce_warm(&["engine-1"]);
    harness.advance(1_000);
    assert_eq!(harness.running().len(), expected);
}

cases! {
    announcement_starts;
    holder_announcement_does_not_override_a_cold_report: (Phase::Cold, 0);
    holder_announcement_counts_if_the_report_says_warm: (Phase::Warm, 4);
}
