//! Pool ownership: a pool never has two holders, and always gets one again. `Fleet::run` checks the
//! former after each step.

mod fleet;

use fleet::{one_pool, pool, Fleet, StoreMode};
use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::ids::{Incarnation, Name};
use hornbeamloom_kernel::pool::Key;

/// The times stated in the design, deliberately independent of the constants in the code.
const LEASE_VALID_MS: u64 = 5_000;
const RENEW_INTERVAL_MS: u64 = 2_000;
const TAKEOVER_MS: u64 = 8_000;

/// Enough for gossip to converge, for the delay of every rank and for a list of leases.
const SETTLE_MS: u64 = 8_000;

/// Three VMs, one of which holds the pool.
fn settled_fleet() -> (Fleet, Name) {
    let mut fleet = Fleet::of_zone(3);
    fleet.declare(&one_pool());
    fleet.run(SETTLE_MS);
    let holder = fleet.holder(&pool()).expect("a free pool gets a holder");
    (fleet, holder)
}

fn others(fleet: &Fleet, holder: &Name) -> Vec<Name> {
    let names = fleet.nodes.iter().map(|node| node.name.clone());
    names.filter(|name| name != holder).collect()
}

/// Guards against a holder that acts after a pause during which another VM took over. Whatever the
/// length of the pause, `Fleet::run` finds at most one holder, and a pool that was taken over stays
/// with the new holder.
fn pause_ends_the_lease(pause_ms: u64, is_taken_over: bool) {
    let (mut fleet, holder) = settled_fleet();
    fleet.run_to_renewal(&pool());
    fleet.node(&holder).is_paused = true;
    fleet.run(pause_ms);
    let meanwhile = fleet.holder(&pool());
    assert_eq!(meanwhile.is_some(), is_taken_over);
    fleet.node(&holder).is_paused = false;
    let now = fleet.clock(&holder);
    let lease = &fleet.node(&holder).kernel.state().leases;
    // Read before any event is handled after the pause.
    let is_lapsed = pause_ms > LEASE_VALID_MS;
    assert_eq!(lease.fence(&pool(), now).is_none(), is_lapsed);
    fleet.run(SETTLE_MS);
    let after = fleet.holder(&pool()).unwrap();
    assert_eq!(after, meanwhile.unwrap_or(holder));
}

cases! {
    pause_ends_the_lease;
    holder_paused_for_1_s_keeps_the_pool: (1_000, false);
    holder_paused_for_6_s_does_not_act_before_it_renewed: (6_000, false);
    holder_paused_for_less_than_the_takeover_time_keeps_the_pool: (TAKEOVER_MS - 100, false);
    holder_paused_for_20_s_has_lost_the_pool: (20_000, true);
}

/// Guards against a holder that stops acting, or acts without a lease, because answers of the store
/// are lost. Reading the record back shows that the renewal was applied.
#[test]
fn holder_reads_lost_renewal_answers_back() {
    let (mut fleet, holder) = settled_fleet();
    fleet.node(&holder).store_mode = StoreMode::WriteAnswersLost;
    for _ in 0..20 {
        fleet.run(RENEW_INTERVAL_MS);
        assert_eq!(fleet.holder(&pool()).as_ref(), Some(&holder));
    }
    assert_eq!(fleet.node(&holder).count("lease_lost"), 0);
}

/// Guards against a holder that assumes its unanswered writes were applied, or that never recovers.
/// Without any answers its lease expires, another VM takes over once the record no longer changes,
/// and the old holder accepts the new one when it gets answers again.
#[test]
fn holder_without_any_answer_loses_the_pool() {
    let (mut fleet, holder) = settled_fleet();
    fleet.node(&holder).store_mode = StoreMode::Silent;
    fleet.run(LEASE_VALID_MS);
    assert_ne!(fleet.holder(&pool()).as_ref(), Some(&holder));
    fleet.run(TAKEOVER_MS + SETTLE_MS);
    let next = fleet.holder(&pool()).expect("the pool is taken over");
    assert_ne!(next, holder);
    // Gossip has reported the new holder, so the old one schedules nothing, not even on warm
    // targets.
    let leases = &fleet.node(&holder).kernel.state().leases;
    assert_eq!(leases.last_fence(&pool()), None);
    fleet.node(&holder).store_mode = StoreMode::Up;
    fleet.run(SETTLE_MS);
    assert_eq!(fleet.holder(&pool()), Some(next));
}

