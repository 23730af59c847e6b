//! What the process-level tests share: clusters, callers and deadlines.

use std::future::Future;
use std::path::Path;
use std::time::{Duration, Instant};

use hornbeamloom_bench::cluster::{resource, Cluster, Target, OPERATOR_KEY};
use serde_json::{json, Value};

/// The model service of every test.
pub const MODEL_SERVICE: &str = "pisarz-modelu";
/// The plain service of every test.
pub const PLAIN_SERVICE: &str = "biuro-zlecen";
/// Key of the organisation `parlour-1`.
pub const CALLER_KEY: &str = "parlour-1-key";
/// Key of the organisation `parlour-2`.
pub const OTHER_CALLER_KEY: &str = "parlour-2-key";
/// Longest wait for a state that must come; only a hanging system reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a test on its own runtime.
pub fn block_on(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime starts").block_on(test);
}

/// A cluster with daemons named `VM` in `ZONE`, zones, services and organisations, no targets.
pub async fn start_cluster(daemons: &[(&str, &str)]) -> Cluster {
    let mut cluster = start_platform();
    for (vm, zone) in daemons {
        cluster.start_daemon(vm, zone).expect("a daemon starts");
    }
    declare_resources(&cluster, daemons).await;
    cluster
}

/// A cluster with the platform stand-in only.
pub fn start_platform() -> Cluster {
    Cluster::new(Path::new(env!("CARGO_BIN_EXE_hornbeamloom-bench")))
        .expect("the platform stand-in starts")
        .with_daemon(Path::new(env!("CARGO_BIN_EXE_hornbeamloomd")))
}

/// Declares zones, services and organisations.
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

/// Starts targets, declares them and waits until the daemons are ready.
pub async fn add_targets(cluster: &mut Cluster, targets: &[Target]) {
    for target in targets {
        let address = cluster.start_target(target).expect("a target starts");
        apply(cluster, Cluster::target_resource(target, address)).await;
    }
    cluster.wait_ready().await.expect("the daemons become ready");
}

/// The owner of the model service's pool in `zone` and its fencing token, as daemon number
/// `daemon` knows them.
pub async fn pool_owner(cluster: &Cluster, daemon: usize, zone: &str) -> Option<(usize, u64)> {
    let status = operator_get(cluster, daemon, "/apis/v1/status").await;
    let owners = status["owners"].as_array()?;
    let entry =
        owners.iter().find(|owner| owner["zone"] == zone && owner["service"] == MODEL_SERVICE)?;
    let vm = entry["vm"].as_str()?;
    let ix = cluster.daemons.iter().position(|daemon| daemon.vm == vm)?;
    Some((ix, entry["fence"].as_u64()?))
}

/// Waits until daemon number `daemon` knows an owner of the pool in `zone`.
pub async fn wait_for_owner(cluster: &Cluster, daemon: usize, zone: &str) -> (usize, u64) {
    wait_until("the pool has an owner", || async {
        pool_owner(cluster, daemon, zone).await.is_some()
    })
    .await;
    pool_owner(cluster, daemon, zone).await.expect("an owner")
}

/// Sends `count` completions of `length` tokens at once, in turn through the daemons `through`.
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

/// Gives a fault order.
pub async fn inject_fault(cluster: &Cluster, address: std::net::SocketAddr, fault: Value) {
    cluster.fault(address, &fault).await.expect("the fault is taken");
}

/// The revision in force at daemon number `daemon`, zero without an answer.
pub async fn revision(cluster: &Cluster, daemon: usize) -> u64 {
    let status = operator_get(cluster, daemon, "/apis/v1/status").await;
    status["revision"].as_u64().unwrap_or(0)
}

/// Merges `body` into a resource through daemon number `daemon`; the status and the answer.
pub async fn patch_resource(
    cluster: &Cluster,
    daemon: usize,
    path: &str,
    body: Value,
) -> (u16, Value) {
    let url = format!("http://{}{path}", cluster.daemons[daemon].operators);
    let request = cluster.client.patch(url).bearer_auth(OPERATOR_KEY);
    let Ok(response) = request.json(&body).send().await else {
        return (0, Value::Null);
    };
    let status = response.status().as_u16();
    (status, response.json().await.unwrap_or_default())
}

