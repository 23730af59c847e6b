//! Measures the control overhead of each daemon and how it grows with the number of daemons.
//!
//! Each fleet runs without caller load. All daemons but the first reach the platform through a
//! fault proxy, so that the propagation of a change through peers alone can also be measured.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use futures_util::future;
use serde_json::{json, Value};
use tokio::signal::unix::{signal, SignalKind};

use crate::cluster::{resource, Cluster, Daemon, Proxy, Target, OPERATOR_KEY};
use crate::scale_record::{self, FleetResult, Propagation, ScaleRecord, Summary};
use crate::{probe, role, runtime};

/// Largest size of a fleet; together with the stand-ins it stays below 300 processes.
const DAEMONS_MAX: usize = 240;
/// Number of daemons that are started before waiting until all are ready.
const START_BATCH_SIZE: usize = 9;
/// Largest fleet with three availability zones; larger ones have six.
const THREE_ZONE_DAEMONS_MAX: usize = 3;
/// Names of the services; each has one pool in every zone.
const SERVICES: [&str; 2] = ["biuro-zlecen", "delivery-app"];
/// Number of target resources in each pool.
const TARGETS_PER_POOL: usize = 2;
/// Number of target processes, which all target resources share.
const TARGET_PROCESSES: usize = 3;
/// Time limit for every pool to have an owner.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between readiness and the idle phase: joins and takeovers are announced for about 10 s.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// Number of changes measured in each phase: with the store reachable for all daemons, and with
/// the store reachable for the first one only.
const CHANGES_PER_PHASE: u64 = 10;
/// Interval at which a daemon's status is polled.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for the propagation of a change; the target at 380 VMs is 14 s.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two changes. It is not a multiple of any polling interval, so that changes fall
/// into different phases of the intervals.
const CHANGE_INTERVAL: Duration = Duration::from_millis(730);
/// Time in which daemons detect the partition: longer than a lease is held.
const PARTITION_SETTLE_TIME: Duration = Duration::from_secs(6);

inventory::submit! {
    role::Plugin { name: "scale", help: "measure control overhead by fleet size", run }
}

/// Measure control overhead and propagation for several fleet sizes.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// number of daemons of each fleet, separated by commas
    #[argh(option, default = "\"3,9,27,81\".to_owned()")]
    daemons: String,
    /// duration of the measurement without load in seconds
    #[argh(option, default = "20")]
    stretch_s: u64,
    /// file to write the record to
    #[argh(option, default = "PathBuf::from(\"out/scale.json\")")]
    out: PathBuf,
    /// mark the record as a trial on a machine with other load
    #[argh(switch)]
    trial: bool,
}

fn run(arguments: &[&str]) -> Result<ExitCode, role::Error> {
    let args: Args = runtime::parse_args("scale", arguments)?;
    let fleet_sizes = parse_fleet_sizes(&args.daemons)?;
    let idle_duration = Duration::from_secs(args.stretch_s.max(1));
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let fleets = runtime::block_on(async {
        let mut sigterm = signal(SignalKind::terminate())?;
        // Dropping the future drops its cluster, which ends all processes of the cluster.
        tokio::select! {
            fleets = measure_fleets(&fleet_sizes, idle_duration) => fleets,
            _ = tokio::signal::ctrl_c() => Err(role::Error::Failed("interrupted".to_owned())),
            _ = sigterm.recv() => Err(role::Error::Failed("terminated".to_owned())),
        }
    })?;
    let record = ScaleRecord {
        trial: args.trial,
        load_average: load.trim().to_owned(),
        fleets,
        ..ScaleRecord::default()
    }
    .with_growth();
    write_record(&record, &args.out)?;
    println!("{}", scale_record::render(&record));
    Ok(ExitCode::SUCCESS)
}

