//! Runs stand-ins and daemons as processes on loopback, for `up`, experiments and tests.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::process::Process;
use crate::role::Error;

/// Operator key of every cluster.
pub const OPERATOR_KEY: &str = "operator-key";
/// Limit for a daemon to become ready, and for a resource to be accepted.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Ports of daemons, below the ephemeral range of the system.
const DAEMON_PORTS: std::ops::Range<u16> = 10_000..30_000;
/// Distance between the first ports of two bench processes with consecutive process ids.
const PORT_STRIDE: u32 = 199;
/// Interval between two readiness checks or attempts to create a resource.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The kind of stand-in that runs a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A target to start and declare.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name of the target resource.
    pub name: String,
    /// Service that the target runs.
    pub service: String,
    /// Availability zone of the target.
    pub zone: String,
    /// Kind of the stand-in.
    pub kind: TargetKind,
    /// Additional arguments of the stand-in.
    pub arguments: Vec<String>,
    /// Additional fields of the target's specification.
    pub spec: Value,
}

impl Target {
    /// An engine with the stand-in's default sizes.
    ///
    /// ```
    /// use hornbeamloom_bench::cluster::{TargetKind, Target};
    ///
    /// let engine = Target::engine("engine-a1", "pisarz-modelu", "lodz-a");
    /// assert_eq!(engine.kind, TargetKind::Engine);
    /// assert_eq!(engine.spec["coldLimit"], 2);
    /// ```
    pub fn engine(name: &str, service: &str, zone: &str) -> Target {
        Target {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            kind: TargetKind::Engine,
            arguments: Vec::new(),
            spec: json!({"coldLimit": 2, "warmLimit": 32, "kvTokens": 20_000}),
        }
    }

    /// A plain service.
    ///
    /// ```
    /// use hornbeamloom_bench::cluster::{TargetKind, Target};
    ///
    /// let desk = Target::service("desk-a1", "biuro-zlecen", "lodz-a");
    /// assert_eq!(desk.kind, TargetKind::Service);
    /// ```
    pub fn service(name: &str, service: &str, zone: &str) -> Target {
        let spec = json!({"coldLimit": 2, "warmLimit": 64});
        Target { kind: TargetKind::Service, spec, ..Target::engine(name, service, zone) }
    }

    /// Adds arguments of the stand-in.
    ///
    /// ```
    /// use hornbeamloom_bench::cluster::Target;
    ///
    /// let engine = Target::engine("engine-a1", "pisarz-modelu", "lodz-a")
    ///     .with_arguments(&["--cold-s", "0"]);
    /// assert_eq!(engine.arguments, ["--cold-s", "0"]);
    /// ```
    pub fn with_arguments(mut self, arguments: &[&str]) -> Target {
        self.arguments.extend(arguments.iter().map(|argument| (*argument).to_owned()));
        self
    }

