//! Stateful fuzzing: random schedules on four kernels in two zones, against a simple oracle.
//!
//! `HORNBEAMLOOM_FUZZ_SEED` and `HORNBEAMLOOM_FUZZ_STEPS` run other schedules by hand, for example
//! `HORNBEAMLOOM_FUZZ_SEED=7 HORNBEAMLOOM_FUZZ_STEPS=1000000 cargo test -p hornbeamloom-kernel
//! --test fuzz by_hand -- --nocapture`.

mod bed;
mod model;
mod oracle;
mod schedule;
mod stream;
mod table;

use std::hash::Hasher;
use std::panic::{catch_unwind, AssertUnwindSafe};

use bed::{Bed, Fault};
use oracle::Violation;
use schedule::Step;

/// Steps of one schedule.
const STEPS: usize = 400;
/// Every so many schedules one runs twice, to compare what it does.
const TWICE: u64 = 10;

/// What one run of a schedule gave.
struct Outcome {
    violations: Vec<Violation>,
    digest: u64,
    seen: std::collections::BTreeMap<&'static str, u64>,
}

fn run(seed: u64, steps: &[Step], fault: Fault) -> Outcome {
    let mut bed = Bed::new(seed, fault);
    for step in steps {
        bed.step(*step);
        if !bed.oracle.violations.is_empty() && fault == Fault::None {
            break;
        }
    }
    bed.settle();
    Outcome { violations: bed.oracle.violations, digest: bed.digest.finish(), seen: bed.seen }
}

/// The first violation of a schedule; a panic of the kernel is one.
fn violation(seed: u64, steps: &[Step]) -> Option<Violation> {
    let outcome = catch_unwind(AssertUnwindSafe(|| run(seed, steps, Fault::None)));
    match outcome {
        Ok(outcome) => outcome.violations.into_iter().next(),
        Err(_) => Some(Violation { rule: "panic", at: 0, text: "the kernel panicked".to_owned() }),
    }
}

fn fail(seed: u64, steps: &[Step], found: &Violation) -> ! {
    let fails = |steps: &[Step]| violation(seed, steps).is_some_and(|v| v.rule == found.rule);
    let short = schedule::shrink(steps, fails);
    let shown = violation(seed, &short).map(|violation| violation.to_string());
    let shown = shown.unwrap_or_default();
    panic!("seed {seed}: {found}\nshrunk: {short:?}\nwhich gives {shown}");
}

/// Runs so many schedules from a seed on; the first violation ends the test.
fn holds(first: u64, schedules: u64) {
    let mut seen = std::collections::BTreeMap::new();
    for seed in first..first + schedules {
        let steps = schedule::generate(seed, STEPS);
        if let Some(found) = violation(seed, &steps) {
            fail(seed, &steps, &found);
        }
        if seed % TWICE == 0 {
            let (one, other) = (run(seed, &steps, Fault::None), run(seed, &steps, Fault::None));
            assert_eq!(one.digest, other.digest, "seed {seed} does not repeat itself");
            for (what, count) in one.seen {
                *seen.entry(what).or_insert(0) += count;
            }
        }
    }
    let steps = schedules * STEPS as u64;
    println!("fuzz: {steps} steps in {schedules} schedules from seed {first}");
    println!("fuzz: in every tenth schedule: {seen:?}");
}

hornbeamloom_kernel::cases! {
    holds;

    // Any of the faults of the failure model, alone or together, would break an invariant.
    schedules_from_seed_1000: (1_000, 65);
    schedules_from_seed_2000: (2_000, 65);
    schedules_from_seed_3000: (3_000, 65);
    schedules_from_seed_4000: (4_000, 65);
    // The word of a holder that was paused overruled a cold report (I2).
    a_paused_holder_speaks_of_the_past: (100_780, 1);
    // A new holder took ended own work for the unknown work that a report showed (I2).
    unknown_work_is_not_taken_for_own_work: (300_790, 1);
    // A pool that was started anew trusted a word about warm targets that was 12 s old (I2).
    an_old_word_needs_a_report: (400_005, 1);
    // A last holder granted in the turn in which it woke up, on what it knew before (I2).
    nothing_is_granted_on_waking: (500_308, 1);
}

/// Schedules chosen by the environment; without it nothing runs.
fn chosen() {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let seed = number("HORNBEAMLOOM_FUZZ_SEED");
    let steps = number("HORNBEAMLOOM_FUZZ_STEPS");
    if seed.is_some() || steps.is_some() {
        let schedules = steps.unwrap_or(STEPS as u64).div_ceil(STEPS as u64);
        holds(seed.unwrap_or(1), schedules);
    }
}

hornbeamloom_kernel::cases! {
    chosen;

    // Rare orders of events would never be met by the fixed seeds.
    by_hand: ();
}

/// Breaks something in the test bed and expects the oracle to say so.
fn reports(fault: Fault, rule: &str) {
    let found = (1..=40).any(|seed| {
        let steps = schedule::generate(seed, STEPS);
        let violations = run(seed, &steps, fault).violations;
        violations.iter().any(|violation| violation.rule == rule)
    });
    assert!(found, "{fault:?} is not reported as {rule}");
}

hornbeamloom_kernel::cases! {
    reports;

    // Negative controls: a check that cannot fail would hide a broken invariant.
    a_cold_target_without_a_limit_is_reported: (Fault::RampOff, "I2");
    a_zone_that_kernels_think_in_is_reported: (Fault::ZoneHidden, "I3");
    a_target_that_kernels_think_staying_is_reported: (Fault::LeavingHidden, "I7");
    a_run_said_not_to_have_begun_is_reported: (Fault::RunHidden, "I5");
    a_table_that_forgets_claims_is_reported: (Fault::ClaimsForgotten, "I6");
    a_vm_without_changes_is_reported: (Fault::Deaf, "I9");
    a_revision_that_goes_back_is_reported: (Fault::SameIncarnation, "I9-back");
    a_second_verdict_is_reported: (Fault::RefusedTwice, "verdict");
    a_missing_verdict_is_reported: (Fault::EndsLost, "verdict");
    a_second_start_is_reported: (Fault::StartedTwice, "start");
    two_holders_are_reported: (Fault::Unconditional, "holder");
    a_fence_that_goes_back_is_reported: (Fault::LeasesForgotten, "fence");
    a_queue_beyond_its_bound_is_reported: (Fault::LongQueues, "queue");
}

/// Two seeds of the bed's own choices give two outcomes.
fn differ(one: u64, other: u64) {
    let steps = schedule::generate(1, STEPS);
    let digests = [one, other].map(|seed| run(seed, &steps, Fault::None).digest);
    assert_ne!(digests[0], digests[1]);
}

hornbeamloom_kernel::cases! {
    differ;

    // A digest that never differs would hide a kernel that does not repeat itself.
    other_delays_give_another_digest: (1, 2);
}
