//! A store that loses answers or answers from an older state.

use std::time::Duration;

use hornbeamloom_bench::cluster::{Cluster, Proxy};
use serde_json::{json, Value};

use crate::harness::{
    block_on, declare_resources, inject_fault, operator_get, patch_resource, revision,
    start_platform, wait_until,
};

const ORGANISATION: &str = "/apis/v1/organisations/parlour-1";
const DAEMONS: [(&str, &str); 2] = [("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")];

/// Two daemons and no targets, so that only operators write; the first reaches the platform through
/// a proxy.
async fn fleet() -> (Cluster, Proxy) {
    let mut cluster = start_platform();
    let platform = cluster.platform.address;
    let proxy = cluster.start_proxy(platform).expect("the proxy starts");
    cluster.platform_address = proxy.address;
    cluster.start_daemon("entry-a1", "lodz-a").expect("it starts");
    cluster.platform_address = platform;
    cluster.start_daemon("entry-a2", "lodz-a").expect("it starts");
    declare_resources(&cluster, &DAEMONS).await;
    cluster.wait_ready().await.expect("the daemons are ready");
    (cluster, proxy)
}

async fn weight(cluster: &Cluster, daemon: usize) -> Value {
    operator_get(cluster, daemon, ORGANISATION).await["spec"]["weight"].clone()
}

hornbeamloom_kernel::cases! {
    lost_answers;
    // Guards against a write that took effect and is answered as not applied.
    writes_whose_answers_are_lost_are_read_back: (false, json!({"lose_answers": 1}));
    writes_whose_connections_break_are_read_back: (true, json!({"drop_answers": 1}));
    writes_that_lose_two_answers_are_answered_truthfully: (true, json!({"drop_answers": 2}));
}

fn lost_answers(at_proxy: bool, order: Value) {
    block_on(async move {
        let (cluster, proxy) = fleet().await;
        let address = match at_proxy {
            true => proxy.control,
            false => cluster.platform.address,
        };
        for round in 2..6 {
            inject_fault(&cluster, address, order.clone()).await;
            let body = json!({"spec": {"weight": round}});
            let (status, response) = patch_resource(&cluster, 0, ORGANISATION, body).await;
            match status {
                200 => everywhere(&cluster, json!(round)).await,
                504 => assert_eq!(response["applied"], json!("unknown"), "{response}"),
                _ => {
                    assert_eq!(response["applied"], json!(false), "{status} {response}");
                    tokio::time::sleep(Duration::from_secs(3)).await;
                    assert_ne!(weight(&cluster, 1).await, json!(round), "{response}");
                }
            }
        }
        wait_until("a write is accepted", || async {
            let body = json!({"spec": {"weight": 9}});
            patch_resource(&cluster, 0, ORGANISATION, body).await.0 == 200
        })
        .await;
        everywhere(&cluster, json!(9)).await;
    });
}

async fn everywhere(cluster: &Cluster, expected: Value) {
    wait_until("the write is in force at both VMs", || async {
        weight(cluster, 0).await == expected && weight(cluster, 1).await == expected
    })
    .await;
}

hornbeamloom_kernel::cases! {
    rewound;
    // Guards against a VM that follows a restored store back to an older configuration.
    no_vm_goes_back_with_the_store: (false);
    a_restarted_vm_does_not_stay_with_the_older_store: (true);
}

fn rewound(restarts: bool) {
    block_on(async move {
        let (mut cluster, _proxy) = fleet().await;
        let platform = cluster.platform.address;
        inject_fault(&cluster, platform, json!({"mark": true})).await;
        for weight in 2..5 {
            let body = json!({"spec": {"weight": weight}});
            wait_until("the write is accepted", || async {
                patch_resource(&cluster, 0, ORGANISATION, body.clone()).await.0 == 200
            })
            .await;
        }
        everywhere(&cluster, json!(4)).await;
        let newest = revision(&cluster, 0).await;
        inject_fault(&cluster, platform, json!({"rewind": true})).await;
        if restarts {
            cluster.restart_daemon(1).expect("the daemon starts");
            wait_until("the restarted VM has the newest revision", || async {
                revision(&cluster, 1).await >= newest
            })
            .await;
        }
        for round in 0..20 {
            for daemon in 0..2 {
                let now = revision(&cluster, daemon).await;
                assert!(now >= newest, "daemon {daemon} went from {newest} to {now}");
                assert_eq!(weight(&cluster, daemon).await, json!(4));
            }
            if round % 5 == 0 {
                let body = json!({"spec": {"weight": 8}});
                let (status, response) =
                    patch_resource(&cluster, round % 2, ORGANISATION, body).await;
                assert!(status >= 409, "an older store took a write: {status} {response}");
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    });
}
