//! Decisions on connections of clients that do not behave, without a network.

use hornbeamloom_daemon::client_limits::{
    default_connections, last_resort, least_useful, overdue, port_share, Phase, Terms, View,
};
use hornbeamloom_kernel::cases;

const TERMS: Terms =
    Terms { idle_ms: Some(15_000), head_ms: 3_000, progress_ms: 10_000, bytes_per_s: 512 };

/// A connection that has been in `phase` for `ms` and moved `bytes` meanwhile, the last one
/// `quiet_ms` ago.
fn view(phase: Phase, ms: u64, bytes: u64, quiet_ms: u64) -> View {
    View { phase, phase_ms: ms, quiet_ms, period_ms: ms, period_bytes: bytes }
}

fn is_closed_for(view: View, reason: Option<&str>) {
    assert_eq!(overdue(&view, &TERMS), reason);
}

cases! {
    is_closed_for;
    // Callers inside the rules are not closed: heads within 3 s, idle connections for 15 s.
    head_within_its_time: (view(Phase::Head, 2_999, 10, 500), None);
    idle_connection_within_its_time: (view(Phase::Idle, 14_999, 0, 14_999), None);
    body_before_the_end_of_the_first_period: (view(Phase::Body, 9_999, 0, 9_999), None);
    body_at_the_minimum_rate: (view(Phase::Body, 10_000, 5_120, 10), None);
    // A long generation between two events: the VM works, the client has nothing to do.
    stream_without_an_event_for_long: (view(Phase::Work, 600_000, 0, 600_000), None);
    // Large numbers of clients that send or read very slowly, or stall midway.
    head_byte_by_byte: (view(Phase::Head, 3_000, 30, 100), Some("slow_head"));
    body_byte_by_byte: (view(Phase::Body, 10_000, 100, 100), Some("slow_body"));
    body_that_stops_short_of_its_end: (view(Phase::Body, 10_000, 0, 10_000), Some("slow_body"));
    response_read_byte_by_byte: (view(Phase::Response, 10_000, 100, 100), Some("slow_reader"));
    response_not_read: (view(Phase::Response, 10_000, 0, 10_000), Some("slow_reader"));
    silent_connection: (view(Phase::Idle, 15_000, 0, 15_000), Some("idle"));
}

fn closes_as_a_last_resort(views: &[View], expected: Option<usize>) {
    let views = views.iter().copied().enumerate();
    assert_eq!(last_resort(views), expected);
}

cases! {
    closes_as_a_last_resort;
    // A crowd just above the minimum rate would keep everybody else out.
    longest_body_goes: (
        &[view(Phase::Body, 5_000, 3_000, 10), view(Phase::Body, 9_000, 6_400, 10)], Some(1)
    );
    slow_reader_goes: (&[view(Phase::Response, 9_000, 6_400, 10)], Some(0));
    body_goes_before_response: (
        &[view(Phase::Response, 9_000, 6_400, 10), view(Phase::Body, 5_000, 3_000, 10)], Some(1)
    );
    fast_upload_stays: (&[view(Phase::Body, 5_000, 1_000_000, 5)], None);
    fast_reader_stays: (&[view(Phase::Response, 5_000, 1_000_000, 5)], None);
    body_that_has_just_begun_stays: (&[view(Phase::Body, 10, 0, 10)], None);
    response_that_has_just_begun_stays: (&[view(Phase::Response, 900, 0, 10)], None);
    request_in_progress_stays: (&[view(Phase::Work, 9_000, 0, 9_000)], None);
    transfer_goes_before_a_connection_that_has_just_opened: (
        &[view(Phase::Idle, 5, 0, 5), view(Phase::Response, 9_000, 6_400, 10)], Some(1)
    );
    longest_of_those_that_have_just_opened_goes: (
        &[view(Phase::Idle, 5, 0, 5), view(Phase::Head, 9, 40, 5)], Some(1)
    );
}

fn closes_first(views: &[View], expected: Option<usize>) {
    let views = views.iter().copied().enumerate();
    assert_eq!(least_useful(views, &TERMS), expected);
}

cases! {
    closes_first;
    nothing_is_open: (&[], None);
    // A burst of ordinary requests: nobody is slow, so the new connection is refused.
    active_connections_stay: (&[view(Phase::Work, 9_000, 0, 9_000)], None);
    uploads_that_progress_stay: (&[view(Phase::Body, 5_000, 1_000_000, 5)], None);
    upload_that_has_just_begun_stays: (&[view(Phase::Body, 900, 0, 900)], None);
    // Silent clients that take all descriptors: the oldest goes, so that a new one has its chance.
    longest_idle_goes_first: (
        &[view(Phase::Idle, 20, 0, 20), view(Phase::Idle, 900, 0, 900)], Some(1)
    );
    partial_heads_count_as_idle: (
        &[view(Phase::Idle, 20, 0, 20), view(Phase::Head, 900, 40, 5)], Some(1)
    );
    idle_goes_before_slow: (
        &[view(Phase::Body, 9_000, 0, 9_000), view(Phase::Idle, 20, 0, 20)], Some(1)
    );
    // A crowd that connects again and again would otherwise have each new connection closed before
    // its request is read.
    slow_goes_before_a_connection_that_has_just_opened: (
        &[view(Phase::Body, 9_000, 0, 9_000), view(Phase::Idle, 19, 0, 19)], Some(0)
    );
    // Bodies that stop just short of their end, after a fast start.
    stalled_body_goes_before_active: (
        &[view(Phase::Work, 9_000, 0, 9_000), view(Phase::Body, 3_000, 4_000_000, 2_900)], Some(1)
    );
    longest_stalled_goes_first: (
        &[view(Phase::Response, 3_000, 9, 1_500), view(Phase::Body, 3_000, 9, 2_900)], Some(1)
    );
    trickling_body_goes: (&[view(Phase::Body, 2_000, 20, 100)], Some(0));
}

fn connections_fit(descriptors: u64, buffer_bytes: u64) {
    let connections = default_connections(descriptors, buffer_bytes);
    assert!(connections >= 1);
    assert!(2 * connections as u64 <= descriptors, "{connections} connections");
    assert!(port_share(connections) <= connections);
}

cases! {
    connections_fit;
    // Guards against a default beyond the descriptors, whatever limit the VM has.
    smallest_vm: (3_075, 24 << 20);
    vm_of_a_test: (256, 4 << 20);
    vm_with_few_descriptors: (20, 24 << 20);
    vm_without_a_limit: (u64::MAX, 1 << 40);
}
