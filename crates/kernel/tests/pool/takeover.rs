//! Guards against grants on cold targets without a lease or without knowledge of what runs there.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::ids::{Fence, Incarnation};
use hornbeamloom_kernel::peer::{Message, Running};
use hornbeamloom_kernel::request::{End, Id};
use hornbeamloom_kernel::resource::Configuration;
use hornbeamloom_kernel::target::{Phase, PollError};

use crate::harness::{key, target, Harness, ENTRY, OWNER};

/// Returns a new holder of a cold and a warm target that lacks the inventory of another VM.
fn new_holder() -> Harness {
    let targets = [("engine-cold", target(1, 4, 0)), ("engine-warm", target(1, 4, 0))];
    let mut harness = Harness::idle(&targets, Phase::Warm, Configuration::default());
    harness.engines.get_mut("engine-cold").unwrap().phase = Phase::Cold;
    harness.list_vms(&[OWNER, ENTRY]);
    harness.announce_warm(&["engine-warm"]);
    harness.become_holder();
    harness
}

fn running(harness: &mut Harness, target: &str) -> Running {
    Running { ask: harness.new_ask("parlour-1"), target: target.into(), tokens: 5 }
}

/// A VM that has not answered may run requests on the cold target; a warm target must not wait for
/// it, since its limit may be exceeded for a short time.
#[test]
fn takeover_grants_warm_targets_before_the_inventories() {
    let mut harness = new_holder();
    harness.ask_many("parlour-1", 8);
    harness.advance(300);
    assert_eq!(harness.running_on("engine-cold").len(), 0);
    assert_eq!(harness.running_on("engine-warm").len(), 4);
}

/// The cold target must get requests once all inventories have arrived.
#[test]
fn takeover_grants_cold_targets_after_the_inventories() {
    let mut harness = new_holder();
    harness.ask_many("parlour-1", 8);
    harness.send_inventory(ENTRY, Vec::new());
    assert_eq!(harness.running_on("engine-cold").len(), 1);
}

/// A grant that ignores the requests of an inventory would exceed the limit.
#[test]
fn takeover_counts_the_requests_of_an_inventory() {
    let mut harness = new_holder();
    let request = running(&mut harness, "engine-cold");
    harness.send_inventory(ENTRY, vec![request.clone()]);
    harness.ask_many("parlour-1", 8);
    harness.advance(2_000);
    assert_eq!(harness.running_on("engine-cold"), [request.ask.id]);
}

/// A VM that the platform no longer lists runs no requests.
#[test]
fn takeover_does_not_wait_for_a_vm_that_left_the_list() {
    let mut harness = new_holder();
    harness.ask_many("parlour-1", 8);
    harness.list_vms(&[OWNER]);
    assert_eq!(harness.running_on("engine-cold").len(), 1);
}

/// A report late enough shows all earlier requests; its count is the lower bound of what runs.
fn late_report(foreign: u32, expected: usize) {
    let mut harness = new_holder();
    harness.engines.get_mut("engine-cold").unwrap().untracked = foreign;
    harness.ask_many("parlour-1", 8);
    harness.advance(2_400);
    assert_eq!(harness.running_on("engine-cold").len(), 0, "too early");
    harness.advance(1_600);
    assert_eq!(harness.running_on("engine-cold").len(), expected);
}

cases! {
    late_report;
    takeover_trusts_a_report_after_its_lag: (0, 1);
    takeover_takes_the_reported_count_as_lower_bound: (1, 0);
}

/// Without a lease another VM may take the same cold target for free, and all VMs of the zone may
/// schedule the same warm target.
fn fallback(others: &[&str], expected: usize) {
    let mut harness = Harness::idle(
        &[("engine-1", target(1, 8, 0)), ("engine-2", target(1, 8, 0))],
        Phase::Warm,
        Configuration::default(),
    );
    others.iter().for_each(|vm| harness.add_vm(vm, 1));
    harness.announce_warm(&["engine-2"]);
    harness.ask_many("parlour-1", 12);
    harness.advance(2_000);
    assert_eq!(harness.running_on("engine-1").len(), 0);
    assert_eq!(harness.running_on("engine-2").len(), expected);
}

cases! {
    fallback;
    single_vm_without_a_lease_uses_the_warm_limit_and_no_cold_target: (&[], 8);
    two_vms_without_a_lease_share_the_warm_limit: (&["entry-3"], 4);
    one_of_many_vms_without_a_lease_uses_one_place: (
        &["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"],
        1,
    );
}

