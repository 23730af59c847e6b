//! Guards against engines whose memory fills during decoding.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::outcome::Reason;
use hornbeamloom_kernel::request::{Class, End};
use hornbeamloom_kernel::resource::Configuration;
use hornbeamloom_kernel::target::CacheBatch;

use crate::bed::{config, target, Bed};

/// Usable for long requests: 10,000 tokens x 0.9 headroom x 0.9 without the short reserve = 8,100.
const KV: u64 = 10_000;

fn bed(off: &[&str]) -> Bed {
    let config = config("fair", &["kvload"], off);
    Bed::warm(&[("engine-1", target(1, 32, KV))], config)
}

/// Each request is expected to fill 10 prompt + 1,000 output tokens: eight projections stay
/// below 8,100 tokens, nine do not.
fn projection(off: &[&str], expected: usize) {
    let mut bed = bed(off);
    for _ in 0..20 {
        let mut ask = bed.draft("parlour-1");
        ask.max_tokens = Some(1_000);
        ask.prompt_tokens = 750;
        bed.send(&ask);
    }
    bed.pass(600);
    assert_eq!(bed.running().len(), expected);
}

cases! {
    projection;
    projected_memory_stays_within_the_headroom: (&[], 8);
    without_headroom_the_slots_alone_decide: (&["headroom"], 20);
}

/// A report above the projection shows other clients or wrong estimates.
#[test]
fn reported_use_above_the_projection_counts() {
    let mut bed = bed(&[]);
    bed.ask("parlour-1");
    // Without short requests all of 9,000 tokens is usable.
    bed.engines.get_mut("engine-1").unwrap().kv_used = 8_900;
    bed.pass(1_000);
    bed.asks("parlour-1", 3);
    assert_eq!(bed.running().len(), 1);
    bed.engines.get_mut("engine-1").unwrap().kv_used = 0;
    bed.pass(1_000);
    assert_eq!(bed.running().len(), 4);
}

/// Answers longer than all before must not be planned with the old expectation.
#[test]
fn growing_output_raises_the_projection() {
    let mut bed = bed(&[]);
    let mut ask = bed.draft("parlour-1");
    ask.max_tokens = None;
    let id = bed.send(&ask);
    let before = bed.pool().targets[0].kv;
    bed.tokens.insert(id.clone(), 2_000);
    bed.pass(600);
    let after = bed.pool().targets[0].kv;
    assert!(before < 1_000 && after >= 2_000, "{before} then {after}");
    bed.finish(&id);
    assert_eq!(bed.pool().targets[0].kv, 0);
}

/// The lengths of an organisation's earlier answers give the expectation.
#[test]
fn expected_length_follows_earlier_answers() {
    let mut bed = bed(&[]);
    for _ in 0..40 {
        let id = bed.ask("parlour-1");
        bed.end(&id, End::Complete, 1_800, Some(100));
    }
    let mut ask = bed.draft("parlour-1");
    ask.max_tokens = None;
    let projected = bed.pool().projected(&ask);
    assert!((1_800..2_300).contains(&projected), "{projected}");
}

/// A prompt that fits no target would wait in vain.
fn size(prompt: u32, class: Class, expected: Option<Reason>) {
    let mut bed = bed(&[]);
    let mut ask = bed.draft("parlour-1");
    ask.prompt_tokens = prompt;
    ask.class = class;
    let id = bed.send(&ask);
    assert_eq!(bed.refusal(&id), expected);
    assert_eq!(bed.granted(&id).is_some(), expected.is_none());
}

cases! {
    size;
    prompt_that_fits_no_target_is_refused: (8_100, Class::Long, Some(Reason::TooLarge));
    prompt_that_fits_an_idle_target_is_granted: (8_000, Class::Long, None);
    short_request_may_use_the_reserve: (8_500, Class::Short, None);
}

/// A large request that small ones pass for ever would starve.
fn large_request_is_served(tokens: u32) {
    let mut bed = bed(&[]);
    bed.asks("small", 40);
    bed.pass(600);
    let mut ask = bed.draft("large");
    ask.prompt_tokens = 7_000;
    let large = bed.send(&ask);
    for _ in 0..200 {
        let oldest = bed.running().first().map(|(id, _)| id.clone());
        if let Some(id) = oldest.filter(|id| *id != large) {
            bed.end(&id, End::Complete, tokens, Some(100));
        }
        bed.ask("small");
        bed.pass(100);
        if bed.granted(&large).is_some() {
            return;
        }
    }
    panic!("still waiting after 200 answers");
}

cases! {
    large_request_is_served;
    large_request_is_not_passed_for_ever_by_long_ones: (200);
    large_request_is_not_passed_for_ever_by_short_ones: (50);
}

/// Prefix hints choose among open targets; lost events make them worthless.
fn affinity(first: u64, score: &[&str], expected: &str) {
    let config = config("fair", score, &[]);
    let targets = [("engine-1", target(1, 8, KV)), ("engine-2", target(1, 8, KV))];
    let mut bed = Bed::warm(&targets, config);
    for (first, stored) in [(0, vec![7, 8]), (first, vec![9])] {
        let batch = CacheBatch { first, stored, evicted: Vec::new() };
        let target = "engine-2";
        let batch = &batch;
        bed.handle(hornbeamloom_kernel::event::Event::CacheEvents { target, batch });
    }
    let mut ask = bed.draft("parlour-1");
    ask.prefixes = vec![7, 8];
    let id = bed.send(&ask);
    assert_eq!(bed.granted(&id).as_deref(), Some(expected));
}

cases! {
    affinity;
    affinity_prefers_the_target_that_holds_the_prefix: (2, &["kvload", "affinity"], "engine-2");
    affinity_forgets_the_hints_after_a_gap: (5, &["kvload", "affinity"], "engine-1");
    affinity_has_no_effect_when_not_selected: (2, &["kvload"], "engine-1");
}

/// The default configuration must include the memory projection.
#[test]
fn default_policy_projects_memory() {
    let config = Configuration::default();
    let mut bed = Bed::warm(&[("engine-1", target(1, 32, 1_000))], config);
    bed.asks("parlour-1", 20);
    bed.pass(600);
    assert!(bed.running().len() < 10);
}