/// Guards against cold-start grants and engine orders without a valid lease while the store is
/// unavailable, and against an unscheduled pool: the last holder is still named as the scheduler
/// for warm targets.
#[test]
fn store_outage_ends_the_hold_and_keeps_the_last_holder() {
    let (mut fleet, holder) = settled_fleet();
    let fence = fleet.holders(&pool())[0].1;
    for node in &mut fleet.nodes {
        node.store_mode = StoreMode::Down;
    }
    fleet.run(LEASE_VALID_MS + RENEW_INTERVAL_MS);
    assert_eq!(fleet.holder(&pool()), None);
    fleet.run(60_000);
    for node in &fleet.nodes {
        let owner = node.kernel.state().members.owner(&pool());
        assert_eq!(owner, Some((&holder, fence)));
    }
    assert_eq!(fleet.node(&holder).kernel.state().leases.last_fence(&pool()), Some(fence));
    for node in &mut fleet.nodes {
        node.store_mode = StoreMode::Up;
    }
    fleet.run(SETTLE_MS);
    assert_eq!(fleet.holders(&pool()), vec![(holder, fence)]);
}

/// Checks that the holder keeps the pool, alone, when the store goes back to the time before
/// `lost`. `Fleet::run` checks the latter.
fn return_of_the_store_keeps_the_holder(lost: fn(&mut Fleet, &Name)) {
    let (mut fleet, holder) = settled_fleet();
    let backup = fleet.back_up();
    lost(&mut fleet, &holder);
    let holder = fleet.holder(&pool()).expect("the pool has a holder");
    fleet.restore(backup);
    for _ in 0..(TAKEOVER_MS + SETTLE_MS) / RENEW_INTERVAL_MS {
        fleet.run(RENEW_INTERVAL_MS);
        assert_eq!(fleet.holder(&pool()).as_ref(), Some(&holder));
    }
}

/// Pauses the holder until another VM has taken the pool over.
fn take_over(fleet: &mut Fleet, holder: &Name) {
    fleet.node(holder).is_paused = true;
    fleet.run(TAKEOVER_MS + SETTLE_MS);
    fleet.node(holder).is_paused = false;
    fleet.run(RENEW_INTERVAL_MS);
}

cases! {
    return_of_the_store_keeps_the_holder;
    return_loses_renewals: (|fleet, _| fleet.run(SETTLE_MS));
    // Guards against an earlier holder that finds its record again and acts beside its successor.
    return_loses_a_takeover: (take_over);
    return_loses_two_takeovers: (|fleet, holder| {
        take_over(fleet, holder);
        let holder = fleet.holder(&pool()).unwrap();
        take_over(fleet, &holder);
    });
}

/// Guards against a second holder after the store has lost the record of the first one.
#[test]
fn return_that_loses_the_first_lease_keeps_the_holder() {
    let mut fleet = Fleet::of_zone(3);
    fleet.declare(&one_pool());
    let backup = fleet.back_up();
    fleet.run(SETTLE_MS);
    let holder = fleet.holder(&pool());
    assert!(holder.is_some());
    fleet.restore(backup);
    fleet.run(RENEW_INTERVAL_MS);
    assert_eq!(fleet.holder(&pool()), holder);
    fleet.run(TAKEOVER_MS + SETTLE_MS);
    assert_eq!(fleet.holder(&pool()), holder);
}

/// Guards against two observers that both see an unchanged record and both take over.
#[test]
fn one_of_two_observers_that_race_wins() {
    let mut fleet = Fleet::of_zone(3);
    // Without gossip, every VM ranks itself first.
    fleet.partition(&["a1"], &["a2", "a3"]);
    fleet.partition(&["a2"], &["a3"]);
    fleet.declare(&one_pool());
    fleet.run(SETTLE_MS);
    let holder = fleet.holder(&pool()).unwrap();
    fleet.node(&holder).is_stopped = true;
    fleet.run(TAKEOVER_MS + SETTLE_MS);
    let next = fleet.holders(&pool());
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].1 .0, 2);
}

