//! The record of an experiment: the results of its variants, computed from the samples of requests.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::experiment::{Event, Experiment};
use crate::load::{Outcome, Sample};
use crate::role::Error;

/// A gap between tokens above this counts as a stall, in microseconds.
const STALL_THRESHOLD_US: u64 = 250_000;
/// Longest time that histograms distinguish, in microseconds; longer ones count as this.
const MAX_TIME_US: u64 = 600_000_000;
/// Weight of an output token, relative to a prompt token, in the service that an organisation gets.
const OUTPUT_TOKEN_WEIGHT: u64 = 2;

/// Quantiles of a duration, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

/// The results for the callers of one organisation.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Organisation {
    pub requests: u64,
    /// Requests with a full and correct response.
    #[serde(rename = "whole")]
    pub completed: u64,
    pub refused: u64,
    /// Requests with a truncated, wrong or missing response, or that ran more than once.
    #[serde(rename = "lost")]
    pub failed: u64,
    /// Service received: prompt tokens plus weighted output tokens.
    #[serde(rename = "service")]
    pub weighted_tokens: u64,
    /// Time from the planned start to the first token or plain response.
    #[serde(rename = "first")]
    pub time_to_first: Quantiles,
    /// Time between two tokens of a stream.
    #[serde(rename = "between")]
    pub inter_token: Quantiles,
}

/// One second of a run.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Second {
    /// Requests whose planned start is in this second.
    pub started: u64,
    /// Requests that completed.
    #[serde(rename = "whole")]
    pub completed: u64,
    /// Tokens received by callers.
    pub tokens: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed.
    #[serde(rename = "lost")]
    pub failed: u64,
}

/// The result of one variant.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Name of the variant.
    pub variant: String,
    /// Requests planned after the warm-up.
    pub requests: u64,
    /// Requests with a full and correct response.
    #[serde(rename = "whole")]
    pub completed: u64,
    /// Number of refusals by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Number of failed requests by cause.
    #[serde(rename = "lost")]
    pub failed: BTreeMap<String, u64>,
    /// Total stall time in seconds.
    pub stall_s: f64,
    /// Stall time per stream that delivered tokens, in milliseconds.
    #[serde(rename = "stall_ms_per_answer")]
    pub stall_ms_per_stream: f64,
    /// Preemptions at the engines during the load, with its warm-up.
    pub preemptions: u64,
    /// Time from the planned start to the first token or plain response, by class of request.
    #[serde(rename = "first")]
    pub time_to_first: BTreeMap<String, Quantiles>,
    /// Time between two tokens, by class of request.
    #[serde(rename = "between")]
    pub inter_token: BTreeMap<String, Quantiles>,
    /// Time between two tokens, over all classes.
    #[serde(rename = "between_all")]
    pub inter_token_all: Quantiles,
    /// Jain index of service received over max-min fair share, by organisation.
    #[serde(rename = "jain")]
    pub jain_index: f64,
    /// Smallest ratio of service received to max-min fair share of any organisation.
    pub worst_share: f64,
    /// Results by organisation.
    pub organisations: BTreeMap<String, Organisation>,
    /// Results for each second since the end of the warm-up.
    pub seconds: Vec<Second>,
    /// CPU time of the daemons per 1,000 tokens, in milliseconds.
    pub daemon_cpu_ms_per_1000: f64,
}

/// The record of an experiment.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of the load.
    pub seed: u64,
    /// Events during each run.
    pub events: Vec<Event>,
    /// One run per variant.
    pub runs: Vec<Run>,
}

/// Counters of the processes, which samples do not show.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ExternalCounters {
    pub(crate) preemptions: u64,
    pub(crate) daemon_cpu_ms: f64,
}

