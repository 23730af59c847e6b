//! Two faults at a time.

use std::time::Duration;

use hornbeamloom_bench::cluster::Cluster;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::json;

use crate::harness::{
    add_targets, burst, cluster, complete, fault, known_owner, patch, quick_engine, run, started,
    warm_engine, warm_up, MODEL,
};

/// Time within which a zone that was taken out must have stopped getting new work.
const LEAVE_MAX: Duration = Duration::from_secs(5);

hornbeamloom_kernel::cases! {
    engine_death_in_outage;
    // Guards against a last holder that cannot do without an engine, or does not take it back.
    an_engine_death_while_the_store_refuses_loses_no_later_request: ("refuse");
    an_engine_death_while_the_store_hangs_loses_no_later_request: ("hang");
}

fn engine_death_in_outage(outage: &'static str) {
    run(async move {
        let mut cluster = cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
        let engines = [quick_engine("engine-a1", "lodz-a"), quick_engine("engine-a2", "lodz-a")];
        add_targets(&mut cluster, &engines).await;
        warm_up(&cluster, 0).await;
        warm_up(&cluster, 1).await;
        let platform = cluster.platform.address;
        fault(&cluster, platform, json!({"outage": outage})).await;
        // Longer than HOLD, so that the owner goes on without a lease.
        tokio::time::sleep(Duration::from_secs(6)).await;
        cluster.targets[0].process.kill();
        for (tag, answer) in burst(&cluster, &[0, 1], 10, 10).await {
            answer.assert_whole(&tag, 10);
        }
        cluster.restart_target("engine-a1").expect("the engine starts again");
        for (tag, answer) in burst(&cluster, &[0, 1], 10, 10).await {
            answer.assert_whole(&tag, 10);
        }
        fault(&cluster, platform, json!({"outage": ""})).await;
        let deadline = std::time::Instant::now() + crate::harness::DEADLINE;
        while started(&mut cluster, "engine-a1").await == 0 {
            for (tag, answer) in burst(&cluster, &[0, 1], 8, 10).await {
                answer.assert_whole(&tag, 10);
            }
            assert!(std::time::Instant::now() < deadline, "the restarted engine gets no work");
        }
    });
}

hornbeamloom_kernel::cases! {
    zone_out_while_frozen;
    // Guards against an owner that wakes up and goes on with a zone that was taken out meanwhile.
    a_frozen_owner_wakes_up_in_a_zone_that_is_out: (8);
    a_frozen_owner_wakes_up_after_its_lease_in_a_zone_that_is_out: (12);
}

fn zone_out_while_frozen(freeze_s: u64) {
    run(async move {
        let daemons = [("entry-a1", "lodz-a"), ("entry-b1", "lodz-b"), ("entry-b2", "lodz-b")];
        let mut cluster = cluster(&daemons).await;
        let engines = [quick_engine("engine-a1", "lodz-a"), quick_engine("engine-b1", "lodz-b")];
        add_targets(&mut cluster, &engines).await;
        warm_up(&cluster, 0).await;
        warm_up(&cluster, 1).await;
        let (frozen, _) = known_owner(&cluster, 1, "lodz-b").await;
        let awake = [0, 3 - frozen];
        send(&cluster, frozen, Signal::SIGSTOP);
        let path = "/apis/v1/availabilityzones/lodz-b";
        let out = json!({"spec": {"state": "out"}});
        assert_eq!(patch(&cluster, 0, path, out).await.0, 200);
        tokio::time::sleep(LEAVE_MAX).await;
        let before = started(&mut cluster, "engine-b1").await;
        let thaw = async {
            tokio::time::sleep(Duration::from_secs(freeze_s) - LEAVE_MAX).await;
            send(&cluster, frozen, Signal::SIGCONT);
        };
        let queued = [frozen];
        let (through_awake, through_frozen, ()) =
            tokio::join!(burst(&cluster, &awake, 8, 10), burst(&cluster, &queued, 4, 10), thaw);
        for (tag, answer) in through_awake.iter().chain(&through_frozen) {
            answer.assert_whole(tag, 10);
        }
        for number in 0..6 {
            let tag = format!("n{number}");
            complete(&cluster, number % 3, &tag, 5).await.assert_whole(&tag, 5);
        }
        let after = started(&mut cluster, "engine-b1").await;
        assert_eq!(after, before, "a zone that is out got new work");
    });
}

fn send(cluster: &Cluster, daemon: usize, signal: Signal) {
    let pid = i32::try_from(cluster.daemons[daemon].process.id()).expect("a process id");
    kill(Pid::from_raw(pid), signal).expect("the process runs");
}

hornbeamloom_kernel::cases! {
    silent_and_cold;
    // Guards against a resumed stream that counts twice, or a cold limit that forgets it.
    a_silent_connection_while_the_engine_turns_cold: (json!({"silence": true}));
    a_cut_connection_while_the_engine_turns_cold: (json!({"cut": true}));
}

fn silent_and_cold(order: serde_json::Value) {
    run(async move {
        let mut cluster = cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
        let engine = warm_engine("engine-a1", "lodz-a");
        let address = cluster.start_target(&engine).expect("the engine starts");
        let proxy = cluster.start_proxy(address).expect("the proxy starts");
        let declared = Cluster::target_resource(&engine, proxy.address);
        cluster.apply(&declared).await.expect("it is accepted");
        cluster.wait_ready().await.expect("the daemons are ready");
        complete(&cluster, 0, "warm", 5).await.assert_whole("warm", 5);
        let strike = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            fault(&cluster, address, json!({"cold_s": 10.0})).await;
            fault(&cluster, proxy.control, order).await;
            // The report lags by 300 ms and is read twice a second; a link that went silent is
            // given up after 2 s.
            tokio::time::sleep(Duration::from_secs(4)).await;
            burst(&cluster, &[0, 1], 8, 10).await
        };
        let (first, second, burst) = tokio::join!(
            complete(&cluster, 0, "s0", 200),
            complete(&cluster, 1, "s1", 200),
            strike
        );
        first.assert_whole("s0", 200);
        second.assert_whole("s1", 200);
        for (tag, answer) in burst {
            answer.assert_whole(&tag, 10);
        }
        let status = cluster.targets[0].process.exit_status();
        assert!(status.is_none(), "the engine of {MODEL} was overloaded");
    });
}
