//! Calls that run at most once, checked against the execution count that the service keeps.

use std::time::Duration;

use hornbeamloom_bench::cluster::{Cluster, Proxy, Target};
use serde_json::{json, Value};

use crate::harness::{block_on, call_plain, start_cluster, CallResponse, PLAIN_SERVICE};

/// Selects the address and the fault to inject before the first call.
type FaultSetup = fn(&FaultAddresses) -> (std::net::SocketAddr, Value);
/// Checks the response to the first call and to its repetition.
type ResponseCheck = fn(&CallResponse, &CallResponse);

/// The addresses at which faults are injected.
struct FaultAddresses {
    service: std::net::SocketAddr,
    proxy: std::net::SocketAddr,
    platform: std::net::SocketAddr,
}

hornbeamloom_kernel::cases! {
    post_twice;
    // Guards against a second execution of a call that has already been answered.
    repeated_call_gets_the_stored_response: (
        |addresses| (addresses.service, json!({"delay_ms": 5})),
        1,
        |first, second| {
            assert_eq!((first.status, second.status), (200, 200));
            assert_eq!(first.body["run"], second.body["run"]);
        },
    );
    // Guards against a retry of a call that may have run: its response was lost on the way.
    call_with_a_lost_response_is_not_run_again: (
        |addresses| (addresses.service, json!({"drop_answers": 1})),
        1,
        |first, second| {
            assert_ne!(first.status, 200);
            assert_ne!(first.body["error"]["not_run"], json!(true), "{first:?}");
            assert_ne!(second.body["error"]["not_run"], json!(true), "{second:?}");
        },
    );
    call_with_a_broken_connection_is_not_run_again: (
        |addresses| (addresses.proxy, json!({"drop_answers": 1})),
        1,
        |first, _| assert_ne!(first.body["error"]["not_run"], json!(true), "{first:?}"),
    );
    // Guards against a truncated body that is forwarded as a complete response.
    truncated_response_is_not_forwarded: (
        |addresses| (addresses.service, json!({"truncate": 1})),
        1,
        |first, _| assert_ne!(first.status, 200),
    );
    // Guards against a second claim, and with it a second run, after the response to the write of
    // the first claim was lost.
    call_with_a_lost_claim_response_runs_once: (
        |addresses| (addresses.platform, json!({"lose_answers": 1})),
        1,
        |first, second| {
            assert_eq!(first.status, 200, "{first:?}");
            assert_eq!(second.status, 200, "{second:?}");
        },
    );
    // Guards against a call that runs without a claim, and against a refusal that states wrongly
    // whether it ran.
    call_during_a_store_outage_is_refused_as_not_run: (
        |addresses| (addresses.platform, json!({"outage": "refuse"})),
        0,
        |first, _| {
            assert_eq!(first.status, 503, "{first:?}");
            assert_eq!(first.body["error"]["not_run"], json!(true), "{first:?}");
        },
    );
}

fn post_twice(fault_for: FaultSetup, runs: u64, check: ResponseCheck) {
    block_on(async move {
        let (mut cluster, proxy) = start_plain_service().await;
        let addresses = FaultAddresses {
            service: cluster.target_mut("desk-a1").expect("the service is running").address,
            proxy: proxy.control,
            platform: cluster.platform.address,
        };
        let (address, fault) = fault_for(&addresses);
        cluster.inject_fault(address, &fault).await.expect("the fault is injected");
        let first = call_plain(&cluster, 0, "POST", "/notices", Some("k1"), "text").await;
        let second = call_plain(&cluster, 1, "POST", "/notices", Some("k1"), "text").await;
        check(&first, &second);
        assert_eq!(run_count(&cluster, addresses.service).await, runs, "{first:?}\n{second:?}");
    });
}

async fn run_count(cluster: &Cluster, service: std::net::SocketAddr) -> u64 {
    // A late retry by the system would arrive within 1 s.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let response = cluster.client.get(format!("http://{service}/_runs")).send().await;
    let runs: Value =
        response.expect("the service responds").json().await.expect("the counts are JSON");
    runs["k1"].as_u64().unwrap_or(0)
}

/// Starts two daemons and one plain service behind a fault proxy.
async fn start_plain_service() -> (Cluster, Proxy) {
    let mut cluster = start_cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
    let service = Target::service("desk-a1", PLAIN_SERVICE, "lodz-a");
    let address = cluster.start_target(&service).expect("the service starts");
    let proxy = cluster.start_proxy(address).expect("the proxy starts");
    let resource = Cluster::target_resource(&service, proxy.address);
    cluster.apply(&resource).await.expect("the target is accepted");
    cluster.wait_ready().await.expect("the daemons become ready");
    let ready = call_plain(&cluster, 0, "GET", "/ready", None, "").await;
    assert_eq!(ready.status, 200, "{ready:?}");
    let ready = call_plain(&cluster, 1, "GET", "/ready", None, "").await;
    assert_eq!(ready.status, 200, "{ready:?}");
    (cluster, proxy)
}
