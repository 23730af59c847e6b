//! Guards against cold grants without a lease or without knowledge of what already runs.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::ids::{Fence, Incarnation};
use hornbeamloom_kernel::peer::{Message, Running};
use hornbeamloom_kernel::request::{End, Id};
use hornbeamloom_kernel::resource::Configuration;
use hornbeamloom_kernel::target::{Phase, Silence};

use crate::bed::{key, target, Bed, ENTRY, OWNER};

/// A new holder of a cold and a warm target, while another VM has not told what it runs.
fn new_holder() -> Bed {
    let targets = [("engine-cold", target(1, 4, 0)), ("engine-warm", target(1, 4, 0))];
    let mut bed = Bed::idle(&targets, Phase::Warm, Configuration::default());
    bed.engines.get_mut("engine-cold").unwrap().phase = Phase::Cold;
    bed.list(&[OWNER, ENTRY]);
    bed.hint(&["engine-warm"]);
    bed.become_holder();
    bed
}

fn running(bed: &mut Bed, target: &str) -> Running {
    Running { ask: bed.draft("parlour-1"), target: target.into(), tokens: 5 }
}

/// A silent VM may run work on the cold target; the warm one is soft and must not wait.
#[test]
fn take_over_grants_warm_targets_before_the_inventories() {
    let mut bed = new_holder();
    bed.asks("parlour-1", 8);
    bed.pass(300);
    assert_eq!(bed.on_target("engine-cold").len(), 0);
    assert_eq!(bed.on_target("engine-warm").len(), 4);
}

/// Waiting for ever would waste the cold target.
#[test]
fn take_over_grants_cold_targets_after_the_inventories() {
    let mut bed = new_holder();
    bed.asks("parlour-1", 8);
    bed.inventory(ENTRY, Vec::new());
    assert_eq!(bed.on_target("engine-cold").len(), 1);
}

/// A grant beside work that an inventory names breaks the limit.
#[test]
fn take_over_counts_the_work_of_an_inventory() {
    let mut bed = new_holder();
    let work = running(&mut bed, "engine-cold");
    bed.inventory(ENTRY, vec![work.clone()]);
    bed.asks("parlour-1", 8);
    bed.pass(2_000);
    assert_eq!(bed.on_target("engine-cold"), [work.ask.id]);
}

/// A VM that the platform no longer lists is gone with its work.
#[test]
fn take_over_does_not_wait_for_a_vm_that_left_the_list() {
    let mut bed = new_holder();
    bed.asks("parlour-1", 8);
    bed.list(&[OWNER]);
    assert_eq!(bed.on_target("engine-cold").len(), 1);
}

/// A report late enough shows all earlier work, and its count is the floor.
fn late_report(foreign: u32, expected: usize) {
    let mut bed = new_holder();
    bed.engines.get_mut("engine-cold").unwrap().foreign = foreign;
    bed.asks("parlour-1", 8);
    bed.pass(2_400);
    assert_eq!(bed.on_target("engine-cold").len(), 0, "too early");
    bed.pass(1_600);
    assert_eq!(bed.on_target("engine-cold").len(), expected);
}

cases! {
    late_report;
    take_over_trusts_a_report_after_its_lag: (0, 1);
    take_over_takes_the_reported_count_as_floor: (1, 0);
}

/// Without a lease another VM may count the same cold target as free, and all VMs of the zone may
/// schedule the same warm target.
fn fallback(others: &[&str], expected: usize) {
    let mut bed = Bed::idle(
        &[("engine-1", target(1, 8, 0)), ("engine-2", target(1, 8, 0))],
        Phase::Warm,
        Configuration::default(),
    );
    others.iter().for_each(|vm| bed.join(vm, 1));
    bed.hint(&["engine-2"]);
    bed.asks("parlour-1", 12);
    bed.pass(2_000);
    assert_eq!(bed.on_target("engine-1").len(), 0);
    assert_eq!(bed.on_target("engine-2").len(), expected);
}

cases! {
    fallback;
    lone_vm_without_a_lease_uses_the_warm_limit_and_no_cold_target: (&[], 8);
    two_vms_without_a_lease_share_the_warm_limit: (&["entry-3"], 4);
    vm_of_many_without_a_lease_uses_one_place: (
        &["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"],
        1,
    );
}

