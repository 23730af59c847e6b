//! Hints that targets give in their responses: a limit on their requests, that they leave, and how
//! long they want no request of a VM.

use std::time::{Duration, Instant};

use hornbeamloom_bench::fleet::Fleet;
use hornbeamloom_bench::mock_engine::{Engine, Fault};
use hornbeamloom_kernel::cases;

use crate::harness::{
    block_on, call, start_engines, start_fleet, start_plain_targets, wait_until, CallerResponse,
};

/// Interval between two requests of the tests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Time after a response with a hint within which it must be observed.
const HINT_DELAY: Duration = Duration::from_millis(500);
/// Time after the first response with it within which a limit must be observed.
const LIMIT_DELAY: Duration = Duration::from_secs(3);
/// Span over which requests are counted against a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time within which a target that leaves must get no more requests.
const LEAVING_DELAY: Duration = Duration::from_secs(2);

/// The service of a test: the path and the body of its requests.
#[derive(Debug, Clone, Copy)]
struct Service {
    path: &'static str,
    body: &'static [u8],
    is_model: bool,
}

const PLAIN: Service = Service { path: "/look/1", body: b"x", is_model: false };
const MODEL: Service = Service { path: "/draft/1", body: b"events=2", is_model: true };

async fn start_targets(fleet: &Fleet, service: Service, count: usize) -> Vec<Engine> {
    match service.is_model {
        true => start_engines(fleet, count).await,
        false => start_plain_targets(fleet, count).await,
    }
}

/// Sends requests at a steady rate for a time; returns their responses.
async fn send_requests(fleet: &Fleet, service: Service, time: Duration) -> Vec<CallerResponse> {
    let started = Instant::now();
    let mut responses = Vec::new();
    while started.elapsed() < time {
        let calls =
            tokio::time::timeout(REQUEST_INTERVAL * 5, call(fleet, service.path, service.body));
        responses.extend(calls.await.ok());
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    responses
}

/// When requests reached a target since `since`.
fn arrivals(fleet: &Fleet, target: &str, since: Instant) -> Vec<Instant> {
    let requests = fleet.request_log.requests().into_iter();
    let times =
        requests.filter(|request| request.engine == target).map(|request| request.received_at);
    times.filter(|at| *at >= since).collect()
}

/// The most requests that arrived within any span of a length.
fn peak_arrivals(arrivals: &[Instant], span: Duration) -> usize {
    let in_window =
        |from: &Instant| arrivals.iter().filter(|at| *at >= from && **at - *from < span).count();
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

/// Sends requests to two targets, one of which names a limit, and to that one alone.
fn target_gets_no_more_than_it_names(service: Service, limit: f64, header: &'static str) {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_targets(&fleet, service, 2).await;
        targets[0].set_headers(header);
        let named_at = Instant::now();
        let responses = send_requests(&fleet, service, LIMIT_DELAY + LIMIT_WINDOW).await;
        assert!(responses.iter().all(|response| response.status == 200));
        let arrivals = arrivals(&fleet, targets[0].name(), named_at + LIMIT_DELAY);
        let limited = peak_arrivals(&arrivals, LIMIT_WINDOW);
        let allowed = (1.5 * limit * LIMIT_WINDOW.as_secs_f64()) as usize + 5;
        assert!(limited <= allowed, "{limited} requests in 4 s, {allowed} allowed");
        assert!(limited >= limit as usize, "{limited} requests in 4 s");
    });
}

cases! {
    target_gets_no_more_than_it_names;

    // Guards against a target in need that gets as many requests as before.
    limit_of_a_back_end: (PLAIN, 2.0, "Server-Limit: 2\r\n");
    limit_of_an_engine: (MODEL, 1.5, "server-limit: 1.5\r\n");
}

