//! Membership through gossip, seeds and the platform's list.

mod fleet;

use fleet::{address, name, Fleet};
use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::ids::{Incarnation, Revision};
use hornbeamloom_kernel::member::{
    Liveness, GOSSIP_INTERVAL_MS, OTHER_ZONE_SUSPECT_MS, OWN_ZONE_SUSPECT_MS,
};
use hornbeamloom_kernel::peer::{Gossip, MemberEntry, MemberStatus, Message};

fn entry(vm: &str, incarnation: u64, heartbeat: u64) -> MemberEntry {
    MemberEntry {
        vm: vm.into(),
        zone: "riga-a".into(),
        peer_address: address(vm).into(),
        caller_address: "".into(),
        incarnation: Incarnation(incarnation),
        heartbeat,
        revision: Revision(0),
        status: MemberStatus::Serving,
        pools: Vec::new(),
    }
}

fn receive_gossip(fleet: &mut Fleet, vm: &str, entries: Vec<MemberEntry>) {
    let message = Message::Gossip(Gossip { entries, heartbeats: Vec::new() });
    let message = &message;
    fleet.event_at(vm, Event::Peer { from: "z9", message });
}

fn liveness(fleet: &mut Fleet, of: &str, at: &str) -> Option<Liveness> {
    fleet.node(at).kernel.state().members.get(of).map(|member| member.liveness)
}

/// Zones `riga-a` (VMs a1 to aN) and `riga-b` (b1 to bN).
fn two_zones(count: usize) -> Fleet {
    let mut fleet = Fleet::of_zone(count);
    for ix in 1..=count {
        fleet.start_vm(&format!("b{ix}"), "riga-b", 1);
    }
    fleet
}

/// Guards against VMs that never discover each other: each of them knows only the address of one
/// seed.
#[test]
fn vms_with_one_seed_find_each_other() {
    let mut fleet = two_zones(4);
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    for node in &fleet.nodes {
        assert_eq!(node.kernel.state().members.iter().count(), 8);
        assert_eq!(node.count("send_without_address"), 0);
    }
}

/// Guards against a seed that stays unknown because it started later.
#[test]
fn seed_that_starts_late_is_found() {
    let mut fleet = Fleet::of_zone(2);
    fleet.node("a1").is_stopped = true;
    fleet.run(20 * GOSSIP_INTERVAL_MS);
    fleet.start_vm("a1", "riga-a", 1);
    fleet.run(20 * GOSSIP_INTERVAL_MS);
    assert_eq!(liveness(&mut fleet, "a1", "a2"), Some(Liveness::Alive));
    assert_eq!(liveness(&mut fleet, "a2", "a1"), Some(Liveness::Alive));
}

/// Guards against sending asks to a VM long after it stopped, and against giving up a VM that may
/// only be slow.
fn silence_changes_the_liveness(observer: &'static str, ms: u64, expected: Liveness) {
    let mut fleet = two_zones(3);
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    fleet.node("a2").is_stopped = true;
    // The observer may have received the last heartbeat a few rounds ago.
    fleet.run(ms);
    assert_eq!(liveness(&mut fleet, "a2", observer), Some(expected));
    let is_reachable = fleet.node(observer).kernel.state().members.is_reachable("a2");
    assert_eq!(is_reachable, expected != Liveness::Dead);
}

cases! {
    silence_changes_the_liveness;
    own_zone_vm_is_alive_at_first: ("a3", OWN_ZONE_SUSPECT_MS / 2, Liveness::Alive);
    own_zone_vm_becomes_suspect:
        ("a3", OWN_ZONE_SUSPECT_MS + 4 * GOSSIP_INTERVAL_MS, Liveness::Suspect);
    own_zone_vm_becomes_dead:
        ("a3", 2 * OWN_ZONE_SUSPECT_MS + 4 * GOSSIP_INTERVAL_MS, Liveness::Dead);
    other_zone_vm_is_alive_when_own_zone_ones_call_it_dead:
        ("b1", 2 * OWN_ZONE_SUSPECT_MS + 4 * GOSSIP_INTERVAL_MS, Liveness::Alive);
    other_zone_vm_becomes_suspect:
        ("b1", OTHER_ZONE_SUSPECT_MS + 8 * GOSSIP_INTERVAL_MS, Liveness::Suspect);
    other_zone_vm_becomes_dead:
        ("b1", 2 * OTHER_ZONE_SUSPECT_MS + 8 * GOSSIP_INTERVAL_MS, Liveness::Dead);
}

