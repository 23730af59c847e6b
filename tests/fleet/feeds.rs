//! VMs of one zone that share the reading of the platform's tables.

use std::time::Duration;

use hornbeamloom_bench::fleet::{config, Fleet};
use nix::sys::signal::Signal;

use crate::harness::{attempt, desks, eventually, fleet, read, request, run, KEY};

/// Time in which VMs have found their reader: gossip, the wait after a start, and some questions.
const SETTLE: Duration = Duration::from_secs(10);
/// Time over which calls are counted.
const COUNTED: Duration = Duration::from_secs(6);
/// Calls for one table in that time by one reader, at one in 1.1 s, with half as many again to spare.
const CALLS_MAX: usize = 9;

async fn status(fleet: &Fleet, daemon: usize) -> u16 {
    let id = attempt();
    read(request(fleet, daemon, "/look/1", &id).body("x"), id).await.status
}

/// A fleet of some daemons in zone `a` that know each other.
async fn zone_of(daemons: usize) -> Fleet {
    let mut fleet = fleet().await;
    desks(&fleet, 1).await;
    for number in 2..=daemons {
        fleet.start_daemon(&format!("vm-{number}"), "a").unwrap();
    }
    for daemon in 0..daemons {
        let fleet = &fleet;
        eventually("service", || async { status(fleet, daemon).await == 200 }).await;
    }
    tokio::time::sleep(SETTLE).await;
    fleet
}

/// Guards against calls to the store that grow with the number of VMs.
#[test]
fn one_vm_reads_the_tables_of_its_zone() {
    run(async {
        let fleet = zone_of(3).await;
        let calls = || fleet.store.calls("rows-feed op");
        let before = calls();
        tokio::time::sleep(COUNTED).await;
        assert!(calls() - before <= CALLS_MAX, "{} calls", calls() - before);
    });
}

/// Guards against a VM that never hears of a change because the one that reads for it hangs (I9).
fn hears_of_changes_while_another_hangs(hanging: usize) {
    run(async move {
        let mut fleet = zone_of(2).await;
        fleet.daemons[hanging].process.signal(Signal::SIGSTOP);
        fleet.put_config(&config(3, &["k2"]));
        let other = 1 - hanging;
        eventually("the new keys", || async { status(&fleet, other).await == 401 }).await;
        fleet.put_config(&config(4, &[KEY]));
        eventually("the old keys", || async { status(&fleet, other).await == 200 }).await;
        fleet.daemons[hanging].process.signal(Signal::SIGCONT);
        eventually("its own end", || async { status(&fleet, hanging).await == 200 }).await;
    });
}

hornbeamloom_kernel::cases! {
    hears_of_changes_while_another_hangs;

    // One of the two reads for the other, whichever it is.
    a_vm_beside_the_first: (0);
    a_vm_beside_the_second: (1);
}
