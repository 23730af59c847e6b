//! Load reports (Prometheus text format) and cache events (JSON) of targets.

use hornbeamloom_kernel::target::{CacheBatch, Phase, Report};
use serde::Deserialize;

/// Limit on the models and adapters taken from one report.
const MAX_NAMES: usize = 256;

/// Limit on the stored and on the evicted hashes of one batch of cache events.
const MAX_CACHE_EVENTS: usize = 16_384;

/// The text is not a valid report or batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// `engine_start_id` is missing.
    #[error("engine_start_id is missing")]
    MissingStartId,
    /// A known metric has an invalid value.
    #[error("a metric has an invalid value")]
    InvalidValue,
    /// The text is not a batch of cache events.
    #[error("not a batch of cache events")]
    InvalidCacheBatch,
}

/// A sample line: metric, value of its first label, and value.
struct Sample<'a> {
    metric: &'a str,
    label: Option<&'a str>,
    value: &'a str,
}

/// Parses a report; unknown metrics are skipped.
///
/// ```
/// use hornbeamloom_kernel::target::Phase;
///
/// let text = "engine_start_id 7\nengine_phase{phase=\"warm\"} 1\nengine_kv_tokens 1000\n\
///             vllm:kv_cache_usage_perc 0.25\n";
/// let report = hornbeamloom_wire::report::parse_report(text).unwrap();
/// assert_eq!((report.start_id, report.phase, report.kv_used), (7, Phase::Warm, 250));
/// ```
pub fn parse_report(text: &str) -> Result<Report, Error> {
    let mut report = Report::default();
    let (mut start_id, mut kv_usage) = (None, 0.0);
    for sample in text.lines().filter_map(parse_sample) {
        match sample.metric {
            "engine_start_id" => start_id = Some(parse_u64(sample.value)?),
            "engine_phase" if is_set(sample.value) => report.phase = parse_phase(sample.label),
            "vllm:num_requests_running" => report.running = parse_u32(sample.value)?,
            "vllm:num_requests_waiting" => report.waiting = parse_u32(sample.value)?,
            "vllm:kv_cache_usage_perc" => kv_usage = parse_f64(sample.value)?.min(1.0),
            "engine_kv_tokens" => report.kv_capacity = parse_u64(sample.value)?,
            "vllm:num_preemptions_total" => report.preemptions = parse_u64(sample.value)?,
            "engine_role" if is_set(sample.value) => report.role = sample.label.map(Into::into),
            "engine_loaded" if is_set(sample.value) => push_name(&mut report.loaded, sample.label),
            "engine_loading" if is_set(sample.value) => {
                push_name(&mut report.loading, sample.label)
            }
            "engine_fence" => report.fence = parse_u64(sample.value)?,
            _ => {}
        }
    }
    report.start_id = start_id.ok_or(Error::MissingStartId)?;
    // The usage is at most 1, so the product fits the type of the capacity.
    report.kv_used = (kv_usage * report.kv_capacity as f64) as u64;
    Ok(report)
}

fn parse_sample(line: &str) -> Option<Sample<'_>> {
    let line = line.trim();
    if line.is_empty() || line.starts_with('#') {
        return None;
    }
    let Some((metric, rest)) = line.split_once('{') else {
        let (metric, value) = line.split_once(char::is_whitespace)?;
        let value = value.split_whitespace().next()?;
        return Some(Sample { metric, label: None, value });
    };
    let (labels, value) = rest.rsplit_once('}')?;
    let value = value.split_whitespace().next()?;
    let label = labels.split_once("=\"").and_then(|(_, rest)| rest.split('"').next());
    Some(Sample { metric, label, value })
}

fn is_set(value: &str) -> bool {
    parse_f64(value).is_ok_and(|value| value > 0.0)
}

fn parse_f64(value: &str) -> Result<f64, Error> {
    let number: f64 = value.parse().map_err(|_| Error::InvalidValue)?;
    match number.is_finite() && number >= 0.0 {
        true => Ok(number),
        false => Err(Error::InvalidValue),
    }
}

fn parse_u64(value: &str) -> Result<u64, Error> {
    match value.parse() {
        Ok(integer) => Ok(integer),
        // The cast saturates, so a value beyond the range becomes the largest integer.
        Err(_) => Ok(parse_f64(value)? as u64),
    }
}

fn parse_u32(value: &str) -> Result<u32, Error> {
    Ok(u32::try_from(parse_u64(value)?).unwrap_or(u32::MAX))
}

fn parse_phase(label: Option<&str>) -> Phase {
    match label {
        Some("warm") => Phase::Warm,
        Some("leaving") => Phase::Leaving,
        _ => Phase::Cold,
    }
}

fn push_name(names: &mut Vec<hornbeamloom_kernel::ids::Name>, label: Option<&str>) {
    if let (Some(name), true) = (label, names.len() < MAX_NAMES) {
        names.push(name.into());
    }
}

#[derive(Deserialize)]
struct RawCacheBatch<'a> {
    first: u64,
    #[serde(borrow, default)]
    stored: Vec<&'a str>,
    #[serde(borrow, default)]
    evicted: Vec<&'a str>,
}

/// Parses a batch of cache events.
///
/// ```
/// let text = br#"{"first": 4, "stored": ["00ff"], "evicted": []}"#;
/// let batch = hornbeamloom_wire::report::parse_cache_batch(text).unwrap();
/// assert_eq!((batch.first, &batch.stored[..]), (4, &[255][..]));
/// ```
pub fn parse_cache_batch(text: &[u8]) -> Result<CacheBatch, Error> {
    let batch: RawCacheBatch<'_> =
        serde_json::from_slice(text).map_err(|_| Error::InvalidCacheBatch)?;
    Ok(CacheBatch {
        first: batch.first,
        stored: parse_hashes(&batch.stored)?,
        evicted: parse_hashes(&batch.evicted)?,
    })
}

fn parse_hashes(list: &[&str]) -> Result<Vec<u64>, Error> {
    if list.len() > MAX_CACHE_EVENTS {
        return Err(Error::InvalidCacheBatch);
    }
    list.iter()
        .map(|hash| u64::from_str_radix(hash, 16).map_err(|_| Error::InvalidCacheBatch))
        .collect()
}
