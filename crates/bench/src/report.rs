//! Writes a record as JSON, as a Markdown page and as plots.

use std::fmt::Write as _;
use std::path::Path;

use plotters::prelude::*;

use crate::record::{Quantiles, Record, Run};
use crate::role::Error;

const PLOT_SIZE: (u32, u32) = (900, 360);

/// Writes `NAME.json`, `NAME.md` and one plot per variant to `dir`.
pub(crate) fn write(record: &Record, dir: &Path) -> Result<(), Error> {
    std::fs::create_dir_all(dir)?;
    let json = serde_json::to_string_pretty(record).map_err(failed)?;
    std::fs::write(dir.join(format!("{}.json", record.experiment)), json)?;
    std::fs::write(dir.join(format!("{}.md", record.experiment)), render_markdown(record))?;
    for run in &record.runs {
        let path = dir.join(format!("{}-{}.svg", record.experiment, run.variant));
        plot(run, &path)?;
    }
    Ok(())
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::Failed(error.to_string())
}

/// Renders a record as a Markdown page.
pub(crate) fn render_markdown(record: &Record) -> String {
    let mut page = format!("# {} (seed {})\n", record.experiment, record.seed);
    for event in &record.events {
        page += &format!("\n- at {} s: {:?}", event.at_s, event.action);
    }
    page += "\n\n| variant | requests | whole | refused | lost | stall s | stall ms/answer \
             | preemptions | between p50 | p95 | p99 | p99.9 ms | Jain | worst share \
             | CPU ms/1000 tokens |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for run in &record.runs {
        page += &run_row(run);
    }
    for run in &record.runs {
        page += &run_details(run);
    }
    page
}

fn run_row(run: &Run) -> String {
    let inter_token = &run.inter_token_all;
    format!(
        "| {} | {} | {} | {} | {} | {:.1} | {:.1} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.3} \
         | {:.3} | {:.2} |\n",
        run.variant,
        run.requests,
        run.completed,
        run.refusals.values().sum::<u64>(),
        run.failed.values().sum::<u64>(),
        run.stall_s,
        run.stall_ms_per_stream,
        run.preemptions,
        inter_token.p50,
        inter_token.p95,
        inter_token.p99,
        inter_token.p999,
        run.jain_index,
        run.worst_share,
        run.daemon_cpu_ms_per_1000,
    )
}

fn run_details(run: &Run) -> String {
    let mut page = format!("\n## {}\n\nTime to first token or answer, ms:\n\n", run.variant);
    page += "| kind | count | p50 | p95 | p99 | p99.9 |\n|---|---|---|---|---|---|\n";
    for (kind, quantiles) in &run.time_to_first {
        page += &quantile_row(kind, quantiles);
    }
    page += "\n| organisation | requests | whole | refused | lost | service | first p95 ms \
             | between p99 ms |\n|---|---|---|---|---|---|---|---|\n";
    for (name, organisation) in &run.organisations {
        // Writing to a string cannot fail.
        let _ = writeln!(
            page,
            "| {name} | {} | {} | {} | {} | {} | {:.1} | {:.1} |",
            organisation.requests,
            organisation.completed,
            organisation.refused,
            organisation.failed,
            organisation.weighted_tokens,
            organisation.time_to_first.p95,
            organisation.inter_token.p99,
        );
    }
    page += &format!("\nRefusals: {:?}\n\nLost: {:?}\n", run.refusals, run.failed);
    page
}

fn quantile_row(name: &str, quantiles: &Quantiles) -> String {
    format!(
        "| {name} | {} | {:.1} | {:.1} | {:.1} | {:.1} |\n",
        quantiles.count, quantiles.p50, quantiles.p95, quantiles.p99, quantiles.p999
    )
}

/// Plots tokens per second, and refused and failed requests per second as 1/50 of the height each.
fn plot(run: &Run, path: &Path) -> Result<(), Error> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let y_max =
        run.seconds.iter().map(|second| second.tokens).max().unwrap_or(0) as f64 * 1.1 + 1.0;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..run.seconds.len() as f64, 0.0..y_max)
        .map_err(failed)?;
    chart.configure_mesh().x_desc("seconds").y_desc("tokens/s").draw().map_err(failed)?;
    let points = |value: fn(&crate::record::Second) -> u64, scale: f64| {
        let seconds = run.seconds.iter().enumerate();
        seconds.map(move |(ix, second)| (ix as f64, value(second) as f64 * scale))
    };
    chart
        .draw_series(LineSeries::new(points(|second| second.tokens, 1.0), &BLUE))
        .map_err(failed)?;
    let failures =
        LineSeries::new(points(|second| second.refused + second.failed, y_max / 50.0), &RED);
    chart.draw_series(failures).map_err(failed)?;
    area.present().map_err(failed)
}
