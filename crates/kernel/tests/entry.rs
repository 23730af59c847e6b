//! The entry VM's side of a request: choice of a pool, grants, retries and refusals.

mod common;

use common::{Harness, Step};
use hornbeamloom_kernel::ids::Incarnation;
use hornbeamloom_kernel::outcome::{Outcome, Reason};
use hornbeamloom_kernel::peer::{Ask, Message};
use hornbeamloom_kernel::pool;
use hornbeamloom_kernel::request::{Class, End, Id};

/// Runs a script and compares everything that the VM did.
fn runs_script(steps: &[Step], expected: &[&str]) {
    let mut harness = Harness::new();
    assert_eq!(harness.run(steps), expected);
}

hornbeamloom_kernel::cases! {
    runs_script;

    // A request would stay without an answer if the plain path broke.
    a_grant_starts_and_the_end_releases: (
        &[Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::StartSend(1), Step::End(1, End::Complete, 9)],
        &["ask e2 for 1", "start 1 on t1", "release 1 on t1 Complete to e2"],
    );
    // A full home zone would refuse callers that another zone can serve.
    a_full_queue_spills_to_the_region_first: (
        &[Step::Arrive(1), Step::Refuse(1, "e2", Reason::OrganisationQueue), Step::Refuse(1, "e3", Reason::NoTarget)],
        &["ask e2 for 1", "ask e3 for 1", "ask e4 for 1"],
    );
    // The caller would hear of the last zone and not of its own.
    all_zones_full_gives_the_first_refusal: (
        &[
            Step::Arrive(1), Step::Refuse(1, "e2", Reason::OrganisationQueue),
            Step::Refuse(1, "e3", Reason::NoTarget), Step::Refuse(1, "e4", Reason::PoolQueue),
        ],
        &["ask e2 for 1", "ask e3 for 1", "ask e4 for 1", "refuse 1 OrganisationQueue ran No"],
    );
    // A quarantined body would be offered to every zone in turn.
    a_quarantine_refusal_does_not_spill: (
        &[Step::Arrive(1), Step::Refuse(1, "e2", Reason::Quarantined)],
        &["ask e2 for 1", "refuse 1 Quarantined ran No"],
    );
    // A late refusal would end a request that another owner is about to start.
    a_refusal_from_another_owner_is_ignored: (
        &[Step::Arrive(1), Step::Refuse(1, "e3", Reason::NoTarget)],
        &["ask e2 for 1"],
    );
    // Work would be asked for in a zone that operators took out (I3).
    a_zone_that_is_out_is_skipped: (
        &[Step::ZoneOut("a1"), Step::Arrive(1)],
        &["ask e3 for 1"],
    );
    // A pool whose targets are all leaving would queue the request in vain.
    a_zone_without_usable_target_is_skipped: (
        &[Step::TargetLeaving("t1"), Step::TargetLeaving("t2"), Step::Arrive(1)],
        &["ask e3 for 1"],
    );
    // A waiting request would stay queued in a zone that was taken out.
    a_waiting_request_leaves_a_zone_that_goes_out: (
        &[Step::Arrive(1), Step::ZoneOut("a1"), Step::Wait(500)],
        &["ask e2 for 1", "withdraw 1 from e2", "ask e3 for 1"],
    );
    // Work would start in a zone taken out between the grant and the start (I3).
    a_zone_taken_out_before_the_start_gets_nothing: (
        &[Step::Arrive(1), Step::ZoneOut("a1"), Step::Grant(1, "e2", "t1"), Step::Wait(100)],
        &["ask e2 for 1", "retry TargetLeft", "release 1 on t1 Unsent to e2", "ask e3 for 1 but t1"],
    );
    // Work would start on a target that is leaving (I7).
    a_target_leaving_before_the_start_gets_nothing: (
        &[Step::Arrive(1), Step::TargetLeaving("t1"), Step::Grant(1, "e2", "t1"), Step::Wait(100)],
        &["ask e2 for 1", "retry TargetLeft", "release 1 on t1 Unsent to e2", "ask e2 for 1 but t1"],
    );
    // A cold target's limit would be broken by a grant that the next holder does not know (I2).
    a_grant_after_a_pause_is_too_old: (
        &[Step::Arrive(1), Step::Pause(2_000), Step::Grant(1, "e2", "t1")],
        &["ask e2 for 1", "retry GrantExpired", "release 1 on t1 Unsent to e2", "ask e2 for 1"],
    );
    // The repeated ask after a pause would make an old grant look fresh (I2).
    an_old_grant_after_a_reissued_ask_is_ignored: (
        &[Step::Arrive(1), Step::Pause(5_000), Step::Wait(50), Step::GrantAttempt(1, 1, "e2", "t1"), Step::Wait(1_500), Step::Grant(1, "e2", "t2")],
        &[
            "ask e2 for 1", "ask e2 for 1",
            "release 1 on t1 Unsent to e2", "start 1 on t2",
        ],
    );
    // A VM that was paused may not know that the zone or target left meanwhile (I3, I7).
    a_grant_right_after_a_pause_waits_for_missed_changes: (
        &[Step::Arrive(1), Step::Pause(5_000), Step::Wait(50), Step::Grant(1, "e2", "t1"), Step::Wait(1_500), Step::Grant(1, "e2", "t2")],
        &[
            "ask e2 for 1", "ask e2 for 1",
            "retry VmPaused", "release 1 on t1 Unsent to e2",
            "ask e2 for 1", "start 1 on t2",
        ],
    );
    // A repeated grant would start a second generation for one caller (I1).
    a_duplicate_grant_is_ignored: (
        &[Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::Grant(1, "e2", "t1")],
        &["ask e2 for 1", "start 1 on t1"],
    );
    // The owner's ledger would keep a slot for a grant that is not used.
    a_grant_for_another_target_is_released: (
        &[Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::Grant(1, "e2", "t2")],
        &["ask e2 for 1", "start 1 on t1", "release 1 on t2 Unsent to e2"],
    );
    // A caller would wait beyond its service's limit, and a late grant would hold a slot.
    a_deadline_withdraws_and_refuses: (
        &[Step::Arrive(1), Step::Wait(20_000), Step::Grant(1, "e2", "t1")],
        &[
            "ask e2 for 1", "refuse 1 QueueDeadline ran No", "withdraw 1 from e2",
            "release 1 on t1 Unsent to e2",
        ],
    );
    // A request would be lost with the owner that had it in its queue.
    a_new_owner_is_asked: (
        &[Step::Arrive(1), Step::TakeOver("e3", "a1"), Step::Wait(500)],
        &["ask e2 for 1", "withdraw 1 from e2", "ask e3 for 1"],
    );
    // A target that is full would fail a request that another target can serve.
    a_rejected_attempt_goes_elsewhere: (
        &[Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::End(1, End::Rejected, 0), Step::Wait(100)],
        &[
            "ask e2 for 1", "start 1 on t1", "retry TargetRejected",
            "release 1 on t1 Rejected to e2", "ask e2 for 1 but t1",
        ],
    );
    // A service with few targets would refuse what its momentarily full targets can take later.
    excluded_targets_are_allowed_when_none_is_left: (
        &[
            Step::ZoneOut("a2"), Step::ZoneOut("b1"), Step::TargetLeaving("t2"), Step::Arrive(1), Step::Grant(1, "e2", "t1"),
            Step::End(1, End::Rejected, 0), Step::Wait(400),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "retry TargetRejected", "release 1 on t1 Rejected to e2",
            "ask e2 for 1",
        ],
    );
    // The caller would read two generations in one answer (I1).
    no_retry_after_a_token: (
        &[Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::StartSend(1), Step::End(1, End::Died, 3), Step::Wait(100)],
        &["ask e2 for 1", "start 1 on t1", "refuse 1 TargetFailed ran Yes", "release 1 on t1 Died to e2"],
    );
    // Tokens that only the progress account has seen would be repeated (I1).
    no_retry_after_a_token_in_a_progress_report: (
        &[Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::Progress(1, 2), Step::End(1, End::Broken, 0)],
        &[
            "ask e2 for 1", "start 1 on t1", "progress 2 to e2",
            "refuse 1 TargetFailed ran Yes", "release 1 on t1 Broken to e2",
        ],
    );
    // A refusal would claim "not run" although an earlier attempt may have run (I5).
    a_broken_attempt_makes_a_later_refusal_uncertain: (
        &[
            Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::StartSend(1), Step::End(1, End::Broken, 0),
            Step::Wait(100), Step::Refuse(1, "e2", Reason::Quarantined),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "retry TargetBroken",
            "release 1 on t1 Broken to e2", "ask e2 for 1 but t1", "refuse 1 Quarantined ran Unknown",
        ],
    );
    // A request that crashes its targets would take down a third before the reports show it.
    two_targets_that_die_end_a_request: (
        &[
            Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::StartSend(1), Step::End(1, End::Died, 0), Step::Wait(100),
            Step::Grant(1, "e2", "t2"), Step::StartSend(1), Step::End(1, End::Died, 0),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "retry TargetDied", "release 1 on t1 Died to e2",
            "ask e2 for 1 but t1", "start 1 on t2", "refuse 1 TargetFailed ran Unknown",
            "release 1 on t2 Died to e2",
        ],
    );
    // A slot would stay taken after the caller left.
    a_disconnected_caller_frees_its_slot: (
        &[Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::Disconnect(1)],
        &["ask e2 for 1", "start 1 on t1", "release 1 on t1 Cancelled to e2"],
    );
    // The owner would grant a target to a caller that left.
    the_ask_of_a_disconnected_caller_is_withdrawn: (
        &[Step::Arrive(1), Step::Disconnect(1), Step::Grant(1, "e2", "t1")],
        &["ask e2 for 1", "withdraw 1 from e2", "release 1 on t1 Unsent to e2"],
    );
    // A new holder would take unknown work for none, or wait for a VM that has none (I2).
    a_new_holder_gets_the_inventory: (
        &[Step::Hello("e3", "a1"), Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::Hello("e3", "a1")],
        &["inventory of 0 to e3", "ask e2 for 1", "start 1 on t1", "inventory of 1 to e3"],
    );
    // The new owner would free the work of a VM that it hears nothing from.
    progress_and_release_reach_the_new_owner: (
        &[
            Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::TakeOver("e3", "a1"),
            Step::Progress(1, 4), Step::End(1, End::Complete, 4),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "progress 4 to e2", "progress 4 to e3",
            "release 1 on t1 Complete to e2", "release 1 on t1 Complete to e3",
        ],
    );
    // A planned stop would cut off a running request (I8).
    a_drain_waits_for_running_requests: (
        &[
            Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::Drain, Step::Arrive(2), Step::Wait(500),
            Step::End(1, End::Complete, 1), Step::Grant(2, "e2", "t1"), Step::End(2, End::Complete, 1),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "ask e2 for 2", "release 1 on t1 Complete to e2",
            "start 2 on t1", "drained", "release 2 on t1 Complete to e2",
        ],
    );
    // A request would be cut off when the platform kills a VM that has not stopped in time (I8).
    a_draining_vm_refuses_late_requests_of_routes: (
        &[Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::Leave, Step::Drain, Step::ArriveBalanced(2)],
        &["ask e2 for 1", "start 1 on t1", "refuse 2 ShuttingDown ran No"],
    );
    // A request that arrives after the end of the drain would be lost with the process.
    a_drained_vm_refuses: (
        &[Step::Drain, Step::Arrive(1)],
        &["drained", "refuse 1 ShuttingDown ran No"],
    );
}

