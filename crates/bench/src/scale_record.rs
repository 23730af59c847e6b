//! The record of a scale run, and how its figures grow with the number of VMs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A figure over the daemons of one fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Summary {
    /// Half of the daemons are at or below it.
    pub median: f64,
    /// 95 in 100 are at or below it.
    pub p95: f64,
    /// The largest.
    pub max: f64,
}

impl Summary {
    /// The spread of `values` by nearest rank; all zero without values.
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

/// A line through a figure of several fleets.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LinearFit {
    /// Growth of the figure for one more VM.
    pub slope: f64,
    /// The figure without VMs.
    pub intercept: f64,
}

impl LinearFit {
    /// The least-squares line through `(x, y)` points; `None` unless two of them differ in `x`.
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

    /// The figure that the line gives for `x` VMs.
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
    /// Time from the accepted write until the last daemon had it in force, in milliseconds;
    /// `None` if one had not at the limit.
    #[serde(rename = "spread_ms")]
    pub propagation_ms: Option<f64>,
    /// Daemons that had it in force at the end.
    pub reached: usize,
}

/// The figures of one fleet.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FleetResult {
    /// Daemons.
    pub daemons: usize,
    /// Availability zones.
    pub zones: usize,
    /// Pools.
    pub pools: usize,
    /// Length of the stretch without load, in seconds.
    #[serde(rename = "stretch_s")]
    pub idle_s: f64,
    /// Spreads over all daemons by figure.
    #[serde(rename = "figures")]
    pub metrics: BTreeMap<String, Summary>,
    /// Spreads over the daemons that own pools.
    pub owners: BTreeMap<String, Summary>,
    /// Spreads over the others.
    #[serde(rename = "members")]
    pub non_owners: BTreeMap<String, Summary>,
    /// Figures of the platform.
    pub platform: BTreeMap<String, f64>,
    /// Changes with the store reachable for all.
    pub connected: Vec<Propagation>,
    /// Changes with the store reachable for one daemon only.
    #[serde(rename = "cut")]
    pub partitioned: Vec<Propagation>,
    /// Daemons whose revision came from a peer at the end of the cut.
    pub from_peers: usize,
}

/// The lines of one figure.
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
    /// Whether the figures are those of a trial on a machine that others used.
    pub trial: bool,
    /// Load average of the machine when the run began.
    pub load_average: String,
    /// The fleets in the order of the run.
    pub fleets: Vec<FleetResult>,
    /// Growth of the medians by figure, and of the platform's figures as `platform.NAME`.
    pub growth: BTreeMap<String, Growth>,
}

impl ScaleRecord {
    /// Computes the growth of every figure that each fleet has.
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

/// The record as a readable page.
pub fn render(record: &ScaleRecord) -> String {
    let trial_note = match record.trial {
        true => "Trial on a busy machine: not for a page.\n\n",
        false => "",
    };
    let mut page = format!("# scale\n\n{trial_note}Load average: {}\n", record.load_average);
    for fleet in &record.fleets {
        page += &render_fleet(fleet);
    }
    page += "\n## growth of medians\n\n| figure | per VM of the fleet | intercept | per VM of a \
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
        "\n## {} daemons, {} zones, {} pools, {} s\n\n| figure | median | p95 | max | owners' median \
         | others' median |\n|---|---|---|---|---|---|\n",
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
            "\n- {name}: {} of {} changes everywhere, median {:.0} ms, max {:.0} ms",
            propagation_times.len(),
            changes.len(),
            summary.median,
            summary.max
        );
    }
    page + &format!("\n- from_peers: {}\n", fleet.from_peers)
}
