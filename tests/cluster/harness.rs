//! Harness of the cluster tests: processes, declared resources, callers and waits.

use std::future::Future;
use std::path::Path;
use std::time::{Duration, Instant};

use hornbeamloom_bench::cluster::{resource, Cluster, Target, OPERATOR_KEY};
use serde_json::{json, Value};

/// Name of the model service.
pub const MODEL_SERVICE: &str = "pisarz-modelu";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "biuro-zlecen";
/// Caller key of the organisation `parlour-1`.
pub const CALLER_KEY: &str = "parlour-1-key";
/// Caller key of the organisation `parlour-2`.
pub const OTHER_CALLER_KEY: &str = "parlour-2-key";
/// Time limit for a condition that must become true. Only a hanging system reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a test to completion on a runtime of its own.
pub fn block_on(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("the runtime starts").block_on(test);
}

/// Starts a cluster with one daemon for each `(VM, zone)` and declares its resources. It has no
/// targets.
pub async fn start_cluster(daemons: &[(&str, &str)]) -> Cluster {
    let mut cluster = start_platform();
    for (vm, zone) in daemons {
        cluster.start_daemon(vm, zone).expect("the daemon starts");
    }
    declare_resources(&cluster, daemons).await;
    cluster
}

/// Starts a cluster that consists of the simulated platform only.
pub fn start_platform() -> Cluster {
    Cluster::new(Path::new(env!("CARGO_BIN_EXE_hornbeamloom-bench")))
        .expect("the simulated platform starts")
        .with_daemon_binary(Path::new(env!("CARGO_BIN_EXE_hornbeamloomd")))
}

/// Declares the zones of `daemons`, both services and both organisations.
pub async fn declare_resources(cluster: &Cluster, daemons: &[(&str, &str)]) {
    let mut zones: Vec<&str> = daemons.iter().map(|(_, zone)| *zone).collect();
    zones.sort_unstable();
    zones.dedup();
    for zone in zones {
        let spec = json!({"region": "pl-centrum"});
        apply(cluster, resource("AvailabilityZone", zone, spec)).await;
    }
    apply(cluster, resource("Service", MODEL_SERVICE, json!({"protocol": "model"}))).await;
    let spec = json!({"protocol": "plain", "onceMethods": ["POST"]});
    apply(cluster, resource("Service", PLAIN_SERVICE, spec)).await;
    apply(cluster, resource("Organisation", "parlour-1", json!({"keys": [CALLER_KEY]}))).await;
    apply(cluster, resource("Organisation", "parlour-2", json!({"keys": [OTHER_CALLER_KEY]})))
        .await;
}

async fn apply(cluster: &Cluster, resource: Value) {
    cluster.apply(&resource).await.expect("the resource is accepted");
}

/// Starts and declares targets, then waits until the daemons are ready.
pub async fn add_targets(cluster: &mut Cluster, targets: &[Target]) {
    for target in targets {
        let address = cluster.start_target(target).expect("the target starts");
        apply(cluster, Cluster::target_resource(target, address)).await;
    }
    cluster.wait_ready().await.expect("the daemons become ready");
}

/// Returns the owner of the model service's pool in `zone` and its fencing token, as reported by
/// the daemon with index `daemon`.
pub async fn pool_owner(cluster: &Cluster, daemon: usize, zone: &str) -> Option<(usize, u64)> {
    let status = operator_get(cluster, daemon, "/apis/v1/status").await;
    let owners = status["owners"].as_array()?;
    let entry =
        owners.iter().find(|owner| owner["zone"] == zone && owner["service"] == MODEL_SERVICE)?;
    let vm = entry["vm"].as_str()?;
    let ix = cluster.daemons.iter().position(|daemon| daemon.vm == vm)?;
    Some((ix, entry["fence"].as_u64()?))
}

/// Waits until the daemon with index `daemon` reports an owner of the pool in `zone`.
pub async fn wait_for_owner(cluster: &Cluster, daemon: usize, zone: &str) -> (usize, u64) {
    wait_until("the pool has an owner", || async {
        pool_owner(cluster, daemon, zone).await.is_some()
    })
    .await;
    pool_owner(cluster, daemon, zone).await.expect("the pool still has an owner")
}

