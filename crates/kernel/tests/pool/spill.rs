//! Guards against requests that wait in one pool while another could start them, and against cold
//! targets that get more requests a second than they can carry.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::outcome::Reason;
use hornbeamloom_kernel::request::End;
use hornbeamloom_kernel::resource::Target;
use hornbeamloom_kernel::target::Phase;

use crate::bed::{config, target, Bed};

fn bed(spec: Target) -> Bed {
    Bed::warm(&[("engine-1", spec)], config("fair", &["kvload"], &[]))
}

/// Whether a request that may spill starts, behind so many that run; the others may have waited.
fn spills(running: usize, spills: bool, expected: Option<Reason>) {
    let mut bed = bed(target(2, 2, 0));
    bed.asks("parlour-1", running);
    let mut ask = bed.draft("parlour-1");
    ask.spills = spills;
    let id = bed.send(&ask);
    let refusal = bed.refusal(&id);
    assert_eq!(refusal, expected);
    assert_eq!(bed.is_waiting(&id), expected.is_none() && running >= 2);
}

cases! {
    spills;
    a_free_target_starts_it: (1, true, None);
    a_full_pool_sends_it_on: (2, true, Some(Reason::Busy));
    a_request_without_another_pool_waits: (2, false, None);
}

/// Starts on a cold target with a rate, of ten requests asked for at once, and after a second.
fn cold_rate(rate: u32, phase: Phase, at_once: usize, later: usize) {
    let mut spec = target(40, 40, 0);
    spec.cold_rate = rate;
    let mut bed = bed(spec);
    bed.engines.values_mut().for_each(|engine| engine.phase = phase);
    bed.pass(4_000);
    bed.asks("parlour-1", 10);
    assert_eq!(bed.running().len(), at_once);
    bed.pass(1_300);
    assert_eq!(bed.running().len(), later);
}

cases! {
    cold_rate;
    a_cold_target_gets_its_rate: (3, Phase::Cold, 3, 6);
    a_limit_of_one_a_second_holds: (1, Phase::Cold, 1, 2);
    without_a_rate_its_slots_decide: (0, Phase::Cold, 10, 10);
    a_warm_target_has_no_rate: (1, Phase::Warm, 10, 10);
}

/// A generation that moves goes before requests that wait.
#[test]
fn a_moving_generation_goes_first() {
    let mut bed = bed(target(1, 2, 0));
    let running = bed.asks("parlour-1", 2);
    let waiting = bed.ask("parlour-1");
    let mut ask = bed.draft("parlour-2");
    ask.generated_tokens = 100;
    let moving = bed.send(&ask);
    bed.end(&running[0], End::Complete, 50, Some(100));
    assert!(bed.granted(&moving).is_some(), "it has less time than a request that has not started");
    assert!(bed.is_waiting(&waiting));
}

/// Requests that start at once on one engine while none of them has a first token.
fn reads_prompts(spills: bool, made: u32, expected: usize) {
    let mut bed = bed(target(40, 40, 100_000));
    for _ in 0..5 {
        let mut ask = bed.draft("parlour-1");
        ask.spills = spills;
        ask.generated_tokens = made;
        bed.send(&ask);
    }
    assert_eq!(bed.running().len(), expected);
}

cases! {
    reads_prompts;
    two_prompts_send_the_next_request_on: (true, 0, 2);
    a_request_without_another_pool_starts_all_the_same: (false, 0, 5);
    a_generation_that_moves_has_no_prompt_to_read: (true, 100, 5);
}

/// A target that reads prompts is passed for one that has more in memory.
#[test]
fn unread_prompts_weigh_more_than_memory_in_use() {
    let targets = [("engine-1", target(40, 40, 100_000)), ("engine-2", target(40, 40, 100_000))];
    let mut bed = Bed::warm(&targets, config("fair", &["kvload", "prefill"], &[]));
    let mut first = bed.draft("parlour-1");
    first.prompt_tokens = 5_000;
    let read = bed.send(&first);
    let place = bed.granted(&read).expect("it started");
    bed.tokens.insert(read, 10);
    bed.pass(600);
    let mut unread = bed.draft("parlour-1");
    unread.prompt_tokens = 2_000;
    let second = bed.send(&unread);
    assert_ne!(bed.granted(&second), Some(place.clone()), "the other one is empty");
    let mut third = bed.draft("parlour-1");
    third.prompt_tokens = 100;
    let third = bed.send(&third);
    assert_eq!(bed.granted(&third), Some(place));
}
