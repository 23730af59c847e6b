//! Generations whose engine leaves or fails while they run.

use std::ops::RangeInclusive;
use std::time::Duration;

use hornbeamloom_bench::fleet::Fleet;
use hornbeamloom_bench::mock_engine::{CopyFault, Engine, Fault};
use hornbeamloom_kernel::cases;

use crate::harness::{call, eventually, fleet, fleet_with_standbys, models, run, Answer, DEADLINE};

/// Events of a stream that lasts long enough to move twice.
const EVENTS: u64 = 150;

/// The engine on which something runs.
async fn busy<'a>(engines: &'a [Engine], but: &[&str]) -> &'a Engine {
    let find = || {
        let mut engines = engines.iter();
        engines.find(|engine| engine.running() > 0 && !but.contains(&engine.name()))
    };
    eventually("a running stream", || async { find().is_some() }).await;
    find().expect("a running stream")
}

/// Starts a stream and lets it come so far that a move is in its middle.
async fn begin(fleet: &Fleet) -> impl std::future::Future<Output = Answer> + '_ {
    let answer = call(fleet, "/draft/1", b"events=150");
    let mut answer = Box::pin(answer);
    tokio::select! {
        _ = &mut answer => panic!("the stream ended before its engine left"),
        () = tokio::time::sleep(Duration::from_millis(600)) => {}
    }
    answer
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
    run(async {
        let fleet = match ahead {
            Ahead::No => fleet().await,
            Ahead::Yes => fleet_with_standbys().await,
        };
        let engines = models(&fleet, engines).await;
        let answer = begin(&fleet).await;
        let first = busy(&engines, &[]).await;
        let others: Vec<&Engine> =
            engines.iter().filter(|engine| engine.name() != first.name()).collect();
        trouble(&fleet, first, &others);
        let answer = answer.await;
        answer.assert_stream(EVENTS);
        let mut ran = fleet.journal.executed_by(&answer.attempt);
        ran.sort();
        ran.dedup();
        assert!(used.contains(&ran.len()), "{ran:?}");
    });
}

/// The operator's list says that an engine leaves.
fn leaves(fleet: &Fleet, engine: &Engine) {
    fleet.put_target(engine, "model", "a", "draining");
}

cases! {
    goes_on;

    // Guards against streams that end, stall or repeat when their engine leaves (I1).
    where_its_engine_leaves: (Ahead::No, 3, |fleet, first, _| leaves(fleet, first), 2..=2);
    // Guards against a removed entry that is not taken for a notice.
    where_its_engine_s_entry_is_removed: (
        Ahead::No, 3, |fleet, first, _| fleet.store.delete_row("servers", first.name()), 2..=2,
    );
    // Guards against a generation that is lost with an engine whose memory was copied in time.
    where_its_engine_dies_after_the_copy: (
        Ahead::No, 2,
        |fleet, first, _| {
            first.set_copy_fault(CopyFault::CrashesAfterCopy);
            leaves(fleet, first);
        },
        2..=2,
    );
    // Guards against a stopped generation that nobody goes on with.
    where_the_rest_of_its_memory_finds_no_room: (
        Ahead::No, 2,
        |fleet, first, _| {
            first.set_copy_fault(CopyFault::NoCapacityForFinalCopy);
            leaves(fleet, first);
        },
        1..=2,
    );
    // Guards against a generation that is lost because its next engine refuses it.
    back_where_the_next_engine_refuses_it: (
        Ahead::No, 2,
        |fleet, first, others| {
            others[0].set_fault(Fault::ShedsLoad);
            leaves(fleet, first);
        },
        1..=1,
    );
    // Guards against a generation that dies with its engine though another has its memory.
    at_its_standby_where_its_engine_dies: (Ahead::Yes, 2, |_, first, _| first.kill(), 2..=2);
    // Guards against a stream that stays silent with an engine though another has its memory.
    at_its_standby_where_its_engine_is_silent: (
        Ahead::Yes, 2, |_, first, _| first.set_fault(Fault::HangsAfter(0)), 2..=2,
    );
    // Guards against a copy of memory that another engine holds already.
    at_its_standby_without_a_copy: (
        Ahead::Yes, 2,
        |fleet, first, _| {
            first.set_copy_fault(CopyFault::NoCapacity);
            leaves(fleet, first);
        },
        2..=2,
    );
    // Guards against a generation that is lost with a standby that does not have it.
    where_its_standby_refuses_it: (
        Ahead::Yes, 2,
        |fleet, first, others| {
            others[0].set_fault(Fault::ShedsLoad);
            first.set_copy_fault(CopyFault::NoCapacity);
            leaves(fleet, first);
        },
        1..=1,
    );
}