/// Two schedulers with full rights would exceed the limits of the same targets.
#[test]
fn pool_of_another_holder_is_scheduled_only_for_own_requests() {
    let mut harness =
        Harness::idle(&[("engine-1", target(1, 2, 0))], Phase::Warm, Configuration::default());
    let waiting = harness.ask("parlour-1");
    assert!(harness.is_waiting(&waiting));
    harness.send_gossip("entry-3", 1, vec![(key(), Fence(9))]);
    harness.announce_warm(&["engine-1"]);
    harness.advance(1_000);
    assert!(!harness.is_waiting(&waiting), "its entry VM asks the holder instead");
    assert_eq!(harness.running(), []);
    assert!(harness.count("ask_not_owner") > 0);
    let mut own = harness.new_ask("parlour-1");
    own.id = Id::new(OWNER, Incarnation(5), 1);
    let id = own.id.clone();
    harness.receive(OWNER, Message::Ask(own));
    let mut steps = harness.kernel.state().decisions.steps(&id);
    assert!(steps.any(|step| step.text.starts_with("granted engine-1")));
}

/// A lost release must not keep a place while its entry VM reports progress.
#[test]
fn request_missing_from_progress_of_a_live_entry_vm_is_freed() {
    let mut harness = new_holder();
    harness.send_inventory(ENTRY, Vec::new());
    harness.ask_many("parlour-1", 5);
    harness.advance(600);
    let lost = harness.running_on("engine-cold")[0].clone();
    harness.unreported.insert(lost.clone());
    harness.advance(5_000);
    assert!(harness.granted(&lost).is_some(), "too early");
    harness.advance(2_500);
    assert!(harness.granted(&lost).is_none());
    assert_eq!(harness.running().len(), 4, "the other requests continue");
}

/// After its lease has lapsed, the last holder must continue with warm targets only.
#[test]
fn lapsed_lease_stops_cold_grants_only() {
    let mut harness = new_holder();
    harness.send_inventory(ENTRY, Vec::new());
    harness.store_up = false;
    harness.advance(8_000);
    harness.ask_many("parlour-1", 8);
    harness.advance(600);
    assert_eq!(harness.running_on("engine-cold").len(), 0);
    assert_eq!(harness.running_on("engine-warm").len(), 4);
    harness.store_up = true;
    harness.advance(10_000);
    assert_eq!(harness.running_on("engine-cold").len(), 1);
}

/// Another VM that held the lease in between may have started requests.
#[test]
fn lease_regained_under_a_new_token_starts_a_new_takeover() {
    let mut harness = new_holder();
    harness.send_inventory(ENTRY, Vec::new());
    let before = harness.held();
    harness.release_elsewhere(20);
    harness.advance(20_000);
    assert!(harness.held() > before, "{:?}", harness.held());
    assert!(!harness.pool().is_inventory_complete());
}

/// A holder that was paused for longer than its lease must notice it on the first event.
#[test]
fn paused_holder_grants_no_cold_target_after_the_pause() {
    let mut harness = new_holder();
    harness.send_inventory(ENTRY, Vec::new());
    harness.store_up = false;
    harness.now = harness.now.after(6_000);
    harness.ask("parlour-1");
    // Nothing is granted until messages sent during the pause can have arrived.
    assert!(harness.running().is_empty());
    harness.advance(1_600);
    let id = harness.running()[0].0.clone();
    assert_eq!(harness.granted(&id).as_deref(), Some("engine-warm"));
    assert_eq!(harness.pool().in_flight.get(&id).unwrap().fence(), Fence(0));
}

/// Progress of a request that no inventory named shows that an inventory was incomplete.
#[test]
fn progress_of_an_unknown_request_reopens_the_takeover() {
    let mut harness = new_holder();
    harness.send_inventory(ENTRY, Vec::new());
    let entry =
        hornbeamloom_kernel::peer::Progress { incarnation: Incarnation(9), counter: 77, tokens: 3 };
    let (pool, entries) = (key(), vec![entry]);
    harness.receive(ENTRY, Message::Progress { pool, entries, usage: vec![], pace: vec![] });
    harness.ask_many("parlour-1", 8);
    assert_eq!(harness.running_on("engine-cold").len(), 0);
    let request = Running {
        ask: hornbeamloom_kernel::peer::Ask {
            id: Id::new(ENTRY, Incarnation(9), 77),
            ..harness.new_ask("parlour-1")
        },
        target: "engine-cold".into(),
        tokens: 3,
    };
    harness.send_inventory(ENTRY, vec![request]);
    assert_eq!(harness.running_on("engine-cold").len(), 1);
}

