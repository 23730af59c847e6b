//! What the operator and the store do.

use std::time::{Duration, Instant};

use hornbeamloom_bench::fleet::{config, entry, Fleet};
use hornbeamloom_bench::rows::Fault;
use hornbeamloom_kernel::cases;
use serde_json::json;

use crate::harness::{
    block_on, call, start_engines, start_fleet, start_plain_targets, wait_until, wait_until_served,
    CALLER_KEY,
};

/// Time for which the store is silent: longer than one call may wait for its answer.
const STORE_SILENCE: Duration = Duration::from_millis(5_000);
/// Time within which a key that was taken away must be refused, as on the platform's sites.
const KEY_REVOCATION_MAX: Duration = Duration::from_secs(5);
/// Time for which keys hold at least: a feed that was not heard for a second, and one call of 1.5 s
/// that was just about to end, go off [`REVOCATION`].
const KEY_VALIDITY_MIN: Duration = Duration::from_millis(2_000);
/// Time after the end of a disturbance from which the platform's bounds hold.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Time in which nothing may happen any more.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

async fn call_status(fleet: &Fleet, path: &str) -> u16 {
    call(fleet, path, b"events=1").await.status
}

/// What the store does to its readers before a change is made.
#[derive(Debug, Clone, Copy)]
enum StoreEvent {
    None,
    /// It drops its history.
    HistoryDropped,
    /// It is away for a moment.
    Unavailable,
}

async fn apply_store_event(fleet: &Fleet, event: StoreEvent) {
    match event {
        StoreEvent::None => {}
        StoreEvent::HistoryDropped => fleet.store.forget_history(),
        StoreEvent::Unavailable => {
            fleet.store.set_fault(Fault::Refuses);
            tokio::time::sleep(PROPAGATION_TIME).await;
            fleet.store.set_fault(Fault::None);
        }
    }
}

/// A route that is removed and a key that is taken away are in force soon, and stay so (I9).
fn configuration_takes_effect(event: StoreEvent) {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        apply_store_event(&fleet, event).await;
        let mut changed = config(3, &["k2"]);
        changed["routes"].as_array_mut().unwrap().remove(1);
        fleet.configure(&changed);
        wait_until("the new keys", || async { call_status(&fleet, "/look/1").await == 401 }).await;
        changed["tenants"] = config(4, &[CALLER_KEY])["tenants"].clone();
        fleet.configure(&changed);
        wait_until("the old key", || async { call_status(&fleet, "/look/1").await == 200 }).await;
        assert_eq!(call_status(&fleet, "/order/1").await, 404);
    });
}

cases! {
    configuration_takes_effect;

    configuration_is_applied: (StoreEvent::None);
    // Guards against a VM that waits for changes that it will never be told.
    configuration_is_applied_after_a_dropped_history: (StoreEvent::HistoryDropped);
    configuration_is_applied_after_an_outage: (StoreEvent::Unavailable);
}

/// Guards against a VM that still waits for an answer of a store that has long come back: a change
/// must be in force once the store has been back for the platform's stability window of 3 s.
#[test]
fn configuration_is_applied_after_the_store_was_silent() {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        // A call that was just sent is the one that waits longest.
        let calls = || fleet.store.calls("rows-feed op");
        let before = calls();
        wait_until("the next call", || async { calls() > before }).await;
        fleet.store.set_fault(Fault::Silent);
        tokio::time::sleep(STORE_SILENCE).await;
        fleet.store.set_fault(Fault::None);
        fleet.configure(&config(3, &["k2"]));
        tokio::time::sleep(STABILITY_WINDOW).await;
        assert_eq!(call_status(&fleet, "/look/1").await, 401);
    });
}

/// Guards against requests with a key that was taken away while the VM was cut off: a zone was cut
/// from the store, and keys held there beyond the 5 s within which they must be refused.
#[test]
fn disconnected_vm_refuses_keys() {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        wait_until_served(&fleet, "/look/1").await;
        fleet.store.set_fault(Fault::Silent);
        let silent_since = Instant::now();
        while silent_since.elapsed() < KEY_VALIDITY_MIN {
            assert_eq!(call_status(&fleet, "/look/1").await, 200, "no key can be too old yet");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        tokio::time::sleep(KEY_REVOCATION_MAX.saturating_sub(silent_since.elapsed())).await;
        let before = fleet.journal.seen().len();
        assert_eq!(call_status(&fleet, "/look/1").await, 503);
        assert_eq!(fleet.journal.seen().len(), before, "nothing ran");
        fleet.store.set_fault(Fault::None);
        wait_until_served(&fleet, "/look/1").await;
    });
}

