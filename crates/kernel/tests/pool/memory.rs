//! Guards against engines that run out of KV memory during decoding.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::outcome::Reason;
use hornbeamloom_kernel::request::{Class, End};
use hornbeamloom_kernel::resource::Configuration;
use hornbeamloom_kernel::target::CacheBatch;

use crate::harness::{config, target, Harness};

/// For long requests 10,000 tokens x 0.9 headroom x 0.9 without the reserve for short ones = 8,100
/// tokens are usable; 9,000 while no short requests arrive.
const KV: u64 = 10_000;

fn harness(off: &[&str]) -> Harness {
    let config = config("fair", &["kvload"], off);
    Harness::warm(&[("engine-1", target(1, 32, KV))], config)
}

/// Each request is projected to use 750 prompt + 256 output tokens: eight of them use 8,048 of the
/// 9,000 tokens, nine would use 9,054.
fn projection(off: &[&str], expected: usize) {
    let mut harness = harness(off);
    for _ in 0..20 {
        let mut ask = harness.new_ask("parlour-1");
        ask.max_tokens = Some(1_000);
        ask.prompt_tokens = 750;
        harness.send(&ask);
    }
    harness.advance(600);
    assert_eq!(harness.running().len(), expected);
}

cases! {
    projection;
    projected_memory_stays_within_the_headroom: (&[], 8);
    without_headroom_the_slots_alone_decide: (&["headroom"], 20);
}

/// Use that a report shows above the projection belongs to other clients or wrong estimates.
#[test]
fn reported_use_above_the_projection_counts() {
    let mut harness = harness(&[]);
    harness.ask("parlour-1");
    // Without short requests all of 9,000 tokens is usable.
    harness.engines.get_mut("engine-1").unwrap().kv_used = 8_900;
    harness.advance(1_000);
    harness.ask_many("parlour-1", 3);
    assert_eq!(harness.running().len(), 1);
    harness.engines.get_mut("engine-1").unwrap().kv_used = 0;
    harness.advance(1_000);
    assert_eq!(harness.running().len(), 4);
}

/// An output longer than expected must raise the projection of its request.
#[test]
fn growing_output_raises_the_projection() {
    let mut harness = harness(&[]);
    let mut ask = harness.new_ask("parlour-1");
    ask.max_tokens = None;
    let id = harness.send(&ask);
    let before = harness.pool().targets[0].projected_kv;
    harness.tokens.insert(id.clone(), 2_000);
    harness.advance(600);
    let after = harness.pool().targets[0].projected_kv;
    assert!(before < 1_000 && after >= 2_000, "{before} then {after}");
    harness.finish(&id);
    assert_eq!(harness.pool().targets[0].projected_kv, 0);
}

/// The expected length must follow the organisation's earlier answers.
#[test]
fn expected_length_follows_earlier_answers() {
    let mut harness = harness(&[]);
    for _ in 0..40 {
        let id = harness.ask("parlour-1");
        harness.end_attempt(&id, End::Complete, 1_800, Some(100));
    }
    let mut ask = harness.new_ask("parlour-1");
    ask.max_tokens = None;
    let projected = harness.pool().projected_kv(&ask);
    assert!((1_800..2_300).contains(&projected), "{projected}");
}

/// A prompt that fits no target would wait until its deadline.
fn size(prompt: u32, class: Class, expected: Option<Reason>) {
    let mut harness = harness(&[]);
    let mut ask = harness.new_ask("parlour-1");
    ask.prompt_tokens = prompt;
    ask.class = class;
    let id = harness.send(&ask);
    assert_eq!(harness.refusal(&id), expected);
    assert_eq!(harness.granted(&id).is_some(), expected.is_none());
}

cases! {
    size;
    prompt_that_fits_no_target_is_refused: (8_100, Class::Long, Some(Reason::TooLarge));
    prompt_that_fits_an_idle_target_is_granted: (8_000, Class::Long, None);
    short_request_may_use_the_reserve: (8_500, Class::Short, None);
}

/// Without a reservation small requests could bypass a large one for ever.
fn large_request_is_served(tokens: u32) {
    let mut harness = harness(&[]);
    harness.ask_many("small", 40);
    harness.advance(600);
    let mut ask = harness.new_ask("large");
    ask.prompt_tokens = 7_000;
    let large = harness.send(&ask);
    for _ in 0..200 {
        let oldest = harness.running().first().map(|(id, _)| id.clone());
        if let Some(id) = oldest.filter(|id| *id != large) {
            harness.end_attempt(&id, End::Complete, tokens, Some(100));
        }
        harness.ask("small");
        harness.advance(100);
        if harness.granted(&large).is_some() {
            return;
        }
    }
    panic!("still waiting after 200 answers");
}

cases! {
    large_request_is_served;
    large_request_is_not_bypassed_for_ever_by_long_ones: (200);
    large_request_is_not_bypassed_for_ever_by_short_ones: (50);
}

/// Cached prefixes select among eligible targets; lost cache events must drop them.
fn affinity(first: u64, score: &[&str], expected: &str) {
    let config = config("fair", score, &[]);
    let targets = [("engine-1", target(1, 8, KV)), ("engine-2", target(1, 8, KV))];
    let mut harness = Harness::warm(&targets, config);
    for (first, stored) in [(0, vec![7, 8]), (first, vec![9])] {
        let batch = CacheBatch { first, stored, evicted: Vec::new() };
        let target = "engine-2";
        let batch = &batch;
        harness.handle(hornbeamloom_kernel::event::Event::CacheEvents { target, batch });
    }
    let mut ask = harness.new_ask("parlour-1");
    ask.prefixes = vec![7, 8];
    let id = harness.send(&ask);
    assert_eq!(harness.granted(&id).as_deref(), Some(expected));
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
    let mut harness = Harness::warm(&[("engine-1", target(1, 32, 1_000))], config);
    harness.ask_many("parlour-1", 20);
    harness.advance(600);
    assert!(harness.running().len() < 10);
}
