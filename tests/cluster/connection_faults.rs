//! Faulty connections to engines, and engines that crash, while requests run.

use std::time::Duration;

use hornbeamloom_bench::cluster::{Cluster, Proxy, Target};
use serde_json::{json, Value};

use crate::harness::{
    add_targets, block_on, start_cluster, stream_completion, warm_engine, StreamResponse,
};

/// Length of a stream that is still running when the fault is injected, at 10 ms a token.
const STREAM_TOKENS: usize = 150;
/// Delay after which the fault is injected, in the middle of the stream.
const FAULT_DELAY: Duration = Duration::from_millis(600);

hornbeamloom_kernel::cases! {
    stream_completes_despite;
    // Guards against a stream that waits forever on a connection that was dropped silently by a
    // middlebox.
    stream_survives_a_silent_connection: (json!({"silence": true}));
    stream_survives_a_closed_connection: (json!({"cut": true}));
    stream_survives_a_closed_and_a_slow_connection: (json!({"cut": true, "delay_ms": 30}));
    stream_survives_a_silent_connection_and_a_lost_response: (json!({"silence": true, "drop_answers": 1}));
    stream_survives_a_closed_connection_and_a_truncated_response: (json!({"cut": true, "truncate": 900}));
}

fn stream_completes_despite(fault: Value) {
    block_on(async move {
        let (cluster, proxy) = start_engine_behind_proxy().await;
        let (response, ()) =
            tokio::join!(stream_completion(&cluster, 0, "t", STREAM_TOKENS), async {
                tokio::time::sleep(FAULT_DELAY).await;
                cluster.inject_fault(proxy.control, &fault).await.expect("the fault is injected");
            });
        response.assert_complete("t", STREAM_TOKENS);
    });
}

/// Starts one daemon and one engine behind a fault proxy.
async fn start_engine_behind_proxy() -> (Cluster, Proxy) {
    let mut cluster = start_cluster(&[("entry-a1", "lodz-a")]).await;
    let engine = warm_engine("engine-a1", "lodz-a");
    let address = cluster.start_target(&engine).expect("the engine starts");
    let proxy = cluster.start_proxy(address).expect("the proxy starts");
    let resource = Cluster::target_resource(&engine, proxy.address);
    cluster.apply(&resource).await.expect("the target is accepted");
    cluster.wait_ready().await.expect("the daemon becomes ready");
    (cluster, proxy)
}

hornbeamloom_kernel::cases! {
    stream_ends_after_a_crash;
    // Guards against a stream that continues with tokens of another generation, or that is
    // truncated without an error event.
    engine_crash_after_tokens_yields_a_typed_error: (600, |response: &StreamResponse| {
        assert!(!response.done, "a truncated stream must not have an end mark");
        assert!(!response.tokens.is_empty());
        assert_eq!(response.error["error"]["not_run"], json!(false), "{}", response.error);
    });
}

fn stream_ends_after_a_crash(crash_delay_ms: u64, check: fn(&StreamResponse)) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a")]).await;
        add_targets(&mut cluster, &[warm_engine("engine-a1", "lodz-a")]).await;
        let engine = cluster.targets[0].address;
        let (response, ()) =
            tokio::join!(stream_completion(&cluster, 0, "t", STREAM_TOKENS), async {
                tokio::time::sleep(Duration::from_millis(crash_delay_ms)).await;
                // The process exits without a response.
                let _ = cluster.inject_fault(engine, &json!({"die": true})).await;
            });
        check(&response);
    });
}

hornbeamloom_kernel::cases! {
    requests_are_retried;
    // Guards against a refusal although another target can serve the request.
    request_to_a_dead_engine_runs_on_another: (["engine-a1", "engine-a2"]);
}

fn requests_are_retried(names: [&'static str; 2]) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a")]).await;
        let targets: Vec<Target> = names.iter().map(|name| warm_engine(name, "lodz-a")).collect();
        add_targets(&mut cluster, &targets).await;
        stream_completion(&cluster, 0, "first", 5).await.assert_complete("first", 5);
        cluster.targets[0].process.kill();
        for number in 0..6 {
            let tag = format!("r{number}");
            stream_completion(&cluster, 0, &tag, 20).await.assert_complete(&tag, 20);
        }
    });
}
