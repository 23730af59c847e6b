//! Relocation of generations whose target is leaving, on the entry VM's side.

mod common;

use common::{Harness, Step};
use hornbeamloom_kernel::outcome::{Outcome, Reason};
use hornbeamloom_kernel::peer::{Ask, Death, Message};
use hornbeamloom_kernel::request::End;
use hornbeamloom_kernel::resource::{Configuration, Key, Kind, Spec};

/// Runs a script with long outputs and compares the trace after the start, without progress
/// reports.
fn relocates(steps: &[Step], expected: &[&str]) {
    let mut harness = Harness::new();
    harness.max_tokens = 2_000;
    harness.run(&[Step::ArriveRouted(1), Step::Grant(1, "e2", "t1"), Step::StartSend(1)]);
    let before = harness.trace.len();
    harness.run(steps);
    let progress = |line: &&String| !line.starts_with("progress");
    let trace: Vec<&String> = harness.trace[before..].iter().filter(progress).collect();
    assert_eq!(trace, expected);
}

hornbeamloom_kernel::cases! {
    relocates;

    // Guards against a generation that ends with its engine.
    a_leaving_target_requests_the_next_placement: (
        &[Step::Progress(1, 40), Step::TargetLeaving("t1")],
        &["ask e2 for 1/1 except t1"],
    );
    // Guards against a traffic task that is not told where the generation continues.
    a_grant_for_the_placement_moves_the_generation: (
        &[Step::TargetLeaving("t1"), Step::GrantPlacement(1, "e2", "t2")],
        &["ask e2 for 1/1 except t1", "move 1 to 1/1 on t2"],
    );
    // Guards against charging the old target forever, and against a second answer to the caller.
    a_moved_generation_frees_its_old_target_and_ends_once: (
        &[
            Step::TargetLeaving("t1"), Step::GrantPlacement(1, "e2", "t2"), Step::Move(1, 40),
            Step::EndPlacement(1, End::Complete),
        ],
        &[
            "ask e2 for 1/1 except t1", "move 1 to 1/1 on t2", "release 1 on t1 Moved to e2",
            "release 1/1 on t2 Complete to e2",
        ],
    );
    // Guards against losing a generation with its engine on a VM that cannot reach the table.
    a_departure_notice_of_the_owner_requests_the_next_placement: (
        &[Step::Progress(1, 40), Step::Departing("e2", "t1")],
        &["ask e2 for 1/1 except t1"],
    );
    // Guards against relocating a generation because of a notice that does not concern its current
    // target.
    a_notice_about_another_target_moves_nothing: (
        &[Step::Departing("e2", "t2"), Step::Wait(300)],
        &[],
    );
    // Guards against ending a generation because its zone is full while another zone has room.
    a_busy_pool_sends_the_placement_to_other_zones: (
        &[
            Step::TargetLeaving("t1"), Step::RefusePlacement(1, "e2", Reason::Busy),
            Step::RefusePlacement(1, "e3", Reason::Busy),
        ],
        &["ask e2 for 1/1 except t1", "ask e3 for 1/1 except t1", "ask e4 for 1/1 except t1"],
    );
    // Guards against refusing a caller whose generation is still running.
    a_refused_placement_does_not_refuse_the_request: (
        &[
            Step::TargetLeaving("t1"), Step::RefusePlacement(1, "e2", Reason::Quarantined),
            Step::End(1, End::Complete, 90),
        ],
        &["ask e2 for 1/1 except t1", "release 1 on t1 Complete to e2"],
    );
    // Guards against giving up a relocation after one target refused the copy.
    a_copy_that_fails_is_tried_at_another_target: (
        &[
            Step::TargetLeaving("t1"), Step::GrantPlacement(1, "e2", "t2"),
            Step::EndPlacement(1, End::Unsent),
            Step::Wait(200),
        ],
        &[
            "ask e2 for 1/1 except t1", "move 1 to 1/1 on t2", "retry TargetBroken",
            "release 1/1 on t2 Unsent to e2", "ask e3 for 1/1 except t1 t2",
        ],
    );
    // Guards against charging the granted slot after the generation has ended.
    a_generation_that_ends_releases_its_next_placement: (
        &[
            Step::TargetLeaving("t1"), Step::GrantPlacement(1, "e2", "t2"),
            Step::End(1, End::Complete, 90),
        ],
        &[
            "ask e2 for 1/1 except t1", "move 1 to 1/1 on t2", "release 1 on t1 Complete to e2",
            "release 1/1 on t2 Unsent to e2",
        ],
    );
    // Guards against asks that stay with the owner after the caller has disconnected.
    a_disconnected_caller_withdraws_the_next_placement: (
        &[Step::TargetLeaving("t1"), Step::Disconnect(1)],
        &["ask e2 for 1/1 except t1", "release 1 on t1 Cancelled to e2", "withdraw 1/1 from e2"],
    );
    // Guards against copying one generation to two targets at once.
    a_second_change_does_not_start_a_second_placement: (
        &[Step::TargetLeaving("t1"), Step::TargetLeaving("t3"), Step::Wait(300)],
        &["ask e2 for 1/1 except t1"],
    );
}

