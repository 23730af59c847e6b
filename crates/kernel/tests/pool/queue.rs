//! Guards against unbounded queues, late refusals and requests that are counted twice.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::outcome::Reason;
use hornbeamloom_kernel::peer::{Message, Release};
use hornbeamloom_kernel::request::End;
use hornbeamloom_kernel::resource::Configuration;
use hornbeamloom_kernel::target::Phase;

use crate::bed::{key, target, Bed, ENTRY};

/// One warm target with one slot, which is taken.
fn busy(config: Configuration) -> Bed {
    let mut bed = Bed::warm(&[("engine-1", target(1, 1, 0))], config);
    bed.ask("first");
    assert_eq!(bed.running().len(), 1);
    bed
}

fn bounds(organisation_queue: u32, pool_queue: u32) -> Configuration {
    Configuration { organisation_queue, pool_queue, ..Configuration::default() }
}

/// A queue without bounds takes memory and time without end.
fn bound(organisations: &[&str], organisation: u32, pool: u32, expected: Reason) {
    let mut bed = busy(bounds(organisation, pool));
    let mut refused = Vec::new();
    for name in organisations {
        let id = bed.ask(name);
        refused.extend(bed.refusal(&id));
    }
    assert_eq!(refused, [expected]);
}

cases! {
    bound;
    queue_of_an_organisation_is_bounded:
        (&["a", "a", "a", "b"], 2, 100, Reason::OrganisationQueue);
    queue_of_a_pool_is_bounded: (&["a", "b", "c", "d"], 2, 3, Reason::PoolQueue);
}

/// A request that waited as long as it may must be refused and not granted later.
#[test]
fn request_is_refused_at_its_queue_deadline() {
    let mut bed = busy(Configuration::default());
    let mut ask = bed.draft("parlour-1");
    ask.patience_ms = 1_000;
    let id = ask.id.clone();
    bed.hear(ENTRY, Message::Ask(ask));
    bed.pass(900);
    assert!(bed.is_waiting(&id));
    bed.pass(600);
    assert_eq!(bed.refusal(&id), Some(Reason::QueueDeadline));
    assert!(!bed.is_waiting(&id));
}

/// Refusing only at the deadline wastes the caller's time when the backlog cannot be served.
fn early(patience_ms: u64, expected: Option<Reason>) {
    let mut bed = busy(Configuration::default());
    bed.asks("parlour-1", 40);
    for _ in 0..20 {
        bed.pass(1_000);
        let id = bed.running()[0].0.clone();
        bed.end(&id, End::Complete, 200, Some(100));
    }
    let mut ask = bed.draft("parlour-1");
    ask.patience_ms = patience_ms;
    let id = bed.send(&ask);
    assert_eq!(bed.refusal(&id), expected);
}

cases! {
    early;
    request_that_would_wait_too_long_is_refused_early: (3_000, Some(Reason::QueueDeadline));
    request_that_can_wait_joins_the_queue: (60_000, None);
}

/// A slow trickle of demand is no sign of a slow service.
#[test]
fn idle_pool_does_not_refuse_a_burst() {
    let mut bed = Bed::warm(&[("engine-1", target(1, 2, 0))], Configuration::default());
    for _ in 0..10 {
        bed.pass(5_000);
        bed.ask("parlour-1");
        bed.finish_all();
    }
    let ids = bed.asks("parlour-1", 10);
    assert!(ids.iter().all(|id| bed.refusal(id).is_none()));
}

/// An ask that is sent again must not take a second place or a second start.
#[test]
fn repeated_asks_keep_one_place() {
    let mut bed = busy(Configuration::default());
    let ask = bed.draft("parlour-1");
    for _ in 0..5 {
        bed.hear(ENTRY, Message::Ask(ask.clone()));
    }
    assert_eq!(bed.pool().queue.len(), 1);
}

/// A lost grant is sent again; a second start for the same attempt would run it twice.
#[test]
fn repeated_ask_repeats_the_grant() {
    let mut bed = Bed::warm(
        &[("engine-1", target(1, 4, 0)), ("engine-2", target(1, 4, 0))],
        Configuration::default(),
    );
    let ask = bed.draft("parlour-1");
    bed.hear(ENTRY, Message::Ask(ask.clone()));
    let first = bed.granted(&ask.id);
    let start = bed.now;
    bed.now = bed.now.after(500);
    bed.hear(ENTRY, Message::Ask(ask.clone()));
    assert_eq!(bed.count("grant_resent"), 1);
    let granted = bed.pool().ledger.get(&ask.id).map(|running| running.granted);
    assert_eq!(granted, Some(start), "the same grant and no newer one");
    assert_eq!(bed.granted(&ask.id), first);
    bed.now = bed.now.after(2_500);
    bed.hear(ENTRY, Message::Ask(ask.clone()));
    assert_eq!(bed.granted(&ask.id), first, "a renewed grant stays where it was");
    bed.pass(600);
    bed.hear(ENTRY, Message::Ask(ask.clone()));
    assert_eq!(bed.count("grant_resent"), 2, "running work needs no grant");
    assert_eq!(bed.running().len(), 1);
}