/// Guards against a generation that moves only once.
#[test]
fn a_stream_moves_again_when_the_next_engine_leaves() {
    run(async {
        let fleet = fleet().await;
        let engines = models(&fleet, 3).await;
        let answer = begin(&fleet).await;
        let leave = async {
            let first = busy(&engines, &[]).await;
            leaves(&fleet, first);
            let second = busy(&engines, &[first.name()]).await;
            leaves(&fleet, second);
        };
        let (answer, ()) = tokio::join!(answer, leave);
        answer.assert_stream(EVENTS);
        assert_eq!(fleet.journal.executed_by(&answer.attempt).len(), 3);
    });
}

/// Guards against an answer that looks whole though its engine died (I4).
#[test]
fn a_stream_without_a_copy_breaks_off_with_its_engine() {
    run(async {
        let fleet = fleet().await;
        let engines = models(&fleet, 2).await;
        let answer = begin(&fleet).await;
        busy(&engines, &[]).await.kill();
        let answer = answer.await;
        assert!(!answer.is_whole, "the answer looks whole after {} bytes", answer.body.len());
        assert_eq!(fleet.journal.executed_by(&answer.attempt).len(), 1, "it must not run again");
    });
}

/// Guards against one refusal that keeps a generation from moving.
#[test]
fn a_copy_that_is_refused_is_tried_again() {
    run(async {
        let fleet = fleet().await;
        let engines = models(&fleet, 2).await;
        let answer = begin(&fleet).await;
        let first = busy(&engines, &[]).await;
        first.set_copy_fault(CopyFault::NoCapacity);
        leaves(&fleet, first);
        let allow = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            first.set_copy_fault(CopyFault::None);
        };
        let (answer, ()) = tokio::join!(answer, allow);
        answer.assert_stream(EVENTS);
        assert_eq!(fleet.journal.executed_by(&answer.attempt).len(), 2);
    });
}

/// Guards against a silent engine that goes on with a generation that another carries.
#[test]
fn an_engine_that_is_left_for_its_standby_is_told() {
    run(async {
        let fleet = fleet_with_standbys().await;
        let engines = models(&fleet, 2).await;
        let answer = begin(&fleet).await;
        busy(&engines, &[]).await.set_fault(Fault::HangsAfter(0));
        let answer = answer.await;
        let seen = fleet.journal.requests();
        let mut own = seen.iter();
        let first = own.find(|seen| seen.header("x-attempt-id") == Some(&*answer.attempt));
        assert!(first.is_some_and(|seen| seen.caller_disconnected), "its connection is closed");
        // Fails if the silence of the first engine counts against the next one.
        assert_eq!(fleet.journal.executed_by(&answer.attempt).len(), 2);
    });
}

/// Guards against copies that keep memory of generations whose caller left.
#[test]
fn a_copy_that_is_not_used_is_freed() {
    run(async {
        let fleet = fleet().await;
        let engines = models(&fleet, 2).await;
        let answer = begin(&fleet).await;
        let first = busy(&engines, &[]).await;
        leaves(&fleet, first);
        // The caller leaves while the copy is made.
        tokio::time::sleep(Duration::from_millis(60)).await;
        drop(answer);
        eventually("the end of the run", || async {
            engines.iter().all(|engine| engine.running() == 0)
        })
        .await;
        let free = async {
            while fleet.journal.kv_copies() > 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(DEADLINE, free).await.expect("the copy is freed");
    });
}