/// Computes the result of one variant.
pub(crate) fn compute(
    experiment: &Experiment,
    variant: &str,
    samples: &[Sample],
    counters: ExternalCounters,
) -> Result<Run, Error> {
    let warmup = std::time::Duration::from_secs(experiment.warmup_s);
    let counted: Vec<&Sample> =
        samples.iter().filter(|sample| sample.plan.offset >= warmup).collect();
    let mut run = Run { variant: variant.to_owned(), ..Run::default() };
    count_outcomes(&mut run, &counted);
    sum_stalls(&mut run, &counted);
    run.preemptions = counters.preemptions;
    let all_tokens: u64 = samples.iter().map(|sample| sample.tokens).sum();
    run.daemon_cpu_ms_per_1000 = counters.daemon_cpu_ms * 1_000.0 / all_tokens.max(1) as f64;
    for (ix, traffic) in experiment.traffic.iter().enumerate() {
        let in_class = || counted.iter().copied().filter(|sample| sample.plan.traffic_ix == ix);
        run.time_to_first.insert(traffic.name.clone(), time_to_first_quantiles(in_class())?);
        run.inter_token.insert(traffic.name.clone(), inter_token_quantiles(in_class())?);
    }
    run.inter_token_all = inter_token_quantiles(counted.iter().copied())?;
    for (ix, organisation) in experiment.organisations.iter().enumerate() {
        let own: Vec<&Sample> =
            counted.iter().copied().filter(|sample| sample.plan.organisation_ix == ix).collect();
        run.organisations.insert(organisation.name.clone(), organisation_result(experiment, &own)?);
    }
    compute_fairness(&mut run, experiment, &counted);
    run.seconds = per_second(experiment, samples);
    Ok(run)
}

fn count_outcomes(run: &mut Run, samples: &[&Sample]) {
    run.requests = samples.len() as u64;
    for sample in samples {
        match &sample.outcome {
            Outcome::Complete => run.completed += 1,
            Outcome::Refused(reason) => *run.refusals.entry(reason.clone()).or_default() += 1,
            Outcome::Failed(cause) => *run.failed.entry(cause.clone()).or_default() += 1,
        }
    }
}

fn sum_stalls(run: &mut Run, samples: &[&Sample]) {
    let gaps = samples.iter().flat_map(|sample| &sample.gaps);
    let stalled_us: u64 = gaps
        .map(|gap| u64::try_from(gap.as_micros()).unwrap_or(u64::MAX))
        .filter(|us| *us > STALL_THRESHOLD_US)
        .sum();
    run.stall_s = stalled_us as f64 / 1e6;
    let streams = samples.iter().filter(|sample| sample.tokens > 0).count();
    run.stall_ms_per_stream = stalled_us as f64 / 1e3 / streams.max(1) as f64;
}

fn quantiles(times: impl Iterator<Item = std::time::Duration>) -> Result<Quantiles, Error> {
    let failed = |error: String| Error::Failed(format!("histogram: {error}"));
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, 3)
        .map_err(|error| failed(error.to_string()))?;
    for time in times {
        histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }
    let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    Ok(Quantiles {
        count: histogram.len(),
        p50: ms(0.5),
        p95: ms(0.95),
        p99: ms(0.99),
        p999: ms(0.999),
    })
}

fn time_to_first_quantiles<'a>(
    samples: impl Iterator<Item = &'a Sample>,
) -> Result<Quantiles, Error> {
    quantiles(samples.filter_map(|sample| sample.time_to_first))
}

fn inter_token_quantiles<'a>(
    samples: impl Iterator<Item = &'a Sample>,
) -> Result<Quantiles, Error> {
    quantiles(samples.flat_map(|sample| sample.gaps.iter().copied()))
}

fn organisation_result(
    experiment: &Experiment,
    samples: &[&Sample],
) -> Result<Organisation, Error> {
    let count_where = |predicate: fn(&Outcome) -> bool| {
        samples.iter().filter(|sample| predicate(&sample.outcome)).count() as u64
    };
    Ok(Organisation {
        requests: samples.len() as u64,
        completed: count_where(|outcome| *outcome == Outcome::Complete),
        refused: count_where(|outcome| matches!(outcome, Outcome::Refused(_))),
        failed: count_where(|outcome| matches!(outcome, Outcome::Failed(_))),
        weighted_tokens: samples
            .iter()
            .map(|sample| weighted_tokens(experiment, sample, sample.tokens))
            .sum(),
        time_to_first: time_to_first_quantiles(samples.iter().copied())?,
        inter_token: inter_token_quantiles(samples.iter().copied())?,
    })
}

