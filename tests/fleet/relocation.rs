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
const EVENTS: u64 = 150;

/// The engine on which something runs.
async fn busy<'a>(engines: &'a [Engine], but: &[&str]) -> &'a Engine {
    let find = || {
        let mut engines = engines.iter();
        engines.find(|engine| engine.running() > 0 && !but.contains(&engine.name()))
    };
    wait_until("a running stream", || async { find().is_some() }).await;
    find().expect("a running stream")
}

/// Starts a stream and lets it come so far that a move is in its middle.
async fn begin(fleet: &Fleet) -> impl std::future::Future<Output = CallerResponse> + '_ {
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
enum Ahead {
    No,
    Yes,
}

/// What happens to the engine that runs the stream, and to the others.
type Trouble = fn(&Fleet, &Engine, &[&Engine]);

/// A stream comes whole whatever happens to its engine, from so many engines.
fn goes_on(ahead: Ahead, engines: usize, trouble: Trouble, used: RangeInclusive<usize>) {
    block_on(async {
        let fleet = match ahead {
            Ahead::No => start_fleet().await,
            Ahead::Yes => start_fleet_with_standbys().await,
        };
        let engines = start_engines(&fleet, engines).await;
        let response = begin(&fleet).await;
        let first = busy(&engines, &[]).await;
        let others: Vec<&Engine> =
            engines.iter().filter(|engine| engine.name() != first.name()).collect();
        trouble(&fleet, first, &others);
        let response = response.await;
        response.assert_stream(EVENTS);
        let mut ran = fleet.journal.runs(&response.attempt_id);
        ran.sort();
        ran.dedup();
        assert!(used.contains(&ran.len()), "{ran:?}");
    });
}

/// The operator's list says that an engine leaves.
fn leaves(fleet: &Fleet, engine: &Engine) {
    fleet.list(engine, "model", "a", "draining");
}

cases! {
    goes_on;

    // Guards against streams that end, stall or repeat when their engine leaves (I1).
    where_its_engine_leaves: (Ahead::No, 3, |fleet, first, _| leaves(fleet, first), 2..=2);
    // Guards against a removed entry that is not taken for a notice.
    where_its_engine_s_entry_is_removed: (
        Ahead::No, 3, |fleet, first, _| fleet.store.drop_row("servers", first.name()), 2..=2,
    );
    // Guards against a generation that is lost with an engine whose memory was copied in time.
    where_its_engine_dies_after_the_copy: (
        Ahead::No, 2,
        |fleet, first, _| {
            first.set_copy_fault(CopyFault::Dies);
            leaves(fleet, first);
        },
        2..=2,
    );
    // Guards against a stopped generation that nobody goes on with.
    where_the_rest_of_its_memory_finds_no_room: (
        Ahead::No, 2,
        |fleet, first, _| {
            first.set_copy_fault(CopyFault::NoRoomAtTheEnd);
            leaves(fleet, first);
        },
        1..=2,
    );
    // Guards against a generation that is lost because its next engine refuses it.
    back_where_the_next_engine_refuses_it: (
        Ahead::No, 2,
        |fleet, first, others| {
            others[0].set_fault(Fault::Sheds);
            leaves(fleet, first);
        },
        1..=1,
    );
    // Guards against a generation that dies with its engine though another has its memory.
    at_its_standby_where_its_engine_dies: (Ahead::Yes, 2, |_, first, _| first.kill(), 2..=2);
    // Guards against a stream that stays silent with an engine though another has its memory.
    at_its_standby_where_its_engine_is_silent: (
        Ahead::Yes, 2, |_, first, _| first.set_fault(Fault::SilentAfter(0)), 2..=2,
    );
    // Guards against a copy of memory that another engine holds already.
    at_its_standby_without_a_copy: (
        Ahead::Yes, 2,
        |fleet, first, _| {
            first.set_copy_fault(CopyFault::NoRoom);
            leaves(fleet, first);
        },
        2..=2,
    );
    // Guards against a generation that is lost with a standby that does not have it.
    where_its_standby_refuses_it: (
        Ahead::Yes, 2,
        |fleet, first, others| {
            others[0].set_fault(Fault::Sheds);
            first.set_copy_fault(CopyFault::NoRoom);
            leaves(fleet, first);
        },
        1..=1,
    );
}

/// Guards against a generation that moves only once.
#[test]
fn a_stream_moves_again_when_the_next_engine_leaves() {
    block_on(async {
        let fleet = start_fleet().await;
        let engines = start_engines(&fleet, 3).await;
        let response = begin(&fleet).await;
        let leave = async {
            let first = busy(&engines, &[]).await;
            leaves(&fleet, first);
            let second = busy(&engines, &[first.name()]).await;
            leaves(&fleet, second);
        };
        let (response, ()) = tokio::join!(response, leave);
        response.assert_stream(EVENTS);
        assert_eq!(fleet.journal.runs(&response.attempt_id).len(), 3);
    });
}

/// Guards against an answer that looks whole though its engine died (I4).
#[test]
fn a_stream_without_a_copy_breaks_off_with_its_engine() {
    block_on(async {
        let fleet = start_fleet().await;
        let engines = start_engines(&fleet, 2).await;
        let response = begin(&fleet).await;
        busy(&engines, &[]).await.kill();
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
fn a_copy_that_is_refused_is_tried_again() {
    block_on(async {
        let fleet = start_fleet().await;
        let engines = start_engines(&fleet, 2).await;
        let response = begin(&fleet).await;
        let first = busy(&engines, &[]).await;
        first.set_copy_fault(CopyFault::NoRoom);
        leaves(&fleet, first);
        let allow = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            first.set_copy_fault(CopyFault::None);
        };
        let (response, ()) = tokio::join!(response, allow);
        response.assert_stream(EVENTS);
        assert_eq!(fleet.journal.runs(&response.attempt_id).len(), 2);
    });
}

/// Guards against a silent engine that goes on with a generation that another carries.
#[test]
fn an_engine_that_is_left_for_its_standby_is_told() {
    block_on(async {
        let fleet = start_fleet_with_standbys().await;
        let engines = start_engines(&fleet, 2).await;
        let response = begin(&fleet).await;
        busy(&engines, &[]).await.set_fault(Fault::SilentAfter(0));
        let response = response.await;
        let seen = fleet.journal.seen();
        let mut own = seen.iter();
        let first = own.find(|seen| seen.header("x-attempt-id") == Some(&*response.attempt_id));
        assert!(first.is_some_and(|seen| seen.left), "its connection is closed");
        // Fails if the silence of the first engine counts against the next one.
        assert_eq!(fleet.journal.runs(&response.attempt_id).len(), 2);
    });
}

/// Guards against copies that keep memory of generations whose caller left.
#[test]
fn a_copy_that_is_not_used_is_freed() {
    block_on(async {
        let fleet = start_fleet().await;
        let engines = start_engines(&fleet, 2).await;
        let response = begin(&fleet).await;
        let first = busy(&engines, &[]).await;
        leaves(&fleet, first);
        // The caller leaves while the copy is made.
        tokio::time::sleep(Duration::from_millis(60)).await;
        drop(response);
        wait_until("the end of the run", || async {
            engines.iter().all(|engine| engine.running() == 0)
        })
        .await;
        let free = async {
            while fleet.journal.copies() > 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, free).await.expect("the copy is freed");
    });
}
