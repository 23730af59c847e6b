//! The entry VM's side of a request: choice of a pool, grants, retries and refusals.

mod common;

use common::{Harness, Step};
use hornbeamloom_kernel::backpressure::Signal;
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::ids::Incarnation;
use hornbeamloom_kernel::outcome::{Outcome, Reason};
use hornbeamloom_kernel::peer::{Ask, Message};
use hornbeamloom_kernel::pool;
use hornbeamloom_kernel::request::{Class, End, Id};

/// Runs a script and compares the complete trace.
fn runs_script(steps: &[Step], expected: &[&str]) {
    let mut harness = Harness::new();
    assert_eq!(harness.run(steps), expected);
}

hornbeamloom_kernel::cases! {
    runs_script;

    // Guards against a request that never gets an answer on the regular path.
    a_grant_starts_and_the_end_releases: (
        &[
            Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::StartSend(1),
            Step::End(1, End::Complete, 9),
        ],
        &["ask e2 for 1", "start 1 on t1", "release 1 on t1 Complete to e2"],
    );
    // Guards against refusing callers because their own zone is full while another one can serve
    // them.
    a_full_queue_spills_to_the_region_first: (
        &[
            Step::Arrive(1), Step::Refuse(1, "e2", Reason::OrganisationQueue),
            Step::Refuse(1, "e3", Reason::NoTarget),
        ],
        &["ask e2 for 1", "ask e3 for 1", "ask e4 for 1"],
    );
    // Guards against reporting the last zone's refusal to a caller instead of its own zone's.
    all_zones_full_gives_the_first_refusal: (
        &[
            Step::Arrive(1), Step::Refuse(1, "e2", Reason::OrganisationQueue),
            Step::Refuse(1, "e3", Reason::NoTarget), Step::Refuse(1, "e4", Reason::PoolQueue),
        ],
        &["ask e2 for 1", "ask e3 for 1", "ask e4 for 1", "refuse 1 OrganisationQueue ran No"],
    );
    // Guards against sending a quarantined body to one zone after another.
    a_quarantine_refusal_does_not_spill: (
        &[Step::Arrive(1), Step::Refuse(1, "e2", Reason::Quarantined)],
        &["ask e2 for 1", "refuse 1 Quarantined ran No"],
    );
    // Guards against a late refusal that ends a request which another owner is about to start.
    a_refusal_from_another_owner_is_ignored: (
        &[Step::Arrive(1), Step::Refuse(1, "e3", Reason::NoTarget)],
        &["ask e2 for 1"],
    );
    // Guards against work for a zone that operators took out of service (I3).
    a_zone_that_is_out_is_skipped: (
        &[Step::ZoneOut("a1"), Step::Arrive(1)],
        &["ask e3 for 1"],
    );
    // Guards against queueing a request in a pool whose targets are all leaving.
    a_zone_without_usable_target_is_skipped: (
        &[Step::TargetLeaving("t1"), Step::TargetLeaving("t2"), Step::Arrive(1)],
        &["ask e3 for 1"],
    );
    // Guards against a request that stays queued in a zone after it was taken out of service.
    a_waiting_request_leaves_a_zone_that_goes_out: (
        &[Step::Arrive(1), Step::ZoneOut("a1"), Step::Wait(500)],
        &["ask e2 for 1", "withdraw 1 from e2", "ask e3 for 1"],
    );
    // Guards against a start in a zone that was taken out of service after the grant (I3).
    a_zone_taken_out_before_the_start_gets_nothing: (
        &[Step::Arrive(1), Step::ZoneOut("a1"), Step::Grant(1, "e2", "t1"), Step::Wait(100)],
        &[
            "ask e2 for 1", "retry TargetLeft", "release 1 on t1 Unsent to e2",
            "ask e3 for 1 except t1",
        ],
    );
    // Guards against a start on a target that began to leave after the grant (I7).
    a_target_leaving_before_the_start_gets_nothing: (
        &[Step::Arrive(1), Step::TargetLeaving("t1"), Step::Grant(1, "e2", "t1"), Step::Wait(100)],
        &[
            "ask e2 for 1", "retry TargetLeft", "release 1 on t1 Unsent to e2",
            "ask e2 for 1 except t1",
        ],
    );
    // Guards against exceeding a cold target's limit with a grant that the next lease holder does
    // not know of (I2).
    a_grant_after_a_pause_is_too_old: (
        &[Step::Arrive(1), Step::Pause(2_000), Step::Grant(1, "e2", "t1")],
        &["ask e2 for 1", "retry GrantExpired", "release 1 on t1 Unsent to e2", "ask e2 for 1"],
    );
    // Guards against an old grant that counts as fresh because the ask was repeated after a pause
    // (I2).
    an_old_grant_after_a_reissued_ask_is_ignored: (
        &[
            Step::Arrive(1), Step::Pause(5_000), Step::Wait(50),
            Step::GrantAttempt(1, 1, "e2", "t1"), Step::Wait(1_500), Step::Grant(1, "e2", "t2"),
        ],
        &[
            "ask e2 for 1", "ask e2 for 1",
            "release 1 on t1 Unsent to e2", "start 1 on t2",
        ],
    );
    // Guards against a start right after a pause, when the VM may not know yet that the zone or
    // target has left (I3, I7).
    a_grant_right_after_a_pause_waits_for_missed_changes: (
        &[
            Step::Arrive(1), Step::Pause(5_000), Step::Wait(50), Step::Grant(1, "e2", "t1"),
            Step::Wait(1_500), Step::Grant(1, "e2", "t2"),
        ],
        &[
            "ask e2 for 1", "ask e2 for 1",
            "retry VmPaused", "release 1 on t1 Unsent to e2",
            "ask e2 for 1", "start 1 on t2",
        ],
    );
    // Guards against a second generation for one caller after a repeated grant (I1).
    a_duplicate_grant_is_ignored: (
        &[Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::Grant(1, "e2", "t1")],
        &["ask e2 for 1", "start 1 on t1"],
    );
    // Guards against a slot that stays taken in the owner's in-flight table for an unused grant.
    a_grant_for_another_target_is_released: (
        &[Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::Grant(1, "e2", "t2")],
        &["ask e2 for 1", "start 1 on t1", "release 1 on t2 Unsent to e2"],
    );
    // Guards against a wait beyond the service's limit, and against a late grant that keeps a slot.
    a_deadline_withdraws_and_refuses: (
        &[Step::Arrive(1), Step::Wait(20_000), Step::Grant(1, "e2", "t1")],
        &[
            "ask e2 for 1", "refuse 1 QueueDeadline ran No", "withdraw 1 from e2",
            "release 1 on t1 Unsent to e2",
        ],
    );
    // Guards against losing a request together with the owner that had queued it.
    a_new_owner_is_asked: (
        &[Step::Arrive(1), Step::TakeOver("e3", "a1"), Step::Wait(500)],
        &["ask e2 for 1", "withdraw 1 from e2", "ask e3 for 1"],
    );
    // Guards against failing a request on a full target when another target can serve it.
    a_rejected_attempt_goes_elsewhere: (
        &[
            Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::End(1, End::Rejected, 0),
            Step::Wait(100),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "retry TargetRejected",
            "release 1 on t1 Rejected to e2", "ask e2 for 1 except t1",
        ],
    );
    // Guards against refusing a request because the few targets of its service were full for a
    // moment.
    excluded_targets_are_allowed_when_none_is_left: (
        &[
            Step::ZoneOut("a2"), Step::ZoneOut("b1"), Step::TargetLeaving("t2"), Step::Arrive(1),
            Step::Grant(1, "e2", "t1"),
            Step::End(1, End::Rejected, 0), Step::Wait(400),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "retry TargetRejected",
            "release 1 on t1 Rejected to e2",
            "ask e2 for 1",
        ],
    );
    // Guards against two generations in one answer (I1).
    no_retry_after_a_token: (
        &[
            Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::StartSend(1),
            Step::End(1, End::Died, 3), Step::Wait(100),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "refuse 1 TargetFailed ran Yes",
            "release 1 on t1 Died to e2",
        ],
    );
    // Guards against repeating tokens that were only seen in a progress report (I1).
    no_retry_after_a_token_in_a_progress_report: (
        &[
            Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::Progress(1, 2),
            Step::End(1, End::Broken, 0),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "progress 2 to e2",
            "refuse 1 TargetFailed ran Yes", "release 1 on t1 Broken to e2",
        ],
    );
    // Guards against a refusal that states "not run" although an earlier attempt may have run (I5).
    a_broken_attempt_makes_a_later_refusal_uncertain: (
        &[
            Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::StartSend(1),
            Step::End(1, End::Broken, 0),
            Step::Wait(100), Step::Refuse(1, "e2", Reason::Quarantined),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "retry TargetBroken",
            "release 1 on t1 Broken to e2", "ask e2 for 1 except t1",
            "refuse 1 Quarantined ran Unknown",
        ],
    );
    // Guards against a request that crashes a third target before the reports lead to its
    // quarantine.
    two_targets_that_die_end_a_request: (
        &[
            Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::StartSend(1),
            Step::End(1, End::Died, 0), Step::Wait(100),
            Step::Grant(1, "e2", "t2"), Step::StartSend(1), Step::End(1, End::Died, 0),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "retry TargetDied", "release 1 on t1 Died to e2",
            "ask e2 for 1 except t1", "start 1 on t2", "refuse 1 TargetFailed ran Unknown",
            "release 1 on t2 Died to e2",
        ],
    );
    // Guards against a slot that stays taken after the caller disconnected.
    a_disconnected_caller_frees_its_slot: (
        &[Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::Disconnect(1)],
        &["ask e2 for 1", "start 1 on t1", "release 1 on t1 Cancelled to e2"],
    );
    // Guards against a grant for a caller that has disconnected.
    the_ask_of_a_disconnected_caller_is_withdrawn: (
        &[Step::Arrive(1), Step::Disconnect(1), Step::Grant(1, "e2", "t1")],
        &["ask e2 for 1", "withdraw 1 from e2", "release 1 on t1 Unsent to e2"],
    );
    // Guards against a new lease holder that treats unknown work as none, or waits for a VM that
    // has none (I2).
    a_new_holder_gets_the_inventory: (
        &[
            Step::Hello("e3", "a1"), Step::Arrive(1), Step::Grant(1, "e2", "t1"),
            Step::Hello("e3", "a1"),
        ],
        &["inventory of 0 to e3", "ask e2 for 1", "start 1 on t1", "inventory of 1 to e3"],
    );
    // Guards against a new owner that releases work because the VM running it does not report to
    // it.
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
    // Guards against cutting off a running request on a planned shutdown (I8).
    a_drain_waits_for_running_requests: (
        &[
            Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::Drain, Step::Arrive(2),
            Step::Wait(500),
            Step::End(1, End::Complete, 1), Step::Grant(2, "e2", "t1"),
            Step::End(2, End::Complete, 1),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "ask e2 for 2", "release 1 on t1 Complete to e2",
            "start 2 on t1", "drained", "release 2 on t1 Complete to e2",
        ],
    );
    // Guards against accepting a request that is cut off when the platform kills the VM at the end
    // of its time to stop (I8).
    a_draining_vm_refuses_late_requests_of_routes: (
        &[
            Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::Leave, Step::Drain,
            Step::ArriveBalanced(2),
        ],
        &["ask e2 for 1", "start 1 on t1", "refuse 2 ShuttingDown ran No"],
    );
    // Guards against accepting a request that has no response yet when the process is killed (I8).
    a_request_that_may_outlast_the_shutdown_is_refused: (
        &[
            Step::LeaveWithin(7_500), Step::Wait(1_500), Step::ArriveTimed(1, 6_000),
            Step::Wait(1), Step::ArriveTimed(2, 6_000), Step::ArriveTimed(3, 1_500),
        ],
        &["ask e2 for 1", "refuse 2 ShuttingDown ran No", "ask e2 for 3"],
    );
    // Guards against a request that waits for a start until the process is killed (I8).
    a_waiting_request_that_may_outlast_the_shutdown_is_refused: (
        &[
            Step::ArriveTimed(1, 39_000), Step::ArriveTimed(2, 6_000), Step::ArriveTimed(3, 39_000),
            Step::Grant(3, "e2", "t1"), Step::LeaveWithin(7_500),
        ],
        &[
            "ask e2 for 1", "ask e2 for 2", "ask e2 for 3", "start 3 on t1",
            "refuse 1 ShuttingDown ran No", "withdraw 1 from e2",
        ],
    );
    // Guards against a request that waits for its next start until the process is killed (I8).
    a_rejected_request_that_may_outlast_the_shutdown_is_refused: (
        &[
            Step::ArriveTimed(1, 39_000), Step::Grant(1, "e2", "t1"), Step::StartSend(1),
            Step::LeaveWithin(7_500), Step::End(1, End::Rejected, 0),
        ],
        &[
            "ask e2 for 1", "start 1 on t1", "refuse 1 ShuttingDown ran No",
            "release 1 on t1 Rejected to e2",
        ],
    );
    // Guards against turning callers away from a VM whose shutdown waits for all requests.
    a_shutdown_without_limit_accepts_requests_of_any_length: (
        &[Step::Leave, Step::ArriveTimed(1, 39_000)],
        &["ask e2 for 1"],
    );
    // Guards against losing a request that arrives after the drain has ended.
    a_drained_vm_refuses: (
        &[Step::Drain, Step::Arrive(1)],
        &["drained", "refuse 1 ShuttingDown ran No"],
    );
}

