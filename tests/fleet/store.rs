//! Changes in the platform's store, malformed rows and store outages.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hornbeamloom_bench::fleet::{config, target_entry, Fleet};
use hornbeamloom_bench::mock_store::Fault;
use hornbeamloom_kernel::cases;
use serde_json::json;

use crate::harness::{
    block_on, call, start_engines, start_fleet, start_plain_targets, wait_until, wait_until_served,
    CALLER_KEY, CALL_DURATION,
};

/// Time for which the store does not respond: longer than the timeout of a call.
const STORE_SILENCE: Duration = Duration::from_millis(5_000);
/// Time within which a revoked key must be refused, as on the platform's sites.
const MAX_KEY_REVOCATION: Duration = Duration::from_secs(5);
/// Time for which keys must be accepted after the store fell silent: [`MAX_KEY_REVOCATION`] less
/// 1 s without a feed response and less a call of 1.5 s that was about to end.
const MIN_KEY_VALIDITY: Duration = Duration::from_millis(2_000);
/// Time after which a feed call from before has ended; the store delays it by 1.1 s at most.
const MAX_FEED_CALL: Duration = Duration::from_millis(1_500);
/// Time after a disturbance from which the platform's bounds apply again.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Time in which a change reaches the daemon; also the length of a short outage.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

pub async fn call_status(fleet: &Fleet, path: &str) -> u16 {
    call(fleet, path, b"events=1").await.status
}

/// What happens in the store before a change is made.
#[derive(Debug, Clone, Copy)]
enum StoreEvent {
    None,
    /// The history of changes is dropped.
    HistoryDropped,
    /// Calls are refused for a short time.
    Unavailable,
}

async fn apply_store_event(fleet: &Fleet, event: StoreEvent) {
    match event {
        StoreEvent::None => {}
        StoreEvent::HistoryDropped => fleet.store.compact_history(),
        StoreEvent::Unavailable => {
            fleet.store.set_fault(Fault::Unavailable);
            tokio::time::sleep(PROPAGATION_TIME).await;
            fleet.store.set_fault(Fault::None);
        }
    }
}

/// Checks that a removed route and a revoked key take effect and stay in effect (I9).
fn configuration_takes_effect(event: StoreEvent) {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        apply_store_event(&fleet, event).await;
        let mut changed = config(3, &["k2"]);
        changed["routes"].as_array_mut().unwrap().remove(1);
        fleet.put_config(&changed);
        wait_until("the new keys are in force", || async {
            call_status(&fleet, "/look/1").await == 401
        })
        .await;
        changed["tenants"] = config(4, &[CALLER_KEY])["tenants"].clone();
        fleet.put_config(&changed);
        wait_until("the old key is in force again", || async {
            call_status(&fleet, "/look/1").await == 200
        })
        .await;
        assert_eq!(call_status(&fleet, "/order/1").await, 404);
    });
}

cases! {
    configuration_takes_effect;

    configuration_is_applied: (StoreEvent::None);
    // Guards against a VM that waits for changes that are no longer in the history.
    configuration_is_applied_after_a_dropped_history: (StoreEvent::HistoryDropped);
    configuration_is_applied_after_an_outage: (StoreEvent::Unavailable);
}

/// Guards against a new configuration that is lost when the same read of the whole table shows that
/// a zone is back in service: the VM kept the older one under a newer revision and passed it on to
/// all others (I9).
#[test]
fn configuration_is_applied_together_with_the_return_of_a_zone() {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        fleet.store.put("op", "evacuate/b", b"{}");
        tokio::time::sleep(PROPAGATION_TIME).await;
        fleet.store.set_fault(Fault::Unavailable);
        // A call that waits for changes when the fault begins would still bring them.
        tokio::time::sleep(MAX_FEED_CALL).await;
        fleet.put_config(&config(3, &["k2"]));
        fleet.store.delete_row("op", "evacuate/b");
        fleet.store.compact_history();
        fleet.store.set_fault(Fault::None);
        wait_until("the new keys are in force", || async {
            call_status(&fleet, "/look/1").await == 401
        })
        .await;
    });
}