/// Guards against declaring a VM dead on one observer's missing link: it stays alive as long as
/// other VMs relay its heartbeats.
#[test]
fn one_way_link_does_not_make_a_vm_dead() {
    let mut fleet = two_zones(3);
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    fleet.cut_links.insert((name("a2"), name("a3")));
    fleet.cut_links.insert((name("a2"), name("b1")));
    fleet.run(60 * GOSSIP_INTERVAL_MS);
    assert_eq!(liveness(&mut fleet, "a2", "a3"), Some(Liveness::Alive));
    assert_eq!(liveness(&mut fleet, "a2", "b1"), Some(Liveness::Alive));
}

/// Guards against a partition whose end is never detected because no messages are sent to dead VMs.
#[test]
fn ended_partition_is_noticed() {
    let mut fleet = two_zones(3);
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    fleet.partition(&["a1", "a2", "a3"], &["b1", "b2", "b3"]);
    fleet.run(3 * OTHER_ZONE_SUSPECT_MS);
    assert_eq!(liveness(&mut fleet, "b2", "a2"), Some(Liveness::Dead));
    assert_eq!(liveness(&mut fleet, "a3", "a2"), Some(Liveness::Alive));
    fleet.cut_links.clear();
    fleet.run(20 * GOSSIP_INTERVAL_MS);
    assert_eq!(liveness(&mut fleet, "b2", "a2"), Some(Liveness::Alive));
    assert_eq!(liveness(&mut fleet, "a2", "b2"), Some(Liveness::Alive));
}

/// Guards against a VM that takes all others for dead because it was paused itself.
#[test]
fn paused_vm_does_not_take_others_for_dead() {
    let mut fleet = Fleet::of_zone(3);
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    fleet.node("a2").is_paused = true;
    fleet.run(60_000);
    // Drop the messages sent during the pause, so that only the passage of time counts.
    fleet.partition(&["a2"], &["a1", "a3"]);
    fleet.node("a2").clear_inbox();
    fleet.node("a2").is_paused = false;
    fleet.run(GOSSIP_INTERVAL_MS);
    assert_eq!(liveness(&mut fleet, "a1", "a2"), Some(Liveness::Alive));
}

/// Guards against message sizes and counts that grow with the fleet, and against live VMs that are
/// considered dead in a large fleet.
#[test]
fn messages_do_not_grow_with_the_fleet() {
    // Two zones of the size planned for in two years.
    const VMS: usize = 126;
    const ZONES: usize = 2;
    let mut fleet = Fleet::default();
    for ix in 1..=VMS {
        fleet.start_vm(&format!("a{ix}"), &format!("zone-{}", ix % ZONES), 1);
    }
    fleet.run(30_000);
    let before: u64 = fleet.nodes.iter().map(|node| node.sent_messages).sum();
    for node in &mut fleet.nodes {
        node.max_gossip_items = 0;
    }
    fleet.run(10_000);
    let sent = fleet.nodes.iter().map(|node| node.sent_messages).sum::<u64>() - before;
    // Three messages per round, and a fourth to a dead VM in every fourth round.
    assert!(sent <= VMS as u64 * 20 * 4, "{sent} messages");
    for node in &fleet.nodes {
        assert!(node.max_gossip_items <= 49);
        let members = &node.kernel.state().members;
        assert_eq!(members.iter().count(), VMS);
        let dead = members.iter().filter(|member| member.liveness == Liveness::Dead).count();
        assert_eq!(dead, 0, "{} sees {dead} dead VMs", node.name);
    }
}

/// Guards against VMs of small zones that keep taking each other for newcomers and answer every
/// round with all their entries.
fn known_vms_send_no_introductions(vms: usize, zones: usize) {
    let mut fleet = Fleet::default();
    for ix in 1..=vms {
        fleet.start_vm(&format!("a{ix}"), &format!("zone-{}", ix % zones), 1);
    }
    fleet.run(30_000);
    let before: u64 = fleet.nodes.iter().map(|node| node.sent_messages).sum();
    fleet.run(10_000);
    let sent = fleet.nodes.iter().map(|node| node.sent_messages).sum::<u64>() - before;
    let rounds = 10_000 / GOSSIP_INTERVAL_MS + 1;
    // Three messages per round; no VM is dead and none is new.
    assert!(sent <= vms as u64 * rounds * 3, "{sent} messages");
}

cases! {
    known_vms_send_no_introductions;
    zones_of_one_or_two_vms_send_no_introductions: (9, 6);
    zones_of_four_or_five_vms_send_no_introductions: (27, 6);
    zones_of_thirteen_vms_send_no_introductions: (81, 6);
}

