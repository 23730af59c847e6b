//! Crash correlation: suspects, quarantine, its record in the table and its end.

mod common;

use common::{Harness, Step, StoreMode};
use hornbeamloom_kernel::ids::Millis;
use hornbeamloom_kernel::outcome::Outcome;
use hornbeamloom_kernel::peer::{Death, Message};
use hornbeamloom_kernel::request::End;
use hornbeamloom_kernel::store::{Key, Quarantine, Value};

/// Runs a script and compares the complete trace.
fn runs_script(steps: &[Step], expected: &[&str]) {
    let mut harness = Harness::new();
    assert_eq!(harness.run(steps), expected);
}

hornbeamloom_kernel::cases! {
    runs_script;

    // Guards against quarantining bodies that merely ran next to the cause of a single crash.
    one_death_makes_a_suspect: (
        &[Step::Death("t1", 1, &[7]), Step::ShowBody(7), Step::ArriveBody(1, 7)],
        &["body 7 suspect", "ask e2 for 1"],
    );
    // Guards against a request that crashes one engine after another.
    two_deaths_quarantine_and_refuse: (
        &[
            Step::Death("t1", 1, &[7]), Step::Death("t2", 4, &[7]), Step::ShowBody(7),
            Step::ArriveBody(1, 7),
        ],
        &["body 7 quarantined", "refuse 1 Quarantined ran No"],
    );
    // Guards against ignoring the second start of the same target.
    two_starts_of_one_target_quarantine: (
        &[Step::Death("t1", 1, &[7]), Step::Death("t1", 2, &[7]), Step::ShowBody(7)],
        &["body 7 quarantined"],
    );
    // Guards against quarantining a body because one death was reported twice.
    the_same_death_counts_once: (
        &[Step::Death("t1", 1, &[7]), Step::Death("t1", 1, &[7]), Step::ShowBody(7)],
        &["body 7 suspect"],
    );
    // Guards against quarantining a body that ran next to a suspect.
    a_body_beside_a_suspect_becomes_a_suspect_only: (
        &[
            Step::Death("t1", 1, &[7]), Step::Death("t2", 1, &[7, 8]), Step::ShowBody(7),
            Step::ShowBody(8),
        ],
        &["body 7 quarantined", "body 8 suspect"],
    );
    // Guards against quarantining both of two suspects that ran together before either was known.
    two_suspects_in_one_death_are_not_counted: (
        &[
            Step::Death("t1", 1, &[7, 8]), Step::Death("t2", 1, &[7, 8]), Step::ShowBody(7),
            Step::ShowBody(8),
        ],
        &["body 7 suspect", "body 8 suspect"],
    );
    // Guards against quarantining a body that has completed because of one more crash next to it.
    a_suspect_that_completes_is_cleared: (
        &[
            Step::Death("t1", 1, &[7]), Step::ArriveBody(1, 7), Step::Grant(1, "e2", "t1"),
            Step::End(1, End::Complete, 3), Step::ShowBody(7),
        ],
        &["ask e2 for 1", "start 1 on t1", "release 1 on t1 Complete to e2", "body 7 clear"],
    );
    // Guards against starting a body that was quarantined while it waited.
    a_waiting_body_is_not_started: (
        &[
            Step::ArriveBody(1, 7), Step::Death("t1", 1, &[7]), Step::Death("t2", 1, &[7]),
            Step::Grant(1, "e2", "t1"),
        ],
        &["ask e2 for 1", "refuse 1 Quarantined ran No", "release 1 on t1 Unsent to e2"],
    );
    // Guards against a quarantine that outlasts the repair of the caller's service.
    a_quarantine_ends_after_ten_minutes: (
        &[
            Step::Death("t1", 1, &[7]), Step::Death("t2", 1, &[7]), Step::Wait(599_000),
            Step::ShowBody(7),
            Step::Wait(1_000), Step::ShowBody(7),
        ],
        &["body 7 quarantined", "body 7 clear"],
    );
    // Guards against a lifted quarantine that the record in the table brings back.
    a_lifted_body_stays_clear: (
        &[
            Step::Death("t1", 1, &[7]), Step::Death("t2", 1, &[7]), Step::Wait(70_000),
            Step::SetStore(StoreMode::Down),
            Step::LiftQuarantine(7), Step::ShowBody(7), Step::SetStore(StoreMode::Up),
            Step::Wait(70_000), Step::ShowBody(7),
        ],
        &["body 7 clear", "body 7 clear"],
    );
}

/// Reports a death that this VM observed itself, as owner of the target's pool.
fn own_death(harness: &mut Harness, target: &str) {
    let death =
        Death { target: target.into(), start_id: 1, running: common::suspects(&[7]), age_ms: 0 };
    harness.receive("e1", Message::Death(death));
}