/// A request on a cold target must not count as ended because its entry VM is silent.
#[test]
fn request_of_a_silent_entry_vm_keeps_its_place_on_a_cold_target() {
    let mut harness = new_holder();
    harness.send_inventory(ENTRY, Vec::new());
    harness.ask_many("parlour-1", 5);
    harness.advance(600);
    harness.entry_up = false;
    harness.advance(20_000);
    assert_eq!(harness.running_on("engine-cold").len(), 1, "requests on the cold target are kept");
    assert_eq!(
        harness.running_on("engine-warm").len(),
        0,
        "requests on the warm target are removed"
    );
    harness.list_vms(&[OWNER]);
    assert_eq!(harness.running_on("engine-cold").len(), 0);
}

/// A report that shows fewer requests means that silent ones have ended.
#[test]
fn silent_request_is_freed_by_a_later_report_that_shows_less() {
    let mut harness = new_holder();
    harness.send_inventory(ENTRY, Vec::new());
    harness.ask_many("parlour-1", 5);
    harness.advance(600);
    harness.entry_up = false;
    harness.engines.get_mut("engine-cold").unwrap().running = Some(0);
    harness.advance(6_000);
    assert_eq!(harness.running_on("engine-cold").len(), 1, "too early");
    harness.advance(4_500);
    assert_eq!(harness.running_on("engine-cold").len(), 0);
}

/// The successor must neither lose nor count twice what a holder hands over.
#[test]
fn handover_carries_queue_and_in_flight_requests() {
    let mut harness = new_holder();
    let request = running(&mut harness, "engine-cold");
    let waiting = harness.new_ask("parlour-2");
    let snapshot = hornbeamloom_kernel::pool::Snapshot {
        pool: key(),
        fence: Fence(0),
        complete: true,
        virtual_time: 4_000,
        service_counters: vec![("parlour-2".into(), 9_000)],
        waiting: vec![waiting.clone()],
        running: vec![request.clone()],
        ramps: Vec::new(),
        lengths: Default::default(),
    };
    let targets = [("engine-cold", target(1, 4, 0))];
    let mut next = Harness::idle(&targets, Phase::Cold, Configuration::default());
    next.list_vms(&[OWNER, ENTRY]);
    next.receive("entry-0", Message::Handover(snapshot));
    next.become_holder();
    assert_eq!(next.held(), Some(Fence(1)));
    assert_eq!(next.running_on("engine-cold"), [request.ask.id]);
    assert!(next.is_waiting(&waiting.id));
    let served = next.pool().queue.get("parlour-2").unwrap().service_counter;
    assert_eq!(served, 9_000);
    assert!(next.pool().is_inventory_complete(), "the predecessor knew all requests");
}

/// Without the death message, crash correlation would not learn which bodies ran.
fn death_is_reported(kill: fn(&mut Harness)) {
    let mut harness = Harness::warm(&[("engine-1", target(1, 8, 0))], Configuration::default());
    harness.add_vm("entry-3", 1);
    harness.ask_many("parlour-1", 3);
    harness.advance(600);
    let mut bodies: Vec<u64> = harness.pool().requests_on(0).map(|ask| ask.fingerprint).collect();
    bodies.sort();
    kill(&mut harness);
    harness.advance(1_000);
    let deaths = harness.sent_to("entry-3", |message| matches!(message, Message::Death(_)));
    let Some(Message::Death(death)) = deaths.first() else {
        panic!("no death in {:?}", harness.sent);
    };
    let ran: Vec<u64> = death.running.iter().map(|suspect| suspect.fingerprint).collect();
    assert_eq!((&*death.target, death.start_id, ran), ("engine-1", 1, bodies));
}

cases! {
    death_is_reported;
    death_is_reported_when_the_start_id_changes: (|harness| {
        harness.engines.get_mut("engine-1").unwrap().start_id = 2;
    });
    death_is_reported_after_its_attempts_were_released: (|harness| {
        for (id, _) in harness.running() {
            harness.end_attempt(&id, End::Broken, 0, None);
        }
        harness.engines.get_mut("engine-1").unwrap().start_id = 2;
    });
    death_is_reported_when_polls_are_refused: (|harness| {
        harness.engines.get_mut("engine-1").unwrap().silence = Some(PollError::Refused);
    });
}

/// A new holder that requests no inventories would never learn what runs on cold targets.
#[test]
fn new_holder_asks_every_vm_until_it_answers() {
    let mut harness =
        Harness::idle(&[("engine-1", target(1, 4, 0))], Phase::Cold, Configuration::default());
    harness.add_vm("entry-3", 1);
    harness.list_vms(&[OWNER, "entry-3"]);
    harness.become_holder();
    let hello_count = |harness: &Harness| {
        let is_hello = |message: &Message| matches!(message, Message::Hello { .. });
        harness.sent_to("entry-3", is_hello).len()
    };
    assert_eq!(hello_count(&harness), 1);
    harness.advance(2_500);
    let asked = hello_count(&harness);
    assert!(asked >= 3, "{asked}");
    harness.send_inventory("entry-3", Vec::new());
    harness.advance(5_000);
    assert_eq!(hello_count(&harness), asked);
}