/// Brings a generation of a route to a VM that has just been told to stop.
fn answers_while_leaving(max_tokens: u32, expected: &[&str]) {
    let mut harness = Harness::new();
    harness.max_tokens = max_tokens;
    assert_eq!(harness.run(&[Step::Leave, Step::ArriveRouted(1)]), expected);
}

hornbeamloom_kernel::cases! {
    answers_while_leaving;

    // It would be cut off when the platform kills the VM (I8).
    a_leaving_vm_refuses_long_generations: (2_000, &["refuse 1 ShuttingDown ran No"]);
    // Callers would be sent away whose answer takes a second.
    a_leaving_vm_accepts_short_generations: (100, &["ask e2 for 1"]);
}

/// Lets an owner fall silent and returns where the request was asked, from its explanation.
fn asks_in_order(silent: &str, wait_ms: u64, expected: &[&str]) {
    let mut harness = Harness::new();
    let leaked: &'static str = silent.to_owned().leak();
    harness.run(&[Step::StopAnswering(leaked), Step::Arrive(1), Step::Wait(wait_ms)]);
    let id = common::id(1);
    let steps = harness.kernel.state().decisions.steps(&id);
    let asked: Vec<&str> = steps
        .map(|step| step.text.as_str())
        .filter(|text| text.starts_with("asked") || text.starts_with("no answer"))
        .take(expected.len().max(1))
        .collect();
    assert_eq!(asked, expected);
}