/// Reports two deaths while the store is in the given mode, then counts the messages and the
/// records.
fn broadcasts_and_writes(store: StoreMode, wait_ms: u64, peers: usize, records: usize) {
    let mut harness = Harness::new();
    harness.run(&[Step::SetStore(store)]);
    own_death(&mut harness, "t1");
    own_death(&mut harness, "t2");
    let is_told = |outcome: &&Outcome| {
        matches!(outcome, Outcome::Send { message: Message::Quarantine { fingerprint: 7, .. }, .. })
    };
    assert_eq!(harness.outcomes.iter().filter(is_told).count(), peers);
    harness.run(&[Step::SetStore(StoreMode::Up), Step::Wait(wait_ms)]);
    assert_eq!(harness.table.len(), records);
}

hornbeamloom_kernel::cases! {
    broadcasts_and_writes;

    // Guards against other VMs, or VMs that start later, admitting the body.
    the_vm_that_observed_the_death_broadcasts_and_writes: (StoreMode::Up, 0, 3, 1);
    // Guards against losing the record in an outage of the store.
    a_failed_write_is_repeated: (StoreMode::Down, 6_000, 3, 1);
    // Guards against records that stay in the table forever.
    an_expired_record_is_deleted: (StoreMode::Up, 602_000, 3, 0);
}

/// Whether the body of a record in the table is quarantined on a VM that starts, after a time.
fn reads_table(remaining_s: u64, is_lifted: bool, wait_ms: u64, expected: bool) {
    let mut harness = Harness::new();
    let value = Quarantine {
        deaths: 2,
        organisation: "school".into(),
        service: "menu".into(),
        remaining_s,
    };
    let row = (5, Value::Quarantine(value));
    harness.table.insert(Key::Quarantine(7), row);
    harness.run(&[Step::Wait(100)]);
    if is_lifted {
        let message = Message::Quarantine {
            fingerprint: 7,
            organisation: "school".into(),
            service: "menu".into(),
            deaths: 2,
            remaining_ms: 0,
        };
        harness.receive("e3", message);
    }
    harness.run(&[Step::Wait(wait_ms)]);
    let now = Millis(harness.now);
    assert_eq!(harness.kernel.state().quarantine.is_quarantined(7, now), expected);
}

hornbeamloom_kernel::cases! {
    reads_table;

    // Guards against a starting VM that admits a quarantined body.
    entries_are_read_at_the_start: (300, false, 100, true);
    // Guards against extending the quarantine with each read of the same record.
    reading_again_does_not_prolong: (60, false, 100_000, false);
    // Guards against quarantining a body again from a record that the lifting VM has not deleted
    // yet.
    a_record_of_a_lifted_body_is_ignored: (300, true, 40_000, false);
}

/// Reports deaths `interval_ms` apart, each with its target and the parts of one request that was
/// granted 50 ms before, and compares which of the parts 1 to 9 are quarantined.
fn quarantines_parts(interval_ms: u64, deaths: &[(&str, &[u64])], expected: &[u64]) {
    let mut harness = Harness::new();
    for (ix, (target, parts)) in deaths.iter().enumerate() {
        let mut running = common::suspects(&[70 + ix as u64]);
        running[0].parts = parts.to_vec();
        running[0].granted_ago_ms = 50;
        let death = Death { target: (*target).into(), start_id: 1, running, age_ms: 0 };
        harness.receive(["e2", "e3"][ix % 2], Message::Death(death));
        harness.run(&[Step::Wait(interval_ms)]);
    }
    let (registry, now) = (&harness.kernel.state().quarantine, Millis(harness.now));
    let quarantined = (1..10).filter(|part| registry.is_quarantined(*part, now));
    assert_eq!(quarantined.collect::<Vec<u64>>(), expected);
}

hornbeamloom_kernel::cases! {
    quarantines_parts;

    // Guards against a part that crashes one engine after another.
    three_deaths_quarantine_a_part: (
        500, &[("t1", &[1, 9]), ("t2", &[2, 9]), ("t3", &[3, 9])], &[9],
    );
    // Guards against refusing sound requests because engines died at one time.
    simultaneous_deaths_are_one_round: (
        0, &[("t1", &[1, 9]), ("t2", &[2, 9]), ("t3", &[3, 9]), ("t4", &[4, 9])], &[],
    );
    // Guards against counting deaths at one time as several because their reports are late.
    late_reports_are_no_new_round: (
        120, &[("t1", &[1, 9]), ("t2", &[2, 9]), ("t3", &[3, 9])], &[],
    );
    // Guards against a tie that is decided before an output could clear one of the parts.
    contenders_wait_for_a_fourth_death: (
        500, &[("t1", &[1, 9]), ("t2", &[1, 9]), ("t3", &[1, 9])], &[],
    );
    the_last_contender_is_quarantined: (
        500, &[("t1", &[1, 9]), ("t2", &[1, 9]), ("t3", &[1, 9]), ("t4", &[1, 9])], &[9],
    );
    // Guards against quarantining a common part that was on one more engine when that crashed
    // (seed 23 of the day `tainted` with crashes).
    an_unrelated_death_does_not_outweigh_the_cause: (
        500, &[("t1", &[1, 9]), ("t2", &[1, 5]), ("t3", &[1, 9]), ("t4", &[1, 9])], &[9],
    );
    // Guards against counting a death twice that two schedulers without a lease report, and against
    // ignoring the request that only the second one knows.
    reports_of_one_death_are_merged: (
        500, &[("t1", &[1]), ("t1", &[9]), ("t2", &[9]), ("t2", &[9])], &[],
    );
    the_second_report_of_a_death_names_the_cause: (
        500, &[("t1", &[1]), ("t1", &[9]), ("t2", &[9]), ("t3", &[9])], &[9],
    );
}

