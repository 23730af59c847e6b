//! Models that operators want on engines.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hornbeamloom_bench::cluster::{resource, Cluster};
use serde_json::json;

use crate::harness::{
    add_targets, block_on, patch_resource, send_burst, start_cluster, wait_for_owner, warm_engine,
    MODEL_SERVICE, TEST_TIMEOUT,
};

const ZONE: &str = "lodz-a";
const CONFIGURATION: &str = "/apis/v1/configurations/fleet";
/// How long the state must stay after the killed owner came back.
const STABLE_PERIOD: Duration = Duration::from_secs(6);

hornbeamloom_kernel::cases! {
    newest_order_wins;
    // Guards against orders of an old owner that undo newer ones, against more loads than there are
    // load slots, and against fencing numbers that go back.
    engines_that_check_fencing_tokens_follow_the_newest_order: (&["--fencing"], true);
    engines_that_ignore_fencing_tokens_follow_the_newest_order: (&[], false);
}

fn newest_order_wins(arguments: &'static [&'static str], fencing: bool) {
    block_on(async move {
        let daemons = [("entry-a1", ZONE), ("entry-a2", ZONE)];
        let mut cluster = start_cluster(&daemons).await;
        let spec = json!({"models": ["pisarz@1"], "loadSlots": 1});
        let configuration = resource("Configuration", "fleet", spec);
        cluster.apply(&configuration).await.expect("it is accepted");
        let reference = json!({"spec": {"configuration": "fleet"}});
        let path = format!("/apis/v1/services/{MODEL_SERVICE}");
        assert_eq!(patch_resource(&cluster, 0, &path, reference).await.0, 200);
        let weight_store = format!("http://{}", cluster.platform.address);
        let engines = ["engine-a1", "engine-a2"].map(|name| {
            warm_engine(name, ZONE)
                .with_arguments(&["--report-lag-ms", "0", "--weights", &weight_store])
                .with_arguments(arguments)
                .with_spec("fencing", json!(fencing))
        });
        add_targets(&mut cluster, &engines).await;
        let mut observer = Observer::new(&cluster);
        observer.wait_loaded(&cluster, "pisarz@1").await;
        let (killed, _) = wait_for_owner(&cluster, 0, ZONE).await;
        let other = 1 - killed;
        // The old owner may have orders for this change under way when it dies.
        set_model(&cluster, killed, "pisarz@2").await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster.daemons[killed].process.kill();
        set_model(&cluster, other, "pisarz@3").await;
        observer.wait_loaded(&cluster, "pisarz@3").await;
        cluster.restart_daemon(killed).expect("the daemon starts");
        let restarted_at = Instant::now();
        while restarted_at.elapsed() < STABLE_PERIOD {
            let is_loaded = observer.observe(&cluster, "pisarz@3").await;
            assert!(is_loaded, "a newer order was undone");
        }
        assert!(observer.fences.iter().all(|fence| *fence > 0));
        cluster.wait_ready().await.expect("the daemons are ready");
        for (tag, response) in send_burst(&cluster, &[0, 1], 6, 5).await {
            response.assert_complete(&tag, 5);
        }
    });
}

async fn set_model(cluster: &Cluster, daemon: usize, model: &str) {
    let body = json!({"spec": {"models": [model]}});
    let (status, response) = patch_resource(cluster, daemon, CONFIGURATION, body).await;
    assert_eq!(status, 200, "{response}");
}

/// Watches the engines and checks on each look what must always hold.
struct Observer {
    engines: Vec<SocketAddr>,
    fences: Vec<u64>,
}

impl Observer {
    fn new(cluster: &Cluster) -> Observer {
        let engines: Vec<SocketAddr> =
            cluster.targets.iter().map(|target| target.address).collect();
        Observer { fences: vec![0; engines.len()], engines }
    }

    async fn wait_loaded(&mut self, cluster: &Cluster, model: &str) {
        let started = Instant::now();
        while !self.observe(cluster, model).await {
            assert!(started.elapsed() < TEST_TIMEOUT, "{model} is not loaded in time");
        }
    }

    /// Whether every engine has `model` loaded.
    async fn observe(&mut self, cluster: &Cluster, model: &str) -> bool {
        let mut reports = Vec::new();
        // The first engine is read again: a load that it shows before and after the other's look
        // went on in between.
        for ix in [0, 1, 0] {
            reports.push(self.read_report(cluster, ix).await);
        }
        let loading: Vec<Option<&str>> =
            reports.iter().map(|report| loading_model(report)).collect();
        let are_both_loading =
            loading[0].is_some() && loading[0] == loading[2] && loading[1].is_some();
        assert!(!are_both_loading, "two engines load with one slot: {loading:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let loaded_line = format!("engine_loaded{{name=\"{model}\"}} 1");
        reports.iter().all(|report| report.contains(&loaded_line))
    }

    async fn read_report(&mut self, cluster: &Cluster, ix: usize) -> String {
        let url = format!("http://{}/metrics", self.engines[ix]);
        let response = cluster.client.get(url).send().await;
        let text = response.expect("the engine answers").text().await;
        let text = text.expect("a report");
        let fence = text.lines().find_map(|line| line.strip_prefix("engine_fence "));
        let fence = fence.and_then(|text| text.trim().parse().ok());
        let fence: u64 = fence.expect("a fence");
        assert!(fence >= self.fences[ix], "a fence went back to {fence}");
        self.fences[ix] = fence;
        text
    }
}

/// The model that a report shows as loading.
fn loading_model(report: &str) -> Option<&str> {
    let mut lines = report.lines();
    lines.find_map(|line| line.strip_prefix("engine_loading{name="))
}