/// Guards against a restarted VM that waits for the lease of its earlier incarnation to expire, or
/// that continues with its fencing token.
fn restarted_holder_takes_over_at_once(incarnation: u64, expected: Incarnation) {
    let (mut fleet, holder) = settled_fleet();
    let fence = fleet.holders(&pool())[0].1;
    let zone = "riga-a";
    fleet.start_vm(&holder, zone, incarnation);
    let specs = one_pool();
    let revision = fleet.nodes[0].kernel.state().intent.revision.0;
    let revision = revision.max(1);
    let delta = fleet::delta(0, revision, &specs);
    fleet.event_at(&holder, Event::Changes(&delta));
    fleet.run(RENEW_INTERVAL_MS);
    let held = fleet.holders(&pool());
    assert_eq!(held.len(), 1);
    assert_eq!(held[0].0, holder);
    assert!(held[0].1 > fence);
    let identity = &fleet.node(&holder).kernel.state().identity;
    assert_eq!(identity.incarnation, expected);
}

cases! {
    restarted_holder_takes_over_at_once;
    restart_with_a_later_clock_takes_over: (2, Incarnation(2));
    restart_with_an_earlier_clock_takes_over_under_a_higher_incarnation: (0, Incarnation(2));
}

/// Guards against a lease time that is counted from the answer to a renewal instead of its sending;
/// `Fleet::run` would find a holder whose last write is too old.
#[test]
fn slow_answers_do_not_lengthen_the_hold() {
    let (mut fleet, holder) = settled_fleet();
    fleet.node(&holder).store_latency_ms = 2_500;
    fleet.run(SETTLE_MS);
    fleet.run_to_renewal(&pool());
    fleet.node(&holder).store_mode = StoreMode::Down;
    fleet.run(SETTLE_MS);
    assert_ne!(fleet.holder(&pool()), Some(holder));
}

/// Guards against a lone VM that restarts with an earlier clock and takes its earlier incarnation's
/// record for that of a later one.
#[test]
fn record_of_a_later_start_raises_the_incarnation() {
    let mut fleet = Fleet::default();
    fleet.start_vm("a1", "riga-a", 5);
    fleet.declare(&one_pool());
    fleet.run(SETTLE_MS);
    fleet.start_vm("a1", "riga-a", 3);
    let delta = fleet::delta(0, 1, &one_pool());
    fleet.event_at("a1", Event::Changes(&delta));
    fleet.run(SETTLE_MS);
    assert_eq!(fleet.holder(&pool()).as_deref(), Some("a1"));
    let identity = &fleet.node("a1").kernel.state().identity;
    assert_eq!(identity.incarnation, Incarnation(6));
}

/// Guards against a holder without contact to the store or to peers that still acts when another VM
/// takes over; `Fleet::run` would find two holders.
#[test]
fn isolated_holder_stops_before_another_takes_over() {
    let (mut fleet, holder) = settled_fleet();
    let others = others(&fleet, &holder);
    fleet.partition(&[&holder], &[&others[0], &others[1]]);
    fleet.node(&holder).store_mode = StoreMode::Silent;
    fleet.run(LEASE_VALID_MS);
    assert_eq!(fleet.holder(&pool()), None);
    fleet.run(TAKEOVER_MS + SETTLE_MS);
    assert!(fleet.holder(&pool()).is_some_and(|next| next != holder));
}

/// Guards against the pool of a dead holder that no VM takes over.
#[test]
fn pool_of_a_dead_holder_is_taken_over() {
    let (mut fleet, holder) = settled_fleet();
    fleet.node(&holder).is_stopped = true;
    fleet.run(TAKEOVER_MS + SETTLE_MS);
    let next = fleet.holder(&pool()).unwrap();
    assert_ne!(next, holder);
    let owner = fleet.node(&next).kernel.state().members.owner(&pool());
    assert_eq!(owner.map(|(vm, _)| vm.clone()), Some(next));
}

/// Guards against freeing a lease because its holder is dead by lack of gossip: liveness alone
/// frees no lease.
#[test]
fn holder_that_is_dead_in_a_view_keeps_its_lease() {
    let (mut fleet, holder) = settled_fleet();
    let others = others(&fleet, &holder);
    let others: Vec<&str> = others.iter().map(|vm| &**vm).collect();
    fleet.partition(&[&holder], &others);
    fleet.run(4 * TAKEOVER_MS);
    assert_eq!(fleet.holder(&pool()), Some(holder.clone()));
    let members = &fleet.node(others[0]).kernel.state().members;
    assert!(!members.is_reachable(&holder));
    assert_eq!(members.owner(&pool()), None);
}

