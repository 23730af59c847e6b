//! The arithmetic and the record of scale runs. A wrong slope would be carried to 380 VMs by the
//! capacity page, and a renamed figure would leave its cells without a source.

use std::collections::BTreeMap;

use hornbeamloom_bench::slope::{self, Change, Fleet, Line, Record, Spread};
use hornbeamloom_kernel::cases;
use serde_json::Value;

const EXACT: f64 = 1e-9;

fn fits(points: &[(f64, f64)], expected: Option<(f64, f64)>) {
    let line = Line::fit(points);
    match (line, expected) {
        (Some(line), Some((slope, intercept))) => {
            assert!((line.slope - slope).abs() < EXACT, "{line:?}");
            assert!((line.intercept - intercept).abs() < EXACT, "{line:?}");
        }
        (line, expected) => assert_eq!(line.is_some(), expected.is_some(), "{line:?}"),
    }
}

cases! {
    fits;
    a_line_through_two_points_is_exact: (&[(3.0, 7.0), (9.0, 19.0)], Some((2.0, 1.0)));
    a_constant_figure_has_no_slope: (&[(3.0, 5.0), (9.0, 5.0), (27.0, 5.0)], Some((0.0, 5.0)));
    a_falling_figure_has_a_negative_slope: (&[(0.0, 4.0), (2.0, 0.0)], Some((-2.0, 4.0)));
    scatter_is_averaged_by_least_squares:
        (&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)], Some((0.5, 0.5)));
    distant_sizes_weigh_more: (&[(0.0, 0.0), (1.0, 0.0), (5.0, 14.0)], Some((3.0, -4.0 / 3.0)));
    one_fleet_gives_no_line: (&[(3.0, 7.0)], None);
    fleets_of_one_size_give_no_line: (&[(3.0, 7.0), (3.0, 8.0)], None);
    no_fleet_gives_no_line: (&[], None);
}

fn spreads(values: &[f64], median: f64, p95: f64, max: f64) {
    assert_eq!(Spread::new(values), Spread { median, p95, max });
}

cases! {
    spreads;
    nothing_spreads_to_zero: (&[], 0.0, 0.0, 0.0);
    one_daemon_is_every_quantile: (&[3.0], 3.0, 3.0, 3.0);
    order_does_not_matter: (&[9.0, 1.0, 5.0], 5.0, 9.0, 9.0);
    p95_of_twenty_leaves_the_largest_out: (
        &[20.0, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0, 10.0, 11.0, 12.0, 13.0, 14.0, 15.0,
          16.0, 17.0, 18.0, 19.0],
        10.0, 19.0, 20.0
    );
}

fn fleet(daemons: usize, zones: usize, median: f64, reads: f64) -> Fleet {
    let spread = Spread { median, p95: median * 10.0, max: median * 20.0 };
    Fleet {
        daemons,
        zones,
        figures: BTreeMap::from([("cpu_percent".to_owned(), spread)]),
        platform: BTreeMap::from([("reads_per_s".to_owned(), reads)]),
        connected: vec![Change { write_ms: 4.0, spread_ms: Some(900.0), reached: daemons }],
        cut: vec![Change { spread_ms: None, ..Change::default() }],
        ..Fleet::default()
    }
}

fn record() -> Record {
    let fleets = vec![fleet(9, 3, 1.0, 18.0), fleet(36, 6, 4.0, 72.0)];
    Record { trial: true, fleets, ..Record::default() }.with_growth()
}

fn grows(name: &str, per_fleet: f64, per_zone: f64) {
    let record = record();
    let growth = record.growth[name];
    assert!((growth.fleet.slope - per_fleet).abs() < EXACT, "{growth:?}");
    assert!((growth.zone.slope - per_zone).abs() < EXACT, "{growth:?}");
}

cases! {
    grows;
    // 9 VMs in 3 zones are 3 a zone, 36 in 6 are 6 a zone.
    the_median_and_not_the_largest_grows: ("cpu_percent", 1.0 / 9.0, 1.0);
    the_platforms_figures_grow_too: ("platform.reads_per_s", 2.0, 18.0);
}

#[test]
fn a_figure_that_one_fleet_lacks_has_no_growth() {
    let mut record = record();
    record.growth.clear();
    record.fleets[1].figures.clear();
    assert!(!record.with_growth().growth.contains_key("cpu_percent"));
}

/// Guards against a record that the capacity page's figure names no longer point into.
fn holds(pointer: &str, expected: &str) {
    let value = serde_json::to_value(record()).expect("a record is JSON");
    let expected: Value = serde_json::from_str(expected).expect("the case is JSON");
    assert_eq!(value.pointer(pointer), Some(&expected), "{value:#}");
}

cases! {
    holds;
    the_record_says_that_it_is_a_trial: ("/trial", "true");
    a_fleet_has_its_size: ("/fleets/0/daemons", "9");
    a_figure_has_a_median: ("/fleets/0/figures/cpu_percent/median", "1.0");
    a_figure_has_a_p95: ("/fleets/0/figures/cpu_percent/p95", "10.0");
    a_figure_has_a_largest: ("/fleets/0/figures/cpu_percent/max", "20.0");
    the_platform_has_rates: ("/fleets/1/platform/reads_per_s", "72.0");
    a_change_has_its_time: ("/fleets/0/connected/0/spread_ms", "900.0");
    a_change_that_did_not_arrive_has_no_time: ("/fleets/0/cut/0/spread_ms", "null");
    a_line_has_a_slope: ("/growth/platform.reads_per_s/fleet/slope", "2.0");
}

#[test]
fn a_record_reads_back_as_it_was_written() {
    let text = serde_json::to_string(&record()).expect("a record is JSON");
    let read: Record = serde_json::from_str(&text).expect("the text was written here");
    assert_eq!(read, record());
}

/// Guards against a page that passes a trial or a lost change off as a result.
fn says(text: &str) {
    let page = slope::text(&record());
    assert!(page.contains(text), "{page}");
}

cases! {
    says;
    the_page_names_a_trial: ("Trial on a busy machine");
    the_page_has_the_figure_of_each_fleet: ("| cpu_percent | 1.000 | 10.000 | 20.000 |");
    the_page_counts_changes_that_arrived: ("connected: 1 of 1 changes everywhere");
    the_page_counts_changes_that_did_not: ("cut: 0 of 1 changes everywhere");
}
