//! VMs of one zone that share the reading of the platform's tables.

use std::time::Duration;

use hornbeamloom_bench::fleet::{config, Fleet};
use nix::sys::signal::Signal;

use crate::harness::{
    block_on, new_attempt_id, new_request, send, start_fleet, start_plain_targets, wait_until,
    CALLER_KEY,
};

/// Time in which VMs have found their reader: gossip, the wait after a start, and some questions.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Time over which calls are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(6);
/// Calls for one table in that time by one reader, at one in 1.1 s, with half as many again to spare.
const CALLS_MAX: usize = 9;

async fn call_status(fleet: &Fleet, daemon: usize) -> u16 {
    let attempt_id = new_attempt_id();
    send(new_request(fleet, daemon, "/look/1", &attempt_id).body("x"), attempt_id).await.status
}

/// A fleet of some daemons in zone `a` that know each other.
async fn start_zone(daemons: usize) -> Fleet {
    let mut fleet = start_fleet().await;
    start_plain_targets(&fleet, 1).await;
    for number in 2..=daemons {
        fleet.start_daemon(&format!("vm-{number}"), "a").unwrap();
    }
    for daemon in 0..daemons {
        let fleet = &fleet;
        wait_until("service", || async { call_status(fleet, daemon).await == 200 }).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    fleet
}

/// Guards against calls to the store that grow with the number of VMs.
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

/// Guards against a VM that never hears of a change because the one that reads for it hangs (I9).
fn changes_arrive_while_another_vm_hangs(hanging: usize) {
    block_on(async move {
        let mut fleet = start_zone(2).await;
        fleet.daemons[hanging].process.signal(Signal::SIGSTOP);
        fleet.configure(&config(3, &["k2"]));
        let other = 1 - hanging;
        wait_until("the new keys", || async { call_status(&fleet, other).await == 401 }).await;
        fleet.configure(&config(4, &[CALLER_KEY]));
        wait_until("the old keys", || async { call_status(&fleet, other).await == 200 }).await;
        fleet.daemons[hanging].process.signal(Signal::SIGCONT);
        wait_until("its own end", || async { call_status(&fleet, hanging).await == 200 }).await;
    });
}

hornbeamloom_kernel::cases! {
    changes_arrive_while_another_vm_hangs;

    // One of the two reads for the other, whichever it is.
    changes_reach_the_second_vm_while_the_first_hangs: (0);
    changes_reach_the_first_vm_while_the_second_hangs: (1);
}
