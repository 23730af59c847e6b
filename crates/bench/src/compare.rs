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

/// A figure of a run.
struct Figure {
    name: &'static str,
    read: fn(&Run) -> f64,
}

const FIGURES: [Figure; 9] = [
    Figure { name: "whole", read: |run| run.whole as f64 },
    Figure { name: "refused", read: |run| run.refusals.values().sum::<u64>() as f64 },
    Figure { name: "lost", read: |run| run.lost.values().sum::<u64>() as f64 },
    Figure { name: "stall_s", read: |run| run.stall_s },
    Figure { name: "preemptions", read: |run| run.preemptions as f64 },
    Figure { name: "between_p99_ms", read: |run| run.between_all.p99 },
    Figure { name: "between_p99.9_ms", read: |run| run.between_all.p999 },
    Figure { name: "worst_share", read: |run| run.worst_share },
    Figure { name: "cpu_ms_per_1000", read: |run| run.daemon_cpu_ms_per_1000 },
];

fn run(argv: &[&str]) -> Result<ExitCode, role::Error> {
    let args: Args = runtime::parse_args("compare", argv)?;
    let (before, after) = (read(&args.before)?, read(&args.after)?);
    println!("| variant | figure | before | after | ratio |\n|---|---|---|---|---|");
    for later in &after.runs {
        let earlier = before.runs.iter().find(|earlier| earlier.variant == later.variant);
        let Some(earlier) = earlier else { continue };
        for figure in &FIGURES {
            print_row(figure, earlier, later);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_row(figure: &Figure, earlier: &Run, later: &Run) {
    let (before, after) = ((figure.read)(earlier), (figure.read)(later));
    let ratio = match before == 0.0 {
        true => "-".to_owned(),
        false => format!("{:.3}", after / before),
    };
    println!("| {} | {} | {before:.3} | {after:.3} | {ratio} |", later.variant, figure.name);
}

fn read(path: &Path) -> Result<Record, role::Error> {
    let text = std::fs::read_to_string(path)?;
    serde_json::from_str(&text)
        .map_err(|error| role::Error::Usage(format!("{}: {error}", path.display())))
}
