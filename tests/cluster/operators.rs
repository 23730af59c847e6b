//! Changes by operators: they take effect on all VMs and persist.

use std::time::{Duration, Instant};

use hornbeamloom_bench::cluster::{Cluster, Target, OPERATOR_KEY};
use serde_json::{json, Value};

use crate::harness::{
    add_targets, block_on, operator_get, start_cluster, started_requests, stream_completion,
    wait_until, warm_engine, MODEL_SERVICE,
};

/// Time within which a zone that is taken out of service must stop receiving new requests.
const DRAIN_DEADLINE: Duration = Duration::from_secs(5);
const DAEMONS: [(&str, &str); 3] =
    [("entry-a1", "lodz-a"), ("entry-b1", "lodz-b"), ("entry-b2", "lodz-b")];

hornbeamloom_kernel::cases! {
    zone_gets_no_new_requests;
    // Guards against a VM that still sends requests to a zone that operators took out of service.
    zone_out_of_service_gets_no_new_requests: (json!({}));
    // Guards against VMs that learn of the change only from the store.
    zone_out_of_service_gets_no_new_requests_during_a_store_outage: (json!({"outage": "refuse"}));
}

fn zone_gets_no_new_requests(fault: Value) {
    block_on(async move {
        let mut cluster = start_two_zones().await;
        for daemon in 0..3 {
            stream_completion(&cluster, daemon, "before", 3).await.assert_complete("before", 3);
        }
        let patched = patch_zone(&cluster, 0, "lodz-b", json!({"spec": {"state": "out"}})).await;
        assert_eq!(patched, 200);
        let platform = cluster.platform.address;
        cluster.inject_fault(platform, &fault).await.expect("the fault is injected");
        tokio::time::sleep(DRAIN_DEADLINE).await;
        let before = started_requests(&mut cluster, "engine-b1").await;
        for number in 0..12 {
            let tag = format!("r{number}");
            stream_completion(&cluster, number % 3, &tag, 5).await.assert_complete(&tag, 5);
        }
        assert_eq!(started_requests(&mut cluster, "engine-b1").await, before);
        cluster
            .inject_fault(platform, &json!({"outage": ""}))
            .await
            .expect("the fault is injected");
        wait_until("the zone is put back into service", || async {
            patch_zone(&cluster, 1, "lodz-b", json!({"spec": {"state": "in"}})).await == 200
        })
        .await;
        let restored_at = Instant::now();
        while started_requests(&mut cluster, "engine-b1").await == before {
            stream_completion(&cluster, 1, "back", 3).await.assert_complete("back", 3);
            assert!(
                restored_at.elapsed() < crate::harness::TEST_TIMEOUT,
                "the zone received no request after its return to service"
            );
        }
    });
}

async fn start_two_zones() -> Cluster {
    let mut cluster = start_cluster(&DAEMONS).await;
    let engines = [warm_engine("engine-a1", "lodz-a"), warm_engine("engine-b1", "lodz-b")];
    add_targets(&mut cluster, &engines).await;
    cluster
}

async fn patch_zone(cluster: &Cluster, daemon: usize, zone: &str, body: Value) -> u16 {
    let operators = cluster.daemons[daemon].operator_address;
    let url = format!("http://{operators}/apis/v1/availabilityzones/{zone}");
    let sent = cluster.client.patch(url).bearer_auth(OPERATOR_KEY).json(&body).send().await;
    sent.map_or(0, |response| response.status().as_u16())
}

hornbeamloom_kernel::cases! {
    serving_survives_a_store_outage;
    // Guards against VMs that stop serving when the store is unavailable, and against a restarted
    // VM that does not get the configuration from its peers.
    serving_continues_and_a_restarted_vm_syncs_from_a_peer_while_the_store_refuses: ("refuse");
    serving_continues_and_a_restarted_vm_syncs_from_a_peer_while_the_store_hangs: ("hang");
}

