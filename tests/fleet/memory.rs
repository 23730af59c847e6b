//! Memory of a daemon that reads responses without end.

use futures_util::future::join_all;
use hornbeamloom_bench::fleet::Fleet;
use hornbeamloom_bench::mock_engine::{Ending, Fault, RawResponse};
use hornbeamloom_kernel::cases;
use reqwest::header::{HeaderMap, HeaderName};

use crate::harness::{
    block_on, call, new_attempt_id, new_request, send, start_engines, start_fleet_with_buffers,
    start_plain_targets,
};

/// Memory in which the daemon may buffer bodies, in MiB.
const BUFFER_MB: u64 = 4;
/// Memory that it may use beyond its start: the buffers, twice while they grow, and the read buffers
/// and tasks of the connections.
const MAX_GROWTH_MB: u64 = 2 * BUFFER_MB + 8;
/// Longest body that the configuration admits.
const MAX_BODY_BYTES: usize = 1 << 20;
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Deadline of requests whose response has no end.
const DEADLINE_MS: u64 = 6_000;

const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n";
const PLAIN_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n\r\n";
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                           X-Attempt-Id: {id}\r\n\r\n";
const OPEN_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n";

fn peak_mb(fleet: &Fleet) -> u64 {
    fleet.daemons[0].process.peak_resident_mb().expect("the daemon still runs")
}

/// Checks that the daemon has stayed within its limit since its peak was `before` MiB.
fn assert_bounded(fleet: &Fleet, before: u64) {
    let growth = peak_mb(fleet) - before;
    assert!(growth < MAX_GROWTH_MB, "resident memory has grown by {growth} MB from {before} MB");
}

/// Checks that responses without end to `count` requests at a time stay within the memory limit, and
/// that the daemon serves requests afterwards.
fn endless_responses_are_bounded(
    path: &str,
    count: usize,
    parts: &'static [&'static str],
    repeated: &'static str,
) {
    block_on(async {
        let fleet = start_fleet_with_buffers(BUFFER_MB << 20, MAX_BODY_BYTES).await;
        let targets = match path {
            "/draft/1" => start_engines(&fleet, 1).await,
            _ => start_plain_targets(&fleet, 1).await,
        };
        let before = peak_mb(&fleet);
        let ending = Ending::Repeat(repeated);
        targets[0].set_fault(Fault::SendsRaw(RawResponse { parts, ending }));
        let responses = join_all((0..count).map(|_| {
            let attempt_id = new_attempt_id();
            let headers = HeaderMap::from_iter([(DEADLINE_HEADER, DEADLINE_MS.into())]);
            let request = new_request(&fleet, 0, path, &attempt_id).headers(headers).body("x");
            send(request, attempt_id)
        }));
        for response in responses.await {
            assert!(response.status != 200 || !response.is_complete, "{response:?}");
        }
        assert_bounded(&fleet, before);
        targets[0].set_fault(Fault::None);
        assert_eq!(call(&fleet, path, b"events=1").await.status, 200);
    });
}

cases! {
    endless_responses_are_bounded;

    // Guards against a limit that counts payload, while each chunk is kept with its overhead.
    one_body_in_small_chunks: ("/order/1", 1, &[CHUNKED_HEAD], "2\r\nxx\r\n");
    one_body_in_small_chunks_instead_of_a_stream: ("/draft/1", 1, &[CHUNKED_HEAD], "2\r\nxx\r\n");
    // Guards against a limit for each body where nothing limits all of them.
    several_bodies_in_small_chunks: ("/order/1", 7, &[CHUNKED_HEAD], "2\r\nxx\r\n");
    several_bodies_without_a_length: ("/order/1", 7, &[PLAIN_HEAD], "xxxxxxxx");
    many_bodies_instead_of_streams: ("/draft/1", 20, &[PLAIN_HEAD], "xxxxxxxx");
    many_heads: ("/order/1", 20, &[OPEN_HEAD], "a: b\r\n");
    many_events: ("/draft/1", 20, &[STREAM_HEAD], "xxxxxxxx");
}
