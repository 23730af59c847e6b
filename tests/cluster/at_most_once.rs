//! Calls that run at most once, by the count that the service itself keeps.

use std::time::Duration;

use hornbeamloom_bench::cluster::{Cluster, Proxy, Target};
use serde_json::{json, Value};

use crate::harness::{block_on, call_plain, start_cluster, CallResponse, PLAIN_SERVICE};

/// What happens before the call.
type Setup = fn(&Faults) -> (std::net::SocketAddr, Value);
/// What must hold of the first answer and the repeated one.
type Check = fn(&CallResponse, &CallResponse);

/// Where faults are given.
struct Faults {
    service: std::net::SocketAddr,
    proxy: std::net::SocketAddr,
    platform: std::net::SocketAddr,
}

hornbeamloom_kernel::cases! {
    post_twice;
    // Guards against a repeated run of a call that was answered.
    a_repeated_call_gets_the_kept_answer: (
        |faults| (faults.service, json!({"delay_ms": 5})),
        1,
        |first, second| {
            assert_eq!((first.status, second.status), (200, 200));
            assert_eq!(first.body["run"], second.body["run"]);
        },
    );
    // Guards against a retry after the call may have run.
    a_call_whose_answer_was_cut_is_not_run_again: (
        |faults| (faults.service, json!({"drop_answers": 1})),
        1,
        |first, second| {
            assert_ne!(first.status, 200);
            assert_ne!(first.body["error"]["not_run"], json!(true), "{first:?}");
            assert_ne!(second.body["error"]["not_run"], json!(true), "{second:?}");
        },
    );
    a_call_whose_connection_was_cut_is_not_run_again: (
        |faults| (faults.proxy, json!({"drop_answers": 1})),
        1,
        |first, _| assert_ne!(first.body["error"]["not_run"], json!(true), "{first:?}"),
    );
    // Guards against a truncated body that passes for the whole answer.
    a_truncated_answer_is_not_passed_on: (
        |faults| (faults.service, json!({"truncate": 1})),
        1,
        |first, _| assert_ne!(first.status, 200),
    );
    // Guards against a claim that is written again after its answer was lost.
    a_claim_whose_answer_was_lost_runs_once: (
        |faults| (faults.platform, json!({"lose_answers": 1})),
        1,
        |first, second| {
            assert_eq!(first.status, 200, "{first:?}");
            assert_eq!(second.status, 200, "{second:?}");
        },
    );
    // Guards against a call without a claim, and against a false statement about it.
    a_call_without_the_store_is_refused_as_not_run: (
        |faults| (faults.platform, json!({"outage": "refuse"})),
        0,
        |first, _| {
            assert_eq!(first.status, 503, "{first:?}");
            assert_eq!(first.body["error"]["not_run"], json!(true), "{first:?}");
        },
    );
}

fn post_twice(setup: Setup, runs: u64, check: Check) {
    block_on(async move {
        let (mut cluster, proxy) = order_desk().await;
        let faults = Faults {
            service: cluster.target("desk-a1").expect("the desk runs").address,
            proxy: proxy.control,
            platform: cluster.platform.address,
        };
        let (address, fault) = setup(&faults);
        cluster.fault(address, &fault).await.expect("the fault is taken");
        let first = call_plain(&cluster, 0, "POST", "/notices", Some("k1"), "text").await;
        let second = call_plain(&cluster, 1, "POST", "/notices", Some("k1"), "text").await;
        check(&first, &second);
        assert_eq!(count(&cluster, faults.service).await, runs, "{first:?}\n{second:?}");
    });
}

async fn count(cluster: &Cluster, service: std::net::SocketAddr) -> u64 {
    // Late retries inside the system would come within a second.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let response = cluster.client.get(format!("http://{service}/_runs")).send().await;
    let runs: Value = response.expect("the service answers").json().await.expect("counts");
    runs["k1"].as_u64().unwrap_or(0)
}

/// Two daemons and one plain service behind a fault proxy.
async fn order_desk() -> (Cluster, Proxy) {
    let mut cluster = start_cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
    let desk = Target::service("desk-a1", PLAIN_SERVICE, "lodz-a");
    let address = cluster.start_target(&desk).expect("the service starts");
    let proxy = cluster.start_proxy(address).expect("the proxy starts");
    let resource = Cluster::target_resource(&desk, proxy.address);
    cluster.apply(&resource).await.expect("the target is accepted");
    cluster.wait_ready().await.expect("the daemons become ready");
    let ready = call_plain(&cluster, 0, "GET", "/ready", None, "").await;
    assert_eq!(ready.status, 200, "{ready:?}");
    let ready = call_plain(&cluster, 1, "GET", "/ready", None, "").await;
    assert_eq!(ready.status, 200, "{ready:?}");
    (cluster, proxy)
}
