//! A daemon with low limits, and what is checked of it.

use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hornbeamloom_bench::cluster::{Cluster, Target as ServiceTarget};
use hornbeamloom_bench::fleet::{config, Fleet, ATTEMPT_ID_HEADER};
use hornbeamloom_bench::mock_engine::Engine;
use hornbeamloom_bench::process::Process;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::crowd::Target;
use crate::{cluster, fleet};

/// Soft and hard limit of the daemon's descriptors.
const DESCRIPTORS: usize = 256;
/// Descriptors that must stay free for connections to targets, other VMs and the platform.
const FREE_DESCRIPTORS: usize = DESCRIPTORS / 8;
/// Longest body that callers may send.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// Memory in which bodies may be buffered, in MiB.
const BUFFER_MB: u64 = 4;
/// Memory of a process in a debug build without requests: its code, threads and tables, in MiB.
const PROCESS_MB: u64 = 32;
/// Limit on the resident memory in MiB: three times the buffers, as the operations manual states, and
/// the rest of the process. It is under 70 % of the 88 MB of the smallest VM.
const MAX_RESIDENT_MB: u64 = 3 * BUFFER_MB + PROCESS_MB;
/// Time limit for an ordinary request. Only a daemon that serves nobody reaches it.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for one attempt of an ordinary request.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// A port of the daemon, and the interface that it is started with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// Callers of the own interface.
    OwnCallers,
    /// Callers of the platform's adapter.
    AdapterCallers,
    /// The readiness probe of the platform's adapter.
    Readiness,
    /// Operators and metrics.
    Operators,
    /// Other VMs.
    Peers,
}

/// The processes around the daemon under test.
enum Processes {
    Own(Box<Cluster>),
    Adapter(Box<Fleet>, #[allow(dead_code)] Vec<Engine>),
}

/// The daemon under test.
pub struct Site {
    port: Port,
    processes: Processes,
}

impl Site {
    /// Starts a daemon with low limits, and a target that it knows.
    pub async fn start(port: Port) -> Site {
        let program = write_limiting_script();
        let processes = match port {
            Port::AdapterCallers | Port::Readiness => start_adapter(&program).await,
            Port::OwnCallers | Port::Operators | Port::Peers => {
                start_own(&program, json!({})).await
            }
        };
        Site { port, processes }
    }

    /// Starts a daemon with the own interface and further limits.
    pub async fn start_with_limits(port: Port, limits: Value) -> Site {
        Site { port, processes: start_own(&write_limiting_script(), limits).await }
    }

    /// The metrics of a daemon with the own interface.
    pub async fn metrics(&self) -> String {
        let Processes::Own(cluster) = &self.processes else {
            return String::new();
        };
        let url = format!("http://{}/metrics", cluster.daemons[0].operator_address);
        let Ok(response) = reqwest::Client::new().get(url).send().await else {
            return String::new();
        };
        response.text().await.unwrap_or_default()
    }

    /// The address of the port.
    pub fn address(&self) -> SocketAddr {
        match (&self.processes, self.port) {
            (Processes::Own(cluster), Port::Operators) => cluster.daemons[0].operator_address,
            (Processes::Own(cluster), Port::Peers) => cluster.daemons[0].peer_address,
            (Processes::Own(cluster), _) => cluster.daemons[0].caller_address,
            (Processes::Adapter(fleet, _), Port::Readiness) => fleet.daemons[0].readiness_address,
            (Processes::Adapter(fleet, _), _) => fleet.daemons[0].caller_address,
        }
    }