/// Sends `count` concurrent completions of `length` tokens, distributed round-robin over
/// `entry_daemons`. Returns each tag with its response.
pub async fn send_burst(
    cluster: &Cluster,
    entry_daemons: &[usize],
    count: usize,
    length: usize,
) -> Vec<(String, StreamResponse)> {
    let requests = (0..count).map(|number| async move {
        let tag = format!("r{number}");
        let response =
            stream_completion(cluster, entry_daemons[number % entry_daemons.len()], &tag, length)
                .await;
        (tag, response)
    });
    futures_util::future::join_all(requests).await
}

/// Injects a fault into a simulated process or a proxy.
pub async fn inject_fault(cluster: &Cluster, address: std::net::SocketAddr, fault: Value) {
    cluster.inject_fault(address, &fault).await.expect("the fault is injected");
}

/// Returns the revision in force at the daemon with index `daemon`; zero if it does not respond.
pub async fn revision(cluster: &Cluster, daemon: usize) -> u64 {
    let status = operator_get(cluster, daemon, "/apis/v1/status").await;
    status["revision"].as_u64().unwrap_or(0)
}

/// Merges `body` into a resource through the daemon with index `daemon`. Returns the status, zero
/// without a response, and the body.
pub async fn patch_resource(
    cluster: &Cluster,
    daemon: usize,
    path: &str,
    body: Value,
) -> (u16, Value) {
    let url = format!("http://{}{path}", cluster.daemons[daemon].operator_address);
    let request = cluster.client.patch(url).bearer_auth(OPERATOR_KEY);
    let Ok(response) = request.json(&body).send().await else {
        return (0, Value::Null);
    };
    let status = response.status().as_u16();
    (status, response.json().await.unwrap_or_default())
}

/// Returns the number of requests that an engine process has started.
pub async fn started_requests(cluster: &mut Cluster, name: &str) -> u64 {
    let address = cluster.target_mut(name).expect("the engine runs").address;
    let response = cluster.client.get(format!("http://{address}/_started")).send().await;
    let text = response.expect("the engine responds").text().await.expect("the count is complete");
    text.trim().parse().expect("the count is a number")
}

/// Returns an engine whose ramp completes after a few responses.
pub fn short_ramp_engine(name: &str, zone: &str) -> Target {
    warm_engine(name, zone).with_spec("warmLimit", json!(4))
}

/// Sends enough requests through a daemon to complete the ramp of a [`short_ramp_engine`] in its
/// zone.
///
/// Then waits until the holder's announcement of its warm targets has reached the other VMs of the
/// zone: without a lease they may use warm targets only.
pub async fn warm_up(cluster: &Cluster, daemon: usize) {
    for (tag, response) in send_burst(cluster, &[daemon], 8, 5).await {
        response.assert_complete(&tag, 5);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
}

/// Returns an engine that reports warm from its start.
pub fn warm_engine(name: &str, zone: &str) -> Target {
    Target::engine(name, MODEL_SERVICE, zone).with_arguments(&["--cold-s", "0"])
}

/// Waits until `condition` holds. Panics with `what` if it does not within [`TEST_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "condition not reached within {TEST_TIMEOUT:?}: {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The response to one streamed completion.
#[derive(Debug, Default)]
pub struct StreamResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `x-request-id`.
    pub request_id: String,
    /// Token texts in the order received.
    pub tokens: Vec<String>,
    /// Whether the stream ended with `[DONE]`.
    pub done: bool,
    /// The typed refusal or error event; null if there was none.
    pub error: Value,
    /// Whether the response has a `retry-after` header.
    pub has_retry_after: bool,
}

impl StreamResponse {
    /// Panics unless the response is complete: `length` tokens tagged `tag`, each once and in
    /// order, and the end mark.
    pub fn assert_complete(&self, tag: &str, length: usize) {
        let expected: Vec<String> = (0..length).map(|seq| format!("{tag}:{seq} ")).collect();
        assert_eq!(self.tokens, expected, "error: {}", self.error);
        assert!(self.done, "stream without end mark; error: {}", self.error);
    }