/// Two schedulers with full rights would fill the same targets twice.
#[test]
fn pool_of_another_holder_is_scheduled_only_for_own_requests() {
    let mut bed =
        Bed::idle(&[("engine-1", target(1, 2, 0))], Phase::Warm, Configuration::default());
    let waiting = bed.ask("parlour-1");
    assert!(bed.is_waiting(&waiting));
    bed.gossip("entry-3", 1, vec![(key(), Fence(9))]);
    bed.hint(&["engine-1"]);
    bed.pass(1_000);
    assert!(!bed.is_waiting(&waiting), "the holder is asked for it");
    assert_eq!(bed.running(), []);
    assert!(bed.count("ask_not_owner") > 0);
    let mut own = bed.draft("parlour-1");
    own.id = Id::new(OWNER, Incarnation(5), 1);
    let id = own.id.clone();
    bed.hear(OWNER, Message::Ask(own));
    let mut steps = bed.kernel.state().decisions.steps(&id);
    assert!(steps.any(|step| step.text.starts_with("granted engine-1")));
}

/// A lost release must not hold a place while its entry VM is well.
#[test]
fn work_that_a_live_entry_vm_no_longer_names_is_freed() {
    let mut bed = new_holder();
    bed.inventory(ENTRY, Vec::new());
    bed.asks("parlour-1", 5);
    bed.pass(600);
    let lost = bed.on_target("engine-cold")[0].clone();
    bed.lost.insert(lost.clone());
    bed.pass(5_000);
    assert!(bed.granted(&lost).is_some(), "too early");
    bed.pass(2_500);
    assert!(bed.granted(&lost).is_none());
    assert_eq!(bed.running().len(), 4, "the others go on");
}

/// After the lease lapsed the last holder goes on with warm targets only.
#[test]
fn lapsed_lease_stops_cold_grants_and_not_warm_ones() {
    let mut bed = new_holder();
    bed.inventory(ENTRY, Vec::new());
    bed.store_up = false;
    bed.pass(8_000);
    bed.asks("parlour-1", 8);
    bed.pass(600);
    assert_eq!(bed.on_target("engine-cold").len(), 0);
    assert_eq!(bed.on_target("engine-warm").len(), 4);
    bed.store_up = true;
    bed.pass(10_000);
    assert_eq!(bed.on_target("engine-cold").len(), 1);
}

/// Another VM that held the lease in between may have started work.
#[test]
fn lease_regained_under_a_new_token_starts_a_new_take_over() {
    let mut bed = new_holder();
    bed.inventory(ENTRY, Vec::new());
    let before = bed.held();
    bed.release_elsewhere(20);
    bed.pass(20_000);
    assert!(bed.held() > before, "{:?}", bed.held());
    assert!(!bed.pool().is_complete());
}

/// A holder that was paused beyond its lease must see that on the first event.
#[test]
fn paused_holder_grants_no_cold_target_on_waking() {
    let mut bed = new_holder();
    bed.inventory(ENTRY, Vec::new());
    bed.store_up = false;
    bed.now = bed.now.after(6_000);
    bed.ask("parlour-1");
    // Nothing at all is granted before news of the time of the pause can have arrived.
    assert!(bed.running().is_empty());
    bed.pass(1_600);
    let id = bed.running()[0].0.clone();
    assert_eq!(bed.granted(&id).as_deref(), Some("engine-warm"));
    assert_eq!(bed.pool().ledger.get(&id).unwrap().fence(), Fence(0));
}

/// Progress of a request that no inventory named means that the ledger is not whole.
#[test]
fn unknown_progress_reopens_the_take_over() {
    let mut bed = new_holder();
    bed.inventory(ENTRY, Vec::new());
    let entry =
        hornbeamloom_kernel::peer::Progress { incarnation: Incarnation(9), counter: 77, tokens: 3 };
    let (pool, entries) = (key(), vec![entry]);
    bed.hear(ENTRY, Message::Progress { pool, entries });
    bed.asks("parlour-1", 8);
    assert_eq!(bed.on_target("engine-cold").len(), 0);
    let work = Running {
        ask: hornbeamloom_kernel::peer::Ask {
            id: Id::new(ENTRY, Incarnation(9), 77),
            ..bed.draft("parlour-1")
        },
        target: "engine-cold".into(),
        tokens: 3,
    };
    bed.inventory(ENTRY, vec![work]);
    assert_eq!(bed.on_target("engine-cold").len(), 1);
}

