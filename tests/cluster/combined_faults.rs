//! Two simultaneous faults.

use std::time::Duration;

use hornbeamloom_bench::cluster::Cluster;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::json;

use crate::harness::{
    add_targets, block_on, inject_fault, patch_resource, send_burst, short_ramp_engine,
    start_cluster, started_requests, stream_completion, wait_for_owner, warm_engine, warm_up,
    MODEL_SERVICE,
};

/// Time within which a zone that is taken out of service must stop receiving new requests.
const DRAIN_DEADLINE: Duration = Duration::from_secs(5);

hornbeamloom_kernel::cases! {
    engine_crash_during_a_store_outage;
    // Guards against an owner with a lapsed lease that keeps sending requests to a crashed engine,
    // or does not use it again after its restart.
    engine_crash_while_the_store_refuses_loses_no_later_request: ("refuse");
    engine_crash_while_the_store_hangs_loses_no_later_request: ("hang");
}

fn engine_crash_during_a_store_outage(outage: &'static str) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
        let engines =
            [short_ramp_engine("engine-a1", "lodz-a"), short_ramp_engine("engine-a2", "lodz-a")];
        add_targets(&mut cluster, &engines).await;
        warm_up(&cluster, 0).await;
        warm_up(&cluster, 1).await;
        let platform = cluster.platform.address;
        inject_fault(&cluster, platform, json!({"outage": outage})).await;
        // Longer than `LEASE_VALID_MS` (5 s), so that the owner continues without a lease.
        tokio::time::sleep(Duration::from_secs(6)).await;
        cluster.targets[0].process.kill();
        for (tag, response) in send_burst(&cluster, &[0, 1], 10, 10).await {
            response.assert_complete(&tag, 10);
        }
        cluster.restart_target("engine-a1").expect("the engine restarts");
        for (tag, response) in send_burst(&cluster, &[0, 1], 10, 10).await {
            response.assert_complete(&tag, 10);
        }
        inject_fault(&cluster, platform, json!({"outage": ""})).await;
        let deadline = std::time::Instant::now() + crate::harness::TEST_TIMEOUT;
        while started_requests(&mut cluster, "engine-a1").await == 0 {
            for (tag, response) in send_burst(&cluster, &[0, 1], 8, 10).await {
                response.assert_complete(&tag, 10);
            }
            assert!(
                std::time::Instant::now() < deadline,
                "the restarted engine received no request"
            );
        }
    });
}

hornbeamloom_kernel::cases! {
    zone_out_of_service_while_the_owner_is_paused;
    // Guards against an owner that was paused while its zone was taken out of service and continues
    // to grant requests there when it resumes.
    paused_owner_resumes_in_a_zone_out_of_service: (8);
    paused_owner_resumes_after_its_lease_in_a_zone_out_of_service: (12);
}

fn zone_out_of_service_while_the_owner_is_paused(pause_s: u64) {
    block_on(async move {
        let daemons = [("entry-a1", "lodz-a"), ("entry-b1", "lodz-b"), ("entry-b2", "lodz-b")];
        let mut cluster = start_cluster(&daemons).await;
        let engines =
            [short_ramp_engine("engine-a1", "lodz-a"), short_ramp_engine("engine-b1", "lodz-b")];
        add_targets(&mut cluster, &engines).await;
        warm_up(&cluster, 0).await;
        warm_up(&cluster, 1).await;
        let (paused, _) = wait_for_owner(&cluster, 1, "lodz-b").await;
        let running_daemons = [0, 3 - paused];
        send_signal(&cluster, paused, Signal::SIGSTOP);
        let path = "/apis/v1/availabilityzones/lodz-b";
        let out = json!({"spec": {"state": "out"}});
        assert_eq!(patch_resource(&cluster, 0, path, out).await.0, 200);
        tokio::time::sleep(DRAIN_DEADLINE).await;
        let before = started_requests(&mut cluster, "engine-b1").await;
        let resume = async {
            tokio::time::sleep(Duration::from_secs(pause_s) - DRAIN_DEADLINE).await;
            send_signal(&cluster, paused, Signal::SIGCONT);
        };
        let paused_daemons = [paused];
        let (running_responses, paused_responses, ()) = tokio::join!(
            send_burst(&cluster, &running_daemons, 8, 10),
            send_burst(&cluster, &paused_daemons, 4, 10),
            resume
        );
        for (tag, response) in running_responses.iter().chain(&paused_responses) {
            response.assert_complete(tag, 10);
        }
        for number in 0..6 {
            let tag = format!("n{number}");
            stream_completion(&cluster, number % 3, &tag, 5).await.assert_complete(&tag, 5);
        }
        let after = started_requests(&mut cluster, "engine-b1").await;
        assert_eq!(after, before, "a zone out of service received new requests");
    });
}

fn send_signal(cluster: &Cluster, daemon: usize, signal: Signal) {
    let pid = i32::try_from(cluster.daemons[daemon].process.id()).expect("the process id fits");
    kill(Pid::from_raw(pid), signal).expect("the process runs");
}

hornbeamloom_kernel::cases! {
    connection_fault_while_the_engine_turns_cold;
    // Guards against a stream that counts twice against the cold limit after it was resumed, or no
    // longer counts.
    silent_connection_while_the_engine_turns_cold: (json!({"silence": true}));
    closed_connection_while_the_engine_turns_cold: (json!({"cut": true}));
}

fn connection_fault_while_the_engine_turns_cold(connection_fault: serde_json::Value) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
        let engine = warm_engine("engine-a1", "lodz-a");
        let address = cluster.start_target(&engine).expect("the engine starts");
        let proxy = cluster.start_proxy(address).expect("the proxy starts");
        let resource = Cluster::target_resource(&engine, proxy.address);
        cluster.apply(&resource).await.expect("the target is accepted");
        cluster.wait_ready().await.expect("the daemons are ready");
        stream_completion(&cluster, 0, "warm", 5).await.assert_complete("warm", 5);
        let burst_during_faults = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            inject_fault(&cluster, address, json!({"cold_s": 10.0})).await;
            inject_fault(&cluster, proxy.control, connection_fault).await;
            // Reports lag by 300 ms and are polled twice a second. A silent connection is abandoned
            // after 2 s.
            tokio::time::sleep(Duration::from_secs(4)).await;
            send_burst(&cluster, &[0, 1], 8, 10).await
        };
        let (first, second, burst) = tokio::join!(
            stream_completion(&cluster, 0, "s0", 200),
            stream_completion(&cluster, 1, "s1", 200),
            burst_during_faults
        );
        first.assert_complete("s0", 200);
        second.assert_complete("s1", 200);
        for (tag, response) in burst {
            response.assert_complete(&tag, 10);
        }
        let status = cluster.targets[0].process.exit_status();
        assert!(status.is_none(), "the engine of {MODEL_SERVICE} exited: overloaded in cold start");
    });
}
