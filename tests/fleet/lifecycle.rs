//! Ends: planned stops, callers that leave, time-outs, and VMs that take over.

use std::time::{Duration, Instant};

use hornbeamloom_bench::fleet::config;

use crate::harness::{
    attempt, call, desks, eventually, fleet, models, read, request, run, serves, KEY, WORK,
};

/// Time after the order to stop in which callers have noticed it: the stand-in's settling time of
/// 1 s and one more.
const LATE: Duration = Duration::from_secs(2);

/// Guards against a planned stop that cuts a request off (I8).
#[test]
fn a_planned_stop_finishes_its_streams() {
    run(async {
        let mut fleet = fleet().await;
        models(&fleet, 1).await;
        let attempt = attempt();
        let sent = request(&fleet, 0, "/draft/1", &attempt).body("events=100");
        let stream = tokio::spawn(read(sent, attempt));
        tokio::time::sleep(Duration::from_millis(400)).await;
        let readiness =
            format!("http://{}/hornbeamloom/readyz", fleet.daemons[0].readiness_address);
        fleet.daemons[0].process.terminate();
        eventually("the end of readiness", || async {
            reqwest::get(&readiness).await.map_or(true, |answer| answer.status() == 503)
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
    run(async {
        let mut fleet = fleet().await;
        models(&fleet, 1).await;
        let attempt = attempt();
        let sent = request(&fleet, 0, "/draft/1", &attempt).body("events=400");
        let stream = tokio::spawn(read(sent, attempt));
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
    run(async {
        let fleet = fleet().await;
        let engines = models(&fleet, 1).await;
        let slow = fleet.start_engine("d1", "desk", "a", Duration::from_secs(5)).await.unwrap();
        // The back end is known once it gets a request.
        let id = attempt();
        let reach = || async {
            let sent = request(&fleet, 0, path, &id).body(body);
            // The caller leaves long before the answer is complete.
            let _ = tokio::time::timeout(at, read(sent, id.clone())).await;
            !fleet.journal.executed_by(&id).is_empty()
        };
        eventually("a request at the engine", reach).await;
        let started = Instant::now();
        let is_left = || async {
            let seen = fleet.journal.requests();
            seen.iter()
                .any(|seen| seen.header("x-attempt-id") == Some(&*id) && seen.caller_disconnected)
        };
        eventually("the end of the work", is_left).await;
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
    run(async {
        let fleet = fleet().await;
        let mut short = config(2, &[KEY]);
        short["routes"][2]["timeout_ms"] = 700.into();
        fleet.put_config(&short);
        desks(&fleet, 1).await;
        fleet.store.delete_row("servers", "d1");
        fleet.start_engine("d2", "desk", "a", Duration::from_secs(30)).await.unwrap();
        let mut answer = call(&fleet, "/look/1", b"x").await;
        let until = Instant::now() + Duration::from_secs(30);
        // The slow back end gets a request as soon as it is known.
        while answer.status != 504 && Instant::now() < until {
            answer = call(&fleet, "/look/1", b"x").await;
        }
        assert_eq!(answer.status, 504, "it may have run, so nothing is promised");
    });
}

/// Guards against a zone that is lost with the VM that schedules it.
#[test]
fn another_vm_goes_on_when_the_owner_dies() {
    run(async {
        let mut fleet = fleet().await;
        desks(&fleet, 2).await;
        fleet.start_daemon("vm-2", "a").unwrap();
        let through = |daemon: usize| {
            let fleet = &fleet;
            async move {
                let id = attempt();
                read(request(fleet, daemon, "/look/1", &id).body("x"), id).await.status
            }
        };
        eventually("the second VM", || async { through(1).await == 200 }).await;
        fleet.daemons[0].process.kill();
        let through = || async {
            let id = attempt();
            read(request(&fleet, 1, "/look/1", &id).body("x"), id).await.status
        };
        eventually("service by the second VM", || async { through().await == 200 }).await;
    });
}

/// Guards against work that only a VM of the target's zone could give out.
#[test]
fn a_vm_uses_the_targets_of_another_zone() {
    run(async {
        let mut fleet = fleet().await;
        fleet.start_daemon("vm-2", "b").unwrap();
        fleet.start_engine("d1", "desk", "b", WORK).await.unwrap();
        serves(&fleet, "/look/1").await;
    });
}
