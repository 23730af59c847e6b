//! More requests than the queues can hold.

use hornbeamloom_bench::cluster::resource;
use serde_json::{json, Value};

use crate::harness::{
    add_targets, block_on, patch_resource, send_burst, start_cluster, warm_engine, MODEL_SERVICE,
};

hornbeamloom_kernel::cases! {
    queue_limit_yields_typed_refusals;
    // Guards against refusals without a reason or a retry delay, and against accepted requests that
    // are dropped when a queue is full.
    full_organisation_queue_yields_typed_refusals: (
        json!({"organisationQueue": 4}),
        json!({}),
        "organisation_queue"
    );
    full_pool_queue_yields_typed_refusals: (
        json!({"organisationQueue": 500, "poolQueue": 6}),
        json!({}),
        "pool_queue"
    );
    expired_queue_deadline_yields_typed_refusals: (
        json!({"organisationQueue": 500}),
        json!({"queueMs": 1_000}),
        "queue_deadline"
    );
}

fn queue_limit_yields_typed_refusals(limits: Value, service: Value, reason: &'static str) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a"), ("entry-a2", "lodz-a")]).await;
        let configuration = resource("Configuration", "narrow", limits);
        cluster.apply(&configuration).await.expect("the configuration is accepted");
        let mut spec = service;
        spec["configuration"] = json!("narrow");
        let path = format!("/apis/v1/services/{MODEL_SERVICE}");
        let (status, response) = patch_resource(&cluster, 0, &path, json!({"spec": spec})).await;
        assert_eq!(status, 200, "{response}");
        let engine = warm_engine("engine-a1", "lodz-a").with_spec("warmLimit", json!(2));
        add_targets(&mut cluster, &[engine]).await;
        let responses = send_burst(&cluster, &[0, 1], 40, 60).await;
        let completed = responses
            .iter()
            .filter(|(tag, response)| response.assert_complete_or_refused(tag, 60))
            .count();
        assert!(completed > 0, "no request completed");
        let reasons: Vec<&Value> = responses
            .iter()
            .map(|(_, response)| &response.error["error"]["reason"])
            .filter(|reason| !reason.is_null())
            .collect();
        assert_eq!(reasons.len() + completed, responses.len());
        assert!(reasons.contains(&&json!(reason)), "{reasons:?}");
    });
}
