//! Graceful shutdown.

use std::time::Duration;

use hornbeamloom_bench::cluster::Target;
use serde_json::json;

use crate::harness::{
    add_targets, block_on, start_cluster, stream_completion, warm_engine, MODEL_SERVICE,
    TEST_TIMEOUT,
};

hornbeamloom_kernel::cases! {
    stream_completes_during_shutdown;
    // Guards against a shutdown that truncates the streams of the VM's own callers.
    stream_completes_when_its_entry_vm_stops: (1, 1);
    // Guards against a shutdown of the owner that invalidates the grants of its pool.
    stream_completes_when_the_pool_owner_stops: (0, 1);
    stream_completes_when_its_entry_vm_and_pool_owner_stops: (0, 0);
}

fn stream_completes_during_shutdown(stopped: usize, entry_daemon: usize) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
        add_targets(&mut cluster, &[warm_engine("engine-a1", "lodz-a")]).await;
        stream_completion(&cluster, 0, "first", 3).await.assert_complete("first", 3);
        let pid = cluster.daemons[stopped].process.id();
        let response = {
            let stream = stream_completion(&cluster, entry_daemon, "t", 300);
            let stop = async {
                tokio::time::sleep(Duration::from_millis(800)).await;
                terminate(pid);
            };
            tokio::join!(stream, stop).0
        };
        response.assert_complete("t", 300);
        let status = cluster.daemons[stopped].process.wait(TEST_TIMEOUT).await;
        assert!(status.is_some_and(|status| status.success()), "exit status: {status:?}");
        let other = 1 - stopped;
        stream_completion(&cluster, other, "after", 3).await.assert_complete("after", 3);
    });
}

fn terminate(pid: u32) {
    let status = std::process::Command::new("kill").arg(pid.to_string()).status();
    assert!(status.is_ok_and(|status| status.success()));
}

hornbeamloom_kernel::cases! {
    queue_drains_during_shutdown;
    // Guards against a stopping VM that releases its lease while requests are queued for a cold
    // target, which no other VM of the zone can grant.
    queued_requests_complete_when_the_only_vm_stops: (6);
}

fn queue_drains_during_shutdown(requests: usize) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a")]).await;
        let engine = Target::engine("engine-a1", MODEL_SERVICE, "lodz-a")
            .with_arguments(&["--cold-limit", "1", "--cold-s", "60"])
            .with_spec("coldLimit", json!(1));
        add_targets(&mut cluster, &[engine]).await;
        let pid = cluster.daemons[0].process.id();
        let tags: Vec<String> = (0..requests).map(|number| format!("r{number}")).collect();
        let burst = tags.iter().map(|tag| stream_completion(&cluster, 0, tag, 50));
        let stop = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            terminate(pid);
        };
        let (responses, ()) = tokio::join!(futures_util::future::join_all(burst), stop);
        for (tag, response) in tags.iter().zip(responses) {
            response.assert_complete(tag, 50);
        }
        let status = cluster.daemons[0].process.wait(TEST_TIMEOUT).await;
        assert!(status.is_some_and(|status| status.success()), "exit status: {status:?}");
    });
}
