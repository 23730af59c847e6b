//! Links between daemons that go silent, stall or are closed, and network partitions.

use std::time::Duration;

use hornbeamloom_bench::cluster::{Cluster, Proxy};
use serde_json::{json, Value};

use crate::harness::{
    add_targets, block_on, declare_resources, inject_fault, patch_resource, pool_owner, revision,
    send_burst, short_ramp_engine, start_platform, started_requests, stream_completion,
    wait_for_owner, wait_until, warm_up,
};

const ORGANISATION: &str = "/apis/v1/organisations/parlour-1";
/// Longer than any lease, and than the 6 s after which a VM of the same zone is considered dead.
const FAULT_DURATION: Duration = Duration::from_secs(9);

hornbeamloom_kernel::cases! {
    requests_pass_over_silent_links;
    // Guards against a link that stays in use after a middlebox silently dropped its connection.
    requests_and_configuration_pass_when_both_links_go_silent: (&[0, 1]);
    requests_and_configuration_pass_when_one_link_goes_silent: (&[0]);
}

fn requests_pass_over_silent_links(silent_proxies: &'static [usize]) {
    block_on(async move {
        let (cluster, proxies) = start_one_zone().await;
        let platform = cluster.platform.address;
        for round in 0..3 {
            for ix in silent_proxies {
                inject_fault(&cluster, proxies[*ix].control, json!({"silence": true})).await;
            }
            set_weight(&cluster, round + 2).await;
            // From here on the change can reach the other VM only over the link.
            inject_fault(&cluster, platform, json!({"outage": "refuse"})).await;
            let (responses, ()) = tokio::join!(
                send_burst(&cluster, &[0, 1], 8, 10),
                wait_for_equal_revisions(&cluster)
            );
            for (tag, response) in responses {
                response.assert_complete(&tag, 10);
            }
            inject_fault(&cluster, platform, json!({"outage": ""})).await;
        }
    });
}

/// Starts two daemons of one zone, each behind a proxy, and a warm engine.
async fn start_one_zone() -> (Cluster, Vec<Proxy>) {
    let daemons = [("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")];
    let mut cluster = start_platform();
    let mut proxies = Vec::new();
    for (vm, zone) in daemons {
        let proxy = cluster.start_daemon_behind_proxy(vm, zone);
        proxies.push(proxy.expect("the daemon starts"));
    }
    declare_resources(&cluster, &daemons).await;
    add_targets(&mut cluster, &[short_ramp_engine("engine-a1", "lodz-a")]).await;
    for daemon in 0..2 {
        warm_up(&cluster, daemon).await;
    }
    (cluster, proxies)
}

async fn set_weight(cluster: &Cluster, weight: u32) {
    let body = json!({"spec": {"weight": weight}});
    wait_until("the write is accepted", || async {
        patch_resource(cluster, 0, ORGANISATION, body.clone()).await.0 == 200
    })
    .await;
}

/// Waits until both daemons have the same revision.
async fn wait_for_equal_revisions(cluster: &Cluster) {
    wait_until("both VMs have the same revision", || async {
        let first = revision(cluster, 0).await;
        first > 0 && first == revision(cluster, 1).await
    })
    .await;
}

hornbeamloom_kernel::cases! {
    requests_pass_over_a_stalled_link;
    // Guards against requests that wait for a response over the stalled link, and against two
    // owners after the stall.
    requests_pass_while_bytes_to_a_vm_stall: (json!({"stall": "up"}));
    requests_pass_while_bytes_from_a_vm_stall: (json!({"stall": "down"}));
}

fn requests_pass_over_a_stalled_link(stall: Value) {
    block_on(async move {
        let (cluster, proxies) = start_one_zone().await;
        for proxy in &proxies {
            inject_fault(&cluster, proxy.control, stall.clone()).await;
            for (tag, response) in send_burst(&cluster, &[0, 1], 8, 10).await {
                response.assert_complete(&tag, 10);
            }
            tokio::time::sleep(FAULT_DURATION / 2).await;
            for (tag, response) in send_burst(&cluster, &[0, 1], 8, 10).await {
                response.assert_complete(&tag, 10);
            }
            inject_fault(&cluster, proxy.control, json!({"stall": ""})).await;
        }
        wait_for_same_owner(&cluster, "lodz-a").await;
    });
}