/// Sends a generation of a route to a VM that has just started to shut down.
fn answers_while_leaving(max_tokens: u32, expected: &[&str]) {
    let mut harness = Harness::new();
    harness.max_tokens = max_tokens;
    assert_eq!(harness.run(&[Step::Leave, Step::ArriveRouted(1)]), expected);
}

hornbeamloom_kernel::cases! {
    answers_while_leaving;

    // Guards against cutting off a long generation when the platform kills the VM (I8).
    a_leaving_vm_refuses_long_generations: (2_000, &["refuse 1 ShuttingDown ran No"]);
    // Guards against turning away callers whose answer takes only a second.
    a_leaving_vm_accepts_short_generations: (100, &["ask e2 for 1"]);
}

/// Stops an owner from answering and compares where the request was asked for, using its decision
/// log.
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

    // Guards against waiting for an unreachable owner until the deadline.
    a_silent_owner_is_replaced_by_this_vm: (
        "e2", 1_200, &["asked e2 for a1", "no answer from e2", "asked e1 for a1 in fallback"],
    );
    // Guards against staying in a fallback that cannot start anything while another zone can.
    a_fallback_without_warm_targets_spills: (
        "e2", 3_000,
        &["asked e2 for a1", "no answer from e2", "asked e1 for a1 in fallback", "asked e3 for a2"],
    );
    // Guards against treating an owner with a long queue as unreachable, and so scheduling a
    // request twice.
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

    // Guards against waiting forever for the answer to a lost ask.
    an_ask_is_repeated_every_half_second: (2_000, 5);
    // Guards against flooding the owner with asks.
    an_ask_is_not_repeated_earlier: (450, 1);
}

