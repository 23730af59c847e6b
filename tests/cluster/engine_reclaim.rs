//! Engines that the platform reclaims at short notice.

use std::time::Duration;

use serde_json::{json, Value};

use crate::harness::{
    add_targets, block_on, inject_fault, send_burst, start_cluster, started_requests,
    stream_completion, warm_engine,
};

/// Time within which a leaving target must stop receiving new requests.
const DRAIN_DEADLINE: Duration = Duration::from_secs(5);
/// Length of a stream that completes before the engine is killed, at 10 ms a token.
const STREAM_TOKENS: usize = 400;

hornbeamloom_kernel::cases! {
    reclaimed_engine_drains;
    // Guards against new requests on a leaving engine, and against running streams that are
    // truncated when it is announced.
    reclaimed_engine_gets_no_new_requests_and_completes_its_streams: (json!({}));
    // Guards against a leaving notice that reaches the VMs only through the store.
    reclaimed_engine_gets_no_new_requests_during_a_store_outage: (json!({"outage": "refuse"}));
    reclaimed_engine_gets_no_new_requests_with_a_slow_store: (json!({"slow_ms": 500}));
}

fn reclaimed_engine_drains(platform_fault: Value) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
        let engines = [warm_engine("engine-a1", "lodz-a"), warm_engine("engine-a2", "lodz-a")];
        add_targets(&mut cluster, &engines).await;
        for (tag, response) in send_burst(&cluster, &[0, 1], 12, 5).await {
            response.assert_complete(&tag, 5);
        }
        let engine = cluster.targets[0].address;
        let platform = cluster.platform.address;
        inject_fault(&cluster, platform, platform_fault).await;
        let announce_reclaim = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            inject_fault(&cluster, engine, json!({"phase": "leaving"})).await;
            tokio::time::sleep(DRAIN_DEADLINE).await;
        };
        let (streams, ()) =
            tokio::join!(send_burst(&cluster, &[0, 1], 6, STREAM_TOKENS), announce_reclaim);
        for (tag, response) in streams {
            response.assert_complete(&tag, STREAM_TOKENS);
        }
        let before = started_requests(&mut cluster, "engine-a1").await;
        for number in 0..10 {
            let tag = format!("n{number}");
            stream_completion(&cluster, number % 2, &tag, 5).await.assert_complete(&tag, 5);
        }
        let after = started_requests(&mut cluster, "engine-a1").await;
        assert_eq!(after, before, "the leaving engine received new requests");
        cluster.targets[0].process.kill();
        for (tag, response) in send_burst(&cluster, &[0, 1], 6, 5).await {
            response.assert_complete(&tag, 5);
        }
    });
}