fn parse_fleet_sizes(text: &str) -> Result<Vec<usize>, role::Error> {
    let sizes: Result<Vec<usize>, _> = text.split(',').map(|size| size.trim().parse()).collect();
    let sizes = sizes.map_err(|error| role::Error::Usage(format!("--daemons {text}: {error}")))?;
    match sizes.iter().all(|size| (1..=DAEMONS_MAX).contains(size)) {
        true => Ok(sizes),
        false => Err(role::Error::Usage(format!(
            "--daemons: fleet sizes must be between 1 and {DAEMONS_MAX}"
        ))),
    }
}

fn write_record(record: &ScaleRecord, path: &Path) -> Result<(), role::Error> {
    if let Some(dir) = path.parent() {
        std::fs::create_dir_all(dir)?;
    }
    let text = serde_json::to_string_pretty(record).map_err(probe::failed)?;
    Ok(std::fs::write(path, text)?)
}

async fn measure_fleets(
    fleet_sizes: &[usize],
    idle_duration: Duration,
) -> Result<Vec<FleetResult>, role::Error> {
    let mut fleets = Vec::new();
    for daemons in fleet_sizes {
        eprintln!("measuring a fleet of {daemons} daemons");
        fleets.push(measure_fleet(*daemons, idle_duration).await?);
    }
    Ok(fleets)
}

async fn measure_fleet(
    daemons: usize,
    idle_duration: Duration,
) -> Result<FleetResult, role::Error> {
    let zones = zone_names(daemons);
    let mut cluster = Cluster::new(&std::env::current_exe()?)?;
    let proxy = start_fleet(&mut cluster, daemons, &zones).await?;
    let mut fleet = FleetResult {
        daemons,
        zones: zones.len(),
        pools: zones.len() * SERVICES.len(),
        idle_s: idle_duration.as_secs_f64(),
        ..FleetResult::default()
    };
    let owners = wait_for_owners(&cluster, fleet.pools).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    measure_idle(&cluster, &owners, idle_duration, &mut fleet).await?;
    fleet.connected = measure_changes(&cluster, 0).await?;
    cluster.inject_fault(proxy.control, &json!({"refuse": true, "cut": true})).await?;
    tokio::time::sleep(PARTITION_SETTLE_TIME).await;
    fleet.partitioned = measure_changes(&cluster, CHANGES_PER_PHASE).await?;
    fleet.from_peers = count_from_peers(&cluster).await;
    Ok(fleet)
}

fn zone_names(daemons: usize) -> Vec<String> {
    let count = if daemons <= THREE_ZONE_DAEMONS_MAX { 3 } else { 6 };
    (1..=count).map(|number| format!("zone-{number}")).collect()
}

async fn start_fleet(
    cluster: &mut Cluster,
    daemons: usize,
    zones: &[String],
) -> Result<Proxy, role::Error> {
    let vms: Vec<String> = (0..daemons).map(|ix| format!("entry-{ix:03}")).collect();
    let vm_list: Vec<Value> = vms.iter().map(|vm| json!({"name": vm, "leaving": false})).collect();
    let platform = cluster.platform.address;
    cluster.inject_fault(platform, &json!({"vms": vm_list})).await?;
    let proxy = cluster.start_proxy(platform)?;
    cluster.start_daemon(&vms[0], &zones[0])?;
    cluster.platform_address = proxy.address;
    create_resources(cluster, zones).await?;
    cluster.wait_ready().await?;
    for (ix, vm) in vms.iter().enumerate().skip(1) {
        cluster.start_daemon(vm, &zones[ix % zones.len()])?;
        if ix % START_BATCH_SIZE == 0 {
            cluster.wait_ready().await?;
        }
    }
    cluster.wait_ready().await?;
    Ok(proxy)
}

