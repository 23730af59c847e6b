//! Graceful shutdown, cancellation, timeouts and takeovers.

use std::time::{Duration, Instant};

use hornbeamloom_bench::fleet::config;

use crate::harness::{
    block_on, call, new_attempt_id, new_request, send, start_engines, start_fleet,
    start_fleet_with_shutdown_limit, start_plain_targets, wait_until, wait_until_served,
    CALLER_KEY, CALL_DURATION, TEST_TIMEOUT,
};

/// Time after SIGTERM within which callers notice the shutdown, and from which their requests are
/// refused: `settle_s`, which the harness sets to 1 s, and a margin of 1 s.
const STOP_PROPAGATION: Duration = Duration::from_secs(2);

/// Guards against a graceful shutdown that truncates a stream (I8).
#[test]
fn graceful_shutdown_completes_open_streams() {
    block_on(async {
        let mut fleet = start_fleet().await;
        start_engines(&fleet, 1).await;
        let attempt_id = new_attempt_id();
        let request = new_request(&fleet, 0, "/draft/1", &attempt_id).body("events=100");
        let stream = tokio::spawn(send(request, attempt_id));
        tokio::time::sleep(Duration::from_millis(400)).await;
        let readiness =
            format!("http://{}/hornbeamloom/readyz", fleet.daemons[0].readiness_address);
        fleet.daemons[0].process.terminate();
        wait_until("the VM is no longer ready", || async {
            reqwest::get(&readiness).await.map_or(true, |response| response.status() == 503)
        })
        .await;
        stream.await.unwrap().assert_stream(100);
        let status = fleet.daemons[0].process.wait(Duration::from_secs(30)).await;
        assert!(status.is_some_and(|status| status.success()));
    });
}

/// Guards against a VM that accepts requests late in its shutdown: it is killed at the end of its
/// grace period, which truncates their responses.
#[test]
fn stopping_vm_refuses_late_requests() {
    block_on(async {
        let mut fleet = start_fleet().await;
        start_engines(&fleet, 1).await;
        let attempt_id = new_attempt_id();
        let request = new_request(&fleet, 0, "/draft/1", &attempt_id).body("events=400");
        let stream = tokio::spawn(send(request, attempt_id));
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet.daemons[0].process.terminate();
        tokio::time::sleep(STOP_PROPAGATION).await;
        assert!(!stream.is_finished(), "the stream must still be running");
        assert_eq!(call(&fleet, "/draft/2", b"events=1").await.status, 503);
        stream.await.unwrap().assert_stream(400);
    });
}

/// Guards against requests that end without any response when the process reaches the limit of its
/// shutdown, because their target has not begun to answer by then.
fn request_is_answered_before_the_shutdown_ends(path: &'static str, service: &'static str) {
    block_on(async {
        let mut fleet = start_fleet_with_shutdown_limit(3).await;
        let _target = fleet.start_engine("t1", service, "a", TEST_TIMEOUT).await.unwrap();
        let send_until_executed = || async {
            let attempt_id = new_attempt_id();
            let request = new_request(&fleet, 0, path, &attempt_id).body("x");
            let response = tokio::spawn(send(request, attempt_id.clone()));
            tokio::time::sleep(Duration::from_millis(200)).await;
            let is_executed = !fleet.request_log.executed_by(&attempt_id).is_empty();
            is_executed.then_some(response)
        };
        let mut response = None;
        while response.is_none() {
            response = send_until_executed().await;
        }
        fleet.daemons[0].process.terminate();
        // The request may have run, so no status that promises the contrary is allowed.
        assert_eq!(response.unwrap().await.unwrap().status, 504);
    });
}

hornbeamloom_kernel::cases! {
    request_is_answered_before_the_shutdown_ends;

    call_is_answered_before_the_shutdown_ends: ("/look/1", "desk");
    stream_without_head_is_answered_before_the_shutdown_ends: ("/draft/1", "model");
}

/// Guards against a VM that accepts a request although it may be killed before the response is due.
#[test]
fn request_that_may_outlast_the_shutdown_is_refused() {
    block_on(async {
        let mut fleet = start_fleet_with_shutdown_limit(5).await;
        start_plain_targets(&fleet, 1).await;
        let readiness =
            format!("http://{}/hornbeamloom/readyz", fleet.daemons[0].readiness_address);
        fleet.daemons[0].process.terminate();
        wait_until("the VM is no longer ready", || async {
            reqwest::get(&readiness).await.map_or(true, |response| response.status() == 503)
        })
        .await;
        // The settle time of 1 s is not over; the request may take 20 s.
        assert_eq!(call(&fleet, "/look/1", b"x").await.status, 503);
    });
}

/// Guards against targets that keep working for callers that have disconnected.
fn work_is_cancelled(path: &'static str, body: &'static str, disconnect_after: Duration) {
    block_on(async {
        let fleet = start_fleet().await;
        let engines = start_engines(&fleet, 1).await;
        let slow_target =
            fleet.start_engine("d1", "desk", "a", Duration::from_secs(5)).await.unwrap();
        // The target has been discovered once it receives a request.
        let attempt_id = new_attempt_id();
        let reach_target = || async {
            let request = new_request(&fleet, 0, path, &attempt_id).body(body);
            // The caller disconnects long before the response is complete.
            let _ = tokio::time::timeout(disconnect_after, send(request, attempt_id.clone())).await;
            !fleet.request_log.executed_by(&attempt_id).is_empty()
        };
        wait_until("a request reaches the target", reach_target).await;
        let started = Instant::now();
        let is_cancelled = || async {
            let received = fleet.request_log.requests();
            received.iter().any(|request| {
                request.header("x-attempt-id") == Some(&*attempt_id)
                    && request.disconnected_at.is_some()
            })
        };
        wait_until("the request is cancelled", is_cancelled).await;
        assert!(started.elapsed() < Duration::from_secs(3));
        drop((engines, slow_target));
    });
}

