//! The record of a scale run, and the growth of its metrics with the number of VMs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Quantiles of a metric over the daemons of one fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Summary {
    /// The 50th percentile.
    pub median: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The largest value.
    pub max: f64,
}

impl Summary {
    /// Summarizes `values` by the nearest-rank method; all quantiles of no values are zero.
    ///
    /// ```
    /// use hornbeamloom_bench::scale_record::Summary;
    ///
    /// let summary = Summary::new(&[4.0, 1.0, 3.0, 2.0]);
    /// assert_eq!((summary.median, summary.p95, summary.max), (2.0, 4.0, 4.0));
    /// ```
    pub fn new(values: &[f64]) -> Summary {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        Summary {
            median: percentile(&sorted, 50),
            p95: percentile(&sorted, 95),
            max: percentile(&sorted, 100),
        }
    }
}

fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let rank = (sorted.len() * percent).div_ceil(100).max(1);
    sorted.get(rank - 1).copied().unwrap_or_default()
}

/// A linear fit of a metric over the size of several fleets.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LinearFit {
    /// Growth of the metric for each additional VM.
    pub slope: f64,
    /// Value of the metric without VMs.
    pub intercept: f64,
}

impl LinearFit {
    /// Fits `(x, y)` points by least squares; `None` unless two of them differ in `x`.
    ///
    /// ```
    /// use hornbeamloom_bench::scale_record::LinearFit;
    ///
    /// let fit = LinearFit::least_squares(&[(3.0, 7.0), (9.0, 19.0)]).unwrap();
    /// assert!((fit.predict(380.0) - 761.0).abs() < 1e-6);
    /// ```
    pub fn least_squares(points: &[(f64, f64)]) -> Option<LinearFit> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        (sum_xx > 0.0).then(|| {
            let slope = sum_xy / sum_xx;
            let intercept = mean_y - slope * mean_x;
            LinearFit { slope, intercept }
        })
    }

    /// The predicted value of the metric for `x` VMs.
    pub fn predict(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// The propagation of one resource change.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Propagation {
    /// Time until the write was accepted, in milliseconds.
    pub write_ms: f64,
    /// Time from the accepted write until the last daemon had applied it, in milliseconds; `None`
    /// if a daemon had not applied it within the time limit.
    #[serde(rename = "spread_ms")]
    pub propagation_ms: Option<f64>,
    /// Number of daemons that had applied it within the time limit.
    pub reached: usize,
}

/// The results of one fleet.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FleetResult {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of pools.
    pub pools: usize,
    /// Duration of the measurement without load, in seconds.
    #[serde(rename = "stretch_s")]
    pub idle_s: f64,
    /// Summaries over all daemons by metric.
    #[serde(rename = "figures")]
    pub metrics: BTreeMap<String, Summary>,
    /// Summaries over the daemons that own pools.
    pub owners: BTreeMap<String, Summary>,
    /// Summaries over the daemons that own no pool.
    #[serde(rename = "members")]
    pub non_owners: BTreeMap<String, Summary>,
    /// Metrics of the platform.
    pub platform: BTreeMap<String, f64>,
    /// Changes while all daemons reach the store.
    pub connected: Vec<Propagation>,
    /// Changes while only the first daemon reaches the store.
    #[serde(rename = "cut")]
    pub partitioned: Vec<Propagation>,
    /// Number of daemons whose revision came from a peer at the end of the partition.
    pub from_peers: usize,
}

/// The linear fits of one metric.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Growth {
    /// By the number of VMs in the fleet.
    pub fleet: LinearFit,
    /// By the number of VMs in a zone.
    pub zone: LinearFit,
}

/// The record of a scale run.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ScaleRecord {
    /// Whether the run was a trial on a machine with other load.
    pub trial: bool,
    /// Load average of the machine at the start of the run.
    pub load_average: String,
    /// The fleets in the order of the run.
    pub fleets: Vec<FleetResult>,
    /// Growth of the medians by metric, and of the platform's metrics as `platform.NAME`.
    pub growth: BTreeMap<String, Growth>,
}

