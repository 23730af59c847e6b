//! Choice of a pool by usage and after an owner stopped answering. Guards against requests that
//! stay with a full zone or an unresponsive owner while another zone could start them, and against
//! requests that leave their zone without need.

mod common;

use common::{Harness, Step};
use hornbeamloom_kernel::outcome::Reason;

/// Reports the usage of two zones and compares the asks of the requests that follow.
fn asks_by_usage(own: u32, other: u32, age_ms: u64, requests: &[u64], expected: &[&str]) {
    let mut harness = Harness::new();
    harness.run(&[
        Step::ArriveBalanced(100),
        Step::Refuse(100, "e2", Reason::Busy),
        Step::Usage(other),
        Step::Grant(100, "e3", "t3"),
        Step::ArriveBalanced(101),
        Step::Usage(own),
        Step::Grant(101, "e2", "t1"),
        Step::Wait(age_ms),
    ]);
    let before = harness.trace.len();
    let steps: Vec<Step> = requests.iter().map(|n| Step::ArriveBalanced(*n)).collect();
    harness.run(&steps);
    assert_eq!(harness.trace[before..], *expected);
}

hornbeamloom_kernel::cases! {
    asks_by_usage;

    // Guards against requests of a busy zone that wait for each other's prompts while another zone
    // is idle.
    a_much_less_used_zone_goes_first: (900, 100, 50, &[1], &["ask e3 for 1"]);
    // Guards against a partitioned zone that takes down generations of other zones' callers.
    a_slightly_less_used_zone_does_not: (900, 801, 50, &[1], &["ask e2 for 1"]);
    a_more_used_zone_does_not: (300, 900, 50, &[1], &["ask e2 for 1"]);
    // Guards against relying on the usage of a zone from before its engines left.
    an_old_usage_report_does_not_count: (900, 100, 5_100, &[1], &["ask e2 for 1"]);
}

/// Compares where a request is asked for after the owner of its own zone stopped answering.
fn asks_after_silence(request: Step, wait_ms: u64, expected: &[&str]) {
    let mut harness = Harness::new();
    let trace = harness.run(&[Step::StopAnswering("e2"), request, Step::Wait(wait_ms)]);
    assert_eq!(trace, expected);
}

hornbeamloom_kernel::cases! {
    asks_after_silence;

    // When a zone was partitioned, 46 requests spent their whole queue time on owners in it.
    a_silent_owner_times_out_after_half_the_queue_timeout: (
        Step::ArriveBalanced(1), 300,
        &["ask e2 for 1", "retry AskTimeout", "withdraw 1 from e2", "ask e3 for 1"],
    );
    an_owner_has_250_ms_to_answer: (Step::ArriveBalanced(1), 200, &["ask e2 for 1"]);
    a_request_without_another_pool_waits_longer: (Step::Arrive(1), 300, &["ask e2 for 1"]);
}