/// Guards against a VM that takes an empty error response to a read for an empty table and drops
/// all its targets.
#[test]
fn error_response_to_a_read_does_not_remove_targets() {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        fleet.store.set_fault(Fault::Gone);
        let end = Instant::now() + MIN_KEY_VALIDITY;
        while Instant::now() < end {
            assert_eq!(call_status(&fleet, "/look/1").await, 200);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Guards against a VM that still waits for the response to a call from the time of an outage: a
/// change must be in force once the store has been back for the platform's stability window of 3 s.
#[test]
fn configuration_is_applied_after_the_store_was_silent() {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        // A call sent just before the outage waits longest.
        let calls = || fleet.store.calls("rows-feed op");
        let before = calls();
        wait_until("the next call is sent", || async { calls() > before }).await;
        fleet.store.set_fault(Fault::Unresponsive);
        tokio::time::sleep(STORE_SILENCE).await;
        fleet.store.set_fault(Fault::None);
        fleet.put_config(&config(3, &["k2"]));
        tokio::time::sleep(STABILITY_WINDOW).await;
        assert_eq!(call_status(&fleet, "/look/1").await, 401);
    });
}

/// Guards against requests with a key that was revoked while the VM had no connection to the store:
/// a partitioned zone accepted keys beyond the 5 s within which they must be refused.
#[test]
fn disconnected_vm_refuses_keys() {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        wait_until_served(&fleet, "/look/1").await;
        fleet.store.set_fault(Fault::Unresponsive);
        let silent_since = Instant::now();
        while silent_since.elapsed() < MIN_KEY_VALIDITY {
            assert_eq!(call_status(&fleet, "/look/1").await, 200, "keys must still be accepted");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        tokio::time::sleep(MAX_KEY_REVOCATION.saturating_sub(silent_since.elapsed())).await;
        let before = fleet.request_log.requests().len();
        assert_eq!(call_status(&fleet, "/look/1").await, 503);
        assert_eq!(fleet.request_log.requests().len(), before, "no request may reach a target");
        fleet.store.set_fault(Fault::None);
        wait_until_served(&fleet, "/look/1").await;
    });
}

/// Guards against requests to a zone that was taken out of service (I3).
#[test]
fn zone_out_of_service_gets_no_requests_until_its_return() {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        fleet.store.put("op", "evacuate/a", b"{}");
        wait_until("requests are refused", || async {
            call_status(&fleet, "/look/1").await == 503
        })
        .await;
        let before = fleet.request_log.requests().len();
        assert_eq!(call_status(&fleet, "/look/1").await, 503);
        assert_eq!(fleet.request_log.requests().len(), before);
        fleet.store.delete_row("op", "evacuate/a");
        wait_until_served(&fleet, "/look/1").await;
    });
}

/// Checks that requests are served, and by one target only.
async fn assert_served_by(fleet: &Fleet, target: &str) {
    let before = fleet.request_log.requests().len();
    for _ in 0..20 {
        assert_eq!(call_status(fleet, "/look/1").await, 200);
    }
    let received = fleet.request_log.requests();
    assert!(received[before..].iter().all(|request| request.engine == target));
}

/// Guards against requests to a leaving target whose entry is older than a configuration that the
/// VM has read before it: the record of the target already had the number of the configuration, so
/// the entry was taken for an old one (I7).
#[test]
fn draining_target_is_noticed_after_a_newer_configuration() {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_plain_targets(&fleet, 2).await;
        // The VM pauses between two reads of the targets' table, but not between those of two tables.
        fleet.put_target(&targets[1], "desk", "a", "ready");
        tokio::time::sleep(CALL_DURATION).await;
        fleet.put_target(&targets[0], "desk", "a", "draining");
        fleet.put_config(&config(3, &[CALLER_KEY]));
        tokio::time::sleep(PROPAGATION_TIME).await;
        assert_served_by(&fleet, "d2").await;
    });
}

