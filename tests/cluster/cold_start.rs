//! Concurrency limits of targets in cold start.

use std::time::Duration;

use hornbeamloom_bench::cluster::{resource, Target};
use serde_json::json;

use crate::harness::{
    add_targets, block_on, patch_resource, send_burst, start_cluster, stream_completion,
    warm_engine, MODEL_SERVICE,
};

hornbeamloom_kernel::cases! {
    burst_respects_the_cold_limit;
    // Guards against limits that each entry VM enforces separately: together they exceed the cold
    // limit, at which the simulated engine exits.
    cold_limit_of_one_holds_across_three_vms: (1);
    cold_limit_of_two_holds_across_three_vms: (2);
}

fn burst_respects_the_cold_limit(cold_limit: u32) {
    block_on(async move {
        let daemons = [("entry-a1", "lodz-a"), ("entry-a2", "lodz-a"), ("entry-a3", "lodz-a")];
        let mut cluster = start_cluster(&daemons).await;
        let limit = cold_limit.to_string();
        let engine = Target::engine("engine-a1", MODEL_SERVICE, "lodz-a")
            .with_arguments(&["--cold-limit", &limit, "--cold-s", "6"])
            .with_spec("coldLimit", json!(cold_limit));
        add_targets(&mut cluster, &[engine]).await;
        let burst = (0..18).map(|number| {
            let cluster = &cluster;
            async move {
                let tag = format!("r{number}");
                stream_completion(cluster, number % 3, &tag, 12).await.assert_complete(&tag, 12);
            }
        });
        futures_util::future::join_all(burst).await;
        assert!(
            cluster.targets[0].process.exit_status().is_none(),
            "the engine exited: overloaded in cold start"
        );
    });
}

hornbeamloom_kernel::cases! {
    cooled_engine_respects_the_cold_limit;
    // Guards against a target that keeps its warm limit after it turned cold without notice.
    engine_that_turns_cold_gets_at_most_its_cold_limit: (2);
}

fn cooled_engine_respects_the_cold_limit(cold_limit: u32) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
        let limit = cold_limit.to_string();
        let engine = warm_engine("engine-a1", "lodz-a")
            .with_arguments(&["--cold-limit", &limit])
            .with_spec("coldLimit", json!(cold_limit));
        add_targets(&mut cluster, &[engine]).await;
        stream_completion(&cluster, 0, "warm", 5).await.assert_complete("warm", 5);
        let address = cluster.targets[0].address;
        cluster
            .inject_fault(address, &json!({"cold_s": 8.0}))
            .await
            .expect("the fault is injected");
        // Reports lag by 300 ms and are polled twice a second.
        tokio::time::sleep(Duration::from_secs(2)).await;
        let burst = (0..12).map(|number| {
            let cluster = &cluster;
            async move {
                let tag = format!("r{number}");
                stream_completion(cluster, number % 2, &tag, 12).await.assert_complete(&tag, 12);
            }
        });
        futures_util::future::join_all(burst).await;
        assert!(
            cluster.targets[0].process.exit_status().is_none(),
            "the engine exited: overloaded in cold start"
        );
    });
}

hornbeamloom_kernel::cases! {
    negative_control;
    // Shows that the tests above can detect a violated cold limit: with the ramp disabled the same
    // burst makes the engine exit.
    burst_without_the_ramp_crashes_the_cold_engine: (json!(["ramp"]), true);
    burst_with_the_ramp_does_not_crash_the_cold_engine: (json!([]), false);
}

fn negative_control(disabled_policies: serde_json::Value, expect_crash: bool) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
        let configuration =
            resource("Configuration", "control", json!({"policy": {"off": disabled_policies}}));
        cluster.apply(&configuration).await.expect("the configuration is accepted");
        let path = format!("/apis/v1/services/{MODEL_SERVICE}");
        let reference = json!({"spec": {"configuration": "control"}});
        let (status, response) = patch_resource(&cluster, 0, &path, reference).await;
        assert_eq!(status, 200, "{response}");
        let engine =
            Target::engine("engine-a1", MODEL_SERVICE, "lodz-a").with_arguments(&["--cold-s", "6"]);
        add_targets(&mut cluster, &[engine]).await;
        stream_completion(&cluster, 0, "first", 3).await.assert_complete("first", 3);
        let responses = send_burst(&cluster, &[0, 1], 12, 12).await;
        let has_crashed = cluster.targets[0].process.exit_status().is_some();
        assert_eq!(has_crashed, expect_crash, "{responses:?}");
    });
}