/// VMs of the zone need the holder's announcement for fallback and for a takeover.
#[test]
fn holder_describes_its_targets_to_the_zone_every_second() {
    let targets = [("engine-1", target(1, 4, 0)), ("engine-2", target(1, 4, 0))];
    let mut harness = Harness::idle(&targets, Phase::Warm, Configuration::default());
    harness.list_vms(&[OWNER]);
    harness.announce_warm(&["engine-2"]);
    harness.become_holder();
    harness.add_vm("entry-3", 1);
    harness.advance(3_000);
    let told = harness.sent_to("entry-3", |message| matches!(message, Message::Targets { .. }));
    assert_eq!(told.len(), 3);
    let (warm, cold) = (vec!["engine-2".into()], vec!["engine-1".into()]);
    let pool = key();
    assert_eq!(told[0], Message::Targets { pool, warm, cold, usage: Vec::new() });
}

/// Without the announcement a new holder would restart the ramp of every target.
#[test]
fn new_holder_learns_from_others_which_targets_were_warm() {
    let targets = [("engine-1", target(1, 4, 0)), ("engine-2", target(1, 4, 0))];
    let mut harness = Harness::holder(&targets, Phase::Warm, Configuration::default());
    harness.engines.get_mut("engine-2").unwrap().phase = Phase::Cold;
    harness.announce_warm(&["engine-1", "engine-2"]);
    harness.advance(1_000);
    let warm: Vec<bool> = harness.pool().targets.iter().map(|slot| slot.is_warm()).collect();
    assert_eq!(warm, [true, false], "a report must confirm the announcement");
}

/// A VM must forward the former holder's announcement to a new holder.
#[test]
fn vm_forwards_the_last_announcement_to_a_new_holder() {
    let mut harness =
        Harness::idle(&[("engine-1", target(1, 4, 0))], Phase::Warm, Configuration::default());
    harness.add_vm("entry-3", 1);
    harness.announce_warm(&["engine-1"]);
    let (pool, fence) = (key(), Fence(7));
    harness.receive("entry-3", Message::Hello { pool, fence });
    let told = harness.sent_to("entry-3", |message| matches!(message, Message::Targets { .. }));
    assert_eq!(told.len(), 1);
}

/// A restarted entry VM runs no requests of its earlier incarnation.
#[test]
fn requests_of_an_earlier_incarnation_are_freed() {
    let mut harness = new_holder();
    harness.send_inventory(ENTRY, Vec::new());
    harness.ask_many("parlour-1", 5);
    harness.advance(600);
    harness.entry_up = false;
    harness.add_vm(ENTRY, 10);
    harness.advance(300);
    assert_eq!(harness.running(), []);
}

/// A holder that stops must hand over its queue and requests in flight to its successor, once.
#[test]
fn stopping_holder_hands_over_its_pool() {
    let mut harness = Harness::warm(&[("engine-1", target(1, 2, 0))], Configuration::default());
    harness.add_vm("entry-3", 1);
    harness.ask_many("parlour-1", 5);
    harness.advance(600);
    harness.add_vm("entry-3", 1);
    harness.handle(hornbeamloom_kernel::event::Event::Drain);
    harness.entry_up = false;
    harness.advance(600);
    let sent = harness.sent_to("entry-3", |message| matches!(message, Message::Handover(_)));
    let [Message::Handover(snapshot)] = &sent[..] else {
        panic!("{} handovers", sent.len());
    };
    assert_eq!((snapshot.running.len(), snapshot.waiting.len()), (2, 3));
    assert!(snapshot.ramps.iter().all(|(_, _, ramp)| ramp.warm));
    assert_eq!(harness.running(), [], "the pool is no longer scheduled here");
}

/// While an inventory is missing, a granted request that has just ended must not be taken for the
/// untracked one that a report still shows; otherwise a third request would start on a target with
/// a cold limit of 2.
#[test]
fn untracked_requests_stay_counted_when_granted_ones_end() {
    let targets = [("engine-cold", target(2, 8, 0))];
    let mut harness = Harness::idle(&targets, Phase::Cold, Configuration::default());
    harness.list_vms(&[OWNER, ENTRY]);
    harness.engines.get_mut("engine-cold").unwrap().untracked = 1;
    harness.become_holder();
    harness.advance(4_000);
    harness.ask_many("parlour-1", 8);
    for _ in 0..4 {
        harness.advance(600);
        assert_eq!(harness.finish_all(), 1);
    }
}
