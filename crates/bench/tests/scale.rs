//! Tests the statistics and the record of scale runs. Guards against wrong slopes, which the
//! capacity page would extrapolate to 380 VMs, and against renamed metrics, which would leave its
//! cells without a source.

use std::collections::BTreeMap;

use hornbeamloom_bench::scale_record::{
    self, FleetResult, LinearFit, Propagation, ScaleRecord, Summary,
};
use hornbeamloom_kernel::cases;
use serde_json::Value;

const TOLERANCE: f64 = 1e-9;

fn assert_fit(points: &[(f64, f64)], expected: Option<(f64, f64)>) {
    let fit = LinearFit::least_squares(points);
    match (fit, expected) {
        (Some(fit), Some((slope, intercept))) => {
            assert!((fit.slope - slope).abs() < TOLERANCE, "{fit:?}");
            assert!((fit.intercept - intercept).abs() < TOLERANCE, "{fit:?}");
        }
        (fit, expected) => assert_eq!(fit.is_some(), expected.is_some(), "{fit:?}"),
    }
}

cases! {
    assert_fit;
    fit_of_two_points_is_exact: (&[(3.0, 7.0), (9.0, 19.0)], Some((2.0, 1.0)));
    constant_metric_has_zero_slope: (&[(3.0, 5.0), (9.0, 5.0), (27.0, 5.0)], Some((0.0, 5.0)));
    decreasing_metric_has_negative_slope: (&[(0.0, 4.0), (2.0, 0.0)], Some((-2.0, 4.0)));
    scattered_points_are_fitted_by_least_squares:
        (&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)], Some((0.5, 0.5)));
    distant_fleet_sizes_weigh_more:
        (&[(0.0, 0.0), (1.0, 0.0), (5.0, 14.0)], Some((3.0, -4.0 / 3.0)));
    single_fleet_gives_no_fit: (&[(3.0, 7.0)], None);
    fleets_of_equal_size_give_no_fit: (&[(3.0, 7.0), (3.0, 8.0)], None);
    no_fleet_gives_no_fit: (&[], None);
}

fn assert_summary(values: &[f64], median: f64, p95: f64, max: f64) {
    assert_eq!(Summary::new(values), Summary { median, p95, max });
}

cases! {
    assert_summary;
    summary_of_no_values_is_zero: (&[], 0.0, 0.0, 0.0);
    single_value_is_every_quantile: (&[3.0], 3.0, 3.0, 3.0);
    order_of_values_does_not_matter: (&[9.0, 1.0, 5.0], 5.0, 9.0, 9.0);
    p95_of_twenty_values_excludes_the_largest: (
        &[20.0, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0, 10.0, 11.0, 12.0, 13.0, 14.0, 15.0,
          16.0, 17.0, 18.0, 19.0],
        10.0, 19.0, 20.0
    );
}

fn fleet(daemons: usize, zones: usize, median: f64, reads: f64) -> FleetResult {
    let summary = Summary { median, p95: median * 10.0, max: median * 20.0 };
    FleetResult {
        daemons,
        zones,
        metrics: BTreeMap::from([("cpu_percent".to_owned(), summary)]),
        platform: BTreeMap::from([("reads_per_s".to_owned(), reads)]),
        connected: vec![Propagation {
            write_ms: 4.0,
            propagation_ms: Some(900.0),
            reached: daemons,
        }],
        partitioned: vec![Propagation { propagation_ms: None, ..Propagation::default() }],
        ..FleetResult::default()
    }
}

fn record() -> ScaleRecord {
    let fleets = vec![fleet(9, 3, 1.0, 18.0), fleet(36, 6, 4.0, 72.0)];
    ScaleRecord { trial: true, fleets, ..ScaleRecord::default() }.with_growth()
}

fn assert_growth(name: &str, per_fleet: f64, per_zone: f64) {
    let record = record();
    let growth = record.growth[name];
    assert!((growth.fleet.slope - per_fleet).abs() < TOLERANCE, "{growth:?}");
    assert!((growth.zone.slope - per_zone).abs() < TOLERANCE, "{growth:?}");
}

cases! {
    assert_growth;
    // 9 VMs in 3 zones are 3 per zone, 36 in 6 zones are 6 per zone.
    growth_is_computed_from_medians: ("cpu_percent", 1.0 / 9.0, 1.0);
    growth_is_computed_for_platform_metrics: ("platform.reads_per_s", 2.0, 18.0);
}

#[test]
fn metric_missing_from_one_fleet_has_no_growth() {
    let mut record = record();
    record.growth.clear();
    record.fleets[1].metrics.clear();
    assert!(!record.with_growth().growth.contains_key("cpu_percent"));
}

/// Guards against renamed JSON fields, which would break the references of the capacity page.
fn assert_json_value(pointer: &str, expected: &str) {
    let value = serde_json::to_value(record()).expect("a record serializes to JSON");
    let expected: Value = serde_json::from_str(expected).expect("the expected value is JSON");
    assert_eq!(value.pointer(pointer), Some(&expected), "{value:#}");
}

cases! {
    assert_json_value;
    record_has_the_trial_flag: ("/trial", "true");
    fleet_has_its_size: ("/fleets/0/daemons", "9");
    metric_has_a_median: ("/fleets/0/figures/cpu_percent/median", "1.0");
    metric_has_a_p95: ("/fleets/0/figures/cpu_percent/p95", "10.0");
    metric_has_a_maximum: ("/fleets/0/figures/cpu_percent/max", "20.0");
    platform_has_rates: ("/fleets/1/platform/reads_per_s", "72.0");
    change_has_its_propagation_time: ("/fleets/0/connected/0/spread_ms", "900.0");
    change_that_did_not_propagate_has_no_time: ("/fleets/0/cut/0/spread_ms", "null");
    growth_has_a_slope: ("/growth/platform.reads_per_s/fleet/slope", "2.0");
}

#[test]
fn record_survives_a_json_round_trip() {
    let text = serde_json::to_string(&record()).expect("a record serializes to JSON");
    let read: ScaleRecord = serde_json::from_str(&text).expect("a serialized record parses");
    assert_eq!(read, record());
}

/// Guards against a report that presents a trial as a regular run or omits lost changes.
fn assert_report_contains(text: &str) {
    let report = scale_record::render(&record());
    assert!(report.contains(text), "{report}");
}

cases! {
    assert_report_contains;
    report_marks_a_trial: ("Trial on a busy machine");
    report_has_the_metrics_of_each_fleet: ("| cpu_percent | 1.000 | 10.000 | 20.000 |");
    report_counts_changes_that_propagated: ("connected: 1 of 1 changes reached all daemons");
    report_counts_changes_that_did_not_propagate: ("cut: 0 of 1 changes reached all daemons");
}