    /// Sets one field of the target's specification.
    ///
    /// ```
    /// use hornbeamloom_bench::cluster::Target;
    ///
    /// let engine = Target::engine("engine-a1", "pisarz-modelu", "lodz-a")
    ///     .with_spec("coldLimit", 1.into());
    /// assert_eq!(engine.spec["coldLimit"], 1);
    /// ```
    pub fn with_spec(mut self, field: &str, value: Value) -> Target {
        self.spec[field] = value;
        self
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Name of the VM that the daemon represents.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// The daemon's process.
    pub process: Process,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for operators.
    pub operator_address: SocketAddr,
    /// Address that the daemon advertises to its peers; that of a proxy in some tests.
    pub peer_address: SocketAddr,
    settings_path: PathBuf,
}

/// A running stand-in.
#[derive(Debug)]
pub struct StandIn {
    /// Name of the target, or `platform`.
    pub name: String,
    /// The stand-in's process.
    pub process: Process,
    /// Listen address.
    pub address: SocketAddr,
    arguments: Vec<String>,
}

/// A running fault proxy.
#[derive(Debug)]
pub struct Proxy {
    /// The proxy's process.
    pub process: Process,
    /// Address whose connections are forwarded.
    pub address: SocketAddr,
    /// Address that accepts faults.
    pub control: SocketAddr,
}

/// A set of processes and the directory with their settings and logs.
#[derive(Debug)]
pub struct Cluster {
    /// The platform stand-in.
    pub platform: StandIn,
    /// The stand-ins of targets, in the order of their start.
    pub targets: Vec<StandIn>,
    /// The daemons, in the order of their start.
    pub daemons: Vec<Daemon>,
    /// Address of the platform in the settings of daemons; that of a proxy in some tests.
    pub platform_address: SocketAddr,
    /// HTTP client for requests to the processes.
    pub client: reqwest::Client,
    /// Section `limits` of the settings of daemons that are started later.
    pub limits: Value,
    bench_binary: PathBuf,
    daemon_command: Vec<String>,
    dir: PathBuf,
}

impl Cluster {
    /// Starts a cluster that has only the platform stand-in.
    ///
    /// `bench_binary` is the `hornbeamloom-bench` binary, which also runs the daemons.
    ///
    /// # Errors
    ///
    /// The stand-in cannot be started or the directory cannot be created.
    pub fn new(bench_binary: &Path) -> Result<Cluster, Error> {
        let dir = create_temp_dir()?;
        let arguments = ["platform", "--listen", "127.0.0.1:0"].map(str::to_owned).to_vec();
        let platform = start_stand_in(bench_binary, "platform", arguments, &dir)?;
        Ok(Cluster {
            platform_address: platform.address,
            platform,
            targets: Vec::new(),
            daemons: Vec::new(),
            client: reqwest::Client::new(),
            limits: json!({}),
            bench_binary: bench_binary.to_owned(),
            daemon_command: vec![bench_binary.display().to_string(), "daemon".to_owned()],
            dir,
        })
    }

    /// Runs daemons from the `hornbeamloomd` binary instead.
    pub fn with_daemon_binary(mut self, daemon_binary: &Path) -> Cluster {
        self.daemon_command = vec![daemon_binary.display().to_string()];
        self
    }

    /// The directory with settings and logs.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Starts a target stand-in.
    ///
    /// # Errors
    ///
    /// The process does not start.
    pub fn start_target(&mut self, target: &Target) -> Result<SocketAddr, Error> {
        let role = match target.kind {
            TargetKind::Engine => "engine",
            TargetKind::Service => "service",
        };
        let mut arguments = [role, "--listen", "127.0.0.1:0"].map(str::to_owned).to_vec();
        arguments.extend(target.arguments.iter().cloned());
        let stand_in = start_stand_in(&self.bench_binary, &target.name, arguments, &self.dir)?;
        let address = stand_in.address;
        self.targets.push(stand_in);
        Ok(address)
    }

    /// Starts a target again at its previous address, after killing it if it still runs.
    ///
    /// # Errors
    ///
    /// There is no such target or the process does not start.
    pub fn restart_target(&mut self, name: &str) -> Result<(), Error> {
        let (bench_binary, dir) = (self.bench_binary.clone(), self.dir.clone());
        let target = self.target_mut(name)?;
        target.process.kill();
        let mut arguments = target.arguments.clone();
        arguments[2] = target.address.to_string();
        *target = start_stand_in(&bench_binary, name, arguments, &dir)?;
        Ok(())
    }

    /// The stand-in of the target `name`.
    ///
    /// # Errors
    ///
    /// There is no such target.
    pub fn target_mut(&mut self, name: &str) -> Result<&mut StandIn, Error> {
        let found = self.targets.iter_mut().find(|target| target.name == name);
        found.ok_or_else(|| Error::Failed(format!("no target is named {name}")))
    }

    /// The resource that declares `target` at `address`.
    pub fn target_resource(target: &Target, address: SocketAddr) -> Value {
        let mut spec = target.spec.clone();
        spec["service"] = json!(target.service);
        spec["zone"] = json!(target.zone);
        spec["address"] = json!(address.to_string());
        resource("Target", &target.name, spec)
    }