async fn create_resources(cluster: &mut Cluster, zones: &[String]) -> Result<(), role::Error> {
    for (ix, zone) in zones.iter().enumerate() {
        let region = ["pl-centrum", "riga"][ix * 2 / zones.len()];
        cluster.apply(&resource("AvailabilityZone", zone, json!({"region": region}))).await?;
    }
    cluster.apply(&resource("Organisation", "parlour-1", json!({"weight": 1}))).await?;
    let mut addresses = Vec::new();
    for ix in 0..TARGET_PROCESSES {
        let target = Target::service(&format!("process-{ix}"), SERVICES[0], &zones[0]);
        addresses.push(cluster.start_target(&target)?);
    }
    for service in SERVICES {
        let spec = json!({"protocol": "plain"});
        cluster.apply(&resource("Service", service, spec)).await?;
        for (ix, zone) in zones.iter().enumerate() {
            for number in 0..TARGETS_PER_POOL {
                let name = format!("{service}-{zone}-{number}");
                let target = Target::service(&name, service, zone);
                let address = addresses[(ix + number) % TARGET_PROCESSES];
                cluster.apply(&Cluster::target_resource(&target, address)).await?;
            }
        }
    }
    Ok(())
}

/// Waits until every daemon knows all VMs and an owner of every pool, and returns the owners.
async fn wait_for_owners(cluster: &Cluster, pools: usize) -> Result<Vec<String>, role::Error> {
    let started = Instant::now();
    let mut owners = Vec::new();
    for daemon in &cluster.daemons {
        loop {
            let status = probe::status(&cluster.client, daemon).await?;
            owners = pool_owners(&status);
            let known_vms = status["vms"].as_array().map_or(0, Vec::len);
            if owners.len() == pools && known_vms == cluster.daemons.len() {
                break;
            }
            if started.elapsed() > OWNERSHIP_TIMEOUT {
                return Err(role::Error::Failed(format!(
                    "owners not known in time: {} knows {} of {pools} and {known_vms} of {} VMs",
                    daemon.vm,
                    owners.len(),
                    cluster.daemons.len()
                )));
            }
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        }
    }
    Ok(owners)
}

fn pool_owners(status: &Value) -> Vec<String> {
    let owners = status["owners"].as_array().into_iter().flatten();
    owners.filter_map(|owner| owner["vm"].as_str().map(str::to_owned)).collect()
}

/// Measures the fleet without load.
async fn measure_idle(
    cluster: &Cluster,
    owners: &[String],
    idle_duration: Duration,
    fleet: &mut FleetResult,
) -> Result<(), role::Error> {
    let stats = platform_stats(cluster).await?;
    let started = Instant::now();
    let before = sample_daemons(cluster).await?;
    tokio::time::sleep(idle_duration.saturating_sub(started.elapsed())).await;
    let stats = (stats, platform_stats(cluster).await?);
    let seconds = started.elapsed().as_secs_f64();
    let after = sample_daemons(cluster).await?;
    for name in ["requests", "reads", "writes"] {
        let count = |page: &Value| page[name].as_f64().unwrap_or_default();
        let rate = (count(&stats.1) - count(&stats.0)) / seconds;
        fleet.platform.insert(format!("{name}_per_s"), rate);
    }
    fleet.platform.insert("vm_list_bytes".to_owned(), vm_list_bytes(cluster).await?);
    let metrics: Vec<BTreeMap<String, f64>> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| probe::usage_between(before, after, seconds))
        .collect();
    let is_owner: Vec<bool> =
        cluster.daemons.iter().map(|daemon| owners.contains(&daemon.vm)).collect();
    let summarize_where = |matches: fn(bool) -> bool| {
        let daemons = metrics.iter().zip(&is_owner);
        summarize(daemons.filter(|(_, is_owner)| matches(**is_owner)))
    };
    fleet.metrics = summarize_where(|_| true);
    fleet.owners = summarize_where(|is_owner| is_owner);
    fleet.non_owners = summarize_where(|is_owner| !is_owner);
    Ok(())
}

async fn sample_daemons(cluster: &Cluster) -> Result<Vec<probe::Usage>, role::Error> {
    let samples = cluster.daemons.iter().map(|daemon| probe::read_usage(&cluster.client, daemon));
    future::try_join_all(samples).await
}