hornbeamloom_kernel::cases! {
    asks_in_order;

    // Requests would wait for an owner that is gone until their deadline.
    a_silent_owner_is_replaced_by_this_vm: (
        "e2", 1_200, &["asked e2 for a1", "no answer from e2", "asked e1 for a1 in fallback"],
    );
    // Requests would stay in a fallback that can start nothing while another zone is free.
    a_fallback_without_warm_targets_spills: (
        "e2", 3_000,
        &["asked e2 for a1", "no answer from e2", "asked e1 for a1 in fallback", "asked e3 for a2"],
    );
    // A long queue would be taken for a lost owner and scheduled twice.
    an_owner_that_acknowledges_is_not_replaced: ("e3", 5_000, &["asked e2 for a1"]);
}

/// Counts the asks that one request sends within a time.
fn resends(wait_ms: u64, expected: usize) {
    let mut harness = Harness::new();
    harness.run(&[Step::Arrive(1), Step::Wait(wait_ms)]);
    let is_ask = |outcome: &&Outcome| {
        matches!(
            outcome,
            Outcome::Send {
                message: Message::Ask(ask),
                ..
            } if ask.attempt == 1
        )
    };
    assert_eq!(harness.outcomes.iter().filter(is_ask).count(), expected);
}

hornbeamloom_kernel::cases! {
    resends;

    // A lost ask would never be answered.
    an_ask_is_repeated_every_half_second: (2_000, 5);
    // The owner would receive asks without pause.
    an_ask_is_not_repeated_earlier: (450, 1);
}

