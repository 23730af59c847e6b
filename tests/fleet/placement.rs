//! Placement by what the daemon measures on the streams that it forwards.

use crate::harness::{block_on, call, start_engines, start_fleet_with_placement, wait_until};

/// Guards against a pace of targets that never reaches the scheduler: measured on a stream, sent with
/// progress, and used for the next grant.
#[test]
fn grants_use_the_pace_that_streams_show() {
    block_on(async {
        let fleet = start_fleet_with_placement().await;
        start_engines(&fleet, 2).await;
        wait_until("a grant is based on a measured pace", || async {
            let streams = (0..4).map(|_| call(&fleet, "/draft/1", b"events=60"));
            for response in futures_util::future::join_all(streams).await {
                response.assert_stream(60);
            }
            let log = fleet.log("vm-1");
            let mut grants = log.lines().filter(|line| line.contains("granted m"));
            grants.any(|line| line.contains("pauses -") && line.contains(" us per event"))
        })
        .await;
        // The own zone is the only one with targets; its usage is what the choice is based on.
        assert!(fleet.log("vm-1").lines().any(|line| line.contains("; usage a ")));
    });
}