/// Guards against an older entry that replaces a newer one.
fn higher_stamp_wins(second: (u64, u64), expected: (u64, u64)) {
    let mut fleet = Fleet::of_zone(1);
    fleet.run(GOSSIP_INTERVAL_MS);
    receive_gossip(&mut fleet, "a1", vec![entry("z9", 5, 10)]);
    receive_gossip(&mut fleet, "a1", vec![entry("z9", second.0, second.1)]);
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

/// Guards against a VM that restarted with an earlier clock, whose entries would be ignored forever
/// in favour of those of its earlier incarnation.
fn own_entry_of_a_later_start_raises_the_incarnation(received: (u64, u64), expected: u64) {
    let mut fleet = Fleet::of_zone(2);
    fleet.run(4 * GOSSIP_INTERVAL_MS);
    receive_gossip(&mut fleet, "a1", vec![entry("z9", 1, 1), entry("a1", received.0, received.1)]);
    let state = fleet.node("a1").kernel.state();
    assert_eq!(state.identity.incarnation.0, expected);
    fleet.run(20 * GOSSIP_INTERVAL_MS);
    let members = &fleet.node("a2").kernel.state().members;
    assert_eq!(members.get("a1").unwrap().entry.incarnation.0, expected);
}

cases! {
    own_entry_of_a_later_start_raises_the_incarnation;
    later_start_is_passed_by_one: ((9, 3), 10);
    earlier_start_is_ignored: ((0, 99), 1);
    same_start_with_a_later_heartbeat_is_passed: ((1, 999), 2);
}

/// Guards against members that are never removed, that are removed on a single indication, or that
/// outdated entries add again.
fn is_removed(is_stopped: bool, is_listed: bool, expected: bool) {
    let mut fleet = Fleet::of_zone(3);
    fleet.run(10 * GOSSIP_INTERVAL_MS);
    fleet.node("a2").is_stopped = is_stopped;
    fleet.run(5 * OWN_ZONE_SUSPECT_MS);
    match is_listed {
        true => fleet.set_vm_list(&["a1", "a2", "a3"]),
        false => fleet.set_vm_list(&["a1", "a3"]),
    }
    fleet.run(2 * GOSSIP_INTERVAL_MS);
    let old = entry("a2", 1, 3);
    receive_gossip(&mut fleet, "a3", vec![entry("z9", 1, 1), old]);
    fleet.run(2 * GOSSIP_INTERVAL_MS);
    let members = &fleet.node("a3").kernel.state().members;
    assert_eq!(members.get("a2").is_none(), expected);
}

cases! {
    is_removed;
    dead_and_unlisted_vm_is_removed: (true, false, true);
    dead_and_listed_vm_stays: (true, true, false);
    live_and_unlisted_vm_stays: (false, false, false);
}

/// Guards against a status that does not follow the VM's lifecycle.
#[test]
fn status_goes_from_joining_to_serving_to_leaving() {
    let mut fleet = Fleet::of_zone(2);
    let status = |fleet: &mut Fleet| {
        let members = &fleet.node("a2").kernel.state().members;
        members.get("a1").map(|member| member.entry.status)
    };
    fleet.run(4 * GOSSIP_INTERVAL_MS);
    assert_eq!(status(&mut fleet), Some(MemberStatus::Joining));
    fleet.declare(&fleet::one_pool());
    fleet.run(4 * GOSSIP_INTERVAL_MS);
    assert_eq!(status(&mut fleet), Some(MemberStatus::Serving));
    fleet.event_at("a1", Event::Drain);
    fleet.run(2 * GOSSIP_INTERVAL_MS);
    assert_eq!(status(&mut fleet), Some(MemberStatus::Leaving));
}

/// Guards against malformed or excessive gossip that fills the membership.
#[test]
fn implausible_entries_are_ignored_and_counted() {
    let mut fleet = Fleet::of_zone(1);
    let long = "z".repeat(1_000);
    receive_gossip(&mut fleet, "a1", vec![entry("z9", 1, 1), entry("", 1, 1), entry(&long, 1, 1)]);
    let node = fleet.node("a1");
    assert_eq!(node.count("gossip_entry"), 2);
    assert_eq!(node.kernel.state().members.iter().count(), 2);
    let many = (0..10_000).map(|ix| entry(&format!("v{ix}"), 1, 1)).collect();
    receive_gossip(&mut fleet, "a1", many);
    assert!(fleet.node("a1").kernel.state().members.iter().count() <= 51);
}