    /// Starts a daemon whose seeds are the first three daemons.
    ///
    /// # Errors
    ///
    /// Its settings cannot be written or the process does not start.
    pub fn start_daemon(&mut self, vm: &str, zone: &str) -> Result<(), Error> {
        let addresses = free_addresses(3)?;
        self.start_daemon_at(vm, zone, &addresses, addresses[2])
    }

    /// Starts a daemon that peers can reach only through a fault proxy.
    ///
    /// # Errors
    ///
    /// Its settings cannot be written or a process does not start.
    pub fn start_daemon_behind_proxy(&mut self, vm: &str, zone: &str) -> Result<Proxy, Error> {
        let addresses = free_addresses(3)?;
        let proxy = self.start_proxy(addresses[2])?;
        self.start_daemon_at(vm, zone, &addresses, proxy.address)?;
        Ok(proxy)
    }

    /// `peer_address` is the address that the daemon advertises to its peers.
    fn start_daemon_at(
        &mut self,
        vm: &str,
        zone: &str,
        addresses: &[SocketAddr],
        peer_address: SocketAddr,
    ) -> Result<(), Error> {
        let seeds: Vec<String> =
            self.daemons.iter().take(3).map(|daemon| daemon.peer_address.to_string()).collect();
        let platform = format!("http://{}", self.platform_address);
        let settings = json!({
            "vm": vm,
            "zone": zone,
            "listen": {
                "callers": addresses[0].to_string(),
                "operators": addresses[1].to_string(),
                "peers": addresses[2].to_string(),
            },
            "advertise": {"peers": peer_address.to_string()},
            "platform": {"table": platform, "objects": platform, "vms": platform},
            "peers": seeds,
            "keys": {"operator": [OPERATOR_KEY], "peer": ["peer-key"]},
            "settle_s": 1,
            "limits": self.limits,
        });
        let path = self.dir.join(format!("{vm}.yaml"));
        let text = serde_yaml_ng::to_string(&settings)
            .map_err(|error| Error::Failed(error.to_string()))?;
        std::fs::write(&path, text)?;
        let process = self.spawn_daemon(vm, &path)?;
        self.daemons.push(Daemon {
            vm: vm.to_owned(),
            zone: zone.to_owned(),
            process,
            caller_address: addresses[0],
            operator_address: addresses[1],
            peer_address,
            settings_path: path,
        });
        Ok(())
    }

    /// Kills a daemon and starts it again with the same settings.
    ///
    /// # Errors
    ///
    /// The process does not start.
    pub fn restart_daemon(&mut self, ix: usize) -> Result<(), Error> {
        self.daemons[ix].process.kill();
        let (vm, settings_path) =
            (self.daemons[ix].vm.clone(), self.daemons[ix].settings_path.clone());
        self.daemons[ix].process = self.spawn_daemon(&vm, &settings_path)?;
        Ok(())
    }

    fn spawn_daemon(&self, vm: &str, settings_path: &Path) -> Result<Process, Error> {
        let settings = settings_path.display().to_string();
        let mut arguments: Vec<&str> =
            self.daemon_command[1..].iter().map(String::as_str).collect();
        arguments.extend(["--config", &settings]);
        let log = self.dir.join(format!("{vm}.log"));
        Process::start_logged(Path::new(&self.daemon_command[0]), vm, &arguments, &log)
    }

    /// Starts a fault proxy in front of `upstream`.
    ///
    /// # Errors
    ///
    /// The process does not start.
    pub fn start_proxy(&self, upstream: SocketAddr) -> Result<Proxy, Error> {
        let upstream = upstream.to_string();
        let any_port = "127.0.0.1:0";
        let arguments = ["proxy", "--listen", any_port, "--control", any_port, "--to", &upstream];
        let log = self.dir.join("proxy.log");
        let mut process = Process::start(&self.bench_binary, "proxy", &arguments, &log)?;
        let address = process.read_address("proxying")?;
        let control = process.read_address("listening")?;
        Ok(Proxy { process, address, control })
    }

