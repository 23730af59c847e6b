//! Measures what control costs each daemon, and how that grows with the number of daemons.
//!
//! Each fleet runs without caller load. All daemons but the first reach the platform through a
//! fault proxy, so that a change can also be followed where it travels between peers alone.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use futures_util::future;
use serde_json::{json, Value};
use tokio::signal::unix::{signal, SignalKind};

use crate::cluster::{resource, Cluster, Daemon, Proxy, Target, OPERATOR_KEY};
use crate::slope::{self, Change, Fleet, Record, Spread};
use crate::{probe, role, runtime};

/// Daemons of one run at most; with the stand-ins they stay below 300 processes.
const DAEMONS_MAX: usize = 240;
/// Daemons that start at the same time.
const START_BATCH: usize = 9;
/// Fleets with more daemons have six zones.
const SMALL_FLEET: usize = 3;
/// Services, each with one pool a zone.
const SERVICES: [&str; 2] = ["biuro-zlecen", "delivery-app"];
/// Target resources in each pool.
const POOL_TARGETS: usize = 2;
/// Target processes, shared by all target resources.
const PROCESSES: usize = 3;
/// How long pools may take to have owners.
const OWNED_MAX: Duration = Duration::from_secs(60);
/// Time between readiness and the stretch: joins and take-overs are told for some 10 s.
const SETTLE: Duration = Duration::from_secs(12);
/// Changes followed with the store reachable, and again without.
const CHANGES: u64 = 10;
/// Time between two looks at a daemon's revision.
const LOOK: Duration = Duration::from_millis(50);
/// A change is given up after this; the target at 380 VMs is 14 s.
const CHANGE_MAX: Duration = Duration::from_secs(30);
/// Time between two changes; not a multiple of any polling interval, so that phases differ.
const CHANGE_PAUSE: Duration = Duration::from_millis(730);
/// Time for daemons to notice the cut: longer than a lease is held.
const CUT_SETTLE: Duration = Duration::from_secs(6);

inventory::submit! {
    role::Plugin { name: "scale", help: "measure control overhead by fleet size", run }
}

/// Measure control overhead and propagation for several fleet sizes.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// daemons of each fleet, separated by commas
    #[argh(option, default = "\"3,9,27,81\".to_owned()")]
    daemons: String,
    /// length of the stretch without load in seconds
    #[argh(option, default = "20")]
    stretch_s: u64,
    /// file for the record
    #[argh(option, default = "PathBuf::from(\"out/scale.json\")")]
    out: PathBuf,
    /// mark the record as a trial on a machine that others use
    #[argh(switch)]
    trial: bool,
}

fn run(words: &[&str]) -> Result<ExitCode, role::Error> {
    let args: Args = runtime::parse_args("scale", words)?;
    let sizes = sizes(&args.daemons)?;
    let stretch = Duration::from_secs(args.stretch_s.max(1));
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let fleets = runtime::block_on(async {
        let mut end = signal(SignalKind::terminate())?;
        // Dropping the measurement drops its cluster, which ends every process of it.
        tokio::select! {
            fleets = measure_all(&sizes, stretch) => fleets,
            _ = tokio::signal::ctrl_c() => Err(role::Error::Failed("interrupted".to_owned())),
            _ = end.recv() => Err(role::Error::Failed("terminated".to_owned())),
        }
    })?;
    let record = Record {
        trial: args.trial,
        load_average: load.trim().to_owned(),
        fleets,
        ..Record::default()
    }
    .with_growth();
    write(&record, &args.out)?;
    println!("{}", slope::text(&record));
    Ok(ExitCode::SUCCESS)
}

fn sizes(text: &str) -> Result<Vec<usize>, role::Error> {
    let sizes: Result<Vec<usize>, _> = text.split(',').map(|size| size.trim().parse()).collect();
    let sizes = sizes.map_err(|error| role::Error::Usage(format!("--daemons {text}: {error}")))?;
    match sizes.iter().all(|size| (1..=DAEMONS_MAX).contains(size)) {
        true => Ok(sizes),
        false => Err(role::Error::Usage(format!("--daemons takes 1 to {DAEMONS_MAX}"))),
    }
}

fn write(record: &Record, path: &Path) -> Result<(), role::Error> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder)?;
    }
    let text = serde_json::to_string_pretty(record).map_err(probe::failed)?;
    Ok(std::fs::write(path, text)?)
}

async fn measure_all(sizes: &[usize], stretch: Duration) -> Result<Vec<Fleet>, role::Error> {
    let mut fleets = Vec::new();
    for size in sizes {
        eprintln!("{size} daemons");
        fleets.push(measure(*size, stretch).await?);
    }
    Ok(fleets)
}