/// Guards against new requests to a draining target (I7).
#[test]
fn draining_target_gets_no_new_requests() {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_plain_targets(&fleet, 2).await;
        fleet.put_target(&targets[0], "desk", "a", "draining");
        tokio::time::sleep(PROPAGATION_TIME).await;
        assert_served_by(&fleet, "d2").await;
    });
}

/// Checks that a malformed row is ignored and the valid ones stay in use.
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

/// Checks that later changes of both tables take effect after an odd entry of a target.
fn tables_are_followed_after(entry: &[u8]) {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        fleet.store.put("servers", "x1", entry);
        tokio::time::sleep(PROPAGATION_TIME).await;
        fleet.put_config(&config(3, &["k2"]));
        wait_until("the old key is refused", || async {
            call_status(&fleet, "/look/1").await == 401
        })
        .await;
        fleet.put_config(&config(4, &[CALLER_KEY]));
        let before = fleet.request_log.requests().len();
        fleet.start_engine("d2", "desk", "a", CALL_DURATION).await.unwrap();
        wait_until("the new target serves requests", || async {
            // Requests that arrive together are spread over all targets.
            join_all((0..4).map(|_| call_status(&fleet, "/look/1"))).await;
            fleet.request_log.requests()[before..].iter().any(|request| request.engine == "d2")
        })
        .await;
    });
}

const DEEPLY_NESTED: &[u8] = &[b'['; 48 << 10];

cases! {
    tables_are_followed_after;

    // Guards against a reader of the list of targets that ends or stops at an odd entry.
    deeply_nested_entry: (DEEPLY_NESTED);
    entry_with_a_port_out_of_range: (br#"{"service": "desk", "zone": "a", "slots": 1, "state": "ready", "address": "127.0.0.1:99999"}"#);
    entry_with_a_number_beyond_any_type: (br#"{"service": "desk", "zone": "a", "slots": 1, "state": "ready", "address": "127.0.0.1:1", "cold_remaining_ms": 1e999}"#);
    entry_with_the_largest_numbers: (br#"{"service": "desk", "zone": "a", "slots": 4294967295, "state": "ready", "address": "127.0.0.1:1", "cold_remaining_ms": 1e308, "born": 18446744073709551615}"#);
    entry_with_numbers_below_zero: (br#"{"service": "desk", "zone": "a", "slots": 1, "state": "ready", "address": "127.0.0.1:1", "cold_remaining_ms": -1e308, "born": -1}"#);
}

/// Guards against serving that depends on the availability of the store.
///
/// The routes are public, because keys are refused if they may have been revoked during the outage.
fn serving_continues_despite(fault: Fault) {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 2).await;
        start_engines(&fleet, 2).await;
        let mut public = config(3, &["k2"]);
        fleet.put_config(&public);
        wait_until("the old key is refused", || async {
            call_status(&fleet, "/look/1").await == 401
        })
        .await;
        for route in public["routes"].as_array_mut().unwrap() {
            route["public"] = json!(true);
        }
        public["version"] = json!(4);
        fleet.put_config(&public);
        wait_until_served(&fleet, "/look/1").await;
        fleet.store.set_fault(fault);
        // Longer than the validity of a lease (5 s).
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

    serving_continues_while_the_store_refuses: (Fault::Unavailable);
    serving_continues_while_the_store_is_silent: (Fault::Unresponsive);
    serving_continues_while_the_store_loses_responses: (Fault::DropsResponses);
    serving_continues_while_the_store_writes_late: (Fault::DelaysWrites);
}

/// Guards against stale state of a target that was restarted under its name at another address.
#[test]
fn restarted_target_is_used_at_its_new_address() {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_plain_targets(&fleet, 1).await;
        targets[0].kill();
        let restarted =
            fleet.start_engine("d1", "desk", "a", crate::harness::CALL_DURATION).await.unwrap();
        let mut row = target_entry(&restarted, "desk", "a", "ready");
        row["born"] = json!(2);
        fleet.store.put("servers", "d1", row.to_string().as_bytes());
        wait_until_served(&fleet, "/look/1").await;
    });
}