/// Work on a cold target is not over because its entry VM is silent.
#[test]
fn silent_entry_vm_keeps_its_place_on_a_cold_target() {
    let mut bed = new_holder();
    bed.inventory(ENTRY, Vec::new());
    bed.asks("parlour-1", 5);
    bed.pass(600);
    bed.entry_up = false;
    bed.pass(20_000);
    assert_eq!(bed.on_target("engine-cold").len(), 1, "cold work is kept");
    assert_eq!(bed.on_target("engine-warm").len(), 0, "warm work is freed");
    bed.list(&[OWNER]);
    assert_eq!(bed.on_target("engine-cold").len(), 0);
}

/// A report that shows less is a sign that silent work has ended.
#[test]
fn silent_work_is_freed_by_a_later_report_that_shows_less() {
    let mut bed = new_holder();
    bed.inventory(ENTRY, Vec::new());
    bed.asks("parlour-1", 5);
    bed.pass(600);
    bed.entry_up = false;
    bed.engines.get_mut("engine-cold").unwrap().running = Some(0);
    bed.pass(6_000);
    assert_eq!(bed.on_target("engine-cold").len(), 1, "too early");
    bed.pass(4_500);
    assert_eq!(bed.on_target("engine-cold").len(), 0);
}

/// What a holder hands over must not be lost or counted twice at the successor.
#[test]
fn handover_carries_queue_ledger_and_ramp() {
    let mut bed = new_holder();
    let work = running(&mut bed, "engine-cold");
    let waiting = bed.draft("parlour-2");
    let snapshot = hornbeamloom_kernel::pool::Snapshot {
        pool: key(),
        fence: Fence(0),
        complete: true,
        reached: 4_000,
        served: vec![("parlour-2".into(), 9_000)],
        waiting: vec![waiting.clone()],
        running: vec![work.clone()],
        ramps: Vec::new(),
        lengths: Default::default(),
    };
    let targets = [("engine-cold", target(1, 4, 0))];
    let mut next = Bed::idle(&targets, Phase::Cold, Configuration::default());
    next.list(&[OWNER, ENTRY]);
    next.hear("entry-0", Message::Handover(snapshot));
    next.become_holder();
    assert_eq!(next.held(), Some(Fence(1)));
    assert_eq!(next.on_target("engine-cold"), [work.ask.id]);
    assert!(next.is_waiting(&waiting.id));
    let served = next.pool().queue.get("parlour-2").unwrap().served;
    assert_eq!(served, 9_000);
    assert!(next.pool().is_complete(), "the predecessor knew all work");
}

/// Without the death the crash correlation never learns which bodies ran.
fn death_is_reported(kill: fn(&mut Bed)) {
    let mut bed = Bed::warm(&[("engine-1", target(1, 8, 0))], Configuration::default());
    bed.join("entry-3", 1);
    bed.asks("parlour-1", 3);
    bed.pass(600);
    let mut bodies: Vec<u64> = bed.pool().running_on(0).map(|ask| ask.fingerprint).collect();
    bodies.sort();
    kill(&mut bed);
    bed.pass(1_000);
    let deaths = bed.sent_to("entry-3", |message| matches!(message, Message::Death(_)));
    let Some(Message::Death(death)) = deaths.first() else {
        panic!("no death in {:?}", bed.sent);
    };
    let ran: Vec<u64> = death.running.iter().map(|suspect| suspect.fingerprint).collect();
    assert_eq!((&*death.target, death.start_id, ran), ("engine-1", 1, bodies));
}

cases! {
    death_is_reported;
    death_is_reported_when_the_start_id_changes: (|bed| {
        bed.engines.get_mut("engine-1").unwrap().start_id = 2;
    });
    death_is_reported_after_its_attempts_were_released: (|bed| {
        for (id, _) in bed.running() {
            bed.end(&id, End::Broken, 0, None);
        }
        bed.engines.get_mut("engine-1").unwrap().start_id = 2;
    });
    death_is_reported_when_polls_are_refused: (|bed| {
        bed.engines.get_mut("engine-1").unwrap().silence = Some(Silence::Refused);
    });
}

/// A new holder that asks nobody never learns of work on cold targets.
#[test]
fn new_holder_asks_every_vm_until_it_answers() {
    let mut bed =
        Bed::idle(&[("engine-1", target(1, 4, 0))], Phase::Cold, Configuration::default());
    bed.join("entry-3", 1);
    bed.list(&[OWNER, "entry-3"]);
    bed.become_holder();
    let hellos = |bed: &Bed| {
        let is_hello = |message: &Message| matches!(message, Message::Hello { .. });
        bed.sent_to("entry-3", is_hello).len()
    };
    assert_eq!(hellos(&bed), 1);
    bed.pass(2_500);
    let asked = hellos(&bed);
    assert!(asked >= 3, "{asked}");
    bed.inventory("entry-3", Vec::new());
    bed.pass(5_000);
    assert_eq!(hellos(&bed), asked);
}