async fn measure(size: usize, stretch: Duration) -> Result<Fleet, role::Error> {
    let zones = zones(size);
    let mut cluster = Cluster::new(&std::env::current_exe()?)?;
    let proxy = start(&mut cluster, size, &zones).await?;
    let mut fleet = Fleet {
        daemons: size,
        zones: zones.len(),
        pools: zones.len() * SERVICES.len(),
        stretch_s: stretch.as_secs_f64(),
        ..Fleet::default()
    };
    let owners = wait_owned(&cluster, fleet.pools).await?;
    tokio::time::sleep(SETTLE).await;
    idle(&cluster, &owners, stretch, &mut fleet).await?;
    fleet.connected = changes(&cluster, 0).await?;
    cluster.inject_fault(proxy.control, &json!({"refuse": true, "cut": true})).await?;
    tokio::time::sleep(CUT_SETTLE).await;
    fleet.cut = changes(&cluster, CHANGES).await?;
    fleet.from_peers = count_from_peers(&cluster).await;
    Ok(fleet)
}

fn zones(size: usize) -> Vec<String> {
    let count = if size <= SMALL_FLEET { 3 } else { 6 };
    (1..=count).map(|number| format!("zone-{number}")).collect()
}

async fn start(cluster: &mut Cluster, size: usize, zones: &[String]) -> Result<Proxy, role::Error> {
    let vms: Vec<String> = (0..size).map(|ix| format!("entry-{ix:03}")).collect();
    let listed: Vec<Value> = vms.iter().map(|vm| json!({"name": vm, "leaving": false})).collect();
    let platform = cluster.platform.address;
    cluster.inject_fault(platform, &json!({"vms": listed})).await?;
    let proxy = cluster.start_proxy(platform)?;
    cluster.start_daemon(&vms[0], &zones[0])?;
    cluster.platform_address = proxy.address;
    declare(cluster, zones).await?;
    cluster.wait_ready().await?;
    for (ix, vm) in vms.iter().enumerate().skip(1) {
        cluster.start_daemon(vm, &zones[ix % zones.len()])?;
        if ix % START_BATCH == 0 {
            cluster.wait_ready().await?;
        }
    }
    cluster.wait_ready().await?;
    Ok(proxy)
}

async fn declare(cluster: &mut Cluster, zones: &[String]) -> Result<(), role::Error> {
    for (ix, zone) in zones.iter().enumerate() {
        let region = ["pl-centrum", "riga"][ix * 2 / zones.len()];
        cluster.apply(&resource("AvailabilityZone", zone, json!({"region": region}))).await?;
    }
    cluster.apply(&resource("Organisation", "parlour-1", json!({"weight": 1}))).await?;
    let mut addresses = Vec::new();
    for ix in 0..PROCESSES {
        let target = Target::service(&format!("process-{ix}"), SERVICES[0], &zones[0]);
        addresses.push(cluster.start_target(&target)?);
    }
    for service in SERVICES {
        let spec = json!({"protocol": "plain"});
        cluster.apply(&resource("Service", service, spec)).await?;
        for (ix, zone) in zones.iter().enumerate() {
            for number in 0..POOL_TARGETS {
                let name = format!("{service}-{zone}-{number}");
                let target = Target::service(&name, service, zone);
                let address = addresses[(ix + number) % PROCESSES];
                cluster.apply(&Cluster::target_resource(&target, address)).await?;
            }
        }
    }
    Ok(())
}

/// Waits until every daemon knows every VM and an owner of every pool; gives the owners.
async fn wait_owned(cluster: &Cluster, pools: usize) -> Result<Vec<String>, role::Error> {
    let started = Instant::now();
    let mut owners = Vec::new();
    for daemon in &cluster.daemons {
        loop {
            let page = probe::status(&cluster.client, daemon).await?;
            owners = owners_in(&page);
            let known = page["vms"].as_array().map_or(0, Vec::len);
            if owners.len() == pools && known == cluster.daemons.len() {
                break;
            }
            if started.elapsed() > OWNED_MAX {
                return Err(role::Error::Failed(format!(
                    "{} knows {} of {pools} owners and {known} of {} VMs",
                    daemon.vm,
                    owners.len(),
                    cluster.daemons.len()
                )));
            }
            tokio::time::sleep(LOOK).await;
        }
    }
    Ok(owners)
}

fn owners_in(page: &Value) -> Vec<String> {
    let owners = page["owners"].as_array().into_iter().flatten();
    owners.filter_map(|owner| owner["vm"].as_str().map(str::to_owned)).collect()
}