/// Waits until both daemons report the same owner with the same fencing token.
async fn wait_for_same_owner(cluster: &Cluster, zone: &str) {
    wait_until("both VMs report the same owner", || async {
        let first = pool_owner(cluster, 0, zone).await;
        first.is_some() && first == pool_owner(cluster, 1, zone).await
    })
    .await;
}

hornbeamloom_kernel::cases! {
    zones_serve_themselves_while_partitioned;
    // Guards against a zone that stops serving during a partition, or that does not converge with
    // the others after it.
    each_zone_serves_itself_while_partitioned_from_the_other: (false, true);
    zone_serves_itself_while_partitioned_from_peers_and_platform: (true, true);
    // Guards against a lapsed holder that waits for a new lease before it uses a ramping target
    // that reports warm.
    zone_with_an_unfinished_ramp_serves_itself_while_partitioned: (true, false);
}

fn zones_serve_themselves_while_partitioned(cuts_platform: bool, is_ramped: bool) {
    block_on(async move {
        let (mut cluster, proxies) = start_two_zones().await;
        for daemon in 0..2 {
            match is_ramped {
                true => warm_up(&cluster, daemon).await,
                false => start_ramp(&cluster, daemon).await,
            }
        }
        let cut_proxies: &[Proxy] = match cuts_platform {
            true => &proxies,
            false => &proxies[..2],
        };
        for proxy in cut_proxies {
            inject_fault(&cluster, proxy.control, json!({"refuse": true, "cut": true})).await;
        }
        set_weight(&cluster, 7).await;
        for _ in 0..2 {
            for (daemon, engine) in [(0, "engine-a1"), (1, "engine-b1")] {
                let before = started_requests(&mut cluster, engine).await;
                for (tag, response) in send_burst(&cluster, &[daemon], 5, 10).await {
                    response.assert_complete(&tag, 10);
                }
                let local_requests = started_requests(&mut cluster, engine).await - before;
                assert_eq!(local_requests, 5, "daemon {daemon} sent requests to another zone");
            }
            tokio::time::sleep(FAULT_DURATION).await;
        }
        // Shows that the proxies block every path to the zone, advertised addresses included.
        let is_behind = revision(&cluster, 1).await < revision(&cluster, 0).await;
        assert_eq!(is_behind, cuts_platform);
        for proxy in cut_proxies {
            inject_fault(&cluster, proxy.control, json!({"refuse": false})).await;
        }
        wait_for_equal_revisions(&cluster).await;
        wait_for_same_owner(&cluster, "lodz-a").await;
        wait_for_same_owner(&cluster, "lodz-b").await;
        for (tag, response) in send_burst(&cluster, &[0, 1], 8, 10).await {
            response.assert_complete(&tag, 10);
        }
    });
}

/// Sends one request to the engine of the daemon's zone, which starts but does not complete its
/// ramp.
///
/// Waits for an owner first: a VM that never held its pool may use warm targets only.
async fn start_ramp(cluster: &Cluster, daemon: usize) {
    let zone = &cluster.daemons[daemon].zone;
    wait_for_owner(cluster, daemon, zone).await;
    stream_completion(cluster, daemon, "first", 3).await.assert_complete("first", 3);
}

/// Starts a daemon and an engine in each of two zones. Returns the proxies in front of the two peer
/// ports and the one between the second daemon and the platform.
async fn start_two_zones() -> (Cluster, [Proxy; 3]) {
    let daemons = [("entry-a1", "lodz-a"), ("entry-b1", "lodz-b")];
    let mut cluster = start_platform();
    let first_proxy = cluster.start_daemon_behind_proxy("entry-a1", "lodz-a");
    let first_proxy = first_proxy.expect("the daemon starts");
    let platform_proxy = cluster.start_proxy(cluster.platform.address);
    let platform_proxy = platform_proxy.expect("the proxy starts");
    cluster.platform_address = platform_proxy.address;
    let second_proxy = cluster.start_daemon_behind_proxy("entry-b1", "lodz-b");
    let second_proxy = second_proxy.expect("the daemon starts");
    declare_resources(&cluster, &daemons).await;
    let engines =
        [short_ramp_engine("engine-a1", "lodz-a"), short_ramp_engine("engine-b1", "lodz-b")];
    add_targets(&mut cluster, &engines).await;
    (cluster, [first_proxy, second_proxy, platform_proxy])
}
