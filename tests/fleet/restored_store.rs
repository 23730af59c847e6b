//! A store that comes back from an older copy and has lost what was written last.

use std::time::{Duration, Instant};

use hornbeamloom_bench::fleet::{config, route_entry, Fleet};
use hornbeamloom_bench::mock_store::{Backup, Fault};
use hornbeamloom_kernel::cases;

use crate::harness::{
    block_on, new_attempt_id, new_request, send, start_fleet, start_fleet_with_first_era,
    start_plain_targets, wait_until, wait_until_served, CALLER_KEY,
};
use crate::store::call_status;

/// Time for which the store is away.
const OUTAGE: Duration = Duration::from_millis(500);
/// Time for which nobody has replaced what the store lost.
const OUTDATED_TIME: Duration = Duration::from_secs(3);

async fn restore_store(fleet: &Fleet, backup: &Backup) {
    fleet.store.set_fault(Fault::Unavailable);
    tokio::time::sleep(OUTAGE).await;
    fleet.store.restore(backup);
    fleet.store.set_fault(Fault::None);
}

/// Issues versions until they are higher than those from before the return.
fn advance_versions(fleet: &Fleet, count: usize) {
    for ix in 0..count {
        fleet.store.put("odd", &ix.to_string(), b"1");
    }
}

async fn assert_status_for(fleet: &Fleet, duration: Duration, path: &str, status: u16) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        assert_eq!(call_status(fleet, path).await, status);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Checks that a configuration written after the return takes effect, and that the one which was
/// lost stays in force until then (I9).
fn configuration_survives_a_return(first_era: u64, versions_issued_after: usize) {
    block_on(async {
        let fleet = start_fleet_with_first_era(first_era).await;
        start_plain_targets(&fleet, 1).await;
        wait_until_served(&fleet, "/look/1").await;
        let backup = fleet.store.back_up();
        advance_versions(&fleet, 20);
        fleet.put_config(&config(3, &["k2"]));
        wait_until("the revoked key is refused", || async {
            call_status(&fleet, "/look/1").await == 401
        })
        .await;
        restore_store(&fleet, &backup).await;
        advance_versions(&fleet, versions_issued_after);
        assert_status_for(&fleet, OUTDATED_TIME, "/look/1", 401).await;
        let mut changed = config(7, &[CALLER_KEY]);
        changed["routes"].as_array_mut().unwrap().push(route_entry("new", "idempotent", "desk"));
        fleet.put_config(&changed);
        wait_until("the added route is served", || async {
            call_status(&fleet, "/new/1").await == 200
        })
        .await;
    });
}

cases! {
    configuration_survives_a_return;

    // Guards against VMs that ignore versions which are lower than those from before the return.
    configuration_with_a_lower_version_is_applied: (1, 0);
    // Guards against VMs that take a version for the one of the same number from before the return.
    configuration_with_a_reissued_version_is_applied: (1, 40);
    // Guards against VMs that take the first return of a store that names its eras from 0 for none.
    configuration_with_a_lower_version_is_applied_if_eras_begin_at_0: (0, 0);
    configuration_with_a_reissued_version_is_applied_if_eras_begin_at_0: (0, 40);
}

/// Checks that a VM which starts after a return of the store applies what the store has from then
/// on, and so do those that know of the return.
fn vm_started_after_a_return_applies_changes(first_era: u64, zone: &str) {
    block_on(async {
        let mut fleet = start_fleet_with_first_era(first_era).await;
        start_plain_targets(&fleet, 1).await;
        wait_until_served(&fleet, "/look/1").await;
        let backup = fleet.store.back_up();
        advance_versions(&fleet, 20);
        restore_store(&fleet, &backup).await;
        fleet.start_daemon("vm-2", zone).expect("the daemon starts");
        if first_era == 0 {
            // Its own responses show only the era in which it starts.
            wait_until("the new VM learns of the return", || async {
                fleet.log("vm-2").contains("store era changed")
            })
            .await;
        }
        for (version, keys, status) in [(2, ["k2"], 401), (3, [CALLER_KEY], 200)] {
            fleet.put_config(&config(version, &keys));
            wait_until("both VMs apply the configuration", || async {
                let mut has_applied = true;
                for daemon in 0..2 {
                    let attempt_id = new_attempt_id();
                    let request = new_request(&fleet, daemon, "/look/1", &attempt_id);
                    has_applied &= send(request, attempt_id).await.status == status;
                }
                has_applied
            })
            .await;
        }
    });
}

cases! {
    vm_started_after_a_return_applies_changes;

    vm_of_the_same_zone: (1, "a");
    vm_of_another_zone: (1, "b");
    // Guards against VMs that take the era in which they start for the first one, so that they and
    // the others count eras differently.
    vm_of_the_same_zone_if_eras_begin_at_0: (0, "a");
    vm_of_another_zone_if_eras_begin_at_0: (0, "b");
}

/// Guards against new requests to a draining target whose registration went back to an earlier
/// state (I7).
#[test]
fn draining_target_gets_no_requests_after_a_return() {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_plain_targets(&fleet, 2).await;
        wait_until_served(&fleet, "/look/1").await;
        let backup = fleet.store.back_up();
        fleet.put_target(&targets[0], "desk", "a", "draining");
        tokio::time::sleep(OUTAGE).await;
        restore_store(&fleet, &backup).await;
        let before = fleet.request_log.requests().len();
        assert_status_for(&fleet, OUTDATED_TIME, "/look/1", 200).await;
        let received = fleet.request_log.requests();
        assert!(received[before..].iter().all(|request| request.engine == "d2"));
    });
}

/// Guards against requests to a zone whose evacuation the store has lost (I3).
#[test]
fn evacuated_zone_gets_no_requests_after_a_return() {
    block_on(async {
        let fleet = start_fleet().await;
        start_plain_targets(&fleet, 1).await;
        wait_until_served(&fleet, "/look/1").await;
        let backup = fleet.store.back_up();
        fleet.store.put("op", "evacuate/a", b"{}");
        wait_until("requests are refused", || async {
            call_status(&fleet, "/look/1").await == 503
        })
        .await;
        restore_store(&fleet, &backup).await;
        assert_status_for(&fleet, OUTDATED_TIME, "/look/1", 503).await;
        fleet.store.put("op", "evacuate/a", b"{}");
        tokio::time::sleep(OUTAGE).await;
        fleet.store.delete_row("op", "evacuate/a");
        wait_until_served(&fleet, "/look/1").await;
    });
}