/// Two attempts of one request in the ledger would hold two places.
#[test]
fn higher_attempt_replaces_a_lower_one() {
    let mut bed = Bed::warm(
        &[("engine-1", target(1, 4, 0)), ("engine-2", target(1, 4, 0))],
        Configuration::default(),
    );
    let mut ask = bed.draft("parlour-1");
    bed.hear(ENTRY, Message::Ask(ask.clone()));
    let first = bed.granted(&ask.id).unwrap();
    ask.attempt = 2;
    ask.exclude = vec![first.clone()];
    bed.hear(ENTRY, Message::Ask(ask.clone()));
    assert_eq!(bed.running().len(), 1);
    assert_ne!(bed.granted(&ask.id), Some(first));
    ask.attempt = 1;
    bed.hear(ENTRY, Message::Ask(ask.clone()));
    assert_eq!(bed.pool().ledger.get(&ask.id).unwrap().ask.attempt, 2);
}

/// An attempt that has ended must not start again because of a delayed message.
#[test]
fn delayed_ask_does_not_bring_an_ended_request_back() {
    let mut bed = Bed::warm(&[("engine-1", target(1, 4, 0))], Configuration::default());
    let ask = bed.draft("parlour-1");
    bed.hear(ENTRY, Message::Ask(ask.clone()));
    bed.finish(&ask.id);
    bed.hear(ENTRY, Message::Ask(ask.clone()));
    assert_eq!(bed.running(), []);
    assert!(!bed.is_waiting(&ask.id));
}

/// A grant for an entry VM that is gone wastes a place.
#[test]
fn request_of_a_silent_entry_vm_leaves_the_queue() {
    let mut bed = busy(Configuration::default());
    let id = bed.ask("parlour-1");
    bed.pass(5_000);
    assert!(bed.is_waiting(&id), "it is asked for again");
    bed.stop_asking();
    bed.pass(3_600);
    assert!(!bed.is_waiting(&id));
    assert_eq!(bed.count("ask_forgotten"), 1);
}

/// A withdrawn request must leave both queue and ledger.
#[test]
fn withdrawn_request_frees_its_place() {
    let mut bed = Bed::warm(&[("engine-1", target(1, 1, 0))], Configuration::default());
    let (first, second) = (bed.draft("parlour-1"), bed.draft("parlour-1"));
    for ask in [&first, &second] {
        bed.hear(ENTRY, Message::Ask(ask.clone()));
    }
    let (pool, id) = (key(), first.id.clone());
    bed.hear(ENTRY, Message::Withdraw { pool, id });
    assert_eq!(bed.running().len(), 1);
    assert!(bed.granted(&second.id).is_some());
}

/// Service that was not received must not be counted.
#[test]
fn unused_grant_is_not_counted_as_service() {
    let mut bed = Bed::warm(&[("engine-1", target(1, 4, 0))], Configuration::default());
    let id = bed.ask("parlour-1");
    let charged = bed.pool().queue.get("parlour-1").unwrap().served;
    bed.end(&id, End::Unsent, 0, None);
    let served = bed.pool().queue.get("parlour-1").unwrap().served;
    assert_eq!((charged, served), (10_000, 0));
}

/// A release for an attempt that was replaced must not free the newer one.
#[test]
fn late_release_of_an_earlier_attempt_frees_nothing() {
    let mut bed = Bed::warm(&[("engine-1", target(1, 4, 0))], Configuration::default());
    let mut ask = bed.draft("parlour-1");
    ask.attempt = 2;
    bed.hear(ENTRY, Message::Ask(ask.clone()));
    let release = Release {
        pool: key(),
        id: ask.id.clone(),
        attempt: 1,
        target: "engine-1".into(),
        end: End::Broken,
        tokens: 0,
        first_token_ms: None,
    };
    bed.hear(ENTRY, Message::Release(release));
    assert_eq!(bed.running().len(), 1);
}

/// A pool that is neither held nor used takes memory for nothing.
#[test]
fn unused_pool_is_dropped() {
    let mut bed =
        Bed::idle(&[("engine-1", target(1, 1, 0))], Phase::Cold, Configuration::default());
    bed.ask("parlour-1");
    assert!(bed.kernel.state().pools.get(&key()).is_some());
    bed.stop_asking();
    bed.pass(15_000);
    assert!(bed.kernel.state().pools.get(&key()).is_none());
}

/// Operators ask why a request went where it did.
#[test]
fn record_of_a_request_names_queue_and_grant() {
    let mut bed = Bed::warm(&[("engine-1", target(1, 4, 0))], Configuration::default());
    let id = bed.ask("parlour-1");
    let log = &bed.kernel.state().decisions;
    let texts: Vec<&str> = log.steps(&id).map(|step| &*step.text).collect();
    assert_eq!(texts[0], "queued behind 0 in the pool");
    assert!(
        texts[1].starts_with("granted engine-1: best of 1 open targets (kvload 0, affinity 0)"),
        "{texts:?}"
    );
}

/// A retry that must avoid the only free target must not keep the next request from it.
#[test]
fn excluded_target_is_left_to_the_next_request() {
    let targets = [("engine-1", target(1, 1, 0)), ("engine-2", target(1, 1, 0))];
    let mut bed = Bed::warm(&targets, Configuration::default());
    let first = bed.asks("parlour-1", 2);
    let mut retry = bed.draft("parlour-1");
    retry.exclude = vec!["engine-2".into()];
    let retry = bed.send(&retry);
    let next = bed.ask("parlour-1");
    assert_eq!(bed.granted(&first[1]).as_deref(), Some("engine-2"));
    bed.finish(&first[1]);
    assert!(bed.is_waiting(&retry));
    assert_eq!(bed.granted(&next).as_deref(), Some("engine-2"));
}
