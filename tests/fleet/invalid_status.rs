//! Responses of targets whose status is none (outside 200 to 599, missing, too short or without end)
//! or contradicts the rest of the head.

use hornbeamloom_bench::mock_engine::{Ending, Fault, RawResponse};
use hornbeamloom_kernel::cases;

use crate::harness::{block_on, call, start_engines, start_fleet, start_plain_targets};
use crate::target_faults::{caller_gets, Outcome};

/// A whole response with this status line, whose body the caller would otherwise get.
const fn with_status(parts: &'static [&'static str]) -> RawResponse {
    RawResponse { parts, ending: Ending::Close }
}

const REST: &str = "X-Attempt-Id: {id}\r\nX-Response-Signature: s\r\nContent-Length: 1\r\n\r\nx";
const STATUS_000: RawResponse = with_status(&["HTTP/1.1 000 x\r\n", REST]);
const STATUS_099: RawResponse = with_status(&["HTTP/1.1 099 x\r\n", REST]);
const STATUS_600: RawResponse = with_status(&["HTTP/1.1 600 x\r\n", REST]);
const STATUS_999: RawResponse = with_status(&["HTTP/1.1 999 x\r\n", REST]);
/// A refusal must not be recognised by its other headers.
const STATUS_600_NOT_RUN: RawResponse =
    with_status(&["HTTP/1.1 600 x\r\nX-Not-Executed: 1\r\n", REST]);
const STATUS_101: RawResponse = with_status(&["HTTP/1.1 101 x\r\n", REST]);
/// The library reads no body after this status.
const STATUS_204: RawResponse = with_status(&["HTTP/1.1 204 x\r\n", REST]);
const STATUS_204_IN_CHUNKS: RawResponse = with_status(&[
    "HTTP/1.1 204 x\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n",
    "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
]);
const STATUS_204_STREAM: RawResponse = with_status(&[
    "HTTP/1.1 204 x\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n",
    "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
]);
const STATUS_204_WITHOUT_BODY: RawResponse =
    with_status(&["HTTP/1.1 204 x\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n\r\n"]);
const TWO_DIGITS: RawResponse = with_status(&["HTTP/1.1 20 x\r\n", REST]);
const NO_STATUS: RawResponse = with_status(&["HTTP/1.1\r\n", REST]);
const ENDLESS_LINE: RawResponse =
    RawResponse { parts: &["HTTP/1.1 200 "], ending: Ending::Repeat("x") };

/// Checks a plain call whose first target sends `response`.
fn plain_call(response: RawResponse, path: &str, expected: Outcome, runs: usize) {
    caller_gets(Fault::SendsRaw(response), path, expected, runs);
}

cases! {
    plain_call;

    // Guards against a status that is none and that the caller gets as a response. Whether the
    // request ran is unknown, so only an idempotent one is repeated.
    status_000_of_an_idempotent_call_is_retried: (STATUS_000, "/look/1", Outcome::Complete, 2);
    status_000_has_an_unknown_outcome: (STATUS_000, "/order/1", Outcome::Unknown, 1);
    status_099_of_an_idempotent_call_is_retried: (STATUS_099, "/look/1", Outcome::Complete, 2);
    status_099_has_an_unknown_outcome: (STATUS_099, "/order/1", Outcome::Unknown, 1);
    status_600_of_an_idempotent_call_is_retried: (STATUS_600, "/look/1", Outcome::Complete, 2);
    status_600_has_an_unknown_outcome: (STATUS_600, "/order/1", Outcome::Unknown, 1);
    status_999_of_an_idempotent_call_is_retried: (STATUS_999, "/look/1", Outcome::Complete, 2);
    status_999_has_an_unknown_outcome: (STATUS_999, "/order/1", Outcome::Unknown, 1);
    status_600_that_claims_not_run_has_an_unknown_outcome: (STATUS_600_NOT_RUN, "/order/1", Outcome::Unknown, 1);
    status_101_of_an_idempotent_call_is_retried: (STATUS_101, "/look/1", Outcome::Complete, 2);
    status_101_has_an_unknown_outcome: (STATUS_101, "/order/1", Outcome::Unknown, 1);
    // Guards against a success whose body is lost.
    status_204_with_a_body_of_an_idempotent_call_is_retried: (STATUS_204, "/look/1", Outcome::Complete, 2);
    status_204_with_a_body_has_an_unknown_outcome: (STATUS_204, "/order/1", Outcome::Unknown, 1);
    status_204_in_chunks_of_an_idempotent_call_is_retried: (STATUS_204_IN_CHUNKS, "/look/1", Outcome::Complete, 2);
    status_204_in_chunks_has_an_unknown_outcome: (STATUS_204_IN_CHUNKS, "/order/1", Outcome::Unknown, 1);
    two_digits_of_an_idempotent_call_are_retried: (TWO_DIGITS, "/look/1", Outcome::Complete, 2);
    two_digits_have_an_unknown_outcome: (TWO_DIGITS, "/order/1", Outcome::Unknown, 1);
    missing_status_of_an_idempotent_call_is_retried: (NO_STATUS, "/look/1", Outcome::Complete, 2);
    missing_status_has_an_unknown_outcome: (NO_STATUS, "/order/1", Outcome::Unknown, 1);
    endless_status_line_of_an_idempotent_call_is_retried: (ENDLESS_LINE, "/look/1", Outcome::Complete, 2);
    endless_status_line_has_an_unknown_outcome: (ENDLESS_LINE, "/order/1", Outcome::Unknown, 1);
}

