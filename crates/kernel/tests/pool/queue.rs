//! Guards against unbounded queues, late refusals and requests that are counted twice.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::outcome::Reason;
use hornbeamloom_kernel::peer::{Message, Release};
use hornbeamloom_kernel::request::End;
use hornbeamloom_kernel::resource::Configuration;
use hornbeamloom_kernel::target::Phase;

use crate::harness::{key, target, Harness, ENTRY};

/// Returns a pool with one warm target, whose only slot is taken.
fn busy(config: Configuration) -> Harness {
    let mut harness = Harness::warm(&[("engine-1", target(1, 1, 0))], config);
    harness.ask("first");
    assert_eq!(harness.running().len(), 1);
    harness
}

fn bounds(organisation_queue: u32, pool_queue: u32) -> Configuration {
    Configuration { organisation_queue, pool_queue, ..Configuration::default() }
}

/// A queue without bounds would grow without limit.
fn bound(organisations: &[&str], organisation: u32, pool: u32, expected: Reason) {
    let mut harness = busy(bounds(organisation, pool));
    let mut refused = Vec::new();
    for name in organisations {
        let id = harness.ask(name);
        refused.extend(harness.refusal(&id));
    }
    assert_eq!(refused, [expected]);
}

cases! {
    bound;
    queue_of_an_organisation_is_bounded:
        (&["a", "a", "a", "b"], 2, 100, Reason::OrganisationQueue);
    queue_of_a_pool_is_bounded: (&["a", "b", "c", "d"], 2, 3, Reason::PoolQueue);
}

/// A request that has reached its queue deadline must be refused and not granted later.
#[test]
fn request_is_refused_at_its_queue_deadline() {
    let mut harness = busy(Configuration::default());
    let mut ask = harness.new_ask("parlour-1");
    ask.max_wait_ms = 1_000;
    let id = ask.id.clone();
    harness.receive(ENTRY, Message::Ask(ask));
    harness.advance(900);
    assert!(harness.is_waiting(&id));
    harness.advance(600);
    assert_eq!(harness.refusal(&id), Some(Reason::QueueDeadline));
    assert!(!harness.is_waiting(&id));
}

/// A request that is expected to miss its queue deadline must be refused at once.
fn early(max_wait_ms: u64, expected: Option<Reason>) {
    let mut harness = busy(Configuration::default());
    harness.ask_many("parlour-1", 40);
    for _ in 0..20 {
        harness.advance(1_000);
        let id = harness.running()[0].0.clone();
        harness.end_attempt(&id, End::Complete, 200, Some(100));
    }
    let mut ask = harness.new_ask("parlour-1");
    ask.max_wait_ms = max_wait_ms;
    let id = harness.send(&ask);
    assert_eq!(harness.refusal(&id), expected);
}

cases! {
    early;
    request_that_would_wait_too_long_is_refused_early: (3_000, Some(Reason::QueueDeadline));
    request_that_can_wait_joins_the_queue: (60_000, None);
}

/// A low rate of arrivals must not be taken for a low rate of starts.
#[test]
fn idle_pool_does_not_refuse_a_burst() {
    let mut harness = Harness::warm(&[("engine-1", target(1, 2, 0))], Configuration::default());
    for _ in 0..10 {
        harness.advance(5_000);
        harness.ask("parlour-1");
        harness.finish_all();
    }
    let ids = harness.ask_many("parlour-1", 10);
    assert!(ids.iter().all(|id| harness.refusal(id).is_none()));
}

/// An ask that is sent again must not be queued twice.
#[test]
fn repeated_asks_are_queued_once() {
    let mut harness = busy(Configuration::default());
    let ask = harness.new_ask("parlour-1");
    for _ in 0..5 {
        harness.receive(ENTRY, Message::Ask(ask.clone()));
    }
    assert_eq!(harness.pool().queue.len(), 1);
}

/// A lost grant must be sent again unchanged: a second grant of one attempt would run it twice.
#[test]
fn repeated_ask_repeats_the_grant() {
    let mut harness = Harness::warm(
        &[("engine-1", target(1, 4, 0)), ("engine-2", target(1, 4, 0))],
        Configuration::default(),
    );
    let ask = harness.new_ask("parlour-1");
    harness.receive(ENTRY, Message::Ask(ask.clone()));
    let first = harness.granted(&ask.id);
    let start = harness.now;
    harness.now = harness.now.after(500);
    harness.receive(ENTRY, Message::Ask(ask.clone()));
    assert_eq!(harness.count("grant_resent"), 1);
    let granted = harness.pool().in_flight.get(&ask.id).map(|running| running.granted_at);
    assert_eq!(granted, Some(start), "the same grant and no newer one");
    assert_eq!(harness.granted(&ask.id), first);
    harness.now = harness.now.after(2_500);
    harness.receive(ENTRY, Message::Ask(ask.clone()));
    assert_eq!(harness.granted(&ask.id), first, "a renewed grant keeps its target");
    harness.advance(600);
    harness.receive(ENTRY, Message::Ask(ask.clone()));
    assert_eq!(harness.count("grant_resent"), 2, "a running request needs no grant");
    assert_eq!(harness.running().len(), 1);
}

