//! Clients that do not behave, at every port of a real daemon.
//!
//! Each case opens more connections than the daemon has descriptors for, has every client misbehave
//! in one way, and keeps the connections open. The daemon must live, stay within its limits on memory
//! and descriptors, and then answer an ordinary request. Neither times nor the share of clients that
//! are served are checked.

#[path = "../cluster/harness.rs"]
#[allow(dead_code)]
mod cluster;
mod crowd;
#[path = "../fleet/harness.rs"]
#[allow(dead_code)]
mod fleet;
mod fuzz;
mod site;
mod time_limits;

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crowd::Way;
use site::{Port, Site};
use tokio::time::sleep;

/// Held by the running case: crowds that overlap would take the descriptors of the test process.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

hornbeamloom_kernel::cases! {
    daemon_survives;

    // Guard against bodies that are charged late, held without a time limit, or not charged at all.
    own_callers_bodies_in_one_piece: (Port::OwnCallers, Way::BodyInOnePiece);
    own_callers_bodies_in_small_pieces: (Port::OwnCallers, Way::BodyInSmallPieces);
    own_callers_bodies_in_chunks: (Port::OwnCallers, Way::BodyInChunks);
    adapter_callers_bodies_in_one_piece: (Port::AdapterCallers, Way::BodyInOnePiece);
    adapter_callers_bodies_in_small_pieces: (Port::AdapterCallers, Way::BodyInSmallPieces);
    adapter_callers_bodies_in_chunks: (Port::AdapterCallers, Way::BodyInChunks);
    readiness_bodies_in_one_piece: (Port::Readiness, Way::BodyInOnePiece);
    readiness_bodies_in_small_pieces: (Port::Readiness, Way::BodyInSmallPieces);
    readiness_bodies_in_chunks: (Port::Readiness, Way::BodyInChunks);
    operators_bodies_in_one_piece: (Port::Operators, Way::BodyInOnePiece);
    operators_bodies_in_small_pieces: (Port::Operators, Way::BodyInSmallPieces);
    operators_bodies_in_chunks: (Port::Operators, Way::BodyInChunks);
    peers_bodies_in_one_piece: (Port::Peers, Way::BodyInOnePiece);
    peers_bodies_in_small_pieces: (Port::Peers, Way::BodyInSmallPieces);
    peers_bodies_in_chunks: (Port::Peers, Way::BodyInChunks);

    // Guard against a refused body that is read to its end, or kept.
    own_callers_bodies_over_the_limit: (Port::OwnCallers, Way::BodyOverLimit);
    own_callers_chunks_over_the_limit: (Port::OwnCallers, Way::ChunksOverLimit);
    adapter_callers_bodies_over_the_limit: (Port::AdapterCallers, Way::BodyOverLimit);
    adapter_callers_chunks_over_the_limit: (Port::AdapterCallers, Way::ChunksOverLimit);
    readiness_bodies_over_the_limit: (Port::Readiness, Way::BodyOverLimit);
    readiness_chunks_over_the_limit: (Port::Readiness, Way::ChunksOverLimit);
    operators_bodies_over_the_limit: (Port::Operators, Way::BodyOverLimit);
    operators_chunks_over_the_limit: (Port::Operators, Way::ChunksOverLimit);
    peers_bodies_over_the_limit: (Port::Peers, Way::BodyOverLimit);
    peers_chunks_over_the_limit: (Port::Peers, Way::ChunksOverLimit);

    // Guard against heads whose fields take many times the bytes received, and heads without a limit.
    own_callers_many_fields: (Port::OwnCallers, Way::ManyFields);
    own_callers_fields_without_end: (Port::OwnCallers, Way::FieldsWithoutEnd);
    adapter_callers_many_fields: (Port::AdapterCallers, Way::ManyFields);
    adapter_callers_fields_without_end: (Port::AdapterCallers, Way::FieldsWithoutEnd);
    readiness_many_fields: (Port::Readiness, Way::ManyFields);
    readiness_fields_without_end: (Port::Readiness, Way::FieldsWithoutEnd);
    operators_many_fields: (Port::Operators, Way::ManyFields);
    operators_fields_without_end: (Port::Operators, Way::FieldsWithoutEnd);
    peers_many_fields: (Port::Peers, Way::ManyFields);
    peers_fields_without_end: (Port::Peers, Way::FieldsWithoutEnd);

    // Guard against requests and responses that pile up while the client reads nothing.
    own_callers_pipelined: (Port::OwnCallers, Way::Pipelined);
    adapter_callers_pipelined: (Port::AdapterCallers, Way::Pipelined);
    readiness_pipelined: (Port::Readiness, Way::Pipelined);
    operators_pipelined: (Port::Operators, Way::Pipelined);
    peers_pipelined: (Port::Peers, Way::Pipelined);

    // Guard against slow, stalled or silent clients that keep all descriptors.
    own_callers_slow_heads: (Port::OwnCallers, Way::SlowHead);
    own_callers_slow_bodies: (Port::OwnCallers, Way::SlowBody);
    own_callers_slow_readers: (Port::OwnCallers, Way::SlowReader);
    own_callers_silent: (Port::OwnCallers, Way::Silent);
    adapter_callers_slow_heads: (Port::AdapterCallers, Way::SlowHead);
    adapter_callers_slow_bodies: (Port::AdapterCallers, Way::SlowBody);
    adapter_callers_slow_readers: (Port::AdapterCallers, Way::SlowReader);
    adapter_callers_silent: (Port::AdapterCallers, Way::Silent);
    readiness_slow_heads: (Port::Readiness, Way::SlowHead);
    readiness_slow_bodies: (Port::Readiness, Way::SlowBody);
    readiness_slow_readers: (Port::Readiness, Way::SlowReader);
    readiness_silent: (Port::Readiness, Way::Silent);
    operators_slow_heads: (Port::Operators, Way::SlowHead);
    operators_slow_bodies: (Port::Operators, Way::SlowBody);
    operators_slow_readers: (Port::Operators, Way::SlowReader);
    operators_silent: (Port::Operators, Way::Silent);
    peers_slow_heads: (Port::Peers, Way::SlowHead);
    peers_slow_bodies: (Port::Peers, Way::SlowBody);
    peers_slow_readers: (Port::Peers, Way::SlowReader);
    peers_silent: (Port::Peers, Way::Silent);
}

