//! Engines that refuse, fail, break off or answer wrongly.

use std::time::Duration;

use hornbeamloom_bench::mock_engine::Fault;
use hornbeamloom_kernel::cases;

use crate::harness::{call, desks, fleet, models, run, Answer};

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

fn gets(answer: &Answer) -> Gets {
    match (answer.status, answer.headers.contains_key("x-response-signature")) {
        (200, true) => Gets::Answer,
        (500, true) => Gets::Failure,
        (502 | 504, false) => Gets::Unknown,
        other => panic!("an unexpected answer: {other:?}"),
    }
}

/// Sends requests until one meets the faulty back end, and compares what its caller gets.
fn meets(fault: Fault, path: &str, expected: Gets, runs: usize) {
    run(async {
        let fleet = fleet().await;
        let desks = desks(&fleet, 2).await;
        desks[0].set_fault(fault);
        for _ in 0..200 {
            let answer = call(&fleet, path, b"x").await;
            let seen = fleet.journal.requests();
            let reached = seen.iter().any(|seen| {
                seen.engine == "d1" && seen.header("x-attempt-id") == Some(&*answer.attempt)
            });
            if !reached {
                continue;
            }
            let own: Vec<usize> = vec![fleet.journal.executed_by(&answer.attempt).len()];
            assert_eq!((gets(&answer), own), (expected, vec![runs]));
            assert!(answer.is_whole);
            if expected == Gets::Answer {
                assert_eq!(answer.text(), format!("d2:{}", answer.attempt));
            }
            return;
        }
        panic!("no request met the faulty back end");
    });
}

cases! {
    meets;

    // Guards against a caller that is refused for one full target.
    a_full_target_leaves_the_request_to_another: (Fault::ShedsLoad, "/order/1", Gets::Answer, 1);
    // Guards against a request to the wrong service at an address that is used again.
    a_target_with_another_s_address_does_not_run_it: (Fault::Misdirected, "/order/1", Gets::Answer, 1);
    // Guards against a failure that a second target would not have had.
    a_failure_is_repeated_where_that_is_allowed: (Fault::ReturnsError, "/look/1", Gets::Answer, 2);
    // Guards against a call that runs twice (I6).
    a_failure_is_passed_on_where_it_is_not: (Fault::ReturnsError, "/order/1", Gets::Failure, 1);
    a_cut_answer_is_repeated_where_that_is_allowed: (Fault::TruncatesResponse, "/look/1", Gets::Answer, 2);
    a_cut_answer_promises_nothing_where_it_is_not: (Fault::TruncatesResponse, "/order/1", Gets::Unknown, 1);
    // Guards against another's answer (I4).
    another_request_s_answer_is_not_passed_on: (Fault::EchoesOtherAttempt, "/order/1", Gets::Unknown, 1);
    an_encoded_answer_is_not_the_target_s: (Fault::SetsContentEncoding, "/order/1", Gets::Unknown, 1);
}

/// Guards against a second answer that reaches the next request.
#[test]
fn a_second_answer_belongs_to_no_request() {
    run(async {
        let fleet = fleet().await;
        let desks = desks(&fleet, 1).await;
        desks[0].set_fault(Fault::DuplicatesResponse);
        for _ in 0..5 {
            let answer = call(&fleet, "/order/1", b"x").await;
            assert_eq!(answer.text(), format!("d1:{}", answer.attempt));
        }
    });
}

/// Guards against a stream that breaks off in an event and looks whole, or has half an event.
#[test]
fn a_stream_cut_in_an_event_ends_after_a_whole_one() {
    run(async {
        let fleet = fleet().await;
        let engines = models(&fleet, 1).await;
        engines[0].set_fault(Fault::DisconnectsAfter(4));
        let answer = call(&fleet, "/draft/1", b"events=9").await;
        assert!(!answer.is_whole);
        assert!(answer.text().ends_with("\n\n"), "{:?}", answer.text());
    });
}

/// Guards against a wait for the time-out where nothing can take a request.
#[test]
fn a_request_without_a_target_is_refused_in_time_and_told_when_to_come_back() {
    run(async {
        let fleet = fleet().await;
        let desks = desks(&fleet, 1).await;
        fleet.store.delete_row("servers", desks[0].name());
        let started = std::time::Instant::now();
        let answer = loop {
            let answer = call(&fleet, "/order/1", b"x").await;
            if answer.status != 200 {
                break answer;
            }
        };
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
        assert!(fleet.journal.executed_by(&answer.attempt).is_empty());
        assert!(started.elapsed() < Duration::from_secs(15));
    });
}
