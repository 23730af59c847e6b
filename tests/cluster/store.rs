//! A store that loses responses or is rewound to an older state.

use std::time::Duration;

use hornbeamloom_bench::cluster::{Cluster, Proxy};
use serde_json::{json, Value};

use crate::harness::{
    block_on, declare_resources, inject_fault, operator_get, patch_resource, revision,
    start_platform, wait_until,
};

const ORGANISATION: &str = "/apis/v1/organisations/parlour-1";
const DAEMONS: [(&str, &str); 2] = [("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")];

/// Starts two daemons, of which the first reaches the platform through a proxy. There are no
/// targets, so that only operators write to the store.
async fn start_with_platform_proxy() -> (Cluster, Proxy) {
    let mut cluster = start_platform();
    let platform = cluster.platform.address;
    let proxy = cluster.start_proxy(platform).expect("the proxy starts");
    cluster.platform_address = proxy.address;
    cluster.start_daemon("entry-a1", "lodz-a").expect("the daemon starts");
    cluster.platform_address = platform;
    cluster.start_daemon("entry-a2", "lodz-a").expect("the daemon starts");
    declare_resources(&cluster, &DAEMONS).await;
    cluster.wait_ready().await.expect("the daemons are ready");
    (cluster, proxy)
}

async fn weight_at(cluster: &Cluster, daemon: usize) -> Value {
    operator_get(cluster, daemon, ORGANISATION).await["spec"]["weight"].clone()
}

hornbeamloom_kernel::cases! {
    writes_survive_lost_responses;
    // Guards against a write that took effect but is reported as not applied.
    writes_with_lost_responses_are_read_back: (false, json!({"lose_answers": 1}));
    writes_with_broken_connections_are_read_back: (true, json!({"drop_answers": 1}));
    writes_with_two_lost_responses_are_reported_accurately: (true, json!({"drop_answers": 2}));
}

fn writes_survive_lost_responses(at_proxy: bool, fault: Value) {
    block_on(async move {
        let (cluster, proxy) = start_with_platform_proxy().await;
        let address = match at_proxy {
            true => proxy.control,
            false => cluster.platform.address,
        };
        for weight in 2..6 {
            inject_fault(&cluster, address, fault.clone()).await;
            let body = json!({"spec": {"weight": weight}});
            let (status, response) = patch_resource(&cluster, 0, ORGANISATION, body).await;
            match status {
                200 => wait_until_applied(&cluster, json!(weight)).await,
                504 => assert_eq!(response["applied"], json!("unknown"), "{response}"),
                _ => {
                    assert_eq!(response["applied"], json!(false), "{status} {response}");
                    tokio::time::sleep(Duration::from_secs(3)).await;
                    assert_ne!(weight_at(&cluster, 1).await, json!(weight), "{response}");
                }
            }
        }
        wait_until("a write is accepted", || async {
            let body = json!({"spec": {"weight": 9}});
            patch_resource(&cluster, 0, ORGANISATION, body).await.0 == 200
        })
        .await;
        wait_until_applied(&cluster, json!(9)).await;
    });
}

async fn wait_until_applied(cluster: &Cluster, expected: Value) {
    wait_until("the write is in force at both VMs", || async {
        weight_at(cluster, 0).await == expected && weight_at(cluster, 1).await == expected
    })
    .await;
}

hornbeamloom_kernel::cases! {
    rewound_store_is_not_followed;
    // Guards against a VM that returns to an older configuration when the store is restored from an
    // older state.
    vms_do_not_follow_a_rewound_store: (false);
    restarted_vm_does_not_keep_the_state_of_a_rewound_store: (true);
}

fn rewound_store_is_not_followed(restart: bool) {
    block_on(async move {
        let (mut cluster, _proxy) = start_with_platform_proxy().await;
        let platform = cluster.platform.address;
        inject_fault(&cluster, platform, json!({"mark": true})).await;
        for weight in 2..5 {
            let body = json!({"spec": {"weight": weight}});
            wait_until("the write is accepted", || async {
                patch_resource(&cluster, 0, ORGANISATION, body.clone()).await.0 == 200
            })
            .await;
        }
        wait_until_applied(&cluster, json!(4)).await;
        let newest = revision(&cluster, 0).await;
        inject_fault(&cluster, platform, json!({"rewind": true})).await;
        if restart {
            cluster.restart_daemon(1).expect("the daemon starts");
            wait_until("the restarted VM has the newest revision", || async {
                revision(&cluster, 1).await >= newest
            })
            .await;
        }
        for round in 0..20 {
            for daemon in 0..2 {
                let now = revision(&cluster, daemon).await;
                assert!(now >= newest, "daemon {daemon} went back from revision {newest} to {now}");
                assert_eq!(weight_at(&cluster, daemon).await, json!(4));
            }
            if round % 5 == 0 {
                let body = json!({"spec": {"weight": 8}});
                let (status, response) =
                    patch_resource(&cluster, round % 2, ORGANISATION, body).await;
                assert!(status >= 409, "the rewound store accepted a write: {status} {response}");
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    });
}
