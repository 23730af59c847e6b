//! The process-wide metrics recorder and its Prometheus text output.

use std::sync::OnceLock;
use std::time::Duration;

use hornbeamloom_kernel::outcome::Counter;
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

use crate::memory::Account;

/// Upper bounds of the histogram buckets for durations, in seconds.
///
/// They include the latency targets: 66 ms between tokens and 0.95 s to the first token.
const DURATION_BUCKETS_S: [f64; 14] =
    [0.002, 0.005, 0.01, 0.02, 0.04, 0.066, 0.1, 0.25, 0.5, 0.95, 2.0, 5.0, 15.0, 60.0];

/// Interval at which recorded samples are moved into their histogram buckets.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum gap between two tokens that counts as a stall; equals the engines' heartbeat interval.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);

/// The recorder of the process, shared by several daemons in one test process.
static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder and spawns its upkeep task on the current runtime.
pub(crate) fn install() -> Result<(), BuildError> {
    if HANDLE.get().is_none() {
        let builder = PrometheusBuilder::new().set_buckets(&DURATION_BUCKETS_S)?;
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        if ::metrics::set_global_recorder(recorder).is_ok() {
            // Only the thread that installed the recorder gets here.
            let _ = HANDLE.set(handle);
        }
    }
    tokio::spawn(async {
        let mut interval = tokio::time::interval(UPKEEP_INTERVAL);
        loop {
            interval.tick().await;
            if let Some(handle) = HANDLE.get() {
                handle.run_upkeep();
            }
        }
    });
    Ok(())
}

/// Returns all metrics in the Prometheus text format. The memory in use is read from `account`.
pub(crate) fn render(account: &Account) -> String {
    ::metrics::gauge!("hornbeamloom_buffered_bytes").set(account.used() as f64);
    HANDLE.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Counts a response that carried the id of another request.
pub(crate) fn count_misdirected_answer() {
    ::metrics::counter!("hornbeamloom_crossed_answers_total").increment(1);
}

/// Counts the outcome of stopping a run at a target that its generation has left.
pub(crate) fn count_stop_order(result: &'static str) {
    ::metrics::counter!("hornbeamloom_stop_orders_total", "result" => result).increment(1);
}

/// Records the time from a request's arrival to its first token.
pub(crate) fn record_first_token(time: Duration) {
    ::metrics::histogram!("hornbeamloom_first_token_seconds").record(time);
}

/// Records the time between two tokens and counts it as a stall if it reaches [`STALL_THRESHOLD`].
pub(crate) fn record_token_gap(gap: Duration) {
    ::metrics::histogram!("hornbeamloom_token_gap_seconds").record(gap);
    if gap >= STALL_THRESHOLD {
        ::metrics::counter!("hornbeamloom_stalls_total").increment(1);
        ::metrics::histogram!("hornbeamloom_stall_seconds").record(gap);
    }
}

/// Increments the metric of a kernel counter.
pub(crate) fn count(counter: Counter) {
    match counter {
        Counter::Refusal(reason) => {
            ::metrics::counter!("hornbeamloom_refusals_total", "reason" => reason.as_str())
                .increment(1);
        }
        Counter::Retry(retry) => {
            ::metrics::counter!("hornbeamloom_retries_total", "reason" => retry.as_str())
                .increment(1);
        }
        Counter::Ignored(what) => {
            ::metrics::counter!("hornbeamloom_ignored_total", "input" => what).increment(1);
        }
        Counter::RolloutRequest(version) => {
            ::metrics::counter!("hornbeamloom_rollout_requests_total", "version" => version)
                .increment(1);
        }
        Counter::RolloutVerdict(verdict) => {
            ::metrics::counter!("hornbeamloom_rollout_verdicts_total", "verdict" => verdict)
                .increment(1);
        }
        Counter::Event(what) => {
            ::metrics::counter!("hornbeamloom_events_total", "event" => what).increment(1);
        }
    }
}
