//! Pool owners that are paused or killed.

use std::time::{Duration, Instant};

use hornbeamloom_bench::cluster::{Cluster, Target};
use nix::sys::signal::Signal;
use serde_json::json;

use crate::harness::{
    add_targets, block_on, inject_fault, pool_owner, send_burst, start_cluster, stream_completion,
    wait_for_owner, wait_until, warm_engine, MODEL_SERVICE,
};

/// Longer than `TAKEOVER_MS` (8 s) and the rank delays of the two remaining candidates.
const PAUSE: Duration = Duration::from_secs(12);
/// `TAKEOVER_MS` (8 s), the rank delay of the second candidate (1 s) and a margin for a loaded
/// machine.
const TAKEOVER_DEADLINE: Duration = Duration::from_secs(20);
const ZONE: &str = "lodz-a";
const DAEMONS: [(&str, &str); 3] = [("entry-a1", ZONE), ("entry-a2", ZONE), ("entry-a3", ZONE)];

/// Returns the indices of all daemons except `owner`.
fn other_daemons(owner: usize) -> Vec<usize> {
    (0..DAEMONS.len()).filter(|ix| *ix != owner).collect()
}

fn assert_targets_alive(cluster: &mut Cluster) {
    for target in &mut cluster.targets {
        let status = target.process.exit_status();
        assert!(status.is_none(), "{} exited: {status:?}", target.name);
    }
}

hornbeamloom_kernel::cases! {
    paused_owner_keeps_the_cold_limit;
    // Guards against an owner that still grants requests when it resumes after a takeover: the
    // simulated engine exits if more requests run on it than its cold limit allows.
    paused_owner_does_not_exceed_a_cold_limit_of_one: (1, json!({}));
    paused_owner_does_not_exceed_a_cold_limit_of_two: (2, json!({}));
    // Guards against a new owner that decides on delayed reads of the table.
    paused_owner_and_a_slow_store_do_not_exceed_the_cold_limit: (1, json!({"slow_ms": 300}));
}

fn paused_owner_keeps_the_cold_limit(cold_limit: u32, platform_fault: serde_json::Value) {
    block_on(async move {
        let mut cluster = start_cluster(&DAEMONS).await;
        let limit = cold_limit.to_string();
        let engine = Target::engine("engine-a1", MODEL_SERVICE, ZONE)
            .with_arguments(&["--cold-limit", &limit, "--cold-s", "25"])
            .with_spec("coldLimit", json!(cold_limit));
        add_targets(&mut cluster, &[engine]).await;
        let (paused, _) = wait_for_owner(&cluster, 0, ZONE).await;
        stream_completion(&cluster, paused, "first", 3).await.assert_complete("first", 3);
        inject_fault(&cluster, cluster.platform.address, platform_fault).await;
        let others = other_daemons(paused);
        // The owner has queued and running requests when it is paused.
        let paused_daemons = [paused];
        let paused_burst = send_burst(&cluster, &paused_daemons, 6, 12);
        let other_burst = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            send_burst(&cluster, &others, 14, 12).await
        };
        let pid = cluster.daemons[paused].process.id();
        let pause = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            send_signal(pid, Signal::SIGSTOP);
            tokio::time::sleep(PAUSE).await;
            send_signal(pid, Signal::SIGCONT);
        };
        let (paused_responses, other_responses, ()) =
            tokio::join!(paused_burst, other_burst, pause);
        for (tag, response) in paused_responses.iter().chain(&other_responses) {
            response.assert_complete(tag, 12);
        }
        assert_targets_alive(&mut cluster);
    });
}

fn send_signal(pid: u32, signal: Signal) {
    let pid = nix::unistd::Pid::from_raw(i32::try_from(pid).expect("the process id fits"));
    nix::sys::signal::kill(pid, signal).expect("the process runs");
}

hornbeamloom_kernel::cases! {
    pool_survives_a_killed_owner;
    // Guards against requests of other VMs that are lost with the owner's queue, and against a pool
    // whose cold targets stay idle after its owner was killed.
    killed_owner_loses_no_request_of_other_vms: (2);
}

fn pool_survives_a_killed_owner(engine_count: usize) {
    block_on(async move {
        let mut cluster = start_cluster(&DAEMONS).await;
        let engines: Vec<Target> = (1..=engine_count)
            .map(|number| warm_engine(&format!("engine-a{number}"), ZONE))
            .collect();
        add_targets(&mut cluster, &engines).await;
        let (killed, fence) = wait_for_owner(&cluster, 0, ZONE).await;
        let others = other_daemons(killed);
        for (tag, response) in send_burst(&cluster, &others, 6, 5).await {
            response.assert_complete(&tag, 5);
        }
        let pid = cluster.daemons[killed].process.id();
        let kill = async {
            tokio::time::sleep(Duration::from_millis(250)).await;
            send_signal(pid, Signal::SIGKILL);
        };
        let (responses, ()) = tokio::join!(send_burst(&cluster, &others, 40, 40), kill);
        let burst_ended_at = Instant::now();
        let completed = responses
            .iter()
            .filter(|(tag, response)| response.assert_complete_or_refused(tag, 40))
            .count();
        assert!(completed > 0, "every request was refused");
        let cold_engine =
            Target::engine("engine-cold", MODEL_SERVICE, ZONE).with_arguments(&["--cold-s", "60"]);
        for target in &mut cluster.targets {
            target.process.kill();
        }
        // The only live target of the zone is cold, so that only a lease holder can grant it.
        add_target_through(&mut cluster, others[0], &cold_engine).await;
        wait_until("another VM owns the pool", || async {
            let now = pool_owner(&cluster, others[0], ZONE).await;
            now.is_some_and(|(ix, new_fence)| ix != killed && new_fence > fence)
        })
        .await;
        loop {
            let response = stream_completion(&cluster, others[1], "cold", 3).await;
            if response.assert_complete_or_refused("cold", 3) {
                break;
            }
            assert!(
                burst_ended_at.elapsed() < crate::harness::TEST_TIMEOUT,
                "no request completed on the cold engine: {response:?}"
            );
        }
        assert!(
            burst_ended_at.elapsed() < TAKEOVER_DEADLINE,
            "the first request on the cold engine completed after {:?}",
            burst_ended_at.elapsed()
        );
    });
}

async fn add_target_through(cluster: &mut Cluster, daemon: usize, target: &Target) {
    let address = cluster.start_target(target).expect("the engine starts");
    let resource = Cluster::target_resource(target, address);
    let url = format!("http://{}/apis/v1/targets", cluster.daemons[daemon].operator_address);
    let sent = cluster
        .client
        .post(url)
        .bearer_auth(hornbeamloom_bench::cluster::OPERATOR_KEY)
        .json(&resource)
        .send()
        .await;
    let status = sent.map(|response| response.status().as_u16());
    assert!(matches!(status, Ok(200 | 201)), "{status:?}");
}
