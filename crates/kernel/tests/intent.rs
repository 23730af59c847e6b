//! The active resources have a single revision that never goes back.

mod fleet;

use fleet::{delta, record_of, service, target, tombstone, zone, Fleet};
use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::intent::{Intent, Source};
use hornbeamloom_kernel::member::GOSSIP_INTERVAL_MS;
use hornbeamloom_kernel::peer::{Delta, Message};
use hornbeamloom_kernel::resource::{Kind, Record, Spec};

const HOUR_MS: u64 = 3_600_000;

fn intent<'a>(fleet: &'a mut Fleet, vm: &str) -> &'a Intent {
    &fleet.node(vm).kernel.state().intent
}

fn apply(fleet: &mut Fleet, delta: &Delta) {
    fleet.event_at("a1", Event::Changes(delta));
}

fn changes(from: u64, to: u64, complete: bool, records: Vec<Record>) -> Delta {
    Delta { from: Revision(from), to: Revision(to), sequence: 0, complete, records }
}

/// A VM at revision 5 with a service, a zone and a target.
fn fleet_at_revision_5() -> Fleet {
    let mut fleet = Fleet::of_zone(1);
    apply(&mut fleet, &delta(0, 5, &fleet::one_pool()));
    fleet
}

/// Guards against a revision that goes back or skips changes, regardless of the sender.
fn revision_becomes(given: Delta, is_from_peer: bool, expected: u64, counted: &str) {
    let mut fleet = fleet_at_revision_5();
    match is_from_peer {
        true => {
            let message = &Message::Delta(given);
            fleet.event_at("a1", Event::Peer { from: "z9", message });
        }
        false => apply(&mut fleet, &given),
    }
    assert_eq!(intent(&mut fleet, "a1").revision, Revision(expected));
    if !counted.is_empty() {
        assert_eq!(fleet.node("a1").count(counted), 1);
    }
}

cases! {
    revision_becomes;
    next_revision_is_taken: (delta(5, 6, &[]), false, 6, "");
    overlapping_changes_are_taken: (delta(2, 6, &[]), true, 6, "");
    same_revision_is_ignored: (delta(0, 5, &[]), true, 5, "delta_old");
    lower_revision_of_a_restored_store_is_ignored: (delta(0, 3, &[]), false, 5, "store_regressed");
    lower_complete_set_is_ignored: (changes(0, 4, true, Vec::new()), true, 5, "delta_old");
    changes_with_a_gap_are_ignored: (delta(6, 7, &[]), true, 5, "delta_gap");
    complete_set_needs_no_earlier_revision: (changes(8, 9, true, Vec::new()), true, 9, "");
    record_above_its_set_is_ignored:
        (changes(5, 6, false, vec![record_of("riga-a", 99, zone())]), true, 6, "record_version");
}

