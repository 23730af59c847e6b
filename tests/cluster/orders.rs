//! Load and unload orders for the models that operators configure.

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
/// Time for which the newest model must stay loaded after the killed owner has restarted.
const STABLE_PERIOD: Duration = Duration::from_secs(6);

hornbeamloom_kernel::cases! {
    newest_order_wins;
    // Guards against late orders of a former owner that undo newer ones, against more concurrent
    // loads than load slots, and against fencing tokens that decrease.
    engines_that_check_fencing_tokens_follow_the_newest_order: (&["--fencing"], true);
    engines_that_ignore_fencing_tokens_follow_the_newest_order: (&[], false);
}

fn newest_order_wins(arguments: &'static [&'static str], fencing: bool) {
    block_on(async move {
        let daemons = [("entry-a1", ZONE), ("entry-a2", ZONE)];
        let mut cluster = start_cluster(&daemons).await;
        let spec = json!({"models": ["pisarz@1"], "loadSlots": 1});
        let configuration = resource("Configuration", "fleet", spec);
        cluster.apply(&configuration).await.expect("the configuration is accepted");
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
        // The owner may have sent orders for this change when it is killed.
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

/// Polls the engines' reports and checks invariants on each poll.
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
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "{model} was not loaded within {TEST_TIMEOUT:?}"
            );
        }
    }

    /// Returns whether every engine has `model` loaded.
    async fn observe(&mut self, cluster: &Cluster, model: &str) -> bool {
        let mut reports = Vec::new();
        // The first engine is read twice: a load reported before and after the second engine was
        // read was also running in between.
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
        let text = response.expect("the engine responds").text().await;
        let text = text.expect("the report is complete");
        let fence = text.lines().find_map(|line| line.strip_prefix("engine_fence "));
        let fence = fence.and_then(|text| text.trim().parse().ok());
        let fence: u64 = fence.expect("the report contains a fencing token");
        assert!(fence >= self.fences[ix], "the fencing token decreased to {fence}");
        self.fences[ix] = fence;
        text
    }
}

/// Returns the rest of the report line that names the model being loaded.
fn loading_model(report: &str) -> Option<&str> {
    let mut lines = report.lines();
    lines.find_map(|line| line.strip_prefix("engine_loading{name="))
}