/// Guards against a planned stop that leaves the pool without a holder for the takeover time, and
/// against a stopping VM that takes over pools.
#[test]
fn stopping_holder_hands_over_and_releases() {
    let (mut fleet, holder) = settled_fleet();
    fleet.event_at(&holder, Event::Drain);
    let leases = &fleet.node(&holder).kernel.state().leases;
    let successor = leases.successor(&pool()).cloned().expect("two VMs remain");
    assert_ne!(successor, holder);
    fleet.run(TAKEOVER_MS / 2);
    let next = fleet.holder(&pool()).expect("the pool moved at once");
    assert_eq!(next, successor);
    let now = fleet.clock(&holder);
    assert!(fleet.node(&holder).kernel.state().leases.is_released(now));
    fleet.node(&next).is_stopped = true;
    fleet.run(TAKEOVER_MS + SETTLE_MS);
    assert_ne!(fleet.holder(&pool()), Some(holder));
}

/// Guards against a stop that never finishes while the store is unavailable.
#[test]
fn stopping_holder_gives_up_releasing_while_the_store_is_down() {
    let (mut fleet, holder) = settled_fleet();
    fleet.node(&holder).store_mode = StoreMode::Down;
    fleet.event_at(&holder, Event::Drain);
    fleet.run(1_000);
    let now = fleet.clock(&holder);
    assert!(!fleet.node(&holder).kernel.state().leases.is_released(now));
    fleet.run(SETTLE_MS);
    let now = fleet.clock(&holder);
    assert!(fleet.node(&holder).kernel.state().leases.is_released(now));
}

fn specs_of_pools(count: usize) -> Vec<(String, hornbeamloom_kernel::resource::Spec)> {
    let mut specs = vec![("riga-a".to_owned(), fleet::zone())];
    for ix in 0..count {
        let service = format!("model-{ix}");
        specs.push((format!("engine-{ix}"), fleet::target(&service, "riga-a", "")));
        specs.push((service, fleet::service()));
    }
    specs
}

fn declare_pools(fleet: &mut Fleet, count: usize) {
    let specs = specs_of_pools(count);
    let specs: Vec<_> = specs.iter().map(|(key, spec)| (&**key, spec.clone())).collect();
    fleet.declare(&specs);
}

fn pools_per_vm(fleet: &Fleet, count: usize) -> Vec<usize> {
    let holders: Vec<Name> = pool_names(count).iter().filter_map(|key| fleet.holder(key)).collect();
    assert_eq!(holders.len(), count, "not every pool has a holder");
    let load = |vm: &Name| holders.iter().filter(|holder| *holder == vm).count();
    fleet.nodes.iter().map(|node| load(&node.name)).collect()
}

/// Guards against a VM that keeps all the pools it took while it was alone.
#[test]
fn pools_move_to_vms_that_join_later() {
    const POOLS: usize = 12;
    let mut fleet = Fleet::of_zone(1);
    declare_pools(&mut fleet, POOLS);
    fleet.run(SETTLE_MS);
    assert_eq!(pools_per_vm(&fleet, POOLS), vec![POOLS]);
    for vm in ["a2", "a3"] {
        fleet.start_vm(vm, "riga-a", 1);
    }
    fleet.run(120_000);
    // At most two above the average of four.
    assert!(pools_per_vm(&fleet, POOLS).iter().all(|load| *load <= 6));
}

/// Guards against a VM that takes every pool before it knows the other VMs.
#[test]
fn pools_of_vms_that_start_together_are_spread() {
    const POOLS: usize = 12;
    let mut fleet = Fleet::of_zone(3);
    // The store answers before the first gossip arrives.
    fleet.partition(&["a1"], &["a2", "a3"]);
    declare_pools(&mut fleet, POOLS);
    fleet.run(1_000);
    fleet.cut_links.clear();
    fleet.run(SETTLE_MS);
    assert!(pools_per_vm(&fleet, POOLS).iter().all(|load| *load < POOLS));
}

/// Guards against renewals that take one call per pool.
#[test]
fn renewals_of_many_pools_leave_in_batches() {
    const POOLS: usize = 30;
    let mut fleet = Fleet::of_zone(1);
    declare_pools(&mut fleet, POOLS);
    fleet.run(SETTLE_MS);
    let before = fleet.store_calls;
    fleet.run(10 * RENEW_INTERVAL_MS);
    // One batch of renewals every 2 s and one list per second, plus a margin of 50 %.
    let calls = fleet.store_calls - before;
    assert!(calls <= 50, "{calls} calls");
}

