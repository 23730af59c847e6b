//! Generations whose engine leaves or fails while they run.

use std::ops::RangeInclusive;
use std::time::Duration;

use hornbeamloom_bench::fleet::Fleet;
use hornbeamloom_bench::model::{CopyFault, Engine, Fault};
use hornbeamloom_kernel::cases;

use crate::harness::{
    block_on, call, start_engines, start_fleet, start_fleet_with_standbys, wait_until,
    CallerResponse, TEST_TIMEOUT,
};

/// Events of a stream that lasts long enough to move twice.
const EVENT_COUNT: u64 = 150;

/// The engine on which something runs.
async fn wait_for_busy_engine<'a>(engines: &'a [Engine], excluded: &[&str]) -> &'a Engine {
    let find = || {
        let mut engines = engines.iter();
        engines.find(|engine| engine.running() > 0 && !excluded.contains(&engine.name()))
    };
    wait_until("a running stream", || async { find().is_some() }).await;
    find().expect("a running stream")
}

/// Starts a stream and lets it come so far that a move is in its middle.
async fn start_stream(fleet: &Fleet) -> impl std::future::Future<Output = CallerResponse> + '_ {
    let response = call(fleet, "/draft/1", b"events=150");
    let mut response = Box::pin(response);
    tokio::select! {
        _ = &mut response => panic!("the stream ended before its engine left"),
        () = tokio::time::sleep(Duration::from_millis(600)) => {}
    }
    response
}

/// Whether generations are copied to a standby as they grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standbys {
    Off,
    On,
}

/// What happens to the engine that runs the stream, and to the others.
type FaultInjection = fn(&Fleet, &Engine, &[&Engine]);

/// A stream comes whole whatever happens to its engine, from so many engines.
fn stream_continues(
    standbys: Standbys,
    engines: usize,
    inject: FaultInjection,
    expected_engines: RangeInclusive<usize>,
) {
    block_on(async {
        let fleet = match standbys {
            Standbys::Off => start_fleet().await,
            Standbys::On => start_fleet_with_standbys().await,
        };
        let engines = start_engines(&fleet, engines).await;
        let response = start_stream(&fleet).await;
        let first = wait_for_busy_engine(&engines, &[]).await;
        let others: Vec<&Engine> =
            engines.iter().filter(|engine| engine.name() != first.name()).collect();
        inject(&fleet, first, &others);
        let response = response.await;
        response.assert_stream(EVENT_COUNT);
        let mut used_engines = fleet.journal.runs(&response.attempt_id);
        used_engines.sort();
        used_engines.dedup();
        assert!(expected_engines.contains(&used_engines.len()), "{used_engines:?}");
    });
}

/// The operator's list says that an engine leaves.
fn drain(fleet: &Fleet, engine: &Engine) {
    fleet.list(engine, "model", "a", "draining");
}

cases! {
    stream_continues;

    // Guards against streams that end, stall or repeat when their engine leaves (I1).
    stream_continues_when_its_engine_drains: (Standbys::Off, 3, |fleet, first, _| drain(fleet, first), 2..=2);
    // Guards against a removed entry that is not taken for a notice.
    stream_continues_when_the_entry_of_its_engine_is_removed: (
        Standbys::Off, 3, |fleet, first, _| fleet.store.drop_row("servers", first.name()), 2..=2,
    );
    // Guards against a generation that is lost with an engine whose memory was copied in time.
    stream_continues_when_its_engine_dies_after_the_copy: (
        Standbys::Off, 2,
        |fleet, first, _| {
            first.set_copy_fault(CopyFault::Dies);
            drain(fleet, first);
        },
        2..=2,
    );
    // Guards against a stopped generation that nobody goes on with.
    stream_continues_when_the_final_copy_finds_no_room: (
        Standbys::Off, 2,
        |fleet, first, _| {
            first.set_copy_fault(CopyFault::NoRoomAtTheEnd);
            drain(fleet, first);
        },
        1..=2,
    );
    // Guards against a generation that is lost because its next engine refuses it.
    stream_returns_to_its_engine_when_the_next_one_refuses: (
        Standbys::Off, 2,
        |fleet, first, others| {
            others[0].set_fault(Fault::Sheds);
            drain(fleet, first);
        },
        1..=1,
    );
    // Guards against a generation that dies with its engine though another has its memory.
    stream_continues_at_its_standby_when_its_engine_dies: (Standbys::On, 2, |_, first, _| first.kill(), 2..=2);
    // Guards against a stream that stays silent with an engine though another has its memory.
    stream_continues_at_its_standby_when_its_engine_is_silent: (
        Standbys::On, 2, |_, first, _| first.set_fault(Fault::SilentAfter(0)), 2..=2,
    );
    // Guards against a copy of memory that another engine holds already.
    stream_continues_at_its_standby_without_another_copy: (
        Standbys::On, 2,
        |fleet, first, _| {
            first.set_copy_fault(CopyFault::NoRoom);
            drain(fleet, first);
        },
        2..=2,
    );
    // Guards against a generation that is lost with a standby that does not have it.
    stream_stays_on_its_engine_when_its_standby_refuses: (
        Standbys::On, 2,
        |fleet, first, others| {
            others[0].set_fault(Fault::Sheds);
            first.set_copy_fault(CopyFault::NoRoom);
            drain(fleet, first);
        },
        1..=1,
    );
}

