//! Roll-outs from the order to the verdict, with faults of the version, the VMs and the store.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::request::End;
use hornbeamloom_kernel::rollout::StatusState::{self, Completed, InProgress, Reverted};

use crate::fleet::StoreMode;
use crate::harness::{Behaviour, Sent, World, DURATION_MS, RESPONSE_MS};

const VMS: usize = 8;

fn fails_if(is_bad: bool) -> (End, u64) {
    match is_bad {
        true => (End::Failed, RESPONSE_MS),
        false => (End::Complete, RESPONSE_MS),
    }
}

fn good(_: &Sent<'_>) -> (End, u64) {
    fails_if(false)
}

fn bad(sent: &Sent<'_>) -> (End, u64) {
    fails_if(sent.is_new && sent.number % 3 == 0)
}

fn bad_later(sent: &Sent<'_>) -> (End, u64) {
    fails_if(sent.is_new && sent.at_ms > 3_000 && sent.number % 2 == 0)
}

fn bad_under_load(sent: &Sent<'_>) -> (End, u64) {
    fails_if(sent.is_new && sent.running_new > 2)
}

fn bad_on_one_route(sent: &Sent<'_>) -> (End, u64) {
    fails_if(sent.is_new && sent.route == 2)
}

fn slow(sent: &Sent<'_>) -> (End, u64) {
    (End::Complete, if sent.is_new { 5 * RESPONSE_MS } else { RESPONSE_MS })
}

fn failing_target(sent: &Sent<'_>) -> (End, u64) {
    fails_if(sent.target.contains("riga-a-v2-1"))
}

fn failing_service(sent: &Sent<'_>) -> (End, u64) {
    fails_if(sent.number % 4 == 0)
}

/// A fault during the roll-out.
type Fault = fn(&mut World);

/// Checks the verdict on a version. `World::run` checks the exposure and the time of the rollback.
fn verdict(vms: usize, behaviour: Behaviour, fault: Fault, expected: StatusState) {
    let mut world = World::new(vms, behaviour);
    world.checks_rollback = expected == Reverted;
    world.order("v2");
    fault(&mut world);
    let is_decided = world.run_until(|world| world.states.last() == Some(&expected));
    assert!(is_decided, "{:?} of {:?} after the order", world.states, world.since_order());
    assert!(world.sent_new_total() > 0, "no request reached the new version");
    // What was granted before may still be sent.
    world.run(500);
    let decided_at = world.fleet.now;
    world.run(6_000);
    let forbidden = match expected {
        Completed => "v1",
        _ => "v2",
    };
    let sent_at = world.sent_at.get(forbidden);
    assert!(sent_at <= Some(&decided_at), "sent to {forbidden} after the verdict");
    assert_eq!(world.states, [InProgress, expected]);
}

fn none(_: &mut World) {}

/// Six times the load from two seconds after the order.
fn burst(world: &mut World) {
    world.run(2_000);
    world.rate = 12;
}

fn lose_decider(world: &mut World, at_ms: u64) {
    world.run(at_ms);
    let decider = world.decider().expect("a VM decides");
    world.fleet.node(&decider).is_stopped = true;
}

fn lose_decider_when_promoted(world: &mut World) {
    world.run_until(World::is_promoted);
    lose_decider(world, 0);
}

fn set_store(world: &mut World, mode: StoreMode) {
    world.fleet.nodes.iter_mut().for_each(|node| node.store_mode = mode);
}

fn lose_store(world: &mut World, at_ms: u64) {
    world.run(at_ms);
    set_store(world, StoreMode::Down);
    world.run(1_500);
    set_store(world, StoreMode::Up);
}

cases! {
    verdict;
    good_version: (VMS, good, none, Completed);
    bad_version: (VMS, bad, none, Reverted);
    // Guards against a good verdict on a version whose fault appears later.
    version_that_turns_bad: (VMS, bad_later, none, Reverted);
    // Guards against a good verdict on a version whose fault appears under load.
    version_that_is_bad_under_load: (VMS, bad_under_load, burst, Reverted);
    version_that_is_bad_on_one_route: (VMS, bad_on_one_route, none, Reverted);
    slow_version: (VMS, slow, none, Reverted);
    // Guards against a failing target, or a failing service, that is taken for a bad version.
    good_version_with_a_failing_target: (VMS, failing_target, none, Completed);
    good_version_of_a_failing_service: (VMS, failing_service, none, Completed);
    // Guards against a roll-out without a verdict because the deciding VM is lost.
    good_version_and_decider_lost_at_the_start: (VMS, good, |world| lose_decider(world, 300), Completed);
    good_version_and_decider_lost_midway: (VMS, good, |world| lose_decider(world, 3_000), Completed);
    good_version_and_decider_lost_when_promoted: (VMS, good, lose_decider_when_promoted, Completed);
    bad_version_and_decider_lost_at_the_start: (VMS, bad, |world| lose_decider(world, 300), Reverted);
    bad_version_and_decider_lost_midway: (VMS, bad_later, |world| lose_decider(world, 3_400), Reverted);
    // Guards against a verdict that is lost, or differs, because the store is unavailable.
    good_version_and_store_lost_at_the_start: (VMS, good, |world| lose_store(world, 0), Completed);
    good_version_and_store_lost_midway: (VMS, good, |world| lose_store(world, 4_000), Completed);
    good_version_and_store_lost_at_the_judgement: (VMS, good, |world| lose_store(world, 6_000), Completed);
    bad_version_and_store_lost_midway: (VMS, bad_later, |world| lose_store(world, 3_300), Reverted);
    // Guards against a verdict that is written twice because the answer to its write was lost.
    good_version_and_lost_answers: (VMS, good, |world| set_store(world, StoreMode::WriteAnswersLost), Completed);
    bad_version_and_lost_answers: (VMS, bad, |world| set_store(world, StoreMode::WriteAnswersLost), Reverted);
}

