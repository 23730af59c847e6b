//! The record of a scale run, and how its figures grow with the number of VMs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A figure over the daemons of one fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Spread {
    /// Half of the daemons are at or below it.
    pub median: f64,
    /// 95 in 100 are at or below it.
    pub p95: f64,
    /// The largest.
    pub max: f64,
}

impl Spread {
    /// The spread of `values` by nearest rank; all zero without values.
    ///
    /// ```
    /// use hornbeamloom_bench::slope::Spread;
    ///
    /// let spread = Spread::new(&[4.0, 1.0, 3.0, 2.0]);
    /// assert_eq!((spread.median, spread.p95, spread.max), (2.0, 4.0, 4.0));
    /// ```
    pub fn new(values: &[f64]) -> Spread {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        Spread { median: at(&sorted, 50), p95: at(&sorted, 95), max: at(&sorted, 100) }
    }
}

fn at(sorted: &[f64], percent: usize) -> f64 {
    let rank = (sorted.len() * percent).div_ceil(100).max(1);
    sorted.get(rank - 1).copied().unwrap_or_default()
}

/// A line through a figure of several fleets.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Line {
    /// Growth of the figure for one more VM.
    pub slope: f64,
    /// The figure without VMs.
    pub intercept: f64,
}

impl Line {
    /// The least-squares line through `(x, y)` points; `None` unless two of them differ in `x`.
    ///
    /// ```
    /// use hornbeamloom_bench::slope::Line;
    ///
    /// let line = Line::fit(&[(3.0, 7.0), (9.0, 19.0)]).unwrap();
    /// assert!((line.at(380.0) - 761.0).abs() < 1e-6);
    /// ```
    pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let common: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        (spread > 0.0).then(|| {
            let slope = common / spread;
            let intercept = mean_y - slope * mean_x;
            Line { slope, intercept }
        })
    }

    /// The figure that the line gives for `x` VMs.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// The propagation of one resource change.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Time until the write was accepted, in milliseconds.
    pub write_ms: f64,
    /// Time from the accepted write until the last daemon had it in force, in milliseconds;
    /// `None` if one had not at the limit.
    pub spread_ms: Option<f64>,
    /// Daemons that had it in force at the end.
    pub reached: usize,
}

/// The figures of one fleet.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Fleet {
    /// Daemons.
    pub daemons: usize,
    /// Availability zones.
    pub zones: usize,
    /// Pools.
    pub pools: usize,
    /// Length of the stretch without load, in seconds.
    pub stretch_s: f64,
    /// Spreads over all daemons by figure.
    pub figures: BTreeMap<String, Spread>,
    /// Spreads over the daemons that own pools.
    pub owners: BTreeMap<String, Spread>,
    /// Spreads over the others.
    pub members: BTreeMap<String, Spread>,
    /// Figures of the platform.
    pub platform: BTreeMap<String, f64>,
    /// Changes with the store reachable for all.
    pub connected: Vec<Change>,
    /// Changes with the store reachable for one daemon only.
    pub cut: Vec<Change>,
    /// Daemons whose revision came from a peer at the end of the cut.
    pub from_peers: usize,
}

/// The lines of one figure.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Growth {
    /// By the number of VMs in the fleet.
    pub fleet: Line,
    /// By the number of VMs in a zone.
    pub zone: Line,
}

/// The record of a scale run.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Whether the figures are those of a trial on a machine that others used.
    pub trial: bool,
    /// Load average of the machine when the run began.
    pub load_average: String,
    /// The fleets in the order of the run.
    pub fleets: Vec<Fleet>,
    /// Growth of the medians by figure, and of the platform's figures as `platform.NAME`.
    pub growth: BTreeMap<String, Growth>,
}

impl Record {
    /// Computes the growth of every figure that each fleet has.
    pub fn with_growth(mut self) -> Record {
        let names: Vec<String> = self.fleets.first().map(names).unwrap_or_default();
        for name in names {
            if let Some(growth) = growth(&self.fleets, &name) {
                self.growth.insert(name, growth);
            }
        }
        self
    }
}

fn names(fleet: &Fleet) -> Vec<String> {
    let own = fleet.figures.keys().cloned();
    let platform = fleet.platform.keys().map(|name| format!("platform.{name}"));
    own.chain(platform).collect()
}

fn figure(fleet: &Fleet, name: &str) -> Option<f64> {
    match name.strip_prefix("platform.") {
        Some(name) => fleet.platform.get(name).copied(),
        None => fleet.figures.get(name).map(|spread| spread.median),
    }
}

fn growth(fleets: &[Fleet], name: &str) -> Option<Growth> {
    let line = |size: fn(&Fleet) -> f64| {
        let points: Option<Vec<(f64, f64)>> =
            fleets.iter().map(|fleet| Some((size(fleet), figure(fleet, name)?))).collect();
        Line::fit(&points?)
    };
    Some(Growth {
        fleet: line(|fleet| fleet.daemons as f64)?,
        zone: line(|fleet| fleet.daemons as f64 / fleet.zones.max(1) as f64)?,
    })
}

/// The record as a readable page.
pub fn text(record: &Record) -> String {
    let label = match record.trial {
        true => "Trial on a busy machine: not for a page.\n\n",
        false => "",
    };
    let mut page = format!("# scale\n\n{label}Load average: {}\n", record.load_average);
    for fleet in &record.fleets {
        page += &fleet_text(fleet);
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

fn fleet_text(fleet: &Fleet) -> String {
    let mut page = format!(
        "\n## {} daemons, {} zones, {} pools, {} s\n\n| figure | median | p95 | max | owners' median \
         | others' median |\n|---|---|---|---|---|---|\n",
        fleet.daemons, fleet.zones, fleet.pools, fleet.stretch_s
    );
    for (name, spread) in &fleet.figures {
        let part = |part: &BTreeMap<String, Spread>| match part.get(name) {
            Some(spread) => format!("{:.3}", spread.median),
            None => "-".to_owned(),
        };
        page += &format!(
            "| {name} | {:.3} | {:.3} | {:.3} | {} | {} |\n",
            spread.median,
            spread.p95,
            spread.max,
            part(&fleet.owners),
            part(&fleet.members)
        );
    }
    for (name, value) in &fleet.platform {
        page += &format!("\n- platform.{name}: {value:.2}");
    }
    for (name, changes) in [("connected", &fleet.connected), ("cut", &fleet.cut)] {
        let times: Vec<f64> = changes.iter().filter_map(|one| one.spread_ms).collect();
        let spread = Spread::new(&times);
        page += &format!(
            "\n- {name}: {} of {} changes everywhere, median {:.0} ms, max {:.0} ms",
            times.len(),
            changes.len(),
            spread.median,
            spread.max
        );
    }
    page + &format!("\n- from_peers: {}\n", fleet.from_peers)
}
