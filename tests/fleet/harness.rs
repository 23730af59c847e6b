//! Harness of the tests of the platform adapter.

use std::future::Future;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hornbeamloom_bench::fleet::{config, Fleet, ATTEMPT_ID_HEADER};
use hornbeamloom_bench::mock_engine::Engine;
use serde_json::json;

/// Caller key that the standard configuration accepts.
pub const CALLER_KEY: &str = "k1";
/// Interval between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a target takes for a response that is not a stream.
pub const CALL_DURATION: Duration = Duration::from_millis(20);
/// Time limit for a condition that must become true. Only a hanging system reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a test to completion on a runtime of its own.
pub fn block_on(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("the runtime starts").block_on(test);
}

/// Waits until `condition` holds. Panics with `what` if it does not within [`TEST_TIMEOUT`].
pub async fn wait_until<F>(what: &str, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "condition not reached within {TEST_TIMEOUT:?}: {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Starts a fleet of one daemon in zone `a`, with the standard configuration and no targets.
pub async fn start_fleet() -> Fleet {
    let fleet = start_unconfigured_fleet().await;
    fleet.put_config(&config(1, &[CALLER_KEY, "k2"]));
    fleet
}

/// Starts a fleet of one daemon in zone `a` whose generations have standbys.
pub async fn start_fleet_with_standbys() -> Fleet {
    start_fleet_with_standbys_and("fair").await
}

/// Starts the same fleet with this admission of streams.
pub async fn start_fleet_with_standbys_and(admission: &'static str) -> Fleet {
    let fleet = launch_fleet(|fleet| {
        fleet.standby_percent = 90;
        fleet.admission = admission;
    });
    let fleet = fleet.await;
    fleet.put_config(&config(1, &[CALLER_KEY]));
    fleet
}

/// Starts a fleet of one daemon in zone `a` that admits streams by slack.
pub async fn start_fleet_with_slack() -> Fleet {
    let fleet = launch_fleet(|fleet| fleet.admission = "slack").await;
    fleet.put_config(&config(1, &[CALLER_KEY]));
    fleet
}

/// Starts a fleet of two daemons in zone `a` that carry out version roll-outs.
pub async fn start_fleet_with_rollouts() -> Fleet {
    let mut fleet = launch_fleet(|fleet| fleet.has_rollouts = true).await;
    fleet.start_daemon("vm-2", "a").expect("the daemon starts");
    fleet.put_config(&config(1, &[CALLER_KEY]));
    fleet
}

/// Starts a fleet of one daemon in zone `a` that places requests by the pace of targets and spreads
/// load.
pub async fn start_fleet_with_placement() -> Fleet {
    let placement = json!({"pauses": true, "spread": true});
    let fleet = launch_fleet(|fleet| fleet.placement = placement).await;
    let mut config = config(1, &[CALLER_KEY]);
    config["routes"][0]["target_itl_ms"] = 180.into();
    fleet.put_config(&config);
    fleet
}

/// Starts a fleet of one daemon in zone `a` whose store has never come back from an older copy, and
/// counts its eras from `first_era`.
pub async fn start_fleet_with_first_era(first_era: u64) -> Fleet {
    let fleet = launch_fleet(|fleet| fleet.store.set_era(first_era)).await;
    fleet.put_config(&config(1, &[CALLER_KEY, "k2"]));
    fleet
}

/// Starts a fleet of one daemon in zone `a` without a configuration.
pub async fn start_unconfigured_fleet() -> Fleet {
    launch_fleet(|_| {}).await
}

/// Starts a fleet of one daemon in zone `a` whose shutdown ends after `limit_s` seconds.
pub async fn start_fleet_with_shutdown_limit(limit_s: u64) -> Fleet {
    let fleet = launch_fleet(|fleet| fleet.shutdown_limit_s = Some(limit_s)).await;
    fleet.put_config(&config(1, &[CALLER_KEY]));
    fleet
}

/// Starts a fleet of one daemon in zone `a` that buffers at most `buffer_bytes` of bodies, and whose
/// callers may send bodies of `max_body_bytes`.
pub async fn start_fleet_with_buffers(buffer_bytes: u64, max_body_bytes: usize) -> Fleet {
    let fleet = launch_fleet(|fleet| fleet.buffer_bytes = Some(buffer_bytes)).await;
    let mut config = config(1, &[CALLER_KEY]);
    config["limits"]["max_body_bytes"] = max_body_bytes.into();
    fleet.put_config(&config);
    fleet
}

/// Starts a fleet of one daemon in zone `a` with settings that differ from the standard ones.
async fn launch_fleet(change_settings: impl FnOnce(&mut Fleet)) -> Fleet {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("fleet-{}-{number}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_hornbeamloomd"));
    let mut fleet = Fleet::new(program, &folder).await.expect("the store starts");
    change_settings(&mut fleet);
    fleet.start_daemon("vm-1", "a").expect("the daemon starts");
    fleet
}