/// Lets `requests` start and be rejected at once and counts refusals for want of budget.
fn refuses_over_budget(requests: u64, expected: usize) {
    let mut harness = Harness::new();
    for n in 1..=requests {
        harness.run(&[Step::Arrive(n), Step::Grant(n, "e2", "t1")]);
    }
    for n in 1..=requests {
        harness.run(&[Step::End(n, End::Rejected, 0)]);
    }
    let refused = harness.trace.iter();
    let refused = refused.filter(|line| line.ends_with("RetryBudget ran No"));
    assert_eq!(refused.count(), expected);
}

hornbeamloom_kernel::cases! {
    refuses_over_budget;

    // A few failures on a quiet VM would already be refused.
    three_retries_are_always_allowed: (3, 0);
    // A failing pool would receive each request several times.
    the_fourth_retry_of_few_requests_is_refused: (4, 1);
    // A busy VM could not retry more than a quiet one.
    a_tenth_of_the_arrivals_is_allowed: (50, 45);
}

/// The delay of a retry depends on the identity's seed, so that VMs do not retry in step.
fn jitters(first: u64, second: u64, is_equal: bool) {
    let delays = |seed: u64| -> Vec<u64> {
        let draw = |index| hornbeamloom_kernel::retry::draw(seed, index);
        (0..8).map(|n| hornbeamloom_kernel::retry::backoff(n, draw(u64::from(n)))).collect()
    };
    assert_eq!(delays(first) == delays(second), is_equal);
}

hornbeamloom_kernel::cases! {
    jitters;

    // A replay of the same events would take another course.
    the_same_seed_gives_the_same_delays: (3, 3, true);
    // All VMs would repeat their requests at the same moment.
    different_seeds_give_different_delays: (3, 4, false);
}

/// Lets peer `e3` ask this VM for a start in a zone and counts the acknowledgements.
fn acknowledges(zone: &str, asks: usize, expected: usize) {
    let mut harness = Harness::new();
    harness.run(&[Step::TakeOver("e2", "a1")]);
    let ask = Ask {
        pool: pool::Key::new("menu", zone),
        id: Id::new("e3", Incarnation(2), 1),
        attempt: 1,
        organisation: "school".into(),
        prompt_tokens: 1,
        max_tokens: None,
        class: Class::Long,
        fingerprint: 1,
        prefixes: Vec::new(),
        waited_ms: 0,
        patience_ms: 1_000,
        exclude: Vec::new(),
        priority: None,
        spills: false,
        held_at: None,
        made: 0,
    };
    for _ in 0..asks {
        harness.receive("e3", Message::Ask(ask.clone()));
    }
    let is_ack =
        |outcome: &&Outcome| matches!(outcome, Outcome::Send { message: Message::Ack { .. }, .. });
    assert_eq!(harness.outcomes.iter().filter(is_ack).count(), expected);
}

hornbeamloom_kernel::cases! {
    acknowledges;

    // The asker would take a long wait in this VM's queue for a lost owner.
    an_ask_for_a_pool_without_another_owner_is_acknowledged: ("c1", 1, 1);
    // Each ask would cost a message back.
    many_asks_at_once_get_one_acknowledgement: ("c1", 5, 1);
    // The asker would wait for a VM that ignores its ask because it knows another owner.
    no_acknowledgement_for_a_pool_of_another_owner: ("a1", 1, 0);
}