/// Guards against a part that is never quarantined because a great many targets died before the first
/// death was known.
#[test]
fn deaths_after_many_simultaneous_ones_quarantine_a_part() {
    let mut harness = Harness::new();
    let mut report = |number: u64, wait_ms: u64| {
        let mut running = common::suspects(&[700 + number]);
        running[0].parts = vec![100 + number, 9];
        running[0].granted_ago_ms = 50;
        let target = format!("t{number}").as_str().into();
        let death = Death { target, start_id: 1, running, age_ms: 0 };
        harness.receive("e2", Message::Death(death));
        harness.run(&[Step::Wait(wait_ms)]);
        harness.kernel.state().quarantine.is_quarantined(9, Millis(harness.now))
    };
    assert!((0..40).all(|number| !report(number, 0)));
    report(40, 500);
    assert!(report(41, 500));
}

/// A message that quarantines prompt part 9.
fn quarantine_of_part() -> Message {
    Message::Quarantine {
        fingerprint: 9,
        organisation: "school".into(),
        service: "menu".into(),
        deaths: 3,
        remaining_ms: 60_000,
    }
}

/// Runs steps before and after prompt part 9 is quarantined, for requests with some parts.
fn refuses_part(parts: &[u64], before: &[Step], after: &[Step], expected: &[&str]) {
    let mut harness = Harness::new();
    harness.parts = parts.to_vec();
    harness.run(before);
    harness.receive("e3", quarantine_of_part());
    assert_eq!(harness.run(after), expected);
}

hornbeamloom_kernel::cases! {
    refuses_part;

    // Guards against requests, no two alike, that start with a part which crashes engines.
    a_new_request_is_refused: (
        &[8, 9], &[], &[Step::Arrive(1)], &["refuse 1 Quarantined ran No"],
    );
    // Guards against refusing requests that share only sound parts with the quarantined ones.
    other_parts_are_admitted: (&[8], &[], &[Step::Arrive(1)], &["ask e2 for 1"]);
    // Guards against a caller that is held until the request's deadline, and against a grant that
    // was sent before the owner knew of the quarantine.
    a_waiting_request_is_refused_at_once: (
        &[9], &[Step::Arrive(1)], &[Step::Grant(1, "e2", "t1")],
        &[
            "ask e2 for 1", "refuse 1 Quarantined ran No", "withdraw 1 from e2",
            "release 1 on t1 Unsent to e2",
        ],
    );
    // Guards against a retry that crashes a second engine.
    a_retry_is_refused: (
        &[9], &[Step::Arrive(1), Step::Grant(1, "e2", "t1"), Step::StartSend(1)],
        &[Step::End(1, End::Broken, 0), Step::Wait(500), Step::Grant(1, "e2", "t2")],
        &[
            "ask e2 for 1", "start 1 on t1", "retry TargetBroken", "release 1 on t1 Broken to e2",
            "refuse 1 Quarantined ran Unknown", "release 1 on t2 Unsent to e2",
        ],
    );
}

/// Applies a peer's message about body 7 and compares whether it is quarantined and a suspect.
fn applies_message(starts: u64, deaths: u32, remaining_ms: u64, expected: (bool, bool)) {
    let mut harness = Harness::new();
    for start in 0..starts {
        harness.run(&[Step::Death("t1", start, &[7])]);
    }
    let message = Message::Quarantine {
        fingerprint: 7,
        organisation: "school".into(),
        service: "menu".into(),
        deaths,
        remaining_ms,
    };
    harness.receive("e3", message);
    let (registry, now) = (&harness.kernel.state().quarantine, Millis(harness.now));
    let state = (registry.is_quarantined(7, now), registry.is_suspect(7, now));
    assert_eq!(state, expected);
    let listed = registry.entries(now).len();
    assert_eq!(listed, usize::from(expected.1));
}

hornbeamloom_kernel::cases! {
    applies_message;

    // Guards against admitting a body on a VM that missed the deaths.
    an_entry_of_a_peer_is_applied: (1, 2, 60_000, (true, true));
    // Guards against a body that stays quarantined on the other VMs after its quarantine was lifted
    // on one.
    a_lift_of_a_peer_is_applied: (2, 2, 0, (false, false));
    // Guards against a body that stays a suspect on the other VMs after it was cleared on one.
    a_clearance_of_a_peer_is_applied: (1, 0, 0, (false, false));
    // Guards against lifting a quarantine when a run completes after the second death.
    a_clearance_does_not_lift_a_quarantine: (2, 0, 0, (true, true));
}
