//! Compares two records, variant by variant.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;

use crate::record::{Record, Run};
use crate::{role, runtime};

inventory::submit! {
    role::Plugin { name: "compare", help: "compare two records", run }
}

/// Compare two records of experiments.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// the earlier record
    #[argh(positional)]
    before: PathBuf,
    /// the later record
    #[argh(positional)]
    after: PathBuf,
}

/// A number of a run that is compared.
struct Metric {
    name: &'static str,
    value: fn(&Run) -> f64,
}

const METRICS: [Metric; 9] = [
    Metric { name: "whole", value: |run| run.completed as f64 },
    Metric { name: "refused", value: |run| run.refusals.values().sum::<u64>() as f64 },
    Metric { name: "lost", value: |run| run.failed.values().sum::<u64>() as f64 },
    Metric { name: "stall_s", value: |run| run.stall_s },
    Metric { name: "preemptions", value: |run| run.preemptions as f64 },
    Metric { name: "between_p99_ms", value: |run| run.inter_token_all.p99 },
    Metric { name: "between_p99.9_ms", value: |run| run.inter_token_all.p999 },
    Metric { name: "worst_share", value: |run| run.worst_share },
    Metric { name: "cpu_ms_per_1000", value: |run| run.daemon_cpu_ms_per_1000 },
];

fn run(argv: &[&str]) -> Result<ExitCode, role::Error> {
    let args: Args = runtime::parse_args("compare", argv)?;
    let (before, after) = (read_record(&args.before)?, read_record(&args.after)?);
    println!("| variant | figure | before | after | ratio |\n|---|---|---|---|---|");
    for later in &after.runs {
        let earlier = before.runs.iter().find(|earlier| earlier.variant == later.variant);
        let Some(earlier) = earlier else { continue };
        for metric in &METRICS {
            print_row(metric, earlier, later);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_row(metric: &Metric, earlier: &Run, later: &Run) {
    let (before, after) = ((metric.value)(earlier), (metric.value)(later));
    let ratio = match before == 0.0 {
        true => "-".to_owned(),
        false => format!("{:.3}", after / before),
    };
    println!("| {} | {} | {before:.3} | {after:.3} | {ratio} |", later.variant, metric.name);
}

fn read_record(path: &Path) -> Result<Record, role::Error> {
    let text = std::fs::read_to_string(path)?;
    serde_json::from_str(&text)
        .map_err(|error| role::Error::Usage(format!("{}: {error}", path.display())))
}