/// Two attempts of one request in flight would take two places.
#[test]
fn higher_attempt_replaces_a_lower_one() {
    let mut harness = Harness::warm(
        &[("engine-1", target(1, 4, 0)), ("engine-2", target(1, 4, 0))],
        Configuration::default(),
    );
    let mut ask = harness.new_ask("parlour-1");
    harness.receive(ENTRY, Message::Ask(ask.clone()));
    let first = harness.granted(&ask.id).unwrap();
    ask.attempt = 2;
    ask.exclude = vec![first.clone()];
    harness.receive(ENTRY, Message::Ask(ask.clone()));
    assert_eq!(harness.running().len(), 1);
    assert_ne!(harness.granted(&ask.id), Some(first));
    ask.attempt = 1;
    harness.receive(ENTRY, Message::Ask(ask.clone()));
    assert_eq!(harness.pool().in_flight.get(&ask.id).unwrap().ask.attempt, 2);
}

/// An attempt that has ended must not start again because of a delayed message.
#[test]
fn delayed_ask_does_not_restart_an_ended_request() {
    let mut harness = Harness::warm(&[("engine-1", target(1, 4, 0))], Configuration::default());
    let ask = harness.new_ask("parlour-1");
    harness.receive(ENTRY, Message::Ask(ask.clone()));
    harness.finish(&ask.id);
    harness.receive(ENTRY, Message::Ask(ask.clone()));
    assert_eq!(harness.running(), []);
    assert!(!harness.is_waiting(&ask.id));
}

/// A grant for an entry VM that has stopped would waste a place.
#[test]
fn request_of_a_silent_entry_vm_leaves_the_queue() {
    let mut harness = busy(Configuration::default());
    let id = harness.ask("parlour-1");
    harness.advance(5_000);
    assert!(harness.is_waiting(&id), "the entry VM repeats the ask");
    harness.stop_asking();
    harness.advance(3_600);
    assert!(!harness.is_waiting(&id));
    assert_eq!(harness.count("ask_forgotten"), 1);
}

/// A withdrawn request must leave the queue, or the requests in flight.
#[test]
fn withdrawn_request_frees_its_place() {
    let mut harness = Harness::warm(&[("engine-1", target(1, 1, 0))], Configuration::default());
    let (first, second) = (harness.new_ask("parlour-1"), harness.new_ask("parlour-1"));
    for ask in [&first, &second] {
        harness.receive(ENTRY, Message::Ask(ask.clone()));
    }
    let (pool, id) = (key(), first.id.clone());
    harness.receive(ENTRY, Message::Withdraw { pool, id });
    assert_eq!(harness.running().len(), 1);
    assert!(harness.granted(&second.id).is_some());
}

/// Service that was not received must not be charged.
#[test]
fn unused_grant_is_not_counted_as_service() {
    let mut harness = Harness::warm(&[("engine-1", target(1, 4, 0))], Configuration::default());
    let id = harness.ask("parlour-1");
    let charged = harness.pool().queue.get("parlour-1").unwrap().service_counter;
    harness.end_attempt(&id, End::Unsent, 0, None);
    let served = harness.pool().queue.get("parlour-1").unwrap().service_counter;
    assert_eq!((charged, served), (10_000, 0));
}

/// A release for an attempt that was replaced must not free the newer one.
#[test]
fn late_release_of_an_earlier_attempt_frees_nothing() {
    let mut harness = Harness::warm(&[("engine-1", target(1, 4, 0))], Configuration::default());
    let mut ask = harness.new_ask("parlour-1");
    ask.attempt = 2;
    harness.receive(ENTRY, Message::Ask(ask.clone()));
    let release = Release {
        pool: key(),
        id: ask.id.clone(),
        attempt: 1,
        target: "engine-1".into(),
        end: End::Broken,
        tokens: 0,
        first_token_ms: None,
    };
    harness.receive(ENTRY, Message::Release(release));
    assert_eq!(harness.running().len(), 1);
}

/// A pool that is neither held nor used must not stay in memory.
#[test]
fn unused_pool_is_dropped() {
    let mut harness =
        Harness::idle(&[("engine-1", target(1, 1, 0))], Phase::Cold, Configuration::default());
    harness.ask("parlour-1");
    assert!(harness.kernel.state().pools.get(&key()).is_some());
    harness.stop_asking();
    harness.advance(15_000);
    assert!(harness.kernel.state().pools.get(&key()).is_none());
}

/// Operators need to find out why a request went to its target.
#[test]
fn log_of_a_request_names_queue_and_grant() {
    let mut harness = Harness::warm(&[("engine-1", target(1, 4, 0))], Configuration::default());
    let id = harness.ask("parlour-1");
    let log = &harness.kernel.state().decisions;
    let texts: Vec<&str> = log.steps(&id).map(|step| &*step.text).collect();
    assert_eq!(texts[0], "queued behind 0 in the pool");
    assert!(
        texts[1].starts_with("granted engine-1: best of 1 open targets (kvload 0, affinity 0)"),
        "{texts:?}"
    );
}

/// A retry that must avoid the only free target must not block the next request.
#[test]
fn excluded_target_goes_to_the_next_request() {
    let targets = [("engine-1", target(1, 1, 0)), ("engine-2", target(1, 1, 0))];
    let mut harness = Harness::warm(&targets, Configuration::default());
    let first = harness.ask_many("parlour-1", 2);
    let mut retry = harness.new_ask("parlour-1");
    retry.exclude = vec!["engine-2".into()];
    let retry = harness.send(&retry);
    let next = harness.ask("parlour-1");
    assert_eq!(harness.granted(&first[1]).as_deref(), Some("engine-2"));
    harness.finish(&first[1]);
    assert!(harness.is_waiting(&retry));
    assert_eq!(harness.granted(&next).as_deref(), Some("engine-2"));
}
