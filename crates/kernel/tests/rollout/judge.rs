//! The judgement on a version by the outcomes of both.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::ids::{Incarnation, Millis};
use hornbeamloom_kernel::rollout_count::{add, bucket, Cell, Ledger, Report};
use hornbeamloom_kernel::rollout_judge::{judge, trips_breaker, Evidence, Judgement};

/// Outcomes: route, target (empty for the old version), complete, failed, time to the first event.
type Row = (u32, &'static str, u32, u32, u64);

fn cell(&(route, target, complete, failed, first_ms): &Row) -> Cell {
    let mut first = Vec::new();
    add(&mut first, bucket(first_ms), complete);
    Cell { route, target: target.into(), complete, failed, first, pace: Vec::new() }
}

fn judged(rows: &[Row], elapsed_ms: u64, expected: Judgement) {
    let cells: Vec<Cell> = rows.iter().map(cell).collect();
    let evidence = Evidence { cells: &cells, new_targets: 3, elapsed_ms, duration_ms: 12_000 };
    assert_eq!(judge(&evidence), expected);
}

const OLD: Row = (1, "", 400, 2, 100);

cases! {
    judged;
    // Guards against a verdict before a fault that appears later could be seen.
    good_version_is_not_judged_early: (&[OLD, (1, "e1", 40, 0, 100), (1, "e2", 40, 0, 100)], 3_000, Judgement::Undecided);
    good_version_at_half_of_the_time: (&[OLD, (1, "e1", 20, 0, 100), (1, "e2", 20, 0, 100)], 6_000, Judgement::Good);
    // Guards against a good verdict on a handful of responses.
    few_outcomes_at_half_of_the_time: (&[OLD, (1, "e1", 5, 0, 100), (1, "e2", 5, 0, 100)], 6_000, Judgement::Undecided);
    few_outcomes_suffice_later: (&[OLD, (1, "e1", 5, 0, 100), (1, "e2", 5, 0, 100)], 9_000, Judgement::Good);
    // Guards against a roll-out without any traffic that never ends.
    no_outcomes_at_the_deadline: (&[OLD], 10_600, Judgement::Bad("no_evidence"));
    // Guards against a bad version that is kept until half of the time is over.
    failures_are_judged_at_once: (&[OLD, (1, "e1", 8, 4, 100), (1, "e2", 8, 4, 100)], 700, Judgement::Bad("failures"));
    // Guards against a failing target that is taken for a failing version.
    one_failing_target: (&[OLD, (1, "e1", 0, 30, 100), (1, "e2", 20, 0, 100), (1, "e3", 20, 0, 100)], 6_000, Judgement::Good);
    // Guards against a few outcomes of a target that was hardly used outweighing all the others.
    few_slow_outcomes_of_another_target: (&[OLD, (1, "e1", 270, 0, 100), (1, "e1", 7, 0, 400), (1, "e2", 1, 0, 100), (1, "e2", 2, 0, 400)], 6_000, Judgement::Good);
    // Guards against a failing service that is taken for a failing version.
    failing_service: (&[(1, "", 200, 200, 100), (1, "e1", 10, 10, 100), (1, "e2", 10, 10, 100)], 6_000, Judgement::Good);
    // Guards against a fault of one route that disappears in the sum of all routes.
    one_failing_route: (&[OLD, (2, "", 40, 0, 100), (1, "e1", 900, 0, 100), (2, "e1", 0, 4, 100), (2, "e2", 0, 4, 100), (1, "e2", 900, 0, 100)], 700, Judgement::Bad("failures"));
    slow_version: (&[OLD, (1, "e1", 10, 0, 400), (1, "e2", 10, 0, 400)], 700, Judgement::Bad("slow_first_event"));
    // Guards against routes whose times differ being compared with each other.
    slow_route: (&[OLD, (2, "", 40, 0, 900), (2, "e1", 20, 0, 900), (2, "e2", 20, 0, 900)], 6_000, Judgement::Good);
    // Guards against a good verdict on a version that may well be bad.
    suspect_version_is_not_good: (&[OLD, (1, "e1", 20, 1, 100), (1, "e2", 20, 1, 100)], 6_000, Judgement::Undecided);
    suspect_version_at_the_deadline: (&[OLD, (1, "e1", 20, 1, 100), (1, "e2", 20, 1, 100)], 10_600, Judgement::Bad("suspect"));
}

fn breaker(old: (u32, u32), new: (u32, u32), is_tripped: bool) {
    assert_eq!(trips_breaker(old, new), is_tripped);
}

cases! {
    breaker;
    single_failures_do_not_trip: ((0, 100), (5, 10), false);
    several_failures_trip: ((0, 100), (6, 10), true);
    failures_of_both_versions_do_not_trip: ((40, 100), (6, 10), false);
}

/// Reports of one VM: incarnation, sequence and failures; and the failures counted in the end.
fn merges(reports: &[(u64, u64, u32)], expected: u32) {
    let mut ledger = Ledger::default();
    for &(incarnation, sequence, failed) in reports {
        let cells = vec![Cell { failed, ..Cell::default() }];
        let incarnation = Incarnation(incarnation);
        let report = Report { incarnation, sequence, cells, ..Report::default() };
        ledger.record("a1", &report, Millis(1));
    }
    assert_eq!(ledger.merged().iter().map(|cell| cell.failed).sum::<u32>(), expected);
}

cases! {
    merges;
    repeated_report_counts_once: (&[(1, 1, 5), (1, 1, 5)], 5);
    lost_report_is_made_up_for: (&[(1, 1, 5), (1, 9, 40)], 40);
    late_report_is_ignored: (&[(1, 9, 40), (1, 1, 5)], 40);
    restarted_vm_starts_from_zero: (&[(1, 9, 40), (2, 1, 5)], 45);
    report_of_an_earlier_process_is_ignored: (&[(2, 1, 5), (1, 9, 40)], 5);
}
