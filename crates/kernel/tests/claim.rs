//! At-most-once calls: claims, stored outcomes, and recovery from lost answers.

mod common;

use common::{Harness, Step, StoreMode};
use hornbeamloom_kernel::outcome::{Outcome, Reason};
use hornbeamloom_kernel::request::End;
use hornbeamloom_kernel::store::{Key, Op};

/// Runs a script and compares the complete trace, with the state of claims in the table.
fn runs_script(steps: &[Step], expected: &[&str]) {
    let mut harness = Harness::new();
    assert_eq!(harness.run(steps), expected);
}

hornbeamloom_kernel::cases! {
    runs_script;

    // Guards against sending a call before other VMs can see its claim (I6).
    a_call_is_claimed_before_it_is_asked_for: (
        &[Step::ArriveKeyed(1, "k", 7), Step::ShowClaim("k")],
        &["ask e2 for 1", "claim k is held"],
    );
    // Guards against executing a second call with the same key instead of returning the first
    // answer (I6).
    the_same_key_again_gets_the_stored_answer: (
        &[
            Step::ArriveKeyed(1, "k", 7), Step::Grant(1, "e2", "t1"), Step::StartSend(1),
            Step::Answer(1),
            Step::ShowClaim("k"), Step::ArriveKeyed(2, "k", 7),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "release 1 on t1 Complete to e2",
            "claim k has an outcome", "replay 2",
        ],
    );
    // Guards against two concurrent calls with the same key (I6).
    the_same_key_while_it_runs_is_refused: (
        &[Step::ArriveKeyed(1, "k", 7), Step::ArriveKeyed(2, "k", 7)],
        &["ask e2 for 1", "refuse 2 InProgress ran Unknown"],
    );
    // Guards against returning the answer of another call (I4).
    the_same_key_with_another_body_is_refused: (
        &[
            Step::ArriveKeyed(1, "k", 7), Step::ArriveKeyed(2, "k", 8), Step::Grant(1, "e2", "t1"),
            Step::Answer(1),
            Step::ArriveKeyed(3, "k", 8),
        ],
        &[
            "ask e2 for 1", "refuse 2 KeyReused ran No", "start 1 on t1",
            "release 1 on t1 Complete to e2", "refuse 3 KeyReused ran No",
        ],
    );
    // Guards against running a call without a claim while the store is down (I6), and against
    // refusing it as possibly run.
    a_store_that_is_down_refuses_as_not_run: (
        &[
            Step::SetStore(StoreMode::Down), Step::ArriveKeyed(1, "k", 7), Step::Wait(1_000),
            Step::Arrive(2),
        ],
        &["refuse 1 StoreUnavailable ran No", "ask e2 for 2"],
    );
    // Guards against failing a call because the platform closed one connection.
    a_short_outage_only_delays_the_claim: (
        &[
            Step::SetStore(StoreMode::Down), Step::ArriveKeyed(1, "k", 7), Step::Wait(200),
            Step::SetStore(StoreMode::Up),
            Step::Wait(500), Step::ShowClaim("k"),
        ],
        &["ask e2 for 1", "claim k is held"],
    );
    // Guards against waiting for a store that never answers, and against a late claim that blocks
    // the key.
    a_store_that_never_answers_refuses_in_time: (
        &[
            Step::SetStore(StoreMode::Silent), Step::ArriveKeyed(1, "k", 7), Step::Wait(5_000),
            Step::SetStore(StoreMode::Up),
            Step::Wait(20_000), Step::ArriveKeyed(2, "k", 7),
        ],
        &["refuse 1 StoreUnavailable ran No", "ask e2 for 2"],
    );
    // Guards against a claim with a lost answer that is refused or blocks its own key forever.
    a_lost_answer_is_read_back: (
        &[
            Step::SetStore(StoreMode::LoseAnswer), Step::ArriveKeyed(1, "k", 7),
            Step::ShowClaim("k"),
        ],
        &["ask e2 for 1", "claim k is held"],
    );
    // Guards against treating a call as claimed although the write was lost (I6).
    a_lost_write_is_repeated: (
        &[
            Step::SetStore(StoreMode::LoseWrite), Step::ArriveKeyed(1, "k", 7),
            Step::ShowClaim("k"), Step::Wait(1_000), Step::ShowClaim("k"),
        ],
        &["claim k is absent", "ask e2 for 1", "claim k is held"],
    );
    // Guards against a claim that blocks its key because the caller disconnected before the answer
    // to the write.
    a_claim_is_deleted_when_its_caller_disconnected: (
        &[
            Step::SetStore(StoreMode::LoseWrite), Step::ArriveKeyed(1, "k", 7), Step::Disconnect(1),
            Step::Wait(5_000), Step::ShowClaim("k"), Step::ArriveKeyed(2, "k", 7),
        ],
        &["claim k is absent", "ask e2 for 2"],
    );
    // Guards against a claim that blocks its key forever because its write was applied after it had
    // been looked for.
    a_claim_that_is_applied_late_is_deleted: (
        &[
            Step::SetStore(StoreMode::LoseWrite), Step::ArriveKeyed(1, "k", 7), Step::Disconnect(1),
            Step::Wait(600),
            Step::ApplyLostWrite, Step::ShowClaim("k"), Step::Wait(5_000), Step::ShowClaim("k"),
        ],
        &["claim k is held", "claim k is absent"],
    );
    // Guards against a key that stays blocked after its call was refused before the start.
    a_claim_is_deleted_when_nothing_was_sent: (
        &[
            Step::ArriveKeyed(1, "k", 7), Step::Refuse(1, "e2", Reason::Quarantined),
            Step::ShowClaim("k"),
        ],
        &["ask e2 for 1", "refuse 1 Quarantined ran No", "claim k is absent"],
    );
    // Guards against sending the call again after a byte of it may have been sent (I6).
    no_retry_after_a_byte_may_have_left: (
        &[
            Step::ArriveKeyed(1, "k", 7), Step::Grant(1, "e2", "t1"), Step::StartSend(1),
            Step::End(1, End::Broken, 0), Step::ShowClaim("k"), Step::ArriveKeyed(2, "k", 7),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "refuse 1 TargetFailed ran Unknown",
            "release 1 on t1 Broken to e2", "claim k is abandoned",
            "refuse 2 OutcomeUnknown ran Unknown",
        ],
    );
    // Guards against failing a call that a full target rejected without running it.
    a_rejected_call_is_repeated_under_its_claim: (
        &[
            Step::ArriveKeyed(1, "k", 7), Step::Grant(1, "e2", "t1"), Step::StartSend(1),
            Step::End(1, End::Rejected, 0), Step::Wait(100), Step::ShowClaim("k"),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "retry TargetRejected",
            "release 1 on t1 Rejected to e2",
            "ask e2 for 1 except t1", "claim k is held",
        ],
    );
    // Guards against losing an outcome during an outage of the store, which leaves the key in
    // progress.
    an_outcome_is_stored_after_an_outage: (
        &[
            Step::ArriveKeyed(1, "k", 7), Step::Grant(1, "e2", "t1"),
            Step::SetStore(StoreMode::Down), Step::Answer(1),
            Step::ShowClaim("k"), Step::SetStore(StoreMode::Up), Step::Wait(2_000),
            Step::ShowClaim("k"),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "release 1 on t1 Complete to e2", "claim k is held",
            "claim k has an outcome",
        ],
    );
    // Guards against discarding the answer of a call whose caller lost its connection.
    an_answer_after_the_caller_disconnected_is_stored: (
        &[
            Step::ArriveKeyed(1, "k", 7), Step::Grant(1, "e2", "t1"), Step::StartSend(1),
            Step::Disconnect(1),
            Step::Answer(1), Step::ShowClaim("k"),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "release 1 on t1 Cancelled to e2",
            "claim k has an outcome",
        ],
    );
    // Guards against a key that stays in progress forever because its caller disconnected during
    // the call.
    a_call_whose_caller_disconnected_becomes_unknown: (
        &[
            Step::ArriveKeyed(1, "k", 7), Step::Grant(1, "e2", "t1"), Step::StartSend(1),
            Step::Disconnect(1),
            Step::Wait(61_000), Step::ShowClaim("k"),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "release 1 on t1 Cancelled to e2",
            "claim k is abandoned",
        ],
    );
    // Guards against running a call that another VM is running (I6).
    a_claim_of_a_live_vm_is_in_progress: (
        &[Step::AddClaim("k", "e3", 2, 7), Step::ArriveKeyed(1, "k", 7), Step::Wait(1_000)],
        &["refuse 1 InProgress ran Unknown"],
    );
    // Guards against reporting "in progress" to a caller that already has its answer from another
    // VM.
    an_outcome_that_another_vm_still_writes_is_waited_for: (
        &[
            Step::AddClaim("k", "e3", 2, 7), Step::ArriveKeyed(1, "k", 7), Step::Wait(200),
            Step::CompleteClaim("k"),
            Step::Wait(300),
        ],
        &["replay 1"],
    );
    // Guards against treating the claim of a dead process as running work forever.
    a_claim_of_an_earlier_incarnation_is_unknown: (
        &[
            Step::AddClaim("k", "e3", 1, 7), Step::AddClaim("l", "e1", 0, 7),
            Step::ArriveKeyed(1, "k", 7), Step::ArriveKeyed(2, "l", 7),
        ],
        &["refuse 1 OutcomeUnknown ran Unknown", "refuse 2 OutcomeUnknown ran Unknown"],
    );
    // Guards against treating the claim of a replaced VM as running work forever.
    a_claim_of_a_vm_no_longer_listed_is_unknown: (
        &[
            Step::ListVms(&["e1", "e2", "e3"]), Step::ListVms(&["e1", "e2"]),
            Step::AddClaim("k", "e3", 2, 7), Step::ArriveKeyed(1, "k", 7),
        ],
        &["refuse 1 OutcomeUnknown ran Unknown"],
    );
    // Guards against reporting "in progress" for a call with another body.
    a_claim_with_another_body_is_refused: (
        &[Step::AddClaim("k", "e3", 1, 8), Step::ArriveKeyed(1, "k", 7)],
        &["refuse 1 KeyReused ran No"],
    );
    // Guards against a process that exits before the outcome of its last call is stored.
    a_drain_waits_for_outcomes: (
        &[
            Step::ArriveKeyed(1, "k", 7), Step::Grant(1, "e2", "t1"), Step::Drain,
            Step::SetStore(StoreMode::Down),
            Step::Answer(1), Step::SetStore(StoreMode::Up), Step::Wait(1_000),
        ],
        &["ask e2 for 1", "start 1 on t1", "release 1 on t1 Complete to e2", "drained"],
    );
}

