//! Guards against requests that the scheduler orders, moves or refuses in the wrong way when the
//! order is `slack`.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::outcome::Reason;
use hornbeamloom_kernel::peer::{Advice, Ask, Load, Message, Slack};
use hornbeamloom_kernel::pool::Key;
use hornbeamloom_kernel::request::{Class, Id};
use hornbeamloom_kernel::resource::{AvailabilityZone, Spec, Target, ZoneState};

use crate::harness::{config, target, Harness, ENTRY, SERVICE};

const TERMS: Slack = Slack { max_retry_after_ms: 2_000 };

/// A pool with one engine for two requests, beside one in another zone.
fn harness(order: &str) -> Harness {
    let zone = AvailabilityZone { region: "pl-centrum".into(), state: ZoneState::InService };
    let mut harness =
        Harness::warm(&[("engine-1", target(2, 2, 100_000))], config(order, &["kvload"], &[]));
    harness.declare("lodz-b", Spec::AvailabilityZone(zone));
    let other = Target { zone: "lodz-b".into(), ..target(2, 2, 100_000) };
    harness.set_target("engine-2", other);
    harness.add_vm(ENTRY, 9);
    harness.advance(300);
    harness
}

fn ask(harness: &mut Harness, organisation: &str, priority: u8, max_wait_ms: u64) -> Ask {
    Ask {
        priority: Some(priority),
        class: Class::Short,
        max_wait_ms,
        spills: true,
        slack: Some(TERMS),
        ..harness.new_ask(organisation)
    }
}

/// Takes both places of the engine.
fn fill(harness: &mut Harness) -> [Id; 2] {
    [(); 2].map(|()| {
        let ask = Ask { class: Class::Short, ..harness.new_ask("runs") };
        harness.send(&ask)
    })
}

/// Sends asks with priority and wait, ends what ran, and checks which of them start in what order.
fn starts_in_order(asks: &[(&str, u8, u64)], expected: &[usize]) {
    let mut harness = harness("slack");
    let first = fill(&mut harness);
    let ids: Vec<Id> = asks
        .iter()
        .map(|(organisation, priority, max_wait_ms)| {
            let ask = ask(&mut harness, organisation, *priority, *max_wait_ms);
            harness.send(&ask)
        })
        .collect();
    let mut running = first[0].clone();
    for ix in expected {
        harness.finish(&running);
        running = ids[*ix].clone();
        assert!(harness.granted(&running).is_some(), "request {ix} of {asks:?}");
    }
}

cases! {
    starts_in_order;
    urgent_request_passes_one_that_came_before:
        (&[("a", 2, 8_000), ("b", 0, 8_000)], &[1, 0]);
    latest_useful_start_decides_between_organisations:
        (&[("a", 1, 9_000), ("b", 1, 3_000), ("c", 1, 6_000)], &[1, 2, 0]);
    latest_useful_start_decides_within_an_organisation:
        (&[("a", 1, 9_000), ("a", 1, 3_000)], &[1, 0]);
}

fn advice(harness: &Harness, id: &Id) -> Option<Option<Advice>> {
    let refusals = harness.sent_to(ENTRY, |message| matches!(message, Message::Refuse { .. }));
    refusals.into_iter().find_map(|message| match message {
        Message::Refuse { id: refused, advice, .. } if refused == *id => Some(advice),
        _ => None,
    })
}

/// Checks the answer to a request that cannot start at once while the other pool has this load.
fn is_moved(order: &str, terms: Option<Slack>, load: Option<Load>, expected: Option<Advice>) {
    let mut harness = harness(order);
    fill(&mut harness);
    if let Some(load) = load {
        let pool = Key::new(SERVICE, "lodz-b");
        harness.receive("entry-3", Message::Load { pool, load });
    }
    let ask = Ask { slack: terms, ..ask(&mut harness, "a", 1, 8_000) };
    let id = harness.send(&ask);
    let answer = advice(&harness, &id);
    let is_immediate = order == "fair" || terms.is_none();
    assert_eq!(answer.clone().flatten(), expected);
    assert_eq!(harness.is_waiting(&id), answer.is_none() && !is_immediate);
    assert_eq!(harness.refusal(&id), is_immediate.then_some(Reason::Busy));
}

const ROOMY: Load = Load { wait_ms: 0, room: 9_000, rate: 0 };
const FULL: Load = Load { wait_ms: 900, room: 0, rate: 1_000 };

cases! {
    is_moved;
    request_moves_to_a_pool_with_room:
        ("slack", Some(TERMS), Some(ROOMY), Some(Advice::Ask("lodz-b".into())));
    request_stays_if_the_other_pool_is_full: ("slack", Some(TERMS), Some(FULL), None);
    request_stays_if_the_other_pool_is_unknown: ("slack", Some(TERMS), None, None);
    request_of_an_earlier_version_spills_as_before: ("slack", None, Some(ROOMY), None);
    order_fair_ignores_the_terms: ("fair", Some(TERMS), Some(ROOMY), None);
}

/// A load that is no longer sent must not attract requests.
#[test]
fn old_load_is_ignored() {
    let mut harness = harness("slack");
    fill(&mut harness);
    let pool = Key::new(SERVICE, "lodz-b");
    harness.receive("entry-3", Message::Load { pool, load: ROOMY });
    harness.advance(2_000);
    let ask = ask(&mut harness, "a", 1, 8_000);
    let id = harness.send(&ask);
    assert!(harness.is_waiting(&id));
}

/// The caller must get its refusal when a start would come too late, and not at its deadline: half
/// of the time to its first token is kept for the prompt before any was observed.
#[test]
fn request_is_refused_for_good_at_its_latest_useful_start() {
    let mut harness = harness("slack");
    fill(&mut harness);
    let ask = ask(&mut harness, "a", 1, 3_000);
    let id = harness.send(&ask);
    // The harness would repeat the ask with the same time left.
    harness.stop_asking();
    harness.advance(1_400);
    assert!(harness.is_waiting(&id));
    harness.advance(500);
    assert_eq!(advice(&harness, &id), Some(Some(Advice::Stop)));
}
