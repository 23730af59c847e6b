//! What the tests of the platform's adapter share.

use std::future::Future;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hornbeamloom_bench::fleet::{config, Fleet, ATTEMPT};
use hornbeamloom_bench::model::Engine;

/// The caller's key.
pub const CALLER_KEY: &str = "k1";
/// Time between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a whole answer takes.
pub const CALL_DURATION: Duration = Duration::from_millis(20);
/// Longest wait for a state that must come; only a hanging system reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a test on its own runtime.
pub fn block_on(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime starts").block_on(test);
}

/// Waits until a condition holds.
pub async fn wait_until<F>(what: &str, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < TEST_TIMEOUT, "{what} did not come");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A fleet of one daemon in zone `a`, with the standard configuration and no targets.
pub async fn start_fleet() -> Fleet {
    let fleet = start_unconfigured_fleet().await;
    fleet.configure(&config(1, &[CALLER_KEY, "k2"]));
    fleet
}

/// A fleet of one daemon in zone `a` whose generations have standbys.
pub async fn start_fleet_with_standbys() -> Fleet {
    let fleet = launch_fleet(90).await;
    fleet.configure(&config(1, &[CALLER_KEY]));
    fleet
}

/// A fleet of one daemon in zone `a` without a configuration.
pub async fn start_unconfigured_fleet() -> Fleet {
    launch_fleet(0).await
}

async fn launch_fleet(standby_percent: u32) -> Fleet {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("fleet-{}-{number}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_hornbeamloomd"));
    let mut fleet = Fleet::new(program, &folder).await.expect("the store starts");
    fleet.standby_percent = standby_percent;
    fleet.start_daemon("vm-1", "a").expect("the daemon starts");
    fleet
}

/// Model engines `m1`, `m2`, ... in zone `a`, ready to take requests.
pub async fn start_engines(fleet: &Fleet, count: usize) -> Vec<Engine> {
    let engines = start_targets(fleet, "m", "model", count, EVENT_INTERVAL).await;
    wait_until_served(fleet, "/draft/warm").await;
    engines
}

/// Back ends `d1`, `d2`, ... in zone `a`, ready to take requests.
pub async fn start_plain_targets(fleet: &Fleet, count: usize) -> Vec<Engine> {
    let targets = start_targets(fleet, "d", "desk", count, CALL_DURATION).await;
    wait_until_served(fleet, "/look/warm").await;
    targets
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
        let engine = fleet.engine(&name, service, "a", interval).await;
        targets.push(engine.expect("an engine starts"));
    }
    targets
}

/// Waits until a path is served.
pub async fn wait_until_served(fleet: &Fleet, path: &str) {
    wait_until("an answer", || async { call(fleet, path, b"events=1").await.status == 200 }).await;
}

/// A caller's answer.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    pub headers: reqwest::header::HeaderMap,
    /// The body as far as it came.
    pub body: Vec<u8>,
    /// The body came to its end.
    pub is_complete: bool,
    /// Longest time between two parts of the body.
    pub longest_gap: Duration,
    /// The caller's id of the attempt.
    pub attempt_id: String,
}

/// A fresh id for one attempt of a caller.
pub fn new_attempt_id() -> String {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NUMBER.fetch_add(1, Ordering::Relaxed))
}

/// A request to the fleet's daemon number `daemon`.
pub fn new_request(
    fleet: &Fleet,
    daemon: usize,
    path: &str,
    attempt_id: &str,
) -> reqwest::RequestBuilder {
    let client = reqwest::Client::builder().no_proxy().pool_max_idle_per_host(0).build();
    let url = format!("http://{}{path}", fleet.daemons[daemon].callers);
    client
        .expect("a client")
        .post(url)
        .header("host", "host.example")
        .header(ATTEMPT, attempt_id)
        .header("x-deadline-ms", "20000")
        .header("x-token-usage", "100,2000")
        .header("authorization", format!("Token {CALLER_KEY}"))
}

/// Sends a request and reads its answer.
pub async fn call(fleet: &Fleet, path: &str, body: &[u8]) -> CallerResponse {
    let attempt_id = new_attempt_id();
    let request = new_request(fleet, 0, path, &attempt_id).body(body.to_vec());
    send(request, attempt_id).await
}

/// Sends a prepared request and reads its answer.
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
    /// Fails unless the stream has exactly the events 1 to `count` of its own attempt.
    pub fn assert_stream(&self, count: u64) {
        assert_eq!(self.status, 200);
        assert!(self.is_complete, "the stream broke off: {:?}", self.text());
        let expected: String = (1..=count)
            .map(|seq| format!("id: {seq}\ndata: {}.{seq}\n\n", self.attempt_id))
            .collect();
        assert_eq!(self.text(), expected);
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
