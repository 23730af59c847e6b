//! Guards against requests that wait in one pool while another could start them, and against cold
//! targets that get more requests per second than they can serve.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::outcome::Reason;
use hornbeamloom_kernel::request::End;
use hornbeamloom_kernel::resource::Target;
use hornbeamloom_kernel::target::Phase;

use crate::harness::{config, target, Harness};

fn harness(spec: Target) -> Harness {
    Harness::warm(&[("engine-1", spec)], config("fair", &["kvload"], &[]))
}

/// Checks whether a request starts, waits or is refused while `running` others are in flight on a
/// target with two slots.
fn spills(running: usize, spills: bool, expected: Option<Reason>) {
    let mut harness = harness(target(2, 2, 0));
    harness.ask_many("parlour-1", running);
    let mut ask = harness.new_ask("parlour-1");
    ask.spills = spills;
    let id = harness.send(&ask);
    let refusal = harness.refusal(&id);
    assert_eq!(refusal, expected);
    assert_eq!(harness.is_waiting(&id), expected.is_none() && running >= 2);
}

cases! {
    spills;
    request_that_may_spill_starts_on_a_free_target: (1, true, None);
    full_pool_refuses_a_request_that_may_spill: (2, true, Some(Reason::Busy));
    request_that_cannot_spill_waits: (2, false, None);
}

/// Checks how many of ten simultaneous requests start on a target with a cold rate, at once and
/// after a second.
fn cold_rate(rate: u32, phase: Phase, at_once: usize, later: usize) {
    let mut spec = target(40, 40, 0);
    spec.cold_rate = rate;
    let mut harness = harness(spec);
    harness.engines.values_mut().for_each(|engine| engine.phase = phase);
    harness.advance(4_000);
    harness.ask_many("parlour-1", 10);
    assert_eq!(harness.running().len(), at_once);
    harness.advance(1_300);
    assert_eq!(harness.running().len(), later);
}

cases! {
    cold_rate;
    cold_target_gets_its_rate: (3, Phase::Cold, 3, 6);
    cold_rate_of_one_a_second_holds: (1, Phase::Cold, 1, 2);
    without_a_cold_rate_the_concurrency_limit_decides: (0, Phase::Cold, 10, 10);
    cold_rate_does_not_apply_to_a_warm_target: (1, Phase::Warm, 10, 10);
}

/// A relocated generation must start before waiting requests.
#[test]
fn relocated_generation_starts_first() {
    let mut harness = harness(target(1, 2, 0));
    let running = harness.ask_many("parlour-1", 2);
    let waiting = harness.ask("parlour-1");
    let mut ask = harness.new_ask("parlour-2");
    ask.generated_tokens = 100;
    let relocated = harness.send(&ask);
    harness.end_attempt(&running[0], End::Complete, 50, Some(100));
    assert!(
        harness.granted(&relocated).is_some(),
        "it has less time than a request that has not started"
    );
    assert!(harness.is_waiting(&waiting));
}

/// Checks how many of five requests start on one engine while none of them has a first token. Two that
/// are run again, without a copy of their KV memory, run there already.
fn pending_reruns(is_recomputed: bool, expected: usize) {
    let mut harness = harness(target(40, 40, 100_000));
    for _ in 0..2 {
        let mut ask = harness.new_ask("parlour-1");
        (ask.generated_tokens, ask.is_recomputed) = (8, is_recomputed);
        harness.send(&ask);
    }
    for _ in 0..5 {
        let mut ask = harness.new_ask("parlour-1");
        ask.spills = true;
        harness.send(&ask);
    }
    assert_eq!(harness.running().len(), expected);
}

cases! {
    pending_reruns;
    // Guards against prompts that are not counted because their request has output.
    reruns_are_pending_prompts: (true, 2);
    relocated_generations_are_no_pending_prompts: (false, 4);
}

/// Checks how many of five requests start on one engine while none of them has a first token.
fn pending_prompts(spills: bool, made: u32, expected: usize) {
    let mut harness = harness(target(40, 40, 100_000));
    for _ in 0..5 {
        let mut ask = harness.new_ask("parlour-1");
        ask.spills = spills;
        ask.generated_tokens = made;
        harness.send(&ask);
    }
    assert_eq!(harness.running().len(), expected);
}

cases! {
    pending_prompts;
    two_pending_prompts_refuse_a_request_that_may_spill: (true, 0, 2);
    request_that_cannot_spill_ignores_pending_prompts: (false, 0, 5);
    relocated_generation_has_no_pending_prompt: (true, 100, 5);
}

/// A target with pending prompts must be avoided in favour of one with more memory in use.
#[test]
fn pending_prompts_weigh_more_than_memory_in_use() {
    let targets = [("engine-1", target(40, 40, 100_000)), ("engine-2", target(40, 40, 100_000))];
    let mut harness = Harness::warm(&targets, config("fair", &["kvload", "prefill"], &[]));
    let mut first = harness.new_ask("parlour-1");
    first.prompt_tokens = 5_000;
    let read = harness.send(&first);
    let first_target = harness.granted(&read).expect("the first request starts");
    harness.tokens.insert(read, 10);
    harness.advance(600);
    let mut pending = harness.new_ask("parlour-1");
    pending.prompt_tokens = 2_000;
    let second = harness.send(&pending);
    assert_ne!(harness.granted(&second), Some(first_target.clone()), "the other target is empty");
    let mut third = harness.new_ask("parlour-1");
    third.prompt_tokens = 100;
    let third = harness.send(&third);
    assert_eq!(harness.granted(&third), Some(first_target));
}
