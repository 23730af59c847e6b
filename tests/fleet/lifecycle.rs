//! Ends: planned stops, callers that leave, time-outs, and VMs that take over.

use std::time::{Duration, Instant};

use hornbeamloom_bench::fleet::config;

use crate::harness::{
    block_on, call, new_attempt_id, new_request, send, start_engines, start_fleet,
    start_plain_targets, wait_until, wait_until_served, CALLER_KEY, CALL_DURATION,
};

/// Time after the order to stop in which callers have noticed it: the stand-in's settling time of
/// 1 s and one more.
const LATE: Duration = Duration::from_secs(2);

/// Guards against a planned stop that cuts a request off (I8).
#[test]
fn a_planned_stop_finishes_its_streams() {
    block_on(async {
        let mut fleet = start_fleet().await;
        start_engines(&fleet, 1).await;
        let attempt = new_attempt_id();
        let sent = new_request(&fleet, 0, "/draft/1", &attempt).body("events=100");
        let stream = tokio::spawn(send(sent, attempt));
        tokio::time::sleep(Duration::from_millis(400)).await;
        let readiness = format!("http://{}/hornbeamloom/readyz", fleet.daemons[0].readiness);
        fleet.daemons[0].process.terminate();
        wait_until("the end of readiness", || async {
            reqwest::get(&readiness).await.map_or(true, |response| response.status() == 503)
        })
        .await;
        stream.await.unwrap().assert_stream(100);
        let status = fleet.daemons[0].process.wait(Duration::from_secs(30)).await;
        assert!(status.is_some_and(|status| status.success()));
    });
}

/// Guards against a request that a VM takes long after it was told to stop: it is killed at the end
/// of its grace, with the request half answered.
#[test]
fn a_stopping_vm_refuses_what_comes_late() {
    block_on(async {
        let mut fleet = start_fleet().await;
        start_engines(&fleet, 1).await;
        let attempt = new_attempt_id();
        let sent = new_request(&fleet, 0, "/draft/1", &attempt).body("events=400");
        let stream = tokio::spawn(send(sent, attempt));
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet.daemons[0].process.terminate();
        tokio::time::sleep(LATE).await;
        assert!(!stream.is_finished(), "the VM has something left to finish");
        assert_eq!(call(&fleet, "/draft/2", b"events=1").await.status, 503);
        stream.await.unwrap().assert_stream(400);
    });
}

/// Guards against engines that work for callers who are gone.
fn stops_work(path: &'static str, body: &'static str, at: Duration) {
    block_on(async {
        let fleet = start_fleet().await;
        let engines = start_engines(&fleet, 1).await;
        let slow = fleet.engine("d1", "desk", "a", Duration::from_secs(5)).await.unwrap();
        // The back end is known once it gets a request.
        let id = new_attempt_id();
        let reach = || async {
            let sent = new_request(&fleet, 0, path, &id).body(body);
            // The caller leaves long before the answer is complete.
            let _ = tokio::time::timeout(at, send(sent, id.clone())).await;
            !fleet.journal.runs(&id).is_empty()
        };
        wait_until("a request at the engine", reach).await;
        let started = Instant::now();
        let is_left = || async {
            let seen = fleet.journal.seen();
            seen.iter().any(|seen| seen.header("x-attempt-id") == Some(&*id) && seen.left)
        };
        wait_until("the end of the work", is_left).await;
        assert!(started.elapsed() < Duration::from_secs(3));
        drop((engines, slow));
    });
}

hornbeamloom_kernel::cases! {
    stops_work;

    of_a_stream_whose_caller_leaves: ("/draft/1", "events=500", Duration::from_millis(400));
    of_a_call_whose_caller_leaves: ("/look/1", "x", Duration::from_millis(400));
}

/// Guards against requests that are held beyond the time that their route allows.
#[test]
fn a_request_gets_its_final_answer_at_the_time_out_of_its_route() {
    block_on(async {
        let fleet = start_fleet().await;
        let mut short = config(2, &[CALLER_KEY]);
        short["routes"][2]["timeout_ms"] = 700.into();
        fleet.configure(&short);
        start_plain_targets(&fleet, 1).await;
        fleet.store.drop_row("servers", "d1");
        fleet.engine("d2", "desk", "a", Duration::from_secs(30)).await.unwrap();
        let mut response = call(&fleet, "/look/1", b"x").await;
        let until = Instant::now() + Duration::from_secs(30);
        // The slow back end gets a request as soon as it is known.
        while response.status != 504 && Instant::now() < until {
            response = call(&fleet, "/look/1", b"x").await;
        }
        assert_eq!(response.status, 504, "it may have run, so nothing is promised");
    });
}

/// Guards against a zone that is lost with the VM that schedules it.
#[test]
fn another_vm_goes_on_when_the_owner_dies() {
    block_on(async {
        let mut fleet = start_fleet().await;
        start_plain_targets(&fleet, 2).await;
        fleet.start_daemon("vm-2", "a").unwrap();
        let through = |daemon: usize| {
            let fleet = &fleet;
            async move {
                let id = new_attempt_id();
                send(new_request(fleet, daemon, "/look/1", &id).body("x"), id).await.status
            }
        };
        wait_until("the second VM", || async { through(1).await == 200 }).await;
        fleet.daemons[0].process.kill();
        let through = || async {
            let id = new_attempt_id();
            send(new_request(&fleet, 1, "/look/1", &id).body("x"), id).await.status
        };
        wait_until("service by the second VM", || async { through().await == 200 }).await;
    });
}

/// Guards against work that only a VM of the target's zone could give out.
#[test]
fn a_vm_uses_the_targets_of_another_zone() {
    block_on(async {
        let mut fleet = start_fleet().await;
        fleet.start_daemon("vm-2", "b").unwrap();
        fleet.engine("d1", "desk", "b", CALL_DURATION).await.unwrap();
        wait_until_served(&fleet, "/look/1").await;
    });
}