/// Starts `requests` requests, rejects them all and counts the refusals for an exhausted retry
/// budget.
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

    // Guards against refusing the first few failures on a VM with little traffic.
    three_retries_are_always_allowed: (3, 0);
    // Guards against sending each request several times to a failing pool.
    the_fourth_retry_of_few_requests_is_refused: (4, 1);
    // Guards against a retry limit that does not grow with the arrivals of a busy VM.
    a_tenth_of_the_arrivals_is_allowed: (50, 45);
}

/// Compares the retry delays of two seeds, which must differ so that VMs do not retry in step.
fn jitters(first: u64, second: u64, is_equal: bool) {
    let delays = |seed: u64| -> Vec<u64> {
        let draw = |index| hornbeamloom_kernel::retry::draw(seed, index);
        (0..8).map(|n| hornbeamloom_kernel::retry::backoff(n, draw(u64::from(n)))).collect()
    };
    assert_eq!(delays(first) == delays(second), is_equal);
}

hornbeamloom_kernel::cases! {
    jitters;

    // Guards against a replay of the same events that takes another course.
    the_same_seed_gives_the_same_delays: (3, 3, true);
    // Guards against all VMs retrying at the same time.
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
        parts: Vec::new(),
        waited_ms: 0,
        max_wait_ms: 1_000,
        exclude: Vec::new(),
        priority: None,
        spills: false,
        standby_target: None,
        generated_tokens: 0,
        is_recomputed: false,
        slack: None,
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

    // Guards against an asker that treats a long wait in this VM's queue as an unreachable owner.
    an_ask_for_a_pool_without_another_owner_is_acknowledged: ("c1", 1, 1);
    // Guards against one message in return for every ask.
    many_asks_at_once_get_one_acknowledgement: ("c1", 5, 1);
    // Guards against an asker that keeps waiting for a VM which ignores the ask because it knows
    // another owner.
    no_acknowledgement_for_a_pool_of_another_owner: ("a1", 1, 0);
}