fn weighted_tokens(experiment: &Experiment, sample: &Sample, tokens: u64) -> u64 {
    let prompt = u64::from(experiment.traffic[sample.plan.traffic_ix].prompt_tokens);
    if tokens == 0 {
        return 0;
    }
    prompt + OUTPUT_TOKEN_WEIGHT * tokens
}

/// Compares the service of each organisation with its max-min fair share of all service given.
fn compute_fairness(run: &mut Run, experiment: &Experiment, samples: &[&Sample]) {
    let mut demands = vec![0_u64; experiment.organisations.len()];
    for sample in samples {
        demands[sample.plan.organisation_ix] +=
            weighted_tokens(experiment, sample, sample.plan.output_tokens);
    }
    let total: u64 =
        run.organisations.values().map(|organisation| organisation.weighted_tokens).sum();
    let shares = fair_shares(&demands, total);
    let mut ratios = Vec::new();
    for (organisation, share) in experiment.organisations.iter().zip(shares) {
        let received =
            run.organisations.get(&organisation.name).map_or(0, |result| result.weighted_tokens);
        if share > 0.0 {
            ratios.push(received as f64 / share);
        }
    }
    let (sum, squares) = ratios
        .iter()
        .fold((0.0, 0.0), |(sum, squares), ratio| (sum + ratio, squares + ratio * ratio));
    run.jain_index = if squares > 0.0 { sum * sum / (ratios.len() as f64 * squares) } else { 0.0 };
    run.worst_share = ratios.into_iter().fold(f64::INFINITY, f64::min);
}

/// Max-min fair division of `total` among organisations that want `demands`.
fn fair_shares(demands: &[u64], total: u64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&ix| demands[ix]);
    let mut shares = vec![0.0; demands.len()];
    let mut rem = total as f64;
    for (done, ix) in order.into_iter().enumerate() {
        let equal = rem / (demands.len() - done) as f64;
        shares[ix] = equal.min(demands[ix] as f64);
        rem -= shares[ix];
    }
    shares
}

fn per_second(experiment: &Experiment, samples: &[Sample]) -> Vec<Second> {
    let length = usize::try_from(experiment.duration_s).unwrap_or(usize::MAX);
    let mut seconds = vec![Second::default(); length];
    let second_at = |at: std::time::Duration| {
        at.as_secs().checked_sub(experiment.warmup_s).and_then(|ix| usize::try_from(ix).ok())
    };
    for sample in samples {
        if let Some(second) = second_at(sample.plan.offset).and_then(|ix| seconds.get_mut(ix)) {
            second.started += 1;
        }
        let Some(second) = second_at(sample.ended_at).and_then(|ix| seconds.get_mut(ix)) else {
            continue;
        };
        match sample.outcome {
            Outcome::Complete => second.completed += 1,
            Outcome::Refused(_) => second.refused += 1,
            Outcome::Failed(_) => second.failed += 1,
        }
    }
    for at in samples.iter().flat_map(token_times) {
        if let Some(second) = second_at(at).and_then(|ix| seconds.get_mut(ix)) {
            second.tokens += 1;
        }
    }
    seconds
}

/// Arrival times of a sample's tokens, since the start of the load.
fn token_times(sample: &Sample) -> impl Iterator<Item = std::time::Duration> + '_ {
    let first =
        sample.time_to_first.filter(|_| sample.tokens > 0).map(|first| sample.plan.offset + first);
    let gaps = sample.gaps.iter();
    first.into_iter().flat_map(move |first| {
        let rest = gaps.clone().scan(first, |at, gap| {
            *at += *gap;
            Some(*at)
        });
        std::iter::once(first).chain(rest)
    })
}
