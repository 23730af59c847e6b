//! Membership by gossip, seeds and the platform's list.

mod fleet;

use fleet::{address, name, Fleet};
use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::ids::{Incarnation, Revision};
use hornbeamloom_kernel::member::{View, OTHER_ZONE_SUSPECT_MS, OWN_ZONE_SUSPECT_MS, ROUND_MS};
use hornbeamloom_kernel::peer::{Entry, Gossip, Message, Standing};

fn entry(vm: &str, incarnation: u64, heartbeat: u64) -> Entry {
    Entry {
        vm: vm.into(),
        zone: "riga-a".into(),
        peer_address: address(vm).into(),
        caller_address: "".into(),
        incarnation: Incarnation(incarnation),
        heartbeat,
        revision: Revision(0),
        standing: Standing::Serving,
        pools: Vec::new(),
    }
}

fn hear(fleet: &mut Fleet, vm: &str, entries: Vec<Entry>) {
    let message = Message::Gossip(Gossip { entries, beats: Vec::new() });
    let message = &message;
    fleet.event_at(vm, Event::Peer { from: "z9", message });
}

fn view(fleet: &mut Fleet, of: &str, at: &str) -> Option<View> {
    fleet.node(at).kernel.state().members.get(of).map(|member| member.view)
}

/// Zones `riga-a` (VMs a1 to aN) and `riga-b` (b1 to bN).
fn two_zones(count: usize) -> Fleet {
    let mut fleet = Fleet::of_zone(count);
    for ix in 1..=count {
        fleet.join(&format!("b{ix}"), "riga-b", 1);
    }
    fleet
}

/// Guards against VMs that never hear of each other: all know one seed by address only.
#[test]
fn vms_with_one_seed_find_each_other() {
    let mut fleet = two_zones(4);
    fleet.run(10 * ROUND_MS);
    for node in &fleet.nodes {
        assert_eq!(node.kernel.state().members.iter().count(), 8);
        assert_eq!(node.count("send_without_address"), 0);
    }
}

/// Guards against a VM that stays unknown because its seed came up later.
#[test]
fn seed_that_starts_late_is_found() {
    let mut fleet = Fleet::of_zone(2);
    fleet.node("a1").gone = true;
    fleet.run(20 * ROUND_MS);
    fleet.join("a1", "riga-a", 1);
    fleet.run(20 * ROUND_MS);
    assert_eq!(view(&mut fleet, "a1", "a2"), Some(View::Alive));
    assert_eq!(view(&mut fleet, "a2", "a1"), Some(View::Alive));
}

/// Guards against asks that are sent to a VM long after it stopped, and against a VM that is given
/// up while it may only be slow.
fn silence_changes_the_view(observer: &'static str, ms: u64, expected: View) {
    let mut fleet = two_zones(3);
    fleet.run(10 * ROUND_MS);
    fleet.node("a2").gone = true;
    // The last heartbeat reached the observer up to a few rounds ago.
    fleet.run(ms);
    assert_eq!(view(&mut fleet, "a2", observer), Some(expected));
    let is_reachable = fleet.node(observer).kernel.state().members.is_reachable("a2");
    assert_eq!(is_reachable, expected != View::Dead);
}

cases! {
    silence_changes_the_view;
    own_zone_vm_is_alive_at_first: ("a3", OWN_ZONE_SUSPECT_MS / 2, View::Alive);
    own_zone_vm_becomes_suspect: ("a3", OWN_ZONE_SUSPECT_MS + 4 * ROUND_MS, View::Suspect);
    own_zone_vm_becomes_dead: ("a3", 2 * OWN_ZONE_SUSPECT_MS + 4 * ROUND_MS, View::Dead);
    other_zone_vm_is_alive_when_own_zone_ones_call_it_dead: ("b1", 2 * OWN_ZONE_SUSPECT_MS + 4 * ROUND_MS, View::Alive);
    other_zone_vm_becomes_suspect: ("b1", OTHER_ZONE_SUSPECT_MS + 8 * ROUND_MS, View::Suspect);
    other_zone_vm_becomes_dead: ("b1", 2 * OTHER_ZONE_SUSPECT_MS + 8 * ROUND_MS, View::Dead);
}