/// Runs a script after `t1` has said `signal` to this VM in a response.
fn signal_precedes(signal: Signal, steps: &[Step], expected: &[&str]) {
    let mut harness = Harness::new();
    harness.handle(Event::TargetSignal { target: "t1", signal: &signal, is_control: false });
    assert_eq!(harness.run(steps), expected);
}

const PAUSE: Signal =
    Signal { limit: None, max_rejections: None, is_leaving: false, pause_ms: 3_000 };
const DEPARTURE: Signal =
    Signal { limit: None, max_rejections: None, is_leaving: true, pause_ms: 0 };

hornbeamloom_kernel::cases! {
    signal_precedes;

    // Guards against a request to a target that has turned this VM away, by a grant of an owner
    // that does not know it.
    a_grant_of_a_target_that_turned_this_vm_away_is_not_used: (
        PAUSE, &[Step::Arrive(1), Step::Grant(1, "e2", "t1")],
        &["ask e2 for 1 except t1", "retry TargetLeft", "release 1 on t1 Unsent to e2"],
    );
    a_target_is_used_again_after_the_time_that_it_named: (
        PAUSE, &[Step::Wait(3_000), Step::Arrive(1), Step::Grant(1, "e2", "t1")],
        &["ask e2 for 1", "start 1 on t1"],
    );
    // Guards against a request to a target that leaves, by a grant of an owner that was not told.
    a_grant_of_a_target_that_says_that_it_leaves_is_not_used: (
        DEPARTURE, &[Step::Wait(60_000), Step::Arrive(1), Step::Grant(1, "e2", "t1")],
        &["ask e2 for 1 except t1", "retry TargetLeft", "release 1 on t1 Unsent to e2"],
    );
}