    /// Requests that the port serves, that it refuses, and that have no route. Callers have a key:
    /// they are customers. Nobody else has one.
    pub fn targets(&self) -> Vec<Target> {
        let caller = format!("Host: x\r\nAuthorization: Bearer {}\r\n", cluster::CALLER_KEY);
        let adapter_caller = format!(
            "Host: host.example\r\n{ATTEMPT_ID_HEADER}: 00000000000000ff\r\n\
             X-Deadline-Ms: 20000\r\nAuthorization: Token {}\r\n",
            fleet::CALLER_KEY
        );
        let (lines, fields): (&[&str], String) = match self.port {
            Port::OwnCallers => (
                &[
                    "POST /v1/completions HTTP/1.1",
                    "POST /services/biuro-zlecen/x HTTP/1.1",
                    "POST /nothing HTTP/1.1",
                    "GET /readyz HTTP/1.1",
                    "GET /metrics HTTP/1.1",
                ],
                caller,
            ),
            Port::AdapterCallers => (
                &["POST /order/1 HTTP/1.1", "POST /draft/1 HTTP/1.1", "POST /nothing HTTP/1.1"],
                adapter_caller,
            ),
            Port::Readiness => (
                &["GET /hornbeamloom/readyz HTTP/1.1", "POST /nothing HTTP/1.1"],
                "Host: x\r\n".to_owned(),
            ),
            Port::Operators => (
                &[
                    "GET /metrics HTTP/1.1",
                    "GET /readyz HTTP/1.1",
                    "POST /apis/v1/services HTTP/1.1",
                    "POST /nothing HTTP/1.1",
                ],
                "Host: x\r\n".to_owned(),
            ),
            Port::Peers => (
                &[
                    "GET /peers HTTP/1.1",
                    "GET /targets/engine-a1 HTTP/1.1",
                    "POST /nothing HTTP/1.1",
                ],
                UPGRADE_FIELDS.to_owned(),
            ),
        };
        lines.iter().map(|line| Target { line, fields: fields.clone() }).collect()
    }

    fn process(&self) -> &Process {
        match &self.processes {
            Processes::Own(cluster) => &cluster.daemons[0].process,
            Processes::Adapter(fleet, _) => &fleet.daemons[0].process,
        }
    }

    /// Starts to sample the number of open descriptors.
    pub fn watch_descriptors(&self) -> DescriptorWatch {
        let folder = PathBuf::from(format!("/proc/{}/fd", self.process().id()));
        let (stop, mut stopped) = tokio::sync::oneshot::channel();
        let task = tokio::spawn(async move {
            let mut most = 0;
            loop {
                let entries = std::fs::read_dir(&folder).map_or(0, Iterator::count);
                most = most.max(entries);
                if timeout(SAMPLE_INTERVAL, &mut stopped).await.is_ok() {
                    return most;
                }
            }
        });
        DescriptorWatch { stop, task }
    }

    /// Sends ordinary requests until one is answered at the port and one by a target.
    pub async fn answers_ordinary_request(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < ORDINARY_TIMEOUT {
            let served = timeout(ATTEMPT_TIMEOUT, self.serves_caller());
            let answered = timeout(ATTEMPT_TIMEOUT, self.answers_at_port());
            if served.await == Ok(true) && answered.await == Ok(true) {
                return true;
            }
            sleep(RETRY_INTERVAL).await;
        }
        false
    }

    /// Sends one ordinary request.
    pub async fn serves_caller_at_once(&self) -> bool {
        timeout(ATTEMPT_TIMEOUT, self.serves_caller()).await == Ok(true)
    }

    async fn serves_caller(&self) -> bool {
        match &self.processes {
            Processes::Own(cluster) => {
                let url = format!("http://{}/v1/completions", cluster.daemons[0].caller_address);
                let prompt = json!({"model": cluster::MODEL_SERVICE, "prompt": "len=2 tag=t"});
                let request = reqwest::Client::new().post(url).bearer_auth(cluster::CALLER_KEY);
                let sent = request.json(&prompt).send().await;
                sent.is_ok_and(|response| response.status().is_success())
            }
            Processes::Adapter(fleet, _) => {
                fleet::call(fleet, "/order/1", b"x").await.status == 200
            }
        }
    }

