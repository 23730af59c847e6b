//! Targets in cold start.

use std::time::Duration;

use hornbeamloom_bench::cluster::{resource, Target};
use serde_json::json;

use crate::harness::{
    add_targets, block_on, patch_resource, send_burst, start_cluster, stream_completion,
    warm_engine, MODEL_SERVICE,
};

hornbeamloom_kernel::cases! {
    burst_on_cold_engine;
    // Guards against limits that each entry VM counts for itself: the stand-in dies when more
    // requests run on it than it can carry in cold start.
    a_limit_of_one_holds_over_three_vms: (1);
    a_limit_of_two_holds_over_three_vms: (2);
}

fn burst_on_cold_engine(cold_limit: u32) {
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
        assert!(cluster.targets[0].process.status().is_none(), "the engine was overloaded");
    });
}

hornbeamloom_kernel::cases! {
    turned_cold;
    // Guards against a warm target that keeps its full load after it turned cold without notice.
    an_engine_that_turned_cold_gets_its_cold_limit: (2);
}

fn turned_cold(cold_limit: u32) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
        let limit = cold_limit.to_string();
        let engine = warm_engine("engine-a1", "lodz-a")
            .with_arguments(&["--cold-limit", &limit])
            .with_spec("coldLimit", json!(cold_limit));
        add_targets(&mut cluster, &[engine]).await;
        stream_completion(&cluster, 0, "warm", 5).await.assert_complete("warm", 5);
        let address = cluster.targets[0].address;
        cluster.fault(address, &json!({"cold_s": 8.0})).await.expect("the fault is taken");
        // The report lags by 300 ms and is read twice a second.
        tokio::time::sleep(Duration::from_secs(2)).await;
        let burst = (0..12).map(|number| {
            let cluster = &cluster;
            async move {
                let tag = format!("r{number}");
                stream_completion(cluster, number % 2, &tag, 12).await.assert_complete(&tag, 12);
            }
        });
        futures_util::future::join_all(burst).await;
        assert!(cluster.targets[0].process.status().is_none(), "the engine was overloaded");
    });
}

hornbeamloom_kernel::cases! {
    negative_control;
    // Shows that the check of the cold limit can fail: without the ramp the same burst ends the
    // engine.
    without_the_ramp_a_burst_kills_the_cold_engine: (json!(["ramp"]), true);
    with_the_ramp_the_same_burst_leaves_it_alive: (json!([]), false);
}

fn negative_control(off: serde_json::Value, dies: bool) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
        let policy = resource("Configuration", "control", json!({"policy": {"off": off}}));
        cluster.apply(&policy).await.expect("it is accepted");
        let path = format!("/apis/v1/services/{MODEL_SERVICE}");
        let named = json!({"spec": {"configuration": "control"}});
        let (status, response) = patch_resource(&cluster, 0, &path, named).await;
        assert_eq!(status, 200, "{response}");
        let engine =
            Target::engine("engine-a1", MODEL_SERVICE, "lodz-a").with_arguments(&["--cold-s", "6"]);
        add_targets(&mut cluster, &[engine]).await;
        stream_completion(&cluster, 0, "first", 3).await.assert_complete("first", 3);
        let responses = send_burst(&cluster, &[0, 1], 12, 12).await;
        let died = cluster.targets[0].process.status().is_some();
        assert_eq!(died, dies, "{responses:?}");
    });
}