/// Guards against a generation that moves only once.
#[test]
fn stream_is_relocated_again_when_the_next_engine_drains() {
    block_on(async {
        let fleet = start_fleet().await;
        let engines = start_engines(&fleet, 3).await;
        let response = start_stream(&fleet).await;
        let drain_twice = async {
            let first = wait_for_busy_engine(&engines, &[]).await;
            drain(&fleet, first);
            let second = wait_for_busy_engine(&engines, &[first.name()]).await;
            drain(&fleet, second);
        };
        let (response, ()) = tokio::join!(response, drain_twice);
        response.assert_stream(EVENT_COUNT);
        assert_eq!(fleet.journal.runs(&response.attempt_id).len(), 3);
    });
}

/// Guards against an answer that looks whole though its engine died (I4).
#[test]
fn stream_without_a_copy_is_truncated_when_its_engine_dies() {
    block_on(async {
        let fleet = start_fleet().await;
        let engines = start_engines(&fleet, 2).await;
        let response = start_stream(&fleet).await;
        wait_for_busy_engine(&engines, &[]).await.kill();
        let response = response.await;
        assert!(
            !response.is_complete,
            "the answer looks whole after {} bytes",
            response.body.len()
        );
        assert_eq!(fleet.journal.runs(&response.attempt_id).len(), 1, "it must not run again");
    });
}

/// Guards against one refusal that keeps a generation from moving.
#[test]
fn refused_copy_is_retried() {
    block_on(async {
        let fleet = start_fleet().await;
        let engines = start_engines(&fleet, 2).await;
        let response = start_stream(&fleet).await;
        let first = wait_for_busy_engine(&engines, &[]).await;
        first.set_copy_fault(CopyFault::NoRoom);
        drain(&fleet, first);
        let end_fault = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            first.set_copy_fault(CopyFault::None);
        };
        let (response, ()) = tokio::join!(response, end_fault);
        response.assert_stream(EVENT_COUNT);
        assert_eq!(fleet.journal.runs(&response.attempt_id).len(), 2);
    });
}

/// Guards against a silent engine that goes on with a generation that another carries.
#[test]
fn silent_engine_is_disconnected_after_a_takeover_by_its_standby() {
    block_on(async {
        let fleet = start_fleet_with_standbys().await;
        let engines = start_engines(&fleet, 2).await;
        let response = start_stream(&fleet).await;
        wait_for_busy_engine(&engines, &[]).await.set_fault(Fault::SilentAfter(0));
        let response = response.await;
        let received = fleet.journal.seen();
        let mut requests = received.iter();
        let first =
            requests.find(|request| request.header("x-attempt-id") == Some(&*response.attempt_id));
        assert!(first.is_some_and(|request| request.left), "its connection is closed");
        // Fails if the silence of the first engine counts against the next one.
        assert_eq!(fleet.journal.runs(&response.attempt_id).len(), 2);
    });
}

/// Guards against copies that keep memory of generations whose caller left.
#[test]
fn unused_copy_is_freed() {
    block_on(async {
        let fleet = start_fleet().await;
        let engines = start_engines(&fleet, 2).await;
        let response = start_stream(&fleet).await;
        let first = wait_for_busy_engine(&engines, &[]).await;
        drain(&fleet, first);
        // The caller leaves while the copy is made.
        tokio::time::sleep(Duration::from_millis(60)).await;
        drop(response);
        wait_until("the end of the run", || async {
            engines.iter().all(|engine| engine.running() == 0)
        })
        .await;
        let copy_freed = async {
            while fleet.journal.copies() > 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, copy_freed).await.expect("the copy is freed");
    });
}