/// Measures the stretch without load.
async fn idle(
    cluster: &Cluster,
    owners: &[String],
    stretch: Duration,
    fleet: &mut Fleet,
) -> Result<(), role::Error> {
    let table = stats(cluster).await?;
    let started = Instant::now();
    let before = samples(cluster).await?;
    tokio::time::sleep(stretch.saturating_sub(started.elapsed())).await;
    let table = (table, stats(cluster).await?);
    let seconds = started.elapsed().as_secs_f64();
    let after = samples(cluster).await?;
    for name in ["requests", "reads", "writes"] {
        let count = |page: &Value| page[name].as_f64().unwrap_or_default();
        let rate = (count(&table.1) - count(&table.0)) / seconds;
        fleet.platform.insert(format!("{name}_per_s"), rate);
    }
    fleet.platform.insert("vm_list_bytes".to_owned(), vm_list_bytes(cluster).await?);
    let figures: Vec<BTreeMap<String, f64>> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| probe::usage_between(before, after, seconds))
        .collect();
    let is_owner: Vec<bool> =
        cluster.daemons.iter().map(|daemon| owners.contains(&daemon.vm)).collect();
    let part = |wanted: fn(bool) -> bool| {
        let chosen = figures.iter().zip(&is_owner);
        spreads(chosen.filter(|(_, is_owner)| wanted(**is_owner)))
    };
    fleet.figures = part(|_| true);
    fleet.owners = part(|is_owner| is_owner);
    fleet.members = part(|is_owner| !is_owner);
    Ok(())
}

async fn samples(cluster: &Cluster) -> Result<Vec<probe::Usage>, role::Error> {
    let samples = cluster.daemons.iter().map(|daemon| probe::read_usage(&cluster.client, daemon));
    future::try_join_all(samples).await
}

/// The spread of each figure; a daemon without a figure counts as zero.
fn spreads<'a>(
    daemons: impl Iterator<Item = (&'a BTreeMap<String, f64>, &'a bool)>,
) -> BTreeMap<String, Spread> {
    let daemons: Vec<&BTreeMap<String, f64>> = daemons.map(|(figures, _)| figures).collect();
    let names = daemons.iter().flat_map(|figures| figures.keys());
    names
        .map(|name| {
            let values: Vec<f64> = daemons
                .iter()
                .map(|figures| figures.get(name).copied().unwrap_or_default())
                .collect();
            (name.clone(), Spread::new(&values))
        })
        .collect()
}

async fn stats(cluster: &Cluster) -> Result<Value, role::Error> {
    let url = format!("http://{}/_stats", cluster.platform.address);
    let answer = cluster.client.get(url).send().await;
    answer.map_err(probe::failed)?.json().await.map_err(probe::failed)
}

async fn vm_list_bytes(cluster: &Cluster) -> Result<f64, role::Error> {
    let url = format!("http://{}/v1/vms", cluster.platform.address);
    let answer = cluster.client.get(url).send().await;
    let body = answer.map_err(probe::failed)?.bytes().await;
    Ok(body.map_err(probe::failed)?.len() as f64)
}

/// Follows changes to one resource, one after the other.
async fn changes(cluster: &Cluster, offset: u64) -> Result<Vec<Change>, role::Error> {
    let mut changes = Vec::new();
    for number in 1..=CHANGES {
        changes.push(change(cluster, offset + number + 1).await?);
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
    Ok(changes)
}

async fn change(cluster: &Cluster, weight: u64) -> Result<Change, role::Error> {
    let url =
        format!("http://{}/apis/v1/organisations/parlour-1", cluster.daemons[0].operator_address);
    let started = Instant::now();
    let sent = cluster
        .client
        .patch(url)
        .bearer_auth(OPERATOR_KEY)
        .json(&json!({"spec": {"weight": weight}}))
        .send()
        .await;
    let answer = sent.and_then(reqwest::Response::error_for_status).map_err(probe::failed)?;
    let accepted = Instant::now();
    let document: Value = answer.json().await.map_err(probe::failed)?;
    let revision = document["status"]["acceptedRevision"]
        .as_u64()
        .ok_or_else(|| probe::failed("the answer names no accepted revision"))?;
    let arrivals =
        cluster.daemons.iter().map(|daemon| arrival(&cluster.client, daemon, revision, accepted));
    let arrivals = future::join_all(arrivals).await;
    let last: Option<Vec<Duration>> = arrivals.iter().copied().collect();
    let last = last.and_then(|times| times.into_iter().max());
    Ok(Change {
        write_ms: (accepted - started).as_secs_f64() * 1_000.0,
        spread_ms: last.map(|last| last.as_secs_f64() * 1_000.0),
        reached: arrivals.iter().flatten().count(),
    })
}

/// When a daemon was first seen with a revision, counted from `accepted`.
async fn arrival(
    client: &reqwest::Client,
    daemon: &Daemon,
    revision: u64,
    accepted: Instant,
) -> Option<Duration> {
    while accepted.elapsed() < CHANGE_MAX {
        if let Ok(page) = probe::status(client, daemon).await {
            if page["revision"].as_u64() >= Some(revision) {
                return Some(accepted.elapsed());
            }
        }
        tokio::time::sleep(LOOK).await;
    }
    None
}

async fn count_from_peers(cluster: &Cluster) -> usize {
    let pages = cluster.daemons.iter().map(|daemon| probe::status(&cluster.client, daemon));
    let pages = future::join_all(pages).await;
    pages.iter().flatten().filter(|page| page["source"] == "peer").count()
}
