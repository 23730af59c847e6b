//! Requests that crash each target that runs them.

use hornbeamloom_bench::mock_engine::Fault;
use hornbeamloom_kernel::cases;

use crate::harness::{block_on, call, start_fleet, start_plain_targets};

const TARGETS: usize = 8;
/// Targets that may run the body before it is refused.
const MAX_DEATHS: usize = 3;

/// Sends a body that crashes targets again and again and checks that it is refused after at most
/// [`MAX_DEATHS`] of them, while the others still serve.
fn body_is_refused_before_it_crashes_all_targets(path: &str) {
    block_on(async {
        let fleet = start_fleet().await;
        let targets = start_plain_targets(&fleet, TARGETS).await;
        targets.iter().for_each(|target| target.set_fault(Fault::CrashesOnBody("deadly")));
        let mut last = call(&fleet, path, b"deadly").await;
        for number in 0..2 * TARGETS {
            let sound = call(&fleet, path, b"x").await;
            assert_eq!((number, sound.status), (number, 200));
            last = call(&fleet, path, b"deadly").await;
        }
        assert_eq!(last.status, 503);
        assert!(fleet.request_log.executed_by(&last.attempt_id).is_empty());
        let received = fleet.request_log.requests();
        let deaths =
            received.iter().filter(|request| request.executed && request.body == b"deadly");
        let deaths = deaths.count();
        assert!(deaths <= MAX_DEATHS, "{deaths} targets crashed");
    });
}

cases! {
    body_is_refused_before_it_crashes_all_targets;

    // Guards against a body that comes again and crashes one back end after the other: back ends
    // have no reports that would show their death.
    body_of_a_call_that_runs_once: ("/order/1");
    // Guards against retries that add to these crashes.
    body_of_a_call_that_is_retried: ("/look/1");
}
