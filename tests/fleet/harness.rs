//! What the tests of the platform's adapter share.

use std::future::Future;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hornbeamloom_bench::fleet::{config, Fleet, ATTEMPT_ID_HEADER};
use hornbeamloom_bench::mock_engine::Engine;

/// The caller's key.
pub const KEY: &str = "k1";
/// Time between two events of a stream.
pub const PACE: Duration = Duration::from_millis(20);
/// Time that a whole answer takes.
pub const WORK: Duration = Duration::from_millis(20);
/// Longest wait for a state that must come; only a hanging system reaches it.
pub const DEADLINE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(50);

/// Runs a test on its own runtime.
pub fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime starts").block_on(test);
}

/// Waits until a condition holds.
pub async fn eventually<F>(what: &str, mut is_so: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let started = Instant::now();
    while !is_so().await {
        assert!(started.elapsed() < DEADLINE, "{what} did not come");
        tokio::time::sleep(POLL).await;
    }
}

/// A fleet of one daemon in zone `a`, with the standard configuration and no targets.
pub async fn fleet() -> Fleet {
    let fleet = bare().await;
    fleet.put_config(&config(1, &[KEY, "k2"]));
    fleet
}

/// A fleet of one daemon in zone `a` whose generations have standbys.
pub async fn fleet_with_standbys() -> Fleet {
    let fleet = start_fleet(90).await;
    fleet.put_config(&config(1, &[KEY]));
    fleet
}

/// A fleet of one daemon in zone `a` without a configuration.
pub async fn bare() -> Fleet {
    start_fleet(0).await
}

async fn start_fleet(standby_percent: u32) -> Fleet {
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
pub async fn models(fleet: &Fleet, count: usize) -> Vec<Engine> {
    let engines = start(fleet, "m", "model", count, PACE).await;
    serves(fleet, "/draft/warm").await;
    engines
}

/// Back ends `d1`, `d2`, ... in zone `a`, ready to take requests.
pub async fn desks(fleet: &Fleet, count: usize) -> Vec<Engine> {
    let desks = start(fleet, "d", "desk", count, WORK).await;
    serves(fleet, "/look/warm").await;
    desks
}

async fn start(
    fleet: &Fleet,
    prefix: &str,
    service: &str,
    count: usize,
    interval: Duration,
) -> Vec<Engine> {
    let mut engines = Vec::new();
    for number in 1..=count {
        let name = format!("{prefix}{number}");
        let engine = fleet.start_engine(&name, service, "a", interval).await;
        engines.push(engine.expect("an engine starts"));
    }
    engines
}

/// Waits until a path is served.
pub async fn serves(fleet: &Fleet, path: &str) {
    eventually("an answer", || async { call(fleet, path, b"events=1").await.status == 200 }).await;
}

/// A caller's answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: reqwest::header::HeaderMap,
    /// The body as far as it came.
    pub body: Vec<u8>,
    /// The body came to its end.
    pub is_whole: bool,
    /// Longest time between two parts of the body.
    pub longest_gap: Duration,
    /// The caller's id of the attempt.
    pub attempt: String,
}

/// A fresh id for one attempt of a caller.
pub fn attempt() -> String {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NUMBER.fetch_add(1, Ordering::Relaxed))
}

/// A request to the fleet's daemon number `daemon`.
pub fn request(fleet: &Fleet, daemon: usize, path: &str, attempt: &str) -> reqwest::RequestBuilder {
    let client = reqwest::Client::builder().no_proxy().pool_max_idle_per_host(0).build();
    let url = format!("http://{}{path}", fleet.daemons[daemon].caller_address);
    client
        .expect("a client")
        .post(url)
        .header("host", "host.example")
        .header(ATTEMPT_ID_HEADER, attempt)
        .header("x-deadline-ms", "20000")
        .header("x-token-usage", "100,2000")
        .header("authorization", format!("Token {KEY}"))
}

/// Sends a request and reads its answer.
pub async fn call(fleet: &Fleet, path: &str, body: &[u8]) -> Answer {
    let attempt = attempt();
    let request = request(fleet, 0, path, &attempt).body(body.to_vec());
    read(request, attempt).await
}

/// Sends a prepared request and reads its answer.
pub async fn read(request: reqwest::RequestBuilder, attempt: String) -> Answer {
    let mut answer = Answer {
        status: 0,
        headers: Default::default(),
        body: Vec::new(),
        is_whole: false,
        longest_gap: Duration::ZERO,
        attempt,
    };
    let Ok(mut response) = request.send().await else {
        return answer;
    };
    answer.status = response.status().as_u16();
    answer.headers = response.headers().clone();
    let mut last = Instant::now();
    loop {
        let part = response.chunk().await;
        answer.longest_gap = answer.longest_gap.max(last.elapsed());
        last = Instant::now();
        match part {
            Ok(Some(part)) => answer.body.extend_from_slice(&part),
            Ok(None) => {
                answer.is_whole = true;
                return answer;
            }
            Err(_) => return answer,
        }
    }
}

impl Answer {
    /// Fails unless the stream has exactly the events 1 to `count` of its own attempt.
    pub fn assert_stream(&self, count: u64) {
        assert_eq!(self.status, 200);
        assert!(self.is_whole, "the stream broke off: {:?}", self.text());
        let expected: String =
            (1..=count).map(|seq| format!("id: {seq}\ndata: {}.{seq}\n\n", self.attempt)).collect();
        assert_eq!(self.text(), expected);
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