/// The messages about backpressure to a VM, as target, limit and departure.
fn told(harness: &Harness, vm: &str) -> Vec<(String, Option<u64>, bool)> {
    let sent = harness.outcomes.iter().filter_map(|outcome| match outcome {
        Outcome::Send {
            to,
            message: Message::Backpressure { target, limit, is_leaving, .. },
            ..
        } if **to == *vm => Some((target.to_string(), *limit, *is_leaving)),
        _ => None,
    });
    sent.collect()
}

fn hear(harness: &mut Harness, limit: Option<u64>) {
    let signal = Signal { limit, ..Signal::default() };
    harness.handle(Event::TargetSignal { target: "t1", signal: &signal, is_control: false });
}

/// Guards against an owner that learns of a limit too late, and against a message for each response.
#[test]
fn owner_is_told_of_a_limit_and_of_its_end_at_once() {
    let mut harness = Harness::new();
    (0..10).for_each(|_| hear(&mut harness, Some(2_000)));
    assert_eq!(told(&harness, "e2"), [("t1".to_owned(), Some(2_000), false)]);
    hear(&mut harness, None);
    hear(&mut harness, None);
    assert_eq!(told(&harness, "e2").len(), 2);
    assert_eq!(told(&harness, "e2")[1], ("t1".to_owned(), None, false));
}

/// Guards against a successor of the owner that grants beyond a limit because no VM tells it.
#[test]
fn new_owner_is_told_of_a_limit_before_the_next_ask() {
    let mut harness = Harness::new();
    hear(&mut harness, Some(2_000));
    harness.run(&[Step::TakeOver("e3", "a1"), Step::Arrive(1)]);
    let sent: Vec<&Message> = harness
        .outcomes
        .iter()
        .filter_map(|outcome| match outcome {
            Outcome::Send { to, message, .. } if **to == *"e3" => Some(message),
            _ => None,
        })
        .collect();
    let told = sent.iter().position(|sent| matches!(sent, Message::Backpressure { .. }));
    let asked = sent.iter().position(|sent| matches!(sent, Message::Ask(_)));
    assert!(told.is_some() && told < asked, "{sent:?}");
}

/// Guards against control calls, whose responses need not name the limit, that end it.
#[test]
fn response_to_a_control_call_ends_no_limit() {
    let mut harness = Harness::new();
    hear(&mut harness, Some(2_000));
    let signal = Signal::default();
    harness.handle(Event::TargetSignal { target: "t1", signal: &signal, is_control: true });
    assert_eq!(told(&harness, "e2").len(), 1);
}