/// Compares the sizes of the batches that write `calls` claims, which arrive while the first write
/// is in flight.
fn batches(calls: u64, expected: &[usize]) {
    let keys: Vec<String> = (1..=calls).map(|n| format!("k{n}")).collect();
    let mut harness = Harness::new();
    harness.run(&[Step::SetStore(StoreMode::Silent)]);
    for (n, key) in (1..).zip(&keys) {
        let key: &'static str = key.clone().leak();
        harness.run(&[Step::ArriveKeyed(n, key, n)]);
    }
    harness.run(&[Step::SetStore(StoreMode::Up)]);
    harness.answer_held_calls();
    let sizes = harness.outcomes.iter().filter_map(|outcome| match outcome {
        Outcome::Store(call) => match &call.op {
            Op::Write(writes) if matches!(writes[0].key, Key::Claim { .. }) => Some(writes.len()),
            _ => None,
        },
        _ => None,
    });
    let sizes: Vec<usize> = sizes.take(expected.len()).collect();
    assert_eq!(sizes, expected);
}

hornbeamloom_kernel::cases! {
    batches;

    // Guards against one write per claim; the store handles only a few hundred writes per second.
    claims_are_batched_while_a_write_is_in_flight: (5, &[1, 4]);
    // Guards against a transaction larger than the store accepts.
    a_batch_has_at_most_64_writes: (70, &[1, 64, 5]);
}
