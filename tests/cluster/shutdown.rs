//! Planned stops.

use std::time::Duration;

use hornbeamloom_bench::cluster::Target;
use serde_json::json;

use crate::harness::{add_targets, cluster, complete, run, warm_engine, DEADLINE, MODEL};

hornbeamloom_kernel::cases! {
    stop_under_a_stream;
    // Guards against a stop that cuts the streams of its own callers.
    a_stream_ends_whole_when_its_entry_vm_stops: (1, 1);
    // Guards against a stop that takes the pool's grants along.
    a_stream_ends_whole_when_the_pools_owner_stops: (0, 1);
    a_stream_ends_whole_when_the_owner_that_holds_it_stops: (0, 0);
}

fn stop_under_a_stream(stopped: usize, caller: usize) {
    run(async move {
        let mut cluster = cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
        add_targets(&mut cluster, &[warm_engine("engine-a1", "lodz-a")]).await;
        complete(&cluster, 0, "first", 3).await.assert_whole("first", 3);
        let pid = cluster.daemons[stopped].process.id();
        let answer = {
            let stream = complete(&cluster, caller, "t", 300);
            let stop = async {
                tokio::time::sleep(Duration::from_millis(800)).await;
                terminate(pid);
            };
            tokio::join!(stream, stop).0
        };
        answer.assert_whole("t", 300);
        let status = cluster.daemons[stopped].process.wait(DEADLINE).await;
        assert!(status.is_some_and(|status| status.success()), "exit status: {status:?}");
        let other = 1 - stopped;
        complete(&cluster, other, "after", 3).await.assert_whole("after", 3);
    });
}

fn terminate(pid: u32) {
    let status = std::process::Command::new("kill").arg(pid.to_string()).status();
    assert!(status.is_ok_and(|status| status.success()));
}

hornbeamloom_kernel::cases! {
    stop_with_a_queue;
    // Guards against a stopping VM that gives its lease up while requests wait for a cold target
    // that no other VM of the zone can grant.
    queued_requests_end_whole_when_the_only_vm_stops: (6);
}

fn stop_with_a_queue(requests: usize) {
    run(async move {
        let mut cluster = cluster(&[("entry-a1", "lodz-a")]).await;
        let engine = Target::engine("engine-a1", MODEL, "lodz-a")
            .with_arguments(&["--cold-limit", "1", "--cold-s", "60"])
            .with_spec("coldLimit", json!(1));
        add_targets(&mut cluster, &[engine]).await;
        let pid = cluster.daemons[0].process.id();
        let tags: Vec<String> = (0..requests).map(|number| format!("r{number}")).collect();
        let burst = tags.iter().map(|tag| complete(&cluster, 0, tag, 50));
        let stop = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            terminate(pid);
        };
        let (answers, ()) = tokio::join!(futures_util::future::join_all(burst), stop);
        for (tag, answer) in tags.iter().zip(answers) {
            answer.assert_whole(tag, 50);
        }
        let status = cluster.daemons[0].process.wait(DEADLINE).await;
        assert!(status.is_some_and(|status| status.success()), "exit status: {status:?}");
    });
}
