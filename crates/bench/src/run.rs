//! Runs an experiment: a new cluster with the same load for each variant.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde_json::{json, Value};

use crate::cluster::{resource, Cluster, Target, OPERATOR_KEY};
use crate::experiment::{self, Action, Event, Experiment, Service, Variant};
use crate::load::{self, Destination};
use crate::record::{self, ExternalCounters, Record, Run};
use crate::{report, role, runtime};

/// Delay from the readiness of the cluster to the load, in which engines become warm.
const ENGINE_WARMUP: Duration = Duration::from_secs(6);
/// Length of a clock tick of `/proc/PID/stat` in milliseconds.
const CLOCK_TICK_MS: f64 = 10.0;

inventory::submit! {
    role::Plugin { name: "run", help: "run an experiment file and write its record", run }
}

/// Run an experiment and write its record, report and plots.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// the experiment file
    #[argh(positional)]
    experiment: PathBuf,
    /// directory for the record, the report and the plots
    #[argh(option, default = "PathBuf::from(\"out\")")]
    out: PathBuf,
    /// run only this variant
    #[argh(option)]
    variant: Option<String>,
}

fn run(argv: &[&str]) -> Result<ExitCode, role::Error> {
    let args: Args = runtime::parse_args("run", argv)?;
    let experiment = Arc::new(experiment::read(&args.experiment)?);
    let runs = runtime::block_on(run_variants(&experiment, args.variant.as_deref()))?;
    let record = Record {
        experiment: experiment.name.clone(),
        seed: experiment.seed,
        events: experiment.events.clone(),
        runs,
    };
    report::write(&record, &args.out)?;
    println!("{}", report::render_markdown(&record));
    Ok(ExitCode::SUCCESS)
}

async fn run_variants(
    experiment: &Arc<Experiment>,
    selected: Option<&str>,
) -> Result<Vec<Run>, role::Error> {
    let mut runs = Vec::new();
    for variant in &experiment.variants {
        if selected.is_some_and(|selected| selected != variant.name) {
            continue;
        }
        eprintln!("{}: {}", experiment.name, variant.name);
        runs.push(run_variant(experiment, variant).await?);
    }
    Ok(runs)
}

async fn run_variant(experiment: &Arc<Experiment>, variant: &Variant) -> Result<Run, role::Error> {
    let bench = std::env::current_exe()?;
    let mut cluster = start_cluster(experiment, variant, &bench).await?;
    tokio::time::sleep(ENGINE_WARMUP).await;
    let destination = choose_destination(experiment, variant, &cluster);
    let before = read_counters(&mut cluster).await;
    let started = Instant::now();
    let requests = load::plan_requests(experiment);
    let load = tokio::spawn(load::run(experiment.clone(), requests, destination, started));
    run_events(experiment, &mut cluster, started).await?;
    let samples = load.await.map_err(|error| role::Error::Failed(error.to_string()))?;
    let after = read_counters(&mut cluster).await;
    let counters = ExternalCounters {
        preemptions: after.preemptions.saturating_sub(before.preemptions),
        daemon_cpu_ms: after.daemon_cpu_ms - before.daemon_cpu_ms,
    };
    record::compute(experiment, &variant.name, &samples, counters)
}

async fn start_cluster(
    experiment: &Experiment,
    variant: &Variant,
    bench: &Path,
) -> Result<Cluster, role::Error> {
    let mut cluster = Cluster::new(bench)?;
    for zone in &experiment.zones {
        for number in 1..=zone.daemons {
            cluster.start_daemon(&format!("entry-{}-{number}", zone.name), &zone.name)?;
        }
    }
    let configuration = match &variant.configuration {
        Value::Null => json!({}),
        other => other.clone(),
    };
    cluster.apply(&resource("Configuration", "default", configuration)).await?;
    for zone in &experiment.zones {
        let spec = json!({"region": zone.region});
        cluster.apply(&resource("AvailabilityZone", &zone.name, spec)).await?;
    }
    for service in &experiment.services {
        cluster.apply(&resource("Service", &service.name, service.spec.clone())).await?;
    }
    for organisation in &experiment.organisations {
        let spec = json!({"keys": [format!("{}-key", organisation.name)]});
        cluster.apply(&resource("Organisation", &organisation.name, spec)).await?;
    }
    for target in plan_targets(experiment) {
        let address = cluster.start_target(&target)?;
        cluster.apply(&Cluster::target_resource(&target, address)).await?;
    }
    cluster.wait_ready().await?;
    Ok(cluster)
}