/// Guards against work for a zone that was taken out (I3).
#[test]
fn zone_out_of_service_gets_no_requests_until_its_return() {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        fleet.store.put("op", "evacuate/a", b"{}");
        wait_until("the refusal", || async { call_status(&fleet, "/look/1").await == 503 }).await;
        let before = fleet.journal.seen().len();
        assert_eq!(call_status(&fleet, "/look/1").await, 503);
        assert_eq!(fleet.journal.seen().len(), before);
        fleet.store.drop_row("op", "evacuate/a");
        wait_until_served(&fleet, "/look/1").await;
    });
}

/// Guards against new work for a target that leaves (I7).
#[test]
fn draining_target_gets_no_new_requests() {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_plain_targets(&fleet, 2).await;
        fleet.list(&targets[0], "desk", "a", "draining");
        tokio::time::sleep(PROPAGATION_TIME).await;
        let before = fleet.journal.seen().len();
        for _ in 0..20 {
            assert_eq!(call_status(&fleet, "/look/1").await, 200);
        }
        let received = fleet.journal.seen();
        assert!(received[before..].iter().all(|request| request.engine == "d2"));
    });
}

/// Rows that others have written wrongly name no target; the sound ones go on serving.
fn row_is_ignored(table: &str, key: &str, value: &[u8]) {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        fleet.store.put(table, key, value);
        tokio::time::sleep(PROPAGATION_TIME).await;
        for _ in 0..5 {
            assert_eq!(call_status(&fleet, "/look/1").await, 200);
        }
    });
}

cases! {
    row_is_ignored;

    entry_that_is_not_json_is_ignored: ("servers", "x1", b"\xff\x00");
    entry_without_an_address_is_ignored: ("servers", "x1", br#"{"service": "desk", "zone": "a", "slots": 1, "state": "ready"}"#);
    entry_with_an_unknown_state_is_ignored: ("servers", "x1", br#"{"service": "desk", "zone": "a", "slots": 1, "state": "odd", "address": "127.0.0.1:1"}"#);
    entry_of_an_unknown_service_is_ignored: ("servers", "x1", br#"{"service": "odd", "zone": "a", "slots": 1, "state": "ready", "address": "127.0.0.1:1"}"#);
    configuration_that_is_not_json_is_ignored: ("op", "config", b"{");
    unknown_operator_row_is_ignored: ("op", "odd", b"1");
}

/// Guards against a system that serves only while the store does.
///
/// The routes are public: a key may have been taken away while the store was not heard.
fn serving_continues_despite(fault: Fault) {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 2).await;
        start_engines(&fleet, 2).await;
        let mut public = config(3, &["k2"]);
        fleet.configure(&public);
        wait_until("the refusal", || async { call_status(&fleet, "/look/1").await == 401 }).await;
        for route in public["routes"].as_array_mut().unwrap() {
            route["public"] = json!(true);
        }
        public["version"] = json!(4);
        fleet.configure(&public);
        wait_until_served(&fleet, "/look/1").await;
        fleet.store.set_fault(fault);
        // Longer than a lease is valid.
        let end = Instant::now() + Duration::from_secs(7);
        while Instant::now() < end {
            assert_eq!(call_status(&fleet, "/look/1").await, 200);
            assert_eq!(call_status(&fleet, "/draft/1").await, 200);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        fleet.store.set_fault(Fault::None);
        assert_eq!(call_status(&fleet, "/order/1").await, 200);
    });
}

cases! {
    serving_continues_despite;

    serving_continues_while_the_store_refuses: (Fault::Refuses);
    serving_continues_while_the_store_is_silent: (Fault::Silent);
    serving_continues_while_the_store_loses_responses: (Fault::LosesAnswers);
    serving_continues_while_the_store_writes_late: (Fault::Late);
}

/// Guards against a restart of a target under its own name that keeps what was known of it.
#[test]
fn restarted_target_is_used_at_its_new_address() {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_plain_targets(&fleet, 1).await;
        targets[0].kill();
        let restarted =
            fleet.engine("d1", "desk", "a", crate::harness::CALL_DURATION).await.unwrap();
        let mut row = entry(&restarted, "desk", "a", "ready");
        row["born"] = json!(2);
        fleet.store.put("servers", "d1", row.to_string().as_bytes());
        wait_until_served(&fleet, "/look/1").await;
    });
}