/// Requests that an engine has started since its own start.
pub async fn started_requests(cluster: &mut Cluster, name: &str) -> u64 {
    let address = cluster.target(name).expect("the engine runs").address;
    let response = cluster.client.get(format!("http://{address}/_started")).send().await;
    let text = response.expect("the engine answers").text().await.expect("a count");
    text.trim().parse().expect("a number")
}

/// An engine whose ramp ends after few answers.
pub fn short_ramp_engine(name: &str, zone: &str) -> Target {
    warm_engine(name, zone).with_spec("warmLimit", json!(4))
}

/// Sends enough work through a daemon to end the ramp of its zone's `quick_engine`.
///
/// The holder's word about its targets then has time to reach the zone's other VMs, which may use
/// warm targets only.
pub async fn warm_up(cluster: &Cluster, daemon: usize) {
    for (tag, response) in send_burst(cluster, &[daemon], 8, 5).await {
        response.assert_complete(&tag, 5);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
}

/// An engine that is warm from the start.
pub fn warm_engine(name: &str, zone: &str) -> Target {
    Target::engine(name, MODEL_SERVICE, zone).with_arguments(&["--cold-s", "0"])
}

/// Waits until `state` holds and fails with `what` if it does not in time.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < TEST_TIMEOUT, "not in time: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// What a caller got of one streamed completion.
#[derive(Debug, Default)]
pub struct StreamResponse {
    /// HTTP status.
    pub status: u16,
    /// Request id.
    pub request_id: String,
    /// Texts of the tokens in order.
    pub tokens: Vec<String>,
    /// The stream ended with its end mark.
    pub done: bool,
    /// The typed refusal or error event, if one came.
    pub error: Value,
    /// The refusal says when to try again.
    pub has_retry_after: bool,
}

impl StreamResponse {
    /// Panics unless this is the whole answer with `length` tokens tagged `tag`, each once and in
    /// order.
    pub fn assert_complete(&self, tag: &str, length: usize) {
        let expected: Vec<String> = (0..length).map(|seq| format!("{tag}:{seq} ")).collect();
        assert_eq!(self.tokens, expected, "error: {}", self.error);
        assert!(self.done, "no end mark; error: {}", self.error);
    }

    /// Panics unless this is the whole answer or a refusal that says truthfully that nothing ran.
    ///
    /// Returns whether it is the whole answer. A refusal after 1 s comes as an event of a stream
    /// whose head was sent by then, so that it says in its body when to try again.
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

/// Streams a completion of `length` tokens tagged `tag` from daemon number `daemon`.
pub async fn stream_completion(
    cluster: &Cluster,
    daemon: usize,
    tag: &str,
    length: usize,
) -> StreamResponse {
    stream_prompt(cluster, daemon, &format!("len={length} tag={tag}")).await
}

/// Streams the completion of a prompt from daemon number `daemon`.
pub async fn stream_prompt(cluster: &Cluster, daemon: usize, prompt: &str) -> StreamResponse {
    let url = format!("http://{}/v1/completions", cluster.daemons[daemon].callers);
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

/// What a caller got of one plain call.
#[derive(Debug)]
pub struct CallResponse {
    /// HTTP status, zero without an answer.
    pub status: u16,
    /// The body, if it was JSON and whole.
    pub body: Value,
}

/// Calls the plain service through daemon number `daemon`.
pub async fn call_plain(
    cluster: &Cluster,
    daemon: usize,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> CallResponse {
    let url = format!("http://{}/services/{PLAIN_SERVICE}{path}", cluster.daemons[daemon].callers);
    let method = method.parse().expect("a method");
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

/// Reads a path of the operators' interface of a daemon.
pub async fn operator_get(cluster: &Cluster, daemon: usize, path: &str) -> Value {
    let url = format!("http://{}{path}", cluster.daemons[daemon].operators);
    let Ok(response) = cluster.client.get(url).bearer_auth(OPERATOR_KEY).send().await else {
        return Value::Null;
    };
    response.json().await.unwrap_or_default()
}