fn plan_targets(experiment: &Experiment) -> Vec<Target> {
    let mut targets = Vec::new();
    for service in &experiment.services {
        for (zone, count) in experiment.zones.iter().zip(&service.targets) {
            for number in 1..=*count {
                targets.push(build_target(service, &zone.name, number));
            }
        }
    }
    targets
}

fn build_target(service: &Service, zone: &str, number: u32) -> Target {
    let name = format!("{}-{zone}-{number}", service.name);
    let mut target = match service.spec["protocol"].as_str() {
        Some("plain") => Target::service(&name, &service.name, zone),
        _ => Target::engine(&name, &service.name, zone),
    };
    target.arguments = service.arguments.clone();
    for (field, value) in service.target_spec.as_object().into_iter().flatten() {
        target = target.with_spec(field, value.clone());
    }
    target
}

fn choose_destination(
    experiment: &Experiment,
    variant: &Variant,
    cluster: &Cluster,
) -> Destination {
    if !variant.direct {
        return Destination::Daemons(
            cluster.daemons.iter().map(|daemon| daemon.caller_address).collect(),
        );
    }
    let services = experiment.services.iter().map(|service| {
        let prefix = format!("{}-", service.name);
        let matching = cluster.targets.iter().filter(|target| target.name.starts_with(&prefix));
        (service.name.clone(), matching.map(|target| target.address).collect())
    });
    Destination::Targets(services.collect())
}

/// Executes the experiment's events at their times.
async fn run_events(
    experiment: &Experiment,
    cluster: &mut Cluster,
    started: Instant,
) -> Result<(), role::Error> {
    let warmup = experiment.warmup_s as f64;
    let mut events: Vec<Event> = experiment.events.clone();
    events.sort_by(|left, right| left.at_s.total_cmp(&right.at_s));
    for event in events {
        let at = started + Duration::from_secs_f64(warmup + event.at_s);
        tokio::time::sleep_until(at.into()).await;
        execute(cluster, event.action).await?;
    }
    Ok(())
}

async fn execute(cluster: &mut Cluster, action: Action) -> Result<(), role::Error> {
    match action {
        Action::Drain(zone) => set_zone_state(cluster, &zone, "out").await,
        Action::Restore(zone) => set_zone_state(cluster, &zone, "in").await,
        Action::Kill(target) => {
            cluster.target_mut(&target)?.process.kill();
            Ok(())
        }
        Action::Restart(target) => cluster.restart_target(&target),
        Action::Cold(target, cold_s) => {
            let address = cluster.target_mut(&target)?.address;
            cluster.inject_fault(address, &json!({"cold_s": cold_s})).await
        }
        Action::Outage(outage_s) => {
            let address = cluster.platform.address;
            cluster.inject_fault(address, &json!({"outage": "refuse"})).await?;
            tokio::time::sleep(Duration::from_secs_f64(outage_s)).await;
            cluster.inject_fault(address, &json!({"outage": ""})).await
        }
    }
}

async fn set_zone_state(cluster: &Cluster, zone: &str, state: &str) -> Result<(), role::Error> {
    let operator_address = cluster.daemons[0].operator_address;
    let url = format!("http://{operator_address}/apis/v1/availabilityzones/{zone}");
    let patch = json!({"spec": {"state": state}});
    let result = cluster.client.patch(url).bearer_auth(OPERATOR_KEY).json(&patch).send().await;
    match result.and_then(reqwest::Response::error_for_status) {
        Ok(_) => Ok(()),
        Err(error) => Err(role::Error::Failed(error.to_string())),
    }
}

async fn read_counters(cluster: &mut Cluster) -> ExternalCounters {
    let mut preemptions = 0;
    for target in &cluster.targets {
        preemptions += read_preemptions(&cluster.client, &target.address.to_string()).await;
    }
    let ids = cluster.daemons.iter().map(|daemon| daemon.process.id());
    ExternalCounters { preemptions, daemon_cpu_ms: ids.map(cpu_ms).sum() }
}

async fn read_preemptions(client: &reqwest::Client, address: &str) -> u64 {
    let Ok(response) = client.get(format!("http://{address}/metrics")).send().await else {
        return 0;
    };
    let text = response.text().await.unwrap_or_default();
    let mut values =
        text.lines().filter_map(|line| line.strip_prefix("vllm:num_preemptions_total"));
    values.next().and_then(|value| value.trim().parse().ok()).unwrap_or(0)
}

/// CPU time of a process since its start, user and system, in milliseconds.
pub(crate) fn cpu_ms(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The second field is the program's name in parentheses and may contain spaces; fields 14 and
    // 15 are user and system time.
    let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: f64 = rest
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks * CLOCK_TICK_MS
}
