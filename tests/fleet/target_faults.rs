//! Engines that refuse, fail, break off or answer wrongly.

use std::time::Duration;

use hornbeamloom_bench::model::Fault;
use hornbeamloom_kernel::cases;

use crate::harness::{
    block_on, call, start_engines, start_fleet, start_plain_targets, CallerResponse,
};

/// What a caller gets where one of two back ends has a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Gets {
    /// The whole answer of the sound one.
    Answer,
    /// The faulty one's own answer.
    Failure,
    /// An answer that promises nothing.
    Unknown,
}

fn gets(response: &CallerResponse) -> Gets {
    match (response.status, response.headers.contains_key("x-response-signature")) {
        (200, true) => Gets::Answer,
        (500, true) => Gets::Failure,
        (502 | 504, false) => Gets::Unknown,
        other => panic!("an unexpected answer: {other:?}"),
    }
}

/// Sends requests until one meets the faulty back end, and compares what its caller gets.
fn meets(fault: Fault, path: &str, expected: Gets, runs: usize) {
    block_on(async {
        let fleet = start_fleet().await;
        let desks = start_plain_targets(&fleet, 2).await;
        desks[0].set_fault(fault);
        for _ in 0..200 {
            let response = call(&fleet, path, b"x").await;
            let seen = fleet.journal.seen();
            let reached = seen.iter().any(|seen| {
                seen.engine == "d1" && seen.header("x-attempt-id") == Some(&*response.attempt_id)
            });
            if !reached {
                continue;
            }
            let own: Vec<usize> = vec![fleet.journal.runs(&response.attempt_id).len()];
            assert_eq!((gets(&response), own), (expected, vec![runs]));
            assert!(response.is_complete);
            if expected == Gets::Answer {
                assert_eq!(response.text(), format!("d2:{}", response.attempt_id));
            }
            return;
        }
        panic!("no request met the faulty back end");
    });
}

cases! {
    meets;

    // Guards against a caller that is refused for one full target.
    a_full_target_leaves_the_request_to_another: (Fault::Sheds, "/order/1", Gets::Answer, 1);
    // Guards against a request to the wrong service at an address that is used again.
    a_target_with_another_s_address_does_not_run_it: (Fault::Misdirected, "/order/1", Gets::Answer, 1);
    // Guards against a failure that a second target would not have had.
    a_failure_is_repeated_where_that_is_allowed: (Fault::Fails, "/look/1", Gets::Answer, 2);
    // Guards against a call that runs twice (I6).
    a_failure_is_passed_on_where_it_is_not: (Fault::Fails, "/order/1", Gets::Failure, 1);
    a_cut_answer_is_repeated_where_that_is_allowed: (Fault::Truncates, "/look/1", Gets::Answer, 2);
    a_cut_answer_promises_nothing_where_it_is_not: (Fault::Truncates, "/order/1", Gets::Unknown, 1);
    // Guards against another's answer (I4).
    another_request_s_answer_is_not_passed_on: (Fault::AnswersAnother, "/order/1", Gets::Unknown, 1);
    an_encoded_answer_is_not_the_target_s: (Fault::Encodes, "/order/1", Gets::Unknown, 1);
}

/// Guards against a second answer that reaches the next request.
#[test]
fn a_second_answer_belongs_to_no_request() {
    block_on(async {
        let fleet = start_fleet().await;
        let desks = start_plain_targets(&fleet, 1).await;
        desks[0].set_fault(Fault::AnswersTwice);
        for _ in 0..5 {
            let response = call(&fleet, "/order/1", b"x").await;
            assert_eq!(response.text(), format!("d1:{}", response.attempt_id));
        }
    });
}

/// Guards against a stream that breaks off in an event and looks whole, or has half an event.
#[test]
fn a_stream_cut_in_an_event_ends_after_a_whole_one() {
    block_on(async {
        let fleet = start_fleet().await;
        let engines = start_engines(&fleet, 1).await;
        engines[0].set_fault(Fault::CutsAfter(4));
        let response = call(&fleet, "/draft/1", b"events=9").await;
        assert!(!response.is_complete);
        assert!(response.text().ends_with("\n\n"), "{:?}", response.text());
    });
}

/// Guards against a wait for the time-out where nothing can take a request.
#[test]
fn a_request_without_a_target_is_refused_in_time_and_told_when_to_come_back() {
    block_on(async {
        let fleet = start_fleet().await;
        let desks = start_plain_targets(&fleet, 1).await;
        fleet.store.drop_row("servers", desks[0].name());
        let started = std::time::Instant::now();
        let response = loop {
            let response = call(&fleet, "/order/1", b"x").await;
            if response.status != 200 {
                break response;
            }
        };
        assert_eq!(response.status, 503);
        assert!(response.headers.contains_key("retry-after"));
        assert!(fleet.journal.runs(&response.attempt_id).is_empty());
        assert!(started.elapsed() < Duration::from_secs(15));
    });
}
