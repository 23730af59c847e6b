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
const SILENT: Duration = Duration::from_millis(5_000);
/// Time within which a key that was taken away must be refused, as on the platform's sites.
const REVOCATION: Duration = Duration::from_secs(5);
/// Time for which keys hold at least: a feed that was not heard for a second, and one call of 1.5 s
/// that was just about to end, go off [`REVOCATION`].
const HOLDS: Duration = Duration::from_millis(2_000);
/// Time after the end of a disturbance from which the platform's bounds hold.
const STABILITY: Duration = Duration::from_secs(3);
/// Time in which nothing may happen any more.
const CALM: Duration = Duration::from_millis(500);

async fn call_status(fleet: &Fleet, path: &str) -> u16 {
    call(fleet, path, b"events=1").await.status
}

/// What the store does to its readers before a change is made.
#[derive(Debug, Clone, Copy)]
enum Before {
    Nothing,
    /// It drops its history.
    Forgets,
    /// It is away for a moment.
    Refuses,
}

async fn trouble(fleet: &Fleet, before: Before) {
    match before {
        Before::Nothing => {}
        Before::Forgets => fleet.store.forget_history(),
        Before::Refuses => {
            fleet.store.set_fault(Fault::Refuses);
            tokio::time::sleep(CALM).await;
            fleet.store.set_fault(Fault::None);
        }
    }
}

/// A route that is removed and a key that is taken away are in force soon, and stay so (I9).
fn changes(before: Before) {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        trouble(&fleet, before).await;
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
    changes;

    a_configuration_is_in_force: (Before::Nothing);
    // Guards against a VM that waits for changes that it will never be told.
    a_configuration_after_a_dropped_history_is_in_force: (Before::Forgets);
    a_configuration_after_an_outage_is_in_force: (Before::Refuses);
}

/// Guards against a VM that still waits for an answer of a store that has long come back: a change
/// must be in force once the store has been back for the platform's stability window of 3 s.
#[test]
fn a_configuration_after_a_silent_store_is_in_force() {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        // A call that was just sent is the one that waits longest.
        let calls = || fleet.store.calls("rows-feed op");
        let before = calls();
        wait_until("the next call", || async { calls() > before }).await;
        fleet.store.set_fault(Fault::Silent);
        tokio::time::sleep(SILENT).await;
        fleet.store.set_fault(Fault::None);
        fleet.configure(&config(3, &["k2"]));
        tokio::time::sleep(STABILITY).await;
        assert_eq!(call_status(&fleet, "/look/1").await, 401);
    });
}

/// Guards against requests with a key that was taken away while the VM was cut off: a zone was cut
/// from the store, and keys held there beyond the 5 s within which they must be refused.
#[test]
fn a_vm_that_is_cut_off_refuses_keys() {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        wait_until_served(&fleet, "/look/1").await;
        fleet.store.set_fault(Fault::Silent);
        let silent = Instant::now();
        while silent.elapsed() < HOLDS {
            assert_eq!(call_status(&fleet, "/look/1").await, 200, "no key can be too old yet");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        tokio::time::sleep(REVOCATION.saturating_sub(silent.elapsed())).await;
        let before = fleet.journal.seen().len();
        assert_eq!(call_status(&fleet, "/look/1").await, 503);
        assert_eq!(fleet.journal.seen().len(), before, "nothing ran");
        fleet.store.set_fault(Fault::None);
        wait_until_served(&fleet, "/look/1").await;
    });
}

/// Guards against work for a zone that was taken out (I3).
#[test]
fn a_zone_that_is_out_gets_nothing_and_comes_back() {
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
fn a_target_that_leaves_gets_no_new_request() {
    block_on(async {
        let fleet = start_fleet().await;
        let desks = start_plain_targets(&fleet, 2).await;
        fleet.list(&desks[0], "desk", "a", "draining");
        tokio::time::sleep(CALM).await;
        let before = fleet.journal.seen().len();
        for _ in 0..20 {
            assert_eq!(call_status(&fleet, "/look/1").await, 200);
        }
        let seen = fleet.journal.seen();
        assert!(seen[before..].iter().all(|seen| seen.engine == "d2"));
    });
}

/// Rows that others have written wrongly name no target; the sound ones go on serving.
fn ignores(table: &str, key: &str, value: &[u8]) {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        fleet.store.put(table, key, value);
        tokio::time::sleep(CALM).await;
        for _ in 0..5 {
            assert_eq!(call_status(&fleet, "/look/1").await, 200);
        }
    });
}

cases! {
    ignores;

    an_entry_that_is_no_json: ("servers", "x1", b"\xff\x00");
    an_entry_without_an_address: ("servers", "x1", br#"{"service": "desk", "zone": "a", "slots": 1, "state": "ready"}"#);
    an_entry_with_another_state: ("servers", "x1", br#"{"service": "desk", "zone": "a", "slots": 1, "state": "odd", "address": "127.0.0.1:1"}"#);
    an_entry_of_an_unknown_service: ("servers", "x1", br#"{"service": "odd", "zone": "a", "slots": 1, "state": "ready", "address": "127.0.0.1:1"}"#);
    a_configuration_that_is_no_json: ("op", "config", b"{");
    an_unknown_row_of_the_operator: ("op", "odd", b"1");
}

/// Guards against a system that serves only while the store does.
///
/// The routes are public: a key may have been taken away while the store was not heard.
fn serves_without(fault: Fault) {
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
        let until = Instant::now() + Duration::from_secs(7);
        while Instant::now() < until {
            assert_eq!(call_status(&fleet, "/look/1").await, 200);
            assert_eq!(call_status(&fleet, "/draft/1").await, 200);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        fleet.store.set_fault(Fault::None);
        assert_eq!(call_status(&fleet, "/order/1").await, 200);
    });
}

cases! {
    serves_without;

    a_store_that_refuses: (Fault::Refuses);
    a_store_that_is_silent: (Fault::Silent);
    a_store_that_loses_answers: (Fault::LosesAnswers);
    a_store_that_writes_late: (Fault::Late);
}

/// Guards against a restart of a target under its own name that keeps what was known of it.
#[test]
fn a_target_that_comes_back_under_its_name_at_another_address_is_used() {
    block_on(async {
        let fleet = start_fleet().await;
        let desks = start_plain_targets(&fleet, 1).await;
        desks[0].kill();
        let again = fleet.engine("d1", "desk", "a", crate::harness::CALL_DURATION).await.unwrap();
        let mut row = entry(&again, "desk", "a", "ready");
        row["born"] = json!(2);
        fleet.store.put("servers", "d1", row.to_string().as_bytes());
        wait_until_served(&fleet, "/look/1").await;
    });
}