/// Checks that a caller gets a 502 of this system when every target sends `response`.
pub fn all_targets_send(response: RawResponse, path: &str) {
    all_targets_have(Fault::SendsRaw(response), path, b"x");
}

/// Checks that a caller gets a 502 of this system when every target has the fault.
pub fn all_targets_have(fault: Fault, path: &str, body: &[u8]) {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = match path.starts_with("/draft/") {
            true => start_engines(&fleet, 2).await,
            false => start_plain_targets(&fleet, 2).await,
        };
        targets.iter().for_each(|target| target.set_fault(fault));
        let received = call(&fleet, path, body).await;
        let is_signed = received.headers.contains_key("x-response-signature");
        assert_eq!((received.status, is_signed, &*received.text()), (502, false, ""));
    });
}

cases! {
    all_targets_send;

    // Guards against a status that is none and that passes as the response to the last attempt.
    status_000_of_each_attempt_is_not_forwarded: (STATUS_000, "/look/1");
    status_600_of_each_attempt_is_not_forwarded: (STATUS_600, "/look/1");
    endless_status_line_of_each_attempt_is_not_forwarded: (ENDLESS_LINE, "/look/1");
    // Guards against the same on streams.
    status_000_of_a_stream_is_not_forwarded: (STATUS_000, "/draft/1");
    status_099_of_a_stream_is_not_forwarded: (STATUS_099, "/draft/1");
    status_600_of_a_stream_is_not_forwarded: (STATUS_600, "/draft/1");
    status_999_of_a_stream_is_not_forwarded: (STATUS_999, "/draft/1");
    status_101_of_a_stream_is_not_forwarded: (STATUS_101, "/draft/1");
    status_204_with_a_body_of_a_stream_is_not_forwarded: (STATUS_204, "/draft/1");
    status_204_in_chunks_of_a_stream_is_not_forwarded: (STATUS_204_IN_CHUNKS, "/draft/1");
    status_204_of_an_event_stream_is_not_forwarded: (STATUS_204_STREAM, "/draft/1");
    two_digits_of_a_stream_are_not_forwarded: (TWO_DIGITS, "/draft/1");
    missing_status_of_a_stream_is_not_forwarded: (NO_STATUS, "/draft/1");
    endless_status_line_of_a_stream_is_not_forwarded: (ENDLESS_LINE, "/draft/1");
}

/// Guards against a success without a body that is taken for one whose body was lost.
#[test]
fn status_204_without_a_body_is_forwarded() {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_plain_targets(&fleet, 1).await;
        targets[0].set_fault(Fault::SendsRaw(STATUS_204_WITHOUT_BODY));
        let received = call(&fleet, "/order/1", b"x").await;
        let is_signed = received.headers.contains_key("x-response-signature");
        assert_eq!((received.status, is_signed, &*received.text()), (204, true, ""));
    });
}