/// Guards against one VM's view being taken for the fleet's: a VM cut off from some peers is alive
/// for them as long as others pass its heartbeats on.
#[test]
fn one_way_link_does_not_make_a_vm_dead() {
    let mut fleet = two_zones(3);
    fleet.run(10 * ROUND_MS);
    fleet.cut.insert((name("a2"), name("a3")));
    fleet.cut.insert((name("a2"), name("b1")));
    fleet.run(60 * ROUND_MS);
    assert_eq!(view(&mut fleet, "a2", "a3"), Some(View::Alive));
    assert_eq!(view(&mut fleet, "a2", "b1"), Some(View::Alive));
}

/// Guards against a partition whose end is never noticed because dead VMs are told nothing.
#[test]
fn ended_partition_is_noticed() {
    let mut fleet = two_zones(3);
    fleet.run(10 * ROUND_MS);
    fleet.partition(&["a1", "a2", "a3"], &["b1", "b2", "b3"]);
    fleet.run(3 * OTHER_ZONE_SUSPECT_MS);
    assert_eq!(view(&mut fleet, "b2", "a2"), Some(View::Dead));
    assert_eq!(view(&mut fleet, "a3", "a2"), Some(View::Alive));
    fleet.cut.clear();
    fleet.run(20 * ROUND_MS);
    assert_eq!(view(&mut fleet, "b2", "a2"), Some(View::Alive));
    assert_eq!(view(&mut fleet, "a2", "b2"), Some(View::Alive));
}

/// Guards against a VM that was paused itself and takes everyone else for dead.
#[test]
fn paused_vm_does_not_take_others_for_dead() {
    let mut fleet = Fleet::of_zone(3);
    fleet.run(10 * ROUND_MS);
    fleet.node("a2").paused = true;
    fleet.run(60_000);
    // The messages of the pause are lost, so that only time counts.
    fleet.partition(&["a2"], &["a1", "a3"]);
    fleet.node("a2").drop_inbox();
    fleet.node("a2").paused = false;
    fleet.run(ROUND_MS);
    assert_eq!(view(&mut fleet, "a1", "a2"), Some(View::Alive));
}

/// Guards against the message size and count growing with the fleet, and against live VMs that are
/// taken for dead in a large one.
#[test]
fn messages_do_not_grow_with_the_fleet() {
    // Two zones of the two-year scale.
    const VMS: usize = 126;
    const ZONES: usize = 2;
    let mut fleet = Fleet::default();
    for ix in 1..=VMS {
        fleet.join(&format!("a{ix}"), &format!("zone-{}", ix % ZONES), 1);
    }
    fleet.run(30_000);
    let before: u64 = fleet.nodes.iter().map(|node| node.sent).sum();
    for node in &mut fleet.nodes {
        node.most_items = 0;
    }
    fleet.run(10_000);
    let sent = fleet.nodes.iter().map(|node| node.sent).sum::<u64>() - before;
    // Three messages a round, and a fourth to a dead VM in every fourth round.
    assert!(sent <= VMS as u64 * 20 * 4, "{sent} messages");
    for node in &fleet.nodes {
        assert!(node.most_items <= 49);
        let members = &node.kernel.state().members;
        assert_eq!(members.iter().count(), VMS);
        let dead = members.iter().filter(|member| member.view == View::Dead).count();
        assert_eq!(dead, 0, "{} sees {dead} dead VMs", node.name);
    }
}

/// Guards against VMs of small zones that take each other for newcomers and answer every round
/// with an introduction.
fn known_vms_send_only_rounds(vms: usize, zones: usize) {
    let mut fleet = Fleet::default();
    for ix in 1..=vms {
        fleet.join(&format!("a{ix}"), &format!("zone-{}", ix % zones), 1);
    }
    fleet.run(30_000);
    let before: u64 = fleet.nodes.iter().map(|node| node.sent).sum();
    fleet.run(10_000);
    let sent = fleet.nodes.iter().map(|node| node.sent).sum::<u64>() - before;
    let rounds = 10_000 / ROUND_MS + 1;
    // Three messages a round; no VM is dead and none is new.
    assert!(sent <= vms as u64 * rounds * 3, "{sent} messages");
}

cases! {
    known_vms_send_only_rounds;
    zones_of_one_or_two_vms_send_only_rounds: (9, 6);
    zones_of_four_or_five_vms_send_only_rounds: (27, 6);
    zones_of_thirteen_vms_send_only_rounds: (81, 6);
}

