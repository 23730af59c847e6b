//! VMs of one zone that share one reader of the platform's tables.

use std::time::Duration;

use hornbeamloom_bench::fleet::{config, Fleet};
use nix::sys::signal::Signal;

use crate::harness::{
    block_on, new_attempt_id, new_request, send, start_fleet, start_plain_targets, wait_until,
    CALLER_KEY,
};

/// Time within which the VMs have agreed on a reader: gossip, the delay after a start, and some
/// queries.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Period over which calls are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(6);
/// Maximum number of calls for one table in [`COUNT_WINDOW`]: those of one reader, at one in 1.1 s,
/// and half as many again as margin.
const CALLS_MAX: usize = 9;

async fn call_status(fleet: &Fleet, daemon: usize) -> u16 {
    let attempt_id = new_attempt_id();
    send(new_request(fleet, daemon, "/look/1", &attempt_id).body("x"), attempt_id).await.status
}

/// Starts daemons in zone `a` and waits until they have agreed on a reader.
async fn start_zone(daemons: usize) -> Fleet {
    let mut fleet = start_fleet().await;
    start_plain_targets(&fleet, 1).await;
    for number in 2..=daemons {
        fleet.start_daemon(&format!("vm-{number}"), "a").unwrap();
    }
    for daemon in 0..daemons {
        let fleet = &fleet;
        wait_until("the daemon serves requests", || async {
            call_status(fleet, daemon).await == 200
        })
        .await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    fleet
}

/// Guards against a call rate at the store that grows with the number of VMs.
#[test]
fn one_vm_reads_the_tables_for_its_zone() {
    block_on(async {
        let fleet = start_zone(3).await;
        let calls = || fleet.store.calls("rows-feed op");
        let before = calls();
        tokio::time::sleep(COUNT_WINDOW).await;
        assert!(calls() - before <= CALLS_MAX, "{} calls", calls() - before);
    });
}

/// Guards against a VM that misses changes because its reader hangs (I9).
fn changes_arrive_while_another_vm_hangs(hanging: usize) {
    block_on(async move {
        let mut fleet = start_zone(2).await;
        fleet.daemons[hanging].process.signal(Signal::SIGSTOP);
        fleet.put_config(&config(3, &["k2"]));
        let other = 1 - hanging;
        wait_until("the new keys are in force", || async {
            call_status(&fleet, other).await == 401
        })
        .await;
        fleet.put_config(&config(4, &[CALLER_KEY]));
        wait_until("the old keys are in force again", || async {
            call_status(&fleet, other).await == 200
        })
        .await;
        fleet.daemons[hanging].process.signal(Signal::SIGCONT);
        wait_until("the resumed VM has the newest keys", || async {
            call_status(&fleet, hanging).await == 200
        })
        .await;
    });
}

hornbeamloom_kernel::cases! {
    changes_arrive_while_another_vm_hangs;

    // Either VM may be the reader; one of the two cases stops it.
    changes_reach_the_second_vm_while_the_first_hangs: (0);
    changes_reach_the_first_vm_while_the_second_hangs: (1);
}