fn daemon_survives(port: Port, way: Way) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    fleet::block_on(async {
        let site = Site::start(port).await;
        let watch = site.watch_descriptors();
        let crowd = crowd::gather(site.address(), &site.targets(), way).await;
        // The clients still hold what the daemon has not closed.
        let is_answered = site.answers_ordinary_request().await;
        let most_descriptors = watch.finish().await;
        drop(crowd);
        site.assert_survived(most_descriptors, is_answered);
    });
}

/// Time before the first ordinary request, by which the crowd has all connections.
const CROWD_START: Duration = Duration::from_secs(2);
const ORDINARY_REQUESTS: usize = 20;
const ORDINARY_INTERVAL: Duration = Duration::from_millis(200);

hornbeamloom_kernel::cases! {
    newcomers_are_served;

    // Guard against clients just above the minimum rate that keep everybody else out.
    own_callers_newcomers_beside_steady_bodies: (Port::OwnCallers, Way::SteadyBody);
    adapter_callers_newcomers_beside_steady_bodies: (Port::AdapterCallers, Way::SteadyBody);
}

fn newcomers_are_served(port: Port, way: Way) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    fleet::block_on(async {
        let site = Site::start(port).await;
        let crowd = crowd::persist(site.address(), &site.targets(), way);
        sleep(CROWD_START).await;
        let mut served = 0;
        for _ in 0..ORDINARY_REQUESTS {
            served += usize::from(site.serves_caller_at_once().await);
            sleep(ORDINARY_INTERVAL).await;
        }
        drop(crowd);
        assert!(served >= ORDINARY_REQUESTS / 4, "{served} of {ORDINARY_REQUESTS} served");
    });
}
