//! Guards against requests that stay with a full zone or a silent owner while another could start
//! them, and against requests that leave their zone for nothing.

mod common;

use common::{Harness, Step};
use hornbeamloom_kernel::outcome::Reason;

/// Asks of the last request, after others have told how full two zones are.
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

    // A busy zone's requests would wait for each other's prompts beside an empty zone.
    a_much_less_used_zone_goes_first: (900, 100, 50, &[1], &["ask e3 for 1"]);
    // A zone that is cut off would take the generations of other zones' callers with it.
    a_slightly_less_used_zone_does_not: (900, 801, 50, &[1], &["ask e2 for 1"]);
    a_more_used_zone_does_not: (300, 900, 50, &[1], &["ask e2 for 1"]);
    // What a zone was like before its engines left says nothing of it now.
    an_old_usage_report_does_not_count: (900, 100, 5_100, &[1], &["ask e2 for 1"]);
}

/// Where a request is asked for after its own zone's owner has fallen silent.
fn asks_after_silence(request: Step, wait_ms: u64, expected: &[&str]) {
    let mut harness = Harness::new();
    let trace = harness.run(&[Step::StopAnswering("e2"), request, Step::Wait(wait_ms)]);
    assert_eq!(trace, expected);
}

hornbeamloom_kernel::cases! {
    asks_after_silence;

    // A zone was cut off, and 46 requests spent their time on owners in it.
    a_silent_owner_times_out_after_half_the_queue_timeout: (
        Step::ArriveBalanced(1), 300,
        &["ask e2 for 1", "retry AskTimeout", "withdraw 1 from e2", "ask e3 for 1"],
    );
    an_owner_has_250_ms_to_answer: (Step::ArriveBalanced(1), 200, &["ask e2 for 1"]);
    a_request_without_another_pool_waits_longer: (Step::Arrive(1), 300, &["ask e2 for 1"]);
}