/// Starts model engines `m1`, `m2`, ... in zone `a` and waits until each of them serves requests: a
/// stream has a standby, or another target, only where the daemon knows of one.
pub async fn start_engines(fleet: &Fleet, count: usize) -> Vec<Engine> {
    let engines = start_targets(fleet, "m", "model", count, EVENT_INTERVAL).await;
    wait_until_all_serve(fleet, "/draft/warm", &engines).await;
    engines
}

/// Starts plain targets `d1`, `d2`, ... in zone `a` and waits until each of them serves requests: a
/// request that may not go back to a faulty target needs another one that the daemon knows.
pub async fn start_plain_targets(fleet: &Fleet, count: usize) -> Vec<Engine> {
    let targets = start_targets(fleet, "d", "desk", count, CALL_DURATION).await;
    wait_until_all_serve(fleet, "/look/warm", &targets).await;
    targets
}

/// Waits until each of the targets has served a request to `path`.
async fn wait_until_all_serve(fleet: &Fleet, path: &str, targets: &[Engine]) {
    wait_until_served(fleet, path).await;
    wait_until("all targets serve requests", || async {
        // Requests that arrive together are spread over all targets that the daemon knows.
        join_all((0..2 * targets.len()).map(|_| call(fleet, path, b"events=1"))).await;
        let requests = fleet.request_log.requests();
        let has_served =
            |target: &Engine| requests.iter().any(|request| request.engine == target.name());
        targets.iter().all(has_served)
    })
    .await;
}

async fn start_targets(
    fleet: &Fleet,
    prefix: &str,
    service: &str,
    count: usize,
    interval: Duration,
) -> Vec<Engine> {
    let mut targets = Vec::new();
    for number in 1..=count {
        let name = format!("{prefix}{number}");
        let engine = fleet.start_engine(&name, service, "a", interval).await;
        targets.push(engine.expect("the target starts"));
    }
    targets
}

/// Waits until a request to `path` is answered with 200.
pub async fn wait_until_served(fleet: &Fleet, path: &str) {
    wait_until("the path is served", || async {
        call(fleet, path, b"events=1").await.status == 200
    })
    .await;
}

/// The response that a caller receives.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    pub headers: reqwest::header::HeaderMap,
    /// The part of the body that was received.
    pub body: Vec<u8>,
    /// Whether the body was received to its end.
    pub is_complete: bool,
    /// Longest interval between two chunks of the body.
    pub longest_gap: Duration,
    /// The caller's attempt id.
    pub attempt_id: String,
}

/// Returns a new attempt id of a caller.
pub fn new_attempt_id() -> String {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NUMBER.fetch_add(1, Ordering::Relaxed))
}

/// Prepares a request to the daemon with index `daemon`.
pub fn new_request(
    fleet: &Fleet,
    daemon: usize,
    path: &str,
    attempt_id: &str,
) -> reqwest::RequestBuilder {
    let client = reqwest::Client::builder().no_proxy().pool_max_idle_per_host(0).build();
    let url = format!("http://{}{path}", fleet.daemons[daemon].caller_address);
    client
        .expect("the HTTP client is built")
        .post(url)
        .header("host", "host.example")
        .header(ATTEMPT_ID_HEADER, attempt_id)
        .header("x-deadline-ms", "20000")
        .header("x-token-usage", "100,2000")
        .header("authorization", format!("Token {CALLER_KEY}"))
}

/// Sends a request to the first daemon and reads its response.
pub async fn call(fleet: &Fleet, path: &str, body: &[u8]) -> CallerResponse {
    let attempt_id = new_attempt_id();
    let request = new_request(fleet, 0, path, &attempt_id).body(body.to_vec());
    send(request, attempt_id).await
}

/// Sends a prepared request and reads its response. The status is zero without one.
pub async fn send(request: reqwest::RequestBuilder, attempt_id: String) -> CallerResponse {
    let mut result = CallerResponse {
        status: 0,
        headers: Default::default(),
        body: Vec::new(),
        is_complete: false,
        longest_gap: Duration::ZERO,
        attempt_id,
    };
    let Ok(mut response) = request.send().await else {
        return result;
    };
    result.status = response.status().as_u16();
    result.headers = response.headers().clone();
    let mut last = Instant::now();
    loop {
        let chunk = response.chunk().await;
        result.longest_gap = result.longest_gap.max(last.elapsed());
        last = Instant::now();
        match chunk {
            Ok(Some(chunk)) => result.body.extend_from_slice(&chunk),
            Ok(None) => {
                result.is_complete = true;
                return result;
            }
            Err(_) => return result,
        }
    }
}

impl CallerResponse {
    /// Panics unless the stream is complete and has exactly the events 1 to `count` of its attempt.
    pub fn assert_stream(&self, count: u64) {
        assert_eq!(self.status, 200);
        assert!(self.is_complete, "stream truncated: {:?}", self.text());
        let expected: String = (1..=count)
            .map(|seq| format!("id: {seq}\ndata: {}.{seq}\n\n", self.attempt_id))
            .collect();
        assert_eq!(self.text(), expected);
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