/// VMs of the zone need the holder's word for fallback and take-over.
#[test]
fn holder_describes_its_targets_to_the_zone_every_second() {
    let targets = [("engine-1", target(1, 4, 0)), ("engine-2", target(1, 4, 0))];
    let mut bed = Bed::idle(&targets, Phase::Warm, Configuration::default());
    bed.list(&[OWNER]);
    bed.hint(&["engine-2"]);
    bed.become_holder();
    bed.join("entry-3", 1);
    bed.pass(3_000);
    let told = bed.sent_to("entry-3", |message| matches!(message, Message::Targets { .. }));
    assert_eq!(told.len(), 3);
    let (warm, cold) = (vec!["engine-2".into()], vec!["engine-1".into()]);
    let pool = key();
    assert_eq!(told[0], Message::Targets { pool, warm, cold });
}

/// After a restart without any knowledge every target would start its ramp again.
#[test]
fn new_holder_learns_from_others_which_targets_were_warm() {
    let targets = [("engine-1", target(1, 4, 0)), ("engine-2", target(1, 4, 0))];
    let mut bed = Bed::holder(&targets, Phase::Warm, Configuration::default());
    bed.engines.get_mut("engine-2").unwrap().phase = Phase::Cold;
    bed.hint(&["engine-1", "engine-2"]);
    bed.pass(1_000);
    let warm: Vec<bool> = bed.pool().targets.iter().map(|slot| slot.is_warm()).collect();
    assert_eq!(warm, [true, false], "a report must confirm the word of others");
}

/// The other half: a VM that heard the former holder passes its word on.
#[test]
fn vm_tells_a_new_holder_what_its_predecessor_said() {
    let mut bed =
        Bed::idle(&[("engine-1", target(1, 4, 0))], Phase::Warm, Configuration::default());
    bed.join("entry-3", 1);
    bed.hint(&["engine-1"]);
    let (pool, fence) = (key(), Fence(7));
    bed.hear("entry-3", Message::Hello { pool, fence });
    let told = bed.sent_to("entry-3", |message| matches!(message, Message::Targets { .. }));
    assert_eq!(told.len(), 1);
}

/// A restarted entry VM runs nothing of its earlier incarnation.
#[test]
fn work_of_an_earlier_incarnation_is_freed() {
    let mut bed = new_holder();
    bed.inventory(ENTRY, Vec::new());
    bed.asks("parlour-1", 5);
    bed.pass(600);
    bed.entry_up = false;
    bed.join(ENTRY, 10);
    bed.pass(300);
    assert_eq!(bed.running(), []);
}

/// A holder that stops must give its queue and ledger to its successor, once.
#[test]
fn stopping_holder_hands_its_pool_over() {
    let mut bed = Bed::warm(&[("engine-1", target(1, 2, 0))], Configuration::default());
    bed.join("entry-3", 1);
    bed.asks("parlour-1", 5);
    bed.pass(600);
    bed.join("entry-3", 1);
    bed.handle(hornbeamloom_kernel::event::Event::Drain);
    bed.entry_up = false;
    bed.pass(600);
    let sent = bed.sent_to("entry-3", |message| matches!(message, Message::Handover(_)));
    let [Message::Handover(snapshot)] = &sent[..] else {
        panic!("{} handovers", sent.len());
    };
    assert_eq!((snapshot.running.len(), snapshot.waiting.len()), (2, 3));
    assert!(snapshot.ramps.iter().all(|(_, _, ramp)| ramp.warm));
    assert_eq!(bed.running(), [], "it is not scheduled here any more");
}

/// Without the inventory of a VM, an own request that has just ended would be taken for the unknown
/// one that a report still shows, and a third request would start on a target with cold limit 2.
#[test]
fn unknown_work_stays_counted_when_own_work_ends() {
    let targets = [("engine-cold", target(2, 8, 0))];
    let mut bed = Bed::idle(&targets, Phase::Cold, Configuration::default());
    bed.list(&[OWNER, ENTRY]);
    bed.engines.get_mut("engine-cold").unwrap().foreign = 1;
    bed.become_holder();
    bed.pass(4_000);
    bed.asks("parlour-1", 8);
    for _ in 0..4 {
        bed.pass(600);
        assert_eq!(bed.finish_all(), 1);
    }
}
