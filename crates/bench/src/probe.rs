//! Reads the resource usage, the counters and the status of a running daemon.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::cluster::{Daemon, OPERATOR_KEY};
use crate::role::Error;
use crate::run;

/// Name of a daemon's counter of control bytes.
const PEER_BYTES_METRIC: &str = "hornbeamloom_peer_bytes_total";

/// Resource usage of a daemon since its start.
#[derive(Debug, Clone, Default)]
pub(crate) struct Usage {
    cpu_ms: f64,
    memory_mb: f64,
    /// Control bytes by `DIRECTION.KIND`.
    peer_bytes: BTreeMap<String, f64>,
}

/// Reads the usage of a daemon from `/proc` and from its metrics.
pub(crate) async fn read_usage(client: &reqwest::Client, daemon: &Daemon) -> Result<Usage, Error> {
    let text = get(client, daemon, "/metrics").await?;
    let text = text.text().await.map_err(failed)?;
    let id = daemon.process.id();
    Ok(Usage { cpu_ms: run::cpu_ms(id), memory_mb: memory_mb(id), peer_bytes: peer_bytes(&text) })
}

/// Reads the status of a daemon.
pub(crate) async fn status(client: &reqwest::Client, daemon: &Daemon) -> Result<Value, Error> {
    let response = get(client, daemon, "/apis/v1/status").await?;
    response.json().await.map_err(failed)
}

async fn get(
    client: &reqwest::Client,
    daemon: &Daemon,
    path: &str,
) -> Result<reqwest::Response, Error> {
    let result = client
        .get(format!("http://{}{path}", daemon.operator_address))
        .bearer_auth(OPERATOR_KEY)
        .send()
        .await;
    result.and_then(reqwest::Response::error_for_status).map_err(failed)
}

pub(crate) fn failed(error: impl std::fmt::Display) -> Error {
    Error::Failed(error.to_string())
}

/// Usage between two samples of a daemon, `seconds` apart, by name of the metric.
pub(crate) fn usage_between(before: &Usage, after: &Usage, seconds: f64) -> BTreeMap<String, f64> {
    let mut metrics = BTreeMap::from([
        ("cpu_percent".to_owned(), (after.cpu_ms - before.cpu_ms) / 10.0 / seconds),
        ("memory_mb".to_owned(), after.memory_mb),
    ]);
    for (name, count) in &after.peer_bytes {
        let previous = before.peer_bytes.get(name).copied().unwrap_or_default();
        let rate = (count - previous) / seconds;
        metrics.insert(format!("bytes_per_s.{name}"), rate);
        let direction = name.split('.').next().unwrap_or_default();
        *metrics.entry(format!("bytes_per_s.{direction}")).or_default() += rate;
        *metrics.entry("bytes_per_s".to_owned()).or_default() += rate;
    }
    metrics
}

/// Control bytes by `DIRECTION.KIND`, parsed from a metrics response.
pub(crate) fn peer_bytes(text: &str) -> BTreeMap<String, f64> {
    let lines = text.lines().filter_map(|line| line.strip_prefix(PEER_BYTES_METRIC));
    lines
        .filter_map(|line| {
            let direction = label(line, "direction")?;
            let kind = label(line, "kind")?;
            let count = line.rsplit(' ').next()?.parse().ok()?;
            Some((format!("{direction}.{kind}"), count))
        })
        .collect()
}

fn label<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(&format!("{name}=\""))?;
    Some(rest.split_once('"')?.0)
}

/// Resident memory of a process in MiB.
fn memory_mb(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or_default() / 1_024.0
}