/// Bounds the store calls within 20 s in a zone whose holders are alive, where lists would only
/// show renewals.
fn store_calls_are_bounded(vms: usize, most: u64) {
    let mut fleet = Fleet::of_zone(vms);
    declare_pools(&mut fleet, 1);
    fleet.run(2 * SETTLE_MS);
    let before = fleet.store_calls;
    fleet.run(10 * RENEW_INTERVAL_MS);
    let calls = fleet.store_calls - before;
    assert!(calls <= most, "{calls} calls");
}

hornbeamloom_kernel::cases! {
    store_calls_are_bounded;

    // One renewal every 2 s and, per VM, one list every 4 s and one or two of quarantined bodies.
    three_vms_list_rarely: (3, 10 + 15 + 6);
    // The same, but only the three highest-ranked candidates list leases.
    twelve_vms_list_rarely: (12, 10 + 15 + 24);
}

/// Number of VMs of a zone of the largest deployment.
const LARGE_ZONE_VMS: usize = 60;
/// The store's limit for a fleet of five such zones is 100 calls in any second.
const MAX_CALLS_PER_S: u64 = 20;

/// Guards against a zone whose VMs all call the store when they start, when the store fails, when a
/// holder dies or when all VMs are killed: no second may have more calls than the zone's share.
fn large_zone_does_not_flood_the_store(disturb: fn(&mut Fleet)) {
    let mut fleet = Fleet::of_zone(LARGE_ZONE_VMS);
    announce_tables(&mut fleet);
    declare_pools(&mut fleet, 2);
    check_calls(&mut fleet, 16);
    disturb(&mut fleet);
    check_calls(&mut fleet, 20);
    for node in &mut fleet.nodes {
        node.store_mode = StoreMode::Up;
    }
    check_calls(&mut fleet, 20);
    assert!(fleet.holder(&pool_names(1)[0]).is_some());
}

fn announce_tables(fleet: &mut Fleet) {
    for ix in 0..fleet.nodes.len() {
        fleet.event(ix, Event::TablesAvailable { age_limit_ms: 2_100 });
    }
}

fn check_calls(fleet: &mut Fleet, seconds: u64) {
    for _ in 0..seconds {
        let before = fleet.store_calls;
        fleet.run(1_000);
        let calls = fleet.store_calls - before;
        assert!(calls <= MAX_CALLS_PER_S, "{calls} calls in the second before {}", fleet.now);
    }
}

fn restart_all(fleet: &mut Fleet) {
    let names: Vec<Name> = fleet.nodes.iter().map(|node| node.name.clone()).collect();
    names.iter().for_each(|name| fleet.start_vm(name, "riga-a", 2));
    announce_tables(fleet);
    fleet.forget_declared();
    declare_pools(fleet, 2);
}

fn pool_names(count: usize) -> Vec<Key> {
    (0..count).map(|ix| Key::new(&format!("model-{ix}"), "riga-a")).collect()
}

cases! {
    large_zone_does_not_flood_the_store;

    calm_large_zone_calls_rarely: (|_| ());
    store_refuses_a_large_zone: (|fleet| {
        fleet.nodes.iter_mut().for_each(|node| node.store_mode = StoreMode::Down);
    });
    store_refuses_a_third_of_a_large_zone: (|fleet| {
        fleet.nodes.iter_mut().step_by(3).for_each(|node| node.store_mode = StoreMode::Down);
    });
    store_is_silent_for_a_large_zone: (|fleet| {
        fleet.nodes.iter_mut().for_each(|node| node.store_mode = StoreMode::Silent);
    });
    holders_of_a_large_zone_die: (|fleet| {
        for pool in pool_names(2) {
            let holder = fleet.holder(&pool).unwrap();
            fleet.node(&holder).is_stopped = true;
        }
    });
    all_vms_of_a_large_zone_restart: (restart_all);
}

/// Guards against leases for pools that have no targets or belong to another zone.
#[test]
fn only_own_zone_pools_with_targets_are_taken() {
    let mut fleet = Fleet::of_zone(1);
    let mut specs = one_pool();
    specs.push(("riga-b", fleet::zone()));
    specs.push(("idle-model", fleet::service()));
    specs.push(("engine-2", fleet::target("menu-model", "riga-b", "")));
    fleet.declare(&specs);
    fleet.run(3 * SETTLE_MS);
    let now = fleet.clock("a1");
    let held = fleet.node("a1").kernel.state().leases.held(now);
    let held: Vec<Key> = held.into_iter().map(|(key, _)| key.clone()).collect();
    assert_eq!(held, vec![pool()]);
}