/// Guards against an earlier entry that replaces a later one.
fn higher_stamp_wins(second: (u64, u64), expected: (u64, u64)) {
    let mut fleet = Fleet::of_zone(1);
    fleet.run(ROUND_MS);
    hear(&mut fleet, "a1", vec![entry("z9", 5, 10)]);
    hear(&mut fleet, "a1", vec![entry("z9", second.0, second.1)]);
    let entry = &fleet.node("a1").kernel.state().members.get("z9").unwrap().entry;
    assert_eq!((entry.incarnation.0, entry.heartbeat), expected);
}

cases! {
    higher_stamp_wins;
    higher_heartbeat_wins: ((5, 11), (5, 11));
    lower_heartbeat_loses: ((5, 9), (5, 10));
    higher_incarnation_wins_with_a_lower_heartbeat: ((6, 1), (6, 1));
    lower_incarnation_loses_with_a_higher_heartbeat: ((4, 99), (5, 10));
}

/// Guards against a restarted VM whose clock went back: its entries would lose against those of its
/// earlier start for ever.
fn own_entry_of_a_later_start_raises_the_incarnation(heard: (u64, u64), expected: u64) {
    let mut fleet = Fleet::of_zone(2);
    fleet.run(4 * ROUND_MS);
    hear(&mut fleet, "a1", vec![entry("z9", 1, 1), entry("a1", heard.0, heard.1)]);
    let state = fleet.node("a1").kernel.state();
    assert_eq!(state.identity.incarnation.0, expected);
    fleet.run(20 * ROUND_MS);
    let members = &fleet.node("a2").kernel.state().members;
    assert_eq!(members.get("a1").unwrap().entry.incarnation.0, expected);
}

cases! {
    own_entry_of_a_later_start_raises_the_incarnation;
    later_start_is_passed_by_one: ((9, 3), 10);
    earlier_start_is_ignored: ((0, 99), 1);
    same_start_with_a_later_heartbeat_is_passed: ((1, 999), 2);
}

/// Guards against members that are kept for ever, against one that is removed on a single sign, and
/// against one that old entries bring back.
fn is_removed(is_gone: bool, is_listed: bool, expected: bool) {
    let mut fleet = Fleet::of_zone(3);
    fleet.run(10 * ROUND_MS);
    fleet.node("a2").gone = is_gone;
    fleet.run(5 * OWN_ZONE_SUSPECT_MS);
    match is_listed {
        true => fleet.list(&["a1", "a2", "a3"]),
        false => fleet.list(&["a1", "a3"]),
    }
    fleet.run(2 * ROUND_MS);
    let old = entry("a2", 1, 3);
    hear(&mut fleet, "a3", vec![entry("z9", 1, 1), old]);
    fleet.run(2 * ROUND_MS);
    let members = &fleet.node("a3").kernel.state().members;
    assert_eq!(members.get("a2").is_none(), expected);
}

cases! {
    is_removed;
    dead_and_unlisted_vm_is_removed: (true, false, true);
    dead_and_listed_vm_stays: (true, true, false);
    live_and_unlisted_vm_stays: (false, false, false);
}

/// Guards against a VM whose standing does not follow what it does.
#[test]
fn standing_goes_from_joining_to_serving_to_leaving() {
    let mut fleet = Fleet::of_zone(2);
    let standing = |fleet: &mut Fleet| {
        let members = &fleet.node("a2").kernel.state().members;
        members.get("a1").map(|member| member.entry.standing)
    };
    fleet.run(4 * ROUND_MS);
    assert_eq!(standing(&mut fleet), Some(Standing::Joining));
    fleet.declare(&fleet::one_pool());
    fleet.run(4 * ROUND_MS);
    assert_eq!(standing(&mut fleet), Some(Standing::Serving));
    fleet.event_at("a1", Event::Drain);
    fleet.run(2 * ROUND_MS);
    assert_eq!(standing(&mut fleet), Some(Standing::Leaving));
}

/// Guards against gossip that fills the memory or the table with nonsense.
#[test]
fn implausible_entries_are_ignored_and_counted() {
    let mut fleet = Fleet::of_zone(1);
    let long = "z".repeat(1_000);
    hear(&mut fleet, "a1", vec![entry("z9", 1, 1), entry("", 1, 1), entry(&long, 1, 1)]);
    let node = fleet.node("a1");
    assert_eq!(node.count("gossip_entry"), 2);
    assert_eq!(node.kernel.state().members.iter().count(), 2);
    let many = (0..10_000).map(|ix| entry(&format!("v{ix}"), 1, 1)).collect();
    hear(&mut fleet, "a1", many);
    assert!(fleet.node("a1").kernel.state().members.iter().count() <= 51);
}
