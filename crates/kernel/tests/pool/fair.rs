//! Guards against organisations that get more or less than their share.

use std::collections::BTreeMap;

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::request::{End, Id};
use hornbeamloom_kernel::resource::Configuration;

use crate::bed::{config, target, Bed};

const PROMPT: u64 = 10;
const OUTPUT: u64 = 200;
/// Enough memory never to matter here.
const KV: u64 = 1_000_000;
/// Requests that may run together on the pool, and so the starts that one organisation can hold.
const STARTS: u32 = 10;

/// One warm target; nine of its ten slots are open to long requests.
fn bed(order: &str) -> Bed {
    Bed::warm(&[("engine-1", target(1, STARTS, KV))], config(order, &["kvload"], &[]))
}

/// Keeps every organisation backlogged for a time and returns the service of each in tokens.
fn contend(bed: &mut Bed, sizes: &[(&str, usize)], rounds: usize) -> BTreeMap<String, u64> {
    let mut served: BTreeMap<String, u64> = BTreeMap::new();
    for _ in 0..rounds {
        for (name, backlog) in sizes {
            let pool = bed.kernel.state().pools.get(&crate::bed::key());
            let own = pool.and_then(|pool| pool.queue.get(name));
            let waiting = own.map_or(0, |own| own.len());
            bed.asks(name, backlog.saturating_sub(waiting));
        }
        bed.pass(500);
        let oldest = bed.running().into_iter().take(4);
        for (id, _) in oldest.collect::<Vec<_>>() {
            let owner = bed.pool().in_flight.get(&id).unwrap().ask.organisation.to_string();
            bed.end(&id, End::Complete, OUTPUT as u32, Some(100));
            *served.entry(owner).or_default() += PROMPT + 2 * OUTPUT;
        }
    }
    served
}

/// The stated bound: 2 x 10 starts x (10 prompt + 2 x 200 output tokens) = 8,200 tokens.
const BOUND: u64 = 2 * STARTS as u64 * (PROMPT + 2 * OUTPUT);

/// First come, first served would give the large organisation eight times the service.
fn share(order: &str, is_fair: bool) {
    let mut bed = bed(order);
    let served = contend(&mut bed, &[("large", 48), ("small", 6)], 300);
    let gap = served["large"].abs_diff(served["small"]);
    assert_eq!(BOUND, 8_200);
    assert_eq!(gap < BOUND, is_fair, "gap {gap} of {served:?}");
}

cases! {
    share;
    fair_share_keeps_the_gap_between_backlogged_organisations_below_8200_tokens: ("fair", true);
    first_come_first_served_does_not: ("fifo", false);
}

/// A weight that has no effect, or too much, is not what operators declared.
#[test]
fn weight_of_three_gets_three_times_the_service() {
    let mut bed = bed("fair");
    bed.set_weight("heavy", 3);
    bed.set_weight("light", 1);
    let served = contend(&mut bed, &[("heavy", 20), ("light", 20)], 400);
    let gap = served["heavy"].abs_diff(3 * served["light"]);
    assert!(gap < 3 * BOUND, "gap {gap} of {served:?}");
}

/// An organisation that returns must not make up for its idle time and lock out the others.
#[test]
fn returning_organisation_gets_no_credit() {
    let mut bed = bed("fair");
    bed.ask("returns");
    bed.pass(500);
    bed.finish_all();
    contend(&mut bed, &[("stays", 20)], 200);
    let served = contend(&mut bed, &[("stays", 20), ("returns", 20)], 60);
    let gap = served["stays"].abs_diff(served["returns"]);
    assert!(gap < BOUND, "gap {gap} of {served:?}");
}

/// The policy is work-conserving: an organisation alone uses all slots.
#[test]
fn lone_organisation_uses_the_whole_pool() {
    let mut bed = bed("fair");
    bed.asks("alone", 20);
    bed.pass(500);
    assert_eq!(bed.running().len(), 9, "one slot is kept for short requests");
}

/// Short requests that wait behind long ones of their organisation come too late.
fn short_goes_first(kind: fn(&mut Bed) -> Id, expected: bool) {
    let mut bed = Bed::warm(&[("engine-1", target(1, STARTS, KV))], Configuration::default());
    bed.asks("parlour-1", 20);
    bed.pass(500);
    let id = kind(&mut bed);
    assert_eq!(bed.granted(&id).is_some(), expected);
}

fn interactive(bed: &mut Bed) -> Id {
    let mut ask = bed.draft("parlour-1");
    ask.class = hornbeamloom_kernel::request::Class::Short;
    bed.send(&ask)
}

fn bounded(bed: &mut Bed) -> Id {
    let mut ask = bed.draft("parlour-1");
    ask.max_tokens = Some(64);
    bed.send(&ask)
}

fn long(bed: &mut Bed) -> Id {
    bed.ask("parlour-1")
}

/// Sent by an organisation whose answers have all been short so far.
fn learned(bed: &mut Bed) -> Id {
    let mut ask = bed.draft("brief");
    ask.max_tokens = None;
    for _ in 0..20 {
        let mut earlier = bed.draft("brief");
        earlier.class = hornbeamloom_kernel::request::Class::Short;
        let id = bed.send(&earlier);
        bed.end(&id, End::Complete, 30, Some(100));
    }
    bed.send(&ask)
}

cases! {
    short_goes_first;
    interactive_request_is_not_stuck_behind_long_ones: (interactive, true);
    request_with_a_small_bound_is_not_stuck_behind_long_ones: (bounded, true);
    request_that_is_expected_to_be_short_is_not_stuck_behind_long_ones: (learned, true);
    long_request_does_not_take_the_slot_kept_for_short_ones: (long, false);
}