fn serving_survives_a_store_outage(outage: &'static str) {
    block_on(async move {
        let mut cluster = start_two_zones().await;
        stream_completion(&cluster, 0, "before", 3).await.assert_complete("before", 3);
        let revision = revision(&cluster, 0).await;
        let platform = cluster.platform.address;
        cluster
            .inject_fault(platform, &json!({"outage": outage}))
            .await
            .expect("the fault is injected");
        let refused = patch_zone(&cluster, 0, "lodz-b", json!({"spec": {"state": "out"}})).await;
        assert!(refused >= 500, "a write during the outage returned {refused}");
        cluster.restart_daemon(1).expect("the daemon starts");
        wait_until("the restarted VM has the revision", || async {
            self::revision(&cluster, 1).await == revision
        })
        .await;
        // Longer than any lease.
        tokio::time::sleep(Duration::from_secs(9)).await;
        for daemon in 0..3 {
            let tag = format!("r{daemon}");
            stream_completion(&cluster, daemon, &tag, 5).await.assert_complete(&tag, 5);
        }
        let after = self::revision(&cluster, 0).await;
        assert_eq!(after, revision, "the revision changed during the outage");
    });
}

async fn revision(cluster: &Cluster, daemon: usize) -> u64 {
    operator_get(cluster, daemon, "/apis/v1/status").await["revision"].as_u64().unwrap_or(0)
}

hornbeamloom_kernel::cases! {
    concurrent_replacements;
    // Guards against lost updates when operators replace a resource concurrently.
    one_of_two_concurrent_replacements_succeeds: (2);
    one_of_six_concurrent_replacements_succeeds: (6);
}

fn concurrent_replacements(writers: usize) {
    block_on(async move {
        let cluster = start_two_zones().await;
        let url = "/apis/v1/organisations/parlour-1";
        let current = operator_get(&cluster, 0, url).await;
        let writes = (0..writers).map(|number| {
            let mut changed = current.clone();
            changed["spec"]["weight"] = json!(number + 2);
            put_resource(&cluster, number % 3, url, changed)
        });
        let statuses = futures_util::future::join_all(writes).await;
        let succeeded = statuses.iter().filter(|status| **status == 200).count();
        let conflicted = statuses.iter().filter(|status| **status == 409).count();
        assert_eq!((succeeded, conflicted), (1, writers - 1), "{statuses:?}");
    });
}

async fn put_resource(cluster: &Cluster, daemon: usize, path: &str, body: Value) -> u16 {
    let url = format!("http://{}{path}", cluster.daemons[daemon].operator_address);
    let sent = cluster.client.put(url).bearer_auth(OPERATOR_KEY).json(&body).send().await;
    sent.map_or(0, |response| response.status().as_u16())
}

hornbeamloom_kernel::cases! {
    crashing_prompt_is_quarantined;
    // Guards against a prompt that is retried until it has crashed every engine, and against a
    // quarantine of requests that ran on the same engines.
    prompt_that_crashes_engines_is_quarantined: (3);
}

fn crashing_prompt_is_quarantined(engines: usize) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
        let names: Vec<String> = (1..=engines).map(|number| format!("engine-a{number}")).collect();
        let targets: Vec<Target> = names.iter().map(|name| warm_engine(name, "lodz-a")).collect();
        add_targets(&mut cluster, &targets).await;
        stream_completion(&cluster, 0, "before", 3).await.assert_complete("before", 3);
        let mut crashes = 0;
        let mut refusal = Value::Null;
        for attempt in 0..8 {
            let response =
                crate::harness::stream_prompt(&cluster, attempt % 2, "crash-engine tag=c len=5")
                    .await;
            refusal = response.error["error"]["reason"].clone();
            for name in &names {
                let target = cluster.target_mut(name).expect("the engine was started");
                if target.process.exit_status().is_some() {
                    crashes += 1;
                    cluster.restart_target(name).expect("the engine restarts");
                }
            }
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
        assert_eq!(refusal, json!("quarantined"));
        assert!(crashes <= 3, "one prompt crashed {crashes} engines");
        stream_completion(&cluster, 0, "after", 3).await.assert_complete("after", 3);
        let quarantined = operator_get(&cluster, 1, "/apis/v1/quarantine").await;
        assert!(quarantined.to_string().contains(MODEL_SERVICE), "{quarantined}");
    });
}
