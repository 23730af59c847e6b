//! Parts of prompts that crash engines, whatever else the prompts contain.

#[allow(dead_code)]
#[path = "../pool/harness.rs"]
mod harness;
mod play;

use play::{Kind, Play, COMMON, DEADLY};

/// Time in which the schedulers may learn of the cause after the fifth death.
const WINDOW_MS: u64 = 3_000;
/// Requests with the deadly part that may start later.
const MAX_LATE_STARTS: usize = 3;

/// Plays sound requests, and deadly ones in a share of `per_mille`, every `interval_ms` in each of
/// some pools.
fn play(pools: usize, interval_ms: u64, per_mille: u64, prompt: [u64; 3], has_parts: bool) -> Play {
    let mut play = Play::new(pools, 4, has_parts);
    for step in 0..2_000 {
        if step * play::STEP_MS % interval_ms == 0 {
            for pool in 0..pools {
                let is_deadly = play.draw() % 1_000 < per_mille;
                let kind = if is_deadly { Kind::Deadly(prompt) } else { Kind::Sound };
                play.arrive(pool, kind);
            }
        }
        play.step();
    }
    play
}

/// Few deadly requests start after the cause can be known, and sound ones go on starting.
fn stops_deadly_requests(pools: usize, interval_ms: u64, per_mille: u64, prompt: [u64; 3]) {
    let without = play(pools, interval_ms, 0, prompt, true);
    let played = play(pools, interval_ms, per_mille, prompt, true);
    assert!(played.deaths.len() >= 3, "{} deaths", played.deaths.len());
    assert!(played.late_starts(WINDOW_MS) <= MAX_LATE_STARTS, "{}", played.late_starts(WINDOW_MS));
    assert!(played.is_quarantined(DEADLY) && !played.is_quarantined(COMMON[0]));
    assert!(!played.is_quarantined(COMMON[1]));
    let (sound, expected) = (played.sound_starts, without.sound_starts);
    assert!(sound * 2 >= expected, "{sound} of {expected} sound requests started");
}

hornbeamloom_kernel::cases! {
    stops_deadly_requests;

    // Guards against requests, no two alike, that crash one engine after another for their shared
    // part.
    one_pool_at_a_low_rate: (1, 500, 150, [COMMON[0], COMMON[1], DEADLY]);
    one_pool_at_a_high_rate: (1, 100, 300, [COMMON[0], COMMON[1], DEADLY]);
    three_pools_at_a_low_rate: (3, 500, 150, [COMMON[0], COMMON[1], DEADLY]);
    three_pools_at_a_high_rate: (3, 100, 300, [COMMON[0], COMMON[1], DEADLY]);
    // Guards against a quarantine of what always stands beside the cause, by its position alone.
    a_deadly_part_before_a_common_one: (3, 200, 200, [DEADLY, COMMON[0], COMMON[1]]);
    a_deadly_part_between_common_ones: (1, 200, 200, [COMMON[0], DEADLY, COMMON[1]]);
}

/// Negative control: without the parts, deadly requests start for as long as they come.
#[test]
fn without_parts_deadly_requests_go_on() {
    let played = play(3, 100, 300, [COMMON[0], COMMON[1], DEADLY], false);
    assert!(played.late_starts(WINDOW_MS) > MAX_LATE_STARTS, "{}", played.late_starts(WINDOW_MS));
}

/// Kills targets while sound requests run: `count` of each pool, `rounds` times every
/// `interval_ms`. No part may be quarantined.
fn deaths_quarantine_nothing(pools: usize, count: usize, rounds: u64, interval_ms: u64) {
    let mut play = Play::new(pools, 4, true);
    for step in 0..3_000 {
        if step % 10 == 0 {
            (0..pools).for_each(|pool| play.arrive(pool, Kind::Sound));
        }
        let at = step * play::STEP_MS;
        if at >= 3_000 && (at - 3_000) % interval_ms == 0 && (at - 3_000) / interval_ms < rounds {
            play.kill(count);
        }
        play.step();
    }
    assert!(!play.deaths.is_empty());
    assert_eq!(play.quarantined(), Vec::<u64>::new());
}

hornbeamloom_kernel::cases! {
    deaths_quarantine_nothing;

    // Guards against sound requests that are refused because many engines died at once.
    a_crash_of_a_third_of_the_targets: (3, 2, 1, 3_300);
    // Guards against counting crashes that have nothing to do with each other.
    repeated_crashes: (3, 1, 8, 3_300);
    // Guards against sound requests that are refused after a power loss.
    a_power_loss: (2, 4, 2, 9_000);
}

/// One request at a time may try a suspected part, until it has output.
#[test]
fn requests_with_a_suspected_part_start_one_at_a_time() {
    let mut play = Play::new(1, 4, true);
    play.arrive(0, Kind::Deadly([1, 2, DEADLY]));
    play.run(1_000);
    assert_eq!(play.deaths.len(), 1);
    let before = play.sound_starts;
    (0..5).for_each(|_| play.arrive(0, Kind::Chosen([1, 2, 3])));
    play.run(20);
    assert_eq!(play.sound_starts - before, 1);
    // The first output is reported within 500 ms, and clears the parts.
    play.run(1_000);
    assert_eq!(play.sound_starts - before, 5);
    assert!(!play.is_suspect(1) && play.is_suspect(DEADLY));
}

/// Guards against a common part that is quarantined because only the scheduler of another pool knows
/// that requests with it have output.
#[test]
fn a_scheduler_clears_a_part_that_had_output_in_its_pool() {
    let mut play = Play::new(1, 2, true);
    play.arrive(0, Kind::Chosen([1, 2, 3]));
    play.run(1_000);
    assert_eq!([1, 4].map(|part| play.clears_after_death_elsewhere(part)), [true, false]);
    assert!(!play.is_suspect(1) && play.is_suspect(4));
}

/// Guards against requests of VMs that have not heard of a quarantine, at an owner with and without
/// a lease.
#[test]
fn an_owner_refuses_a_part_that_another_vm_quarantined() {
    for is_holder in [true, false] {
        let mut play = Play::new(1, 2, true);
        if !is_holder {
            play.lose_lease(0);
        }
        play.quarantine(0, DEADLY);
        play.arrive(0, Kind::Deadly([1, 2, DEADLY]));
        play.run(1_000);
        assert_eq!(play.starts_of_deadly(), 0);
        assert!(play.refusals > 0, "with a lease: {is_holder}");
    }
}