/// A complete set of resources, in which an organisation's weight shows the operators' number.
fn numbered_set(to: u64, sequence: u64) -> Delta {
    let text = format!(r#"{{"kind": "Organisation", "spec": {{"weight": {sequence}}}}}"#);
    let records = vec![record_of("school", to, serde_json::from_str(&text).unwrap())];
    Delta { sequence, ..changes(0, to, true, records) }
}

fn weight(fleet: &mut Fleet, vm: &str) -> u32 {
    intent(fleet, vm).organisation("school").unwrap().weight
}

/// Guards against an older configuration that spreads to all VMs because the VM that has it gives
/// it a newer revision: dropped routes and revoked keys were in force again.
#[test]
fn older_configuration_under_a_newer_revision_does_not_spread() {
    let mut fleet = Fleet::of_zone(3);
    for vm in ["a1", "a2", "a3"] {
        fleet.event_at(vm, Event::Changes(&numbered_set(5, 1)));
    }
    // The first VM was away while the second version was written.
    for vm in ["a2", "a3"] {
        fleet.event_at(vm, Event::Changes(&numbered_set(8, 2)));
    }
    fleet.event_at("a1", Event::Changes(&numbered_set(9, 1)));
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    assert_eq!(["a2", "a3"].map(|vm| weight(&mut fleet, vm)), [2, 2]);
    fleet.event_at("a1", Event::Changes(&numbered_set(12, 3)));
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    assert_eq!(["a1", "a2", "a3"].map(|vm| weight(&mut fleet, vm)), [3, 3, 3]);
}

/// Guards against a restored store that overrides newer resources, and against a source that is not
/// updated.
fn head_sets_the_source(revision: u64, regressed: u64, source: Source) {
    let mut fleet = Fleet::of_zone(1);
    let message = &Message::Delta(delta(0, 5, &fleet::one_pool()));
    fleet.event_at("a1", Event::Peer { from: "z9", message });
    assert_eq!(intent(&mut fleet, "a1").source, Source::Peer);
    fleet.event_at("a1", Event::TableHead(Revision(revision)));
    assert_eq!(fleet.node("a1").count("store_regressed"), regressed);
    assert_eq!(intent(&mut fleet, "a1").source, source);
    assert_eq!(intent(&mut fleet, "a1").revision, Revision(5));
}

cases! {
    head_sets_the_source;
    same_head_confirms_what_a_peer_sent: (5, 0, Source::Store);
    lower_head_is_counted_and_ignored: (4, 1, Source::Peer);
}

/// Guards against an older version of a record that arrives in a newer set.
#[test]
fn older_version_of_a_record_is_ignored() {
    let mut fleet = fleet_at_revision_5();
    let mut old = record_of("engine-1", 2, target("other-model", "riga-a", ""));
    old.generation = 9;
    apply(&mut fleet, &changes(1, 6, false, vec![old]));
    let target = intent(&mut fleet, "a1").target("engine-1").unwrap().clone();
    assert_eq!(&*target.service, "menu-model");
}

/// Guards against resources that remain active after their deletion.
fn is_deleted(given: Delta) {
    let mut fleet = fleet_at_revision_5();
    apply(&mut fleet, &given);
    let intent = intent(&mut fleet, "a1");
    assert!(intent.target("engine-1").is_none());
    assert!(intent.service("menu-model").is_some());
    assert!(intent.pools_of_service("menu-model").is_empty());
    assert_eq!(intent.pools_in_zone("riga-a").len(), 0);
}

cases! {
    is_deleted;
    tombstone_deletes: (changes(5, 6, false, vec![tombstone(Kind::Target, "engine-1", 6)]));
    complete_set_deletes_what_it_lacks: (changes(0, 6, true, vec![
        record_of("riga-a", 5, zone()),
        record_of("menu-model", 5, service()),
    ]));
}

/// Guards against an invalid record that becomes active or prevents valid ones from becoming
/// active.
fn is_ignored(key: &str, record: Record, counted: &str) {
    let mut fleet = fleet_at_revision_5();
    let good = record_of("engine-2", 6, target("menu-model", "riga-a", ""));
    apply(&mut fleet, &changes(5, 6, false, vec![record, good]));
    assert_eq!(fleet.node("a1").count(counted), 1);
    let intent = intent(&mut fleet, "a1");
    assert!(intent.target("engine-2").is_some());
    assert!(intent.target(key).is_none());
    assert!(intent.organisation(key).is_none());
    assert!(intent.service(key).is_none());
    assert!(intent.configuration(key).is_none());
}

fn with_mismatched_kind(key: &str) -> Record {
    let mut record = record_of(key, 6, service());
    record.key.kind = Kind::Target;
    record
}

fn organisation(weight: u32) -> Spec {
    let text = format!(r#"{{"kind": "Organisation", "spec": {{"weight": {weight}}}}}"#);
    serde_json::from_str(&text).unwrap()
}

fn service_with_configuration(configuration: &str) -> Spec {
    let text = format!(r#"{{"kind": "Service", "spec": {{"configuration": "{configuration}"}}}}"#);
    serde_json::from_str(&text).unwrap()
}

fn oversized() -> Spec {
    let name = "a".repeat(70_000);
    fleet::configuration(&format!(r#""models": ["{name}"]"#))
}

cases! {
    is_ignored;
    target_of_an_unknown_service:
        ("x", record_of("x", 6, target("no-model", "riga-a", "")), "record_dangling");
    target_in_an_unknown_zone:
        ("x", record_of("x", 6, target("menu-model", "riga-z", "")), "record_dangling");
    service_with_an_unknown_configuration:
        ("x", record_of("x", 6, service_with_configuration("none")), "record_dangling");
    record_whose_spec_is_of_another_kind: ("x", with_mismatched_kind("x"), "record_corrupt");
    organisation_of_weight_zero: ("x", record_of("x", 6, organisation(0)), "record_corrupt");
    record_over_64_kib: ("x", record_of("x", 6, oversized()), "record_oversized");
}

/// Guards against a record that stays inactive after the record it refers to has arrived.
#[test]
fn dangling_record_comes_into_force_with_its_reference() {
    let mut fleet = fleet_at_revision_5();
    apply(&mut fleet, &delta(5, 6, &[("x", target("new-model", "riga-a", ""))]));
    assert!(intent(&mut fleet, "a1").target("x").is_none());
    apply(&mut fleet, &delta(6, 7, &[("new-model", service())]));
    let intent = intent(&mut fleet, "a1");
    assert!(intent.target("x").is_some());
    assert_eq!(intent.pool_targets("new-model", "riga-a").count(), 1);
}

fn deletions(count: u64) -> Delta {
    let records = (1..=count).map(|ix| tombstone(Kind::Target, &format!("t{ix}"), 5 + ix));
    changes(5, 5 + count, false, records.collect())
}

/// Guards against unbounded tombstones, and against a peer that misses a deletion because its
/// tombstone was dropped; such a peer gets the complete set.
fn tombstones_are_kept(deleted: u64, wait_ms: u64, kept: usize, is_complete: bool) {
    let mut fleet = fleet_at_revision_5();
    apply(&mut fleet, &deletions(deleted));
    fleet.now += wait_ms;
    apply(&mut fleet, &delta(5 + deleted, 6 + deleted, &[]));
    let intent = intent(&mut fleet, "a1");
    let tombstones = intent.records().filter(|record| record.spec.is_none()).count();
    assert_eq!(tombstones, kept);
    assert_eq!(intent.changes_since(Revision(5)).complete, is_complete);
    let newest = intent.changes_since(Revision(5 + deleted));
    assert!(!newest.complete && newest.records.is_empty());
}

cases! {
    tombstones_are_kept;
    tombstones_of_the_last_hour_are_kept: (10, HOUR_MS - 1, 10, false);
    older_tombstones_are_forgotten: (10, HOUR_MS, 0, true);
    more_than_4096_are_not_kept: (5_000, 0, 4_096, true);
}

/// Guards against changes that do not reach every VM: the push reaches three peers, and gossip
/// makes the others pull.
#[test]
fn change_reaches_every_vm() {
    let mut fleet = Fleet::of_zone(9);
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    apply(&mut fleet, &delta(0, 5, &fleet::one_pool()));
    // A single step is too short for gossip followed by a pull and its answer.
    fleet.run(fleet::STEP_MS);
    let reached = |fleet: &Fleet| {
        let nodes = fleet.nodes.iter();
        nodes.filter(|node| node.kernel.state().intent.revision == Revision(5)).count()
    };
    assert!(reached(&fleet) >= 4);
    fleet.run(9 * GOSSIP_INTERVAL_MS);
    assert_eq!(reached(&fleet), 9);
}

/// Guards against a VM without a configuration because it started while the store was unavailable.
#[test]
fn vm_that_starts_while_the_store_is_down_takes_the_revision_of_its_peers() {
    let mut fleet = Fleet::of_zone(2);
    fleet.declare(&fleet::one_pool());
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    fleet.start_vm("a3", "riga-a", 1);
    fleet.node("a3").store_mode = fleet::StoreMode::Down;
    fleet.event_at("a3", Event::TableUnavailable);
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    let state = fleet.node("a3").kernel.state();
    assert_eq!(state.intent.source, Source::Peer);
    assert!(state.intent.target("engine-1").is_some());
}

/// Guards against a VM that misses its peers' changes because it cannot reach the store.
#[test]
fn vm_behind_a_partition_catches_up() {
    let mut fleet = Fleet::of_zone(3);
    fleet.declare(&fleet::one_pool());
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    fleet.partition(&["a3"], &["a1", "a2"]);
    let revision = intent(&mut fleet, "a1").revision.0;
    apply(&mut fleet, &delta(revision, 900, &[("other-model", service())]));
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    assert_eq!(intent(&mut fleet, "a3").revision, Revision(revision));
    fleet.cut_links.clear();
    fleet.run(30 * GOSSIP_INTERVAL_MS);
    assert_eq!(intent(&mut fleet, "a3").revision, Revision(900));
}

/// Guards against lost changes when those of two operators arrive in reverse order: the later one
/// has to wait for its predecessor.
#[test]
fn two_operators_changes_out_of_order_are_both_in_force() {
    let mut fleet = Fleet::of_zone(2);
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    for vm in ["a1", "a2"] {
        let first = delta(0, 5, &fleet::one_pool());
        fleet.event_at(vm, Event::Changes(&first));
    }
    let one = delta(5, 6, &[("model-of-one", service())]);
    let other = delta(6, 7, &[("model-of-other", service())]);
    fleet.partition(&["a1"], &["a2"]);
    apply(&mut fleet, &one);
    apply(&mut fleet, &other);
    fleet.cut_links.clear();
    for change in [other, one] {
        let message = &Message::Delta(change);
        fleet.event_at("a2", Event::Peer { from: "a1", message });
        // The gap makes the VM pull at once; gossip alone takes longer than one step.
        fleet.run(fleet::STEP_MS);
        assert_eq!(intent(&mut fleet, "a2").revision, Revision(7));
    }
    let intent = intent(&mut fleet, "a2");
    assert_eq!(intent.revision, Revision(7));
    assert!(intent.service("model-of-one").is_some());
    assert!(intent.service("model-of-other").is_some());
}
