//! Guards against organisations that get more or less than their share.

use std::collections::BTreeMap;

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::request::{End, Id};
use hornbeamloom_kernel::resource::Configuration;

use crate::harness::{config, target, Harness};

const PROMPT: u64 = 10;
const OUTPUT: u64 = 200;
/// So much KV memory that it never limits a request.
const KV: u64 = 1_000_000;
/// Number of requests that may run at a time, and so of starts that one organisation can have.
const STARTS: u32 = 10;

/// Returns a pool with one warm target, nine of whose ten slots are open to long requests.
fn harness(order: &str) -> Harness {
    Harness::warm(&[("engine-1", target(1, STARTS, KV))], config(order, &["kvload"], &[]))
}

/// Keeps every organisation backlogged for some rounds and returns the service of each in tokens.
fn contend(harness: &mut Harness, sizes: &[(&str, usize)], rounds: usize) -> BTreeMap<String, u64> {
    let mut served: BTreeMap<String, u64> = BTreeMap::new();
    for _ in 0..rounds {
        for (name, backlog) in sizes {
            let pool = harness.kernel.state().pools.get(&crate::harness::key());
            let own = pool.and_then(|pool| pool.queue.get(name));
            let waiting = own.map_or(0, |own| own.len());
            harness.ask_many(name, backlog.saturating_sub(waiting));
        }
        harness.advance(500);
        let oldest = harness.running().into_iter().take(4);
        for (id, _) in oldest.collect::<Vec<_>>() {
            let owner = harness.pool().in_flight.get(&id).unwrap().ask.organisation.to_string();
            harness.end_attempt(&id, End::Complete, OUTPUT as u32, Some(100));
            *served.entry(owner).or_default() += PROMPT + 2 * OUTPUT;
        }
    }
    served
}

/// The stated bound: 2 x 10 starts x (10 prompt + 2 x 200 output tokens) = 8,200 tokens.
const BOUND: u64 = 2 * STARTS as u64 * (PROMPT + 2 * OUTPUT);

/// The large organisation has eight times the backlog; in order of arrival it would get eight times
/// the service.
fn share(order: &str, is_fair: bool) {
    let mut harness = harness(order);
    let served = contend(&mut harness, &[("large", 48), ("small", 6)], 300);
    let gap = served["large"].abs_diff(served["small"]);
    assert_eq!(BOUND, 8_200);
    assert_eq!(gap < BOUND, is_fair, "gap {gap} of {served:?}");
}

cases! {
    share;
    fair_share_keeps_the_gap_between_backlogged_organisations_below_8200_tokens: ("fair", true);
    first_come_first_served_does_not: ("fifo", false);
}

/// Service must be in proportion to the declared weights.
#[test]
fn weight_of_three_gets_three_times_the_service() {
    let mut harness = harness("fair");
    harness.set_weight("heavy", 3);
    harness.set_weight("light", 1);
    let served = contend(&mut harness, &[("heavy", 20), ("light", 20)], 400);
    let gap = served["heavy"].abs_diff(3 * served["light"]);
    assert!(gap < 3 * BOUND, "gap {gap} of {served:?}");
}

/// An organisation that was idle must not catch up on service and block the others meanwhile.
#[test]
fn returning_organisation_gets_no_credit() {
    let mut harness = harness("fair");
    harness.ask("returns");
    harness.advance(500);
    harness.finish_all();
    contend(&mut harness, &[("stays", 20)], 200);
    let served = contend(&mut harness, &[("stays", 20), ("returns", 20)], 60);
    let gap = served["stays"].abs_diff(served["returns"]);
    assert!(gap < BOUND, "gap {gap} of {served:?}");
}

/// The policy is work-conserving: a single organisation uses all slots.
#[test]
fn single_organisation_uses_the_whole_pool() {
    let mut harness = harness("fair");
    harness.ask_many("alone", 20);
    harness.advance(500);
    assert_eq!(harness.running().len(), 9, "one slot is kept for short requests");
}

/// Short requests that waited behind long ones of their organisation would be late.
fn short_goes_first(kind: fn(&mut Harness) -> Id, expected: bool) {
    let mut harness =
        Harness::warm(&[("engine-1", target(1, STARTS, KV))], Configuration::default());
    harness.ask_many("parlour-1", 20);
    harness.advance(500);
    let id = kind(&mut harness);
    assert_eq!(harness.granted(&id).is_some(), expected);
}

fn interactive(harness: &mut Harness) -> Id {
    let mut ask = harness.new_ask("parlour-1");
    ask.class = hornbeamloom_kernel::request::Class::Short;
    harness.send(&ask)
}

fn bounded(harness: &mut Harness) -> Id {
    let mut ask = harness.new_ask("parlour-1");
    ask.max_tokens = Some(64);
    harness.send(&ask)
}

fn long(harness: &mut Harness) -> Id {
    harness.ask("parlour-1")
}

/// Sends a request of an organisation whose answers have all been short so far.
fn learned(harness: &mut Harness) -> Id {
    let mut ask = harness.new_ask("brief");
    ask.max_tokens = None;
    for _ in 0..20 {
        let mut earlier = harness.new_ask("brief");
        earlier.class = hornbeamloom_kernel::request::Class::Short;
        let id = harness.send(&earlier);
        harness.end_attempt(&id, End::Complete, 30, Some(100));
    }
    harness.send(&ask)
}

cases! {
    short_goes_first;
    interactive_request_does_not_wait_behind_long_ones: (interactive, true);
    request_with_a_small_bound_does_not_wait_behind_long_ones: (bounded, true);
    request_that_is_expected_to_be_short_does_not_wait_behind_long_ones: (learned, true);
    long_request_does_not_take_the_slot_kept_for_short_ones: (long, false);
}