hornbeamloom_kernel::cases! {
    work_is_cancelled;

    stream_is_cancelled_when_its_caller_disconnects: ("/draft/1", "events=500", Duration::from_millis(400));
    call_is_cancelled_when_its_caller_disconnects: ("/look/1", "x", Duration::from_millis(400));
}

/// Guards against requests that are held beyond the timeout of their route.
#[test]
fn request_is_answered_at_the_timeout_of_its_route() {
    block_on(async {
        let fleet = start_fleet().await;
        let mut short_timeout_config = config(2, &[CALLER_KEY]);
        short_timeout_config["routes"][2]["timeout_ms"] = 700.into();
        fleet.put_config(&short_timeout_config);
        start_plain_targets(&fleet, 1).await;
        fleet.store.delete_row("servers", "d1");
        fleet.start_engine("d2", "desk", "a", Duration::from_secs(30)).await.unwrap();
        let mut response = call(&fleet, "/look/1", b"x").await;
        let end = Instant::now() + Duration::from_secs(30);
        // The slow target receives a request as soon as it has been discovered.
        while response.status != 504 && Instant::now() < end {
            response = call(&fleet, "/look/1", b"x").await;
        }
        assert_eq!(response.status, 504, "the request may have run, so its outcome is unknown");
    });
}

/// Guards against a zone that stops serving when the VM that schedules it is killed.
#[test]
fn another_vm_takes_over_when_the_owner_dies() {
    block_on(async {
        let mut fleet = start_fleet().await;
        start_plain_targets(&fleet, 2).await;
        fleet.start_daemon("vm-2", "a").unwrap();
        let call_status_at = |daemon: usize| {
            let fleet = &fleet;
            async move {
                let attempt_id = new_attempt_id();
                send(new_request(fleet, daemon, "/look/1", &attempt_id).body("x"), attempt_id)
                    .await
                    .status
            }
        };
        wait_until("the second VM serves requests", || async { call_status_at(1).await == 200 })
            .await;
        fleet.daemons[0].process.kill();
        let second_vm_status = || async {
            let attempt_id = new_attempt_id();
            send(new_request(&fleet, 1, "/look/1", &attempt_id).body("x"), attempt_id).await.status
        };
        wait_until("the second VM serves requests after the takeover", || async {
            second_vm_status().await == 200
        })
        .await;
    });
}

/// Guards against targets that can be used only by VMs of their own zone.
#[test]
fn vm_uses_the_targets_of_another_zone() {
    block_on(async {
        let mut fleet = start_fleet().await;
        fleet.start_daemon("vm-2", "b").unwrap();
        fleet.start_engine("d1", "desk", "b", CALL_DURATION).await.unwrap();
        wait_until_served(&fleet, "/look/1").await;
    });
}

/// Guards against requests that come on open connections late in a planned stop, are passed on to a
/// target, and are cut off without a response when the process ends.
#[test]
fn every_request_passed_on_during_a_planned_stop_is_answered() {
    const DEADLINES_MS: [u64; 4] = [300, 900, 2_000, 20_000];
    block_on(async {
        let mut fleet = start_fleet_with_shutdown_limit(5).await;
        let slow = Duration::from_millis(600);
        let _back_end = fleet.start_engine("d1", "desk", "a", slow).await.unwrap();
        let _engines = start_engines(&fleet, 2).await;
        let callers: Vec<_> = (0..12)
            .map(|ix: usize| {
                let path = ["/look/1", "/order/1", "/draft/1"][ix % 3];
                let deadline_ms = DEADLINES_MS[ix / 3];
                let client = reqwest::Client::builder().no_proxy().build().unwrap();
                let url = format!("http://{}{path}", fleet.daemons[0].caller_address);
                tokio::spawn(call_until_gone(client, url, deadline_ms))
            })
            .collect();
        tokio::time::sleep(STOP_PROPAGATION).await;
        fleet.daemons[0].process.terminate();
        assert!(fleet.daemons[0].process.wait(TEST_TIMEOUT).await.is_some());
        let mut unanswered = Vec::new();
        for caller in callers {
            unanswered.extend(caller.await.unwrap());
        }
        unanswered.retain(|id| !fleet.request_log.executed_by(id).is_empty());
        assert!(unanswered.is_empty(), "passed on, without a response: {unanswered:?}");
    });
}

/// Sends requests one after the other, on a kept connection where the VM allows it, until the VM is
/// gone. Returns the attempt ids of those without a complete response.
async fn call_until_gone(client: reqwest::Client, url: String, deadline_ms: u64) -> Vec<String> {
    let mut unanswered = Vec::new();
    loop {
        let attempt_id = new_attempt_id();
        let request = client
            .post(&url)
            .header("host", "host.example")
            .header(hornbeamloom_bench::fleet::ATTEMPT_ID_HEADER, &attempt_id)
            .header("x-deadline-ms", deadline_ms)
            .header("x-token-usage", "100,2000")
            .header("authorization", format!("Token {CALLER_KEY}"))
            .body("events=5");
        let response = send(request, attempt_id).await;
        if response.status == 0 || !response.is_complete {
            unanswered.push(response.attempt_id);
        }
        let host = url.trim_start_matches("http://").split('/').next().unwrap_or_default();
        if response.status == 0 && tokio::net::TcpStream::connect(host).await.is_err() {
            return unanswered;
        }
    }
}