/// The verdict holds with hundreds of VMs.
#[test]
fn bad_version_among_two_hundred_vms() {
    verdict(200, bad, none, Reverted);
}

/// Guards against VMs without contact to the deciding VM that expose the new version on their own:
/// every fourth VM reaches neither the others nor the store.
#[test]
fn partitioned_vms_expose_nothing() {
    let mut world = World::new(VMS, good);
    let names: Vec<Name> = world.fleet.nodes.iter().map(|node| node.name.clone()).collect();
    let is_cut = |ix: &usize| ix % 4 == 3;
    let cut: Vec<&str> = (0..VMS).filter(is_cut).map(|ix| &*names[ix]).collect();
    let others: Vec<&str> = (0..VMS).filter(|ix| !is_cut(ix)).map(|ix| &*names[ix]).collect();
    for one in &cut {
        let rest: Vec<&str> = names.iter().map(|name| &**name).filter(|name| name != one).collect();
        world.fleet.partition(&[one], &rest);
        world.fleet.node(one).store_mode = StoreMode::Down;
    }
    world.order("v2");
    assert!(world.run_until(|world| world.states.last() == Some(&Completed)));
    assert!(cut.iter().all(|vm| !world.sent_new.contains_key(*vm)), "{:?}", world.sent_new);
    assert!(others.iter().any(|vm| world.sent_new.contains_key(*vm)));
}

/// Guards against exposure by a VM whose copy of the operator's rows is too old: the order may have
/// been withdrawn meanwhile.
#[test]
fn vms_with_old_rows_expose_nothing() {
    let mut world = World::new(VMS, good);
    world.stale = world.fleet.nodes.iter().map(|node| node.name.clone()).collect();
    world.run(6_000);
    world.order("v2");
    world.run(4_000);
    assert_eq!(world.sent_new_total(), 0);
}

/// Guards against a new version that keeps its share after its order was withdrawn.
#[test]
fn withdrawn_order_is_reverted() {
    let mut world = World::new(VMS, good);
    world.order("v2");
    world.run(2_000);
    assert!(world.sent_new_total() > 0);
    world.tell_orders(&[]);
    world.run(500);
    let withdrawn_at = world.fleet.now;
    world.run(4_000);
    assert_eq!(world.states.last(), Some(&Reverted));
    assert!(world.sent_at.get("v2") <= Some(&withdrawn_at), "sent after the order was withdrawn");
}

/// Guards against an order for a version that recurs being settled by its earlier verdict.
#[test]
fn same_version_ordered_again_is_judged_again() {
    let mut world = World::new(VMS, good);
    world.order("v2");
    assert!(world.run_until(|world| world.states.last() == Some(&Completed)));
    // What was granted before the second order is still sent.
    world.tolerance = 50;
    world.order("v2");
    assert!(world.run_until(|world| world.states.last() == Some(&InProgress)));
    assert!(world.run_until(|world| world.states.last() == Some(&Completed)));
}

/// Guards against a version of a replaced order that gets all the requests of an old version.
#[test]
fn version_of_a_replaced_order_gets_nothing() {
    let mut world = World::new(VMS, good);
    world.declare(&["v1", "v2", "v3"]);
    world.order("v2");
    world.run(2_000);
    assert!(world.sent_new_total() > 0);
    world.order("v3");
    world.run(500);
    let replaced_at = world.fleet.now;
    world.run(3_000);
    assert!(world.sent_at.get("v2") <= Some(&replaced_at), "the replaced version is still exposed");
}

/// Guards against a roll-out to a version without targets that is completed, or never ends.
#[test]
fn version_without_targets_is_reverted() {
    let mut world = World::new(VMS, good);
    world.order("v9");
    assert!(world.run_until(|world| world.states.last() == Some(&Reverted)));
    assert!(world.since_order() < DURATION_MS);
}

/// Guards against a share of grants that never reached a target: half of them do not.
#[test]
fn grants_that_reach_no_target_do_not_count() {
    let lost = |sent: &Sent<'_>| match !sent.is_new && sent.number % 2 == 0 {
        true => (End::Unsent, 0),
        false => (End::Complete, RESPONSE_MS),
    };
    let mut world = World::new(VMS, lost);
    world.order("v2");
    world.run(4_000);
    let (new, all) = world.exposure();
    assert!(new > 0 && new * 10 <= all, "{new} of {all}");
    assert!(all * 10 < world.arrived * 7, "{all} of {} requests are counted", world.arrived);
}