    /// Panics unless the response is complete or a refusal that states that nothing ran.
    ///
    /// Returns whether it is complete. The response head is sent after 1 s at the latest; a later
    /// refusal is an event of the stream, with the retry delay in its body instead of a header.
    pub fn assert_complete_or_refused(&self, tag: &str, length: usize) -> bool {
        if self.status == 200 && self.error.is_null() {
            self.assert_complete(tag, length);
            return true;
        }
        let refusal = &self.error["error"];
        assert!(refusal["reason"].is_string(), "{self:?}");
        assert_eq!(refusal["not_run"], json!(true), "{self:?}");
        assert!(refusal["retry_after_ms"].is_u64(), "{self:?}");
        assert!(self.tokens.is_empty() && !self.done, "{self:?}");
        assert!(self.has_retry_after || self.status == 200, "{self:?}");
        false
    }
}

/// Streams a completion of `length` tokens tagged `tag` through the daemon with index `daemon`.
pub async fn stream_completion(
    cluster: &Cluster,
    daemon: usize,
    tag: &str,
    length: usize,
) -> StreamResponse {
    stream_prompt(cluster, daemon, &format!("len={length} tag={tag}")).await
}

/// Streams the completion of a prompt through the daemon with index `daemon`.
pub async fn stream_prompt(cluster: &Cluster, daemon: usize, prompt: &str) -> StreamResponse {
    let url = format!("http://{}/v1/completions", cluster.daemons[daemon].caller_address);
    let body = json!({"model": MODEL_SERVICE, "prompt": prompt, "stream": true});
    let sent = cluster.client.post(url).bearer_auth(CALLER_KEY).json(&body).send().await;
    match sent {
        Ok(response) => read_stream(response).await,
        Err(error) => {
            StreamResponse { error: json!(error.to_string()), ..StreamResponse::default() }
        }
    }
}

async fn read_stream(response: reqwest::Response) -> StreamResponse {
    let request_id = response.headers().get("x-request-id").and_then(|value| value.to_str().ok());
    let mut result = StreamResponse {
        status: response.status().as_u16(),
        request_id: request_id.unwrap_or_default().to_owned(),
        has_retry_after: response.headers().contains_key("retry-after"),
        ..StreamResponse::default()
    };
    let text = match response.text().await {
        Ok(text) => text,
        Err(error) => {
            result.error = json!(error.to_string());
            return result;
        }
    };
    if result.status != 200 {
        result.error = serde_json::from_str(&text).unwrap_or_default();
        return result;
    }
    for data in text.lines().filter_map(|line| line.strip_prefix("data:")) {
        read_event(data.trim(), &mut result);
    }
    result
}

fn read_event(data: &str, result: &mut StreamResponse) {
    if data == "[DONE]" {
        result.done = true;
        return;
    }
    let event: Value = serde_json::from_str(data).unwrap_or_default();
    match event["choices"][0]["text"].as_str() {
        Some(text) => result.tokens.push(text.to_owned()),
        None => result.error = event,
    }
}

/// The response to one call of the plain service.
#[derive(Debug)]
pub struct CallResponse {
    /// HTTP status; zero if there was no response.
    pub status: u16,
    /// The body; null if it was not complete JSON.
    pub body: Value,
}

/// Calls the plain service through the daemon with index `daemon`.
pub async fn call_plain(
    cluster: &Cluster,
    daemon: usize,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> CallResponse {
    let url =
        format!("http://{}/services/{PLAIN_SERVICE}{path}", cluster.daemons[daemon].caller_address);
    let method = method.parse().expect("the method is valid");
    let mut request =
        cluster.client.request(method, url).bearer_auth(CALLER_KEY).body(body.to_owned());
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let Ok(response) = request.send().await else {
        return CallResponse { status: 0, body: Value::Null };
    };
    let status = response.status().as_u16();
    CallResponse { status, body: response.json().await.unwrap_or_default() }
}

/// Sends a GET to the operator interface of a daemon. Returns null without a response.
pub async fn operator_get(cluster: &Cluster, daemon: usize, path: &str) -> Value {
    let url = format!("http://{}{path}", cluster.daemons[daemon].operator_address);
    let Ok(response) = cluster.client.get(url).bearer_auth(OPERATOR_KEY).send().await else {
        return Value::Null;
    };
    response.json().await.unwrap_or_default()
}
