//! Version roll-outs by real daemons.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hornbeamloom_bench::fleet::Fleet;
use hornbeamloom_bench::mock_engine::{Engine, Fault};
use hornbeamloom_kernel::cases;

use crate::harness::{
    block_on, call, start_fleet_with_rollouts, wait_until, CallerResponse, CALL_DURATION,
};

/// Time of a roll-out in seconds. Longer than on the platform's sites, as the machine of the test may
/// be slow.
const DURATION_S: u64 = 20;
/// Concurrent callers.
const CALLERS: usize = 8;

/// Starts two plain targets of a version.
async fn start_version(fleet: &Fleet, version: &str) -> Vec<Engine> {
    let mut targets = Vec::new();
    for number in 1..=2 {
        let name = format!("{version}-{number}");
        let target = Engine::start(&name, &fleet.request_log, CALL_DURATION, CALL_DURATION).await;
        let target = target.expect("the target starts");
        fleet.put_version(&target, "desk", "a", version);
        targets.push(target);
    }
    targets
}

fn sent_to(fleet: &Fleet, version: &str) -> usize {
    let requests = fleet.request_log.requests();
    requests.iter().filter(|request| request.engine.starts_with(version)).count()
}

/// Calls without a pause until the verdict; returns the responses.
async fn call_until_verdict(fleet: &Fleet, ordered: Instant) -> Vec<CallerResponse> {
    let is_open = || {
        let status = fleet.rollout_status("desk");
        status.is_none_or(|(state, _)| state == "in_progress")
            && ordered.elapsed() < Duration::from_secs(DURATION_S)
    };
    let callers = (0..CALLERS).map(|_| async {
        let mut responses = Vec::new();
        while is_open() {
            responses.push(call(fleet, "/look/1", b"x").await);
        }
        responses
    });
    join_all(callers).await.into_iter().flatten().collect()
}

/// Checks the verdict on a version with a fault, and which version serves after it.
fn verdict(fault: Fault, state: &str, serving: &str, retired: &str) {
    block_on(async {
        let fleet = start_fleet_with_rollouts().await;
        let _old = start_version(&fleet, "v1").await;
        wait_until("the service is served", || async {
            call(&fleet, "/look/warm", b"x").await.status == 200
        })
        .await;
        let new = start_version(&fleet, "v2").await;
        new.iter().for_each(|target| target.set_fault(fault));
        let before = sent_to(&fleet, "v1");
        let ordered = Instant::now();
        fleet.order_rollout("desk", "v2", DURATION_S);
        let responses = call_until_verdict(&fleet, ordered).await;
        let verdict = fleet.rollout_status("desk");
        assert_eq!(verdict, Some((state.to_owned(), "v2".to_owned())));
        assert!(responses.iter().all(|response| response.status == 200), "a caller saw a failure");
        let (old, new) = (sent_to(&fleet, "v1") - before, sent_to(&fleet, "v2"));
        assert!(new > 0, "the new version was not exposed");
        if state == "reverted" {
            assert!(new <= (old + new) / 10 + 50, "{new} requests to v2, {old} to v1");
        }
        let counts = (sent_to(&fleet, serving), sent_to(&fleet, retired));
        for _ in 0..20 {
            assert_eq!(call(&fleet, "/look/1", b"x").await.status, 200);
        }
        assert_eq!(sent_to(&fleet, retired), counts.1, "a request to {retired} after the verdict");
        assert!(sent_to(&fleet, serving) >= counts.0 + 20);
    });
}

cases! {
    verdict;
    // Guards against a good version that is not completed, or is not served afterwards.
    good_version_is_completed: (Fault::None, "completed", "v2", "v1");
    // Guards against a failing version that is kept, or whose failures reach callers.
    failing_version_is_reverted: (Fault::ReturnsError, "reverted", "v1", "v2");
}