/// Checks that a request that is not worth a copy, or cannot be copied, stays on its target.
fn does_not_relocate(max_tokens: u32, arrive: Step) {
    let mut harness = Harness::new();
    harness.max_tokens = max_tokens;
    harness.run(&[arrive, Step::Grant(1, "e2", "t1"), Step::StartSend(1)]);
    let before = harness.trace.len();
    harness.run(&[Step::TargetLeaving("t1"), Step::Wait(300)]);
    assert_eq!(&harness.trace[before..], &[] as &[String]);
}

hornbeamloom_kernel::cases! {
    does_not_relocate;

    // Guards against spending network bandwidth on answers that end before the copy does.
    a_short_answer: (100, Step::ArriveRouted(1));
    // Guards against asking engines for a copy that they cannot make.
    a_generation_that_cannot_move: (2_000, Step::Arrive(1));
}

/// The owner must charge the next target for the whole KV cache that it will hold.
#[test]
fn a_placement_counts_generated_tokens_as_prompt() {
    let mut harness = Harness::new();
    harness.max_tokens = 2_000;
    harness.run(&[
        Step::ArriveRouted(1),
        Step::Grant(1, "e2", "t1"),
        Step::Progress(1, 40),
        Step::TargetLeaving("t1"),
    ]);
    let asks: Vec<&Ask> = harness
        .outcomes
        .iter()
        .filter_map(|outcome| match outcome {
            Outcome::Send { message: Message::Ask(ask), .. } => Some(ask),
            _ => None,
        })
        .collect();
    let placement = asks.last().expect("an ask for the next placement");
    assert_eq!(
        (placement.prompt_tokens, placement.generated_tokens, placement.max_tokens),
        (50, 40, Some(2_000))
    );
}

/// A harness with enough free memory for every start to have a standby, after the start of request 1
/// with some prompt parts.
fn started_with_standby(parts: &[u64]) -> Harness {
    let mut harness = Harness::with_resources(|records| {
        let config = Configuration { standby_percent: 50, ..Configuration::default() };
        let mut record = records[0].clone();
        record.key = Key { kind: Kind::Configuration, name: "default".into() };
        record.spec = Some(Spec::Configuration(config));
        records.push(record);
        // Only `t2` remains as a standby for generations on `t1`.
        records.retain(|record| !matches!(&*record.key.name, "t3" | "t4"));
    });
    harness.max_tokens = 2_000;
    harness.usage = 100;
    harness.parts = parts.to_vec();
    harness.run(&[Step::ArriveRouted(1), Step::Grant(1, "e2", "t1"), Step::StartSend(1)]);
    harness
}

/// Runs a script for a generation with a standby.
fn relocates_to_standby(steps: &[Step], expected: &[&str]) {
    let mut harness = started_with_standby(&[]);
    let before = harness.trace.len();
    harness.run(steps);
    let trace: Vec<&String> = harness.trace[before..].iter().collect();
    assert_eq!(trace, expected);
}

hornbeamloom_kernel::cases! {
    relocates_to_standby;

    // Guards against losing a generation although another target holds its KV cache.
    a_lost_generation_asks_for_its_standby: (
        &[Step::Lose(1)],
        &["ask e2 for 1/1 at t2 except t1"],
    );
    // Guards against an owner that picks a target by free memory and skips the only one with the
    // replica.
    a_generation_on_a_leaving_target_asks_for_its_standby: (
        &[Step::TargetLeaving("t1")],
        &["ask e2 for 1/1 at t2 except t1"],
    );
}

/// Checks whether a lost generation with prompt part 9 asks for its standby, after a death that makes
/// `suspect` a suspect and after a number of tokens.
fn resumes(suspect: u64, tokens: u32, is_expected: bool) {
    let mut harness = started_with_standby(&[9]);
    let mut running = common::suspects(&[70]);
    running[0].parts = vec![suspect];
    let death = Death { target: "t9".into(), start_id: 1, running, age_ms: 0 };
    harness.receive("e2", Message::Death(death));
    harness.run(&[Step::Progress(1, tokens), Step::Lose(1)]);
    let asks = harness.trace.iter().filter(|line| line.starts_with("ask e2 for 1/1"));
    assert_eq!(asks.count(), usize::from(is_expected));
}

hornbeamloom_kernel::cases! {
    resumes;

    // Guards against a generation that crashes its standby after its target.
    a_suspected_generation_without_output_is_not_resumed: (9, 0, false);
    // Guards against losing a generation whose output shows that its prompt is sound.
    a_suspected_generation_with_output_is_resumed: (9, 4, true);
    a_sound_generation_is_resumed: (8, 0, true);
}

/// Guards against replicas in a pool that has little free memory.
#[test]
fn a_full_pool_gets_no_standby() {
    for (usage, expected) in [(100, true), (499, true), (500, false), (900, false)] {
        let mut harness = Harness::with_configuration(Configuration {
            standby_percent: 50,
            ..Configuration::default()
        });
        harness.max_tokens = 2_000;
        harness.usage = usage;
        harness.run(&[Step::ArriveRouted(1), Step::Grant(1, "e2", "t1")]);
        let starts = harness.outcomes.iter().filter_map(|outcome| match outcome {
            Outcome::Start(start) => Some(start.standby.is_some()),
            _ => None,
        });
        assert_eq!(starts.collect::<Vec<_>>(), [expected], "usage {usage}");
    }
}