    /// Creates a resource through the first daemon, retrying until it is accepted.
    ///
    /// # Errors
    ///
    /// The resource was not accepted within 30 s; the message has the last response or error.
    pub async fn apply(&self, resource: &Value) -> Result<(), Error> {
        let kind = resource["kind"].as_str().unwrap_or_default().to_lowercase();
        let url = format!("http://{}/apis/v1/{kind}s", self.daemons[0].operator_address);
        let mut last_error = String::new();
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            let result =
                self.client.post(&url).bearer_auth(OPERATOR_KEY).json(resource).send().await;
            match result {
                Ok(response) if response.status().is_success() => return Ok(()),
                Ok(response) => last_error = response.text().await.unwrap_or_default(),
                Err(error) => last_error = error.to_string(),
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(Error::Failed(format!(
            "{kind} was not accepted within {READY_TIMEOUT:?}: {last_error}"
        )))
    }

    /// Waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// A daemon was not ready within 30 s.
    pub async fn wait_ready(&self) -> Result<(), Error> {
        for daemon in &self.daemons {
            let url = format!("http://{}/readyz", daemon.caller_address);
            let started = Instant::now();
            while !self.responds_ok(&url).await {
                if started.elapsed() > READY_TIMEOUT {
                    return Err(Error::Failed(format!(
                        "{} did not become ready within {READY_TIMEOUT:?}",
                        daemon.vm
                    )));
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn responds_ok(&self, url: &str) -> bool {
        matches!(self.client.get(url).send().await, Ok(response) if response.status().is_success())
    }

    /// Sends a fault to a stand-in or to a proxy's control address.
    ///
    /// # Errors
    ///
    /// The fault was not accepted.
    pub async fn inject_fault(&self, address: SocketAddr, fault: &Value) -> Result<(), Error> {
        let result = self.client.post(format!("http://{address}/_fault")).json(fault).send().await;
        match result.and_then(reqwest::Response::error_for_status) {
            Ok(_) => Ok(()),
            Err(error) => Err(Error::Failed(error.to_string())),
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // A directory that cannot be removed only takes up space.
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// A resource as a document of the resource API.
///
/// ```
/// let zone = hornbeamloom_bench::cluster::resource(
///     "AvailabilityZone",
///     "lodz-a",
///     serde_json::json!({"region": "pl-centrum"}),
/// );
/// assert_eq!(zone["metadata"]["name"], "lodz-a");
/// ```
pub fn resource(kind: &str, name: &str, spec: Value) -> Value {
    json!({
        "apiVersion": "hornbeamloom/v1",
        "kind": kind,
        "metadata": {"name": name},
        "spec": spec,
    })
}

fn start_stand_in(
    bench_binary: &Path,
    name: &str,
    arguments: Vec<String>,
    dir: &Path,
) -> Result<StandIn, Error> {
    let argv: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let log = dir.join(format!("{name}.log"));
    let mut process = Process::start(bench_binary, name, &argv, &log)?;
    let address = process.read_address("listening")?;
    Ok(StandIn { name: name.to_owned(), process, address, arguments })
}

fn create_temp_dir() -> Result<PathBuf, Error> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(|error| Error::Failed(error.to_string()))?;
    let dir = std::env::temp_dir().join(format!("hornbeamloom-{:x}", u64::from_ne_bytes(bytes)));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

/// Finds loopback addresses whose ports are free at the time of the call.
///
/// The ports lie below the ephemeral range, from which the system serves outgoing connections and
/// port 0, so that nothing else takes them before the daemon binds them. This process returns each
/// port only once.
pub(crate) fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, Error> {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let mut addresses = Vec::new();
    for _ in 0..DAEMON_PORTS.len() {
        if addresses.len() == count {
            return Ok(addresses);
        }
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)
            + std::process::id().wrapping_mul(PORT_STRIDE);
        let port = DAEMON_PORTS.start + (offset % DAEMON_PORTS.len() as u32) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            addresses.push(address);
        }
    }
    Err(Error::Failed("too few free loopback ports".to_owned()))
}