/// Summarizes each metric; a daemon without the metric counts as zero.
fn summarize<'a>(
    daemons: impl Iterator<Item = (&'a BTreeMap<String, f64>, &'a bool)>,
) -> BTreeMap<String, Summary> {
    let daemons: Vec<&BTreeMap<String, f64>> = daemons.map(|(metrics, _)| metrics).collect();
    let names = daemons.iter().flat_map(|metrics| metrics.keys());
    names
        .map(|name| {
            let values: Vec<f64> = daemons
                .iter()
                .map(|metrics| metrics.get(name).copied().unwrap_or_default())
                .collect();
            (name.clone(), Summary::new(&values))
        })
        .collect()
}

async fn platform_stats(cluster: &Cluster) -> Result<Value, role::Error> {
    let url = format!("http://{}/_stats", cluster.platform.address);
    let response = cluster.client.get(url).send().await;
    response.map_err(probe::failed)?.json().await.map_err(probe::failed)
}

async fn vm_list_bytes(cluster: &Cluster) -> Result<f64, role::Error> {
    let url = format!("http://{}/v1/vms", cluster.platform.address);
    let response = cluster.client.get(url).send().await;
    let body = response.map_err(probe::failed)?.bytes().await;
    Ok(body.map_err(probe::failed)?.len() as f64)
}

/// Measures the propagation of several changes to one resource, one after the other.
async fn measure_changes(cluster: &Cluster, offset: u64) -> Result<Vec<Propagation>, role::Error> {
    let mut changes = Vec::new();
    for number in 1..=CHANGES_PER_PHASE {
        changes.push(measure_change(cluster, offset + number + 1).await?);
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    Ok(changes)
}

async fn measure_change(cluster: &Cluster, weight: u64) -> Result<Propagation, role::Error> {
    let url =
        format!("http://{}/apis/v1/organisations/parlour-1", cluster.daemons[0].operator_address);
    let started = Instant::now();
    let result = cluster
        .client
        .patch(url)
        .bearer_auth(OPERATOR_KEY)
        .json(&json!({"spec": {"weight": weight}}))
        .send()
        .await;
    let response = result.and_then(reqwest::Response::error_for_status).map_err(probe::failed)?;
    let accepted = Instant::now();
    let organisation: Value = response.json().await.map_err(probe::failed)?;
    let revision = organisation["status"]["acceptedRevision"]
        .as_u64()
        .ok_or_else(|| probe::failed("response to the change has no status.acceptedRevision"))?;
    let propagation_times = cluster
        .daemons
        .iter()
        .map(|daemon| propagation_time(&cluster.client, daemon, revision, accepted));
    let propagation_times = future::join_all(propagation_times).await;
    let slowest: Option<Vec<Duration>> = propagation_times.iter().copied().collect();
    let slowest = slowest.and_then(|times| times.into_iter().max());
    Ok(Propagation {
        write_ms: (accepted - started).as_secs_f64() * 1_000.0,
        propagation_ms: slowest.map(|slowest| slowest.as_secs_f64() * 1_000.0),
        reached: propagation_times.iter().flatten().count(),
    })
}

/// Time from `accepted` until a daemon was first observed with the revision; `None` after the time
/// limit.
async fn propagation_time(
    client: &reqwest::Client,
    daemon: &Daemon,
    revision: u64,
    accepted: Instant,
) -> Option<Duration> {
    while accepted.elapsed() < PROPAGATION_TIMEOUT {
        if let Ok(status) = probe::status(client, daemon).await {
            if status["revision"].as_u64() >= Some(revision) {
                return Some(accepted.elapsed());
            }
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
    None
}

async fn count_from_peers(cluster: &Cluster) -> usize {
    let statuses = cluster.daemons.iter().map(|daemon| probe::status(&cluster.client, daemon));
    let statuses = future::join_all(statuses).await;
    statuses.iter().flatten().filter(|status| status["source"] == "peer").count()
}