    async fn answers_at_port(&self) -> bool {
        let (request, expected) = match self.port {
            Port::OwnCallers => ("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(), 200),
            Port::AdapterCallers => return true,
            Port::Readiness => {
                ("GET /hornbeamloom/readyz HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(), 200)
            }
            Port::Operators => ("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(), 200),
            Port::Peers => (
                format!(
                    "GET /peers HTTP/1.1\r\nAuthorization: Bearer peer-key\r\n{UPGRADE_FIELDS}\r\n"
                ),
                101,
            ),
        };
        let status = first_line(self.address(), &request).await;
        status.is_some_and(|line| line.starts_with(&format!("HTTP/1.1 {expected} ")))
    }

    /// Number of panics in the daemon's log.
    pub fn panics(&self) -> usize {
        let log = match &self.processes {
            Processes::Own(cluster) => cluster.dir().join("entry-a1.log"),
            Processes::Adapter(fleet, _) => fleet.dir().join("vm-1.log"),
        };
        let text = std::fs::read(log).expect("the log is read");
        String::from_utf8_lossy(&text).matches("panicked at").count()
    }

    /// Panics unless the daemon lives, has stayed within its limits and has answered.
    pub fn assert_survived(&self, most_descriptors: usize, is_answered: bool) {
        let resident_mb = self.process().peak_resident_mb();
        let figures = format!(
            "peak memory {resident_mb:?} of {MAX_RESIDENT_MB} MB, {most_descriptors} of {} \
             descriptors, answered: {is_answered}",
            DESCRIPTORS - FREE_DESCRIPTORS
        );
        println!("{figures}");
        assert!(resident_mb.is_some_and(|mb| mb <= MAX_RESIDENT_MB), "{figures}");
        assert!(most_descriptors <= DESCRIPTORS - FREE_DESCRIPTORS, "{figures}");
        assert!(is_answered, "{figures}");
    }
}

const UPGRADE_FIELDS: &str = "Host: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
                              Sec-WebSocket-Version: 13\r\n\
                              Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n";

/// Samples of the number of open descriptors.
pub struct DescriptorWatch {
    stop: tokio::sync::oneshot::Sender<()>,
    task: JoinHandle<usize>,
}

impl DescriptorWatch {
    /// Returns the largest number so far.
    pub async fn finish(self) -> usize {
        let _ = self.stop.send(());
        self.task.await.expect("the task does not panic")
    }
}

/// Sends a request on a connection of its own and returns the first line of the response.
pub async fn first_line(address: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut received = Vec::new();
    while !received.contains(&b'\n') {
        if stream.read_buf(&mut received).await.ok()? == 0 {
            return None;
        }
    }
    String::from_utf8_lossy(&received).lines().next().map(str::to_owned)
}

/// Writes a script that starts the daemon with [`DESCRIPTORS`] descriptors, in the same process.
fn write_limiting_script() -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("hostile-{}-daemon.sh", std::process::id()));
    let daemon = env!("CARGO_BIN_EXE_hornbeamloomd");
    let script = format!("#!/bin/sh\nulimit -n {DESCRIPTORS}\nexec '{daemon}' \"$@\"\n");
    if !path.exists() {
        std::fs::write(&path, script).expect("the script is written");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755))
            .expect("the script becomes executable");
    }
    path
}

async fn start_own(program: &Path, limits: Value) -> Processes {
    let mut site = cluster::start_platform().with_daemon_binary(program);
    site.limits = limits;
    site.limits["body_bytes"] = MAX_BODY_BYTES.into();
    site.limits["buffer_bytes"] = (BUFFER_MB << 20).into();
    site.start_daemon("entry-a1", "lodz-a").expect("the daemon starts");
    cluster::declare_resources(&site, &[("entry-a1", "lodz-a")]).await;
    let engine = cluster::warm_engine("engine-a1", "lodz-a");
    let service = ServiceTarget::service("service-a1", cluster::PLAIN_SERVICE, "lodz-a");
    cluster::add_targets(&mut site, &[engine, service]).await;
    Processes::Own(Box::new(site))
}

async fn start_adapter(program: &Path) -> Processes {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("hostile-{}-{number}", std::process::id()));
    let mut site = Fleet::new(program, &folder).await.expect("the store starts");
    site.buffer_bytes = Some(BUFFER_MB << 20);
    site.start_daemon("vm-1", "a").expect("the daemon starts");
    let mut config = config(1, &[fleet::CALLER_KEY]);
    config["limits"]["max_body_bytes"] = MAX_BODY_BYTES.into();
    site.put_config(&config);
    let targets = fleet::start_plain_targets(&site, 1).await;
    Processes::Adapter(Box::new(site), targets)
}