impl ScaleRecord {
    /// Computes the growth of every metric that all fleets have.
    pub fn with_growth(mut self) -> ScaleRecord {
        let names: Vec<String> = self.fleets.first().map(metric_names).unwrap_or_default();
        for name in names {
            if let Some(growth) = growth(&self.fleets, &name) {
                self.growth.insert(name, growth);
            }
        }
        self
    }
}

fn metric_names(fleet: &FleetResult) -> Vec<String> {
    let metrics = fleet.metrics.keys().cloned();
    let platform = fleet.platform.keys().map(|name| format!("platform.{name}"));
    metrics.chain(platform).collect()
}

fn metric_value(fleet: &FleetResult, name: &str) -> Option<f64> {
    match name.strip_prefix("platform.") {
        Some(name) => fleet.platform.get(name).copied(),
        None => fleet.metrics.get(name).map(|summary| summary.median),
    }
}

fn growth(fleets: &[FleetResult], name: &str) -> Option<Growth> {
    let fit = |size: fn(&FleetResult) -> f64| {
        let points: Option<Vec<(f64, f64)>> =
            fleets.iter().map(|fleet| Some((size(fleet), metric_value(fleet, name)?))).collect();
        LinearFit::least_squares(&points?)
    };
    Some(Growth {
        fleet: fit(|fleet| fleet.daemons as f64)?,
        zone: fit(|fleet| fleet.daemons as f64 / fleet.zones.max(1) as f64)?,
    })
}

/// Renders the record as Markdown.
pub fn render(record: &ScaleRecord) -> String {
    let trial_note = match record.trial {
        true => "Trial on a busy machine: do not publish.\n\n",
        false => "",
    };
    let mut page = format!("# scale\n\n{trial_note}Load average: {}\n", record.load_average);
    for fleet in &record.fleets {
        page += &render_fleet(fleet);
    }
    page += "\n## growth of medians\n\n| metric | per VM of the fleet | intercept | per VM of a \
             zone | intercept |\n|---|---|---|---|---|\n";
    for (name, growth) in &record.growth {
        let (fleet, zone) = (growth.fleet, growth.zone);
        page += &format!(
            "| {name} | {:.4} | {:.3} | {:.4} | {:.3} |\n",
            fleet.slope, fleet.intercept, zone.slope, zone.intercept
        );
    }
    page
}

fn render_fleet(fleet: &FleetResult) -> String {
    let mut page = format!(
        "\n## {} daemons, {} zones, {} pools, {} s\n\n| metric | median | p95 | max | owners' median \
         | non-owners' median |\n|---|---|---|---|---|---|\n",
        fleet.daemons, fleet.zones, fleet.pools, fleet.idle_s
    );
    for (name, summary) in &fleet.metrics {
        let median_in = |group: &BTreeMap<String, Summary>| match group.get(name) {
            Some(summary) => format!("{:.3}", summary.median),
            None => "-".to_owned(),
        };
        page += &format!(
            "| {name} | {:.3} | {:.3} | {:.3} | {} | {} |\n",
            summary.median,
            summary.p95,
            summary.max,
            median_in(&fleet.owners),
            median_in(&fleet.non_owners)
        );
    }
    for (name, value) in &fleet.platform {
        page += &format!("\n- platform.{name}: {value:.2}");
    }
    for (name, changes) in [("connected", &fleet.connected), ("cut", &fleet.partitioned)] {
        let propagation_times: Vec<f64> =
            changes.iter().filter_map(|change| change.propagation_ms).collect();
        let summary = Summary::new(&propagation_times);
        page += &format!(
            "\n- {name}: {} of {} changes reached all daemons, median {:.0} ms, max {:.0} ms",
            propagation_times.len(),
            changes.len(),
            summary.median,
            summary.max
        );
    }
    page + &format!("\n- from_peers: {}\n", fleet.from_peers)
}