/// Checks how many requests a target gets in a second that it may have to reject, after it said how
/// many rejections it bears.
fn full_target_gets_no_more_than_it_bears(header: &'static str, max_rejections: usize) {
    const CALLERS: usize = 30;
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_plain_targets(&fleet, 2).await;
        targets[0].set_headers(header);
        targets[0].set_fault(Fault::ShedsLoad);
        let named_at = Instant::now();
        let time = LIMIT_DELAY + LIMIT_WINDOW;
        futures_util::future::join_all((0..CALLERS).map(|_| send_requests(&fleet, PLAIN, time)))
            .await;
        let arrivals = arrivals(&fleet, targets[0].name(), named_at + LIMIT_DELAY);
        let peak = peak_arrivals(&arrivals, Duration::from_secs(1));
        assert!((1..=max_rejections).contains(&peak), "{peak} requests in a second");
    });
}

cases! {
    full_target_gets_no_more_than_it_bears;

    // Guards against a target that falls over because each pause ends with many requests at once.
    brittle_target_that_bears_three: ("Server-Brittle: 3\r\n", 3);
    brittle_target_that_bears_one: ("Server-Brittle: 1\r\n", 1);
}

/// Guards against requests that wait for a target that takes none before their deadline, or are
/// refused without a time to come back.
#[test]
fn request_beyond_the_limit_of_all_targets_is_refused_at_once() {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_plain_targets(&fleet, 1).await;
        targets[0].set_headers("Server-Limit: 0.1\r\n");
        send_requests(&fleet, PLAIN, Duration::from_secs(1)).await;
        let started = Instant::now();
        let refused = call(&fleet, PLAIN.path, PLAIN.body).await;
        let elapsed = started.elapsed();
        assert_eq!(refused.status, 503);
        assert!(elapsed < HINT_DELAY, "refused after {elapsed:?}");
        let retry_after: f64 = refused.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(retry_after > 1.0, "retry after {retry_after} s");
    });
}

/// Guards against a limit that stays after the target has stopped to name it.
#[test]
fn limit_ends_when_the_target_no_longer_names_it() {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_plain_targets(&fleet, 1).await;
        targets[0].set_headers("Server-Limit: 2\r\n");
        send_requests(&fleet, PLAIN, Duration::from_secs(1)).await;
        targets[0].set_headers("");
        wait_until("no request is refused", || async {
            let responses = send_requests(&fleet, PLAIN, Duration::from_secs(1)).await;
            responses.iter().all(|response| response.status == 200)
        })
        .await;
    });
}

/// Sends requests to two targets, one of which says that it leaves.
fn leaving_target_gets_no_requests(service: Service) {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_targets(&fleet, service, 2).await;
        targets[0].set_headers("Server-Leaving: 1\r\n");
        let named_at = Instant::now();
        let responses = send_requests(&fleet, service, 2 * LEAVING_DELAY).await;
        assert!(responses.iter().all(|response| response.status == 200));
        let late = arrivals(&fleet, targets[0].name(), named_at + LEAVING_DELAY);
        assert_eq!(late.len(), 0);
    });
}

cases! {
    leaving_target_gets_no_requests;

    // Guards against requests to a target that leaves and has told this VM only.
    leaving_back_end: (PLAIN);
    leaving_engine: (MODEL);
}

/// Guards against requests to a target that wants none of this VM for a time, and against a target
/// that gets none when that time is over.
#[test]
fn target_gets_no_requests_before_the_time_that_it_names() {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_plain_targets(&fleet, 2).await;
        targets[0].set_headers("Retry-After: 2.5\r\n");
        targets[0].set_fault(Fault::ShedsLoad);
        let named_at = Instant::now();
        let responses = send_requests(&fleet, PLAIN, Duration::from_millis(1_500)).await;
        targets[0].set_headers("");
        targets[0].set_fault(Fault::None);
        assert!(responses.iter().all(|response| response.status == 200));
        let first = arrivals(&fleet, targets[0].name(), named_at);
        let late = first.iter().filter(|at| **at >= first[0] + HINT_DELAY).count();
        assert_eq!(late, 0);
        wait_until("the target gets requests again", || async {
            send_requests(&fleet, PLAIN, Duration::from_millis(500)).await;
            arrivals(&fleet, targets[0].name(), named_at).len() > first.len()
        })
        .await;
    });
}
